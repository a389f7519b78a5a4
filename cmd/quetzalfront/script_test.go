package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"quetzalfront": main})
}

// TestScripts runs the scenarios on separate processes. Waits are for
// conditions; the limits only end a test that has failed.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"freeports":  freePorts,
			"expand":     expand,
			"await":      await,
			"chat":       startChats,
			"streaming":  awaitStreaming,
			"answers":    awaitAnswers,
			"signal":     sendSignal,
			"file":       fileOnce,
			"exitcode":   expectExitCode,
			"certs":      writeCertificates,
			"retry":      retry,
			"awaitout":   awaitOutput,
			"race":       raceEdits,
			"tablefault": tableFault,
			"reclaim":    reclaim,
			"curl":       startCurls,
			"cut":        cutForwarders,
			"forward":    startForwarder,
		},
		Setup: func(env *testscript.Env) error {
			env.Values[chatsKey{}] = &chats{}
			env.Values[forwardersKey{}] = &forwarders{}
			return nil
		},
	})
}

const waitLimit = 60 * time.Second

// expand FILE... replaces the variables in the files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await URL waits until the URL answers 200; with !, until it doesn't.
func await(ts *testscript.TestScript, neg bool, args []string) {
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		response, err := http.Get(args[0])
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ok != neg {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("waited in vain for %s", args[0])
}

type chatsKey struct{}

// chats are the streams that a script started.
type chats struct {
	senders sync.WaitGroup
	tokens  atomic.Int64
	mu      sync.Mutex
	errs    []error
	// gaps holds the longest time between two tokens of each answer.
	gaps []time.Duration
}

// watch returns a function to call for each token of one answer, and one to call
// at its end.
func (c *chats) watch() (onToken func(), ended func(err error)) {
	var last time.Time
	var longest time.Duration
	onToken = func() {
		now := time.Now()
		if !last.IsZero() {
			longest = max(longest, now.Sub(last))
		}
		last = now
		c.tokens.Add(1)
	}
	return onToken, func(err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errs = append(c.errs, err)
		c.gaps = append(c.gaps, longest)
	}
}

// startChats COUNT TOKENS SEED... streams answers in the background and compares
// each with the reference.
func startChats(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	var seeds []netip.AddrPort
	for _, a := range args[2:] {
		seeds = append(seeds, netip.MustParseAddrPort(a))
	}
	c := ts.Value(chatsKey{}).(*chats)
	for i := range count {
		c.senders.Go(func() {
			client := qfclient.New(qfclient.Options{Seeds: seeds, Organisation: "parks", SilentAfter: 3 * time.Second})
			onToken, ended := c.watch()
			ended(chatOnce(client, i, tokens, onToken))
		})
	}
}

func chatOnce(client *qfclient.Client, number, tokens int, onToken func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	prompt := fmt.Sprintf("Question number %d.", number)
	answer, err := client.Chat(ctx, qfapi.ChatRequest{
		Model: "assistant", MaxTokens: tokens,
		Messages: []qfapi.ChatMessage{{Role: "user", Content: prompt}},
	}, func(string) { onToken() })
	if err != nil {
		return err
	}
	return checkAnswer(prompt, answer.Text, tokens)
}

// checkAnswer compares an answer with the reference. The answer of engines that
// vary must at least be possible as one text.
func checkAnswer(prompt, text string, tokens int) error {
	messages := []qf.Message{{Role: "user", Content: prompt}}
	want := standengine.ExpectedTokens(messages, tokens)
	if text == strings.Join(want, "") {
		return nil
	}
	if strings.Count(text, " ") != tokens {
		return fmt.Errorf("an answer has %d tokens, not %d", strings.Count(text, " "), tokens)
	}
	if !standengine.IsPossibleAnswer(messages, text) {
		return errors.New("an answer is joined from two different texts")
	}
	return nil
}

// awaitStreaming COUNT waits until so many tokens have arrived in all.
func awaitStreaming(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	c := ts.Value(chatsKey{}).(*chats)
	end := time.Now().Add(waitLimit)
	for c.tokens.Load() < want {
		if time.Now().After(end) {
			ts.Fatalf("only %d tokens arrived", c.tokens.Load())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitAnswers waits for all streams; each must have been whole.
func awaitAnswers(ts *testscript.TestScript, _ bool, _ []string) {
	c := ts.Value(chatsKey{}).(*chats)
	c.senders.Wait()
	ts.Check(errors.Join(c.errs...))
	slices.Sort(c.gaps)
	ts.Logf("%d answers were whole; longest time between two tokens: p50 %s, p99 %s",
		len(c.errs), c.gaps[len(c.gaps)/2], c.gaps[len(c.gaps)*99/100])
}

// fileOnce ADDRESS ENTRY PATH KEY BODY sends a once-only call and prints the
// answer. With !, the call must fail.
func fileOnce(ts *testscript.TestScript, neg bool, args []string) {
	client := qfclient.New(qfclient.Options{Seeds: []netip.AddrPort{netip.MustParseAddrPort(args[0])}, Organisation: "parks"})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	answer, err := client.Do(ctx, qfclient.Call{
		Entry: args[1], Method: http.MethodPost, Path: args[2], IdempotencyKey: args[3], Body: []byte(args[4]),
	})
	if neg {
		if err == nil {
			ts.Fatalf("the call was answered: %s", answer.Body)
		}
		ts.Logf("%v", err)
		return
	}
	ts.Check(err)
	ts.Logf("%s", answer.Body)
}
