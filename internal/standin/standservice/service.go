// Package standservice is a small stand-in for a plain service. It records each
// execution, so that a test can count them.
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

// Behaviour configures the execution time and the injected faults. Where a field
// makes every nth call misbehave, 0 means none.
type Behaviour struct {
	// Takes is the execution time of one call.
	Takes time.Duration
	// BreakBefore closes the connection of every nth call before it is executed,
	// and BreakAfter after it was executed.
	BreakBefore int
	BreakAfter  int
	// RefuseEvery refuses every nth call with the header that it was not run.
	RefuseEvery int
	// CrossEvery echoes another attempt's identifier in every nth response.
	CrossEvery int
	// NoStatus makes status queries fail as not implemented.
	NoStatus bool
}

// Execution is one executed call.
type Execution struct {
	Attempt      qf.AttemptID
	Organisation qf.Organisation
	Method       string
	Path         string
	Body         string
}

// ExecutionLog records the executions of all services of one entry.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// Executions returns a copy of the executions so far, in order.
func (j *ExecutionLog) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution(nil), j.executions...)
}

// add records an execution and returns the number of executions so far.
func (j *ExecutionLog) add(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, e)
	return len(j.executions)
}

// Service is one plain service.
type Service struct {
	clock qf.Clock
	self  qf.Endpoint
	log   *ExecutionLog

	mu        sync.Mutex
	behaviour Behaviour
	calls     int
	running   int
	sequence  uint64
	leaving   bool
	// responses holds the response of each executed attempt.
	responses map[qf.AttemptID]qf.ServiceResponse
	// started holds the attempts whose execution has started.
	started map[qf.AttemptID]bool
	// barred holds the attempts whose status was queried before they were
	// received. They are refused on arrival.
	barred map[qf.AttemptID]bool
}

// New returns a service that records its executions in the log.
func New(clock qf.Clock, self qf.Endpoint, behaviour Behaviour, log *ExecutionLog) *Service {
	return &Service{
		clock: clock, self: self, behaviour: behaviour, log: log,
		responses: map[qf.AttemptID]qf.ServiceResponse{},
		started:   map[qf.AttemptID]bool{},
		barred:    map[qf.AttemptID]bool{},
	}
}

// SetBehaviour replaces the behaviour for later calls.
func (s *Service) SetBehaviour(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
}

// Leave makes the service refuse new calls.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Handler serves the service's protocol over HTTP. PUT /behaviour replaces the
// Behaviour, GET /executions lists the executions, and every other path is a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfendpoint.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+qfendpoint.PathStatus+"{attempt}", s.serveStatus)
	mux.HandleFunc("PUT /behaviour", s.serveBehaviour)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// maxCallBytes is the maximum size of a call's body.
const maxCallBytes = 8 << 20

// serveCall executes a call, subject to the injected faults.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return
	}
	attempt := qf.AttemptID(r.Header.Get(qfendpoint.HeaderAttempt))
	decision, number, behaviour := s.decide(attempt)
	if decision == decisionRefuse {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, "the service takes no new work", http.StatusServiceUnavailable)
		return
	}
	if decision == decisionBreak {
		panic(http.ErrAbortHandler)
	}
	response := s.execute(r, attempt, string(body), behaviour)
	if isNth(number, behaviour.BreakAfter) {
		panic(http.ErrAbortHandler)
	}
	if isNth(number, behaviour.CrossEvery) {
		response.Attempt = "another-" + response.Attempt
	}
	writeResponse(w, &response)
}

// callDecision is how a received call is handled.
type callDecision string

const (
	decisionRun    callDecision = "Runs"
	decisionRefuse callDecision = "Refused"
	decisionBreak  callDecision = "Broken"
)

// decide returns how to handle a call, its number and the behaviour for it. A call
// that will be executed is marked as started, so that a later status query can't
// bar it.
func (s *Service) decide(attempt qf.AttemptID) (callDecision, int, Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.leaving || s.barred[attempt] || isNth(s.calls, s.behaviour.RefuseEvery) {
		return decisionRefuse, s.calls, s.behaviour
	}
	if isNth(s.calls, s.behaviour.BreakBefore) {
		return decisionBreak, s.calls, s.behaviour
	}
	s.started[attempt] = true
	return decisionRun, s.calls, s.behaviour
}

// execute executes a call and records the execution and the response.
func (s *Service) execute(r *http.Request, attempt qf.AttemptID, body string, behaviour Behaviour) qf.ServiceResponse {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	if behaviour.Takes > 0 {
		<-s.clock.After(behaviour.Takes).C()
	}
	number := s.log.add(Execution{
		Attempt: attempt, Organisation: qf.Organisation(r.Header.Get(qfapi.HeaderOrganisation)),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	})
	response := qf.ServiceResponse{
		Attempt: attempt, Status: http.StatusOK, ContentType: "text/plain",
		Body: []byte(ExpectedPrefix(r.Method, r.URL.RequestURI(), body) + fmt.Sprintf(" #%d\n", number)),
	}
	s.mu.Lock()
	s.running--
	s.responses[attempt] = response
	s.mu.Unlock()
	return response
}

// ExpectedPrefix returns the start of the correct response's body, which doesn't
// depend on the order of calls.
func ExpectedPrefix(method, path, body string) string {
	return fmt.Sprintf("%s %s ran with %q", method, path, body)
}

func writeResponse(w http.ResponseWriter, response *qf.ServiceResponse) {
	w.Header().Set("Content-Type", response.ContentType)
	w.Header().Set(qfendpoint.HeaderAttempt, string(response.Attempt))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // The client detects a truncated body.
}

// serveStatus reports the status of an attempt. An attempt that has not been
// received is barred, so that the reported status remains correct.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	attempt := qf.AttemptID(r.PathValue("attempt"))
	s.mu.Lock()
	response, done := s.responses[attempt]
	started := s.started[attempt]
	noStatus := s.behaviour.NoStatus
	if !started && !noStatus {
		s.barred[attempt] = true
	}
	s.mu.Unlock()
	switch {
	case noStatus:
		http.Error(w, "no status is kept", http.StatusNotImplemented)
	case done:
		writeResponse(w, &response)
	case started:
		w.Header().Set(qfendpoint.HeaderStillRunning, "true")
		http.Error(w, "still running", http.StatusConflict)
	default:
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, "the attempt never arrived and is barred", http.StatusNotFound)
	}
}

// serveLoad sends a new load report of the service.
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
	writeJSON(w, s.log.Executions())
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
	_ = json.NewEncoder(w).Encode(body) // The client detects a truncated body.
}

// isNth reports whether a number is a multiple of every. It is false if every is 0.
func isNth(number, every int) bool { return every > 0 && number%every == 0 }
