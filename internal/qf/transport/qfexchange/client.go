// Package qfexchange is the HTTP/1.1 client for endpoints, with a pool of idle
// connections. It sends each request at most once: the layers above decide what may
// be retried.
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
	// dialTimeout bounds the opening of a connection. It is meant to allow for two losses
	// of the first packet on the longest link.
	dialTimeout = 700 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the endpoint doesn't
	// send a Keep-Alive header.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the endpoint's timeout an idle connection is
	// closed, so that a request isn't sent while the endpoint closes it.
	keepAliveMargin = 500 * time.Millisecond
	// sweepInterval is the least time between two sweeps for expired connections.
	sweepInterval = time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// Client implements qf.EndpointClient.
type Client struct {
	clock    qf.Clock
	dial     qf.Dial
	protocol qf.CallerProtocol

	mu sync.Mutex
	// idle holds the idle connections of each endpoint, the most recently used last.
	idle    map[endpointKey][]*connection
	sweptAt time.Time
	opened  uint64
}

// endpointKey identifies the process at the other end of a connection. An endpoint that
// restarts has another key.
type endpointKey struct {
	address     netip.AddrPort
	endpoint    qf.EndpointID
	incarnation qf.Incarnation
}

// NewClient returns a client without connections.
func NewClient(clock qf.Clock, dial qf.Dial, protocol qf.CallerProtocol) *Client {
	return &Client{clock: clock, dial: dial, protocol: protocol, idle: map[endpointKey][]*connection{}}
}

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// SendRequest implements qf.EndpointClient. The end of the context aborts the exchange,
// including the reading of the body.
func (c *Client) SendRequest(ctx context.Context, request *qf.EndpointRequest) (*qf.EndpointResponse, error) {
	conn, err := c.connect(ctx, request)
	if err != nil {
		return nil, attemptError(request, "no connection", qf.RanNo, err)
	}
	if cause := unwanted(ctx, request); cause != nil {
		c.keepIdle(conn) // It carried nothing.
		return nil, attemptError(request, "not sent", qf.RanNo, cause)
	}
	stop := context.AfterFunc(ctx, conn.abort)
	response, err := conn.exchange(request)
	if err != nil {
		stop()
		conn.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Join(cause, err)
		}
		return nil, attemptError(request, "the connection failed during the exchange", conn.ran(), err)
	}
	response.Body = &responseBody{connection: conn, source: response.Body, stop: stop}
	return response, nil
}

// unwanted returns why nobody waits for the answer to a request any more, or nil.
func unwanted(ctx context.Context, request *qf.EndpointRequest) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if request.IsWanted != nil && !request.IsWanted() {
		return qf.ErrCallerLeft
	}
	return nil
}

func attemptError(request *qf.EndpointRequest, reason string, ran qf.Ran, cause error) error {
	return &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(request.Endpoint.ID), Reason: reason, Ran: ran, Cause: cause,
	}
}

// connect returns an idle connection, or a new one if there is none or the request
// requires it.
func (c *Client) connect(ctx context.Context, request *qf.EndpointRequest) (*connection, error) {
	key := endpointKey{address: request.Endpoint.Address, endpoint: request.Endpoint.ID, incarnation: request.Endpoint.Incarnation}
	if !request.FreshConnection {
		if conn := c.takeIdle(key); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", key.address.String())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return newConnection(c, key, raw), nil
}

// takeIdle removes and returns an idle connection that is still open, or returns nil.
func (c *Client) takeIdle(key endpointKey) *connection {
	for {
		conn := c.popIdle(key)
		if conn == nil || conn.isOpen() {
			return conn
		}
		conn.abort()
	}
}

// popIdle removes and returns the most recently used idle connection that hasn't expired,
// or returns nil.
func (c *Client) popIdle(key endpointKey) *connection {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[key] = list
		if now.Before(conn.expiresAt) {
			return conn
		}
		conn.abort()
	}
	delete(c.idle, key)
	return nil
}

// putIdle returns a connection to the pool after a complete response.
func (c *Client) putIdle(conn *connection) {
	conn.expiresAt = c.clock.Now().Add(conn.keepAlive)
	c.keepIdle(conn)
}

// keepIdle adds a connection to the pool. The time until it expires goes on.
func (c *Client) keepIdle(conn *connection) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[conn.key]
	if len(list) >= maxIdlePerEndpoint {
		conn.abort()
		return
	}
	c.idle[conn.key] = append(list, conn)
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweptAt = now
		c.closeExpired(now)
	}
}

// closeExpired closes the idle connections that have expired. The caller holds the lock.
func (c *Client) closeExpired(now time.Time) {
	for key, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
				continue
			}
			conn.abort()
		}
		c.idle[key] = kept
		if len(kept) == 0 {
			delete(c.idle, key)
		}
	}
}

// CloseIdleConnections closes the idle connections to an endpoint that no longer exists.
func (c *Client) CloseIdleConnections(id qf.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		if key.endpoint != id {
			continue
		}
		for _, conn := range list {
			conn.abort()
		}
		delete(c.idle, key)
	}
}
