// Package qfrpc is the net/rpc server and client of the protocol between entry nodes.
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
	"quetzalfront/internal/qf/state/qfresponse"
)

// serviceName is the name under which the server's methods are registered.
const serviceName = "Peer"

// Handler implements the operations that a node offers to its peers.
type Handler interface {
	Exchange(digest qf.Digest) qf.Digest
	TakeOver(records []qf.RequestRecord) []qf.RequestID
	KeepShadows(records []qf.RequestRecord) []qf.RequestID
	Lookup(id qf.RequestID) (qf.RequestRecord, error)
	CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision)
	FeedWhole(feed qf.FeedName) (qf.FeedPage, error)
	FeedSince(feed qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error)
}

// Server adapts a Handler to the method signatures that net/rpc requires.
type Server struct {
	handler  Handler
	deflater *deflater
	packer   *packer
}

// Exchange receives a peer's digest and returns the node's own.
func (s *Server) Exchange(in ExchangeIn, out *ExchangeOut) error {
	out.Digest = s.handler.Exchange(in.Digest)
	return nil
}

// HandOver offers requests to the node and returns those that it took over.
func (s *Server) HandOver(in HandOverIn, out *HandOverOut) error {
	out.Taken = s.handler.TakeOver(in.Records)
	return nil
}

// Shadow stores copies of records and returns the requests that were stored.
func (s *Server) Shadow(in ShadowIn, out *ShadowOut) error {
	out.Kept = s.handler.KeepShadows(in.Records)
	return nil
}

// Lookup returns a record that the node owns or holds a copy of.
func (s *Server) Lookup(in LookupIn, out *LookupOut) error {
	record, err := s.handler.Lookup(in.ID)
	out.Found = err == nil
	out.Record = record
	return nil
}

// Catalogue returns the catalogue if it is newer than the caller's.
func (s *Server) Catalogue(in CatalogueIn, out *CatalogueOut) error {
	out.Snapshot, out.Revision = s.handler.CatalogueNewerThan(in.NewerThan)
	if !in.AcceptsDeflate || len(out.Snapshot) < minDeflateBytes {
		return nil
	}
	out.IsDeflated = true
	var err error
	out.Snapshot, err = s.deflater.deflate(out.Snapshot)
	return err
}

// Feed returns rows of a feed that the node reads.
func (s *Server) Feed(in FeedIn, out *FeedOut) error {
	var err error
	after := qf.StorePosition{Era: in.Era, Version: in.After}
	if in.Whole {
		out.Page, err = s.handler.FeedWhole(in.Feed)
	} else {
		out.Page, err = s.handler.FeedSince(in.Feed, after, min(in.Wait, maxFeedWait))
	}
	out.Code = qf.CodeOf(err)
	switch {
	case in.AcceptsPacked && shouldPack(out.Page.Rows):
		key := pageKey{feed: in.Feed, isWhole: in.Whole, after: after, position: out.Page.Position()}
		out.Packed, err = s.packer.pack(key, out.Page.Rows)
		out.Page.Rows = nil
		return err
	case in.AcceptsDeflate:
		return s.deflateRows(out)
	default:
		return nil
	}
}

// deflateRows compresses the large values of a page.
func (s *Server) deflateRows(out *FeedOut) error {
	for i := range out.Page.Rows {
		row := &out.Page.Rows[i]
		if len(row.Value) < minDeflateBytes {
			continue
		}
		compressed, err := s.deflater.deflate(row.Value)
		if err != nil {
			return err
		}
		row.Value = compressed
		out.Deflated = append(out.Deflated, i)
	}
	return nil
}

// maxFeedWait bounds how long a call for changes may wait.
const maxFeedWait = 5 * time.Second

// Serve serves peers on the listener until it is closed.
func Serve(listener net.Listener, handler Handler) error {
	deflater, err := newDeflater()
	if err != nil {
		return err
	}
	packer, err := newPacker()
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Server{handler: handler, deflater: deflater, packer: packer}); err != nil {
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
		go server.ServeConn(bound(connection))
	}
}

