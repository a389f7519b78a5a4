package qfrequest

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

func chatRequest() *qf.Request {
	return &qf.Request{ID: "r", Kind: qf.KindModelEngine, MaxTokens: 3}
}

func callRequest() *qf.Request { return &qf.Request{ID: "r", Kind: qf.KindPlainService} }

func onceOnlyRequest() *qf.Request {
	return &qf.Request{ID: "r", Kind: qf.KindPlainService, Key: "k"}
}

// The events of the tables. Attempt "a" runs at endpoint "e" and "b" at "f".
var (
	accepted   = Event{Kind: EventAccepted}
	noEndpoint = Event{Kind: EventNoEndpoint, Err: qf.NewError(qf.CodeNoEndpoint, qf.StepRoute, "", "none")}
	denied     = Event{Kind: EventRetryDenied, Err: qf.NewError(qf.CodeBroken, qf.StepAttempt, "", "spent")}
	startedA   = Event{Kind: EventStarted, Attempt: "a", Endpoint: "e"}
	startedB   = Event{Kind: EventStarted, Attempt: "b", Endpoint: "f"}
	leavingE   = Event{Kind: EventLeaving, Endpoint: "e"}
	deadline   = Event{Kind: EventDeadline}
	handedOver = Event{Kind: EventHandedOver}
	answerA    = Event{Kind: EventAnswer, Attempt: "a", Answer: &qf.ServiceResponse{Attempt: "a"}}
)

func brokenAttempt(attempt qf.AttemptID, ran qf.Ran) Event {
	return Event{Kind: EventBroken, Attempt: attempt, Ran: ran, Err: qf.NewError(qf.CodeBroken, qf.StepAttempt, "", "broken")}
}

func statusOf(attempt qf.AttemptID, certainty qf.Certainty) Event {
	e := Event{Kind: EventStatus, Attempt: attempt, Certainty: certainty}
	if certainty == qf.Done {
		e.Answer = &qf.ServiceResponse{Attempt: attempt}
	}
	return e
}

func stillRunning(attempt qf.AttemptID) Event {
	e := statusOf(attempt, qf.Unknown)
	e.Err = qf.NewError(qf.CodeStillRunning, qf.StepStatus, "", "still running")
	return e
}

func stalledAttempt(attempt qf.AttemptID) Event { return Event{Kind: EventStalled, Attempt: attempt} }

func probedAttempt(attempt qf.AttemptID, queued int, err error) Event {
	return Event{Kind: EventProbed, Attempt: attempt, Queued: queued, Err: err}
}

var (
	errGone    = qf.NewError(qf.CodeUnavailable, qf.StepStatus, "", "gone")
	intentLost = Event{Kind: EventIntentLost, Err: qf.NewError(qf.CodeStaleOwnership, qf.StepOutcome, "", "lost")}
	unknownA   = statusOf("a", qf.Unknown)
	brokenOnce = []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown)}
)

func after(events []Event, more ...Event) []Event {
	return append(append([]Event(nil), events...), more...)
}

func chunkOf(attempt qf.AttemptID, offset int) Event {
	return Event{Kind: EventChunk, Attempt: attempt, Chunk: qf.StreamChunk{Attempt: attempt, Offset: offset}}
}

func endOf(attempt qf.AttemptID, offset int) Event {
	e := chunkOf(attempt, offset)
	e.Chunk.End = true
	return e
}

func withEcho(e Event, echo qf.AttemptID) Event {
	e.Chunk.Attempt = echo
	return e
}

