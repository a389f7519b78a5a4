package qfsuspect

import (
	"bytes"
	"encoding/gob"
	"runtime"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var partConfig = PartConfig{MaxDeaths: 3, SoundFor: 4 * time.Second, UnclearTrialAfter: 2 * time.Second, TrialAfter: time.Minute}

// The parts of the tests. Requests have the shared part and others.
const (
	shared uint64 = iota + 1
	crashing
	second
	rare
)

// partEvent is one event that a node records, some time after the previous one.
type partEvent struct {
	after time.Duration
	do    func(p *PartTracker, now time.Time)
}

// crash is the death of an endpoint with requests in progress that had these parts.
func crash(after time.Duration, death qf.DeathID, parts ...uint64) partEvent {
	return partEvent{after, func(p *PartTracker, now time.Time) {
		p.RecordBrokenAttempt(time.Time{}, now, parts, death)
		p.RecordDeath(now, death)
	}}
}

func answer(after time.Duration, parts ...uint64) partEvent {
	return partEvent{after, func(p *PartTracker, now time.Time) { p.RecordAnswer(now, parts) }}
}

func check(after time.Duration, parts ...uint64) partEvent {
	return partEvent{after, func(p *PartTracker, now time.Time) { p.CheckParts(now, parts) }}
}

func received(after time.Duration, n qf.PartSuspicion) partEvent {
	return partEvent{after, func(p *PartTracker, now time.Time) { p.MergeSuspicions(now, []qf.PartSuspicion{n}) }}
}

// TestCheckParts catches a crashing part that isn't refused, and a sound one that is: each row lists
// events and the treatment of a request with the given parts some time later.
func TestCheckParts(t *testing.T) {
	const s = time.Second
	three := []partEvent{crash(0, 1, shared, crashing), answer(s, shared), crash(s, 2, shared, crashing), answer(s, shared), crash(s, 3, shared, crashing)}
	together := []partEvent{crash(0, 1, rare, crashing), crash(s, 2, rare, crashing), crash(s, 3, rare, crashing)}
	tests := []struct {
		name   string
		events []partEvent
		later  time.Duration
		parts  []uint64
		want   Treatment
	}{
		{"no events", nil, 0, []uint64{shared}, TreatNormally},
		{"two deaths", []partEvent{crash(0, 1, crashing), crash(3*s, 2, crashing)}, 0, []uint64{crashing}, TreatNormally},
		{"three deaths", three, 0, []uint64{shared, crashing}, TreatRefused},
		{"sound request with the other part", three, 0, []uint64{shared, rare}, TreatNormally},
		{"one death reported three times", []partEvent{crash(0, 1, crashing), crash(s, 1, crashing), crash(s, 1, crashing)}, 0, []uint64{crashing}, TreatNormally},
		{"an answer between the deaths", []partEvent{crash(0, 1, rare), crash(s, 2, rare), answer(s, rare), crash(5*s, 3, rare)}, 0, []uint64{rare}, TreatNormally},
		{"all endpoints crash at once under a shared part that was answered before", []partEvent{
			answer(0, shared), crash(s, 1, shared), crash(0, 2, shared), crash(0, 3, shared), crash(0, 4, shared),
		}, 0, []uint64{shared}, TreatNormally},
		{"a part that turns bad", []partEvent{answer(0, crashing), crash(5*s, 1, crashing), crash(s, 2, crashing), crash(s, 3, crashing)}, 0, []uint64{crashing}, TreatRefused},
		{"a rare part that was in progress at some of the deaths", []partEvent{
			crash(0, 1, crashing, rare), crash(s, 2, crashing, rare), crash(s, 3, crashing, rare), crash(s, 4, crashing),
		}, 0, []uint64{rare}, TreatNormally},
		{"two crashing parts", []partEvent{
			crash(0, 1, crashing), crash(s, 2, second), crash(s, 3, crashing), crash(s, 4, second), crash(s, 5, crashing), crash(s, 6, second),
		}, 0, []uint64{second}, TreatRefused},
		{"long after", three, 50 * s, []uint64{crashing}, TreatRefused},
		{"a trial", three, 61 * s, []uint64{crashing}, TreatIsolated},
		{"after a trial without an end", append(slices.Clone(three), check(61*s, crashing)), s, []uint64{crashing}, TreatRefused},
		{"after a trial that was answered", append(slices.Clone(three), check(61*s, crashing), answer(s, crashing)), s, []uint64{crashing}, TreatNormally},
		{"after a trial that crashed", append(slices.Clone(three), check(61*s, crashing), crash(s, 4, crashing)), 200 * s, []uint64{crashing}, TreatRefused},
		{"a part that comes back after its trial is due", append(slices.Clone(three), check(600*s, crashing), crash(s, 4, crashing)), s, []uint64{crashing}, TreatRefused},
		{"deaths close together have an early trial", []partEvent{crash(0, 1, rare), crash(0, 2, rare), crash(0, 3, rare)}, 3 * s, []uint64{rare}, TreatIsolated},
		{"deaths among others have an early trial", []partEvent{crash(0, 1, rare), crash(s, 2, shared), crash(s, 3, rare), crash(s, 4, shared), crash(s, 5, rare)}, 3 * s, []uint64{rare}, TreatIsolated},
		{"a request with one of two parts that are always together", together, 1200 * time.Millisecond, []uint64{rare}, TreatIsolated},
		{"a request with both parts that are always together", together, 1200 * time.Millisecond, []uint64{rare, crashing}, TreatRefused},
		{"after a trial of one of them that was answered", append(slices.Clone(together), check(1200*time.Millisecond, rare), answer(s, rare)), 0, []uint64{rare}, TreatNormally},
		{"the other after that", append(slices.Clone(together), check(1200*time.Millisecond, rare), answer(s, rare)), 0, []uint64{crashing}, TreatRefused},
		{"one of them after a trial of the other that crashed", append(slices.Clone(together), check(1200*time.Millisecond, crashing), crash(s, 4, crashing)), 0, []uint64{rare}, TreatNormally},
		{"a peer's deaths", []partEvent{received(0, qf.PartSuspicion{Part: crashing, Deaths: []qf.DeathID{1, 2, 3}, FirstAge: 3 * s})}, s, []uint64{crashing}, TreatRefused},
		{"a peer's and own deaths", []partEvent{crash(0, 1, crashing), received(s, qf.PartSuspicion{Part: crashing, Deaths: []qf.DeathID{1, 2, 3}, FirstAge: 3 * s})}, s, []uint64{crashing}, TreatRefused},
		{"a peer cleared them", append(slices.Clone(three), received(s, qf.PartSuspicion{Part: crashing, Cleared: []qf.DeathID{1, 2, 3}})), 0, []uint64{crashing}, TreatNormally},
		{"a peer's deaths under a part that is answered here", []partEvent{answer(0, shared), received(s, qf.PartSuspicion{Part: shared, Deaths: []qf.DeathID{1, 2, 3}, FirstAge: 3 * s})}, 0, []uint64{shared}, TreatNormally},
		{"a peer's trial", append(slices.Clone(three), received(61*s, qf.PartSuspicion{Part: crashing, Deaths: []qf.DeathID{1, 2, 3}, FirstAge: 64 * s, Age: 61 * s, TrialAge: s})), s, []uint64{crashing}, TreatRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPartTracker(partConfig)
			now := start
			for _, e := range tt.events {
				now = now.Add(e.after)
				e.do(p, now)
			}
			if v := p.CheckParts(now.Add(tt.later), tt.parts); v.Treatment != tt.want {
				t.Errorf("got %+v, want %s", v, tt.want)
			}
		})
	}
}

