package qfconnection

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scriptedConn is a connection at its end. Its write waits for the write deadline and then returns an error.
type scriptedConn struct {
	net.Conn
	writeErr error
	// isWriting is closed once a write has begun, hasDeadline once the deadline is set.
	isWriting, hasDeadline chan struct{}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) {
	close(c.isWriting)
	<-c.hasDeadline
	return 0, c.writeErr
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.hasDeadline)
	return nil
}

// TestEndAwaitsWrite fails if a read that finds the end doesn't report the failure that a write got and has not returned yet, or if
// it reports one where the peer has ended its side.
func TestEndAwaitsWrite(t *testing.T) {
	tests := []struct {
		name     string
		writeErr error
		want     error
	}{
		{"reset", syscall.ECONNRESET, syscall.ECONNRESET},
		{"no acknowledgement in time", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"no route", syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{"write after the end", syscall.EPIPE, io.EOF},
		{"write that waits for the peer", os.ErrDeadlineExceeded, io.EOF},
		{"write on a closed connection", net.ErrClosed, io.EOF},
		{"write on a connection in memory", io.ErrClosedPipe, io.EOF},
		{"write that succeeds", nil, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inner := &scriptedConn{writeErr: opError(tt.writeErr), isWriting: make(chan struct{}), hasDeadline: make(chan struct{})}
			connection := Wrap(inner)
			written := make(chan error, 1)
			go func() {
				_, err := connection.Write([]byte("request"))
				written <- err
			}()
			<-inner.isWriting
			if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, tt.want) {
				t.Errorf("the read ends with %v, want %v", err, tt.want)
			}
			if err := <-written; !errors.Is(err, tt.writeErr) {
				t.Errorf("the write ends with %v, want %v", err, tt.writeErr)
			}
			if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, tt.want) {
				t.Errorf("the second read ends with %v, want %v", err, tt.want)
			}
		})
	}
}

// opError returns the error in the form in which package net returns it.
func opError(err error) error {
	if code, ok := err.(syscall.Errno); ok { //nolint:errorlint // It isn't wrapped yet.
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", code)}
	}
	return err
}

// failingConn is a connection at its end whose writes return the errors in turn.
type failingConn struct {
	net.Conn
	errs []error
}

func (c *failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *failingConn) Write([]byte) (int, error) {
	err := c.errs[0]
	c.errs = c.errs[1:]
	return 0, err
}

// TestFirstFailureIsKept fails if a write after the one that got the failure hides it: the kernel returns EPIPE for all after it.
func TestFirstFailureIsKept(t *testing.T) {
	connection := Wrap(&failingConn{errs: []error{opError(syscall.ECONNRESET), opError(syscall.EPIPE)}})
	for range 2 {
		if _, err := connection.Write([]byte("request")); err == nil {
			t.Error("the write succeeds")
		}
	}
	if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the read ends with %v", err)
	}
}
