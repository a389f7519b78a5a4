package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
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

// partConfig holds the settings for parts of prompts. Three deaths are the least that tell a
// crashing part from one that was in progress by chance.
var partConfig = qfsuspect.PartConfig{
	MaxDeaths: 3, SoundFor: 4 * time.Second, UnclearTrialAfter: 2 * time.Second, TrialAfter: time.Minute,
}

const (
	// deathCheckTimeout bounds the calls that find out whether an endpoint died, and
	// deathCheckInterval is the time between two of them: a process that is ending may accept
	// a connection before it refuses the next one.
	deathCheckTimeout  = 700 * time.Millisecond
	deathCheckInterval = 20 * time.Millisecond
	maxDeathChecks     = 3
)

// poisonFilter implements qf.PoisonFilter: it refuses requests that crash endpoints, and those
// with a part of a prompt that does.
type poisonFilter struct {
	entry *Entry

	mu       sync.Mutex
	suspects *qfsuspect.Tracker
	parts    *qfsuspect.PartTracker
	// checking holds the endpoints whose death is being checked.
	checking map[qf.DeathID]bool
}

func newPoisonFilter(e *Entry) *poisonFilter {
	return &poisonFilter{
		entry: e, suspects: qfsuspect.New(qfsuspect.Config{MaxDeaths: maxDeaths, ExpireAfter: suspicionExpiry}),
		parts: qfsuspect.NewPartTracker(partConfig), checking: map[qf.DeathID]bool{},
	}
}

// fingerprint identifies a request by its organisation and content. It leaves out the request's
// identifier, so that repeats match, whichever caller of the organisation sends them.
func fingerprint(content *qf.RequestContent) uint64 {
	return qfsuspect.Fingerprint(&qf.Request{
		Method: content.Method, Path: string(content.Organisation) + "@" + content.Host + content.Target, Body: content.Body,
	})
}

// partFingerprints identifies the parts that a request shares with others, at an entry.
func partFingerprints(content *qf.RequestContent, entry qf.EntryName) []uint64 {
	parts := make([]uint64, len(content.SharedParts))
	for i := range content.SharedParts {
		parts[i] = qfsuspect.PartFingerprint(entry, content.SharedParts[i].ID)
	}
	return parts
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
		f.recordUnanswered(now, content, endpoint)
		f.checkDeath(endpoint)
	case end == qf.AttemptCancelled:
		f.recordUnanswered(now, content, endpoint)
	case end == qf.AttemptNotRun && errors.Is(err, syscall.ECONNREFUSED):
		f.recordDeath(now, endpoint, "it refuses connections")
	case end == qf.AttemptAnswered:
		f.mu.Lock()
		if f.suspects.HasSuspects() {
			f.suspects.RecordAnswer(now, fingerprint(content))
		}
		f.mu.Unlock()
	}
}

// recordUnanswered records the parts of a request that got no answer.
func (f *poisonFilter) recordUnanswered(now time.Time, content *qf.RequestContent, endpoint *qf.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts.RecordBrokenAttempt(now, partFingerprints(content, endpoint.Entry), qfsuspect.IdentifyDeath(endpoint))
}

// RecordAnswer implements qf.PoisonFilter.
func (f *poisonFilter) RecordAnswer(now time.Time, content *qf.RequestContent, endpoint *qf.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts.RecordAnswer(now, partFingerprints(content, endpoint.Entry))
}

// checkDeath finds out whether an endpoint at which an attempt broke has died. Without it, the
// death would show only once the endpoint's row lapses.
func (f *poisonFilter) checkDeath(endpoint *qf.Endpoint) {
	death := qfsuspect.IdentifyDeath(endpoint)
	f.mu.Lock()
	isChecking := f.checking[death]
	f.checking[death] = true
	f.mu.Unlock()
	if isChecking {
		return
	}
	target := *endpoint
	f.entry.background.Go(func() {
		isRefused := f.refusesConnections(&target)
		f.mu.Lock()
		delete(f.checking, death)
		f.mu.Unlock()
		if isRefused {
			f.recordDeath(f.entry.now(), &target, "it refuses connections")
		}
	})
}

// refusesConnections reports whether an endpoint refuses connections.
func (f *poisonFilter) refusesConnections(endpoint *qf.Endpoint) bool {
	ctx, cancel := context.WithTimeout(f.entry.loops, deathCheckTimeout)
	defer cancel()
	for range maxDeathChecks {
		connection, err := f.entry.platform.Network.Dial(ctx, "tcp", endpoint.Address.String())
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED) // Any other error proves nothing.
		}
		_ = connection.Close() // Nothing was sent on it.
		pause := f.entry.platform.Clock.After(deathCheckInterval)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
	}
	return false
}

// recordDeath records the death of an endpoint, unless its leaving was announced.
func (f *poisonFilter) recordDeath(now time.Time, endpoint *qf.Endpoint, reason string) {
	death := qfsuspect.IdentifyDeath(endpoint)
	f.entry.mu.Lock()
	isAnnounced := f.entry.isLeavingEndpoint(endpoint.ID)
	f.entry.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if isAnnounced {
		f.parts.RecordAnnouncedStop(death)
		return
	}
	blamed := f.parts.RecordDeath(now, death)
	hadBroken := f.suspects.HasBrokenAttempt(endpoint.ID)
	if hadBroken {
		f.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: endpoint.ID, AvailabilityZone: endpoint.AvailabilityZone})
	}
	if hadBroken || len(blamed) > 0 {
		qfevent.EndpointDied.Log(&f.entry.platform.Logger, endpoint.ID, reason, len(blamed), formatParts(blamed))
	}
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 16

func formatParts(parts []uint64) string {
	var b strings.Builder
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		fmt.Fprintf(&b, "%016x ", part)
	}
	return strings.TrimSpace(b.String())
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
