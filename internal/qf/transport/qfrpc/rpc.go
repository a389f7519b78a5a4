// Package qfrpc carries the contract between entry nodes over net/rpc.
package qfrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// serviceName is the name under which the methods are registered.
const serviceName = "Peer"

// Handler is what a node does for its peers.
type Handler interface {
	Exchange(digest qf.Digest) qf.Digest
	TakeOver(records []qf.RequestRecord) []qf.RequestID
	KeepShadows(records []qf.RequestRecord) []qf.RequestID
	Lookup(id qf.RequestID) (qf.RequestRecord, error)
	CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision)
	FeedWhole(feed qf.FeedName) (qf.FeedPage, error)
	FeedSince(feed qf.FeedName, after uint64, wait time.Duration) (qf.FeedPage, error)
}

// Server answers peers. Its methods have the shape that net/rpc requires.
type Server struct {
	handler Handler
}

// Exchange answers a digest with the node's own.
func (s *Server) Exchange(in ExchangeIn, out *ExchangeOut) error {
	out.Digest = s.handler.Exchange(in.Digest)
	return nil
}

// HandOver takes requests over.
func (s *Server) HandOver(in HandOverIn, out *HandOverOut) error {
	out.Taken = s.handler.TakeOver(in.Records)
	return nil
}

// Shadow keeps copies of records.
func (s *Server) Shadow(in ShadowIn, out *ShadowOut) error {
	out.Kept = s.handler.KeepShadows(in.Records)
	return nil
}

// Lookup returns a record that the node owns or shadows.
func (s *Server) Lookup(in LookupIn, out *LookupOut) error {
	record, err := s.handler.Lookup(in.ID)
	out.Found = err == nil
	out.Record = record
	return nil
}

// Catalogue returns the catalogue if it is newer.
func (s *Server) Catalogue(in CatalogueIn, out *CatalogueOut) error {
	out.Snapshot, out.Revision = s.handler.CatalogueNewerThan(in.NewerThan)
	return nil
}

// Feed returns rows of a feed that the node follows.
func (s *Server) Feed(in FeedIn, out *FeedOut) error {
	var err error
	if in.Whole {
		out.Page, err = s.handler.FeedWhole(in.Feed)
	} else {
		out.Page, err = s.handler.FeedSince(in.Feed, in.After, min(in.Wait, longestWait))
	}
	out.Code = qf.CodeOf(err)
	return nil
}

// longestWait bounds how long a peer may be kept waiting.
const longestWait = 5 * time.Second

// Serve answers peers on the listener until it is closed.
func Serve(listener net.Listener, handler Handler) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Server{handler: handler}); err != nil {
		return err
	}
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go server.ServeConn(connection)
	}
}

// Client calls peers. It implements qf.PeerClient and keeps one connection for each.
type Client struct {
	timer   qf.Clock
	timeout time.Duration
	network qf.Dial
	// tls is nil if certificates are off.
	tls *tls.Config

	mu          sync.Mutex
	connections map[netip.AddrPort]*rpc.Client
}

// NewClient returns a client. The timeout bounds each call; a connection that
// lets a call time out is closed, because it may have gone silent for good.
func NewClient(timer qf.Clock, timeout time.Duration, dial qf.Dial, config *tls.Config) *Client {
	return &Client{
		timer: timer, timeout: timeout, network: dial, tls: config,
		connections: map[netip.AddrPort]*rpc.Client{},
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.Close() // It is given up either way.
		delete(c.connections, address)
	}
}

func (c *Client) connection(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	c.mu.Lock()
	known := c.connections[address]
	c.mu.Unlock()
	if known != nil {
		return known, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.connections[address]; known != nil {
		_ = raw.Close() // Another call was faster.
		return known, nil
	}
	connection := rpc.NewClient(raw)
	c.connections[address] = connection
	return connection, nil
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.network(ctx, "tcp", address.String())
	if err != nil || c.tls == nil {
		return raw, err
	}
	secured := tls.Client(raw, c.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // The handshake's error says more.
		return nil, err
	}
	return secured, nil
}

func (c *Client) drop(address netip.AddrPort, connection *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == connection {
		delete(c.connections, address)
	}
	_ = connection.Close() // It is given up either way.
}

// call makes one call. sent is false if it provably didn't leave. After an error
// out must not be read: a late answer may still be written to it.
func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, in, out any) (sent bool, err error) {
	return c.callWithin(ctx, address, method, in, out, c.timeout)
}

