package entry

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// eraWatcher keeps what this node and its peers know of the era of the platform's store.
type eraWatcher struct {
	entry *Entry

	mu       sync.Mutex
	sighting qf.StoreSighting
}

// run records each rise of the era until the context ends.
func (w *eraWatcher) run(ctx context.Context) {
	eras := w.entry.platform.Eras
	known := qf.StoreEra(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-eras.AwaitEraAfter(known):
			next := eras.Era()
			w.recordEra(ctx, known, next)
			known = next
		}
	}
}

// recordEra records that this node has seen a later era.
func (w *eraWatcher) recordEra(ctx context.Context, before, era qf.StoreEra) {
	e := w.entry
	w.merge(qf.StoreSighting{Era: era, FirstSeen: e.fleetClock.fleetTime(e.now())})
	if before == 0 {
		return // The node has started; the store wasn't restored.
	}
	if e.platform.Telemetry != nil {
		e.platform.Telemetry.RecordStoreRestore()
	}
	qfevent.StoreRestored.Log(&e.platform.Logger, era, before)
	e.background.Go(func() { e.registerUnlessRead(ctx, era) })
}

// merge adds what a peer or this node has seen.
func (w *eraWatcher) merge(seen qf.StoreSighting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sighting = w.sighting.Merge(seen)
}

// get returns what is known, for peers.
func (w *eraWatcher) get() qf.StoreSighting {
	w.mu.Lock()
	sighting := w.sighting
	w.mu.Unlock()
	sighting.Fencing = w.entry.duties.holder.HighestFencing(fleetDutyLease)
	return sighting
}

// applyPeer applies what a peer has seen.
func (w *eraWatcher) applyPeer(seen qf.StoreSighting) {
	w.merge(seen)
	w.entry.platform.Eras.ObserveEra(seen.Era)
	if seen.Fencing > 0 {
		w.entry.duties.holder.RecordFencing(fleetDutyLease, seen.Fencing)
	}
}

// mayHaveLost reports whether a row that was written before a time may be missing because the
// store came back from an older copy.
func (w *eraWatcher) mayHaveLost(before time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sighting.Era > 0 && before.Before(w.sighting.FirstSeen)
}
