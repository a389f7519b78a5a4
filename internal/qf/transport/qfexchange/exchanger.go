// Package qfexchange sends requests to endpoints over HTTP/1.1 and keeps the
// connections. It sends a request at most once: what may be repeated is decided
// above it.
package qfexchange

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// dialTimeout bounds the opening of a connection: two losses of the first
	// packet on the longest link.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept if the endpoint doesn't say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the endpoint a connection is given up, so
	// that requests don't cross its close.
	idleMargin = 500 * time.Millisecond
	// sweepEvery is the time between two looks for old connections.
	sweepEvery = time.Second
	// maxIdle bounds the kept connections to one endpoint.
	maxIdle = 64
)

// Client implements qf.EndpointClient.
type Client struct {
	timer    qf.Clock
	dial     qf.Dial
	protocol qf.CallerProtocol

	mu sync.Mutex
	// idle holds the kept connections of each endpoint, the latest used last.
	idle    map[target][]*connection
	sweptAt time.Time
	opened  uint64
}

// target is where a connection leads. A reborn endpoint is another target.
type target struct {
	address     netip.AddrPort
	endpoint    qf.EndpointID
	incarnation qf.Incarnation
}

// NewClient returns an exchanger without connections.
func NewClient(timer qf.Clock, dial qf.Dial, protocol qf.CallerProtocol) *Client {
	return &Client{timer: timer, dial: dial, protocol: protocol, idle: map[target][]*connection{}}
}

// ConnectionsOpened returns how many connections were opened so far.
func (x *Client) ConnectionsOpened() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.opened
}

// SendRequest implements qf.EndpointClient. The context ends the exchange, its body included.
func (x *Client) SendRequest(ctx context.Context, request *qf.EndpointRequest) (*qf.EndpointResponse, error) {
	c, err := x.connect(ctx, request)
	if err != nil {
		return nil, failure(request, "no connection", qf.RanNo, err)
	}
	stop := context.AfterFunc(ctx, c.abort)
	answer, err := c.exchange(request)
	if err != nil {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Join(cause, err)
		}
		return nil, failure(request, "the exchange broke", c.ran(), err)
	}
	answer.Body = &body{connection: c, source: answer.Body, stop: stop}
	return answer, nil
}

func failure(request *qf.EndpointRequest, reason string, ran qf.Ran, cause error) error {
	return &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(request.Endpoint.ID), Reason: reason, Ran: ran, Cause: cause,
	}
}

func (x *Client) connect(ctx context.Context, request *qf.EndpointRequest) (*connection, error) {
	to := target{address: request.Endpoint.Address, endpoint: request.Endpoint.ID, incarnation: request.Endpoint.Incarnation}
	if !request.FreshConnection {
		if c := x.take(to); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := x.dial(ctx, "tcp", to.address.String())
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.opened++
	x.mu.Unlock()
	return newConnection(x, to, raw), nil
}

// take returns a kept connection that is still open, or nil.
func (x *Client) take(to target) *connection {
	for {
		c := x.pop(to)
		if c == nil || c.isOpen() {
			return c
		}
		c.abort()
	}
}

func (x *Client) pop(to target) *connection {
	now := x.timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[to]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		x.idle[to] = list
		if now.Before(c.keepUntil) {
			return c
		}
		c.abort()
	}
	delete(x.idle, to)
	return nil
}

// keep puts a connection back after a complete answer.
func (x *Client) keep(c *connection) {
	now := x.timer.Now()
	c.keepUntil = now.Add(c.idleFor)
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[c.to]
	if len(list) >= maxIdle {
		c.abort()
		return
	}
	x.idle[c.to] = append(list, c)
	if now.Sub(x.sweptAt) >= sweepEvery {
		x.sweptAt = now
		x.sweep(now)
	}
}

// sweep closes connections that were kept for too long. It is called with the lock
// held.
func (x *Client) sweep(now time.Time) {
	for to, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.keepUntil) {
				kept = append(kept, c)
				continue
			}
			c.abort()
		}
		x.idle[to] = kept
		if len(kept) == 0 {
			delete(x.idle, to)
		}
	}
}

// CloseIdleConnections closes the kept connections to an endpoint that is gone.
func (x *Client) CloseIdleConnections(id qf.EndpointID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for to, list := range x.idle {
		if to.endpoint != id {
			continue
		}
		for _, c := range list {
			c.abort()
		}
		delete(x.idle, to)
	}
}
