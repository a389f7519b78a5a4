package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qffollow"
	"quetzalfront/internal/qf/state/qfregistry"
)

// The timings of the feeds. A dead connection is detected when the poll times out.
var (
	operatorTiming  = qffollow.Timing{PollTimeout: MaxPollTimeout, PollDelay: 200 * time.Millisecond, MinRetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second}
	endpointsTiming = qffollow.Timing{PollTimeout: 1500 * time.Millisecond, PollDelay: 300 * time.Millisecond, MinRetryDelay: 100 * time.Millisecond, MaxRetryDelay: 300 * time.Millisecond}
	nodesTiming     = qffollow.Timing{PollTimeout: MaxPollTimeout, PollDelay: time.Second, MinRetryDelay: 200 * time.Millisecond, MaxRetryDelay: 2 * time.Second}
)

// endpointsStaleAfter is how long after the store's last answer a relay passes on the endpoints:
// slightly longer than the time between two answers. With it, a leaving endpoint gets no new work
// in time from the members of a relay that no longer gets the store's answers.
const endpointsStaleAfter = 2300 * time.Millisecond

// endpointsInterval is the time between two checks for expired registrations. Together with
// the timing of the feed it bounds how long a leaving endpoint still gets requests.
const endpointsInterval = 100 * time.Millisecond

// MaxPollTimeout is how long the store may hold a call for changes.
const MaxPollTimeout = 3 * time.Second

// followFeeds starts following the feeds.
func (e *Entry) followFeeds(ctx context.Context) {
	ofEndpoints := endpointsTiming
	ofEndpoints.ReadAnewAfter = readAnewInterval(e.deployment.Self.ID)
	feeds := []struct {
		name    qf.FeedName
		timing  qffollow.Timing
		handler rowHandler
	}{
		{qf.FeedOperator, operatorTiming, &operatorRowHandler{e}},
		{qf.FeedEndpoints, ofEndpoints, &endpointRowHandler{e}},
		{qf.FeedNodes, nodesTiming, &nodeRowHandler{e}},
	}
	for _, feed := range feeds {
		handler := &feedHandler{entry: e, name: feed.name, rowHandler: feed.handler}
		e.background.Go(func() {
			qffollow.Follow(ctx, e.platform.Clock, &relayFeedReader{entry: e}, feed.name, feed.timing, handler)
		})
	}
}

const (
	// minReadAnewInterval is the least time between two reads of all endpoints, which bring back what a node has
	// missed for any reason. The nodes of a fleet differ by up to readAnewSpread, so that they don't read at once.
	minReadAnewInterval = 4 * time.Minute
	readAnewSpread      = 2 * time.Minute
)

// readAnewInterval returns the time after which a node reads all endpoints again.
func readAnewInterval(node qf.NodeID) time.Duration {
	return minReadAnewInterval + time.Duration(xxhash.Sum64String(string(node))%uint64(readAnewSpread))
}

// rowHandler applies the rows of one feed.
type rowHandler interface {
	ApplySnapshot(page *qf.FeedPage, readUpTo qf.StorePosition)
	ApplyChanges(page *qf.FeedPage)
}

// feedHandler adds the failure handling that all feeds share to a rowHandler.
type feedHandler struct {
	rowHandler
	entry *Entry
	name  qf.FeedName
	// failedSince is when the feed began to fail; it is zero while reads succeed.
	failedSince time.Time
	// position is that of the last snapshot.
	position qf.StorePosition
}

