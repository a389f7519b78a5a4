// Package standservice is a small stand-in for a plain service. It records
// every execution, so that a test can count them.
package standservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/pkg/qfapi"
)

// Behaviour says how the service works and fails.
type Behaviour struct {
	// Takes is the time of one call.
	Takes time.Duration
	// BreakBefore breaks every so-many-th connection before the call runs, and
	// BreakAfter after it ran.
	BreakBefore int
	BreakAfter  int
	// RefuseEvery refuses every so-many-th call with proof that it didn't run.
	RefuseEvery int
	// CrossEvery echoes another attempt's identifier on every so-many-th answer.
	CrossEvery int
	// NoStatus makes the service forget what it ran.
	NoStatus bool
}

// Execution is one call that ran.
type Execution struct {
	Attempt      qf.AttemptID
	Organisation qf.Organisation
	Method       string
	Path         string
	Body         string
}

// ExecutionLog collects the executions of several services of one entry.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// Executions returns a copy of what ran so far, in order.
func (j *ExecutionLog) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution(nil), j.executions...)
}

func (j *ExecutionLog) add(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, e)
	return len(j.executions)
}

// Service is one plain service.
type Service struct {
	clock   qf.Clock
	self    qf.Endpoint
	journal *ExecutionLog

	mu        sync.Mutex
	behaviour Behaviour
	calls     int
	running   int
	sequence  uint64
	leaving   bool
	// answers holds what each attempt was answered.
	answers map[qf.AttemptID]qf.ServiceResponse
	// started holds the attempts that began to run.
	started map[qf.AttemptID]bool
	// barred holds the attempts that were asked about before they arrived; they
	// will never run.
	barred map[qf.AttemptID]bool
}

// New returns a service that records its executions in the journal.
func New(clock qf.Clock, self qf.Endpoint, behaviour Behaviour, journal *ExecutionLog) *Service {
	return &Service{
		clock: clock, self: self, behaviour: behaviour, journal: journal,
		answers: map[qf.AttemptID]qf.ServiceResponse{},
		started: map[qf.AttemptID]bool{},
		barred:  map[qf.AttemptID]bool{},
	}
}

// SetBehaviour replaces the behaviour.
func (s *Service) SetBehaviour(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
}

// Leave makes the service refuse new work.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Handler serves the service's contract over HTTP. Every path that isn't the
// contract's is a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfendpoint.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+qfendpoint.PathStatus+"{attempt}", s.serveStatus)
	mux.HandleFunc("PUT /behaviour", s.serveBehaviour)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

const maxCallBytes = 8 << 20

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return
	}
	attempt := qf.AttemptID(r.Header.Get(qfendpoint.HeaderAttempt))
	fate, number, behaviour := s.begin(attempt)
	if fate == fateRefused {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, "the service takes no new work", http.StatusServiceUnavailable)
		return
	}
	if fate == fateBroken {
		panic(http.ErrAbortHandler)
	}
	answer := s.run(r, attempt, string(body), behaviour)
	if isEvery(number, behaviour.BreakAfter) {
		panic(http.ErrAbortHandler)
	}
	if isEvery(number, behaviour.CrossEvery) {
		answer.Attempt = "another-" + answer.Attempt
	}
	writeAnswer(w, &answer)
}

// fate says what becomes of a call that arrived.
type fate string

const (
	fateRuns    fate = "Runs"
	fateRefused fate = "Refused"
	fateBroken  fate = "Broken"
)

// begin decides a call's fate. A call that will run counts as started from here
// on, so that a question about its status can't bar it any more.
func (s *Service) begin(attempt qf.AttemptID) (fate, int, Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.leaving || s.barred[attempt] || isEvery(s.calls, s.behaviour.RefuseEvery) {
		return fateRefused, s.calls, s.behaviour
	}
	if isEvery(s.calls, s.behaviour.BreakBefore) {
		return fateBroken, s.calls, s.behaviour
	}
	s.started[attempt] = true
	return fateRuns, s.calls, s.behaviour
}

func (s *Service) run(r *http.Request, attempt qf.AttemptID, body string, behaviour Behaviour) qf.ServiceResponse {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	if behaviour.Takes > 0 {
		<-s.clock.After(behaviour.Takes).C()
	}
	number := s.journal.add(Execution{
		Attempt: attempt, Organisation: qf.Organisation(r.Header.Get(qfapi.HeaderOrganisation)),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	})
	answer := qf.ServiceResponse{
		Attempt: attempt, Status: http.StatusOK, ContentType: "text/plain",
		Body: []byte(ExpectedPrefix(r.Method, r.URL.RequestURI(), body) + fmt.Sprintf(" #%d\n", number)),
	}
	s.mu.Lock()
	s.running--
	s.answers[attempt] = answer
	s.mu.Unlock()
	return answer
}

// ExpectedPrefix returns the part of the right answer that doesn't depend on the
// order of calls.
func ExpectedPrefix(method, path, body string) string {
	return fmt.Sprintf("%s %s ran with %q", method, path, body)
}

func writeAnswer(w http.ResponseWriter, answer *qf.ServiceResponse) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(qfendpoint.HeaderAttempt, string(answer.Attempt))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // The reader sees a cut body.
}

// serveStatus says what became of an attempt. An attempt that hasn't arrived is
// barred, so that the answer stays true.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	attempt := qf.AttemptID(r.PathValue("attempt"))
	s.mu.Lock()
	answer, done := s.answers[attempt]
	started := s.started[attempt]
	forgets := s.behaviour.NoStatus
	if !started && !forgets {
		s.barred[attempt] = true
	}
	s.mu.Unlock()
	switch {
	case forgets:
		http.Error(w, "no status is kept", http.StatusNotImplemented)
	case done:
		writeAnswer(w, &answer)
	case started:
		w.Header().Set(qfendpoint.HeaderStillRunning, "true")
		http.Error(w, "still running", http.StatusConflict)
	default:
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, "the attempt never arrived and is barred", http.StatusNotFound)
	}
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.sequence++
	report := qf.LoadReport{
		Endpoint: s.self.ID, Sequence: s.sequence, At: s.clock.Now(), Running: s.running,
		Entry: s.self.Entry, Version: s.self.Version, Leaving: s.leaving,
	}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.journal.Executions())
}

func (s *Service) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var behaviour Behaviour
	if err := json.NewDecoder(r.Body).Decode(&behaviour); err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	s.SetBehaviour(behaviour)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The reader sees a cut body.
}

func isEvery(number, every int) bool { return every > 0 && number%every == 0 }
