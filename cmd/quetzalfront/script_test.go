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

// TestScripts guards against lost, truncated or mixed answers when separate processes of
// nodes are stopped, killed, frozen or reclaimed. Scripts wait for conditions; the time
// limits only end a test that has failed.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"freeports":    freePorts,
			"expand":       expand,
			"await":        await,
			"chat":         startChats,
			"awaittokens":  awaitTokens,
			"awaitanswers": awaitAnswers,
			"signal":       sendSignal,
			"callonce":     callOnceOnly,
			"exitcode":     expectExitCode,
			"certs":        writeCertificates,
			"retry":        retry,
			"awaitoutput":  awaitOutput,
			"raceedits":    raceEdits,
			"tablefault":   setTableFault,
			"reclaim":      reclaim,
			"curl":         startCurls,
			"cut":          cutForwarders,
			"forward":      startForwarder,
		},
		Setup: func(env *testscript.Env) error {
			env.Values[chatsKey{}] = &chats{}
			env.Values[forwardersKey{}] = &forwarders{}
			return nil
		},
	})
}

// waitLimit bounds each wait for a condition.
const waitLimit = 60 * time.Second

// expand FILE... replaces the variables in the files by their values.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await URL waits until a GET of the URL returns status 200; with !, until it doesn't.
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
	ts.Fatalf("timed out waiting for %s", args[0])
}

type chatsKey struct{}

// chats tracks the streams that a script started.
type chats struct {
	senders sync.WaitGroup
	tokens  atomic.Int64
	mu      sync.Mutex
	errs    []error
	// gaps holds the longest time between two tokens of each answer.
	gaps []time.Duration
}

// trackAnswer returns a function that must be called for each token of an answer, and
// one that must be called at its end.
func (c *chats) trackAnswer() (onToken func(), ended func(err error)) {
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

// startChats COUNT TOKENS SEED... streams answers in the background with the client
// library and compares each with the reference.
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
			onToken, ended := c.trackAnswer()
			ended(sendChat(client, i, tokens, onToken))
		})
	}
}

func sendChat(client *qfclient.Client, number, tokens int, onToken func()) error {
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

// checkAnswer compares an answer with the reference. An answer of engines that sample
// may differ from it, but must be a text that one engine can generate.
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

// awaitTokens COUNT waits until all streams together have received COUNT tokens.
func awaitTokens(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	c := ts.Value(chatsKey{}).(*chats)
	end := time.Now().Add(waitLimit)
	for c.tokens.Load() < want {
		if time.Now().After(end) {
			ts.Fatalf("received only %d tokens", c.tokens.Load())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitAnswers waits for the end of all streams and checks that each answer was
// complete.
func awaitAnswers(ts *testscript.TestScript, _ bool, _ []string) {
	c := ts.Value(chatsKey{}).(*chats)
	c.senders.Wait()
	ts.Check(errors.Join(c.errs...))
	slices.Sort(c.gaps)
	ts.Logf("%d answers were complete; longest time between two tokens: p50 %s, p99 %s",
		len(c.errs), c.gaps[len(c.gaps)/2], c.gaps[len(c.gaps)*99/100])
}

// callOnceOnly ADDRESS ENTRY PATH KEY BODY sends a once-only call and logs the response.
// With !, the call must fail.
func callOnceOnly(ts *testscript.TestScript, neg bool, args []string) {
	client := qfclient.New(qfclient.Options{Seeds: []netip.AddrPort{netip.MustParseAddrPort(args[0])}, Organisation: "parks"})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	answer, err := client.Do(ctx, qfclient.Call{
		Entry: args[1], Method: http.MethodPost, Path: args[2], IdempotencyKey: args[3], Body: []byte(args[4]),
	})
	if neg {
		if err == nil {
			ts.Fatalf("the call succeeded: %s", answer.Body)
		}
		ts.Logf("%v", err)
		return
	}
	ts.Check(err)
	ts.Logf("%s", answer.Body)
}
