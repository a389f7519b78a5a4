package qfcatalogue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

// follower is one of several nodes in the test's process.
type follower struct {
	mu           sync.Mutex
	current      *Current
	follower     *Follower
	random       *rand.Rand
	store        *Store
	peers        []*follower
	disconnected bool
	inForce      map[qf.Revision]time.Time
	decreased    bool
}

const (
	gossipEvery  = 500 * time.Millisecond
	gossipFanout = 3
	peerDelay    = 30 * time.Millisecond
)

var testOptions = FollowOptions{ReadInterval: time.Second, ReadsPerSecond: 64, StaleAfter: 30 * time.Second}

func newFollowers(table *standtable.Table, count int) []*follower {
	members := make([]*follower, count)
	for i := range members {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		current := NewCurrent()
		members[i] = &follower{
			current: current, random: random, store: NewStore(table, wall),
			follower: NewFollower(current, testOptions, random), inForce: map[qf.Revision]time.Time{},
		}
	}
	for i, m := range members {
		m.peers = slices.Concat(members[:i], members[i+1:])
	}
	return members
}

func (m *follower) update(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.current.Revision()
	if m.current.Update(s) {
		m.inForce[s.Revision] = wall.Now()
	}
	m.decreased = m.decreased || m.current.Revision() < before
}

func (m *follower) isFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follower.IsFresh(wall.Now())
}

func (m *follower) poll(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		wait := m.follower.NextRead(len(m.peers) + 1)
		m.mu.Unlock()
		sleep(wait)
		began := wall.Now()
		newest, err := m.store.Latest(ctx)
		if err != nil || m.isDisconnected() {
			continue
		}
		m.mu.Lock()
		fetch := m.follower.RecordRead(began, newest)
		m.mu.Unlock()
		if fetch {
			if head, _, err := m.store.Head(ctx); err == nil {
				m.update(head)
			}
		}
	}
}

func (m *follower) isDisconnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disconnected
}

func (m *follower) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(gossipEvery)
		for range min(gossipFanout, len(m.peers)) {
			m.mu.Lock()
			peer := m.peers[m.random.IntN(len(m.peers))]
			m.mu.Unlock()
			if !m.isDisconnected() && !peer.isDisconnected() {
				m.exchange(peer)
			}
		}
	}
}

// exchange sends each side the other's revision; the side with the older one fetches the
// newer.
func (m *follower) exchange(peer *follower) {
	sleep(peerDelay)
	report := func(to, from *follower) {
		from.mu.Lock()
		revision, age := from.current.Revision(), from.follower.Age(wall.Now())
		from.mu.Unlock()
		to.mu.Lock()
		fetch := to.follower.RecordPeerRevision(wall.Now(), revision, age)
		to.mu.Unlock()
		if fetch {
			sleep(peerDelay)
			to.update(*from.current.Get())
		}
	}
	report(m, peer)
	report(peer, m)
}

type spreadResult struct {
	slowest              time.Duration
	readsSecond, applies int
}

// measureSpread applies edits one after another and returns the longest time after which
// an edit was in force at all members.
func measureSpread(t *testing.T, count int, faults standtable.Faults, down bool) spreadResult {
	t.Helper()
	table := standtable.New(wall)
	members := newFollowers(table, count)
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	for _, m := range members {
		loops.Go(func() { m.poll(ctx) })
		loops.Go(func() { m.gossip(ctx) })
	}
	const edits = 2
	result := spreadResult{applies: edits}
	start := wall.Now()
	for i := range edits {
		table.SetFaults(faults)
		sleep(7 * time.Second)
		document := documentOf("a")
		document.Entries[0].Owner = fmt.Sprint(i)
		applied := members[i%count].store.Apply(ctx, Edit{ID: fmt.Sprint(i), Base: qf.Revision(i), Document: document})
		if applied.State != EditAccepted {
			t.Fatalf("edit %d: %v", i, applied)
		}
		accepted := wall.Now()
		if head, _, err := members[i%count].store.Head(ctx); err == nil {
			members[i%count].update(head)
		}
		if down {
			table.SetFaults(standtable.Faults{Down: true})
		}
		sleep(15 * time.Second)
		for _, m := range members {
			at, ok := m.inForce[applied.Revision]
			if !ok || m.decreased {
				t.Fatalf("%d members: revision %d isn't in force everywhere, or a member's revision decreased", count, applied.Revision)
			}
			result.slowest = max(result.slowest, at.Sub(accepted))
		}
	}
	reads, _ := table.Counts()
	result.readsSecond = reads / max(1, int(wall.Now().Sub(start).Seconds()))
	cancel()
	loops.Wait()
	return result
}

