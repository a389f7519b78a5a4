package qfhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// budgetedListener admits a port's connections to a budget.
type budgetedListener struct {
	net.Listener
	port *portBudget
}

// Guard makes a server that hasn't started follow its connections, and returns the listener that it must serve. Connections above
// the limits get a typed refusal if all others have requests in progress.
func (b *ConnectionBudget) Guard(server *http.Server, listener net.Listener, limits PortLimits) net.Listener {
	p := b.newPort(limits, busyResponse)
	server.Handler = budgetedHandler(server.Handler)
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, connection)
		}
		return context.WithValue(ctx, budgetedConnKey{}, connection)
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if c, ok := connection.(*budgetedConn); ok {
			c.recordState(state)
		}
		if connState != nil {
			connState(connection, state)
		}
	}
	return &budgetedListener{Listener: listener, port: p}
}

// GuardMessages returns a listener of connections that carry messages instead of HTTP: a message counts as held from its length on
// until something is sent, and the connection to which nothing was sent longest is closed first.
func (b *ConnectionBudget) GuardMessages(listener net.Listener, limits PortLimits) net.Listener {
	return &messageListener{Listener: listener, port: b.newPort(limits, "")}
}

// Accept implements net.Listener.
func (l *budgetedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return c, nil
		}
		l.port.refusals.refuse(raw)
	}
}

// IsReadable reports whether connections wait to be accepted; false also stands for not known.
func (l *budgetedListener) IsReadable() bool { return isReadable(l.Listener) }

func (c *budgetedConn) recordState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.endHead()
		c.endWait()
	case http.StateIdle:
		c.expectRequest()
		c.beginWait()
	default: // Close releases the connection.
	}
}

// budgetedConnKey is the key of a request's connection.
type budgetedConnKey struct{}

// budgetedHandler marks requests as in progress once they are complete.
func budgetedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(budgetedConnKey{}).(*budgetedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !c.startRequest() {
				c.refuseEvicted(r)
				panic(http.ErrAbortHandler) // The connection is closed, and nothing was run.
			}
			next.ServeHTTP(w, r)
			return
		}
		body := r.Body
		r = r.WithContext(r.Context()) // net/http looks at the body of its own request when it decides whether to read the rest.
		r.Body = &budgetedBody{ReadCloser: body, connection: c, request: r}
		next.ServeHTTP(w, r)
		if c.isOpen() {
			c.boundDiscard()
			c.keepAnswer(w, r, body)
		}
		if !c.isOpen() {
			panic(http.ErrAbortHandler) // Without it net/http keeps a connection whose body wasn't read for another moment.
		}
	})
}

// budgetedBody marks its request as in progress at the body's end.
type budgetedBody struct {
	io.ReadCloser
	connection *budgetedConn
	request    *http.Request
}

// Read implements io.Reader.
func (b *budgetedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	isWhole := errors.Is(err, io.EOF)
	if err == nil || isWhole && b.connection.startRequest() || !isWhole && b.connection.isOpen() {
		return n, err
	}
	return n, b.endBody(isWhole)
}

// messageListener admits connections that carry messages.
type messageListener struct {
	net.Listener
	port *portBudget
}

// Accept implements net.Listener.
func (l *messageListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return &messageConn{budgetedConn: c}, nil
		}
		l.port.refusals.refuse(raw)
	}
}

// messageConn is a connection that carries messages.
type messageConn struct{ *budgetedConn }

// Read implements net.Conn.
func (c *messageConn) Read(b []byte) (int, error) { return c.Conn.Read(b) }

// ReserveMessage counts a message whose length was received as held. It returns false if there is no room for it.
func (c *messageConn) ReserveMessage(length int64) bool { return c.charge(length * bodyByteCost) }

// Write implements net.Conn.
func (c *messageConn) Write(b []byte) (int, error) {
	c.expectRequest()
	return c.Conn.Write(b)
}
