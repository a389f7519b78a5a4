package qfhttp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
)

// firstRequestTime is how long a drain waits for the first request of a new connection.
const firstRequestTime = time.Second

// drainingListener accepts connections of a DrainingServer.
type drainingListener struct {
	net.Listener
	clock qf.Clock
	// onAccept is called before each wait for a connection.
	onAccept func()
	// isEnding is set from when the listener is closed once nothing waits to be accepted.
	isEnding atomic.Bool
}

// deadlineListener is implemented by listeners whose wait for a connection can be interrupted.
type deadlineListener interface{ SetDeadline(time.Time) error }

// lastAcceptTime bounds the wait for a connection that waits to be accepted.
const lastAcceptTime = 10 * time.Millisecond

// closeOnceEmpty makes the goroutine that accepts close the listener as soon as nothing waits: between its last look and the close there is no switch to
// another goroutine. It returns false if the wait of that goroutine can't be interrupted.
func (l *drainingListener) closeOnceEmpty() bool {
	interruptible, ok := l.Listener.(deadlineListener)
	if ok {
		l.isEnding.Store(true)
		_ = interruptible.SetDeadline(interrupted) // A listener that fails here is closed.
	}
	return ok
}

// accept waits for a connection. Once the listener is ending, it takes what waits, and closes the listener if nothing does.
func (l *drainingListener) accept() (net.Conn, error) {
	for {
		if l.isEnding.Load() {
			if !isReadable(l.Listener) {
				_ = l.Close() // It may be closed already.
				return nil, net.ErrClosed
			}
			_ = l.Listener.(deadlineListener).SetDeadline(l.clock.Now().Add(lastAcceptTime)) // As above.
		}
		connection, err := l.Listener.Accept()
		if err == nil || !l.isEnding.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return connection, err
		}
	}
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	l.onAccept()
	connection, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &drainingConn{Conn: connection, isWaiting: true, awaitedUntil: l.clock.Now().Add(firstRequestTime)}, nil
}

// IsReadable reports whether connections wait to be accepted; false also stands for not known.
func (l *drainingListener) IsReadable() bool { return isReadable(l.Listener) }
