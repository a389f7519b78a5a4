package entry

import (
	"context"
	"encoding/json"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// exchangeInterval is the time between two exchanges with all peers.
	exchangeInterval = 400 * time.Millisecond
	// registerRetryDelay is the time between two attempts to write the node's row.
	registerRetryDelay = 500 * time.Millisecond
	// registerWaitTime is how long a node waits for the list of nodes after the store came back from
	// an older copy: the relays mostly have it after two calls to the store.
	registerWaitTime = 500 * time.Millisecond
	// nodeKeyPrefix begins the keys of nodes' rows.
	nodeKeyPrefix = "nodes/"
	// nodeListFallback is how long after its start a node that can't read the list of nodes
	// treats the peers from which it received digests as the whole fleet.
	nodeListFallback = 4 * time.Second
	// relayRetryDelay is how long a node is not used as a relay after a failed call to it.
	relayRetryDelay = 2 * time.Second
	// usageTallyPeriod is how long after its end a usage window is still sent to peers.
	usageTallyPeriod = 5 * time.Second
)

// nodeRowHandler applies the rows by which nodes discover each other.
type nodeRowHandler struct{ entry *Entry }

// ApplySnapshot implements rowHandler.
func (h *nodeRowHandler) ApplySnapshot(page *qf.FeedPage, _ qf.StorePosition) {
	h.ApplyChanges(page)
	h.checkOwnRow(page)
	if !h.entry.hasNodes.Swap(true) {
		close(h.entry.nodesRead)
	}
}

// checkOwnRow makes the node write its row again if a snapshot of a later era lacks it.
func (h *nodeRowHandler) checkOwnRow(page *qf.FeedPage) {
	e := h.entry
	e.nodesEra.Store(uint64(page.Era))
	registeredIn := qf.StoreEra(e.registeredIn.Load())
	if registeredIn == 0 || page.Era <= registeredIn {
		return
	}
	for i := range page.Rows {
		var node qf.Node
		isOwn := page.Rows[i].Key == string(e.deployment.Self.ID) && json.Unmarshal(page.Rows[i].Value, &node) == nil
		if isOwn && node.Incarnation == e.deployment.Self.Incarnation {
			return
		}
	}
	e.requestRegistration()
}

// requestRegistration makes the node write its row again.
func (e *Entry) requestRegistration() {
	select {
	case e.registerAgain <- struct{}{}:
	default: // It is due already.
	}
}

// registerUnlessRead makes the node write its row again if it can't read the list of nodes of a
// later era of the store in time to see whether its row is there.
func (e *Entry) registerUnlessRead(ctx context.Context, era qf.StoreEra) {
	e.sleep(ctx, registerWaitTime)
	if ctx.Err() == nil && qf.StoreEra(e.nodesEra.Load()) < era {
		e.requestRegistration()
	}
}

// ApplyChanges implements rowHandler.
func (h *nodeRowHandler) ApplyChanges(page *qf.FeedPage) {
	e := h.entry
	rows := page.Rows
	for i := range rows {
		if rows[i].Removed {
			continue // Its heartbeats stop, which marks it dead.
		}
		var node qf.Node
		if err := json.Unmarshal(rows[i].Value, &node); err != nil {
			e.logUnreadableRow(qf.FeedNodes, &rows[i], err)
			continue
		}
		e.mu.Lock()
		if node.ID != e.deployment.Self.ID && node.State != qf.NodeLeaving {
			e.membership.AddSeed(e.now(), node)
		}
		e.mu.Unlock()
	}
}

// registerLoop writes the node's row, and writes it again once the store has lost it.
func (e *Entry) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		result := e.register(ctx)
		if result.Certainty != qf.Done {
			e.sleep(ctx, registerRetryDelay)
			continue
		}
		e.registeredIn.Store(uint64(result.Value.Era))
		select {
		case <-ctx.Done():
		case <-e.registerAgain:
			qfevent.RowRewritten.Log(&e.platform.Logger, nodeKeyPrefix+string(e.deployment.Self.ID), e.platform.Eras.Era())
		}
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

// runEvery calls a step at each multiple of an interval until the context ends.
func (e *Entry) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
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
