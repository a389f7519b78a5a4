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
	// handshakeTimeout bounds one handshake, maxHandshakes those in progress.
	handshakeTimeout = 5 * time.Second
	maxHandshakes    = 256
)

// errBusy refuses a connection over the bound of handshakes in progress.
var errBusy = errors.New("too many handshakes are in progress")

// RefusalHandler takes notice of a connection that was refused.
type RefusalHandler func(remote net.Addr, err error)

// listener hands out only connections whose handshake succeeded.
type listener struct {
	net.Listener
	identity *Identity
	admitted Role
	refused  RefusalHandler
	// slots bounds the handshakes in progress.
	slots    chan struct{}
	accepted chan net.Conn
	// ctx ends when the listener is closed, or with the accept loop's error.
	ctx    context.Context
	cancel context.CancelCauseFunc
	done   sync.WaitGroup
}

// Listen returns a listener that admits only holders of a certificate of the
// role. Handshakes don't hold each other up.
func (i *Identity) Listen(inner net.Listener, admitted Role, refused RefusalHandler) net.Listener {
	l := &listener{
		Listener: inner, identity: i, admitted: admitted, refused: refused,
		slots: make(chan struct{}, maxHandshakes), accepted: make(chan net.Conn),
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
		case l.slots <- struct{}{}:
			l.done.Go(func() { l.shake(raw) })
		default:
			l.refuse(raw, errBusy)
		}
	}
}

func (l *listener) refuse(raw net.Conn, err error) {
	_ = raw.Close() // It is given up either way.
	l.refused(raw.RemoteAddr(), err)
}

// shake runs one handshake and offers the connection to Accept.
func (l *listener) shake(raw net.Conn) {
	defer func() { <-l.slots }()
	connection := tls.Server(raw, l.identity.serverConfig(l.admitted))
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	if err := connection.HandshakeContext(ctx); err != nil {
		l.refuse(raw, err)
		return
	}
	select {
	case l.accepted <- connection:
	case <-l.ctx.Done():
		_ = raw.Close() // Nobody takes it any more.
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

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.cancel(net.ErrClosed)
	l.done.Wait()
	return err
}
