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

// TestNodeLeaves proves that a leaving node's requests go on with the text that a
// caller has seen, with one owner at the end, whatever becomes of the calls
// between nodes.
func TestNodeLeaves(t *testing.T) {
	const requests = 40
	cases := []struct {
		name string
		// fault is brought about before node 0 leaves.
		fault func(f *fleet)
		// diesAfter is when node 0 dies after it began to leave; 0 means that it
		// finishes.
		diesAfter time.Duration
	}{
		{name: "planned"},
		{name: "answers of one peer are lost", fault: func(f *fleet) { f.loseAnswers["node-1"] = true }},
		{name: "hand-over arrives late at one peer", fault: func(f *fleet) { f.delay["node-2"] = 3 * time.Second }},
		{name: "hand-over arrives late at all peers", fault: func(f *fleet) {
			f.delay["node-1"], f.delay["node-2"] = 3*time.Second, 2*time.Second
		}},
		{name: "one peer is cut off", fault: func(f *fleet) { f.cut["node-2"] = true }},
		{name: "all peers are cut off", fault: func(f *fleet) { f.cut["node-0"] = true }},
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
				f.pass(time.Second)
				if c.fault != nil {
					f.set(func() { c.fault(f) })
				}
				checkLeaving(t, f, requests, c.diesAfter)
			})
		})
	}
}

func requestID(i int) qf.RequestID { return qf.RequestID(fmt.Sprintf("request-%d", i)) }

func checkLeaving(t *testing.T, f *fleet, requests int, diesAfter time.Duration) {
	t.Helper()
	isCutOff := f.cut["node-0"]
	stopped := make(chan struct{})
	go func() {
		f.nodes[0].leave("test")
		close(stopped)
	}()
	if diesAfter > 0 {
		f.pass(diesAfter)
	} else {
		<-stopped
	}
	seen := make([][]string, requests)
	for i := range seen {
		seen[i] = f.nodes[0].records.Get(requestID(i)).Progress(0).Text
	}
	if isCutOff {
		checkGoesOn(t, f, requests)
		return
	}
	f.set(func() { f.cut["node-0"] = true })
	f.pass(time.Second)
	var callers sync.WaitGroup
	for i := range seen {
		callers.Go(func() {
			text, err := f.fetch(1, requestID(i), seen[i], "node-0")
			if err != nil || len(text) != answerTokens {
				t.Errorf("%s: %d tokens after %d were seen, %v", requestID(i), len(text), len(seen[i]), err)
			}
		})
	}
	callers.Wait()
}

// checkGoesOn proves that a node which nobody can follow finishes its requests.
func checkGoesOn(t *testing.T, f *fleet, requests int) {
	t.Helper()
	for i := range requests {
		text, err := f.fetch(0, requestID(i), nil)
		if err != nil || len(text) != answerTokens {
			t.Fatalf("%s: %d tokens, %v", requestID(i), len(text), err)
		}
	}
}

// TestOneOwnerRemains proves that two nodes which both own a request end up with
// one owner, and that the other one stops its work.
func TestOneOwnerRemains(t *testing.T) {
	cases := []struct {
		name   string
		second func(f *fleet)
	}{
		{name: "owner is cut off and comes back", second: func(f *fleet) {
			go f.nodes[0].leave("test")
			f.pass(time.Second)
			f.set(func() { f.cut["node-0"] = true })
			f.pass(100 * time.Millisecond)
			if _, err := f.nodes[1].Find(context.Background(), requestID(0)); err != nil {
				t.Fatal(err)
			}
			if _, err := f.nodes[2].Find(context.Background(), requestID(0)); err != nil {
				t.Fatal(err)
			}
			f.pass(3 * time.Second)
			f.set(func() { f.cut["node-0"] = false })
		}},
		{name: "caller resumes elsewhere with its own text", second: func(f *fleet) {
			record, err := f.nodes[1].Accept(context.Background(), &qf.Request{
				ID: requestID(0), Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine,
				Messages:  []qf.Message{{Role: "user", Content: string(requestID(0))}},
				MaxTokens: answerTokens, Stream: true, Deadline: f.timer.Now().Add(time.Minute),
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
				f.pass(500 * time.Millisecond)
				c.second(f)
				f.pass(2500 * time.Millisecond)
				if got := f.engine.runningOf(requestID(0)); got != 1 {
					t.Errorf("%d attempts run, not 1", got)
				}
				owners := 0
				for _, n := range f.nodes {
					if r := n.records.Get(requestID(0)); r != nil && r.IsOwned() {
						owners++
					}
				}
				if owners != 1 {
					t.Errorf("%d nodes own the request", owners)
				}
			})
		})
	}
}
