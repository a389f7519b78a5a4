package qfrequest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

// plan holds the faults of a simulated world. Odds are in percent.
type plan struct {
	seed uint64
	// lost, late, down and slow are the odds of a table call.
	lost, late, down, slow int
	// broken is the odds of each fault of a call, noStatus those of an unanswered status
	// query.
	broken, noStatus int
	// longest is the longest pause of a node or delay of a message.
	longest time.Duration
	// death is the odds that a node fails.
	death int
	// timeout is the callers' timeout.
	timeout      time.Duration
	recordsFor   time.Duration
	maxIntentAge time.Duration
	// deleteFreed deletes the rows of freed keys, and ignoresBars lets an attempt run
	// whose status said that it never will; both are deliberate faults.
	deleteFreed, ignoresBars bool
	// ledger replaces the nodes' ledger, for deliberate faults.
	ledger func(qf.Ledger) qf.Ledger
}

func faultyPlan(seed uint64) plan {
	return plan{
		seed: seed, lost: 15, late: 10, down: 8, slow: 15, broken: 12, noStatus: 20, death: 25,
		longest: time.Hour, recordsFor: 24 * time.Hour, maxIntentAge: 10 * time.Second, timeout: 30 * time.Second,
	}
}

// world is a table, a service and some nodes on virtual time.
type world struct {
	plan
	clock qf.Clock
	table *standtable.Table

	mu     sync.Mutex
	random *rand.Rand
	// executions are the calls that ran, in order.
	executions []qf.ServiceCall
	answers    map[qf.AttemptID]qf.ServiceResponse
	started    map[qf.AttemptID]bool
	barred     map[qf.AttemptID]bool
	dead       map[qf.NodeID]bool
}

func newWorld(p plan) *world {
	clock := qftimer.NewWall()
	return &world{
		plan: p, clock: clock, table: standtable.New(clock), random: rand.New(rand.NewPCG(p.seed, 2)),
		answers: map[qf.AttemptID]qf.ServiceResponse{}, started: map[qf.AttemptID]bool{},
		barred: map[qf.AttemptID]bool{}, dead: map[qf.NodeID]bool{},
	}
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) happens(odds int) bool { return w.intN(100) < odds }

// pause waits for a random time that is mostly short.
func (w *world) pause() {
	limits := []time.Duration{10 * time.Millisecond, time.Second, 15 * time.Second, w.longest}
	limit := limits[w.intN(len(limits))]
	<-w.clock.After(time.Duration(w.intN(int(limit/time.Microsecond))+1) * time.Microsecond).C()
}

// Read implements qf.Table.
func (w *world) Read(ctx context.Context, key string) (qf.Row, error) {
	if w.happens(w.slow) {
		w.pause()
	}
	if w.happens(w.down) {
		return qf.Row{}, qf.NewError(qf.CodeUnavailable, qf.StepTableRead, "", "down")
	}
	return w.table.Read(ctx, key)
}

// Scan implements qf.Table.
func (w *world) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	return w.table.Scan(ctx, prefix, after, limit)
}

// Commit implements qf.Table.
func (w *world) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	if w.deleteFreed {
		for i := range transaction.Writes {
			transaction.Writes[i].Delete = strings.Contains(string(transaction.Writes[i].Value), `"State":"Free"`)
		}
	}
	lost := qf.UnknownFor[qf.Committed](qf.NewError(qf.CodeBroken, qf.StepTableCommit, "", "the answer was lost"))
	if w.happens(w.slow) {
		w.pause()
	}
	switch {
	case w.happens(w.down):
		return qf.NotDoneFor[qf.Committed](qf.NewError(qf.CodeUnavailable, qf.StepTableCommit, "", "down"))
	case w.happens(w.late):
		go func() {
			w.pause()
			w.table.Commit(ctx, transaction)
		}()
		return lost
	}
	result := w.table.Commit(ctx, transaction)
	if w.happens(w.slow) {
		w.pause() // The owner is paused after its write.
	}
	if w.happens(w.lost) {
		return lost
	}
	return result
}

// CallService implements qf.ServiceClient.
func (w *world) CallService(_ context.Context, endpoint qf.Endpoint, call qf.ServiceCall) qf.Result[qf.ServiceResponse] {
	broken := qf.UnknownFor[qf.ServiceResponse](qf.NewError(qf.CodeBroken, qf.StepAttempt, string(endpoint.ID), "broken"))
	switch {
	case w.happens(w.broken):
		return qf.NotDoneFor[qf.ServiceResponse](qf.NewError(qf.CodeUnavailable, qf.StepAttempt, "", "no connection"))
	case w.happens(w.broken):
		go func() { // The call is still on its way when its sender considers it broken.
			w.pause()
			w.execute(call)
		}()
		return broken
	case w.happens(w.slow):
		w.pause()
	}
	answer, ok := w.execute(call)
	switch {
	case !ok:
		return qf.NotDoneFor[qf.ServiceResponse](qf.NewError(qf.CodeUnavailable, qf.StepAttempt, "", "refused"))
	case w.happens(w.broken):
		return broken
	}
	return qf.DoneWith(answer)
}

