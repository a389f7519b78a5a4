package qfrequest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
)

// fixedSeed makes the verdict in CI the same each time. Run with -rapid.seed to
// draw others.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// applier is a Lifecycle or a faulty stand-in for one.
type applier interface{ Apply(e Event) Action }

// drawer draws a number in [0, n).
type drawer func(n int) int

// life is one simulated request: it plays the adapter, the endpoints and the
// network against a lifecycle, and knows what really ran.
type life struct {
	draw    drawer
	request *qf.Request
	machine applier
	// ran says of each attempt whether it really ran.
	ran      map[qf.AttemptID]bool
	attempts []qf.AttemptID
	// wants is set while the machine waits for an attempt; asks while it waits for
	// a status.
	wants, asks bool
	text        []string
	action      Action
}

func reference(offset int) string { return fmt.Sprintf("t%d ", offset) }

const maxSteps = 40

// live plays one request to its end and returns the broken invariant, if any.
func live(draw drawer, request *qf.Request, machine applier) error {
	l := &life{draw: draw, request: request, machine: machine, ran: map[qf.AttemptID]bool{}}
	l.apply(accepted)
	for range maxSteps {
		if l.action.Kind == ActionFinish {
			return l.judge()
		}
		l.step()
		if err := l.check(); err != nil {
			return err
		}
	}
	l.apply(deadline)
	if l.action.Kind != ActionFinish {
		return fmt.Errorf("an accepted request didn't end at its deadline: %s", l.action.Kind)
	}
	return l.judge()
}

func (l *life) apply(e Event) {
	l.action = l.machine.Apply(e)
	switch l.action.Kind {
	case ActionDeliver:
		l.text = append(l.text, e.Chunk.Text)
	case ActionStart:
		l.wants, l.asks = true, false
	case ActionQueryStatus:
		l.asks = true
	case ActionFinish:
		if l.action.Answer != nil {
			l.text = append(l.text, string(l.action.Answer.Body))
		}
	default:
	}
}

func (l *life) step() {
	switch {
	case l.wants:
		l.start()
	case l.asks:
		l.answerStatus()
	case l.request.Kind == qf.KindModelEngine:
		l.stream()
	default:
		l.call()
	}
}

func (l *life) current() qf.AttemptID { return l.attempts[len(l.attempts)-1] }

func (l *life) start() {
	if l.draw(12) == 0 {
		l.apply(noEndpoint)
		return
	}
	attempt := qf.AttemptID(fmt.Sprintf("a%d", len(l.attempts)))
	l.attempts = append(l.attempts, attempt)
	l.wants = false
	l.apply(Event{Kind: EventStarted, Attempt: attempt, Endpoint: qf.EndpointID("e" + string(attempt))})
}

// breakAttempt breaks the current attempt before or after it ran. Only the first
// can come with proof.
func (l *life) breakAttempt() {
	attempt := l.current()
	ran := qf.RanUnknown
	if !l.ran[attempt] {
		l.ran[attempt] = l.draw(2) == 0
		if !l.ran[attempt] && l.draw(2) == 0 {
			ran = qf.RanNo
		}
	}
	l.apply(brokenAttempt(attempt, ran))
}

// answerStatus gives the endpoint's word; an attempt that it never saw is barred.
func (l *life) answerStatus() {
	attempt := l.current()
	e := statusOf(attempt, qf.Unknown)
	if l.draw(3) > 0 {
		e.Certainty = qf.NotDone
		if l.ran[attempt] {
			e.Certainty = qf.Done
			e.Answer = &qf.ServiceResponse{Attempt: attempt, Body: []byte(reference(0))}
		}
	}
	l.asks = e.Certainty == qf.Unknown
	l.apply(e)
}

// stream brings the next event of a stream, often a wrong one.
func (l *life) stream() {
	attempt := l.current()
	next := len(l.text)
	e := pieceOf(attempt, next)
	e.Chunk.Text = reference(next)
	if next == l.request.MaxTokens {
		e = endOf(attempt, next)
	}
	switch l.draw(16) {
	case 0:
		l.breakAttempt()
		return
	case 1: // A piece is lost.
		e.Chunk.Offset++
		e.Chunk.Text = reference(next + 1)
	case 2: // A piece comes twice.
		e.Chunk.Offset = max(next-1, 0)
		e.Chunk.Text = reference(e.Chunk.Offset)
	case 3: // Another caller's piece.
		e.Chunk.Attempt, e.Chunk.Text = "other", "other "
	case 4: // A late piece of an earlier attempt, which saw another prefix.
		e.Attempt, e.Chunk.Attempt, e.Chunk.Text = l.attempts[0], l.attempts[0], "late "
		if len(l.attempts) == 1 {
			return
		}
	case 5:
		l.ran[attempt] = l.ran[attempt] || l.draw(2) == 0
		l.apply(Event{Kind: EventLeaving, Endpoint: qf.EndpointID("e" + string(attempt))})
		return
	default:
	}
	l.ran[attempt] = true
	l.apply(e)
}

