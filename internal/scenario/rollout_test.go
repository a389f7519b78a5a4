package scenario

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/pkg/qfapi"
)

// betweenQuestions is how long a caller waits between two questions.
const betweenQuestions = 300 * time.Millisecond

const assistant qf.EntryName = "assistant"

// replicas VERSION COUNT starts the assistant's engines of a version.
func (s *script) replicas(_ *testscript.TestScript, args []string) error {
	count, err := strconv.Atoi(args[1])
	for i := range count {
		result := s.d.world.Cloud.StartVM(s.t.Context(), qf.StartVMRequest{
			Token: fmt.Sprintf("%s/%d", args[0], i), Role: qf.RoleModelEngine, Entry: assistant, Version: qf.Version(args[0]),
			AvailabilityZone: s.d.zones[i%len(s.d.zones)], Class: qf.ClassReclaimable,
		})
		if result.Err != nil {
			return result.Err
		}
	}
	return err
}

// target VERSION WITHIN WATCH asks for a version of the assistant.
func (s *script) target(_ *testscript.TestScript, args []string) error {
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	watch, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	n := s.anyNode()
	current := n.Catalogue()
	document := qfcatalogue.Document{Entries: append([]qfcatalogue.Entry(nil), current.Document.Entries...)}
	e := document.Entry(assistant)
	if !e.HasVersion(qf.Version(args[0])) {
		e.Versions = append(append([]qfcatalogue.Version(nil), e.Versions...), qfcatalogue.Version{Name: qf.Version(args[0])})
	}
	e.Target, e.MoveBy = qf.Version(args[0]), s.d.timer.Now().Add(within).UTC()
	e.WatchFor = qfdocument.Duration(watch)
	return n.Apply(s.t.Context(), qfcatalogue.Edit{
		ID: qfcatalogue.NewEditID(), Operator: "operator", Base: current.Revision, Document: document,
	}).Err
}

func (s *script) anyNode() *node.Node {
	for _, n := range s.d.nodes {
		return n
	}
	return nil
}

// callers COUNT TOKENS lets callers ask one question after the other until
// "callers stop", which fails unless every answer was whole.
func (s *script) callers(_ *testscript.TestScript, args []string) error {
	if args[0] == "stop" {
		s.stopCallers()
		_, err := s.d.answers()
		return err
	}
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(args[1])
	stop := make(chan struct{})
	s.stopCallers = sync.OnceFunc(func() { close(stop) })
	s.t.Cleanup(s.stopCallers)
	for i := range count {
		client := s.d.client("gulberg-wards")
		s.d.sendings.group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-s.d.timer.After(betweenQuestions).C():
				}
				if err := chatOnce(client, fmt.Sprintf("Question %d of caller %d", number, i), tokens, &s.d.sendings.tokens); err != nil {
					s.d.sendings.mu.Lock()
					s.d.sendings.errs = append(s.d.sendings.errs, err)
					s.d.sendings.mu.Unlock()
				}
			}
		})
	}
	return err
}

// rolloutAt returns the assistant's rollout as a node reports it, or nil.
func (s *script) rolloutAt(n *node.Node) *qfapi.RolloutReport {
	report, err := n.Report(s.t.Context(), "rollouts", "")
	rollouts, _ := report.([]qfapi.RolloutReport)
	for i := range rollouts {
		if err == nil && rollouts[i].Entry == string(assistant) {
			return &rollouts[i]
		}
	}
	return nil
}

func largestShare(r *qfapi.RolloutReport) float64 {
	largest := 0.0
	for i := range r.Routes {
		largest = max(largest, r.Routes[i].Share)
	}
	return largest
}

// expectRollout VERSION PHASE waits until every node reports the phase, and that
// the version has a share, or none, where the phase is Exposed or Stopped.
func (s *script) expectRollout(args []string) error {
	err := s.eventually("rollout of "+joined(args), func(n *node.Node) bool {
		r := s.rolloutAt(n)
		if r == nil || r.To != args[0] {
			return false
		}
		switch args[1] {
		case "Exposed":
			return r.Phase == string(qf.RolloutRamping) && largestShare(r) > 0
		case "Stopped":
			return r.Phase == string(qf.RolloutRolledBack) || (r.Phase == string(qf.RolloutRamping) && largestShare(r) == 0)
		default:
			return r.Phase == args[1]
		}
	})
	if r := s.rolloutAt(s.anyNode()); err != nil && r != nil {
		err = fmt.Errorf("%w: %s %d.%d: %s %v", err, r.Phase, r.Generation, r.Step, r.Summary, r.Routes)
	}
	return err
}

// killHolder kills the node that controls the assistant's rollout.
func (s *script) killHolder(_ *testscript.TestScript, _ []string) error {
	return s.d.killNode(s.rolloutAt(s.anyNode()).Holder)
}

// expectHolds D checks that no share rises for so long.
func (s *script) expectHolds(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	n := s.anyNode()
	before := largestShare(s.rolloutAt(n))
	_, err = s.d.eventually("the time to pass", func() bool {
		limit -= step
		return limit <= 0 || largestShare(s.rolloutAt(n)) > before
	})
	if after := largestShare(s.rolloutAt(n)); after > before {
		err = fmt.Errorf("the share rose from %g to %g", before, after)
	}
	return err
}
