// Package qfreach decides whether a node reaches the endpoints of each entry, and through which
// other node it sends requests while it doesn't.
package qfreach

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxChecked bounds the endpoints to which a check opens connections. One of them that accepts
	// a connection shows that the node isn't cut off.
	maxChecked = 4
	// checkInterval is the time between two checks while the node is cut off, and after one that
	// showed that it isn't.
	checkInterval = 500 * time.Millisecond
	// checksToReturn is the number of successful checks in a row after which a node that was cut off
	// uses its own links again. It doubles, up to maxDoublings times, with each cut that follows the
	// one before within flapWindow.
	checksToReturn = 2
	maxDoublings   = 3
	flapWindow     = 10 * time.Second
)

// State is whether the node reaches the endpoints of an entry.
type State string

// The states of an entry.
const (
	Reachable State = "Reachable"
	CutOff    State = "CutOff"
)

// Tracker follows the connections to the endpoints of all entries. It isn't safe for concurrent
// use.
type Tracker struct {
	entries map[qf.EntryName]*entry
}

type entry struct {
	endpoints []qf.Endpoint
	state     State
	since     time.Time
	// isMissed is set by a failure since the last check.
	isMissed   bool
	isChecking bool
	checkedAt  time.Time
	// successes counts the successful checks in a row while the node is cut off.
	successes int
	// cuts is the number of cuts that followed each other within flapWindow, the present one
	// included; lastCutAt is when the latest began.
	cuts      int
	lastCutAt time.Time
	// first is the index of the first endpoint of the next check.
	first int
}

// Check asks for connections to some endpoints of an entry.
type Check struct {
	Entry     qf.EntryName
	Endpoints []qf.Endpoint
}

// Change is a change of the state of an entry. Checked is the number of endpoints of the check
// that showed it.
type Change struct {
	Entry   qf.EntryName
	State   State
	Checked int
	// Lasted is how long the state before lasted; it is 0 for the first one.
	Lasted time.Duration
}

// NewTracker returns a tracker without entries.
func NewTracker() *Tracker { return &Tracker{entries: map[qf.EntryName]*entry{}} }

// SetEndpoints sets the endpoints that may get requests.
func (t *Tracker) SetEndpoints(endpoints []qf.Endpoint) {
	for _, e := range t.entries {
		e.endpoints = nil
	}
	for i := range endpoints {
		name := endpoints[i].Entry
		if t.entries[name] == nil {
			t.entries[name] = &entry{state: Reachable}
		}
		t.entries[name].endpoints = append(t.entries[name].endpoints, endpoints[i])
	}
	for name, e := range t.entries {
		if len(e.endpoints) == 0 {
			delete(t.entries, name)
		}
	}
}

// RecordMiss records that an endpoint of an entry couldn't be connected to, broke a connection or
// is silent, so that a check is due.
func (t *Tracker) RecordMiss(name qf.EntryName) {
	if e := t.entries[name]; e != nil {
		e.isMissed = true
	}
}

// DueChecks returns the checks that are due, and marks them as begun.
func (t *Tracker) DueChecks(now time.Time) []Check {
	var due []Check
	for name, e := range t.entries {
		if e.isChecking || now.Sub(e.checkedAt) < checkInterval || e.state == Reachable && !e.isMissed {
			continue
		}
		e.isChecking, e.isMissed = true, false
		due = append(due, Check{Entry: name, Endpoints: e.takeChecked()})
	}
	return due
}

// takeChecked returns the endpoints of the next check: neighbours in the list, another part of it
// each time, from as many availability zones as there are.
func (e *entry) takeChecked() []qf.Endpoint {
	count := min(len(e.endpoints), maxChecked)
	chosen := make([]qf.Endpoint, 0, count)
	zones := map[qf.AvailabilityZone]bool{}
	var rest []qf.Endpoint
	for i := range e.endpoints {
		endpoint := e.endpoints[(e.first+i)%len(e.endpoints)]
		if len(chosen) < count && !zones[endpoint.AvailabilityZone] {
			zones[endpoint.AvailabilityZone] = true
			chosen = append(chosen, endpoint)
		} else {
			rest = append(rest, endpoint)
		}
	}
	e.first++
	return append(chosen, rest[:count-len(chosen)]...)
}

// RecordCheck records the end of a check that connected to some of its endpoints. It reports whether
// the entry's state has changed.
func (t *Tracker) RecordCheck(now time.Time, check *Check, connected int) (Change, bool) {
	e := t.entries[check.Entry]
	if e == nil {
		return Change{}, false
	}
	e.isChecking, e.checkedAt = false, now
	state := e.state
	switch {
	case connected == 0:
		e.successes, state = 0, CutOff
		if e.state == Reachable {
			e.countCut(now)
		}
	case e.state == CutOff:
		if e.successes++; e.successes >= checksToReturn<<min(e.cuts-1, maxDoublings) {
			state = Reachable
		}
	}
	if state == e.state {
		return Change{}, false
	}
	change := Change{Entry: check.Entry, State: state, Checked: len(check.Endpoints)}
	if !e.since.IsZero() {
		change.Lasted = now.Sub(e.since)
	}
	e.state, e.since = state, now
	return change, true
}

func (e *entry) countCut(now time.Time) {
	if now.Sub(e.lastCutAt) > flapWindow {
		e.cuts = 0
	}
	e.cuts++
	e.lastCutAt = now
}

// ListEndpoints returns the endpoints of an entry.
func (t *Tracker) ListEndpoints(name qf.EntryName) []qf.EndpointID {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	ids := make([]qf.EndpointID, len(e.endpoints))
	for i := range e.endpoints {
		ids[i] = e.endpoints[i].ID
	}
	return ids
}

// ListOthers returns some other endpoints of an endpoint's entry.
func (t *Tracker) ListOthers(endpoint *qf.Endpoint) []qf.Endpoint {
	e := t.entries[endpoint.Entry]
	if e == nil {
		return nil
	}
	checked := e.takeChecked()
	return slices.DeleteFunc(checked, func(other qf.Endpoint) bool { return other.ID == endpoint.ID })
}

// IsCutOff reports whether the node doesn't reach the endpoints of an entry.
func (t *Tracker) IsCutOff(name qf.EntryName) bool {
	e := t.entries[name]
	return e != nil && e.state == CutOff
}

// CutOffFor returns how long the node has not reached the endpoints of an entry; it is 0 if it does.
func (t *Tracker) CutOffFor(now time.Time, name qf.EntryName) time.Duration {
	if !t.IsCutOff(name) {
		return 0
	}
	return now.Sub(t.entries[name].since)
}

// ListCutOff returns the entries whose endpoints the node doesn't reach, and whether there are no
// others.
func (t *Tracker) ListCutOff() (names []qf.EntryName, isAll bool) {
	for name, e := range t.entries {
		if e.state == CutOff {
			names = append(names, name)
		}
	}
	return names, len(names) > 0 && len(names) == len(t.entries)
}
