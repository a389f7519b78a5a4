package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfwarm"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qfregistry"
)

// coldLogInterval is the time between two checks for requests that were refused because endpoints are cold.
const coldLogInterval = time.Second

// setColdSettings sets the entries whose endpoints have cold starts.
func (p *endpointPicker) setColdSettings(now time.Time, entries []qf.EntrySettings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warm.SetSettings(p.clock.fleetTime(now), entries)
}

// recordColdRows records what rows say of how long endpoints stay cold, before the endpoints can get requests.
func (e *Entry) recordColdRows(now time.Time, rows []qfregistry.Row, era qf.StoreEra, isFirst bool) {
	at := e.fleetClock.fleetTime(now)
	var changes []qfwarm.Change
	e.picker.mu.Lock()
	for i := range rows {
		if rows[i].Endpoint == nil {
			continue
		}
		row := qfwarm.Row{Endpoint: rows[i].Endpoint, Position: qf.StorePosition{Era: era, Version: rows[i].Version}}
		if change, ok := e.picker.warm.RecordRow(at, &row, isFirst); ok {
			changes = append(changes, change)
		}
	}
	e.picker.mu.Unlock()
	e.observeCold(changes)
}

// mergeCold merges a peer's news of endpoints that are cold. A relay passes them on.
func (e *Entry) mergeCold(now time.Time, news []qf.ColdEndpoint) {
	if len(news) == 0 {
		return
	}
	e.picker.mu.Lock()
	changes := e.picker.warm.MergeNews(e.fleetClock.fleetTime(now), news)
	e.picker.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	e.logCold(now, changes)
	e.updateMembers(now)
	if e.isRelay.Load() {
		e.pushUrgent()
	}
}

// observeCold logs that endpoints have become cold, and passes on what peers may not have read.
func (e *Entry) observeCold(changes []qfwarm.Change) {
	if len(changes) == 0 {
		return
	}
	now := e.now()
	e.logCold(now, changes)
	e.updateMembers(now)
	isUrgent, isAnswer := false, false
	for i := range changes {
		isUrgent = isUrgent || changes[i].IsUrgent
		isAnswer = isAnswer || changes[i].Source == qfwarm.SourceAnswer
	}
	if isUrgent && (isAnswer || e.mayPushRow(now)) {
		e.pushUrgent()
	}
}

// mayPushRow reports whether a row that was read is passed on ahead of the next exchange. All nodes read it, those of a
// large fleet at their relays, and rows of a whole zone come one after the other: one push in an exchangeInterval will do.
func (e *Entry) mayPushRow(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	isMember := e.membership.IsGrouped() && !e.isRelay.Load()
	if isMember || now.Sub(e.coldPushedAt) < exchangeInterval {
		return false
	}
	e.coldPushedAt = now
	return true
}

// logCold logs one line for the endpoints of each entry that have become cold for the same reason.
func (e *Entry) logCold(now time.Time, changes []qfwarm.Change) {
	type group struct {
		entry  qf.EntryName
		source qfwarm.Source
	}
	at := e.fleetClock.fleetTime(now)
	counts := map[group]int{}
	for i := range changes {
		counts[group{changes[i].Entry, changes[i].Source}]++
	}
	for i := range changes {
		first := &changes[i]
		of := group{first.Entry, first.Source}
		if counts[of] == 0 {
			continue // It was counted with an earlier one.
		}
		until, oldest := first.Until, first.At
		for j := range changes[i+1:] {
			other := &changes[i+1+j]
			if (group{other.Entry, other.Source}) != of {
				continue
			}
			if other.Until.After(until) {
				until = other.Until
			}
			if other.At.Before(oldest) {
				oldest = other.At
			}
		}
		rate := e.coldSettings(first.Entry).PerSecond
		qfevent.EndpointsCold.Log(&e.platform.Logger, of.entry, of.source, counts[of], first.Endpoint, rate, until.Sub(at).String(), at.Sub(oldest).String())
		counts[of] = 0
	}
}

// coldSettings returns how endpoints of an entry are when they are cold.
func (e *Entry) coldSettings(name qf.EntryName) qf.ColdSettings {
	if table := e.configuration.Get(); table != nil {
		if settings := table.Entry(name); settings != nil {
			return settings.Cold
		}
	}
	return qf.ColdSettings{}
}

// logColdRefusals logs the refusals since the last step.
func (e *Entry) logColdRefusals(context.Context) {
	now := e.now()
	at := e.fleetClock.fleetTime(now)
	type refusals struct {
		count  int
		rate   float64
		warmIn time.Duration
	}
	refused := map[qf.EntryName]refusals{}
	e.picker.mu.Lock()
	for name, count := range e.picker.coldRefusals {
		rate, warmIn := e.picker.warm.Room(at, name)
		refused[name] = refusals{count: count, rate: rate, warmIn: warmIn}
	}
	clear(e.picker.coldRefusals)
	e.picker.mu.Unlock()
	for name, r := range refused {
		qfevent.ColdRefused.Log(&e.platform.Logger, name, r.count, r.rate, r.warmIn.String())
	}
}
