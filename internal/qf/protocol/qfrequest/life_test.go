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

// fixedSeed makes each run in CI draw the same cases. Set -rapid.seed to draw others.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// applier is a Lifecycle or a mutant of one.
type applier interface{ Apply(e Event) Action }

// drawer draws a number in [0, n).
type drawer func(n int) int

// life is one simulated request: it simulates the runner, the endpoints and the network
// of a lifecycle, and records which attempts really ran.
type life struct {
	draw    drawer
	request *qf.Request
	machine applier
	// ran holds for each attempt whether it really ran.
	ran      map[qf.AttemptID]bool
	attempts []qf.AttemptID
	// wantsAttempt is true while the machine waits for an attempt, wantsStatus while it
	// waits for a status.
	wantsAttempt, wantsStatus bool
	text                      []string
	action                    Action
}

func reference(offset int) string { return fmt.Sprintf("t%d ", offset) }

const maxSteps = 40

// live simulates one request to its end and returns the violated invariant, if any.
func live(draw drawer, request *qf.Request, machine applier) error {
	l := &life{draw: draw, request: request, machine: machine, ran: map[qf.AttemptID]bool{}}
	l.apply(accepted)
	for range maxSteps {
		if l.action.Kind == ActionFinish {
			return l.checkEnd()
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
	return l.checkEnd()
}

func (l *life) apply(e Event) {
	l.action = l.machine.Apply(e)
	switch l.action.Kind {
	case ActionDeliver:
		l.text = append(l.text, e.Chunk.Text)
	case ActionStart:
		l.wantsAttempt, l.wantsStatus = true, false
	case ActionQueryStatus:
		l.wantsStatus = true
	case ActionFinish:
		if l.action.Answer != nil {
			l.text = append(l.text, string(l.action.Answer.Body))
		}
	default:
	}
}

func (l *life) step() {
	switch {
	case l.wantsAttempt:
		l.start()
	case l.wantsStatus:
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
	l.wantsAttempt = false
	l.apply(Event{Kind: EventStarted, Attempt: attempt, Endpoint: qf.EndpointID("e" + string(attempt))})
}

// breakAttempt breaks the current attempt before or after it ran. Only an attempt that
// didn't run can be proven not to have run.
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

// answerStatus answers a status query; the endpoint bars an attempt that it hasn't
// received.
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
	l.wantsStatus = e.Certainty == qf.Unknown
	l.apply(e)
}

// stream applies the next event of a stream, often a faulty one.
func (l *life) stream() {
	attempt := l.current()
	next := len(l.text)
	e := chunkOf(attempt, next)
	e.Chunk.Text = reference(next)
	if next == l.request.MaxTokens {
		e = endOf(attempt, next)
	}
	switch l.draw(16) {
	case 0:
		l.breakAttempt()
		return
	case 1: // A chunk is lost.
		e.Chunk.Offset++
		e.Chunk.Text = reference(next + 1)
	case 2: // A chunk arrives twice.
		e.Chunk.Offset = max(next-1, 0)
		e.Chunk.Text = reference(e.Chunk.Offset)
	case 3: // Another caller's chunk.
		e.Chunk.Attempt, e.Chunk.Text = "other", "other "
	case 4: // A late chunk of an earlier attempt, which had another prefix.
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

// check checks the invariants that hold after every step.
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

// checkEnd checks the invariants at the end.
func (l *life) checkEnd() error {
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

// TestLife guards against a sequence of faults that makes a once-only request run twice,
// corrupts an answer or refuses a request as not run that ran.
func TestLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := requestKinds()[rapid.IntRange(0, 2).Draw(t, "kind")]
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if err := live(draw, request, NewLifecycle(request, 3, History{})); err != nil {
			t.Fatal(err)
		}
	})
}

// mutant is a lifecycle with a deliberate fault: it distorts the events that it receives.
type mutant struct {
	*Lifecycle
	distort func(l *Lifecycle, e Event) Event
}

func (m *mutant) Apply(e Event) Action { return m.Lifecycle.Apply(m.distort(m.Lifecycle, e)) }

// ignoreAttempt treats every chunk and answer as one of the current attempt.
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

// notRunOnBreak treats every broken connection as proof that the attempt didn't run.
func notRunOnBreak(_ *Lifecycle, e Event) Event {
	if e.Kind == EventBroken {
		e.Ran = qf.RanNo
	}
	return e
}

// ignoreOffset treats every chunk as the next one.
func ignoreOffset(l *Lifecycle, e Event) Event {
	if e.Kind == EventChunk {
		e.Chunk.Offset = l.tokens
	}
	return e
}

// TestLifeCatchesFaults checks that the invariants detect deliberate faults, and nothing
// else, in the same simulated requests.
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
