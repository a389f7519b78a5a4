package qfhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// DrainingServer is an HTTP server whose stop answers each request that it has read. Shutdown of net/http closes a connection
// whose request it reads meanwhile, and the caller of a request that may run once can't send it again.
type DrainingServer struct {
	server   *http.Server
	listener net.Listener
	// served is closed once no more connections are accepted.
	served chan struct{}

	mu sync.Mutex
	// states holds the state of each open connection.
	states map[net.Conn]http.ConnState
	// report is that of the drain; it is nil before.
	report *DrainReport
	// empty is closed when no connection is open any more; it is nil while the server isn't draining.
	empty chan struct{}
}

// DrainReport describes how the connections of a server ended that was drained.
type DrainReport struct {
	// Open and Idle are the numbers of connections at the start, and of those without a request in progress.
	Open, Idle int
	// IsQueued is true if connections waited to be accepted at the start.
	IsQueued bool
	// Unread is the number of idle connections with bytes that weren't read at the start.
	Unread int
	// Accepted is the number of connections that were accepted during the drain, Answered that of the requests that were
	// answered during it.
	Accepted, Answered int
	// Aborted is the number of connections with a request in progress that were closed when the time was over.
	Aborted int
}

// NewDrainingServer returns a server that hasn't started. Its connections are admitted to a budget.
func NewDrainingServer(server *http.Server, listener net.Listener, budget *ConnectionBudget, limits PortLimits) *DrainingServer {
	s := &DrainingServer{server: server, served: make(chan struct{}), states: map[net.Conn]http.ConnState{}}
	connState := server.ConnState
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		s.recordState(connection, state)
		if connState != nil {
			connState(connection, state)
		}
	}
	s.listener = budget.Guard(server, listener, limits)
	return s
}

// Serve serves the listener's connections until it is closed.
func (s *DrainingServer) Serve() error {
	defer close(s.served)
	return s.server.Serve(s.listener)
}

// recordState follows the connections.
func (s *DrainingServer) recordState(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.states[connection]
	if s.report != nil {
		s.report.recordState(before, state)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, connection)
		s.signalEmpty()
	default:
		s.states[connection] = state
	}
}

func (r *DrainReport) recordState(before, after http.ConnState) {
	switch {
	case after == http.StateNew:
		r.Accepted++
	case before == http.StateActive && (after == http.StateIdle || after == http.StateClosed):
		r.Answered++
	}
}

// signalEmpty ends the drain once there are no connections. The caller must hold s.mu.
func (s *DrainingServer) signalEmpty() {
	if len(s.states) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

// Drain closes the listener and the idle connections, and the others after their next answer. It returns when all are closed, and
// closes those that are left when the context ends.
func (s *DrainingServer) Drain(ctx context.Context) DrainReport {
	s.beginReport()
	_ = s.listener.Close() // What was accepted is served below.
	s.server.SetKeepAlivesEnabled(false)
	<-s.served
	empty := make(chan struct{})
	s.mu.Lock()
	s.empty = empty
	s.signalEmpty()
	s.mu.Unlock()
	select {
	case <-empty:
	case <-ctx.Done():
	}
	report := s.endReport()
	_ = s.server.Close() // Nothing is left, or the grace is over.
	return report
}

// IsDraining reports whether the drain has begun.
func (s *DrainingServer) IsDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report != nil
}

// beginReport begins the report of a drain.
func (s *DrainingServer) beginReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = &DrainReport{Open: len(s.states), IsQueued: isReadable(s.listener)}
	for connection, state := range s.states {
		if state != http.StateIdle {
			continue
		}
		s.report.Idle++
		if isReadable(connection) {
			s.report.Unread++
		}
	}
}

// endReport returns the report of a drain whose time is over.
func (s *DrainingServer) endReport() DrainReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		if state == http.StateActive {
			s.report.Aborted++
		}
	}
	return *s.report
}
