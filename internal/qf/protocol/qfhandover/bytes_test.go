package qfhandover

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

const (
	benchTokenEvery  = 29 * time.Millisecond
	benchShadowEvery = 50 * time.Millisecond
	benchLeaveTime   = 5 * time.Second
	promptBytes      = 2048
)

// countingWriter counts the bytes that a gob encoder writes. The type descriptions are
// sent once per connection and aren't counted.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

type wire struct {
	counter countingWriter
	encoder *gob.Encoder
}

func newWire(b *testing.B) *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(&w.counter)
	w.send(b, qf.RequestRecord{})
	w.counter.bytes = 0
	return w
}

func (w *wire) send(b *testing.B, record qf.RequestRecord) {
	if err := w.encoder.Encode([]qf.RequestRecord{record}); err != nil {
		b.Fatal(err)
	}
}

func benchTokens(count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("w%03x ", i)
	}
	return tokens
}

func benchRequest() qf.Request {
	return qf.Request{
		ID: "01234567-89ab-cdef-0123-456789abcdef", Organisation: "gulberg-wards", Entry: "assistant",
		Kind: qf.KindModelEngine, Class: qf.ClassInteractive, MaxTokens: 1024, Stream: true, Deadline: start,
		Messages: []qf.Message{{Role: "user", Content: strings.Repeat("p", promptBytes)}},
	}
}

// shadowFor sends the whole record with the first tokens, and then the new tokens at each
// interval of the time span.
func (w *wire) shadowFor(b *testing.B, tokens []string, sent int, span time.Duration) {
	w.send(b, qf.RequestRecord{Request: benchRequest(), Generation: 1, Owner: "node-1", TimeLeft: time.Minute, Text: tokens[:sent]})
	for passed := benchShadowEvery; passed <= span; passed += benchShadowEvery {
		have := min(sent+int(passed/benchTokenEvery), len(tokens))
		from := min(sent+int((passed-benchShadowEvery)/benchTokenEvery), len(tokens))
		if have > from {
			w.send(b, qf.RequestRecord{
				Request: qf.Request{ID: benchRequest().ID}, Generation: 1, Owner: "node-1", TimeLeft: time.Minute,
				Update: true, TextFrom: from, Text: tokens[from:have],
			})
		}
	}
}

// BenchmarkBytes reports the bytes that each way to survive the loss of a node sends for
// one request with a prompt of 2 KiB.
func BenchmarkBytes(b *testing.B) {
	for _, count := range []int{64, 236, 1024} {
		tokens := benchTokens(count)
		half := count / 2
		ways := []struct {
			name string
			cost func(b *testing.B) int
		}{
			{name: "RunningShadow", cost: func(b *testing.B) int {
				w := newWire(b)
				w.shadowFor(b, tokens, 0, time.Duration(count)*benchTokenEvery+benchShadowEvery)
				return w.counter.bytes
			}},
			{name: "ShadowFromNotice", cost: func(b *testing.B) int {
				w := newWire(b)
				w.shadowFor(b, tokens, half, benchLeaveTime)
				return w.counter.bytes
			}},
			{name: "HandOver", cost: func(b *testing.B) int {
				w := newWire(b)
				w.send(b, qf.RequestRecord{Request: benchRequest(), Generation: 2, Owner: "node-2", TimeLeft: time.Minute, Text: tokens[:half]})
				return w.counter.bytes
			}},
			{name: "CallerSends", cost: func(b *testing.B) int {
				body, err := json.Marshal(qfapi.ChatResume{Tokens: tokens[:half]})
				if err != nil {
					b.Fatal(err)
				}
				return len(body)
			}},
		}
		for _, way := range ways {
			b.Run(fmt.Sprintf("%s/Tokens=%d", way.name, count), func(b *testing.B) {
				bytes := 0
				for b.Loop() {
					bytes = way.cost(b)
				}
				b.ReportMetric(float64(bytes), "bytes/request")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
