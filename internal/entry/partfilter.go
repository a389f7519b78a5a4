package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/state/qfevent"
)

// partConfig holds the settings for parts of prompts. Three deaths are the least that show a
// crashing part rather than one that was in progress by chance.
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

// partFingerprints identifies the parts that a request shares with others, at an entry.
func partFingerprints(content *qf.RequestContent, entry qf.EntryName) []uint64 {
	parts := make([]uint64, len(content.SharedParts))
	for i := range content.SharedParts {
		parts[i] = qfsuspect.PartFingerprint(entry, content.SharedParts[i].ID)
	}
	return parts
}

// checkParts returns an error for a request with a part that crashes endpoints. The caller
// must hold f.mu.
func (f *poisonFilter) checkParts(now time.Time, content *qf.RequestContent) error {
	if len(content.SharedParts) == 0 || !f.parts.HasSuspects() {
		return nil
	}
	var parts []uint64
	for i := range content.Entries {
		parts = append(parts, partFingerprints(content, content.Entries[i].Entry)...)
	}
	verdict := f.parts.CheckParts(now, parts)
	logger := &f.entry.platform.Logger
	switch verdict.Treatment {
	case qfsuspect.TreatIsolated:
		qfevent.PartTried.Log(logger, content.ID, formatParts([]uint64{verdict.Part}), verdict.Deaths)
		f.entry.pushUrgent()
		return nil
	case qfsuspect.TreatRefused:
		if loggedAt, ok := f.loggedAt.Get(verdict.Part); !ok || now.Sub(loggedAt) >= refusalLogInterval {
			f.loggedAt.Add(verdict.Part, now)
			qfevent.PartRefused.Log(logger, content.ID, formatParts([]uint64{verdict.Part}), verdict.Deaths, verdict.RetryAfter.String())
		}
		return &qf.Error{
			Code: qf.CodeSuspect, Step: qf.StepAccept, Field: "Prompt", Reason: "endpoints died with a part of this prompt in progress",
			Ran: qf.RanNo, RetryAfter: verdict.RetryAfter, Cause: fmt.Errorf("part %016x, %d deaths", verdict.Part, verdict.Deaths),
		}
	default:
		return nil
	}
}

// refusalLogInterval is the time between two lines on the refusal of one part. Each refused
// request has a line of its own (event 261).
const refusalLogInterval = 10 * time.Second

// MayRetry implements qf.PoisonFilter.
func (f *poisonFilter) MayRetry(content *qf.RequestContent, entry qf.EntryName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parts.MayHaveCrashed(partFingerprints(content, entry)) {
		return false
	}
	return !f.suspects.HasSuspects() || !f.suspects.MayHaveCrashed(f.entry.now(), fingerprint(content))
}

// mergeParts merges a peer's suspicions of parts. The caller must hold f.mu.
func (f *poisonFilter) mergeParts(now time.Time, suspicions []qf.PartSuspicion) {
	blamed, cleared := f.parts.MergeSuspicions(now, suspicions)
	if cleared || len(blamed) > 0 && f.entry.isRelay.Load() {
		f.entry.pushUrgent()
	}
}

// mergeStoredParts merges suspicions that were stored some time ago.
func (f *poisonFilter) mergeStoredParts(now time.Time, age time.Duration, suspicions []qf.PartSuspicion) {
	for i := range suspicions {
		n := &suspicions[i]
		n.Age += age
		n.FirstAge += age
		if n.TrialAge > 0 {
			n.TrialAge += age
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergeParts(now, suspicions)
}

// listRefusedParts returns the suspicions of the parts that are refused.
func (f *poisonFilter) listRefusedParts(now time.Time) []qf.PartSuspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.ListRefused(now)
}

// recordUnanswered records the parts of a request that got no answer.
func (f *poisonFilter) recordUnanswered(attempt *qf.EndedAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts, death := partFingerprints(attempt.Content, attempt.Endpoint.Entry), qfsuspect.IdentifyDeath(attempt.Endpoint)
	if f.parts.RecordBrokenAttempt(attempt.StartedAt, attempt.EndedAt, parts, death) {
		f.entry.pushUrgent()
	}
}

// RecordAnswer implements qf.PoisonFilter.
func (f *poisonFilter) RecordAnswer(now time.Time, content *qf.RequestContent, endpoint *qf.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parts.RecordAnswer(now, partFingerprints(content, endpoint.Entry)) {
		f.entry.pushUrgent()
	}
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
			f.recordRefusal(f.entry.now(), &target)
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

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 16

func formatParts(parts []uint64) string {
	var b strings.Builder
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		fmt.Fprintf(&b, "%016x ", part)
	}
	return strings.TrimSpace(b.String())
}
