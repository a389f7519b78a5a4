// Package benchload puts a bounded load on nodes over loopback and measures what
// callers see.
package benchload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// The bounds of one run.
const (
	MaxRequests = 200_000
	MaxDuration = 10 * time.Minute
	// maxInFlight bounds the requests in progress; an arrival over it isn't sent.
	maxInFlight = 10_000
)

// Options say what load to put where.
type Options struct {
	// Target is the callers' address of any node; it must be on loopback, as must
	// all addresses that the node names.
	Target       netip.AddrPort
	Entry        string
	Organisation string
	// Rate is the mean number of arrivals a second. Arrivals don't wait for
	// answers.
	Rate float64
	// Requests and Duration bound the arrivals, whichever comes first.
	Requests int
	Duration time.Duration
	// Timeout bounds one request from its arrival on.
	Timeout time.Duration
	Seed    uint64
	// MaxTokens is the length of each answer, Prompts the number of different
	// prompts and PromptWords the length of each.
	MaxTokens   int
	Prompts     int
	PromptWords int
	// FirstTokenTarget and BetweenTokenTarget say which answers count as goodput.
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration
	Timer              qf.Clock
}

// Check returns what is wrong with the options, or nil.
func (o *Options) Check() error {
	wrong := func(field, reason string) error {
		return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepSettings, Field: field, Reason: reason}
	}
	switch {
	case !o.Target.Addr().IsLoopback():
		return wrong("Target", "expected an address on loopback: load on others is refused")
	case o.Rate <= 0:
		return wrong("Rate", "expected more than 0 arrivals a second")
	case o.Requests < 1 || o.Requests > MaxRequests:
		return wrong("Requests", fmt.Sprintf("expected 1 to %d", MaxRequests))
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return wrong("Duration", fmt.Sprintf("expected up to %s", MaxDuration))
	case o.Timeout <= 0 || o.Timeout > MaxDuration:
		return wrong("Timeout", fmt.Sprintf("expected up to %s", MaxDuration))
	case o.MaxTokens < 1 || o.Prompts < 1 || o.PromptWords < 1:
		return wrong("MaxTokens", "expected at least one token, one prompt and one word")
	default:
		return nil
	}
}

// Arrivals returns the times of the arrivals from the start on: a Poisson process
// that the seed fixes.
func (o *Options) Arrivals() []time.Duration {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	var arrivals []time.Duration
	at := time.Duration(0)
	for range o.Requests {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		if at > o.Duration {
			break
		}
		arrivals = append(arrivals, at)
	}
	return arrivals
}

// Run puts the load on the nodes and returns what was measured.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{DialContext: dialLoopback, MaxIdleConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	r := &run{Options: options, recorder: newRecorder(), client: qfclient.New(qfclient.Options{
		Seeds: []netip.AddrPort{options.Target}, Organisation: options.Organisation,
		HTTP: &http.Client{Transport: transport}, Timer: options.Timer,
	})}
	took := r.sendAll(ctx)
	return r.recorder.report(&options, took), ctx.Err()
}

// dialLoopback refuses the addresses that aren't on loopback, so that an answer of
// the target can't point the load elsewhere.
func dialLoopback(ctx context.Context, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !target.Addr().IsLoopback() {
		return nil, qf.NewError(qf.CodeForbidden, qf.StepAccept, address, "load on addresses other than loopback is refused")
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// run is one execution of Run.
type run struct {
	Options
	recorder *recorder
	client   *qfclient.Client
}

// sendAll sends each request at its time, and returns the time to the last answer.
func (r *run) sendAll(ctx context.Context) time.Duration {
	start := r.Timer.Now()
	slots := make(chan struct{}, maxInFlight)
	var senders sync.WaitGroup
	for i, at := range r.Arrivals() {
		if !r.waitUntil(ctx, start.Add(at)) {
			break
		}
		select {
		case slots <- struct{}{}:
			senders.Go(func() {
				defer func() { <-slots }()
				r.send(ctx, i, start.Add(at))
			})
		default:
			r.recorder.notSent()
		}
	}
	senders.Wait()
	return r.Timer.Now().Sub(start)
}

func (r *run) waitUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(r.Timer.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	s := r.Timer.After(wait)
	defer s.Stop()
	select {
	case <-s.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request. Times count from its arrival, so that a sender that is
// late doesn't hide a delay.
func (r *run) send(ctx context.Context, number int, arrival time.Time) {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(r.Timeout))
	defer cancel()
	o := outcome{arrival: arrival}
	answer, err := r.client.Chat(ctx, r.request(number), func(string) { o.token(r.Timer.Now()) })
	o.resumed = answer.Resumed
	o.err = err
	r.recorder.take(&o)
}

func (r *run) request(number int) qfapi.ChatRequest {
	prompt := number % r.Prompts
	text := fmt.Sprintf("Prompt %d of seed %d.", prompt, r.Seed)
	for i := range r.PromptWords {
		text += fmt.Sprintf(" word%d", (prompt+i)%len(r.Entry+text))
	}
	return qfapi.ChatRequest{
		Model: r.Entry, MaxTokens: r.MaxTokens, Messages: []qfapi.ChatMessage{{Role: "user", Content: text}},
	}
}
