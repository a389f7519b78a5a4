package qfsuspect

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// Treatment says how a request is handled.
type Treatment string

// The treatments of a request.
const (
	// TreatNormally is for a request without suspicion.
	TreatNormally Treatment = "Ordinary"
	// TreatIsolated is for a suspect: it runs at an endpoint apart from other requests.
	TreatIsolated Treatment = "Suspect"
	// TreatRefused is for a request that killed MaxDeaths endpoints.
	TreatRefused Treatment = "Refused"
	// TreatTrial is for a refused request whose trial is due: it may run if it gets the trial, which one
	// request of all nodes does.
	TreatTrial Treatment = "Trial"
)

// Verdict is the treatment of a request with its reason.
type Verdict struct {
	Treatment Treatment
	Reason    qf.Reason
	// RetryAfter is the time until a refused request may be tried.
	RetryAfter time.Duration
}

// Fingerprint returns a hash of the content of a request. It is the same for repeats
// and for other callers.
func Fingerprint(r *qf.Request) uint64 {
	digest := xxhash.New()
	part := func(text string) { // Writing to a digest can't fail.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(text), text)
	}
	part(string(r.Entry))
	for _, m := range r.Messages {
		part(m.Role)
		part(m.Content)
	}
	part(r.Method)
	part(r.Path)
	part(string(r.Body))
	return digest.Sum64()
}

// CheckRequest returns the treatment of a request.
func (s *Tracker) CheckRequest(now time.Time, fingerprint uint64) Verdict {
	u := s.lookUp(now, fingerprint)
	if u == nil {
		return Verdict{Treatment: TreatNormally}
	}
	counted := s.countedDeaths(u)
	deaths := len(counted)
	v := Verdict{
		Treatment: TreatIsolated,
		Reason:    qf.Reason{Rule: "EndpointsDied", Figures: []qf.Figure{{Name: "Deaths", Value: float64(deaths)}}},
	}
	switch due := s.trialDue(u, counted); {
	case !s.isRefused(u, counted) && deaths == 0:
		return Verdict{Treatment: TreatNormally}
	case !s.isRefused(u, counted):
	case !now.Before(due):
		v.Treatment, v.RetryAfter = TreatTrial, lostTrialRetryAfter
	default:
		v.Treatment, v.RetryAfter = TreatRefused, due.Sub(now)
		s.mayTry(now, u, counted, &v)
	}
	return v
}

// lostTrialRetryAfter is the time after which a request may come back whose trial is due but was given to another one.
const lostTrialRetryAfter = time.Second

// burstTrialAfter is the time until a request is tried that is refused for deaths which were all close together: it may
// have been in progress at each of them by chance, and a retry too.
const burstTrialAfter = 2 * time.Second

// mayTry makes a refused request a trial if all deaths that count against it were seen by this node within waveWindow and
// none followed: at once if another request was in progress at each of them.
func (s *Tracker) mayTry(now time.Time, u *suspect, counted []qf.EndpointID, v *Verdict) {
	if u.relapses > 0 || len(counted) < 2 {
		return
	}
	first, last, areOwn := u.blameTimes(now, counted)
	switch {
	case !areOwn:
		s.mayTryAtPeer(now, u, counted, v)
		return
	case last.Sub(first) > waveWindow:
		return
	}
	due := latest(last, u.burstTrialAt).Add(burstTrialAfter)
	if u.burstTrialAt.IsZero() && s.mayBlameOthers(u, counted) {
		due = now
	}
	if now.Before(due) {
		v.RetryAfter = due.Sub(now)
		return
	}
	u.burstTrialAt = now
	v.Treatment = TreatIsolated
}

// mayTryAtPeer makes a refused request a trial, once, at a node that has heard of some of the deaths only: if they are just as many as
// refuse it, and another request was in progress at each. If it crashes the next endpoint, all nodes refuse it.
func (s *Tracker) mayTryAtPeer(now time.Time, u *suspect, counted []qf.EndpointID, v *Verdict) {
	if len(counted) > s.config.MaxDeaths || !u.burstTrialAt.IsZero() || !s.mayBlameOthers(u, counted) {
		return
	}
	u.burstTrialAt = now
	v.Treatment = TreatIsolated
}

