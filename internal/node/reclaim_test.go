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

// reclaimRun is one simulated reclaim of a zone, generated from a seed.
type reclaimRun struct {
	*fleet
	random *rand.Rand
	// stoppedNodes holds a channel for each node, which is closed when its VM stops.
	stoppedNodes []chan struct{}
	requests     int
	callers      sync.WaitGroup
	mu           sync.Mutex
	// lost holds an error for each answer that was incomplete or wrong.
	lost []error
	// tokensAtReclaim is the sum of the computed tokens of the streams at reclaimed
	// endpoints and nodes at the time of the notice. Without exports of KV caches, all of
	// them would be recomputed.
	tokensAtReclaim, reclaimedStreams int
	// prompts is the sum of the tokens of all prompts.
	prompts int
}

// TestZoneReclaims guards against answers that are lost or changed when a zone is reclaimed
// with its node and its engines. Each run also injects a fault that the seed chooses. The
// test logs the number of recomputed tokens.
func TestZoneReclaims(t *testing.T) {
	tokensAtReclaim, recomputed, streams, answers := 0, 0, 0, 0
	for seed := range *reclaims {
		synctest.Test(t, func(t *testing.T) {
			run := newReclaimRun(t, uint64(seed))
			run.execute()
			for _, err := range run.lost {
				t.Errorf("seed %d: %v", seed, err)
			}
			tokensAtReclaim += run.tokensAtReclaim
			streams += run.reclaimedStreams
			answers += run.requests
			recomputed += run.engine.computed - run.prompts
		})
	}
	t.Logf("%d zone reclaims, %d answers, %d streams at reclaimed engines or nodes: %.1f tokens recomputed per stream, %.1f without exports of KV caches",
		*reclaims, answers, streams, float64(recomputed)/float64(max(streams, 1)), float64(tokensAtReclaim)/float64(max(streams, 1)))
}

func newReclaimRun(t *testing.T, seed uint64) *reclaimRun {
	run := &reclaimRun{fleet: newFleet(t, 3), random: rand.New(rand.NewPCG(seed, 1))}
	for range run.nodes {
		run.stoppedNodes = append(run.stoppedNodes, make(chan struct{}))
	}
	run.engine.bandwidth = float64(uint64(64<<20) << run.random.IntN(6))
	return run
}

func (run *reclaimRun) execute() {
	run.requests = 20 + run.random.IntN(20)
	for i := range run.requests {
		run.sendRandom(i)
		run.sleep(time.Duration(run.random.IntN(100)) * time.Millisecond)
	}
	run.reclaim(run.random.IntN(len(run.nodes)), time.Duration(2000+run.random.IntN(4000))*time.Millisecond)
	run.callers.Wait()
}

func (run *reclaimRun) sendRandom(i int) {
	id := requestID(i)
	at := run.random.IntN(len(run.nodes))
	tokens := 50 + run.random.IntN(400)
	messages := []qf.Message{{Role: "user", Content: strings.Repeat("canopy ", 50+run.random.IntN(3000))}}
	run.prompts += qfprefix.EstimateTokens(messages)
	_, err := run.nodes[at].Accept(context.Background(), &qf.Request{
		ID: id, Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine, Class: qf.ClassInteractive,
		Messages: messages, MaxTokens: tokens, Stream: true,
		Deadline: run.clock.Now().Add(2 * time.Minute),
	})
	if err != nil {
		run.t.Fatal(err)
	}
	run.callers.Go(func() {
		if err := run.call(at, id, tokens); err != nil {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.lost = append(run.lost, err)
		}
	})
}

