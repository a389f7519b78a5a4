package qfrequest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standservice"
)

// heldUpRouter holds up the run's goroutine at its first token.
type heldUpRouter struct {
	noopRouter
	clock qf.Clock
	delay time.Duration
}

func (r heldUpRouter) RecordFirstToken(time.Time, qf.EndpointID, time.Duration) {
	<-r.clock.After(r.delay).C()
}

// playHeldUp plays a request whose run is held up at its first token, and checks it.
func playHeldUp(t *testing.T, tokens int, deadline, hold time.Duration, check func(record *qfrequest.Record) bool) {
	t.Helper()
	bad := 0
	const runs = 40
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			behaviour := standengine.DefaultBehaviour()
			behaviour.TokenInterval, behaviour.PrefillPerToken = 10*time.Millisecond, 10*time.Millisecond
			s := newSite(t, behaviour, standservice.Behaviour{})
			client := s.client(t)
			adapter := qfendpoint.NewEngine(client)
			s.runner = qfrequest.NewRunner(qfrequest.Config{
				Clock: s.clock, Engine: adapter, Prober: adapter, Service: qfendpoint.NewService(client),
				Router: heldUpRouter{clock: s.clock, delay: hold}, Chooser: s, Budget: s.budget, Observer: s, Self: "n", SilentAfter: stallTimeout,
				MaxIntentAge: time.Minute, IsCurrent: func(qf.Endpoint) bool { return true },
			})
			messages := []qf.Message{{Role: "user", Content: "Which tree?"}}
			record := qfrequest.NewRecord(&qf.Request{
				ID: "r", Kind: qf.KindModelEngine, Messages: messages, MaxTokens: tokens, Deadline: s.clock.Now().Add(deadline),
			}, 4)
			s.runner.Run(t.Context(), record)
			if !check(record) {
				bad++
			}
			s.runner.Wait()
		})
	}
	if bad > 0 {
		t.Errorf("%d of %d runs end otherwise", bad, runs)
	}
}

// TestAnswerThatHasComeIsNoDeadline fails if a caller gets no answer although it came 200 ms before the deadline, since the node comes to it, and to
// the deadline, 100 ms after it.
func TestAnswerThatHasComeIsNoDeadline(t *testing.T) {
	playHeldUp(t, 3, 300*time.Millisecond, 400*time.Millisecond, func(record *qfrequest.Record) bool {
		return record.Progress(0).Outcome == qf.OutcomeAnswered
	})
}

// TestHeldUpNodeFindsNoStall fails if a node that was held up for 6 s starts a request again whose endpoint has sent tokens all the time.
func TestHeldUpNodeFindsNoStall(t *testing.T) {
	playHeldUp(t, 200, time.Minute, 6*time.Second, func(record *qfrequest.Record) bool {
		visits := 0
		for _, d := range record.Decisions() {
			if d.Step == qf.StepRoute {
				visits++
			}
		}
		return visits == 1
	})
}