// TestAnnouncedStopBlamesNoPart catches parts that are blamed for a planned stop.
func TestAnnouncedStopBlamesNoPart(t *testing.T) {
	p := NewPartTracker(partConfig)
	for death := range qf.DeathID(4) {
		p.RecordBrokenAttempt(time.Time{}, start, []uint64{rare}, death)
		p.RecordAnnouncedStop(death)
		p.RecordDeath(start.Add(time.Second), death)
	}
	if v := p.CheckParts(start.Add(time.Second), []uint64{rare}); v.Treatment != TreatNormally {
		t.Errorf("got %+v", v)
	}
}

// TestDeathsKnownBeforeAnAttemptBlameNoPart catches a trial of a sound part that is blamed for a death which was known
// before the trial began, so that it counts as failed.
func TestDeathsKnownBeforeAnAttemptBlameNoPart(t *testing.T) {
	p := NewPartTracker(partConfig)
	now := start
	for death := range qf.DeathID(3) {
		p.RecordBrokenAttempt(now, now, []uint64{rare}, death)
		p.RecordDeath(now, death)
	}
	const known = 3
	p.RecordDeath(now, known)
	now = now.Add(partConfig.UnclearTrialAfter)
	if v := p.CheckParts(now, []uint64{rare}); v.Treatment != TreatIsolated {
		t.Fatalf("got %+v, want a trial", v)
	}
	p.RecordBrokenAttempt(now, now.Add(time.Millisecond), []uint64{rare}, known)
	now = now.Add(partConfig.UnclearTrialAfter)
	if v := p.CheckParts(now, []uint64{rare}); v.Treatment != TreatIsolated {
		t.Errorf("after a trial that proves nothing: %+v, want another trial", v)
	}
}

