package qfrequest_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standservice"
)

// lockedBudget is a budget that many runners share.
type lockedBudget struct {
	mu sync.Mutex
	*qfretry.Budget
}

func (l *lockedBudget) Retry(query qf.RetryQuery) qf.RetryDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	query.Draw = 0.5
	return l.Budget.Retry(query)
}

func (l *lockedBudget) CountRequest(now time.Time, request *qf.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Budget.CountRequest(now, request)
}

// TestAttemptsPerRequest guards against a retry storm: it counts the attempts that reach
// engines which fail a share of them, with the runner, the clients and simulated engines.
func TestAttemptsPerRequest(t *testing.T) {
	const requests, perSecond, maxAttemptsPerRequest = 600, 100, 1.2
	for _, failEvery := range []int{0, 10, 4, 2, 1} {
		t.Run(fmt.Sprintf("one in %d fails", failEvery), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				behaviour := standengine.DefaultBehaviour()
				behaviour.FailEvery = failEvery
				s := newSite(t, behaviour, standservice.Behaviour{})
				var mu sync.Mutex
				attempts, answered := 0, 0
				var callers sync.WaitGroup
				for i := range requests {
					record := qfrequest.NewRecord(&qf.Request{
						ID: qf.RequestID(fmt.Sprint(i)), Kind: qf.KindModelEngine, MaxTokens: 2,
						Messages: []qf.Message{{Role: "user", Content: fmt.Sprint(i)}}, Deadline: s.clock.Now().Add(time.Minute),
					}, 4)
					s.budget.CountRequest(s.clock.Now(), record.Request)
					callers.Go(func() {
						s.runner.Run(t.Context(), record)
						mu.Lock()
						defer mu.Unlock()
						for _, d := range record.Decisions() {
							if d.Step == qf.StepRoute {
								attempts++
							}
						}
						if record.Progress(0).Outcome == qf.OutcomeAnswered {
							answered++
						}
					})
					<-s.clock.After(time.Second / perSecond).C()
				}
				callers.Wait()
				ratio := float64(attempts) / requests
				t.Logf("%.3f attempts per request, %d of %d answered", ratio, answered, requests)
				if ratio >= maxAttemptsPerRequest {
					t.Errorf("%.3f attempts per request", ratio)
				}
			})
		})
	}
}
