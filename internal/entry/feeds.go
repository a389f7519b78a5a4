package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qffollow"
)

// The paces of the feeds. A connection that has gone silent is found when the wait
// is over.
var (
	operatorPace  = qffollow.Timing{PollTimeout: MaxPollTimeout, PollDelay: 200 * time.Millisecond, MinRetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second}
	endpointsPace = qffollow.Timing{PollTimeout: MaxPollTimeout, PollDelay: 300 * time.Millisecond, MinRetryDelay: 100 * time.Millisecond, MaxRetryDelay: 300 * time.Millisecond}
	nodesPace     = qffollow.Timing{PollTimeout: MaxPollTimeout, PollDelay: time.Second, MinRetryDelay: 200 * time.Millisecond, MaxRetryDelay: 2 * time.Second}
)

// settleEvery is the time between two looks at the entries that may have lapsed. With the
// times of the feed it keeps a leaving endpoint within its bound.
const settleEvery = 100 * time.Millisecond

// MaxPollTimeout is how long the store may hold a call for changes.
const MaxPollTimeout = 3 * time.Second

// follow begins to follow the feeds.
func (e *Entry) follow(ctx context.Context) {
	feeds := []struct {
		name    qf.FeedName
		pace    qffollow.Timing
		handler feedRows
	}{
		{qf.FeedOperator, operatorPace, &operatorRows{e}},
		{qf.FeedEndpoints, endpointsPace, &endpointRows{e}},
		{qf.FeedNodes, nodesPace, &nodeRows{e}},
	}
	for _, feed := range feeds {
		handler := &feedHandler{entry: e, name: feed.name, feedRows: feed.handler}
		e.background.Go(func() {
			qffollow.Follow(ctx, e.platform.Clock, &feedSource{entry: e}, feed.name, feed.pace, handler)
		})
	}
}

// feedRows takes the rows of one feed.
type feedRows interface {
	ApplySnapshot(rows []qf.FeedRow, version uint64)
	ApplyChanges(rows []qf.FeedRow)
}

// feedHandler adds to the rows' handler what all feeds have in common.
type feedHandler struct {
	feedRows
	entry *Entry
	name  qf.FeedName
	// lostAt is when the feed failed; it is zero while it answers.
	lostAt time.Time
}

// RecordFailure implements qffollow.Handler.
func (h *feedHandler) RecordFailure(err error) {
	e := h.entry
	now := e.now()
	if h.name == qf.FeedEndpoints {
		e.mu.Lock()
		e.registry.MarkStoreFailed()
		e.mu.Unlock()
	}
	if h.lostAt.IsZero() {
		h.lostAt = now
		qfevent.FeedLost.Log(&e.platform.Logger, h.name, err)
	}
}

// RecordSuccess implements qffollow.Handler.
func (h *feedHandler) RecordSuccess() {
	e := h.entry
	now := e.now()
	if h.name == qf.FeedEndpoints {
		e.mu.Lock()
		e.registry.MarkStoreAnswered()
		e.mu.Unlock()
	}
	if !h.lostAt.IsZero() {
		qfevent.FeedRegained.Log(&e.platform.Logger, h.name, now.Sub(h.lostAt).String())
		h.lostAt = time.Time{}
	}
}

// unreadable logs a row that is left out.
func (e *Entry) unreadable(feed qf.FeedName, row *qf.FeedRow, err error) {
	qfevent.RowUnreadable.Log(&e.platform.Logger, feed, row.Key, row.Version, err)
}

// operatorRows takes the configuration and the orders of rollouts.
type operatorRows struct{ entry *Entry }

// ApplySnapshot implements feedRows.
func (h *operatorRows) ApplySnapshot(rows []qf.FeedRow, _ uint64) { h.ApplyChanges(rows) }

// ApplyChanges implements feedRows.
func (h *operatorRows) ApplyChanges(rows []qf.FeedRow) {
	e := h.entry
	for i := range rows {
		if e.platform.RowDecoder.IsConfigurationKey(rows[i].Key) && !rows[i].Removed {
			e.applyConfiguration(rows[i].Value, "")
			continue
		}
		order, isOrder, err := e.platform.RowDecoder.DecodeRollout(&rows[i])
		if err != nil {
			e.unreadable(qf.FeedOperator, &rows[i], err)
		}
		if isOrder {
			e.placer.setOrder(order)
		}
	}
}

