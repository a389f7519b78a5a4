package entry

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// maxDeaths is the number of endpoints that may die with a request in progress
	// before the request is refused.
	maxDeaths = 2
	// suspicionExpiry is how long a request is suspected after an endpoint's death that no answer to it followed.
	suspicionExpiry = 10 * time.Minute
	// trialAfter is the time until a refused request is tried.
	trialAfter = 40 * time.Second
)

// suspectConfig holds the settings for whole requests.
var suspectConfig = qfsuspect.Config{MaxDeaths: maxDeaths, ExpireAfter: suspicionExpiry, TrialAfter: trialAfter}

// poisonFilter implements qf.PoisonFilter: it refuses requests that crash endpoints, and those
// with a part of a prompt that does.
type poisonFilter struct {
	entry *Entry

	mu       sync.Mutex
	suspects *qfsuspect.Tracker
	parts    *qfsuspect.PartTracker
	// checking holds the endpoints whose death is being checked.
	checking map[qf.DeathID]bool
	// confirming holds the endpoints that refused connections and whose death isn't proven yet.
	confirming map[qf.DeathID]bool
	// loggedAt holds when the refusal of a part was last logged.
	loggedAt *simplelru.LRU[uint64, time.Time]
}

func newPoisonFilter(e *Entry) *poisonFilter {
	loggedAt, _ := simplelru.NewLRU[uint64, time.Time](maxLoggedParts, nil) // Fails only for a size below 1.
	return &poisonFilter{
		entry: e, suspects: qfsuspect.New(suspectConfig),
		parts: qfsuspect.NewPartTracker(partConfig), checking: map[qf.DeathID]bool{}, confirming: map[qf.DeathID]bool{}, loggedAt: loggedAt,
	}
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
	verdict, hash, err := f.checkContent(now, content)
	if err != nil {
		return err
	}
	switch verdict.Treatment {
	case qfsuspect.TreatNormally, qfsuspect.TreatIsolated:
		return nil
	case qfsuspect.TreatTrial:
		if f.claimTrial(hash) {
			qfevent.SuspectTried.Log(&f.entry.platform.Logger, content.ID, content.Target)
			return nil
		}
	}
	qfevent.SuspectRefused.Log(&f.entry.platform.Logger, content.ID, content.Target)
	return &qf.Error{
		Code: qf.CodeSuspect, Step: qf.StepAccept, Reason: "endpoints died with this request in progress", Ran: qf.RanNo,
		RetryAfter: verdict.RetryAfter,
	}
}

// checkContent judges a request by its parts and as a whole, and returns its fingerprint.
func (f *poisonFilter) checkContent(now time.Time, content *qf.RequestContent) (verdict qfsuspect.Verdict, hash uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict.Treatment = qfsuspect.TreatNormally
	if err := f.checkParts(now, content); err != nil {
		return verdict, 0, err
	}
	if f.suspects.HasSuspects() {
		hash = fingerprint(content)
		verdict = f.suspects.CheckRequest(now, hash)
	}
	return verdict, hash, nil
}

// RecordAttemptEnd implements qf.PoisonFilter.
func (f *poisonFilter) RecordAttemptEnd(attempt *qf.EndedAttempt) {
	switch {
	case attempt.End == qf.AttemptBroken:
		f.mu.Lock()
		f.suspects.RecordBrokenAttempt(attempt.StartedAt, attempt.EndedAt, fingerprint(attempt.Content), qfsuspect.IdentifyIncarnation(attempt.Endpoint))
		f.mu.Unlock()
		f.recordUnanswered(attempt)
		f.checkDeath(attempt.Endpoint)
	case attempt.End == qf.AttemptCancelled:
		f.recordUnanswered(attempt)
	case attempt.End == qf.AttemptNotRun && errors.Is(attempt.Err, syscall.ECONNREFUSED):
		f.recordRefusal(attempt.EndedAt, attempt.Endpoint)
	case attempt.End == qf.AttemptAnswered:
		f.mu.Lock()
		if f.suspects.HasSuspects() {
			f.suspects.RecordAnswer(attempt.EndedAt, fingerprint(attempt.Content))
		}
		f.mu.Unlock()
	}
}

