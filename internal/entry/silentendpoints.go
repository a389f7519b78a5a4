package entry

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// deadAfterSilence is how long an endpoint is silent until a check shows whether it has died. A
	// sound one may be silent for a second or so.
	deadAfterSilence = 1500 * time.Millisecond
	// silentCheckInterval is the time between two checks of a silent endpoint.
	silentCheckInterval = time.Second
	// silentHold is how long an endpoint stays silent once no attempt is in progress there: then a
	// request finds out.
	silentHold = 2 * time.Second
)

// silentEndpoints holds the endpoints at which attempts are, or were, in progress and of which
// nothing was received since. The attemptMonitor's lock guards it.
type silentEndpoints map[qf.EndpointID]*silentEndpoint

type silentEndpoint struct {
	endpoint qf.Endpoint
	// since is when bytes were last received or the oldest of the silent attempts began.
	since time.Time
	// watchedAt is when an attempt was last in progress.
	watchedAt time.Time
	checkedAt time.Time
}

// update adds the endpoints at which all attempts are silent, and removes those of which bytes were
// received.
func (s silentEndpoints) update(now time.Time, watches map[*attemptWatch]struct{}) {
	latest := map[qf.EndpointID]*attemptWatch{}
	for w := range watches {
		if known := latest[w.endpoint.ID]; known == nil || w.lastHeard().After(known.lastHeard()) {
			latest[w.endpoint.ID] = w
		}
		s.recordHeard(w)
	}
	for id, w := range latest {
		if s[id] == nil && w.isSilent(now) {
			s[id] = &silentEndpoint{endpoint: w.endpoint, since: w.lastHeard()}
		}
		if s[id] != nil {
			s[id].watchedAt = now
		}
	}
	for id, e := range s {
		if now.Sub(e.watchedAt) > silentHold {
			delete(s, id)
		}
	}
}

// recordHeard removes an endpoint of which an attempt has received bytes since it became silent.
func (s silentEndpoints) recordHeard(w *attemptWatch) {
	e := s[w.endpoint.ID]
	if e != nil && w.hasBytes.Load() && w.lastHeard().After(e.since) {
		delete(s, w.endpoint.ID)
	}
}

// dueChecks returns the endpoints that may have died, and marks them as checked.
func (s silentEndpoints) dueChecks(now time.Time) []qf.Endpoint {
	var due []qf.Endpoint
	for _, e := range s {
		if now.Sub(e.since) >= deadAfterSilence && now.Sub(e.checkedAt) >= silentCheckInterval {
			e.checkedAt = now
			due = append(due, e.endpoint)
		}
	}
	return due
}

// keepListed removes the endpoints that aren't listed any more, or have started again.
func (s silentEndpoints) keepListed(endpoints []qf.Endpoint) {
	if len(s) == 0 {
		return
	}
	listed := make(map[qf.EndpointID]qf.Incarnation, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = endpoints[i].Incarnation
	}
	for id, e := range s {
		if incarnation, isListed := listed[id]; !isListed || incarnation != e.endpoint.Incarnation {
			delete(s, id)
		}
	}
}
