// Package qfwarm decides how many requests nodes send to endpoints that are cold, such as after a start: all nodes together
// no more than a configured number a second, in turns (qfrate), without a message for each request.
package qfwarm

import (
	"maps"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrate"
	"quetzalfront/internal/qf/coordination/qfshare"
)

// Table holds which endpoints are cold and the node's turns at them. All times are the fleet's. It isn't safe for
// concurrent use.
type Table struct {
	self qf.NodeID
	// settings holds the entries whose endpoints have cold starts; it is nil if there are none.
	settings  map[qf.EntryName]qf.ColdSettings
	endpoints map[qf.EndpointID]*endpoint
	// coldUntil holds the latest time until which an endpoint of an entry is cold.
	coldUntil map[qf.EntryName]time.Time
	// shares and turns divide the requests that cold endpoints take. Shares are even: those by demand would differ
	// between nodes for a good part of the time for which an endpoint is cold.
	shares *qfshare.Table
	turns  *qfrate.Limiter
	// seen holds when nodes were last listed.
	seen map[qf.NodeID]time.Time
	// returns holds when the last caller that was refused should come back, by entry.
	returns map[qf.EntryName]time.Time
}

// endpoint is an endpoint that is listed, or was a short time ago.
type endpoint struct {
	entry       qf.EntryName
	zone        qf.AvailabilityZone
	incarnation qf.Incarnation
	sequence    uint64
	position    qf.StorePosition
	// row and stated are what its newest row says, and the newest of its answers or a peer's report.
	row, stated statement
	// assumedFrom is since when it is taken for cold although nothing says so, or zero. Rows written after assumedAt
	// end that.
	assumedFrom time.Time
	assumedAt   qf.StorePosition
	// goneAt is when it was found to be listed no more, or zero.
	goneAt time.Time
}

// statement says until when an endpoint is cold.
type statement struct{ until, at time.Time }

// NewTable returns a table of a node that has no endpoints.
func NewTable(self qf.NodeID) *Table {
	shares := qfshare.NewTable(self)
	return &Table{
		self: self, endpoints: map[qf.EndpointID]*endpoint{}, coldUntil: map[qf.EntryName]time.Time{}, shares: shares,
		turns: qfrate.NewStrictLimiter(shares), seen: map[qf.NodeID]time.Time{}, returns: map[qf.EntryName]time.Time{},
	}
}

// SetSettings sets the entries whose endpoints have cold starts.
func (t *Table) SetSettings(now time.Time, entries []qf.EntrySettings) {
	t.settings = nil
	for i := range entries {
		if !entries[i].Cold.IsSet() {
			continue
		}
		if t.settings == nil {
			t.settings = map[qf.EntryName]qf.ColdSettings{}
		}
		t.settings[entries[i].Entry] = entries[i].Cold
	}
	clear(t.coldUntil)
	for id, e := range t.endpoints {
		t.update(now, id, e)
	}
}

// HasSettings reports whether the endpoints of any entry have cold starts.
func (t *Table) HasSettings() bool { return len(t.settings) > 0 }

// memberHold is how long a node that is listed no more keeps its share: it may be cut off, or have been, and then
// sends what its share allows.
const memberHold = 10 * time.Minute

// SetMembers sets the nodes that are known, this one included. A node keeps its share for memberHold after it was
// last listed, unless it left by plan.
func (t *Table) SetMembers(now time.Time, nodes []qf.Node) {
	if !t.HasSettings() {
		return
	}
	for i := range nodes {
		if t.seen[nodes[i].ID] = now; nodes[i].State == qf.NodeLeaving && nodes[i].ID != t.self {
			delete(t.seen, nodes[i].ID)
		}
	}
	maps.DeleteFunc(t.seen, func(_ qf.NodeID, at time.Time) bool { return now.Sub(at) >= memberHold })
	t.shares.SetMembers(now, slices.Sorted(maps.Keys(t.seen)))
}

// until returns until when an endpoint is cold.
func (t *Table) until(e *endpoint) time.Time {
	settings, ok := t.settings[e.entry]
	if !ok {
		return time.Time{}
	}
	until := e.row.until
	if e.stated.until.After(until) {
		until = e.stated.until
	}
	if assumed := e.assumedFrom.Add(settings.For); !e.assumedFrom.IsZero() && assumed.After(until) {
		until = assumed
	}
	return until
}

