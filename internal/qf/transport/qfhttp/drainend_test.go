package qfhttp_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// endingListener calls arrive when the server begins to end it, whichever way, and accepts nothing before.
type endingListener struct {
	*net.TCPListener
	arrive  func()
	arrived *hold
	// waits ends once the server waits for a connection.
	waits *hold
}

// Accept implements net.Listener.
func (l *endingListener) Accept() (net.Conn, error) {
	l.waits.end()
	<-l.arrived.ended
	return l.TCPListener.Accept()
}

// Close implements net.Listener.
func (l *endingListener) Close() error {
	l.arrive()
	return l.TCPListener.Close()
}

// SetDeadline interrupts the wait for a connection if the deadline has passed.
func (l *endingListener) SetDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(qftimer.NewWall().Now()) {
		l.arrive()
	}
	return l.TCPListener.SetDeadline(deadline)
}

// TestDrainAnswersConnectionsThatComeAsItEnds fails if a stopping server resets connections that come after it has decided to close its listener, and
// before the goroutine that accepts gets to do so.
func TestDrainAnswersConnectionsThatComeAsItEnds(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &drainedServer{t: t, address: raw.Addr().String()}
	var late []*drainedCaller
	arrived := newHold()
	listener := &endingListener{TCPListener: raw.(*net.TCPListener), arrived: arrived, waits: newHold(), arrive: sync.OnceFunc(func() {
		defer arrived.end()
		for range 10 {
			c := d.dial()
			c.send("/late")
			late = append(late, c)
		}
		awaitBytes(t, raw.(*net.TCPListener))
	})}
	server := qfhttp.NewDrainingServer(
		&http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}, listener,
		qfhttp.NewConnectionBudget(qftimer.NewWall(), 0, func(qfhttp.LimitBreak) {}), qfhttp.PortLimits{Name: "callers"},
	)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve() })
	<-listener.waits.ended
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // It only ends a test that has failed.
	defer cancel()
	server.Drain(ctx)
	running.Wait()
	for i, c := range late {
		if err := c.receive(); err != nil {
			t.Errorf("request %d of a connection that came as the listener was closed has no answer: %v", i, err)
		}
	}
}
