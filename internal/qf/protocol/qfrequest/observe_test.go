package qfrequest

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfroute"
)

// TestEndMarkIsNotCountedAsToken guards the latencies by which versions and endpoints are
// compared: a late end mark must count neither as a token nor as a gap between two.
func TestEndMarkIsNotCountedAsToken(t *testing.T) {
	start := time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)
	request := &qf.Request{ID: "r", Kind: qf.KindModelEngine, MaxTokens: 3}
	x := &run{
		Runner: NewRunner(Config{Router: qfroute.NewLeastOutstanding()}),
		record: NewRecord(request, 1), attempt: "a", startedAt: start,
	}
	observe := func(after time.Duration, p qf.StreamChunk) {
		x.observe(Event{Kind: EventChunk, Attempt: "a", At: start.Add(after), Chunk: p})
	}
	for i := range request.MaxTokens {
		observe(time.Duration(i+1)*10*time.Millisecond, qf.StreamChunk{Attempt: "a", Offset: i})
	}
	observe(time.Second, qf.StreamChunk{Attempt: "a", Offset: request.MaxTokens, End: true})
	got := x.observation(start.Add(time.Second), true)
	if got.Tokens != request.MaxTokens || got.FirstToken != 10*time.Millisecond || got.BetweenToken != 10*time.Millisecond {
		t.Errorf("got %d tokens, first after %s, then each %s", got.Tokens, got.FirstToken, got.BetweenToken)
	}
}
