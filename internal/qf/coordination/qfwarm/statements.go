package qfwarm

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Source is what an endpoint is taken for cold by.
type Source string

// The sources.
const (
	SourceRow    Source = "Row"
	SourceAnswer Source = "Answer"
	SourcePeer   Source = "Peer"
	// SourceNew means that the node has not seen the endpoint before, and its row states no time.
	SourceNew Source = "New"
	// SourceEvacuation means that the evacuation of the endpoint's availability zone has ended.
	SourceEvacuation Source = "EvacuationEnded"
)

// Change is an endpoint that was warm, as far as was known, and is cold.
type Change struct {
	Endpoint qf.EndpointID
	Entry    qf.EntryName
	Source   Source
	// Until is when it is warm, and At the time of the statement.
	Until, At time.Time
	// IsUrgent means that peers may still take it for warm.
	IsUrgent bool
}

// Row is a row of an endpoint.
type Row struct {
	Endpoint *qf.RegisteredEndpoint
	Position qf.StorePosition
}

// RecordRow records a row that was read. If isFirst is set, it belongs to the first list of endpoints that the node has
// read: the endpoints there are not new.
func (t *Table) RecordRow(now time.Time, row *Row, isFirst bool) (Change, bool) {
	read := row.Endpoint
	known := t.endpoints[read.ID]
	if known != nil && !known.isOlderThan(row) {
		if row.Position.Era > known.position.Era {
			known.position = row.Position // The row was restored with the store.
		}
		return Change{}, false
	}
	isNew := known == nil || known.incarnation != read.Incarnation
	wasCold := known != nil && t.IsCold(now, read.ID)
	e := &endpoint{}
	if !isNew {
		*e = *known
	}
	e.entry, e.zone, e.incarnation = read.Entry, read.AvailabilityZone, read.Incarnation
	e.sequence, e.position, e.goneAt = read.Sequence, row.Position, time.Time{}
	e.row = statement{until: now.Add(read.ColdFor), at: now}
	if row.Position.Compare(e.assumedAt) > 0 {
		e.assumedFrom = time.Time{}
	}
	source := SourceRow
	if isNew && !isFirst && read.ColdFor <= 0 {
		e.assumedFrom, e.assumedAt, source = now, row.Position, SourceNew
	}
	t.endpoints[read.ID] = e
	t.update(now, read.ID, e)
	change := Change{Endpoint: read.ID, Entry: read.Entry, Source: source, Until: t.until(e), At: now, IsUrgent: known != nil && !isFirst}
	return change, t.IsCold(now, read.ID) && (isNew || !wasCold)
}

// isOlderThan reports whether the known row is older than one that was read. Positions order the rows of one era of the
// store. One that a store has brought back from an older copy is newer only if its writer says so.
func (e *endpoint) isOlderThan(row *Row) bool {
	if row.Position.Era == e.position.Era {
		return row.Position.Version > e.position.Version
	}
	incarnation, sequence := row.Endpoint.Incarnation, row.Endpoint.Sequence
	return row.Position.Era > e.position.Era && (incarnation > e.incarnation || incarnation == e.incarnation && sequence > e.sequence)
}

// RecordAnswer records how long an endpoint stated to stay cold with its answer to a request that was sent at sentAt. An
// endpoint that states that it is warm was so since then, whatever was said before.
func (t *Table) RecordAnswer(now, sentAt time.Time, from *qf.Endpoint, stated qf.StatedDuration) (Change, bool) {
	e := t.endpoints[from.ID]
	if stated.Kind != qf.StatedNumeric || e == nil || e.incarnation != from.Incarnation {
		return Change{}, false
	}
	if stated.Value > 0 {
		return t.setStated(now, from.ID, e, statement{until: now.Add(stated.Value), at: now}, SourceAnswer)
	}
	if e.stated.at.Before(sentAt) {
		e.stated = statement{at: sentAt}
	}
	if e.row.at.Before(sentAt) {
		e.row.until = time.Time{}
	}
	if e.assumedFrom.Before(sentAt) {
		e.assumedFrom = time.Time{}
	}
	t.update(now, from.ID, e)
	return Change{}, false
}

// MergeNews records what a peer has read or been answered, and returns the endpoints that have become cold. News of an
// incarnation that isn't known here yet concern the endpoint that stands at the same address.
func (t *Table) MergeNews(now time.Time, news []qf.ColdEndpoint) []Change {
	var changes []Change
	for i := range news {
		n := &news[i]
		e := t.endpoints[n.Endpoint]
		if e == nil || n.Incarnation < e.incarnation || !n.At.After(e.stated.at) {
			continue // An endpoint that isn't known here yet is cold for some time once it is.
		}
		until := n.Until
		if longest := now.Add(n.Until.Sub(n.At)); until.After(longest) {
			until = longest // The peer's clock is ahead.
		}
		if change, ok := t.setStated(now, n.Endpoint, e, statement{until: until, at: n.At}, SourcePeer); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// setStated sets the newest statement of an endpoint.
func (t *Table) setStated(now time.Time, id qf.EndpointID, e *endpoint, stated statement, source Source) (Change, bool) {
	wasCold := t.IsCold(now, id)
	e.stated = stated
	t.update(now, id, e)
	change := Change{Endpoint: id, Entry: e.entry, Source: source, Until: t.until(e), At: stated.at, IsUrgent: true}
	return change, !wasCold && t.IsCold(now, id)
}

// AssumeCold takes the endpoints of an availability zone for cold from now on, unless a row written after a position
// says otherwise.
func (t *Table) AssumeCold(now time.Time, zone qf.AvailabilityZone, after qf.StorePosition) []Change {
	var changes []Change
	for id, e := range t.endpoints {
		if e.zone != zone || !e.goneAt.IsZero() {
			continue
		}
		if e.position.Compare(after) > 0 {
			continue // Its row was read before the order.
		}
		e.assumedFrom, e.assumedAt = now, after
		if t.update(now, id, e); t.IsCold(now, id) {
			changes = append(changes, Change{Endpoint: id, Entry: e.entry, Source: SourceEvacuation, Until: t.until(e), At: now})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes
}

// maxReported bounds the endpoints in one report.
const maxReported = 64

// ReportNews returns the endpoints that have stated to be cold, those that did so last first. What this node only
// assumes is left out: its peers do the same.
func (t *Table) ReportNews(now time.Time) []qf.ColdEndpoint {
	isAnyCold := false
	for _, until := range t.coldUntil {
		isAnyCold = isAnyCold || now.Before(until)
	}
	if !isAnyCold {
		return nil
	}
	var news []qf.ColdEndpoint
	for id, e := range t.endpoints {
		newest := e.row
		if e.stated.until.After(newest.until) {
			newest = e.stated
		}
		if _, hasSettings := t.settings[e.entry]; hasSettings && e.goneAt.IsZero() && newest.until.After(now) {
			news = append(news, qf.ColdEndpoint{Endpoint: id, Incarnation: e.incarnation, Entry: e.entry, Until: newest.until, At: newest.at})
		}
	}
	slices.SortFunc(news, func(a, b qf.ColdEndpoint) int {
		if order := b.At.Compare(a.At); order != 0 {
			return order
		}
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
	return news[:min(len(news), maxReported)]
}