// TestOneTrialPerDelay catches nodes that try a refused part at the same time although they
// have received each other's suspicions, and trials that become no rarer.
func TestOneTrialPerDelay(t *testing.T) {
	nodes := []*PartTracker{NewPartTracker(partConfig), NewPartTracker(partConfig), NewPartTracker(partConfig)}
	now, death := start, qf.DeathID(0)
	for ; death < 3; death++ {
		now = now.Add(time.Second)
		nodes[death].RecordBrokenAttempt(time.Time{}, now, []uint64{crashing}, death)
		nodes[death].RecordDeath(now, death)
	}
	var trials []time.Duration
	for ; now.Sub(start) < time.Hour; now = now.Add(100 * time.Millisecond) {
		for _, node := range nodes {
			if node.CheckParts(now, []uint64{crashing}).Treatment == TreatIsolated {
				trials = append(trials, now.Sub(start))
				death++
				node.RecordBrokenAttempt(time.Time{}, now, []uint64{crashing}, death)
				node.RecordDeath(now, death)
			}
			for _, other := range nodes {
				other.MergeSuspicions(now, node.ListSuspicions(now))
			}
		}
	}
	if len(trials) == 0 || len(trials) > 3 {
		t.Errorf("trials in an hour: %v, want one to three", trials)
	}
}

// TestPartsAreBounded catches memory and messages that grow with the number of parts.
func TestPartsAreBounded(t *testing.T) {
	p := NewPartTracker(partConfig)
	now := start
	for i := range uint64(5_000) {
		now = now.Add(time.Millisecond)
		p.RecordAnswer(now, []uint64{1 << 40, 1<<41 + i})
		p.RecordBrokenAttempt(time.Time{}, now, []uint64{1 << 40, i, crashing}, qf.DeathID(i))
		p.RecordDeath(now, qf.DeathID(i))
		p.RecordBrokenAttempt(time.Time{}, now, []uint64{1<<42 + i}, 1<<31)
	}
	if p.parts.Len() > maxParts || p.sound.Len() > maxSoundParts || len(p.broken) > maxBrokenAttempts || len(p.ListSuspicions(now)) > maxListedParts {
		t.Errorf("%d parts, %d sound ones, %d broken attempts, %d listed", p.parts.Len(), p.sound.Len(), len(p.broken), len(p.ListSuspicions(now)))
	}
	if v := p.CheckParts(now, []uint64{crashing}); v.Treatment != TreatRefused {
		t.Errorf("the crashing part among thousands is %s", v.Treatment)
	}
}

// BenchmarkSuspicions measures what suspicions of parts take at most: the heap of one tracker and
// the encoded bytes of one list to a peer.
func BenchmarkSuspicions(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := NewPartTracker(partConfig)
	now := start
	for i := range uint64(20_000) {
		now = now.Add(time.Millisecond)
		p.RecordAnswer(now, []uint64{1<<41 + i})
		p.RecordBrokenAttempt(time.Time{}, now, []uint64{i % maxParts, i / 2 % maxParts, i / 3 % maxParts}, qf.DeathID(i*2654435761))
		p.RecordDeath(now, qf.DeathID(i*2654435761))
		p.RecordBrokenAttempt(time.Time{}, now, []uint64{1<<42 + i, 1<<43 + i, 1<<44 + i}, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	list := p.ListSuspicions(now)
	for range 2 { // The first list carries the description of the type.
		encoded.Reset()
		if err := encoder.Encode(list); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for range b.N {
		p.CheckParts(now, []uint64{1, 2, 3, 4})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
	b.ReportMetric(float64(encoded.Len()), "list-B")
	runtime.KeepAlive(p)
}
