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
// A write that finds the batcher idle is sent at once; those that arrive while a
// transaction is in progress, or before the next one is allowed, share the next one.
type batcher struct {
	clock qf.Clock
	table qf.Table
	// minInterval returns the shortest time between two transactions.
	minInterval func() time.Duration

	mu      sync.Mutex
	pending []*pendingWrite
	// running is true while a goroutine sends the pending writes.
	running   bool
	lastStart time.Time
}

// pendingWrite is one conditional write that waits for its transaction.
type pendingWrite struct {
	condition qf.Condition
	write     qf.Write
	id        qf.TransactionID
	result    qf.Result[qf.Committed]
	done      chan struct{}
}

func newBatcher(clock qf.Clock, table qf.Table, minInterval func() time.Duration) *batcher {
	return &batcher{clock: clock, table: table, minInterval: minInterval}
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
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.run(ctx)
	}
	<-w.done // The table bounds the time of a transaction.
	return w.id, w.result
}

// run sends transactions until no write is pending.
func (b *batcher) run(ctx context.Context) {
	for b.hasPending() {
		b.waitForRate()
		b.send(ctx, b.take())
	}
}

// hasPending reports whether there is more to send. If not, the next write starts
// a new goroutine.
func (b *batcher) hasPending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = len(b.pending) > 0
	return b.running
}

// waitForRate waits until the next transaction is allowed.
func (b *batcher) waitForRate() {
	b.mu.Lock()
	wait := b.minInterval() - b.clock.Now().Sub(b.lastStart)
	isFirst := b.lastStart.IsZero()
	b.mu.Unlock()
	if isFirst || wait <= 0 {
		return
	}
	due := b.clock.After(wait)
	defer due.Stop()
	<-due.C()
}

// take removes the next batch from the pending writes. Two writes of one row never share
// a transaction.
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
	b.lastStart = b.clock.Now()
	return batch
}

// send commits a batch. If a condition failed, nothing took effect; each half is
// then sent separately, so that one conflict costs few further transactions.
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
