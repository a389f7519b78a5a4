package qfledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

// maxBatch bounds the rows of one transaction.
const maxBatch = 64

// batcher groups the conditional writes of many requests into few transactions.
// A write that finds the batcher idle leaves at once; those that come while a
// transaction is under way, or sooner after it than allowed, share the next one.
type batcher struct {
	timer qf.Clock
	table qf.Table
	// every returns the shortest time between two transactions.
	every func() time.Duration

	mu      sync.Mutex
	pending []*pendingWrite
	// busy is true while a goroutine empties pending.
	busy bool
	last time.Time
}

// pendingWrite is one conditional write that waits for its transaction.
type pendingWrite struct {
	condition qf.Condition
	write     qf.Write
	id        qf.TransactionID
	result    qf.Result[qf.Committed]
	done      chan struct{}
}

func newBatcher(timer qf.Clock, table qf.Table, every func() time.Duration) *batcher {
	return &batcher{timer: timer, table: table, every: every}
}

// commit writes one row and returns the transaction in which it was sent.
func (b *batcher) commit(ctx context.Context, key string, version uint64, r *row) (qf.TransactionID, qf.Result[qf.Committed]) {
	value, err := json.Marshal(r)
	if err != nil {
		return "", qf.NotDoneFor[qf.Committed](err)
	}
	w := &pendingWrite{
		condition: qf.Condition{Key: key, Version: version},
		write:     qf.Write{Key: key, Value: value},
		done:      make(chan struct{}),
	}
	b.mu.Lock()
	b.pending = append(b.pending, w)
	start := !b.busy
	b.busy = true
	b.mu.Unlock()
	if start {
		go b.empty(ctx)
	}
	<-w.done // The table bounds the time of a transaction.
	return w.id, w.result
}

// empty sends transactions until nothing is pending.
func (b *batcher) empty(ctx context.Context) {
	for b.hasPending() {
		b.pace()
		b.send(ctx, b.take())
	}
}

// hasPending reports whether there is more to send. If not, the next write starts
// a new goroutine.
func (b *batcher) hasPending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = len(b.pending) > 0
	return b.busy
}

// pace waits until the next transaction is allowed.
func (b *batcher) pace() {
	b.mu.Lock()
	wait := b.every() - b.timer.Now().Sub(b.last)
	isFirst := b.last.IsZero()
	b.mu.Unlock()
	if isFirst || wait <= 0 {
		return
	}
	due := b.timer.After(wait)
	defer due.Stop()
	<-due.C()
}

// take removes the next batch. Two writes of one row never share a transaction.
func (b *batcher) take() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := map[string]bool{}
	var batch, rest []*pendingWrite
	for _, w := range b.pending {
		if len(batch) == maxBatch || keys[w.write.Key] {
			rest = append(rest, w)
			continue
		}
		keys[w.write.Key] = true
		batch = append(batch, w)
	}
	b.pending = rest
	b.last = b.timer.Now()
	return batch
}

// send commits a batch. If a condition failed, nothing took effect; each half is
// then sent on its own, so that one conflict costs few further transactions.
func (b *batcher) send(ctx context.Context, batch []*pendingWrite) {
	transaction := qf.Transaction{ID: qf.TransactionID(uuid.NewString())}
	for _, w := range batch {
		transaction.Conditions = append(transaction.Conditions, w.condition)
		transaction.Writes = append(transaction.Writes, w.write)
	}
	result := b.table.Commit(ctx, transaction)
	if len(batch) > 1 && result.Certainty == qf.NotDone && qf.CodeOf(result.Err) == qf.CodeConflict {
		half := len(batch) / 2
		b.send(ctx, batch[:half])
		b.send(ctx, batch[half:])
		return
	}
	for _, w := range batch {
		w.id, w.result = transaction.ID, result
		close(w.done)
	}
}
