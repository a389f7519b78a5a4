// Package benchload sends a bounded load to nodes over loopback and measures the results
// at the callers: latencies, throughput, goodput and failures.
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
	// maxInFlight bounds the requests in progress. An arrival above it isn't sent.
	maxInFlight = 10_000
)

// Options describe the load and its target.
type Options struct {
	// Target is the callers' address of any node. It must be on loopback, as must all
	// addresses that the node returns.
	Target       netip.AddrPort
	Entry        string
	Organisation string
	// Rate is the mean number of arrivals a second. Arrivals don't wait for
	// answers.
	Rate float64
	// Requests and Duration bound the arrivals; the first limit reached ends them.
	Requests int
	Duration time.Duration
	// Timeout bounds one request, counted from its arrival.
	Timeout time.Duration
	Seed    uint64
	// MaxTokens is the length of each answer, Prompts the number of different
	// prompts and PromptWords the length of each.
	MaxTokens   int
	Prompts     int
	PromptWords int
	// FirstTokenTarget and BetweenTokenTarget are the latencies up to which an answer
	// counts as goodput.
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration
	Timer              qf.Clock
}

// Check returns an error for the first invalid option, or nil.
func (o *Options) Check() error {
	invalid := func(field, reason string) error {
		return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepSettings, Field: field, Reason: reason}
	}
	switch {
	case !o.Target.Addr().IsLoopback():
		return invalid("Target", "expected an address on loopback; load on other addresses is refused")
	case o.Rate <= 0:
		return invalid("Rate", "expected more than 0 arrivals a second")
	case o.Requests < 1 || o.Requests > MaxRequests:
		return invalid("Requests", fmt.Sprintf("expected 1 to %d", MaxRequests))
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return invalid("Duration", fmt.Sprintf("expected up to %s", MaxDuration))
	case o.Timeout <= 0 || o.Timeout > MaxDuration:
		return invalid("Timeout", fmt.Sprintf("expected up to %s", MaxDuration))
	case o.MaxTokens < 1 || o.Prompts < 1 || o.PromptWords < 1:
		return invalid("MaxTokens", "expected at least one token, one prompt and one word")
	default:
		return nil
	}
}

// Arrivals returns the times of the arrivals, counted from the start of the run: a Poisson
// process that depends only on the options and the seed.
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

// Run sends the load to the nodes and returns the measurements.
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

// dialLoopback dials loopback addresses only, so that a response of the target can't
// redirect the load to another host.
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

// run is the state of one call of Run.
type run struct {
	Options
	recorder *recorder
	client   *qfclient.Client
}

// sendAll sends each request at its arrival time, whether or not earlier ones have been
// answered, and returns the time until the last one ended.
func (r *run) sendAll(ctx context.Context) time.Duration {
	start := r.Timer.Now()
	inFlight := make(chan struct{}, maxInFlight)
	var senders sync.WaitGroup
	for i, at := range r.Arrivals() {
		if !r.waitUntil(ctx, start.Add(at)) {
			break
		}
		select {
		case inFlight <- struct{}{}:
			senders.Go(func() {
				defer func() { <-inFlight }()
				r.send(ctx, i, start.Add(at))
			})
		default:
			r.recorder.recordNotSent()
		}
	}
	senders.Wait()
	return r.Timer.Now().Sub(start)
}

// waitUntil waits until a time and reports false if the context ended before.
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

// send sends one request. Latencies are measured from its scheduled arrival, so that a
// generator that falls behind doesn't hide delays (coordinated omission).
func (r *run) send(ctx context.Context, number int, arrival time.Time) {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(r.Timeout))
	defer cancel()
	o := outcome{arrival: arrival}
	answer, err := r.client.Chat(ctx, r.chatRequest(number), func(string) { o.recordToken(r.Timer.Now()) })
	o.resumed = answer.Resumed
	o.err = err
	r.recorder.recordOutcome(&o)
}

// chatRequest returns the request of a number; prompts repeat after Prompts requests.
func (r *run) chatRequest(number int) qfapi.ChatRequest {
	prompt := number % r.Prompts
	text := fmt.Sprintf("Prompt %d of seed %d.", prompt, r.Seed)
	for i := range r.PromptWords {
		text += fmt.Sprintf(" word%d", (prompt+i)%len(r.Entry+text))
	}
	return qfapi.ChatRequest{
		Model: r.Entry, MaxTokens: r.MaxTokens, Messages: []qfapi.ChatMessage{{Role: "user", Content: text}},
	}
}
