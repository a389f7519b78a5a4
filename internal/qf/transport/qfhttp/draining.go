package qfhttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// The times before the end of a drain's context at which connections are ended, whatever is still in progress: what has come on them by then
// is answered in the time that is left.
const (
	// endMargin is that of the listener and of kept connections without a request.
	endMargin = 200 * time.Millisecond
	// newEndMargin is that of new connections on which nothing has come.
	newEndMargin = 100 * time.Millisecond
)

// DrainingServer is an HTTP server whose drain answers each request that has come to one of its connections, read or not. Shutdown of
// net/http closes a connection by its state, which changes only once a request's head was parsed, and resets those that wait to be
// accepted.
type DrainingServer struct {
	server *http.Server
	// listener admits to a budget what acceptor accepts.
	listener net.Listener
	acceptor *drainingListener
	clock    qf.Clock
	// reuse is that of the port's limits, in whole seconds.
	reuse time.Duration
	// served is closed once no more connections are accepted.
	served chan struct{}

	mu sync.Mutex
	// states holds the state of each open connection.
	states map[*drainingConn]http.ConnState
	// changed is closed at the next change of a state. It is nil while nobody waits for it.
	changed chan struct{}
	// isEnding is true once connections end when they wait for a request.
	isEnding bool
	// report is that of the drain; it is nil before.
	report *DrainReport
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

// NewDrainingServer returns a server that hasn't started. Its connections are admitted to a budget. Its answers state for how long
// their connections may be used again, if the limits say.
func NewDrainingServer(server *http.Server, listener net.Listener, budget *ConnectionBudget, limits PortLimits) *DrainingServer {
	s := &DrainingServer{
		server: server, clock: budget.clock, reuse: limits.Reuse.Truncate(time.Second), served: make(chan struct{}), states: map[*drainingConn]http.ConnState{},
	}
	if s.reuse > 0 {
		server.Handler = s.stateReuse(server.Handler)
	}
	connState := server.ConnState
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if c, ok := connection.(*budgetedConn).Conn.(*drainingConn); ok {
			s.recordState(c, state)
		}
		if connState != nil {
			connState(connection, state)
		}
	}
	s.acceptor = &drainingListener{Listener: listener, clock: s.clock, onAccept: s.signalChange}
	s.listener = budget.Guard(server, s.acceptor, limits)
	return s
}

// stateReuse wraps a handler so that its answers state for how long their connections may be used again.
func (s *DrainingServer) stateReuse(next http.Handler) http.Handler {
	value := []string{fmt.Sprintf("timeout=%d", s.reuse/time.Second)}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Keep-Alive"] = value
		next.ServeHTTP(w, r)
	})
}

// Serve serves the listener's connections until it is closed.
func (s *DrainingServer) Serve() error {
	defer close(s.served)
	return s.server.Serve(s.listener)
}

// recordState follows the connections.
func (s *DrainingServer) recordState(c *drainingConn, state http.ConnState) {
	if state == http.StateIdle {
		c.expectRequest(s.clock.Now().Add(s.reuse))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report != nil {
		s.report.recordState(s.states[c], state)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, c)
	default:
		s.states[c] = state
	}
	if s.isEnding && state == http.StateIdle {
		c.endUnlessRequested() // The first request of a new connection is on its way.
	}
	s.signalChangeLocked()
}

// signalChange makes those that wait look at the connections again.
func (s *DrainingServer) signalChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalChangeLocked()
}

// signalChangeLocked is signalChange for a caller that holds s.mu.
func (s *DrainingServer) signalChangeLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
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

// Drain serves until no request is in progress and none is on its way: connections are accepted and kept ones go on while their clients may
// use them. Then those that wait for a request end, and the listener is closed once nothing waits to be accepted. Drain returns when all connections are closed, and
// closes those that are left when the context ends. The handler must ask clients to close their connections.
func (s *DrainingServer) Drain(ctx context.Context) DrainReport {
	s.beginReport()
	s.awaitQuiet(ctx)
	s.endWaiting(func(c *drainingConn, state http.ConnState) bool {
		until, _ := c.awaitsUntil()
		return state == http.StateIdle || !until.After(s.clock.Now())
	})
	s.endListener(ctx)
	s.awaitClosed(ctx)
	report := s.endReport()
	_ = s.server.Close() // Nothing is left, or the grace is over.
	return report
}

// endListener closes the listener once nothing waits to be accepted, or when the context ends. What was accepted is served on.
func (s *DrainingServer) endListener(ctx context.Context) {
	if !s.acceptor.closeOnceEmpty() {
		s.await(ctx, func() bool { return !isReadable(s.listener) })
		_ = s.listener.Close() // It may be closed already.
	}
	select {
	case <-s.served:
	case <-ctx.Done():
		_ = s.listener.Close() // As above.
	}
}

// awaitClosed waits until all connections are closed, or until the context ends. It ends new connections on which nothing has come in time.
func (s *DrainingServer) awaitClosed(ctx context.Context) {
	limited, cancel := endingBefore(ctx, newEndMargin)
	defer cancel()
	var ending sync.WaitGroup
	ending.Go(func() {
		s.sleep(limited, firstRequestTime) // The last connections were accepted before.
		s.endWaiting(func(*drainingConn, http.ConnState) bool { return true })
	})
	s.await(ctx, func() bool { return len(s.states) == 0 })
	cancel()
	ending.Wait()
}

// endingBefore returns a context that ends a time before another one does, if that one has a deadline.
func endingBefore(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// awaitQuiet waits until no request is in progress, no connection waits to be accepted, and no client may use one for a first or a further
// request, or until endMargin before the end of the context.
func (s *DrainingServer) awaitQuiet(ctx context.Context) {
	ctx, cancel := endingBefore(ctx, endMargin)
	defer cancel()
	for ctx.Err() == nil {
		var awaitedUntil time.Time
		s.await(ctx, func() bool {
			isQuiet, until := s.checkQuiet()
			awaitedUntil = until
			return isQuiet && !isReadable(s.listener)
		})
		left := awaitedUntil.Sub(s.clock.Now())
		if left <= 0 {
			return
		}
		s.sleep(ctx, left)
	}
}

// checkQuiet reports whether no request is in progress, and until when one may come to a connection. The caller must hold s.mu.
func (s *DrainingServer) checkQuiet() (isQuiet bool, until time.Time) {
	for c, state := range s.states {
		awaits, isWaiting := c.awaitsUntil()
		if state != http.StateIdle && (state != http.StateNew || !isWaiting) {
			return false, time.Time{}
		}
		if awaits.After(until) {
			until = awaits
		}
	}
	return true, until
}

// sleep waits for a time, or until the context ends.
func (s *DrainingServer) sleep(ctx context.Context, delay time.Duration) {
	timer := s.clock.After(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// endWaiting ends the connections that match and wait for a request, and from now on those that come to wait for another one.
func (s *DrainingServer) endWaiting(matches func(*drainingConn, http.ConnState) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnding = true
	for c, state := range s.states {
		if matches(c, state) {
			c.endUnlessRequested()
		}
	}
}

// await waits until a condition holds, which is checked under s.mu at each change of a connection's state, or until the context ends.
func (s *DrainingServer) await(ctx context.Context, holds func() bool) {
	for {
		s.mu.Lock()
		if holds() {
			s.mu.Unlock()
			return
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
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
