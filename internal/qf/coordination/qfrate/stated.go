package qfrate

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfshare"
)

// Change is a change of what is known of an endpoint's rate. Rates are in requests a second; 0
// means none.
type Change struct {
	Endpoint     qf.EndpointID
	Rate, Before float64
	// IsUrgent means that the endpoint takes less than was known.
	IsUrgent bool
}

// RecordAnswer records the rate that an endpoint stated with its answer to a request, which was
// sent at sentAt. It reports whether the known rate has changed.
func (l *Limiter) RecordAnswer(now, sentAt time.Time, from *qf.Endpoint, stated qf.StatedNumber) (Change, bool) {
	known := l.endpoints[from.ID]
	isCurrent := known != nil && known.incarnation == from.Incarnation
	switch stated.Kind {
	case qf.StatedNumeric:
		rate := max(stated.Value, minRate)
		if isCurrent && rate > known.rate && known.rate > 0 && sentAt.Before(known.at) {
			return Change{}, false // The answer may be older than the lower rate.
		}
		return l.setStated(now, &qf.EndpointRate{Endpoint: from.ID, Incarnation: from.Incarnation, Entry: from.Entry, PerSecond: rate, At: now})
	case qf.StatedNone:
		if !isCurrent || known.rate == 0 || !sentAt.After(known.at) {
			return Change{}, false
		}
		return l.setStated(now, &qf.EndpointRate{Endpoint: from.ID, Incarnation: from.Incarnation, Entry: from.Entry, At: sentAt})
	default:
		return Change{}, false
	}
}

// MergeRates records what a peer knows and returns what has changed.
func (l *Limiter) MergeRates(now time.Time, rates []qf.EndpointRate) []Change {
	var changes []Change
	for i := range rates {
		known := l.endpoints[rates[i].Endpoint]
		if known != nil && (known.incarnation > rates[i].Incarnation || known.incarnation == rates[i].Incarnation && !rates[i].At.After(known.at)) {
			continue
		}
		if change, ok := l.setStated(now, &rates[i]); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// SetRate sets the rate of an endpoint that states none itself. It is not reported to peers.
func (l *Limiter) SetRate(now time.Time, rate *qf.EndpointRate) { l.set(now, rate) }

// EndRate ends the rate of an endpoint.
func (l *Limiter) EndRate(id qf.EndpointID) {
	if l.endpoints[id] != nil {
		l.forget(id)
	}
}

// setStated sets the rate that an endpoint states, which is news for peers if it has changed.
func (l *Limiter) setStated(now time.Time, rate *qf.EndpointRate) (Change, bool) {
	change, ok := l.set(now, rate)
	if ok {
		l.news = append(l.news, rate.Endpoint)
	}
	return change, ok
}

// set sets an endpoint's rate and reports whether it has changed. The turns of the earlier rate
// lapse.
func (l *Limiter) set(now time.Time, rate *qf.EndpointRate) (Change, bool) {
	e := l.endpoints[rate.Endpoint]
	if e == nil || e.incarnation != rate.Incarnation {
		l.forget(rate.Endpoint)
		if rate.PerSecond == 0 {
			return Change{}, false
		}
		e = &endpoint{entry: rate.Entry, incarnation: rate.Incarnation, hash: qfshare.Mix(xxhash.Sum64String(string(rate.Endpoint)))}
		l.endpoints[rate.Endpoint] = e
		l.order = nil
	}
	e.at = rate.At
	if e.rate == rate.PerSecond {
		return Change{}, false
	}
	change := Change{Endpoint: rate.Endpoint, Rate: rate.PerSecond, Before: e.rate}
	change.IsUrgent = change.Rate > 0 && (change.Before == 0 || change.Rate < change.Before)
	e.rate, e.changedAt = rate.PerSecond, now
	e.next, e.turns, e.tokens, e.filledAt = 0, nil, 0, time.Time{}
	l.countStated()
	return change, true
}

func (l *Limiter) forget(id qf.EndpointID) {
	delete(l.endpoints, id)
	l.order = nil
	l.countStated()
}

func (l *Limiter) countStated() {
	l.stated = 0
	for _, e := range l.endpoints {
		if e.rate > 0 {
			l.stated++
		}
	}
}

// KeepListed forgets the endpoints that aren't listed any more.
func (l *Limiter) KeepListed(endpoints []qf.Endpoint) {
	if len(l.endpoints) == 0 {
		return
	}
	listed := make(map[qf.EndpointID]qf.Incarnation, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = endpoints[i].Incarnation
	}
	for id, e := range l.endpoints {
		if incarnation, ok := listed[id]; !ok || incarnation != e.incarnation {
			l.forget(id)
		}
	}
}

const (
	// recentChange is how long a change is news, and maxRecent bounds the news in one report.
	recentChange = 3 * time.Second
	maxRecent    = 32
	// maxRepeated bounds what is reported of all in turn, for nodes that have missed the news.
	maxRepeated = 8
)

// ReportRates returns what this node knows: the latest changes, and a part of the rest.
func (l *Limiter) ReportRates(now time.Time) []qf.EndpointRate {
	if len(l.endpoints) == 0 {
		return nil
	}
	l.news = slices.DeleteFunc(l.news, func(id qf.EndpointID) bool {
		e := l.endpoints[id]
		return e == nil || now.Sub(e.changedAt) >= recentChange
	})
	var list []qf.EndpointRate
	for i := range min(len(l.news), maxRecent) {
		list = append(list, l.report(l.news[len(l.news)-1-i]))
	}
	if l.order == nil {
		l.order = slices.Sorted(maps.Keys(l.endpoints))
	}
	first := int(now.UnixNano()/int64(qfshare.Refresh)) * maxRepeated % len(l.order)
	for i := range min(len(l.order), maxRepeated) {
		list = append(list, l.report(l.order[(first+i)%len(l.order)]))
	}
	return list
}

func (l *Limiter) report(id qf.EndpointID) qf.EndpointRate {
	e := l.endpoints[id]
	return qf.EndpointRate{Endpoint: id, Incarnation: e.incarnation, Entry: e.entry, PerSecond: e.rate, At: e.at}
}

// ListEntries returns the entries whose endpoints state rates.
func (l *Limiter) ListEntries() []qf.EntryName {
	var names []qf.EntryName
	for _, e := range l.endpoints {
		if e.rate > 0 && !slices.Contains(names, e.entry) {
			names = append(names, e.entry)
		}
	}
	slices.Sort(names)
	return names
}