func (l *life) call() {
	attempt := l.current()
	e := Event{Kind: EventAnswer, Attempt: attempt}
	switch l.draw(4) {
	case 0:
		l.breakAttempt()
		return
	case 1: // Another caller's answer.
		l.ran[attempt] = l.draw(2) == 0
		e.Answer = &qf.ServiceResponse{Attempt: "other", Body: []byte("other ")}
	default:
		l.ran[attempt] = true
		e.Answer = &qf.ServiceResponse{Attempt: attempt, Body: []byte(reference(0))}
	}
	l.apply(e)
}

func (l *life) executions() int {
	n := 0
	for _, ran := range l.ran {
		if ran {
			n++
		}
	}
	return n
}

// check holds at every moment.
func (l *life) check() error {
	for i, text := range l.text {
		if text != reference(i) {
			return fmt.Errorf("the caller got %q at offset %d", text, i)
		}
	}
	if l.request.OnceOnly() && l.executions() > 1 {
		return fmt.Errorf("a once-only request ran %d times", l.executions())
	}
	return nil
}

// judge holds at the end.
func (l *life) judge() error {
	switch {
	case l.action.Outcome == qf.OutcomeNotRun && l.executions() > 0:
		return fmt.Errorf("refused as not run after %d executions", l.executions())
	case l.action.Outcome == qf.OutcomeAnswered && len(l.text) != max(l.request.MaxTokens, 1):
		return fmt.Errorf("an answer has %d tokens", len(l.text))
	}
	return l.check()
}

func requestKinds() []*qf.Request {
	return []*qf.Request{chatRequest(), callRequest(), onceOnlyRequest()}
}

// TestLife draws lives of requests and checks the invariants of each.
func TestLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := requestKinds()[rapid.IntRange(0, 2).Draw(t, "kind")]
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if err := live(draw, request, NewLifecycle(request, 3, History{})); err != nil {
			t.Fatal(err)
		}
	})
}

// mutant distorts the events that reach a lifecycle.
type mutant struct {
	*Lifecycle
	distort func(l *Lifecycle, e Event) Event
}

func (m *mutant) Apply(e Event) Action { return m.Lifecycle.Apply(m.distort(m.Lifecycle, e)) }

// ignoreAttempt takes every piece and answer for one of the current attempt.
func ignoreAttempt(l *Lifecycle, e Event) Event {
	if e.Kind == EventChunk || e.Kind == EventAnswer {
		e.Attempt, e.Chunk.Attempt = l.attempt, l.attempt
		if e.Answer != nil {
			answer := *e.Answer
			answer.Attempt = l.attempt
			e.Answer = &answer
		}
	}
	return e
}

// notRunOnBreak takes every broken connection for proof.
func notRunOnBreak(_ *Lifecycle, e Event) Event {
	if e.Kind == EventBroken {
		e.Ran = qf.RanNo
	}
	return e
}

// ignoreOffset takes every piece for the next one.
func ignoreOffset(l *Lifecycle, e Event) Event {
	if e.Kind == EventChunk {
		e.Chunk.Offset = l.tokens
	}
	return e
}

// TestLifeCatchesFaults shows that the invariants catch deliberate faults, and
// nothing else, in the same lives.
func TestLifeCatchesFaults(t *testing.T) {
	tests := []struct {
		name    string
		distort func(l *Lifecycle, e Event) Event
		caught  bool
	}{
		{"none", func(_ *Lifecycle, e Event) Event { return e }, false},
		{"ignore the attempt identifier", ignoreAttempt, true},
		{"answer NotRun on a broken connection", notRunOnBreak, true},
		{"ignore the offset", ignoreOffset, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first := firstBroken(test.distort)
			if (first != nil) != test.caught {
				t.Fatalf("caught %v, want caught %v", first, test.caught)
			}
			t.Log(first)
		})
	}
}

const seededLives = 10000

func firstBroken(distort func(l *Lifecycle, e Event) Event) error {
	for seed := range uint64(seededLives) {
		request := requestKinds()[seed%3]
		machine := &mutant{NewLifecycle(request, 3, History{}), distort}
		if err := live(rand.New(rand.NewPCG(seed, 1)).IntN, request, machine); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