// Client calls peers. It implements qf.PeerClient and keeps a connection to each peer, and more
// to those from which it reads feeds and catalogues.
type Client struct {
	clock   qf.Clock
	timeout time.Duration
	dial    qf.Dial
	// tls is nil if the client sets up no TLS itself.
	tls *tls.Config
	// replies bounds what the replies of all peers take while they are read.
	replies *qfresponse.Budget

	mu          sync.Mutex
	connections map[connectionKey]*connection
}

// NewClient returns a client. The timeout bounds each call, and each pause of a large reply; a
// connection on which a call times out is closed, because it may never deliver data again.
func NewClient(clock qf.Clock, timeout time.Duration, dial qf.Dial, config *tls.Config) *Client {
	return &Client{
		clock: clock, timeout: timeout, dial: dial, tls: config,
		connections: map[connectionKey]*connection{}, replies: qfresponse.NewBudget(maxRepliesBytes),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, open := range c.connections {
		_ = open.Close() // The connection is abandoned either way.
		delete(c.connections, key)
	}
}

// ExchangeDigests implements qf.PeerClient.
func (c *Client) ExchangeDigests(ctx context.Context, address netip.AddrPort, digest qf.Digest) (qf.Digest, error) {
	var out ExchangeOut
	if _, err := c.call(ctx, address, "Exchange", ExchangeIn{Digest: digest}, &out); err != nil {
		return qf.Digest{}, err // A late reply may still be written to out.
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
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, address.String(), "the peer has no record of the request")
	}
	return out.Record, nil
}

// FetchCatalogue implements qf.PeerClient.
func (c *Client) FetchCatalogue(ctx context.Context, address netip.AddrPort, newerThan qf.Revision) ([]byte, qf.Revision, error) {
	var out CatalogueOut
	if _, err := c.callOn(ctx, connectionKey{address, laneCatalogue}, "Catalogue", CatalogueIn{NewerThan: newerThan, AcceptsDeflate: true}, &out, c.timeout); err != nil {
		return nil, 0, err // A late reply may still be written to out.
	}
	if !out.IsDeflated {
		return out.Snapshot, out.Revision, nil
	}
	snapshot, err := inflate(out.Snapshot)
	if err != nil {
		return nil, 0, peerError(address, "the catalogue can't be decompressed", err)
	}
	return snapshot, out.Revision, nil
}

// ReadPeerSnapshot implements qf.PeerClient.
func (c *Client) ReadPeerSnapshot(ctx context.Context, address netip.AddrPort, feed qf.FeedName) (qf.FeedPage, error) {
	return c.feed(ctx, address, &FeedIn{Feed: feed, Whole: true, AcceptsDeflate: true, AcceptsPacked: true})
}

// ReadPeerChanges implements qf.PeerClient.
func (c *Client) ReadPeerChanges(ctx context.Context, address netip.AddrPort, feed qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error) {
	return c.feed(ctx, address, &FeedIn{Feed: feed, After: after.Version, Era: after.Era, Wait: wait, AcceptsDeflate: true, AcceptsPacked: true})
}

func (c *Client) feed(ctx context.Context, address netip.AddrPort, in *FeedIn) (qf.FeedPage, error) {
	var out FeedOut
	if _, err := c.callOn(ctx, connectionKey{address, laneOf(in.Feed)}, "Feed", in, &out, c.timeout+in.Wait); err != nil {
		return qf.FeedPage{}, err // A late reply may still be written to out.
	}
	if out.Code != "" {
		return qf.FeedPage{}, qf.NewError(out.Code, qf.StepTableRead, address.String(), "the peer can't serve the feed")
	}
	if len(out.Packed) > 0 {
		rows, err := unpack(out.Packed)
		if err != nil {
			return qf.FeedPage{}, peerError(address, "the rows can't be unpacked", err)
		}
		out.Page.Rows = rows
		return out.Page, nil
	}
	for _, i := range out.Deflated {
		if i < 0 || i >= len(out.Page.Rows) {
			return qf.FeedPage{}, peerError(address, "the reply names a row that it doesn't have", nil)
		}
		row := &out.Page.Rows[i]
		value, err := inflate(row.Value)
		if err != nil {
			return qf.FeedPage{}, peerError(address, "the row "+row.Key+" can't be decompressed", err)
		}
		row.Value = value
	}
	return out.Page, nil
}
