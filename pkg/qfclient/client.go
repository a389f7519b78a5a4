// Package qfclient is the client library for callers of quetzalfront. It fetches the
// nodes' addresses, sends requests, resumes streamed answers at another node when a
// node leaves or fails, and retries only requests that are safe to retry.
package qfclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfconnection"
	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/pkg/qfapi"
)

// Options configures a Client. Seeds and Organisation are required.
type Options struct {
	// Seeds are the callers' addresses of some nodes. One that responds suffices,
	// because it returns the addresses of the others.
	Seeds []netip.AddrPort
	// Organisation is the organisation on whose behalf requests are sent.
	Organisation string
	// Region is the caller's region; its nodes are preferred. It may be empty.
	Region string
	// HTTP is the HTTP client, of which a copy is used. Nil stands for a client with default settings.
	HTTP *http.Client
	// Timer is the source of time. Nil stands for the wall clock.
	Timer qf.Clock
	// SilentAfter is how long a stream may bring no event before it is resumed
	// over a new connection. Zero stands for 10 s.
	SilentAfter time.Duration
}

// Client sends requests for one organisation. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// nodes is the last list of nodes, which may be cached until keepUntil.
	nodes     []qfapi.NodeAddress
	keepUntil time.Time
	// failed maps each address that failed to the time until which it is avoided.
	failed map[netip.AddrPort]time.Time
	// rotation advances the choice among addresses that are in no order of preference.
	rotation int
}

const (
	defaultSilentAfter   = 10 * time.Second
	failedAddressBackoff = 5 * time.Second
	fetchNodesTimeout    = 2 * time.Second
	// maxHeaderBytes bounds the header of an answer, maxListBytes a list of nodes.
	maxHeaderBytes = 64 << 10
	maxListBytes   = 1 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// New returns a client with the given options.
func New(options Options) *Client {
	options.HTTP = newHTTPClient(options.HTTP)
	if options.Timer == nil {
		options.Timer = qftimer.NewWall()
	}
	if options.SilentAfter == 0 {
		options.SilentAfter = defaultSilentAfter
	}
	return &Client{options: options, failed: map[netip.AddrPort]time.Time{}}
}

// newHTTPClient returns a client that rejects answers whose head HTTP doesn't allow: a copy of the caller's, or else one that also bounds
// the headers of answers and reports connections that fail.
func newHTTPClient(callers *http.Client) *http.Client {
	if callers != nil {
		checked := *callers
		checked.Transport = qfresponse.CheckHeads(callers.Transport)
		return &checked
	}
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return &http.Client{Transport: qfresponse.CheckHeads(nil)} // The process uses a transport of its own.
	}
	transport = transport.Clone()
	if transport.DialContext != nil {
		transport.DialContext = qfconnection.Dial(transport.DialContext)
	}
	return &http.Client{Transport: qfresponse.Limit(transport, qfresponse.Limits{Header: maxHeaderBytes})}
}

// chooseAddress returns the address for the next request. It avoids addresses that
// failed recently as long as there are others.
func (c *Client) chooseAddress(ctx context.Context) (netip.AddrPort, error) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	fresh := len(c.nodes) > 0 && now.Before(c.keepUntil)
	c.mu.Unlock()
	if !fresh {
		c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.candidates()
	if len(candidates) == 0 {
		return netip.AddrPort{}, qf.NewError(qf.CodeUnavailable, qf.StepAccept, "", "no node's address is known")
	}
	first := 0
	if len(c.nodes) == 0 {
		c.rotation++ // Seeds are in no order, whereas the first listed node is the best.
		first = c.rotation
	}
	for i := range candidates {
		a := candidates[(first+i)%len(candidates)]
		if now.After(c.failed[a]) {
			return a, nil
		}
	}
	c.rotation++
	return candidates[c.rotation%len(candidates)], nil
}

// candidates returns the addresses of the listed nodes, or the seeds if there are none.
// The caller holds the lock.
func (c *Client) candidates() []netip.AddrPort {
	if len(c.nodes) == 0 {
		return c.options.Seeds
	}
	addresses := make([]netip.AddrPort, 0, len(c.nodes))
	for _, n := range c.nodes {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// markFailed records that an address failed, and invalidates the cached list of nodes.
func (c *Client) markFailed(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[a] = c.options.Timer.Now().Add(failedAddressBackoff)
	c.keepUntil = time.Time{}
}

// refresh fetches the list of nodes from the first listed node or seed that responds.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	known := append(c.candidates(), c.options.Seeds...)
	c.mu.Unlock()
	for _, a := range known {
		answer, err := c.fetchNodes(ctx, a)
		if err != nil || len(answer.Nodes) == 0 {
			continue
		}
		keep, err := time.ParseDuration(answer.KeepFor)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.nodes = answer.Nodes
		c.keepUntil = c.options.Timer.Now().Add(keep)
		c.mu.Unlock()
		return
	}
}

type nodesQuery struct {
	Region string `url:"region,omitempty"`
}

// fetchNodes fetches the list of nodes from one node.
func (c *Client) fetchNodes(ctx context.Context, a netip.AddrPort) (*qfapi.NodesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchNodesTimeout)
	defer cancel()
	s := sling.New().Client(c.options.HTTP).Base("http://" + a.String()).
		Get(qfapi.PathNodes).QueryStruct(&nodesQuery{Region: c.options.Region})
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	response, err := c.options.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is abandoned.
	answer := &qfapi.NodesAnswer{}
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxListBytes)).Decode(answer)
	return answer, err
}

// pause waits for d before a retry, or until the context ends.
func (c *Client) pause(ctx context.Context, d time.Duration) error {
	s := c.options.Timer.After(d)
	defer s.Stop()
	select {
	case <-s.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const maxErrorBytes = 64 << 10

// readError returns the typed error of an error response.
func readError(response *http.Response) *qf.Error {
	var body qfapi.ErrorBody
	limited := http.MaxBytesReader(nil, response.Body, maxErrorBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil || body.Error.Code == "" {
		return &qf.Error{Code: qf.CodeBroken, Step: qf.StepAccept, Reason: response.Status, Ran: qf.RanUnknown}
	}
	return errorFromDetail(&body.Error)
}

// errorFromDetail converts the error of a response body to a typed error.
func errorFromDetail(d *qfapi.ErrorDetail) *qf.Error {
	err := &qf.Error{
		Code: qf.Code(d.Code), Step: qf.Step(d.Step), Peer: d.Peer, Field: d.Field,
		Reason: d.Reason, Ran: qf.Ran(d.Ran),
	}
	if after, parseErr := time.ParseDuration(d.RetryAfter); parseErr == nil {
		err.RetryAfter = after
	}
	return err
}