// blameTimes returns when this node first and last blamed the request for one of the deaths, and whether it did so for all of them.
func (u *suspect) blameTimes(now time.Time, deaths []qf.EndpointID) (first, last time.Time, areOwn bool) {
	first = now
	for _, endpoint := range deaths {
		at, isOwn := u.blamedAt[endpoint]
		if !isOwn {
			return first, last, false
		}
		first, last = earliest(first, at), latest(last, at)
	}
	return first, last, true
}

// mayBlameOthers reports whether another request was in progress at each of the deaths of a suspect, by what this node
// and its peers have seen.
func (s *Tracker) mayBlameOthers(u *suspect, deaths []qf.EndpointID) bool {
	suspects := s.suspects.Values()
	return !slices.ContainsFunc(deaths, func(death qf.EndpointID) bool {
		return !slices.ContainsFunc(suspects, func(other *suspect) bool { return other != u && slices.Contains(other.deaths, death) })
	})
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// RecordStart records that a suspect started at an endpoint.
func (s *Tracker) RecordStart(endpoint qf.EndpointID) { s.running[endpoint]++ }

// RecordEnd records that a suspect is no longer in progress at an endpoint.
func (s *Tracker) RecordEnd(endpoint qf.EndpointID) {
	s.running[endpoint]--
	if s.running[endpoint] <= 0 {
		delete(s.running, endpoint)
	}
}

// ListOccupiedEndpoints returns the endpoints at which suspects are in progress.
// Other requests, other suspects included, use other endpoints if there are any.
func (s *Tracker) ListOccupiedEndpoints() []qf.EndpointID {
	occupied := make([]qf.EndpointID, 0, len(s.running))
	for e := range s.running {
		occupied = append(occupied, e)
	}
	slices.Sort(occupied)
	return occupied
}

// ChooseTrialNode returns the node that decides on trials of a subject: of suspects at an endpoint, or of a request. It uses
// rendezvous hashing, so nodes with the same membership agree.
func ChooseTrialNode(nodes []qf.NodeID, subject string) qf.NodeID {
	var owner qf.NodeID
	var highest uint64
	for _, n := range nodes {
		if h := xxhash.Sum64String(string(n) + "\x00" + subject); owner == "" || h > highest {
			owner, highest = n, h
		}
	}
	return owner
}

// ListSuspicions returns the suspicions to send to peers: those that changed a short time ago, and the latest of
// the refused requests. A death is included at once; if it later proves to be part of a reclaim wave, it is listed as cleared.
func (s *Tracker) ListSuspicions(now time.Time) []qf.Suspicion {
	s.settleWaves(now)
	var suspicions []qf.Suspicion
	for _, f := range s.listed(now) {
		u, _ := s.suspects.Peek(f)
		suspicions = append(suspicions, u.describe(now, f))
	}
	return suspicions
}

// listed returns the fingerprints of the suspicions for peers.
func (s *Tracker) listed(now time.Time) []uint64 {
	var recent, refused []uint64
	changedAt := func(f uint64) time.Time {
		u, _ := s.suspects.Peek(f)
		return u.changedAt()
	}
	for _, f := range s.suspects.Keys() {
		u, _ := s.suspects.Peek(f)
		age := now.Sub(u.changedAt())
		switch {
		case age <= s.config.TrialAfter:
			recent = append(recent, f)
		case age <= s.keepFor(u) && s.isRefused(u, s.countedDeaths(u)):
			refused = append(refused, f)
		}
	}
	slices.SortFunc(refused, func(a, b uint64) int { return changedAt(b).Compare(changedAt(a)) })
	return append(recent, refused[:min(len(refused), maxListedRequests)]...)
}

// maxListedRequests bounds the refused requests in a message to a peer whose suspicion hasn't changed lately.
const maxListedRequests = 24

// MergeSuspicions adds the suspicions that a peer sent. Each carries its age, so
// that a suspicion expires although nodes keep sending it to each other.
func (s *Tracker) MergeSuspicions(now time.Time, suspicions []qf.Suspicion) {
	for i := range suspicions {
		n := &suspicions[i]
		received := &suspect{}
		received.merge(now, n)
		if now.Sub(received.changedAt()) > s.keepFor(received) {
			continue
		}
		if u, ok := s.suspects.Peek(n.Fingerprint); ok {
			u.merge(now, n)
		} else {
			s.suspects.Add(n.Fingerprint, received)
		}
	}
}
