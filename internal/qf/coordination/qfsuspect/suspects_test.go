package qfsuspect

import (
	"fmt"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var (
	start  = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	config = Config{MaxDeaths: 3, ExpireAfter: 10 * time.Minute}
)

// happening is one thing that a node learns, some time after the one before.
type happening struct {
	after time.Duration
	do    func(s *Tracker, now time.Time)
}

func breaks(endpoint qf.EndpointID, fingerprints ...uint64) happening {
	return happening{do: func(s *Tracker, now time.Time) {
		for _, f := range fingerprints {
			s.RecordBrokenAttempt(now, f, endpoint)
		}
	}}
}

func dies(endpoint qf.EndpointID, zone qf.AvailabilityZone) happening {
	return happening{do: func(s *Tracker, now time.Time) { s.RecordDeath(now, Death{endpoint, zone}) }}
}

func announced(endpoint qf.EndpointID) happening {
	return happening{do: func(s *Tracker, _ time.Time) { s.RecordAnnouncedStop(endpoint) }}
}

func answered(f uint64) happening {
	return happening{do: func(s *Tracker, now time.Time) { s.RecordAnswer(now, f) }}
}

func told(news qf.Suspicion) happening {
	return happening{do: func(s *Tracker, now time.Time) { s.MergeSuspicions(now, []qf.Suspicion{news}) }}
}

func later(after time.Duration, h happening) happening {
	h.after = after
	return h
}

// TestJudge checks the standing of request 1 after what happened.
func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		events []happening
		want   Treatment
		deaths float64
	}{
		{"nothing", nil, TreatNormally, 0},
		{"a break", []happening{breaks("e", 1)}, TreatNormally, 0},
		{"a death without it", []happening{breaks("e", 2), dies("e", "z")}, TreatNormally, 0},
		{"a death", []happening{breaks("e", 1, 2), dies("e", "z")}, TreatIsolated, 1},
		{"a death seen twice", []happening{breaks("e", 1), dies("e", "z"), later(time.Second, dies("e", "z"))}, TreatIsolated, 1},
		{"a break seen after the death", []happening{dies("e", "z"), breaks("e", 1), later(time.Second, dies("e", "z"))}, TreatIsolated, 1},
		{"a death long after the break", []happening{breaks("e", 1), later(time.Minute, dies("e", "z"))}, TreatNormally, 0},
		{"two deaths", []happening{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "z")}, TreatIsolated, 2},
		{"three deaths", []happening{breaks("e", 1), dies("e", "z"), breaks("f", 1), dies("f", "z"), breaks("g", 1), dies("g", "y")}, TreatRefused, 3},
		{"an announced end", []happening{breaks("e", 1), announced("e"), dies("e", "z")}, TreatNormally, 0},
		{"an end announced late", []happening{breaks("e", 1), dies("e", "z"), announced("e")}, TreatNormally, 0},
		{"a wave", []happening{breaks("e", 1), breaks("f", 2), dies("e", "z"), dies("f", "z")}, TreatNormally, 0},
		{"a wave that reaches it last", []happening{breaks("e", 2), dies("e", "z"), breaks("f", 1), dies("f", "z")}, TreatNormally, 0},
		{"a wave into which it is sent again", []happening{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1), dies("f", "z"), breaks("g", 2), dies("g", "z")}, TreatNormally, 0},
		{"a chain in one zone", []happening{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "z"), breaks("g", 1), dies("g", "z")}, TreatRefused, 3},
		{"a death seen before the break, after another", []happening{breaks("e", 1), dies("e", "z"), dies("f", "z"), breaks("f", 1), dies("f", "z")}, TreatIsolated, 2},
		{"a wave long ago", []happening{breaks("e", 1), dies("e", "z"), dies("f", "z"), later(time.Minute, answered(2))}, TreatNormally, 0},
		{"a wave of idle endpoints", []happening{breaks("e", 1), dies("e", "z"), dies("f", "z")}, TreatNormally, 0},
		{"deaths in two zones", []happening{breaks("e", 1), dies("e", "z"), breaks("f", 2), dies("f", "y")}, TreatIsolated, 1},
		{"deaths far apart", []happening{breaks("e", 1), dies("e", "z"), later(3*time.Second, breaks("f", 2)), dies("f", "z")}, TreatIsolated, 1},
		{"an answer after a death", []happening{breaks("e", 1), dies("e", "z"), answered(1)}, TreatNormally, 0},
		{"a death after an answer", []happening{breaks("e", 1), dies("e", "z"), answered(1), later(time.Minute, breaks("f", 1)), dies("f", "z")}, TreatIsolated, 1},
		{"expired", []happening{breaks("e", 1), dies("e", "z"), later(11*time.Minute, breaks("f", 2))}, TreatNormally, 0},
		{"a peer's news", []happening{told(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e", "f", "g"}})}, TreatRefused, 3},
		{"a peer's acquittal", []happening{breaks("e", 1), dies("e", "z"), told(qf.Suspicion{Fingerprint: 1, Cleared: []qf.EndpointID{"e"}})}, TreatNormally, 0},
		{"a peer's old news", []happening{told(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e"}, Age: 11 * time.Minute})}, TreatNormally, 0},
		{"a death that both saw", []happening{breaks("e", 1), dies("e", "z"), told(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e"}})}, TreatIsolated, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(config)
			now := start
			for _, e := range test.events {
				now = now.Add(e.after)
				e.do(s, now)
			}
			v := s.CheckRequest(now, 1)
			if v.Treatment != test.want {
				t.Fatalf("got %+v, want %s", v, test.want)
			}
			if test.deaths > 0 && v.Reason.Figures[0].Value != test.deaths {
				t.Errorf("got %v deaths, want %v", v.Reason.Figures[0].Value, test.deaths)
			}
		})
	}
}

// TestGossip checks that nodes agree, and that news which goes round in a circle
// expires all the same.
func TestGossip(t *testing.T) {
	a, b := New(config), New(config)
	now := start
	a.RecordBrokenAttempt(now, 1, "e")
	a.RecordDeath(now, Death{"e", "z"})
	a.RecordBrokenAttempt(now, 2, "f")
	a.RecordDeath(now, Death{"f", "y"})
	b.MergeSuspicions(now, a.ListSuspicions(now))
	a.RecordDeath(now.Add(time.Second), Death{"g", "y"})
	b.MergeSuspicions(now, a.ListSuspicions(now.Add(3*time.Second)))
	if got := b.CheckRequest(now, 2).Treatment; got != TreatNormally {
		t.Errorf("a peer takes the victim of a wave for %s", got)
	}
	expiry := start.Add(config.ExpireAfter)
	for now = now.Add(3 * time.Second); now.Before(expiry.Add(time.Minute)); now = now.Add(5 * time.Second) {
		b.MergeSuspicions(now, a.ListSuspicions(now))
		a.MergeSuspicions(now, b.ListSuspicions(now))
		want := TreatIsolated
		if now.After(expiry) {
			want = TreatNormally
		}
		if got := b.CheckRequest(now, 1).Treatment; got != want {
			t.Fatalf("after %s it is %s, want %s", now.Sub(start), got, want)
		}
	}
}

// TestMemory checks the bounds on what is kept.
func TestMemory(t *testing.T) {
	s := New(config)
	for i := range uint64(3 * maxSuspects) {
		endpoint := qf.EndpointID(fmt.Sprint(i))
		s.RecordBrokenAttempt(start, i, endpoint)
		s.RecordBrokenAttempt(start, i, "alive")
		s.RecordDeath(start.Add(time.Duration(i)*time.Minute), Death{endpoint, "z"})
	}
	if s.suspects.Len() > maxSuspects || len(s.breaks) > maxBreaks || len(s.deaths) > 2 {
		t.Errorf("%d suspects, %d breaks, %d deaths", s.suspects.Len(), len(s.breaks), len(s.deaths))
	}
}

// TestFingerprint checks that repeats by anybody share a fingerprint and that
// other requests don't.
func TestFingerprint(t *testing.T) {
	base := func() *qf.Request {
		return &qf.Request{ID: "r", Organisation: "o", Entry: "e", Messages: []qf.Message{{Role: "user", Content: "ab"}, {Role: "user", Content: "c"}}}
	}
	tests := []struct {
		name   string
		change func(r *qf.Request)
		same   bool
	}{
		{"a repeat", func(r *qf.Request) { r.ID = "s" }, true},
		{"another caller's", func(r *qf.Request) { r.Organisation = "p" }, true},
		{"another entry", func(r *qf.Request) { r.Entry = "f" }, false},
		{"shifted content", func(r *qf.Request) { r.Messages[0].Content, r.Messages[1].Content = "a", "bc" }, false},
		{"a call", func(r *qf.Request) { r.Path = "/permits" }, false},
		{"another body", func(r *qf.Request) { r.Body = []byte("x") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := base()
			test.change(other)
			if same := Fingerprint(other) == Fingerprint(base()); same != test.same {
				t.Errorf("same is %v", same)
			}
		})
	}
}