// ApplySnapshot implements qffollow.Handler.
func (h *feedHandler) ApplySnapshot(page *qf.FeedPage, readUpTo qf.StorePosition) {
	if h.position.Era > 0 && page.Era > h.position.Era {
		qfevent.FeedRestored.Log(&h.entry.platform.Logger, h.name, page.Era, page.Version, h.position.Version, len(page.Rows))
	}
	h.position = page.Position()
	h.rowHandler.ApplySnapshot(page, readUpTo)
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
	if h.failedSince.IsZero() {
		h.failedSince = now
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
	if !h.failedSince.IsZero() {
		qfevent.FeedRegained.Log(&e.platform.Logger, h.name, now.Sub(h.failedSince).String())
		h.failedSince = time.Time{}
	}
}

// logUnreadableRow logs a row that is skipped because it can't be decoded.
func (e *Entry) logUnreadableRow(feed qf.FeedName, row *qf.FeedRow, err error) {
	qfevent.RowUnreadable.Log(&e.platform.Logger, feed, row.Key, row.Version, err)
}

// operatorRowHandler applies the configuration and the rollout orders.
type operatorRowHandler struct{ entry *Entry }

// ApplySnapshot implements rowHandler.
func (h *operatorRowHandler) ApplySnapshot(page *qf.FeedPage, _ qf.StorePosition) {
	h.ApplyChanges(page)
	listed := map[qf.AvailabilityZone]bool{}
	for i := range page.Rows {
		if order, isOrder, err := h.entry.platform.RowDecoder.DecodeEvacuation(&page.Rows[i]); err == nil && isOrder && !order.IsEnded {
			listed[order.Zone] = true
		}
	}
	h.entry.endMissingEvacuations(listed, page.Position())
}

// ApplyChanges implements rowHandler.
func (h *operatorRowHandler) ApplyChanges(page *qf.FeedPage) {
	e := h.entry
	rows := page.Rows
	for i := range rows {
		h.applyEvacuation(page, &rows[i]) // Before the configuration, with which the node begins to serve.
	}
	for i := range rows {
		if e.platform.RowDecoder.IsConfigurationKey(rows[i].Key) && !rows[i].Removed {
			e.applyConfiguration(rows[i].Value, "")
			continue
		}
		order, isOrder, err := e.platform.RowDecoder.DecodeRollout(&rows[i])
		if err != nil {
			e.logUnreadableRow(qf.FeedOperator, &rows[i], err)
		}
		if isOrder {
			order.Stamp = stampOf(page.Era, rows[i].Version)
			e.picker.setRolloutOrder(order)
		}
	}
}

// applyEvacuation applies a row if it orders the evacuation of a zone, or ends it.
func (h *operatorRowHandler) applyEvacuation(page *qf.FeedPage, row *qf.FeedRow) {
	order, isOrder, err := h.entry.platform.RowDecoder.DecodeEvacuation(row)
	if err != nil {
		h.entry.logUnreadableRow(qf.FeedOperator, row, err)
	}
	if isOrder {
		order.Stamp = stampOf(page.Era, row.Version)
		h.entry.applyEvacuation(order)
	}
}

// applyConfiguration checks and applies a configuration from the store or from a peer.
func (e *Entry) applyConfiguration(encoded []byte, from qf.NodeID) {
	configuration, err := e.platform.RowDecoder.DecodeConfiguration(encoded)
	if err != nil {
		qfevent.CatalogueFailed.Log(&e.platform.Logger, err)
		return
	}
	if !e.configuration.Apply(configuration, encoded) {
		return
	}
	e.admission.mu.Lock()
	e.admission.quotas.SetOrganisations(e.now(), configuration.Organisations)
	e.admission.mu.Unlock()
	e.applyReadTimeouts(configuration)
	e.picker.setColdSettings(e.now(), configuration.Entries)
	e.picker.setOrganisations(configuration.Organisations)
	e.signalLoaded()
	qfevent.ConfigInForce.Log(&e.platform.Logger, configuration.Revision, from, len(configuration.Routes))
	e.logConflicts(configuration)
}

// endpointRowHandler applies the registered endpoints.
type endpointRowHandler struct{ entry *Entry }

// ApplySnapshot implements rowHandler.
func (h *endpointRowHandler) ApplySnapshot(page *qf.FeedPage, readUpTo qf.StorePosition) {
	e := h.entry
	rows := h.decode(page.Rows)
	listed := make(map[qf.EndpointID]bool, len(rows))
	for i := range rows {
		listed[rows[i].ID] = true
	}
	e.mu.Lock()
	missed := e.registry.ListMissed(rows, page.Position(), readUpTo)
	e.registry.RemoveMissing(e.now(), listed, page.Position())
	e.mu.Unlock()
	if len(missed) > 0 {
		qfevent.EndpointsDiffer.Log(&e.platform.Logger, len(missed), missed[0], page.Version)
	}
	h.apply(rows, page.Era, !e.hasEndpoints.Load())
	e.hasEndpoints.Store(true)
	e.signalLoaded()
}

// ApplyChanges implements rowHandler.
func (h *endpointRowHandler) ApplyChanges(page *qf.FeedPage) {
	h.apply(h.decode(page.Rows), page.Era, false)
}

// apply applies decoded rows of an era. If isFirst is set, they are the first list of endpoints.
func (h *endpointRowHandler) apply(rows []qfregistry.Row, era qf.StoreEra, isFirst bool) {
	e := h.entry
	now := e.now()
	e.recordColdRows(now, rows, era, isFirst)
	e.mu.Lock()
	changes := e.registry.Apply(now, rows, era)
	e.mu.Unlock()
	for i := range changes {
		h.follow(now, &changes[i])
	}
	e.updateEndpoints(now)
}

// decode decodes rows. Those that can't be read name no endpoint.
func (h *endpointRowHandler) decode(rows []qf.FeedRow) []qfregistry.Row {
	decoded := make([]qfregistry.Row, len(rows))
	for i := range rows {
		row := &rows[i]
		decoded[i] = qfregistry.Row{ID: qf.EndpointID(row.Key), Version: row.Version}
		if row.Removed {
			qfevent.EndpointLeaving.Log(&h.entry.platform.Logger, row.Key, "its entry was removed", row.Version)
			continue
		}
		listed, err := h.entry.platform.RowDecoder.DecodeEndpoint(row)
		if err != nil {
			h.entry.logUnreadableRow(qf.FeedEndpoints, row, err)
			continue
		}
		decoded[i].Endpoint = &listed
	}
	return decoded
}

// follow logs a change and tells the parts that it concerns.
func (h *endpointRowHandler) follow(now time.Time, change *qfregistry.Change) {
	e, listed := h.entry, change.Row.Endpoint
	if change.IsNew {
		qfevent.EndpointListed.Log(&e.platform.Logger, listed.ID, listed.Entry, listed.Version, listed.AvailabilityZone, listed.Address)
	}
	if change.IsLeaving {
		qfevent.EndpointLeaving.Log(&e.platform.Logger, listed.ID, "it registered as draining", change.Row.Version)
		e.evacuate(listed)
	}
	if change.Dead != nil {
		e.poisonFilter.recordDeath(now, change.Dead, "its row is gone")
	}
}

// evacuate moves the streams that run at a leaving endpoint shortly before it stops, if its
// engine can move runs.
func (e *Entry) evacuate(leaving *qf.RegisteredEndpoint) {
	table := e.configuration.Get()
	if table == nil {
		return
	}
	settings := table.Entry(leaving.Entry)
	if settings == nil || settings.Engine == nil || !settings.Engine.CanMoveRuns {
		return
	}
	stopsIn := leaving.LeavesIn
	if stopsIn <= 0 {
		stopsIn = e.deployment.Bounds.EndpointDrain
	}
	e.background.Go(func() { e.forwarder.Evacuate(e.loops, leaving.ID, stopsIn) })
}

// isLeavingEndpoint reports whether an endpoint leaves, by its registration or by its answers. The caller must
// hold e.mu.
func (e *Entry) isLeavingEndpoint(id qf.EndpointID) bool {
	known := e.registry.Get(id)
	return known != nil && known.Leaving
}

// updateEndpointsLoop removes registrations that expired too long ago, also while the feed brings
// no changes.
func (e *Entry) updateEndpointsLoop(ctx context.Context) {
	e.runEvery(ctx, endpointsInterval, func(context.Context) { e.updateEndpoints(e.now()) })
}

// updateEndpoints sets the router's usable endpoints if they changed.
func (e *Entry) updateEndpoints(now time.Time) {
	e.endpointsMu.Lock()
	defer e.endpointsMu.Unlock()
	e.mu.Lock()
	isChanged := e.registry.RemoveLapsed(now)
	var usable []qf.Endpoint
	if isChanged {
		usable = e.registry.Usable()
	}
	e.mu.Unlock()
	if isChanged {
		e.picker.setEndpoints(now, usable)
		e.monitor.setEndpoints(usable)
	}
}
