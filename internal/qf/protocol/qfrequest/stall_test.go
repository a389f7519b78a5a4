package qfrequest_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standservice"
)

const stallTimeout = 5 * time.Second

// site is two simulated engines and a simulated service on an in-memory network, with a
// runner.
type site struct {
	*network
	clock   qf.Clock
	engines []qf.Endpoint
	service qf.Endpoint
	journal *standservice.ExecutionLog
	runner  *qfrequest.Runner
	budget  *lockedBudget
}

func newSite(t *testing.T, engine standengine.Behaviour, service standservice.Behaviour) *site {
	s := &site{network: newNetwork(), clock: qftimer.NewWall(), journal: &standservice.ExecutionLog{}, budget: &lockedBudget{Budget: qfretry.NewBudget()}}
	for i := range 2 {
		e := qf.Endpoint{
			ID: qf.EndpointID(fmt.Sprint("e", i)), Kind: qf.KindModelEngine,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		}
		s.engines = append(s.engines, e)
		s.serve(t, e.Address, standengine.New(s.clock, e, engine, nil).Handler())
	}
	s.service = qf.Endpoint{ID: "s", Kind: qf.KindPlainService, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 9)}
	s.serve(t, s.service.Address, standservice.New(s.clock, s.service, service, s.journal).Handler())
	client := s.client(t)
	adapter := qfendpoint.NewEngine(client)
	s.runner = qfrequest.NewRunner(qfrequest.Config{
		Clock: s.clock, Engine: adapter, Prober: adapter, Service: qfendpoint.NewService(client),
		Router: noopRouter{}, Chooser: s, Budget: s.budget, Observer: s, Self: "n", SilentAfter: stallTimeout,
		MaxIntentAge: time.Minute, IsCurrent: func(qf.Endpoint) bool { return true },
	})
	return s
}

// IsLeaving implements qfrequest.Chooser.
func (*site) IsLeaving(qf.EndpointID) bool { return false }

// ChooseEndpoint implements qfrequest.Chooser.
func (s *site) ChooseEndpoint(_ time.Time, r *qf.Request, _ int, avoid []qf.EndpointID) (qf.RouteChoice, error) {
	if r.Kind == qf.KindPlainService {
		return qf.RouteChoice{Endpoint: s.service}, nil
	}
	for _, e := range s.engines {
		if !slices.Contains(avoid, e.ID) {
			return qf.RouteChoice{Endpoint: e}, nil
		}
	}
	return qf.RouteChoice{}, qf.NewError(qf.CodeNoEndpoint, qf.StepRoute, "", "none")
}

// RecordAttemptEnd implements qfrequest.Observer.
func (s *site) RecordAttemptEnd(time.Time, qf.Observation) {}

// RecordBrokenAttempt implements qfrequest.Observer.
func (s *site) RecordBrokenAttempt(time.Time, *qf.Request, qf.Endpoint, error) {}

// TestSilentStream guards against a stream that stalls for good or loses tokens if its
// connection drops all data. The answer must be complete, and must continue at the same
// engine if that is alive.
func TestSilentStream(t *testing.T) {
	const tokens = 200
	tests := []struct {
		name string
		// at is when the connections start to drop data; the answer takes 2 s.
		at       time.Duration
		dies     bool
		visits   string
		recovers time.Duration
	}{
		{"before the first token", time.Millisecond, false, "e0 e0", 10 * time.Second},
		{"in the middle", time.Second, false, "e0 e0", 10 * time.Second},
		{"in the middle, with a dead engine", time.Second, true, "e0 e1", 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				behaviour := standengine.DefaultBehaviour()
				behaviour.TokenInterval, behaviour.PrefillPerToken = 10*time.Millisecond, 10*time.Millisecond
				s := newSite(t, behaviour, standservice.Behaviour{})
				messages := []qf.Message{{Role: "user", Content: "Which tree?"}}
				start := s.clock.Now()
				record := qfrequest.NewRecord(&qf.Request{
					ID: "r", Kind: qf.KindModelEngine, Messages: messages, MaxTokens: tokens, Deadline: start.Add(time.Minute),
				}, 4)
				go func() {
					<-s.clock.After(test.at).C()
					s.silence()
					if test.dies {
						s.kill(s.engines[0].Address)
					}
				}()
				s.runner.Run(t.Context(), record)
				s.checkStream(t, record, messages, test.visits)
				took := s.clock.Now().Sub(start)
				t.Logf("the answer took %s", took)
				if took > test.recovers {
					t.Errorf("took %s", took)
				}
			})
		})
	}
}

func (s *site) checkStream(t *testing.T, record *qfrequest.Record, messages []qf.Message, visits string) {
	t.Helper()
	progress := record.Progress(0)
	if progress.Outcome != qf.OutcomeAnswered {
		t.Fatalf("got %s: %v", progress.Outcome, progress.Err)
	}
	want := standengine.ExpectedTokens(messages, record.Request.MaxTokens)
	if strings.Join(progress.Text, "") != strings.Join(want, "") {
		t.Error("the answer differs from the reference")
	}
	var visited []string
	for _, d := range record.Decisions() {
		if d.Step != qf.StepRoute {
			continue
		}
		visited = append(visited, string(d.Endpoint))
	}
	if got := strings.Join(visited, " "); got != visits {
		t.Errorf("went to %s, want %s", got, visits)
	}
}

// TestSilentCall guards against a second run of a call whose connection drops all data, or
// that takes longer than the stall timeout. It must run once. Its answer may be lost only if
// the connection drops it and the service reports no status.
func TestSilentCall(t *testing.T) {
	tests := []struct {
		name      string
		behaviour standservice.Behaviour
		// at is when the connections start to drop data; 0 means never.
		at      time.Duration
		outcome qf.FinalOutcome
		within  time.Duration
	}{
		{"slow", standservice.Behaviour{Takes: 20 * time.Second}, 0, qf.OutcomeAnswered, 20 * time.Second},
		{"slow, without a status", standservice.Behaviour{Takes: 20 * time.Second, NoStatus: true}, 0, qf.OutcomeAnswered, 20 * time.Second},
		{"silent", standservice.Behaviour{Takes: 2 * time.Second}, time.Second, qf.OutcomeAnswered, 7 * time.Second},
		{"slow and silent", standservice.Behaviour{Takes: 20 * time.Second}, time.Second, qf.OutcomeAnswered, 27 * time.Second},
		{"silent, without a status", standservice.Behaviour{Takes: 2 * time.Second, NoStatus: true}, time.Second, qf.OutcomeUnknown, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, standengine.DefaultBehaviour(), test.behaviour)
				start := s.clock.Now()
				record := qfrequest.NewRecord(&qf.Request{
					ID: "r", Kind: qf.KindPlainService, Method: "POST", Path: "/permits", Deadline: start.Add(time.Minute),
				}, 4)
				go func() {
					if test.at > 0 {
						<-s.clock.After(test.at).C()
						s.silence()
					}
				}()
				s.runner.Run(t.Context(), record)
				took := s.clock.Now().Sub(start)
				if p := record.Progress(0); p.Outcome != test.outcome || took > test.within {
					t.Errorf("got %s (%v) after %s", p.Outcome, p.Err, took)
				}
				if n := len(s.journal.Executions()); n != 1 {
					t.Errorf("the call ran %d times", n)
				}
				t.Logf("ended after %s", took)
				<-s.clock.After(time.Minute).C() // Calls that still run end.
			})
		})
	}
}
