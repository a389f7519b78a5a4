package scenario

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
)

// expect checks an outcome:
//
//	expect executions BODY N       the call ran N times in all
//	expect max-executions BODY N   the call ran at most N times
//	expect consistent NAME BODY    calls reported as not run did not run, answered calls ran once
//	expect call NAME OUTCOME       every call of the name had the outcome
//	expect refused NAME D          every call of the name was refused as not run within D
//	expect edit NAME STATE         the edit was Accepted, Refused or NotYetKnown
//	expect one-edit NAME NAME      exactly one of two edits was accepted
//	expect revision N              every node eventually has the revision
//	expect min-revision N          no node has an older revision now
//	expect within D                at most D passed since mark
//	expect no-work-after D         no engine received new work later than D after its notice
//	expect min-engines N           at least N engines are live
//	expect engines-settle N        N engines are eventually live, and still 2 min later
//	expect reports VERSION N       N engines eventually report the version
//	expect reports-now VERSION N   N engines report the version now
//	expect live-nodes N            every node eventually lists N live nodes
//	expect rollout VERSION PHASE   see expectRollout
//	expect share-steady D          see expectShareSteady
func (s *script) expect(_ *testscript.TestScript, args []string) error {
	checks := map[string]func(args []string) error{
		"executions":     s.expectExecutions,
		"max-executions": s.expectMaxExecutions,
		"consistent":     s.expectConsistent,
		"reports":        s.expectReports,
		"reports-now":    s.expectReportsNow,
		"call":           s.expectCall,
		"refused":        s.expectRefused,
		"edit":           s.expectEdit,
		"one-edit":       s.expectOneEdit,
		"revision":       s.expectRevision,
		"min-revision":   s.expectMinRevision,
		"within":         s.expectWithin,
		"rollout":        s.expectRollout,
		"share-steady":   s.expectShareSteady,
		"live-nodes":     s.expectLiveNodes,
		"no-work-after":  s.expectNoWorkAfter,
		"min-engines":    s.expectMinEngines,
		"engines-settle": s.expectEnginesSettle,
	}
	check, ok := checks[args[0]]
	if !ok {
		return fmt.Errorf("unknown check: %s", joined(args))
	}
	return check(args[1:])
}

func (s *script) expectExecutions(args []string) error {
	want, err := strconv.Atoi(args[1])
	if got := s.d.executions(args[0]); err == nil && got != want {
		err = fmt.Errorf("%q ran %d times, want %d", args[0], got, want)
	}
	return err
}

func (s *script) results(name string) ([]callResult, error) {
	s.d.sent.group.Wait()
	results := s.d.sent.calls[name]
	if len(results) == 0 {
		return nil, fmt.Errorf("no call %q was sent", name)
	}
	return results, nil
}

func (s *script) expectCall(args []string) error {
	results, err := s.results(args[0])
	for _, r := range results {
		if got := outcomeOf(r); string(got) != args[1] {
			return fmt.Errorf("call %s had outcome %s, want %s: %w", args[0], got, args[1], r.err)
		}
	}
	return err
}

func (s *script) expectRefused(args []string) error {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if err := s.expectCall([]string{args[0], string(qf.OutcomeNotRun)}); err != nil {
		return err
	}
	results, err := s.results(args[0])
	for _, r := range results {
		if r.took > limit {
			return fmt.Errorf("the refusal took %s, want at most %s", r.took, limit)
		}
	}
	return err
}

func (s *script) expectEdit(args []string) error {
	if v := s.editResults[args[0]]; string(v.State) != args[1] {
		return fmt.Errorf("edit %s is %s, want %s: %w", args[0], v.State, args[1], v.Err)
	}
	return nil
}

func (s *script) expectOneEdit(args []string) error {
	accepted := 0
	for _, name := range args {
		if s.editResults[name].State == "Accepted" {
			accepted++
		}
	}
	if accepted != 1 {
		return fmt.Errorf("%d edits were accepted, want 1", accepted)
	}
	return nil
}

func (s *script) expectRevision(args []string) error {
	want, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	return s.eventually("revision "+args[0], func(n *node.Node) bool {
		return n.Catalogue().Revision == qf.Revision(want)
	})
}

func (s *script) expectMinRevision(args []string) error {
	least, err := strconv.ParseUint(args[0], 10, 64)
	for id, n := range s.d.nodes {
		if got := n.Catalogue().Revision; got < qf.Revision(least) {
			return fmt.Errorf("%s has revision %d, want at least %d", id, got, least)
		}
	}
	return err
}

func (s *script) expectWithin(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if took := s.d.timer.Now().Sub(s.markedAt); err == nil && took > limit {
		err = fmt.Errorf("%s passed since the mark, want at most %s", took, limit)
	}
	return err
}

func (s *script) expectLiveNodes(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return s.eventually(args[0]+" live nodes", func(n *node.Node) bool { return len(n.LiveNodes()) == want })
}

func (s *script) expectNoWorkAfter(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if latest := s.d.world.LatestArrivalWhileLeaving(); err == nil && latest > limit {
		err = fmt.Errorf("a leaving engine received work %s after its notice, want at most %s", latest, limit)
	}
	return err
}

func (s *script) expectMaxExecutions(args []string) error {
	most, err := strconv.Atoi(args[1])
	if got := s.d.executions(args[0]); err == nil && got > most {
		err = fmt.Errorf("%q ran %d times, want at most %d", args[0], got, most)
	}
	return err
}

// expectConsistent compares the outcomes that callers received with the executions at
// the service.
func (s *script) expectConsistent(args []string) error {
	results, err := s.results(args[0])
	if err != nil {
		return err
	}
	ran := s.d.executions(args[1])
	for _, r := range results {
		outcome := outcomeOf(r)
		if (outcome == qf.OutcomeNotRun && ran != 0) || (outcome == qf.OutcomeAnswered && ran != 1) || ran > 1 {
			return fmt.Errorf("call %s had outcome %s, but ran %d times", args[0], outcome, ran)
		}
	}
	return nil
}

func (s *script) expectMinEngines(args []string) error {
	least, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if left := len(s.vmsOf("assistant", least)); left < least {
		return fmt.Errorf("%d engines are live, want at least %d", left, least)
	}
	return nil
}

// allEngines is more than any deployment has, so that it does not limit a count.
const allEngines = 1000

func (s *script) expectEnginesSettle(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	count := func() int { return len(s.vmsOf("assistant", allEngines)) }
	if _, err := s.d.eventually(args[0]+" engines", func() bool { return count() == want }); err != nil {
		return fmt.Errorf("%w: %d are live", err, count())
	}
	s.d.pause(2 * time.Minute)
	if got := count(); got != want {
		return fmt.Errorf("%s engines were live, but %d after 2 min", args[0], got)
	}
	return nil
}

func (s *script) expectReports(args []string) error {
	_, err := s.d.eventually(joined(args), func() bool { return s.expectReportsNow(args) == nil })
	return err
}

func (s *script) expectReportsNow(args []string) error {
	want, err := strconv.Atoi(args[1])
	if got := s.d.world.CountReporting(qf.Version(args[0])); err == nil && got != want {
		err = fmt.Errorf("%d engines report %s, want %d", got, args[0], want)
	}
	return err
}
