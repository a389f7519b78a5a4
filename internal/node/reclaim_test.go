package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

var reclaims = flag.Int("reclaims", 24, "number of simulated zone reclaims")

// wave is one simulated reclaim of a zone, drawn from a seed.
type wave struct {
	*fleet
	random *rand.Rand
	// goneNodes is closed for each node when its VM is taken.
	goneNodes []chan struct{}
	requests  int
	callers   sync.WaitGroup
	// lost counts answers that weren't whole.
	mu   sync.Mutex
	lost []error
	// atReclaim sums the computed tokens of the streams at reclaimed endpoints and
	// nodes when the notice came: what always recomputing would compute again.
	atReclaim, reclaimed int
	// prompts sums the tokens of all prompts.
	prompts int
}

// TestZoneReclaims reclaims a zone with its node and its engines while answers
// stream, with a fault drawn from the seed, and proves that every accepted request
// gets its whole answer. It reports the tokens that were computed again.
func TestZoneReclaims(t *testing.T) {
	atReclaim, recomputed, streams, answers := 0, 0, 0, 0
	for seed := range *reclaims {
		synctest.Test(t, func(t *testing.T) {
			w := newWave(t, uint64(seed))
			w.run()
			for _, err := range w.lost {
				t.Errorf("seed %d: %v", seed, err)
			}
			atReclaim += w.atReclaim
			streams += w.reclaimed
			answers += w.requests
			recomputed += w.engine.computed - w.prompts
		})
	}
	t.Logf("%d zone reclaims, %d answers whole, %d streams at reclaimed engines or nodes: %.1f tokens computed again for each, %.1f if always recomputed",
		*reclaims, answers, streams, float64(recomputed)/float64(max(streams, 1)), float64(atReclaim)/float64(max(streams, 1)))
}

func newWave(t *testing.T, seed uint64) *wave {
	w := &wave{fleet: newFleet(t, 3), random: rand.New(rand.NewPCG(seed, 1))}
	for range w.nodes {
		w.goneNodes = append(w.goneNodes, make(chan struct{}))
	}
	w.engine.bandwidth = float64(uint64(64<<20) << w.random.IntN(6))
	return w
}

func (w *wave) run() {
	w.requests = 20 + w.random.IntN(20)
	for i := range w.requests {
		w.sendRandom(i)
		w.pass(time.Duration(w.random.IntN(100)) * time.Millisecond)
	}
	w.reclaim(w.random.IntN(len(w.nodes)), time.Duration(2000+w.random.IntN(4000))*time.Millisecond)
	w.callers.Wait()
}

