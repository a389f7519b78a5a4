package qfsuspect

import (
	"fmt"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var (
	start  = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	config = Config{MaxDeaths: 3, ExpireAfter: 10 * time.Minute, TrialAfter: 10 * time.Minute}
)

// step is one event that a node records, some time after the previous one.
type step struct {
	after time.Duration
	do    func(s *Tracker, now time.Time)
}

func breaks(endpoint qf.EndpointID, fingerprints ...uint64) step {
	return step{do: func(s *Tracker, now time.Time) {
		for _, f := range fingerprints {
			s.RecordBrokenAttempt(time.Time{}, now, f, endpoint)
		}
	}}
}

// breaksAnew is breaks for an attempt that begins when it ends.
func breaksAnew(endpoint qf.EndpointID, fingerprint uint64) step {
	return step{do: func(s *Tracker, now time.Time) { s.RecordBrokenAttempt(now, now, fingerprint, endpoint) }}
}

func dies(endpoint qf.EndpointID, zone qf.AvailabilityZone) step {
	return step{do: func(s *Tracker, now time.Time) { s.RecordDeath(now, Death{endpoint, zone}) }}
}

func announced(endpoint qf.EndpointID) step {
	return step{do: func(s *Tracker, _ time.Time) { s.RecordAnnouncedStop(endpoint) }}
}

func answered(f uint64) step {
	return step{do: func(s *Tracker, now time.Time) { s.RecordAnswer(now, f) }}
}

func receivedRequest(suspicion qf.Suspicion) step {
	return step{do: func(s *Tracker, now time.Time) { s.MergeSuspicions(now, []qf.Suspicion{suspicion}) }}
}

// refused is the deaths of three endpoints by request 1, which is refused then.
func refused() step {
	return step{do: func(s *Tracker, now time.Time) {
		for _, endpoint := range []qf.EndpointID{"e", "f", "g"} {
			breaks(endpoint, 1).do(s, now)
			dies(endpoint, "z").do(s, now)
		}
	}}
}

// checked is the arrival of request 1, which is tried if it may be.
func checked() step {
	return step{do: func(s *Tracker, now time.Time) {
		if s.CheckRequest(now, 1).Treatment == TreatTrial {
			s.ClaimTrial(now, 1)
		}
	}}
}

// triedAtPeer is a trial that another node begins and this one decides on.
func triedAtPeer() step {
	return step{do: func(s *Tracker, now time.Time) { s.ClaimTrial(now, 1) }}
}

func later(after time.Duration, s step) step {
	s.after = after
	return s
}

// TestCheckRequest catches a request that is blamed for deaths that it didn't cause, or
// isn't blamed for those that it did: each row lists events and the treatment of request 1.
func TestCheckRequest(t *testing.T) {
	tests := []struct {
		name   string
		events []step
		want   Treatment
		deaths float64
	}{
		{"no events", nil, TreatNormally, 0},
		{"a break", []step{breaks("e", 1)}, TreatNormally, 0},
		{"a death without request 1", []step{breaks("e", 2), dies("e", "z")}, TreatNormally, 0},
		{"a death", []step{breaks("e", 1, 2), dies("e", "z")}, TreatIsolated, 1},
		{"a death seen twice", []step{breaks("e", 1), dies("e", "z"), later(time.Second, dies("e", "z"))}, TreatIsolated, 1},
		{"a break seen after the death", []step{dies("e", "z"), breaks("e", 1), later(time.Second, dies("e", "z"))}, TreatIsolated, 1},
		{"an attempt that began after the death", []step{breaks("e", 2), dies("e", "z"), later(time.Second, breaksAnew("e", 1)), dies("e", "z")}, TreatNormally, 0},
		{"a death long after the break", []step{breaks("e", 1), later(time.Minute, dies("e", "z"))}, TreatNormally, 0},
		{"two deaths", []step{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "z")}, TreatIsolated, 2},
		{"three deaths", []step{breaks("e", 1), dies("e", "z"), breaks("f", 1), dies("f", "z"), breaks("g", 1), dies("g", "y")}, TreatRefused, 3},
		{"an announced end", []step{breaks("e", 1), announced("e"), dies("e", "z")}, TreatNormally, 0},
		{"an end announced late", []step{breaks("e", 1), dies("e", "z"), announced("e")}, TreatNormally, 0},
		{"a wave", []step{breaks("e", 1), breaks("f", 2), dies("e", "z"), dies("f", "z")}, TreatIsolated, 1},
		{"a wave whose last death breaks request 1", []step{breaks("e", 2), dies("e", "z"), breaks("f", 1), dies("f", "z")}, TreatIsolated, 1},
		{"a wave with a retry in the same zone", []step{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1), dies("f", "z"), breaks("g", 2), dies("g", "z")}, TreatIsolated, 1},
		{"a wave with a retry in the same zone, settled", []step{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1), dies("f", "z"), breaks("g", 2), dies("g", "z"), later(5*time.Second, breaks("h", 3))}, TreatIsolated, 1},
		{"a wave after which request 1 is answered", []step{breaks("e", 1), breaks("f", 2), dies("e", "z"), dies("f", "z"), later(5*time.Second, answered(1))}, TreatNormally, 0},
		{"two requests that crash endpoints in the same zone, twice", []step{
			breaks("e", 1), dies("e", "z"), breaks("f", 2), dies("f", "z"), later(6*time.Second, breaks("g", 1)), dies("g", "z"), breaks("h", 2), dies("h", "z"),
		}, TreatIsolated, 2},
		{"two requests that crash endpoints in the same zone, three times", []step{
			breaks("e", 1), dies("e", "z"), breaks("f", 2), dies("f", "z"), later(6*time.Second, breaks("g", 1)), dies("g", "z"), breaks("h", 2), dies("h", "z"),
			later(6*time.Second, breaks("i", 1)), dies("i", "z"), breaks("j", 2), dies("j", "z"),
		}, TreatRefused, 3},
		{"deaths close together, a while later", []step{refused(), later(3*time.Second, breaks("h", 3))}, TreatIsolated, 3},
		{"deaths close together, tried a moment ago", []step{refused(), later(3*time.Second, checked()), later(time.Second, breaks("h", 3))}, TreatRefused, 3},
		{"deaths close together, and another one at its trial", []step{
			refused(), later(3*time.Second, checked()), breaks("h", 1), dies("h", "z"), later(time.Minute, breaks("i", 3)),
		}, TreatRefused, 4},
		{"deaths close together, and an answer to its trial", []step{refused(), later(3*time.Second, checked()), answered(1)}, TreatNormally, 0},
		{"deaths close together, with others in progress at each", []step{
			breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "y"), breaks("g", 1, 4), dies("g", "x"),
		}, TreatIsolated, 3},
		{"deaths close together, with others in progress at some", []step{
			breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "y"), breaks("g", 1), dies("g", "x"),
		}, TreatRefused, 3},
		{"deaths close together, with others in progress, tried already", []step{
			breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "y"), breaks("g", 1, 4), dies("g", "x"), checked(), later(time.Second, breaks("h", 5)),
		}, TreatRefused, 3},
		{"deaths that a peer saw, a while later", []step{
			receivedRequest(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e", "f", "g"}}), later(time.Minute, breaks("h", 3)),
		}, TreatRefused, 3},
		{"refused until its trial", []step{refused(), later(11*time.Minute, breaks("h", 3))}, TreatTrial, 3},
		{"refused until its trial, which another request has", []step{refused(), later(11*time.Minute, checked())}, TreatRefused, 0},
		{"refused until its trial, which a peer has", []step{refused(), later(11*time.Minute, triedAtPeer())}, TreatRefused, 0},
		{"comes all the while", []step{
			refused(), later(3*time.Minute, checked()), later(3*time.Minute, checked()), later(3*time.Minute, checked()), later(2*time.Minute, breaks("h", 3)),
		}, TreatTrial, 3},
		{"a trial without an end", []step{refused(), later(11*time.Minute, checked()), later(11*time.Minute, breaks("h", 3))}, TreatTrial, 0},
		{"a trial that was answered", []step{refused(), later(11*time.Minute, checked()), answered(1)}, TreatNormally, 0},
		{"a trial that a peer answered", []step{
			refused(), later(11*time.Minute, checked()),
			receivedRequest(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e", "f", "g"}, Cleared: []qf.EndpointID{"e", "f", "g"}}),
		}, TreatNormally, 0},
		{"a peer's trial", []step{
			refused(), later(11*time.Minute, receivedRequest(qf.Suspicion{
				Fingerprint: 1, Deaths: []qf.EndpointID{"e", "f", "g"}, Expired: []qf.EndpointID{"e", "f", "g"}, Relapses: 1, Age: 11 * time.Minute, TrialAge: time.Second,
			})),
		}, TreatRefused, 0},
		{"refused, and not sent for long", []step{refused(), later(80*time.Minute, breaks("h", 3))}, TreatNormally, 0},
		{"another death at its trial", []step{refused(), later(11*time.Minute, breaks("h", 1)), checked(), dies("h", "z")}, TreatRefused, 1},
		{"refused again, for longer", []step{
			refused(), later(11*time.Minute, breaks("h", 1)), checked(), dies("h", "z"), later(11*time.Minute, breaks("i", 3)),
		}, TreatRefused, 1},
		{"refused again, until its next trial", []step{
			refused(), later(11*time.Minute, breaks("h", 1)), checked(), dies("h", "z"), later(41*time.Minute, breaks("i", 3)),
		}, TreatTrial, 1},
		{"answered at its trial", []step{
			refused(), later(11*time.Minute, breaks("h", 3)), checked(), answered(1), later(time.Minute, breaks("h", 1)), dies("h", "z"),
		}, TreatIsolated, 1},
		{"retries in one zone that all kill", []step{breaks("e", 1, 2), dies("e", "z"), breaks("f", 1, 3), dies("f", "z"), breaks("g", 1), dies("g", "z")}, TreatRefused, 3},
		{"a death seen before the break, after another", []step{breaks("e", 1), dies("e", "z"), dies("f", "z"), breaks("f", 1), dies("f", "z")}, TreatIsolated, 2},
		{"a wave long ago", []step{breaks("e", 1), dies("e", "z"), dies("f", "z"), later(time.Minute, answered(2))}, TreatNormally, 0},
		{"a wave of idle endpoints", []step{breaks("e", 1), dies("e", "z"), dies("f", "z")}, TreatNormally, 0},
		{"deaths in two zones", []step{breaks("e", 1), dies("e", "z"), breaks("f", 2), dies("f", "y")}, TreatIsolated, 1},
		{"deaths far apart", []step{breaks("e", 1), dies("e", "z"), later(3*time.Second, breaks("f", 2)), dies("f", "z")}, TreatIsolated, 1},
		{"an answer after a death", []step{breaks("e", 1), dies("e", "z"), answered(1)}, TreatNormally, 0},
		{"a death after an answer", []step{breaks("e", 1), dies("e", "z"), answered(1), later(time.Minute, breaks("f", 1)), dies("f", "z")}, TreatIsolated, 1},
		{"expired", []step{breaks("e", 1), dies("e", "z"), later(11*time.Minute, breaks("f", 2))}, TreatNormally, 0},
		{"a peer's suspicion", []step{receivedRequest(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e", "f", "g"}})}, TreatRefused, 3},
		{"a peer's cleared death", []step{breaks("e", 1), dies("e", "z"), receivedRequest(qf.Suspicion{Fingerprint: 1, Cleared: []qf.EndpointID{"e"}})}, TreatNormally, 0},
		{"a peer's expired suspicion", []step{receivedRequest(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e"}, Age: 11 * time.Minute})}, TreatNormally, 0},
		{"a death that both saw", []step{breaks("e", 1), dies("e", "z"), receivedRequest(qf.Suspicion{Fingerprint: 1, Deaths: []qf.EndpointID{"e"}})}, TreatIsolated, 1},
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

// TestSuspicionsExpireAtPeers catches suspicions that never expire because nodes keep
// sending them to each other, and peers that disagree on a wave.
func TestSuspicionsExpireAtPeers(t *testing.T) {
	a, b := New(config), New(config)
	now := start
	a.RecordBrokenAttempt(time.Time{}, now, 1, "e")
	a.RecordDeath(now, Death{"e", "z"})
	a.RecordBrokenAttempt(time.Time{}, now, 2, "f")
	a.RecordDeath(now, Death{"f", "y"})
	b.MergeSuspicions(now, a.ListSuspicions(now))
	a.RecordDeath(now.Add(time.Second), Death{"g", "y"})
	b.MergeSuspicions(now, a.ListSuspicions(now.Add(3*time.Second)))
	if got := b.CheckRequest(now, 2).Treatment; got != TreatNormally {
		t.Errorf("a peer treats a request of a reclaim wave as %s", got)
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

// TestMemoryIsBounded catches lists that grow with every broken attempt or death.
func TestMemoryIsBounded(t *testing.T) {
	s := New(config)
	for i := range uint64(3 * maxSuspects) {
		endpoint := qf.EndpointID(fmt.Sprint(i))
		s.RecordBrokenAttempt(time.Time{}, start, i, endpoint)
		s.RecordBrokenAttempt(time.Time{}, start, i, "alive")
		s.RecordDeath(start.Add(time.Duration(i)*time.Minute), Death{endpoint, "z"})
	}
	if s.suspects.Len() > maxSuspects || len(s.brokenAttempts) > maxBrokenAttempts || len(s.deaths) > 2 {
		t.Errorf("%d suspects, %d broken attempts, %d deaths", s.suspects.Len(), len(s.brokenAttempts), len(s.deaths))
	}
}

// TestFingerprint catches repeats with different fingerprints, which would escape
// detection, and different requests with the same one.
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
				t.Errorf("same fingerprint is %v, want %v", same, test.same)
			}
		})
	}
}

// TestSoundRequestIsServedAtPeers fails if a sound request is refused at a node that has only heard from a peer of two deaths
// close together at which others were in progress too.
func TestSoundRequestIsServedAtPeers(t *testing.T) {
	const sound = 1
	a, peer := New(Config{MaxDeaths: 2, ExpireAfter: time.Minute, TrialAfter: time.Minute}), New(Config{MaxDeaths: 2, ExpireAfter: time.Minute, TrialAfter: time.Minute})
	for i, endpoint := range []qf.EndpointID{"e", "f"} {
		a.RecordBrokenAttempt(time.Time{}, start, sound, endpoint)
		a.RecordBrokenAttempt(time.Time{}, start, uint64(2+i), endpoint)
		a.RecordDeath(start, Death{endpoint, qf.AvailabilityZone(endpoint)})
	}
	now := start.Add(time.Second)
	peer.MergeSuspicions(now, a.ListSuspicions(now))
	if v := a.CheckRequest(now, sound); v.Treatment == TreatRefused {
		t.Errorf("the node that saw the deaths refuses it: %+v", v)
	}
	if v := peer.CheckRequest(now, sound); v.Treatment == TreatRefused {
		t.Errorf("a peer refuses it: %+v", v)
	}
}