// TestLifecycleBreaks guards against a wrong action or outcome after an attempt breaks at
// any point of its lifecycle. A NotRun needs proof that nothing started.
func TestLifecycleBreaks(t *testing.T) {
	tests := []struct {
		name    string
		request *qf.Request
		history History
		events  []Event
		kind    ActionKind
		outcome qf.FinalOutcome
	}{
		{"no endpoint for the first attempt", chatRequest(), History{}, []Event{accepted, noEndpoint}, ActionFinish, qf.OutcomeNotRun},
		{"no connection, then no endpoint", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo), noEndpoint}, ActionFinish, qf.OutcomeNotRun},
		{"no connection, then no budget", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo), denied}, ActionFinish, qf.OutcomeNotRun},
		{"no connection twice", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo), startedB, brokenAttempt("b", qf.RanNo)}, ActionFinish, qf.OutcomeNotRun},
		{"broken, then no connection", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), startedB, brokenAttempt("b", qf.RanNo)}, ActionFinish, qf.OutcomeUnknown},
		{"broken, then no endpoint", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), noEndpoint}, ActionFinish, qf.OutcomeUnknown},
		{"broken after a chunk, then no budget", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), brokenAttempt("a", qf.RanUnknown), denied}, ActionFinish, qf.OutcomeUnknown},
		{"broken between the last token and the end mark", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), chunkOf("a", 1), chunkOf("a", 2), brokenAttempt("a", qf.RanUnknown)}, ActionStart, ""},
		{"moved before a chunk, then no endpoint", chatRequest(), History{}, []Event{accepted, startedA, leavingE, noEndpoint}, ActionFinish, qf.OutcomeUnknown},
		{"moved after a chunk, then no connection", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), leavingE, startedB, brokenAttempt("b", qf.RanNo), noEndpoint}, ActionFinish, qf.OutcomeUnknown},
		{"taken over without a token, then no endpoint", chatRequest(), History{MayHaveRun: true}, []Event{accepted, noEndpoint}, ActionFinish, qf.OutcomeUnknown},
		{"taken over before any attempt, then no endpoint", chatRequest(), History{}, []Event{accepted, noEndpoint}, ActionFinish, qf.OutcomeNotRun},
		{"deadline before an attempt", chatRequest(), History{}, []Event{accepted, deadline}, ActionFinish, qf.OutcomeNotRun},
		{"deadline during an attempt", chatRequest(), History{}, []Event{accepted, startedA, deadline}, ActionFinish, qf.OutcomeUnknown},
		{"deadline after a proof", chatRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo), deadline}, ActionFinish, qf.OutcomeNotRun},
		{"a gap", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 1)}, ActionStart, ""},
		{"a duplicate", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), chunkOf("a", 0)}, ActionStart, ""},
		{"a crossed chunk", chatRequest(), History{}, []Event{accepted, startedA, withEcho(chunkOf("a", 0), "x")}, ActionStart, ""},
		{"a crossed end", chatRequest(), History{}, []Event{accepted, startedA, withEcho(endOf("a", 0), "x")}, ActionStart, ""},
		{"an end after a gap", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), endOf("a", 3)}, ActionStart, ""},
		{"a chunk beyond the limit", chatRequest(), History{Tokens: 3}, []Event{accepted, startedA, chunkOf("a", 3)}, ActionStart, ""},
		{"a late chunk", chatRequest(), History{}, []Event{accepted, startedA, leavingE, startedB, chunkOf("a", 0)}, ActionNone, ""},
		{"a late end", chatRequest(), History{}, []Event{accepted, startedA, leavingE, startedB, endOf("a", 0)}, ActionNone, ""},
		{"a late break", chatRequest(), History{}, []Event{accepted, startedA, leavingE, startedB, brokenAttempt("a", qf.RanNo)}, ActionNone, ""},
		{"a chunk after the hand-over", chatRequest(), History{}, []Event{accepted, startedA, handedOver, chunkOf("a", 0)}, ActionNone, ""},
		{"a whole answer", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), endOf("a", 1)}, ActionFinish, qf.OutcomeAnswered},
		{"a whole call", callRequest(), History{}, []Event{accepted, startedA, answerA}, ActionFinish, qf.OutcomeAnswered},
		{"another call's answer", callRequest(), History{}, []Event{accepted, startedB, {Kind: EventAnswer, Attempt: "b", Answer: answerA.Answer}}, ActionStart, ""},
		{"a call at a leaving endpoint", callRequest(), History{}, []Event{accepted, startedA, leavingE}, ActionNone, ""},
		{"once only: no connection", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo)}, ActionStart, ""},
		{"once only: broken", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown)}, ActionQueryStatus, ""},
		{"once only: another call's answer", onceOnlyRequest(), History{}, []Event{accepted, startedB, {Kind: EventAnswer, Attempt: "b", Answer: answerA.Answer}}, ActionQueryStatus, ""},
		{"once only: broken, proven not run", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), statusOf("a", qf.NotDone)}, ActionStart, ""},
		{"once only: proven not run, then no endpoint", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), statusOf("a", qf.NotDone), noEndpoint}, ActionFinish, qf.OutcomeNotRun},
		{"once only: broken, proven run", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), statusOf("a", qf.Done)}, ActionFinish, qf.OutcomeAnswered},
		{"once only: status unknown so far", onceOnlyRequest(), History{}, after(brokenOnce, unknownA, unknownA, unknownA), ActionQueryStatus, ""},
		{"once only: status stays unknown", onceOnlyRequest(), History{}, after(brokenOnce, unknownA, unknownA, unknownA, unknownA), ActionFinish, qf.OutcomeUnknown},
		{"once only: still running", onceOnlyRequest(), History{}, after(brokenOnce, unknownA, unknownA, unknownA, stillRunning("a")), ActionQueryStatus, ""},
		{"once only: stalled", onceOnlyRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a")}, ActionQueryStatus, ""},
		{"once only: stalled and running", onceOnlyRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), stillRunning("a")}, ActionNone, ""},
		{"once only: stalled, then answered", onceOnlyRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), stillRunning("a"), answerA}, ActionFinish, qf.OutcomeAnswered},
		{"once only: stalled and run", onceOnlyRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), statusOf("a", qf.Done)}, ActionFinish, qf.OutcomeAnswered},
		{"once only: stalled and never run", onceOnlyRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), statusOf("a", qf.NotDone)}, ActionStart, ""},
		{"once only: another node changed the intent", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanNo), intentLost}, ActionFinish, qf.OutcomeUnknown},
		{"a stalled stream", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), stalledAttempt("a")}, ActionProbe, ""},
		{"a stalled stream at a live engine", chatRequest(), History{}, []Event{accepted, startedA, chunkOf("a", 0), stalledAttempt("a"), probedAttempt("a", 1, nil)}, ActionStart, ""},
		{"a stalled stream at a dead engine", chatRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), probedAttempt("a", 0, errGone)}, ActionStart, ""},
		{"a stall in the queue", chatRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), probedAttempt("a", 1, nil)}, ActionNone, ""},
		{"a stall in the queue for too long", chatRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), stalledAttempt("a"), stalledAttempt("a"), stalledAttempt("a"), probedAttempt("a", 1, nil)}, ActionStart, ""},
		{"a stall of an earlier attempt", chatRequest(), History{}, []Event{accepted, startedA, leavingE, startedB, stalledAttempt("a")}, ActionNone, ""},
		{"stalled, then no endpoint", chatRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a"), probedAttempt("a", 0, errGone), noEndpoint}, ActionFinish, qf.OutcomeUnknown},
		{"a stalled repeatable call", callRequest(), History{}, []Event{accepted, startedA, stalledAttempt("a")}, ActionQueryStatus, ""},
		{"a stalled call that never ran, after one that may have", callRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), startedB, stalledAttempt("b"), statusOf("b", qf.NotDone)}, ActionFinish, qf.OutcomeUnknown},
		{"once only: deadline while querying the status", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), deadline}, ActionFinish, qf.OutcomeUnknown},
		{"once only: a status of another attempt", onceOnlyRequest(), History{}, []Event{accepted, startedA, brokenAttempt("a", qf.RanUnknown), statusOf("b", qf.NotDone)}, ActionNone, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLifecycle(test.request, 2, test.history)
			var action Action
			for _, e := range test.events {
				action = l.Apply(e)
			}
			if action.Kind != test.kind || action.Outcome != test.outcome {
				t.Fatalf("got %s %s, want %s %s", action.Kind, action.Outcome, test.kind, test.outcome)
			}
			checkEnding(t, l, action)
		})
	}
}