// TestRevisionsSpread checks that an accepted revision is in force at all members within
// the time limit, and that their reads stay within the budget.
func TestRevisionsSpread(t *testing.T) {
	rows := []struct {
		name   string
		count  int
		faults standtable.Faults
		down   bool
		within time.Duration
	}{
		{"6, store up", 6, standtable.Faults{}, false, 3 * time.Second},
		{"6, store slow", 6, standtable.Faults{Delay: time.Second}, false, 3 * time.Second},
		{"6, store down after the edit", 6, standtable.Faults{}, true, 3 * time.Second},
		{"60, store up", 60, standtable.Faults{}, false, 14 * time.Second},
		{"60, store slow", 60, standtable.Faults{Delay: time.Second}, false, 14 * time.Second},
		{"60, store down after the edit", 60, standtable.Faults{}, true, 14 * time.Second},
		{"640, store up", 640, standtable.Faults{}, false, 14 * time.Second},
		{"640, store slow", 640, standtable.Faults{Delay: time.Second}, false, 14 * time.Second},
		{"640, store down after the edit", 640, standtable.Faults{}, true, 14 * time.Second},
	}
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			result := measureSpread(t, row.count, row.faults, row.down)
			t.Logf("%-32s slowest %5.2f s over %d edits, %d reads a second", row.name, result.slowest.Seconds(), result.applies, result.readsSecond)
			if result.slowest > row.within {
				t.Errorf("%s: %s, want %s", row.name, result.slowest, row.within)
			}
			if result.readsSecond > 2*testOptions.ReadsPerSecond {
				t.Errorf("%s: %d reads a second", row.name, result.readsSecond)
			}
		})
	}
}

// TestCutOffAndNewMembers checks that a disconnected member keeps its revision, becomes
// stale, and catches up once it is connected again, and that a member which starts while
// the table is down fetches the catalogue from its peers.
func TestCutOffAndNewMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standtable.New(qftimer.NewWall())
		members := newFollowers(table, 6)
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		run := func(m *follower) {
			loops.Go(func() { m.poll(ctx) })
			loops.Go(func() { m.gossip(ctx) })
		}
		for _, m := range members[:5] {
			run(m)
		}
		store := NewStore(table, wall)
		store.Apply(ctx, Edit{ID: "1", Document: documentOf("a")})
		sleep(5 * time.Second)
		cutOff := members[0]
		cutOff.mu.Lock()
		cutOff.disconnected = true
		cutOff.mu.Unlock()
		store.Apply(ctx, Edit{ID: "2", Base: 1, Document: documentOf("a", "b")})
		sleep(testOptions.StaleAfter)
		if cutOff.current.Revision() != 1 || cutOff.isFresh() {
			t.Errorf("disconnected: revision %d, fresh %t", cutOff.current.Revision(), cutOff.isFresh())
		}
		table.SetFaults(standtable.Faults{Down: true})
		run(members[5])
		sleep(time.Hour)
		if members[5].current.Revision() != 2 || members[5].isFresh() {
			t.Errorf("started in the outage: revision %d, fresh %t", members[5].current.Revision(), members[5].isFresh())
		}
		table.SetFaults(standtable.Faults{})
		cutOff.mu.Lock()
		cutOff.disconnected = false
		cutOff.mu.Unlock()
		sleep(5 * time.Second)
		for i, m := range members {
			if m.current.Revision() != 2 || !m.isFresh() || m.decreased {
				t.Errorf("member %d afterwards: revision %d, fresh %t", i, m.current.Revision(), m.isFresh())
			}
		}
		cancel()
		loops.Wait()
	})
}
