package entry

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// maxDeaths is the number of endpoints that may die with a request in progress
	// before the request is refused.
	maxDeaths = 2
	// suspicionExpiry is how long a suspicion lasts after its latest change.
	suspicionExpiry = 40 * time.Second
)

// poisonFilter implements qf.PoisonFilter: it refuses requests that crash endpoints.
type poisonFilter struct {
	entry *Entry

	mu       sync.Mutex
	suspects *qfsuspect.Tracker
}

func newPoisonFilter(e *Entry) *poisonFilter {
	return &poisonFilter{entry: e, suspects: qfsuspect.New(qfsuspect.Config{MaxDeaths: maxDeaths, ExpireAfter: suspicionExpiry})}
}

// fingerprint identifies a request by its organisation and content. It leaves out the request's
// identifier, so that repeats match, whichever caller of the organisation sends them.
func fingerprint(content *qf.RequestContent) uint64 {
	return qfsuspect.Fingerprint(&qf.Request{
		Method: content.Method, Path: string(content.Organisation) + "@" + content.Host + content.Target, Body: content.Body,
	})
}

// CheckRequest implements qf.PoisonFilter.
func (f *poisonFilter) CheckRequest(now time.Time, content *qf.RequestContent) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.suspects.HasSuspects() {
		return nil
	}
	verdict := f.suspects.CheckRequest(now, fingerprint(content))
	if verdict.Treatment != qfsuspect.TreatRefused {
		return nil
	}
	qfevent.SuspectRefused.Log(&f.entry.platform.Logger, content.ID, content.Target)
	return &qf.Error{
		Code: qf.CodeSuspect, Step: qf.StepAccept, Reason: "endpoints died with this request in progress", Ran: qf.RanNo,
		RetryAfter: verdict.RetryAfter,
	}
}

// RecordAttemptEnd implements qf.PoisonFilter.
func (f *poisonFilter) RecordAttemptEnd(now time.Time, content *qf.RequestContent, endpoint *qf.Endpoint, end qf.AttemptEnd, err error) {
	switch {
	case end == qf.AttemptBroken:
		f.mu.Lock()
		f.suspects.RecordBrokenAttempt(now, fingerprint(content), endpoint.ID)
		f.mu.Unlock()
	case end == qf.AttemptNotRun && errors.Is(err, syscall.ECONNREFUSED):
		f.recordDeath(now, endpoint)
	case end == qf.AttemptAnswered:
		f.mu.Lock()
		if f.suspects.HasSuspects() {
			f.suspects.RecordAnswer(now, fingerprint(content))
		}
		f.mu.Unlock()
	}
}

// recordDeath records the death of an endpoint, unless its leaving was announced.
func (f *poisonFilter) recordDeath(now time.Time, endpoint *qf.Endpoint) {
	f.entry.mu.Lock()
	isAnnounced := f.entry.isLeavingEndpoint(endpoint.ID)
	f.entry.mu.Unlock()
	if isAnnounced {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.suspects.HasBrokenAttempt(endpoint.ID) {
		return
	}
	f.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: endpoint.ID, AvailabilityZone: endpoint.AvailabilityZone})
}

// listSuspicions returns the suspicions to send to peers.
func (f *poisonFilter) listSuspicions(now time.Time) []qf.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.ListSuspicions(now)
}

// mergeSuspicions merges a peer's suspicions.
func (f *poisonFilter) mergeSuspicions(now time.Time, suspicions []qf.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.MergeSuspicions(now, suspicions)
}
