package entry

import (
	"context"
	"encoding/json"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// exchangeEvery is the time between two exchanges with all peers.
	exchangeEvery = 400 * time.Millisecond
	// registerRetry is the time between two tries to write the node's row.
	registerRetry = 500 * time.Millisecond
	// nodeKeyPrefix begins the keys of nodes' rows.
	nodeKeyPrefix = "nodes/"
	// nodesKnownAfter is how long after its start a node that can't read the list of nodes
	// takes those that it heard for all.
	nodesKnownAfter = 4 * time.Second
	// avoidFor is how long a node isn't a relay after a call to it failed.
	avoidFor = 2 * time.Second
	// usageTold is how long after its end a window is told to peers.
	usageTold = 3 * time.Second
)

// nodeRows takes the rows by which nodes find each other.
type nodeRows struct{ entry *Entry }

// ApplySnapshot implements feedRows.
func (h *nodeRows) ApplySnapshot(rows []qf.FeedRow, _ uint64) {
	h.ApplyChanges(rows)
	if !h.entry.hasNodes.Swap(true) {
		close(h.entry.nodesRead)
	}
}

// ApplyChanges implements feedRows.
func (h *nodeRows) ApplyChanges(rows []qf.FeedRow) {
	e := h.entry
	for i := range rows {
		if rows[i].Removed {
			continue // A node that is gone falls silent.
		}
		var node qf.Node
		if err := json.Unmarshal(rows[i].Value, &node); err != nil {
			e.unreadable(qf.FeedNodes, &rows[i], err)
			continue
		}
		e.mu.Lock()
		if node.ID != e.deployment.Self.ID && node.State != qf.NodeLeaving {
			e.membership.AddSeed(e.now(), node)
		}
		e.mu.Unlock()
	}
}

// registerLoop writes the node's row until that is done.
func (e *Entry) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.register(ctx).Certainty == qf.Done {
			return
		}
		e.sleep(ctx, registerRetry)
	}
}

func (e *Entry) register(ctx context.Context) qf.Result[qf.Committed] {
	self := e.self()
	value, err := json.Marshal(self)
	if err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	key := nodeKeyPrefix + string(self.ID)
	return e.platform.Table.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(key), Writes: []qf.Write{{Key: key, Value: value}},
	})
}

func (e *Entry) self() qf.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.membership.Self()
	self.CatalogueRevision = e.configuration.Revision()
	return self
}

func (e *Entry) sleep(ctx context.Context, delay time.Duration) {
	subscription := e.platform.Clock.After(delay)
	defer subscription.Stop()
	select {
	case <-ctx.Done():
	case <-subscription.C():
	}
}

// every calls a step at each multiple of an interval until the context ends.
func (e *Entry) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticks := e.platform.Clock.Every(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			step(ctx)
		}
	}
}