// update sets or ends an endpoint's turns after a change.
func (t *Table) update(now time.Time, id qf.EndpointID, e *endpoint) {
	until := t.until(e)
	if !until.After(now) {
		t.turns.EndRate(id)
		return
	}
	if until.After(t.coldUntil[e.entry]) {
		t.coldUntil[e.entry] = until
	}
	t.turns.SetRate(now, &qf.EndpointRate{
		Endpoint: id, Incarnation: e.incarnation, Entry: e.entry, PerSecond: t.settings[e.entry].PerSecond, At: now,
	})
}

// IsAnyCold reports whether an endpoint of an entry may be cold.
func (t *Table) IsAnyCold(now time.Time, entry qf.EntryName) bool {
	return t.HasSettings() && now.Before(t.coldUntil[entry])
}

// IsCold reports whether an endpoint is cold.
func (t *Table) IsCold(now time.Time, id qf.EndpointID) bool {
	e := t.endpoints[id]
	return e != nil && t.HasSettings() && now.Before(t.until(e))
}

// MaySend reports whether the node may send a request to an endpoint now.
func (t *Table) MaySend(now time.Time, id qf.EndpointID) bool {
	return !t.IsCold(now, id) || t.turns.MaySend(now, id)
}

// RecordSend uses up one of the node's turns if the endpoint is cold.
func (t *Table) RecordSend(now time.Time, id qf.EndpointID) {
	if t.IsCold(now, id) {
		t.turns.RecordSend(now, id)
	}
}

// Room returns how many requests a second the node may send to the cold endpoints of an entry, and the time after which
// all of them are warm.
func (t *Table) Room(now time.Time, entry qf.EntryName) (perSecond float64, warmIn time.Duration) {
	s := t.shares.Of(now, entry)
	if s == nil {
		return 0, max(t.coldUntil[entry].Sub(now), 0)
	}
	for _, e := range t.endpoints {
		if e.entry == entry && e.goneAt.IsZero() && t.until(e).After(now) {
			perSecond += t.settings[entry].PerSecond * s.Own()
		}
	}
	return perSecond, max(t.coldUntil[entry].Sub(now), 0)
}

const (
	// warmStep is the time between two callers that are asked to return once an endpoint is warm, and maxSpread the
	// time over which they are spread.
	warmStep  = 20 * time.Millisecond
	maxSpread = time.Second
)

// RetryAfter returns when a caller that was refused because endpoints are cold should return: with one of the node's
// next turns, or once the first endpoint is warm. Callers get different times.
func (t *Table) RetryAfter(now time.Time, entry qf.EntryName) time.Duration {
	warmIn := max(t.coldUntil[entry].Sub(now), 0)
	for id, e := range t.endpoints {
		until := t.until(e)
		switch {
		case !until.After(now):
			t.turns.EndRate(id) // It has become warm.
		case e.entry == entry && e.goneAt.IsZero():
			warmIn = min(warmIn, until.Sub(now))
		}
	}
	if after := t.turns.RetryAfter(now, entry); after < warmIn {
		return after
	}
	first := now.Add(warmIn)
	at := t.returns[entry].Add(warmStep)
	if at.Before(first) || at.Sub(first) > maxSpread {
		at = first
	}
	t.returns[entry] = at
	return max(at.Sub(now), warmStep)
}

// goneFor is how long endpoints that are listed no more are remembered: they may be listed again.
const goneFor = 2 * time.Minute

// KeepListed records which endpoints are listed.
func (t *Table) KeepListed(now time.Time, endpoints []qf.Endpoint) {
	listed := make(map[qf.EndpointID]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for id, e := range t.endpoints {
		switch {
		case listed[id] && !e.goneAt.IsZero():
			e.goneAt = time.Time{}
			t.update(now, id, e)
		case listed[id]:
		case e.goneAt.IsZero():
			e.goneAt = now
			t.turns.EndRate(id)
		case now.Sub(e.goneAt) >= goneFor:
			delete(t.endpoints, id)
		}
	}
}
