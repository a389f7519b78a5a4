package qftls

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// handshakeTimeout bounds one handshake.
	handshakeTimeout = 5 * time.Second
	// maxHandshakes bounds the handshakes in progress.
	maxHandshakes = 256
)

// errTooManyHandshakes is the reason for refusing a connection over maxHandshakes.
var errTooManyHandshakes = errors.New("too many handshakes are in progress")

// RefusalHandler is called for each refused connection.
type RefusalHandler func(remote net.Addr, err error)

// listener accepts only connections whose handshake succeeds.
type listener struct {
	net.Listener
	identity  *Identity
	role      Role
	onRefusal RefusalHandler
	// handshakes bounds the handshakes in progress.
	handshakes chan struct{}
	accepted   chan net.Conn
	// ctx is cancelled when the listener is closed, or with the accept loop's error.
	ctx    context.Context
	cancel context.CancelCauseFunc
	done   sync.WaitGroup
}

// Listen returns a listener that admits only holders of a certificate of the role.
// Handshakes run concurrently, so that a slow one doesn't block others.
func (i *Identity) Listen(inner net.Listener, role Role, onRefusal RefusalHandler) net.Listener {
	l := &listener{
		Listener: inner, identity: i, role: role, onRefusal: onRefusal,
		handshakes: make(chan struct{}, maxHandshakes), accepted: make(chan net.Conn),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.done.Go(l.acceptAll)
	return l
}

func (l *listener) acceptAll() {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.cancel(err)
			return
		}
		select {
		case l.handshakes <- struct{}{}:
			l.done.Go(func() { l.handshake(raw) })
		default:
			l.refuse(raw, errTooManyHandshakes)
		}
	}
}

func (l *listener) refuse(raw net.Conn, err error) {
	_ = raw.Close() // The connection is abandoned either way.
	l.onRefusal(raw.RemoteAddr(), err)
}

// handshake performs one handshake and passes the connection to Accept.
func (l *listener) handshake(raw net.Conn) {
	defer func() { <-l.handshakes }()
	connection := tls.Server(raw, l.identity.serverConfig(l.role))
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	if err := connection.HandshakeContext(ctx); err != nil {
		l.refuse(raw, err)
		return
	}
	select {
	case l.accepted <- connection:
	case <-l.ctx.Done():
		_ = raw.Close() // The listener was closed.
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.ctx.Done():
		return nil, context.Cause(l.ctx)
	}
}

// IsReadable reports whether handshakes are in progress or connections wait to be accepted. A client may have sent a request behind its
// part of the handshake. Connections that the listener hasn't taken yet don't count: their clients can't have sent one.
func (l *listener) IsReadable() bool { return len(l.handshakes) > 0 }

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.cancel(net.ErrClosed)
	l.done.Wait()
	return err
}
