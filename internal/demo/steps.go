package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

const (
	streams      = 40
	streamTokens = 400
	// reclaimAfterTokens is the number of received tokens, of all streams together,
	// after which the zone is reclaimed.
	reclaimAfterTokens = 300
	reclaimDelay       = 3 * time.Second
)

// client returns a client of the deployment's organisation, with every node as a
// seed.
func (c *cluster) client() *qfclient.Client {
	return qfclient.New(qfclient.Options{Seeds: c.seeds(), Organisation: string(c.deployment.Organisation), Timer: c.timer})
}

// streamThroughReclaim reclaims a zone with its node while answers are streamed,
// and compares each answer with the reference.
func (c *cluster) streamThroughReclaim(ctx context.Context, out io.Writer) error {
	var tokens atomic.Int64
	var resumed atomic.Int64
	errs := make([]error, streams)
	var senders sync.WaitGroup
	for i := range streams {
		senders.Go(func() {
			answer, err := c.client().Chat(ctx, chatRequest(i), func(string) { tokens.Add(1) })
			resumed.Add(int64(answer.Resumed))
			errs[i] = errors.Join(err, compareAnswer(i, answer.Text))
		})
	}
	err := c.waitFor(ctx, "answers to be streamed", func() bool { return tokens.Load() > reclaimAfterTokens })
	if err != nil {
		return err
	}
	zone := c.deployment.Zones[0]
	reclaimed := c.world.Cloud.ReclaimZone(zone, reclaimDelay)
	printLine(out, "reclaimed zone %s with %s of notice: %d VMs, one of them an entry node", zone, reclaimDelay, len(reclaimed))
	senders.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	printLine(out, "%d answers of %d tokens whole, byte for byte; callers resumed %d times", streams, streamTokens, resumed.Load())
	return nil
}

// chatRequest returns the chat request of number i.
func chatRequest(i int) qfapi.ChatRequest {
	return qfapi.ChatRequest{Model: "assistant", MaxTokens: streamTokens, Messages: []qfapi.ChatMessage{
		{Role: "user", Content: fmt.Sprintf("Draft report number %d.", i)},
	}}
}

// compareAnswer returns an error if the answer to request i isn't the reference.
func compareAnswer(i int, text string) error {
	request := chatRequest(i)
	messages := make([]qf.Message, 0, len(request.Messages))
	for _, m := range request.Messages {
		messages = append(messages, qf.Message{Role: m.Role, Content: m.Content})
	}
	want := strings.Join(standengine.ExpectedTokens(messages, request.MaxTokens), "")
	if text != want {
		return fmt.Errorf("answer %d differs from the reference", i)
	}
	return nil
}

// onceOnlyCalls is the number of different once-only calls.
const onceOnlyCalls = 20

// checkOnceOnly sends each once-only call from two clients at once with the same
// idempotency key, and checks that it was executed once.
func (c *cluster) checkOnceOnly(ctx context.Context, out io.Writer) error {
	var senders sync.WaitGroup
	errs := make([]error, 2*onceOnlyCalls)
	for i := range errs {
		client := c.client()
		senders.Go(func() {
			number := i / 2
			_, errs[i] = client.Do(ctx, qfclient.Call{
				Entry: c.deployment.PlainService, Method: http.MethodPost, Path: c.deployment.OnceOnlyPath,
				Body:           fmt.Appendf(nil, "filing %d", number),
				IdempotencyKey: fmt.Sprintf("filing-%d", number),
			})
		})
	}
	senders.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	counts := map[string]int{}
	for _, e := range c.world.ExecutionLog(qf.EntryName(c.deployment.PlainService)).Executions() {
		counts[e.Body]++
	}
	for body, n := range counts {
		if n != 1 {
			return fmt.Errorf("%s ran %d times", body, n)
		}
	}
	if len(counts) != onceOnlyCalls {
		return fmt.Errorf("%d of %d once-only calls ran", len(counts), onceOnlyCalls)
	}
	printLine(out, "%d once-only calls, each sent twice at once, ran once each", onceOnlyCalls)
	return nil
}
