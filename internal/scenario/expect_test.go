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
//	expect never-more BODY N       the call ran at most N times
//	expect truthful NAME BODY      calls that were said not to have run didn't, those answered ran once
//	expect call NAME OUTCOME       every call of the name ended so
//	expect refused NAME D          every call of the name was refused as not run within D
//	expect edit NAME STATE         the edit was Accepted, Refused or NotYetKnown
//	expect one-edit NAME NAME      exactly one of two edits was accepted
//	expect revision N              every node has the revision at some time soon
//	expect never-below N           no node has an older revision now
//	expect within D                no more time than D passed since mark
//	expect no-work-after D         no engine was sent work longer than D after it heard that it leaves
//	expect engines N               at least N engines are left
//	expect engines-become N        N engines live at some time soon, and still 2 min later
//	expect reports VERSION N       N engines report the version at some time soon
//	expect reports-now VERSION N   N engines report the version now
//	expect live N                  every node sees N live nodes at some time soon
func (s *script) expect(_ *testscript.TestScript, args []string) error {
	checks := map[string]func(args []string) error{
		"executions":     s.expectExecutions,
		"never-more":     s.expectNeverMore,
		"truthful":       s.expectTruthful,
		"reports":        s.expectReports,
		"reports-now":    s.expectReportsNow,
		"call":           s.expectCall,
		"refused":        s.expectRefused,
		"edit":           s.expectEdit,
		"one-edit":       s.expectOneEdit,
		"revision":       s.expectRevision,
		"never-below":    s.expectNeverBelow,
		"within":         s.expectWithin,
		"rollout":        s.expectRollout,
		"holds":          s.expectHolds,
		"live":           s.expectLive,
		"no-work-after":  s.expectNoWorkAfter,
		"engines":        s.expectEngines,
		"engines-become": s.expectEnginesBecome,
	}
	check, ok := checks[args[0]]
	if !ok {
		return fmt.Errorf("no such check: %s", joined(args))
	}
	return check(args[1:])
}

func (s *script) expectExecutions(args []string) error {
	want, err := strconv.Atoi(args[1])
	if got := s.d.executions(args[0]); err == nil && got != want {
		err = fmt.Errorf("%q ran %d times, not %d", args[0], got, want)
	}
	return err
}

func (s *script) results(name string) ([]callResult, error) {
	s.d.sendings.group.Wait()
	results := s.d.sendings.calls[name]
	if len(results) == 0 {
		return nil, fmt.Errorf("no call %q was sent", name)
	}
	return results, nil
}

func (s *script) expectCall(args []string) error {
	results, err := s.results(args[0])
	for _, r := range results {
		if got := outcomeOf(r); string(got) != args[1] {
			return fmt.Errorf("call %s ended %s, not %s: %w", args[0], got, args[1], r.err)
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
			return fmt.Errorf("the refusal took %s", r.took)
		}
	}
	return err
}

func (s *script) expectEdit(args []string) error {
	if v := s.verdicts[args[0]]; string(v.State) != args[1] {
		return fmt.Errorf("edit %s was %s, not %s: %w", args[0], v.State, args[1], v.Err)
	}
	return nil
}

func (s *script) expectOneEdit(args []string) error {
	accepted := 0
	for _, name := range args {
		if s.verdicts[name].State == "Accepted" {
			accepted++
		}
	}
	if accepted != 1 {
		return fmt.Errorf("%d edits were accepted", accepted)
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

func (s *script) expectNeverBelow(args []string) error {
	least, err := strconv.ParseUint(args[0], 10, 64)
	for id, n := range s.d.nodes {
		if got := n.Catalogue().Revision; got < qf.Revision(least) {
			return fmt.Errorf("%s has revision %d", id, got)
		}
	}
	return err
}

func (s *script) expectWithin(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if took := s.d.timer.Now().Sub(s.since); err == nil && took > limit {
		err = fmt.Errorf("it took %s", took)
	}
	return err
}

func (s *script) expectLive(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return s.eventually(args[0]+" live nodes", func(n *node.Node) bool { return len(n.LiveNodes()) == want })
}

func (s *script) expectNoWorkAfter(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if latest := s.d.world.LatestArrivalWhileLeaving(); err == nil && latest > limit {
		err = fmt.Errorf("a leaving engine was sent work %s later", latest)
	}
	return err
}

func (s *script) expectNeverMore(args []string) error {
	most, err := strconv.Atoi(args[1])
	if got := s.d.executions(args[0]); err == nil && got > most {
		err = fmt.Errorf("%q ran %d times", args[0], got)
	}
	return err
}

// expectTruthful compares what the callers of a name were told with what ran.
func (s *script) expectTruthful(args []string) error {
	results, err := s.results(args[0])
	if err != nil {
		return err
	}
	ran := s.d.executions(args[1])
	for _, r := range results {
		outcome := outcomeOf(r)
		if (outcome == qf.OutcomeNotRun && ran != 0) || (outcome == qf.OutcomeAnswered && ran != 1) || ran > 1 {
			return fmt.Errorf("call %s was told %s, and ran %d times", args[0], outcome, ran)
		}
	}
	return nil
}

func (s *script) expectEngines(args []string) error {
	least, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if left := len(s.vmsOf("assistant", least)); left < least {
		return fmt.Errorf("only %d engines are left", left)
	}
	return nil
}

const allEngines = 1000

func (s *script) expectEnginesBecome(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	count := func() int { return len(s.vmsOf("assistant", allEngines)) }
	if _, err := s.d.eventually(args[0]+" engines", func() bool { return count() == want }); err != nil {
		return fmt.Errorf("%w: there are %d", err, count())
	}
	s.d.pause(2 * time.Minute)
	if got := count(); got != want {
		return fmt.Errorf("there were %s engines, and 2 min later %d", args[0], got)
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
		err = fmt.Errorf("%d engines report %s, not %d", got, args[0], want)
	}
	return err
}