func (w *world) execute(call qf.ServiceCall) (qf.ServiceResponse, bool) {
	w.mu.Lock()
	if w.barred[call.Attempt] {
		w.mu.Unlock()
		return qf.ServiceResponse{}, false
	}
	w.started[call.Attempt] = true
	w.executions = append(w.executions, call)
	answer := qf.ServiceResponse{Attempt: call.Attempt, Body: fmt.Appendf(nil, "%s #%d", call.Body, len(w.executions))}
	w.mu.Unlock()
	if w.happens(w.slow) {
		w.pause()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[call.Attempt] = answer
	return answer, true
}

// FetchStatus implements qf.ServiceClient.
func (w *world) FetchStatus(_ context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	if w.happens(w.noStatus) {
		return qf.UnknownFor[qf.ServiceResponse](qf.NewError(qf.CodeBroken, qf.StepStatus, string(endpoint.ID), "no answer"))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.answers[attempt]; ok {
		return qf.DoneWith(answer)
	}
	if w.started[attempt] {
		return qf.UnknownFor[qf.ServiceResponse](qf.NewError(qf.CodeStillRunning, qf.StepStatus, "", "running"))
	}
	w.barred[attempt] = !w.ignoresBars
	return qf.NotDoneFor[qf.ServiceResponse](qf.NewError(qf.CodeNotFound, qf.StepStatus, "", "never ran"))
}

// FetchLoad implements qf.ServiceClient.
func (w *world) FetchLoad(context.Context, qf.Endpoint) (qf.LoadReport, error) {
	return qf.LoadReport{}, nil
}

// ProbeEndpoint implements qf.Prober.
func (w *world) ProbeEndpoint(context.Context, qf.Endpoint) (qf.LoadReport, error) {
	return qf.LoadReport{}, nil
}

// IsLeaving implements qfrequest.Chooser.
func (*world) IsLeaving(qf.EndpointID) bool { return false }

// ChooseEndpoint implements qfrequest.Chooser.
func (w *world) ChooseEndpoint(time.Time, *qf.Request, int, []qf.EndpointID) (qf.RouteChoice, error) {
	return qf.RouteChoice{Endpoint: qf.Endpoint{ID: "e"}}, nil
}

// Retry implements qfrequest.RetryBudget.
func (w *world) Retry(qf.RetryQuery) qf.RetryDecision { return qf.RetryDecision{Allowed: true} }

// RecordAttemptEnd implements qfrequest.Observer.
func (w *world) RecordAttemptEnd(time.Time, qf.Observation) {}

// RecordBrokenAttempt implements qfrequest.Observer.
func (w *world) RecordBrokenAttempt(time.Time, *qf.Request, qf.Endpoint, error) {}

// noopRouter ignores what is recorded.
type noopRouter struct{ qf.Router }

func (noopRouter) RecordStart(time.Time, qf.EndpointID, int)                {}
func (noopRouter) RecordFirstToken(time.Time, qf.EndpointID, time.Duration) {}
func (noopRouter) RecordEnd(time.Time, qf.EndpointID, int, bool)            {}

// worldNode is the part of an entry node that handles once-only requests.
type worldNode struct {
	id      qf.NodeID
	intents *qfrequest.IntentResolver
	runner  *qfrequest.Runner
	ctx     context.Context
	cancel  context.CancelFunc
}

func (w *world) node(id qf.NodeID) *worldNode {
	var ledger qf.Ledger = qfledger.New(w.clock, w, qfledger.Options{
		Retention: w.recordsFor, MinCommitInterval: func() time.Duration { return time.Millisecond },
	})
	if w.ledger != nil {
		ledger = w.ledger(ledger)
	}
	isCurrent := func(qf.Endpoint) bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	n := &worldNode{id: id, ctx: ctx, cancel: cancel}
	n.intents = qfrequest.NewIntentResolver(qfrequest.IntentResolverConfig{
		Clock: w.clock, Ledger: ledger, Service: w, Self: id, IsCurrent: isCurrent,
		IsInProgress: func(i qf.Intent) bool { // The result is drawn at random, because a failure detector may be wrong.
			return !w.isDead(i.Owner) && w.happens(50)
		},
		StatusTimeout: time.Second,
	})
	n.runner = qfrequest.NewRunner(qfrequest.Config{
		Clock: w.clock, Service: w, Prober: w, Router: noopRouter{}, Chooser: w,
		Ledger: ledger, Budget: w, Observer: w, Self: id, IsCurrent: isCurrent,
		SilentAfter: 5 * time.Second, MaxIntentAge: w.maxIntentAge,
	})
	return n
}

func (w *world) isDead(id qf.NodeID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[id]
}

func (w *world) kill(n *worldNode) {
	w.mu.Lock()
	w.dead[n.id] = true
	w.mu.Unlock()
	n.cancel()
}