// applyConfiguration checks and applies a configuration, wherever it came from.
func (e *Entry) applyConfiguration(encoded []byte, from qf.NodeID) {
	configuration, err := e.platform.RowDecoder.DecodeConfiguration(encoded)
	if err != nil {
		qfevent.CatalogueFailed.Log(&e.platform.Logger, err)
		return
	}
	if !e.configuration.Apply(configuration, encoded) {
		return
	}
	e.governor.mu.Lock()
	e.governor.quotas.SetOrganisations(e.now(), configuration.Organisations)
	e.governor.mu.Unlock()
	e.noteKnown()
	qfevent.ConfigInForce.Log(&e.platform.Logger, configuration.Revision, from, len(configuration.Routes))
}

// endpointRows takes the registered endpoints.
type endpointRows struct{ entry *Entry }

// ApplySnapshot implements feedRows.
func (h *endpointRows) ApplySnapshot(rows []qf.FeedRow, version uint64) {
	e := h.entry
	shown := make(map[qf.EndpointID]bool, len(rows))
	for i := range rows {
		shown[qf.EndpointID(rows[i].Key)] = true
	}
	e.mu.Lock()
	e.registry.RemoveMissing(e.now(), shown, version)
	e.mu.Unlock()
	h.ApplyChanges(rows)
	e.hasEndpoints.Store(true)
	e.noteKnown()
}

// ApplyChanges implements feedRows.
func (h *endpointRows) ApplyChanges(rows []qf.FeedRow) {
	e := h.entry
	now := e.now()
	e.mu.Lock()
	var gone []qf.EndpointID
	var dead []qf.Endpoint
	newest := uint64(0)
	for i := range rows {
		newest = max(newest, rows[i].Version)
		id := qf.EndpointID(rows[i].Key)
		known := e.registry.Get(id)
		isGone := h.isGone(now, &rows[i])
		if isGone {
			gone = append(gone, id)
		}
		if known != nil && !known.Leaving && (isGone || e.registry.Get(id).Incarnation != known.Incarnation) {
			dead = append(dead, known.Endpoint) // Nobody announced its end.
		}
	}
	e.registry.Remove(now, gone, newest)
	e.mu.Unlock()
	for i := range dead {
		e.screen.died(now, &dead[i])
	}
	e.settle(now)
}

// isGone takes one row and reports whether it names no endpoint to use. It is called
// with the lock held.
func (h *endpointRows) isGone(now time.Time, row *qf.FeedRow) bool {
	e := h.entry
	id := qf.EndpointID(row.Key)
	if row.Removed {
		qfevent.EndpointLeaving.Log(&e.platform.Logger, id, "its entry was removed")
		return true
	}
	listed, err := e.platform.RowDecoder.DecodeEndpoint(row)
	if err != nil {
		e.unreadable(qf.FeedEndpoints, row, err)
		return true
	}
	wasLeaving := e.isLeavingEndpoint(id)
	if e.registry.Set(now, &listed, row.Version) {
		qfevent.EndpointListed.Log(&e.platform.Logger, id, listed.Entry, listed.Version, listed.AvailabilityZone, listed.Address)
	}
	if listed.Leaving && !wasLeaving {
		qfevent.EndpointLeaving.Log(&e.platform.Logger, id, "it says that it drains")
	}
	return false
}

// isLeavingEndpoint is called with the lock held.
func (e *Entry) isLeavingEndpoint(id qf.EndpointID) bool {
	known := e.registry.Get(id)
	return known != nil && known.Leaving
}

// settleLoop forgets entries that have lapsed for too long, also while nothing changes.
func (e *Entry) settleLoop(ctx context.Context) {
	e.every(ctx, settleEvery, func(context.Context) { e.settle(e.now()) })
}

// settle gives the router the endpoints that may get work, if they changed.
func (e *Entry) settle(now time.Time) {
	e.settling.Lock()
	defer e.settling.Unlock()
	e.mu.Lock()
	isChanged := e.registry.RemoveLapsed(now)
	var usable []qf.Endpoint
	if isChanged {
		usable = e.registry.Usable()
	}
	e.mu.Unlock()
	if isChanged {
		e.placer.setEndpoints(usable)
	}
}