// call reads an answer as a caller without the client library does.
func (run *reclaimRun) call(at int, id qf.RequestID, tokens int) error {
	var have []string
	var err error
	for range 20 {
		if isClosed(run.stoppedNodes[at]) {
			at = (at + 1) % len(run.nodes)
			continue
		}
		var ended bool
		ended, at, have, err = run.read(at, id, have)
		if ended {
			break
		}
		run.sleep(20 * time.Millisecond)
	}
	if err != nil || len(have) != tokens {
		return fmt.Errorf("%s: received %d of %d tokens: %w%s", id, len(have), tokens, err, run.explain(id))
	}
	for i, token := range have {
		if !strings.HasPrefix(token, fmt.Sprintf("%d/", i)) {
			return fmt.Errorf("%s: token %d is %q", id, i, token)
		}
	}
	return nil
}

// explain lists the decisions of all nodes about a request.
func (run *reclaimRun) explain(id qf.RequestID) string {
	var b strings.Builder
	for _, n := range run.nodes {
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

// read reads from one node until the answer ends or moves, or the node stops. It returns
// whether the answer ended, the node to read from next and the text so far.
func (run *reclaimRun) read(at int, id qf.RequestID, have []string) (bool, int, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-run.stoppedNodes[at]:
			cancel()
		case <-stop:
		}
	}()
	record, err := run.nodes[at].Find(ctx, id)
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
			return true, at, have, fmt.Errorf("%s: the answer at node %d differs from the text received so far", id, at)
		}
		have = append(have, progress.Text...)
		switch {
		case progress.Moved != nil:
			return false, run.indexOf(progress.Moved.Node.ID), have, nil
		case progress.Ended():
			return true, at, have, errorOrNil(progress.Err)
		}
	}
}

// reclaim announces the reclaim of a zone, injects a fault and stops the zone's VMs.
func (run *reclaimRun) reclaim(zone int, notice time.Duration) {
	leaving := run.announceReclaim(zone, notice)
	for i, n := range run.nodes {
		for _, r := range n.records.ListOpen() {
			if s, ok := r.ActiveStream(); ok && (leaving[s.Endpoint] || i == zone) {
				run.reclaimedStreams++
				run.tokensAtReclaim += qfprefix.EstimateTokens(r.Request.Messages) + s.Tokens
			}
		}
	}
	run.sleep(notice / 2)
	switch run.random.IntN(6) {
	case 0: // The engines stop before the reclaim, in the middle of exports.
		for id := range leaving {
			run.engine.stop(id)
		}
	case 1: // The node stops before the reclaim.
		run.stopNode(zone)
	case 2: // Imports of KV caches fail.
		run.engine.mu.Lock()
		run.engine.failImports = true
		run.engine.mu.Unlock()
	case 3: // The next zone, to which streams have moved, is reclaimed too.
		next := run.announceReclaim((zone+1)%len(run.nodes), notice)
		defer func() {
			run.sleep(notice / 2)
			for id := range next {
				run.engine.stop(id)
			}
			run.stopNode((zone + 1) % len(run.nodes))
		}()
	}
	run.sleep(notice - notice/2)
	for id := range leaving {
		run.engine.stop(id)
	}
	run.stopNode(zone)
}

// announceReclaim adds reclaim notices for the VMs of a zone and returns its engines.
func (run *reclaimRun) announceReclaim(zone int, notice time.Duration) map[qf.EndpointID]bool {
	leaving := map[qf.EndpointID]bool{}
	leaveAt := run.clock.Now().Add(notice)
	run.update(func() {
		for _, vm := range run.endpoints {
			if vm.AvailabilityZone != run.nodes[zone].settings.Node.Zone() {
				continue
			}
			run.notices = append(run.notices, qf.Notice{VM: vm.ID, Incarnation: vm.Incarnation, LeaveAt: leaveAt})
			if vm.Role == qf.RoleModelEngine {
				leaving[qf.EndpointID(vm.ID)] = true
			}
		}
	})
	return leaving
}

func (run *reclaimRun) stopNode(i int) {
	if isClosed(run.stoppedNodes[i]) {
		return
	}
	close(run.stoppedNodes[i])
	run.update(func() { run.isolated[run.nodes[i].Self().ID] = true })
	run.nodes[i].Kill()
}