// checkEnding checks that the error of a request that wasn't answered states whether it
// ran and when to retry.
func checkEnding(t *testing.T, l *Lifecycle, action Action) {
	t.Helper()
	if action.Kind != ActionFinish {
		return
	}
	if l.Phase() != PhaseEnded {
		t.Errorf("phase is %s", l.Phase())
	}
	want := map[qf.FinalOutcome]qf.Ran{qf.OutcomeNotRun: qf.RanNo, qf.OutcomeUnknown: qf.RanUnknown}[action.Outcome]
	switch {
	case want == "" && action.Err != nil:
		t.Errorf("an answer carries %v", action.Err)
	case want != "" && (action.Err.Ran != want || action.Err.RetryAfter <= 0):
		t.Errorf("the error says Ran %s, RetryAfter %s", action.Err.Ran, action.Err.RetryAfter)
	}
}

// TestRetryAfterOfCause checks that the RetryAfter of the cause reaches the caller.
func TestRetryAfterOfCause(t *testing.T) {
	l := NewLifecycle(chatRequest(), 1, History{})
	action := l.Apply(Event{Kind: EventNoEndpoint, Err: &qf.Error{Code: qf.CodeOverloaded, RetryAfter: 7 * time.Second}})
	if action.Err.RetryAfter != 7*time.Second || action.Err.Code != qf.CodeOverloaded {
		t.Fatalf("got %+v", action.Err)
	}
}
