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
	reclaimAfter = 300
	reclaimDelay = 3 * time.Second
)

func (s *stage) client() *qfclient.Client {
	return qfclient.New(qfclient.Options{Seeds: s.seeds(), Organisation: string(s.deployment.Organisation), Timer: s.timer})
}

// streamThroughReclaim reclaims a zone, its node included, while answers stream,
// and compares each answer with the reference.
func (s *stage) streamThroughReclaim(ctx context.Context, out io.Writer) error {
	var tokens atomic.Int64
	var resumed atomic.Int64
	failures := make([]error, streams)
	var senders sync.WaitGroup
	for i := range streams {
		senders.Go(func() {
			answer, err := s.client().Chat(ctx, chatRequest(i), func(string) { tokens.Add(1) })
			resumed.Add(int64(answer.Resumed))
			failures[i] = errors.Join(err, compare(i, answer.Text))
		})
	}
	err := s.waitFor(ctx, "answers to stream", func() bool { return tokens.Load() > reclaimAfter })
	if err != nil {
		return err
	}
	zone := s.deployment.Zones[0]
	gone := s.world.Cloud.ReclaimZone(zone, reclaimDelay)
	say(out, "reclaimed zone %s with %s of notice: %d VMs, one of them an entry node", zone, reclaimDelay, len(gone))
	senders.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	say(out, "%d answers of %d tokens whole, byte for byte; callers resumed %d times", streams, streamTokens, resumed.Load())
	return nil
}

func chatRequest(i int) qfapi.ChatRequest {
	return qfapi.ChatRequest{Model: "assistant", MaxTokens: streamTokens, Messages: []qfapi.ChatMessage{
		{Role: "user", Content: fmt.Sprintf("Draft report number %d.", i)},
	}}
}

func compare(i int, text string) error {
	request := chatRequest(i)
	messages := make([]qf.Message, 0, len(request.Messages))
	for _, m := range request.Messages {
		messages = append(messages, qf.Message{Role: m.Role, Content: m.Content})
	}
	want := strings.Join(standengine.Reference(messages, request.MaxTokens), "")
	if text != want {
		return fmt.Errorf("answer %d differs from the reference", i)
	}
	return nil
}

const filings = 20

// fileOnce sends each once-only call from two offices at once under one key, and
// counts the executions.
func (s *stage) fileOnce(ctx context.Context, out io.Writer) error {
	var senders sync.WaitGroup
	failures := make([]error, 2*filings)
	for i := range failures {
		client := s.client()
		senders.Go(func() {
			number := i / 2
			_, failures[i] = client.Do(ctx, qfclient.Call{
				Entry: s.deployment.PlainService, Method: http.MethodPost, Path: s.deployment.OnceOnlyPath,
				Body:           fmt.Appendf(nil, "filing %d", number),
				IdempotencyKey: fmt.Sprintf("filing-%d", number),
			})
		})
	}
	senders.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	counts := map[string]int{}
	for _, e := range s.world.Journal(qf.EntryName(s.deployment.PlainService)).Executions() {
		counts[e.Body]++
	}
	for body, n := range counts {
		if n != 1 {
			return fmt.Errorf("%s ran %d times", body, n)
		}
	}
	if len(counts) != filings {
		return fmt.Errorf("%d of %d filings ran", len(counts), filings)
	}
	say(out, "%d once-only calls, each sent twice at once, ran once each", filings)
	return nil
}
