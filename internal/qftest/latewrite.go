package qftest

import (
	"context"
	"net"
	"sync"

	"quetzalfront/internal/qf"
)

// DialLateWrites returns a function that dials connections whose writes return an error only after a read has failed or found
// the end, or the connection was closed, as in a process that comes late to it.
func DialLateWrites(dial qf.Dial) qf.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &lateWriteConn{Conn: raw, readEnded: make(chan struct{})}, nil
	}
}

// lateWriteConn is a connection whose failed writes wait for the end of its reads.
type lateWriteConn struct {
	net.Conn
	once sync.Once
	// readEnded is closed once a read has failed or found the end, or the connection was closed.
	readEnded chan struct{}
}

// Read implements net.Conn.
func (c *lateWriteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endReads()
	}
	return n, err
}

// Close implements net.Conn.
func (c *lateWriteConn) Close() error {
	c.endReads()
	return c.Conn.Close()
}

func (c *lateWriteConn) endReads() { c.once.Do(func() { close(c.readEnded) }) }

// Write implements net.Conn.
func (c *lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.readEnded
	}
	return n, err
}