func (w *wave) sendRandom(i int) {
	id := requestID(i)
	at := w.random.IntN(len(w.nodes))
	tokens := 50 + w.random.IntN(400)
	messages := []qf.Message{{Role: "user", Content: strings.Repeat("canopy ", 50+w.random.IntN(3000))}}
	w.prompts += qfprefix.EstimateTokens(messages)
	_, err := w.nodes[at].Accept(context.Background(), &qf.Request{
		ID: id, Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine, Class: qf.ClassInteractive,
		Messages: messages, MaxTokens: tokens, Stream: true,
		Deadline: w.timer.Now().Add(2 * time.Minute),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.callers.Go(func() {
		if err := w.call(at, id, tokens); err != nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lost = append(w.lost, err)
		}
	})
}

// call reads an answer as a caller without the library does.
func (w *wave) call(at int, id qf.RequestID, tokens int) error {
	var have []string
	var err error
	for range 20 {
		if isClosed(w.goneNodes[at]) {
			at = (at + 1) % len(w.nodes)
			continue
		}
		var ended bool
		ended, at, have, err = w.read(at, id, have)
		if ended {
			break
		}
		w.pass(20 * time.Millisecond)
	}
	if err != nil || len(have) != tokens {
		return fmt.Errorf("%s: %d of %d tokens: %w%s", id, len(have), tokens, err, w.explain(id))
	}
	for i, token := range have {
		if !strings.HasPrefix(token, fmt.Sprintf("%d/", i)) {
			return fmt.Errorf("%s: token %d is %q", id, i, token)
		}
	}
	return nil
}

// explain lists the decisions of all nodes about a request.
func (w *wave) explain(id qf.RequestID) string {
	var b strings.Builder
	for _, n := range w.nodes {
		r := n.records.Get(id)
		if r == nil {
			continue
		}
		whole := r.FullProgress()
		fmt.Fprintf(&b, "\n  %s: generation %d, %d tokens, outcome %q, moved %v", n.Self().ID, r.Generation(), len(whole.Text), whole.Outcome, whole.Moved != nil)
		for _, d := range r.Decisions() {
			fmt.Fprintf(&b, "\n    %s %s %s %s %s", d.At.Format("05.000"), d.Step, d.Endpoint, d.Reason.Rule, d.Note)
		}
	}
	return b.String()
}

// read reads from one node until the answer ends, moves, or the node is gone.
func (w *wave) read(at int, id qf.RequestID, have []string) (bool, int, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.goneNodes[at]:
			cancel()
		case <-stop:
		}
	}()
	record, err := w.nodes[at].Find(ctx, id)
	if err != nil {
		return false, at, have, err
	}
	reader := record.Attach()
	defer reader.Detach()
	for {
		progress, err := reader.Wait(ctx, len(have))
		if err != nil {
			return false, at, have, err
		}
		all := record.Progress(0).Text
		if len(all) >= len(have) && strings.Join(all[:len(have)], "") != strings.Join(have, "") {
			return true, at, have, fmt.Errorf("%s: the answer at node %d differs", id, at)
		}
		have = append(have, progress.Text...)
		switch {
		case progress.Moved != nil:
			return false, w.indexOf(progress.Moved.Node.ID), have, nil
		case progress.Ended():
			return true, at, have, errorOrNil(progress.Err)
		}
	}
}

// reclaim gives notice for a zone, brings a fault about, and takes the zone.
func (w *wave) reclaim(zone int, notice time.Duration) {
	leaving := w.give(zone, notice)
	for i, n := range w.nodes {
		for _, r := range n.records.ListOpen() {
			if s, ok := r.ActiveStream(); ok && (leaving[s.Endpoint] || i == zone) {
				w.reclaimed++
				w.atReclaim += qfprefix.EstimateTokens(r.Request.Messages) + s.Tokens
			}
		}
	}
	w.pass(notice / 2)
	switch w.random.IntN(6) {
	case 0: // The engines die before their time, in the middle of exports.
		for id := range leaving {
			w.engine.take(id)
		}
	case 1: // The node dies before its time.
		w.takeNode(zone)
	case 2:
		w.engine.mu.Lock()
		w.engine.failImports = true
		w.engine.mu.Unlock()
	case 3: // Destinations are reclaimed in turn.
		next := w.give((zone+1)%len(w.nodes), notice)
		defer func() {
			w.pass(notice / 2)
			for id := range next {
				w.engine.take(id)
			}
			w.takeNode((zone + 1) % len(w.nodes))
		}()
	}
	w.pass(notice - notice/2)
	for id := range leaving {
		w.engine.take(id)
	}
	w.takeNode(zone)
}

// give announces the reclaim of a zone, one VM after the other, and returns its
// engines.
func (w *wave) give(zone int, notice time.Duration) map[qf.EndpointID]bool {
	leaving := map[qf.EndpointID]bool{}
	leaveAt := w.timer.Now().Add(notice)
	w.set(func() {
		for _, vm := range w.endpoints {
			if vm.AvailabilityZone != w.nodes[zone].settings.Node.Zone() {
				continue
			}
			w.notices = append(w.notices, qf.Notice{VM: vm.ID, Incarnation: vm.Incarnation, LeaveAt: leaveAt})
			if vm.Role == qf.RoleModelEngine {
				leaving[qf.EndpointID(vm.ID)] = true
			}
		}
	})
	return leaving
}

func (w *wave) takeNode(i int) {
	if isClosed(w.goneNodes[i]) {
		return
	}
	close(w.goneNodes[i])
	w.set(func() { w.cut[w.nodes[i].Self().ID] = true })
	w.nodes[i].Kill()
}
