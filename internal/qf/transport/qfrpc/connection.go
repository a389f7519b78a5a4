package qfrpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
)

// maxTransferDuration bounds a call whose reply keeps arriving.
const maxTransferDuration = 15 * time.Second

// lane names one of the connections to a peer. Calls with large replies have lanes of their own,
// so that the others don't wait behind them.
type lane string

// The lanes that aren't of one feed.
const (
	laneControl   lane = "Control"
	laneCatalogue lane = "Catalogue"
)

// laneOf returns the lane of a feed.
func laneOf(feed qf.FeedName) lane { return lane("Feed/" + feed) }

// isBulk reports whether the lane's replies may be large. Such a call doesn't end while its reply
// is arriving: on a slow link it would be repeated and never end. The lane carries one call at a time.
func (l lane) isBulk() bool { return l != laneControl }

// connectionKey identifies a connection of a client.
type connectionKey struct {
	address netip.AddrPort
	lane    lane
}

// connection is a connection to a peer.
type connection struct {
	*rpc.Client
	counter *receiveCounter
}

// receiveCounter counts the bytes that were received on a connection, and records its end.
type receiveCounter struct {
	net.Conn
	received atomic.Uint64
	// hasEnded is set once a read has failed: the peer has closed the connection, or it is broken.
	hasEnded atomic.Bool
}

// Read implements net.Conn.
func (c *receiveCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(max(n, 0)))
	if err != nil {
		c.hasEnded.Store(true)
	}
	return n, err
}

// getConnection returns the connection to a peer. It dials the peer if there is none, or if the last one has ended: the peer
// may have restarted.
func (c *Client) getConnection(ctx context.Context, key connectionKey) (*connection, error) {
	c.mu.Lock()
	existing := c.connections[key]
	c.mu.Unlock()
	if existing != nil && !existing.counter.hasEnded.Load() {
		return existing, nil
	}
	if existing != nil {
		c.drop(key, existing)
	}
	raw, err := c.connect(ctx, key.address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.connections[key]; existing != nil {
		_ = raw.Close() // A concurrent call has connected first.
		return existing, nil
	}
	counter := &receiveCounter{Conn: raw}
	added := &connection{Client: rpc.NewClient(boundReplies(counter, c.replies)), counter: counter}
	c.connections[key] = added
	return added, nil
}

func (c *Client) connect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", address.String())
	if err != nil || c.tls == nil {
		return raw, err
	}
	secured := tls.Client(raw, c.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // The handshake's error is the one to report.
		return nil, err
	}
	return secured, nil
}

// drop closes a connection on which a call failed.
func (c *Client) drop(key connectionKey, failed *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[key] == failed {
		delete(c.connections, key)
	}
	_ = failed.Close() // The connection is abandoned either way.
}

// call makes one call with the client's timeout. sent is false only if the call
// certainly wasn't sent. After an error out must not be read: a late reply may still be
// written to it.
func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, in, out any) (sent bool, err error) {
	return c.callOn(ctx, connectionKey{address, laneControl}, method, in, out, c.timeout)
}

// callOn is call on a lane with a timeout of its own.
func (c *Client) callOn(ctx context.Context, key connectionKey, method string, in, out any, timeout time.Duration) (sent bool, err error) {
	to, err := c.getConnection(ctx, key)
	if err != nil {
		return false, peerError(key.address, "no connection", err)
	}
	began, received := c.clock.Now(), to.counter.received.Load()
	call := to.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	for {
		isDone, err := c.await(ctx, call, timeout)
		now := to.counter.received.Load()
		isArriving := key.lane.isBulk() && now > received && c.clock.Now().Sub(began) < maxTransferDuration
		switch {
		case isDone && call.Error == nil:
			return true, nil
		case isDone:
			c.drop(key, to)
			return true, peerError(key.address, "the call failed", call.Error)
		case err != nil:
			return true, peerError(key.address, "the call was cancelled", err)
		case !isArriving:
			c.drop(key, to)
			return true, peerError(key.address, "the call timed out", nil)
		}
		received, timeout = now, c.timeout
	}
}

// await waits for the end of a call, the timeout or the end of the context, whose error it
// returns. A call that has ended counts as such, also where the node comes late to its end.
func (c *Client) await(ctx context.Context, call *rpc.Call, timeout time.Duration) (isDone bool, err error) {
	timer := c.clock.After(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return true, nil
	case <-timer.C():
	case <-ctx.Done():
		err = ctx.Err()
	}
	select {
	case <-call.Done:
		return true, nil
	default:
		return false, err
	}
}

func peerError(address netip.AddrPort, reason string, cause error) error {
	return &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepPeer, Peer: address.String(), Reason: reason, Cause: cause}
}
