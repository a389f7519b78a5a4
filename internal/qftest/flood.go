package qftest

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standflood"
)

// StartFlood starts a server on loopback that sends bytes without end, with the header fields in
// its responses. The returned channel is closed when a client has closed its connection.
func StartFlood(t *testing.T, flood standflood.Flood, fields string) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{})
	server := &standflood.Server{Flood: flood, Fields: fields, Closed: sync.OnceFunc(func() { close(closed) })}
	go server.Serve(listener)
	return netip.MustParseAddrPort(listener.Addr().String()), closed
}

// ByteCounter dials connections and counts the bytes that are read on them. Far above Most they
// fail, so that a fault of the code doesn't fill the machine's memory.
type ByteCounter struct {
	Most int64
	read atomic.Int64
}

// farAbove is the factor of Most from which connections fail.
const farAbove = 8

var errFarTooMany = errors.New("far too many bytes were read")

// Dial dials a connection.
func (c *ByteCounter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: raw, counter: c}, nil
}

var _ qf.Dial = (&ByteCounter{}).Dial

// Check fails the test if more than Most bytes were read.
func (c *ByteCounter) Check(t *testing.T) {
	t.Helper()
	if read := c.read.Load(); read > c.Most {
		t.Errorf("%d bytes were read, want at most %d", read, c.Most)
	}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *ByteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.counter.read.Add(int64(n)) > farAbove*c.counter.Most {
		return n, errFarTooMany
	}
	return n, err
}
