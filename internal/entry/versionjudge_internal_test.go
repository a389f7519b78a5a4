package entry

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftally"
)

// TestVersionJudge catches slow or failing attempts that don't count as bad, count only once they
// have ended, or count twice. The route's answers usually start after 100 ms, with 10 ms between
// events.
func TestVersionJudge(t *testing.T) {
	const usualStart, usualPace = 100 * time.Millisecond, 10 * time.Millisecond
	type step struct {
		after time.Duration
		do    func(j *versionJudge, now time.Time, p *qf.PickedEndpoint)
	}
	starts := func(j *versionJudge, now time.Time, p *qf.PickedEndpoint) {
		p.Began = now.Sub(p.StartedAt)
		j.recordFirstToken(p)
	}
	overdue := func(j *versionJudge, now time.Time, _ *qf.PickedEndpoint) { j.countOverdue(now) }
	goesOn := func(events int) func(*versionJudge, time.Time, *qf.PickedEndpoint) {
		return func(j *versionJudge, now time.Time, p *qf.PickedEndpoint) {
			p.Events = events
			j.recordProgress(now, p)
		}
	}
	ends := func(events int, end qf.AttemptEnd) func(*versionJudge, time.Time, *qf.PickedEndpoint) {
		return func(j *versionJudge, now time.Time, p *qf.PickedEndpoint) {
			p.Events = events
			j.recordAttemptEnd(now, p, end)
		}
	}
	tests := []struct {
		name        string
		steps       []step
		judged, bad uint64
	}{
		{"answered", []step{{usualStart, starts}, {100 * time.Millisecond, ends(11, qf.AttemptAnswered)}}, 1, 0},
		{"started", []step{{usualStart, starts}}, 1, 0},
		{"not started yet", []step{{usualStart, overdue}}, 0, 0},
		{"slow start", []step{{4 * usualStart, starts}, {100 * time.Millisecond, ends(11, qf.AttemptAnswered)}}, 1, 1},
		{"overdue", []step{{4 * usualStart, overdue}}, 1, 1},
		{"overdue, then slow and failing", []step{{4 * usualStart, overdue}, {0, starts}, {0, ends(1, qf.AttemptBroken)}}, 1, 1},
		{"slow between events", []step{{usualStart, starts}, {400 * time.Millisecond, goesOn(5)}}, 1, 1},
		{"slow between events in the end", []step{{usualStart, starts}, {time.Second, ends(11, qf.AttemptAnswered)}}, 1, 1},
		{"few events", []step{{usualStart, starts}, {time.Second, ends(2, qf.AttemptAnswered)}}, 1, 0},
		{"fails", []step{{usualStart, ends(0, qf.AttemptFailed)}}, 1, 1},
		{"breaks off after its start", []step{{usualStart, starts}, {0, ends(3, qf.AttemptBroken)}}, 1, 1},
		{"proven not to have run", []step{{usualStart, ends(0, qf.AttemptNotRun)}}, 0, 0},
		{"caller leaves", []step{{usualStart, ends(0, qf.AttemptCancelled)}}, 0, 0},
		{"caller leaves when the answer is overdue", []step{{4 * usualStart, ends(0, qf.AttemptCancelled)}}, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plans := map[qf.EntryName]*qf.RolloutPlan{"chat": {Entry: "chat", From: "v1", To: "v2", Generation: 1, Phase: qf.RolloutRamping}}
			counters := qftally.New[qf.VersionKey]()
			j := newVersionJudge(plans, counters)
			j.baselines["ask"] = &routeBaseline{began: usualStart, pace: usualPace}
			now := time.Unix(1_800_000_000, 0)
			picked := &qf.PickedEndpoint{Endpoint: qf.Endpoint{Entry: "chat", Version: "v2"}, Route: "ask", StartedAt: now}
			picked.Judgement = j.start(picked)
			for _, s := range tt.steps {
				now = now.Add(s.after)
				s.do(j, now, picked)
			}
			key := qf.VersionKey{Generation: 1, Entry: "chat", Version: "v2", Route: "ask"}
			judged := counters.Total(key)
			key.Bad = true
			if bad := counters.Total(key); judged != tt.judged || bad != tt.bad {
				t.Errorf("%d judged, %d bad; want %d and %d", judged, bad, tt.judged, tt.bad)
			}
			if b := j.baselines["ask"]; b.began != usualStart || b.pace != usualPace {
				t.Errorf("the version under judgement changed what is usual: %+v", b)
			}
		})
	}
}