func (c *Client) callWithin(ctx context.Context, address netip.AddrPort, method string, in, out any, within time.Duration) (sent bool, err error) {
	connection, err := c.connection(ctx, address)
	if err != nil {
		return false, peerError(address, "no connection", err)
	}
	timeout := c.timer.After(within)
	defer timeout.Stop()
	call := connection.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.drop(address, connection)
			return true, peerError(address, "the call failed", call.Error)
		}
		return true, nil
	case <-timeout.C():
		c.drop(address, connection)
		return true, peerError(address, "no answer in time", nil)
	case <-ctx.Done():
		return true, peerError(address, "given up", ctx.Err())
	}
}

func peerError(address netip.AddrPort, reason string, cause error) error {
	return &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepPeer, Peer: address.String(), Reason: reason, Cause: cause}
}

// ExchangeDigests implements qf.PeerClient.
func (c *Client) ExchangeDigests(ctx context.Context, address netip.AddrPort, digest qf.Digest) (qf.Digest, error) {
	var out ExchangeOut
	if _, err := c.call(ctx, address, "Exchange", ExchangeIn{Digest: digest}, &out); err != nil {
		return qf.Digest{}, err // A late answer may still be written to out.
	}
	return out.Digest, nil
}

// HandOverRequests implements qf.PeerClient.
func (c *Client) HandOverRequests(ctx context.Context, address netip.AddrPort, records []qf.RequestRecord) qf.Result[[]qf.RequestID] {
	var out HandOverOut
	sent, err := c.call(ctx, address, "HandOver", HandOverIn{Records: records}, &out)
	switch {
	case err == nil:
		return qf.DoneWith(out.Taken)
	case !sent:
		return qf.NotDoneFor[[]qf.RequestID](err)
	default:
		return qf.UnknownFor[[]qf.RequestID](err)
	}
}

// ReplicateRecords implements qf.PeerClient.
func (c *Client) ReplicateRecords(ctx context.Context, address netip.AddrPort, records []qf.RequestRecord) ([]qf.RequestID, error) {
	var out ShadowOut
	if _, err := c.call(ctx, address, "Shadow", ShadowIn{Records: records}, &out); err != nil {
		return nil, err
	}
	return out.Kept, nil
}

// FetchRecord implements qf.PeerClient.
func (c *Client) FetchRecord(ctx context.Context, address netip.AddrPort, id qf.RequestID) (qf.RequestRecord, error) {
	var out LookupOut
	if _, err := c.call(ctx, address, "Lookup", LookupIn{ID: id}, &out); err != nil {
		return qf.RequestRecord{}, err
	}
	if !out.Found {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, address.String(), "the peer doesn't know the request")
	}
	return out.Record, nil
}

// FetchCatalogue implements qf.PeerClient.
func (c *Client) FetchCatalogue(ctx context.Context, address netip.AddrPort, newerThan qf.Revision) ([]byte, qf.Revision, error) {
	var out CatalogueOut
	if _, err := c.call(ctx, address, "Catalogue", CatalogueIn{NewerThan: newerThan}, &out); err != nil {
		return nil, 0, err // A late answer may still be written to out.
	}
	return out.Snapshot, out.Revision, nil
}

// ReadPeerSnapshot implements qf.PeerClient.
func (c *Client) ReadPeerSnapshot(ctx context.Context, address netip.AddrPort, feed qf.FeedName) (qf.FeedPage, error) {
	return c.feed(ctx, address, &FeedIn{Feed: feed, Whole: true})
}

// ReadPeerChanges implements qf.PeerClient.
func (c *Client) ReadPeerChanges(ctx context.Context, address netip.AddrPort, feed qf.FeedName, after uint64, wait time.Duration) (qf.FeedPage, error) {
	return c.feed(ctx, address, &FeedIn{Feed: feed, After: after, Wait: wait})
}

func (c *Client) feed(ctx context.Context, address netip.AddrPort, in *FeedIn) (qf.FeedPage, error) {
	var out FeedOut
	if _, err := c.callWithin(ctx, address, "Feed", in, &out, c.timeout+in.Wait); err != nil {
		return qf.FeedPage{}, err // A late answer may still be written to out.
	}
	if out.Code != "" {
		return qf.FeedPage{}, qf.NewError(out.Code, qf.StepTableRead, address.String(), "the peer can't tell")
	}
	return out.Page, nil
}
