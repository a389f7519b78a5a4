package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
)

const answerTokens = 400

// TestLeavingNodeKeepsAnswers guards against answers that are lost or changed when a node
// leaves. Each must continue from the text that its caller has received and be complete,
// even if calls between nodes fail, are late or lose their answers, or the node dies.
func TestLeavingNodeKeepsAnswers(t *testing.T) {
	const requests = 40
	cases := []struct {
		name string
		// fault is injected before node 0 leaves.
		fault func(f *fleet)
		// diesAfter is the time from the start of node 0's leaving to its death; 0 means
		// that it finishes leaving first.
		diesAfter time.Duration
	}{
		{name: "planned"},
		{name: "answers of one peer are lost", fault: func(f *fleet) { f.losesAnswers["node-1"] = true }},
		{name: "hand-over arrives late at one peer", fault: func(f *fleet) { f.delay["node-2"] = 3 * time.Second }},
		{name: "hand-over arrives late at all peers", fault: func(f *fleet) {
			f.delay["node-1"], f.delay["node-2"] = 3*time.Second, 2*time.Second
		}},
		{name: "one peer is isolated", fault: func(f *fleet) { f.isolated["node-2"] = true }},
		{name: "the leaving node is isolated", fault: func(f *fleet) { f.isolated["node-0"] = true }},
		{name: "dies while it leaves", diesAfter: time.Second},
		{name: "dies during the hand-over", diesAfter: 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				for i := range requests {
					f.send(0, requestID(i), answerTokens)
				}
				f.sleep(time.Second)
				if c.fault != nil {
					f.update(func() { c.fault(f) })
				}
				checkAnswersAfterLeaving(t, f, requests, c.diesAfter)
			})
		})
	}
}

func requestID(i int) qf.RequestID { return qf.RequestID(fmt.Sprintf("request-%d", i)) }

// checkAnswersAfterLeaving makes node 0 leave and checks that callers receive the rest of
// each answer from another node, or from node 0 if that is isolated.
func checkAnswersAfterLeaving(t *testing.T, f *fleet, requests int, diesAfter time.Duration) {
	t.Helper()
	isIsolated := f.isolated["node-0"]
	stopped := make(chan struct{})
	go func() {
		f.nodes[0].leave("test")
		close(stopped)
	}()
	if diesAfter > 0 {
		f.sleep(diesAfter)
	} else {
		<-stopped
	}
	seen := make([][]string, requests)
	for i := range seen {
		seen[i] = f.nodes[0].records.Get(requestID(i)).Progress(0).Text
	}
	if isIsolated {
		checkIsolatedNodeFinishes(t, f, requests)
		return
	}
	f.update(func() { f.isolated["node-0"] = true })
	f.sleep(time.Second)
	var callers sync.WaitGroup
	for i := range seen {
		callers.Go(func() {
			text, err := f.fetch(1, requestID(i), seen[i], "node-0")
			if err != nil || len(text) != answerTokens {
				t.Errorf("%s: got %d tokens, of which %d were seen before, want %d: %v", requestID(i), len(text), len(seen[i]), answerTokens, err)
			}
		})
	}
	callers.Wait()
}

// checkIsolatedNodeFinishes checks that a node without reachable peers finishes its
// requests itself.
func checkIsolatedNodeFinishes(t *testing.T, f *fleet, requests int) {
	t.Helper()
	for i := range requests {
		text, err := f.fetch(0, requestID(i), nil)
		if err != nil || len(text) != answerTokens {
			t.Fatalf("%s: got %d tokens, want %d: %v", requestID(i), len(text), answerTokens, err)
		}
	}
}

// TestOneOwnerRemains guards against a request that keeps two owners. After two nodes have
// come to own a request, one must give it up and stop its attempt.
func TestOneOwnerRemains(t *testing.T) {
	cases := []struct {
		name string
		// addOwner makes a second node own the request.
		addOwner func(f *fleet)
	}{
		{name: "owner is isolated and reconnects", addOwner: func(f *fleet) {
			go f.nodes[0].leave("test")
			f.sleep(time.Second)
			f.update(func() { f.isolated["node-0"] = true })
			f.sleep(100 * time.Millisecond)
			if _, err := f.nodes[1].Find(context.Background(), requestID(0)); err != nil {
				t.Fatal(err)
			}
			if _, err := f.nodes[2].Find(context.Background(), requestID(0)); err != nil {
				t.Fatal(err)
			}
			f.sleep(3 * time.Second)
			f.update(func() { f.isolated["node-0"] = false })
		}},
		{name: "caller resumes elsewhere with its own text", addOwner: func(f *fleet) {
			record, err := f.nodes[1].Accept(context.Background(), &qf.Request{
				ID: requestID(0), Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine,
				Messages:  []qf.Message{{Role: "user", Content: string(requestID(0))}},
				MaxTokens: answerTokens, Stream: true, Deadline: f.clock.Now().Add(time.Minute),
				ResumeText: []string{"a ", "b "}, PreviousNode: addressFor(0),
			})
			if err != nil || len(record.Progress(0).Text) != 2 {
				t.Fatal(record, err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.send(0, requestID(0), answerTokens)
				f.sleep(500 * time.Millisecond)
				c.addOwner(f)
				f.sleep(2500 * time.Millisecond)
				if got := f.engine.runningOf(requestID(0)); got != 1 {
					t.Errorf("%d attempts are running, want 1", got)
				}
				owners := 0
				for _, n := range f.nodes {
					if r := n.records.Get(requestID(0)); r != nil && r.IsOwned() {
						owners++
					}
				}
				if owners != 1 {
					t.Errorf("%d nodes own the request, want 1", owners)
				}
			})
		})
	}
}
