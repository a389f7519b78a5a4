// Package qfholder holds a node's leases in the table service: it makes the calls that the
// leases require and reports which duties the node holds.
package qfholder

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	rowLeasePrefix = "lease/"
	releaseTimeout = 2 * time.Second
)

// Ports holds the dependencies of a holder. No field may be nil.
type Ports struct {
	Clock  qf.Clock
	Table  qf.Table
	Logger *zerolog.Logger
	Timing qflease.Timing
	Random *rand.Rand
	// Self returns the node's name and incarnation. It is called only once the node
	// serves.
	Self func() (qf.NodeID, qf.Incarnation)
	// Eras tracks the eras of the table's store. It is nil for a table that never loses what
	// it has acknowledged.
	Eras qf.EraTracker
	// IsFirstStart is true if the whole fleet starts for the first time.
	IsFirstStart bool
}

// Holder manages the node's leases of all duties. It is safe for concurrent use.
type Holder struct {
	ports Ports
	// mu guards the leases, which aren't safe for concurrent use.
	mu     sync.Mutex
	byDuty map[string]*qflease.Lease
	// held holds the fencing number under which each duty was held at the last
	// update; it is 0 for duties that weren't.
	held map[string]qf.FencingNumber
	// released is true once the node has released its leases for good; from then on it
	// makes no further calls for them.
	released bool
	// calls counts the calls to the table in progress.
	calls sync.WaitGroup
}

// New returns a holder without leases.
func New(ports Ports) *Holder {
	return &Holder{ports: ports, byDuty: map[string]*qflease.Lease{}, held: map[string]qf.FencingNumber{}}
}

// Held returns the fencing number under which the node may act for a duty now.
func (h *Holder) Held(duty string) (qf.FencingNumber, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lease := h.byDuty[duty]
	if lease == nil {
		return 0, false
	}
	return lease.Held(h.ports.Clock.Now())
}

// Claimed returns the fencing number under which the node last held a duty, unless another
// node is known to have taken the lease since.
func (h *Holder) Claimed(duty string) (qf.FencingNumber, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lease := h.byDuty[duty]
	if lease == nil {
		return 0, false
	}
	return lease.Claimed()
}

// RecordRun records that a node runs with an incarnation, so that leases of its earlier
// incarnations are free.
func (h *Holder) RecordRun(node qf.NodeID, incarnation qf.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, lease := range h.byDuty {
		lease.RecordHolderRestart(node, incarnation)
	}
}

// HighestFencing returns the highest fencing number that is known of a duty.
func (h *Holder) HighestFencing(duty string) qf.FencingNumber {
	h.mu.Lock()
	defer h.mu.Unlock()
	lease := h.byDuty[duty]
	if lease == nil {
		return 0
	}
	return lease.Highest()
}

// RecordFencing records a fencing number of a duty that a peer has seen.
func (h *Holder) RecordFencing(duty string, fencing qf.FencingNumber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease(duty).RecordFencing(fencing)
}

// UpdateLeases ranks the node for the duties that need a holder and makes the calls that
// their leases require.
func (h *Holder) UpdateLeases(ctx context.Context, duties []string, live []qf.NodeID) {
	self, _ := h.ports.Self()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	for _, lease := range h.byDuty {
		lease.SetRank(qflease.NotCandidate)
	}
	for _, duty := range duties {
		h.lease(duty).SetRank(qflease.Rank(duty, self, live))
	}
	for duty, lease := range h.byDuty {
		if h.ports.Eras != nil {
			lease.RecordEra(h.ports.Clock.Now(), h.ports.Eras.Era())
		}
		h.logChange(duty, lease)
		h.call(ctx, duty, lease)
	}
}

// lease returns the lease of a duty, which it creates at first. It is called with the lock
// held.
func (h *Holder) lease(duty string) *qflease.Lease {
	lease := h.byDuty[duty]
	if lease == nil {
		id, incarnation := h.ports.Self()
		lease = qflease.New(id, incarnation, h.ports.Timing, h.ports.Random)
		if h.ports.IsFirstStart {
			lease.SetFirstStart()
		}
		h.byDuty[duty] = lease
	}
	return lease
}

// logChange logs that a lease was taken or lost since the last update.
func (h *Holder) logChange(duty string, lease *qflease.Lease) {
	fencing, held := lease.Held(h.ports.Clock.Now())
	before := h.held[duty]
	h.held[duty] = fencing
	switch {
	case held && fencing != before:
		qfevent.LeaseTaken.Log(h.ports.Logger, duty, fencing)
	case !held && before != 0:
		qfevent.LeaseLost.Log(h.ports.Logger, duty, "it wasn't renewed in time or was released")
	}
}

// call makes the call that a lease requires, in the background. It is called with the lock
// held.
func (h *Holder) call(ctx context.Context, duty string, lease *qflease.Lease) {
	action := lease.NextAction(h.ports.Clock.Now())
	if action.Kind == qflease.ActionNone {
		return
	}
	h.calls.Go(func() {
		if action.Kind == qflease.ActionRead {
			h.read(ctx, duty, lease)
			return
		}
		h.write(ctx, duty, lease, action)
	})
}

func (h *Holder) read(ctx context.Context, duty string, lease *qflease.Lease) {
	row, err := h.ports.Table.Read(ctx, rowLeasePrefix+duty)
	isAbsent := errors.Is(err, &qf.Error{Code: qf.CodeNotFound})
	var record qflease.Record
	if err == nil {
		err = json.Unmarshal(row.Value, &record)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !isAbsent {
		lease.RecordReadFailure()
		return
	}
	lease.RecordEra(h.ports.Clock.Now(), row.Era)
	lease.RecordRead(h.ports.Clock.Now(), row.Version, record, row.Writer)
}

func (h *Holder) write(ctx context.Context, duty string, lease *qflease.Lease, action qflease.Action) {
	value, err := json.Marshal(action.Record)
	result := qf.NotDoneFor[qf.Committed](err)
	if err == nil {
		key := rowLeasePrefix + duty
		result = h.ports.Table.Commit(ctx, qf.Transaction{
			ID:         action.Transaction,
			Conditions: []qf.Condition{{Key: key, Version: action.Version, Era: action.Era}},
			Writes:     []qf.Write{{Key: key, Value: value}},
		})
	}
	isConflict := errors.Is(result.Err, &qf.Error{Code: qf.CodeConflict})
	h.mu.Lock()
	defer h.mu.Unlock()
	lease.RecordWrite(h.ports.Clock.Now(), action, result.Certainty, isConflict)
}

// Release releases all leases for good, so that other nodes needn't wait until they
// expire.
func (h *Holder) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.calls.Wait()
	h.mu.Lock()
	for duty, lease := range h.byDuty {
		lease.Release()
		h.call(ctx, duty, lease)
	}
	h.mu.Unlock()
	h.calls.Wait()
}
