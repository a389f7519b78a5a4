package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	rowLeasePrefix = "lease/"
	leaseStep      = 250 * time.Millisecond
	releaseLimit   = 2 * time.Second
)

// leases holds the node's part in the leases of all duties.
type leases struct {
	node *Node
	// mu guards the leases, which aren't safe for concurrent use.
	mu     sync.Mutex
	byDuty map[string]*qflease.Lease
	random *rand.Rand
	// held holds the fencing number under which each duty was last seen held.
	held map[string]qf.FencingNumber
	// released is true once the node has given its leases up for good; it makes no
	// calls for them from then on.
	released bool
	// calls counts the calls of the table under way.
	calls sync.WaitGroup
}

func newLeases(n *Node, random *rand.Rand) *leases {
	return &leases{node: n, random: random, byDuty: map[string]*qflease.Lease{}, held: map[string]qf.FencingNumber{}}
}

// Held returns the fencing number under which the node may act for a duty now.
func (l *leases) Held(duty string) (qf.FencingNumber, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.byDuty[duty]
	if lease == nil {
		return 0, false
	}
	return lease.Held(l.node.now())
}

// step ranks the node for the duties that need a holder and makes the calls that
// their leases ask for.
func (l *leases) step(ctx context.Context, duties []string, live []qf.NodeID) {
	self := qf.NodeID(l.node.settings.Node.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	for _, lease := range l.byDuty {
		lease.SetRank(qflease.NotCandidate)
	}
	for _, duty := range duties {
		l.of(duty).SetRank(qflease.Rank(duty, self, live))
	}
	for duty, lease := range l.byDuty {
		l.noteHolder(duty, lease)
		l.call(ctx, duty, lease)
	}
}

// of is called with the lock held.
func (l *leases) of(duty string) *qflease.Lease {
	lease := l.byDuty[duty]
	if lease == nil {
		s := &l.node.settings.Lease
		lease = qflease.New(qf.NodeID(l.node.settings.Node.ID), l.node.incarnation, qflease.Timing{
			Duration: s.Duration.Value(), RenewEvery: s.RenewEvery.Value(),
			RankDelay: s.RankDelay.Value(), ClockMargin: s.ClockMargin,
		}, l.random)
		l.byDuty[duty] = lease
	}
	return lease
}

func (l *leases) noteHolder(duty string, lease *qflease.Lease) {
	fencing, held := lease.Held(l.node.now())
	before := l.held[duty]
	l.held[duty] = fencing
	switch {
	case held && fencing != before:
		qfevent.LeaseTaken.Log(&l.node.platform.Logger, duty, fencing)
	case !held && before != 0:
		qfevent.LeaseLost.Log(&l.node.platform.Logger, duty, "it wasn't renewed in time or was released")
	}
}

// call makes the call that a lease asks for, in the background. It is called
// with the lock held.
func (l *leases) call(ctx context.Context, duty string, lease *qflease.Lease) {
	action := lease.Next(l.node.now())
	if action.Kind == qflease.ActionNone {
		return
	}
	l.calls.Go(func() {
		if action.Kind == qflease.ActionRead {
			l.read(ctx, duty, lease)
			return
		}
		l.write(ctx, duty, lease, action)
	})
}

func (l *leases) read(ctx context.Context, duty string, lease *qflease.Lease) {
	row, err := l.node.platform.Table.Read(ctx, rowLeasePrefix+duty)
	isAbsent := errors.Is(err, &qf.Error{Code: qf.CodeNotFound})
	var record qflease.Record
	if err == nil {
		err = json.Unmarshal(row.Value, &record)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && !isAbsent {
		lease.ReadFailed()
		return
	}
	lease.ReadDone(l.node.now(), row.Version, record, row.Writer)
}

func (l *leases) write(ctx context.Context, duty string, lease *qflease.Lease, action qflease.Action) {
	value, err := json.Marshal(action.Record)
	result := qf.NotDoneFor[qf.Committed](err)
	if err == nil {
		key := rowLeasePrefix + duty
		result = l.node.platform.Table.Commit(ctx, qf.Transaction{
			ID:         action.Transaction,
			Conditions: []qf.Condition{{Key: key, Version: action.Version}},
			Writes:     []qf.Write{{Key: key, Value: value}},
		})
	}
	isConflict := errors.Is(result.Err, &qf.Error{Code: qf.CodeConflict})
	l.mu.Lock()
	defer l.mu.Unlock()
	lease.WriteDone(l.node.now(), action, result.Certainty, isConflict)
}

// release gives all leases up for good, so that others needn't wait for them to
// lapse.
func (l *leases) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	l.mu.Lock()
	l.released = true
	l.mu.Unlock()
	l.calls.Wait()
	l.mu.Lock()
	for duty, lease := range l.byDuty {
		lease.Release()
		l.call(ctx, duty, lease)
	}
	l.mu.Unlock()
	l.calls.Wait()
}

// stepLeases runs the leases of the duties that need a holder now.
func (n *Node) stepLeases(ctx context.Context) {
	if n.Phase() != PhaseServing {
		return
	}
	n.mu.Lock()
	var live []qf.NodeID
	for _, node := range n.membership.Nodes(n.now()) {
		if node.State == qf.NodeLive {
			live = append(live, node.ID)
		}
	}
	n.mu.Unlock()
	n.leases.step(ctx, append(n.duties(), dutyFleet), live)
}