// recordRefusal records that an endpoint refused a connection. It has died if the node reaches others;
// if it reaches none, its links may be cut. It doesn't block.
func (f *poisonFilter) recordRefusal(now time.Time, endpoint *qf.Endpoint) {
	f.entry.picker.recordUnreached(now, endpoint)
	f.entry.exchanger.CloseIdleConnections(endpoint.ID)
	death := qfsuspect.IdentifyDeath(endpoint)
	f.mu.Lock()
	isConfirming := f.confirming[death]
	f.confirming[death] = true
	f.mu.Unlock()
	if isConfirming {
		return
	}
	dead := *endpoint
	f.entry.background.Go(func() {
		isDead := f.confirmDeath(&dead)
		if isDead && f.entry.picker.isBrittle(now, dead.Entry) {
			f.entry.sleep(f.entry.loops, rejectionNewsDelay)
		}
		f.mu.Lock()
		delete(f.confirming, death)
		f.mu.Unlock()
		if isDead {
			f.recordDeath(now, &dead, "it refuses connections")
		}
	})
}

const (
	// confirmInterval is the time between two looks at whether the node reaches other endpoints than
	// one that refused a connection, and maxConfirmations their number.
	confirmInterval  = 200 * time.Millisecond
	maxConfirmations = 10
)

// rejectionNewsDelay is the time in which peers report that a brittle endpoint rejected their requests,
// which may be why it has died.
const rejectionNewsDelay = 150 * time.Millisecond

// confirmDeath reports whether an endpoint that refused a connection has died. If all others refuse
// connections too, they may all be starting again.
func (f *poisonFilter) confirmDeath(endpoint *qf.Endpoint) bool {
	for range maxConfirmations {
		if f.entry.monitor.provesDeath(endpoint) {
			return true
		}
		f.entry.sleep(f.entry.loops, confirmInterval)
		if f.entry.loops.Err() != nil {
			return false
		}
	}
	return false
}

// recordDeath records the death of an endpoint, unless its leaving was announced or it may have been
// overloaded.
func (f *poisonFilter) recordDeath(now time.Time, endpoint *qf.Endpoint, reason string) {
	death := qfsuspect.IdentifyDeath(endpoint)
	f.entry.mu.Lock()
	isAnnounced := f.entry.isLeavingEndpoint(endpoint.ID)
	f.entry.mu.Unlock()
	isExplained := isAnnounced || f.entry.picker.mayHaveFallen(now, endpoint.Entry)
	f.mu.Lock()
	defer f.mu.Unlock()
	if isExplained {
		f.parts.RecordAnnouncedStop(death)
		return
	}
	blamed := f.parts.RecordDeath(now, death)
	incarnation := qfsuspect.IdentifyIncarnation(endpoint)
	hadBroken := f.suspects.HasBrokenAttempt(incarnation)
	isNew := hadBroken && f.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: incarnation, AvailabilityZone: endpoint.AvailabilityZone})
	if isNew || len(blamed) > 0 {
		f.entry.pushUrgent()
	}
	if hadBroken || len(blamed) > 0 {
		qfevent.EndpointDied.Log(&f.entry.platform.Logger, endpoint.ID, reason, len(blamed), formatParts(blamed))
	}
}

// fillDigest adds the suspicions to a digest.
func (f *poisonFilter) fillDigest(now time.Time, d *qf.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Suspicions, d.PartSuspicions = f.suspects.ListSuspicions(now), f.parts.ListSuspicions(now)
}

// mergeDigest merges a peer's suspicions.
func (f *poisonFilter) mergeDigest(now time.Time, d *qf.Digest) {
	if len(d.Suspicions) == 0 && len(d.PartSuspicions) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.MergeSuspicions(now, d.Suspicions)
	f.mergeParts(now, d.PartSuspicions)
}

// mergeStoredRequests merges suspicions that were stored some time ago.
func (f *poisonFilter) mergeStoredRequests(now time.Time, age time.Duration, suspicions []qf.Suspicion) {
	for i := range suspicions {
		n := &suspicions[i]
		n.Age += age
		if n.TrialAge > 0 {
			n.TrialAge += age
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.MergeSuspicions(now, suspicions)
}

// listOpenRequests returns the suspicions of requests that last when all nodes start anew.
func (f *poisonFilter) listOpenRequests(now time.Time) []qf.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.ListOpen(now)
}
