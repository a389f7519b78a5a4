package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// sentRequests tracks the requests that a script has sent and their results.
type sentRequests struct {
	group  sync.WaitGroup
	tokens atomic.Int64
	mu     sync.Mutex
	// errs holds one result for each finished stream, nil for a correct answer, and the
	// errors of the callers command; calls holds the results of plain calls by name.
	errs  []error
	calls map[string][]callResult
}

type callResult struct {
	answer qfclient.CallAnswer
	err    error
	took   time.Duration
}

// callerAddress is the address of all callers, outside every zone.
var callerAddress = netip.MustParseAddr("10.8.0.1")

// callerTimeout is the timeout of one request of a caller.
const callerTimeout = 2 * time.Minute

// client returns a client whose seeds are the given nodes, or all nodes if none are
// given.
func (d *deployment) client(organisation string, nodes ...string) *qfclient.Client {
	var seeds []netip.AddrPort
	for id, n := range d.nodes {
		if len(nodes) == 0 || contains(nodes, id) {
			seeds = append(seeds, n.Self().CallerAddress)
		}
	}
	network := d.network.From(callerAddress)
	return qfclient.New(qfclient.Options{
		Seeds: seeds, Organisation: organisation, Timer: d.timer,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}},
	})
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// stream sends chat requests in the background and compares each answer with the
// reference answer.
func (d *deployment) stream(count, tokens int, organisation, prompt string) {
	s := &d.sent
	for i := range count {
		client := d.client(organisation)
		s.group.Go(func() {
			err := chatOnce(client, fmt.Sprintf("%s %d", prompt, i), tokens, &s.tokens)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.errs = append(s.errs, err)
		})
	}
}

func chatOnce(client *qfclient.Client, prompt string, tokens int, counter *atomic.Int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	answer, err := client.Chat(ctx, qfapi.ChatRequest{
		Model: "assistant", MaxTokens: tokens,
		Messages: []qfapi.ChatMessage{{Role: "user", Content: prompt}},
	}, func(string) { counter.Add(1) })
	if err != nil {
		return fmt.Errorf("request %s: %w", answer.RequestID, err)
	}
	want := standengine.ExpectedTokens([]qf.Message{{Role: "user", Content: prompt}}, tokens)
	if answer.Text != strings.Join(want, "") {
		return fmt.Errorf("request %s: the answer differs from the reference", answer.RequestID)
	}
	return nil
}

// answers waits for all requests and returns the number of finished streams with their
// joined errors.
func (d *deployment) answers() (int, error) {
	s := &d.sent
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.errs)
	err := errors.Join(s.errs...)
	s.errs = nil
	return n, err
}

// call sends a plain service call in the background and keeps its result under a name.
func (d *deployment) call(name, key, path, body string, nodes ...string) {
	client := d.client("ward-office", nodes...)
	s := &d.sent
	s.group.Go(func() {
		start := d.timer.Now()
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		answer, err := client.Do(ctx, qfclient.Call{
			Entry: d.plainService(), Method: http.MethodPost, Path: path, IdempotencyKey: key, Body: []byte(body),
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls == nil {
			s.calls = map[string][]callResult{}
		}
		s.calls[name] = append(s.calls[name], callResult{answer: answer, err: err, took: d.timer.Now().Sub(start)})
	})
}

// plainService returns the entry name of the deployment's plain service.
func (d *deployment) plainService() string {
	if d.name == "lanka" {
		return "registry"
	}
	return "register"
}

// outcomeOf returns the outcome of a call as its caller sees it.
func outcomeOf(r callResult) qf.FinalOutcome {
	switch {
	case r.err == nil:
		return qf.OutcomeAnswered
	case qf.RanOf(r.err) == qf.RanNo:
		return qf.OutcomeNotRun
	default:
		return qf.OutcomeUnknown
	}
}

// executions returns how often the plain service ran a call with the given body.
func (d *deployment) executions(body string) int {
	n := 0
	for _, e := range d.world.ExecutionLog(qf.EntryName(d.plainService())).Executions() {
		if e.Body == body {
			n++
		}
	}
	return n
}
