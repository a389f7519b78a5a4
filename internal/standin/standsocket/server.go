// Package standsocket is a stand-in for an endpoint in trouble on a real TCP socket: it sends any bytes as its answer and
// ends the connection in a chosen way, so that the kernel decides what the client sees.
package standsocket

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
)

// LongUploadBytes is more than the kernel buffers of a connection: while the server doesn't read, the write of such a body waits.
const LongUploadBytes = 8 << 20

// Ending is how a server ends a connection after its answer.
type Ending string

// The endings.
const (
	// Keeps leaves the connection open and reads until the client closes it.
	Keeps Ending = "Keeps"
	// Stalls leaves the connection open and reads no more.
	Stalls Ending = "Stalls"
	// Resets resets the connection.
	Resets Ending = "Resets"
	// ClosesUnread closes the connection while bytes of the request wait to be read. The kernel resets it.
	ClosesUnread Ending = "ClosesUnread"
	// EndsOwnSide ends the server's side in order and reads no more.
	EndsOwnSide Ending = "EndsOwnSide"
	// EndsAndReads ends the server's side in order and reads until the client closes the connection.
	EndsAndReads Ending = "EndsAndReads"
	// EndsAndCloses ends the server's side in order and then closes the connection without having read the rest of the
	// request. What the client writes then is answered with a reset.
	EndsAndCloses Ending = "EndsAndCloses"
)

// Server answers one request on each connection.
type Server struct {
	// Answer returns the bytes of the answer to a request, whose body isn't read yet.
	Answer func(request *http.Request) string
	Ending Ending
	// BodyBytes is how much of the request's body is read before the answer.
	BodyBytes int64
	// Hold delays the ending until it is closed; nil means no delay.
	Hold <-chan struct{}
	// Ended is called once the server has done what it does to end a connection; it may be nil.
	Ended func()
}

// Serve serves a listener until it is closed. Connections that the server leaves open end with the context.
func (s *Server) Serve(ctx context.Context, listener *net.TCPListener) {
	for {
		connection, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go s.serve(ctx, connection)
	}
}

// serve answers the request on a connection and ends the connection. Errors mean that the client has closed it.
func (s *Server) serve(ctx context.Context, connection *net.TCPConn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer connection.Close() //nolint:errcheck // The connection has ended either way.
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, s.BodyBytes); err != nil {
		return
	}
	if _, err := io.WriteString(connection, s.Answer(request)); err != nil {
		return
	}
	if s.Hold != nil {
		<-s.Hold
	}
	s.end(connection)
	if s.Ended != nil {
		s.Ended()
	}
	switch s.Ending {
	case Keeps, EndsAndReads:
		_, _ = io.Copy(io.Discard, connection)
	case Stalls, EndsOwnSide:
		<-ctx.Done()
	case Resets, ClosesUnread, EndsAndCloses:
	}
}

// end does what the server does to end a connection. An error means that the client has closed it.
func (s *Server) end(connection *net.TCPConn) {
	switch s.Ending {
	case Resets:
		_ = connection.SetLinger(0) // Closing then resets the connection.
		_ = connection.Close()
	case ClosesUnread:
		awaitUnread(connection)
		_ = connection.Close()
	case EndsAndCloses:
		_ = connection.CloseWrite()
		_ = connection.Close()
	case EndsOwnSide, EndsAndReads:
		_ = connection.CloseWrite()
	case Keeps, Stalls:
	}
}

// awaitUnread waits until bytes of the request wait to be read, or the client has closed the connection.
func awaitUnread(connection *net.TCPConn) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
}
