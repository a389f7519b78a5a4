// Package qfclient is the callers' library: it asks the nodes for addresses,
// sends requests, resumes answers elsewhere when a node leaves or breaks, and
// repeats only what is safe to repeat.
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
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/pkg/qfapi"
)

// Options configure a client. Seeds and Organisation are required.
type Options struct {
	// Seeds are callers' addresses of some nodes; any one that answers is enough.
	Seeds        []netip.AddrPort
	Organisation string
	Region       string
	// HTTP may be nil.
	HTTP *http.Client
	// Timer may be nil; the wall clock is used then.
	Timer qf.Clock
	// SilentAfter is how long a stream may bring nothing before it is resumed
	// over a new connection. Zero stands for 10 s.
	SilentAfter time.Duration
}

// Client sends requests for one organisation. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// nodes is the last address answer and until when it may be kept.
	nodes     []qfapi.NodeAddress
	keepUntil time.Time
	// failed holds addresses that failed, and until when they are avoided.
	failed map[netip.AddrPort]time.Time
	turn   int
}

const (
	defaultSilentAfter = 10 * time.Second
	avoidFailedFor     = 5 * time.Second
	addressTimeout     = 2 * time.Second
)

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{}
	}
	if options.Timer == nil {
		options.Timer = qftimer.NewWall()
	}
	if options.SilentAfter == 0 {
		options.SilentAfter = defaultSilentAfter
	}
	return &Client{options: options, failed: map[netip.AddrPort]time.Time{}}
}

// address returns the address to use next. Addresses that failed a short time
// ago come last.
func (c *Client) address(ctx context.Context) (netip.AddrPort, error) {
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
		c.turn++ // Seeds are in no order; an answer's first address is the best.
		first = c.turn
	}
	for i := range candidates {
		a := candidates[(first+i)%len(candidates)]
		if now.After(c.failed[a]) {
			return a, nil
		}
	}
	c.turn++
	return candidates[c.turn%len(candidates)], nil
}

// candidates is called with the lock held.
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

// fail notes that an address didn't answer, and has the answer of addresses
// fetched anew.
func (c *Client) fail(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[a] = c.options.Timer.Now().Add(avoidFailedFor)
	c.keepUntil = time.Time{}
}

// refresh asks the known nodes and then the seeds for addresses until one
// answers.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	known := append(c.candidates(), c.options.Seeds...)
	c.mu.Unlock()
	for _, a := range known {
		answer, err := c.ask(ctx, a)
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

func (c *Client) ask(ctx context.Context, a netip.AddrPort) (*qfapi.NodesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	s := sling.New().Client(c.options.HTTP).Base("http://" + a.String()).
		Get(qfapi.PathNodes).QueryStruct(&nodesQuery{Region: c.options.Region})
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	answer := &qfapi.NodesAnswer{}
	_, err = s.Do(request.WithContext(ctx), answer, nil)
	return answer, err
}

// pause waits before the next try.
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

// readError returns the typed error of an answer that isn't OK.
func readError(response *http.Response) *qf.Error {
	var body qfapi.ErrorBody
	limited := http.MaxBytesReader(nil, response.Body, maxErrorBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil || body.Error.Code == "" {
		return &qf.Error{Code: qf.CodeBroken, Step: qf.StepAccept, Reason: response.Status, Ran: qf.RanUnknown}
	}
	return errorOf(&body.Error)
}

func errorOf(d *qfapi.ErrorDetail) *qf.Error {
	err := &qf.Error{
		Code: qf.Code(d.Code), Step: qf.Step(d.Step), Peer: d.Peer, Field: d.Field,
		Reason: d.Reason, Ran: qf.Ran(d.Ran),
	}
	if after, parseErr := time.ParseDuration(d.RetryAfter); parseErr == nil {
		err.RetryAfter = after
	}
	return err
}
