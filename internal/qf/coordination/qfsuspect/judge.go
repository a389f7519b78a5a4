package qfsuspect

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// Treatment is how a request is treated.
type Treatment string

// The standings of a request.
const (
	// TreatNormally is that of a request without suspicion.
	TreatNormally Treatment = "Ordinary"
	// TreatIsolated is that of one which is tried apart from other work.
	TreatIsolated Treatment = "Suspect"
	// TreatRefused is that of one which killed too many endpoints.
	TreatRefused Treatment = "Refused"
)

// Verdict is how a request is treated, and why.
type Verdict struct {
	Treatment Treatment
	Reason    qf.Reason
	// RetryAfter is the time until the suspicion expires.
	RetryAfter time.Duration
}

// Fingerprint identifies what a request asks for, whoever sends it and however
// often.
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

// CheckRequest says how a request is to be treated.
func (s *Tracker) CheckRequest(now time.Time, fingerprint uint64) Verdict {
	u := s.find(now, fingerprint)
	if u == nil {
		return Verdict{Treatment: TreatNormally}
	}
	deaths := len(s.open(u))
	v := Verdict{
		Treatment:  TreatIsolated,
		Reason:     qf.Reason{Rule: "EndpointsDied", Figures: []qf.Figure{{Name: "Deaths", Value: float64(deaths)}}},
		RetryAfter: s.config.ExpireAfter - now.Sub(u.newsAt),
	}
	switch {
	case deaths == 0:
		return Verdict{Treatment: TreatNormally}
	case deaths >= s.config.MaxDeaths:
		v.Treatment = TreatRefused
	}
	return v
}

// RecordStart notes that a suspect is in progress at an endpoint, and Ended that it
// no longer is.
func (s *Tracker) RecordStart(endpoint qf.EndpointID) { s.running[endpoint]++ }

// RecordEnd is the counterpart of Started.
func (s *Tracker) RecordEnd(endpoint qf.EndpointID) {
	s.running[endpoint]--
	if s.running[endpoint] <= 0 {
		delete(s.running, endpoint)
	}
}

// ListOccupiedEndpoints returns the endpoints at which suspects are in progress. Other work,
// other suspects included, goes elsewhere if it can.
func (s *Tracker) ListOccupiedEndpoints() []qf.EndpointID {
	occupied := make([]qf.EndpointID, 0, len(s.running))
	for e := range s.running {
		occupied = append(occupied, e)
	}
	slices.Sort(occupied)
	return occupied
}

// ChooseTrialNode returns the node that tries suspects at an endpoint, by the highest hash,
// so that nodes which know the same nodes agree.
func ChooseTrialNode(nodes []qf.NodeID, endpoint qf.EndpointID) qf.NodeID {
	var owner qf.NodeID
	var highest uint64
	for _, n := range nodes {
		if h := xxhash.Sum64String(string(n) + "\x00" + string(endpoint)); owner == "" || h > highest {
			owner, highest = n, h
		}
	}
	return owner
}

// ListSuspicions returns the news for peers. A death is told at once; if it turns out
// to belong to a wave, that is told too.
func (s *Tracker) ListSuspicions(now time.Time) []qf.Suspicion {
	s.settleWaves(now)
	var news []qf.Suspicion
	for _, f := range s.suspects.Keys() {
		u, _ := s.suspects.Peek(f)
		age := now.Sub(u.newsAt)
		if age <= s.config.ExpireAfter {
			news = append(news, qf.Suspicion{
				Fingerprint: f, Deaths: slices.Clone(u.deaths), Cleared: slices.Clone(u.cleared), Age: age,
			})
		}
	}
	return news
}

// MergeSuspicions takes a peer's news. The age travels with it, so that nodes which tell
// each other the same thing let it expire.
func (s *Tracker) MergeSuspicions(now time.Time, news []qf.Suspicion) {
	for _, n := range news {
		if n.Age > s.config.ExpireAfter {
			continue
		}
		u, ok := s.suspects.Peek(n.Fingerprint)
		if !ok {
			u = &suspect{newsAt: now.Add(-n.Age)}
			s.suspects.Add(n.Fingerprint, u)
		}
		if told := now.Add(-n.Age); told.After(u.newsAt) {
			u.newsAt = told
		}
		u.deaths = union(u.deaths, n.Deaths)
		u.cleared = union(u.cleared, n.Cleared)
	}
}

func union(known, news []qf.EndpointID) []qf.EndpointID {
	for _, e := range news {
		if !slices.Contains(known, e) {
			known = append(known, e)
		}
	}
	return known
}
