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

// thinkTime is the pause of a caller between an answer and its next request.
const thinkTime = 300 * time.Millisecond

const assistant qf.EntryName = "assistant"

// replicas VERSION COUNT starts model engines of a version of the assistant.
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

// target VERSION WITHIN WATCH sets the target version of the assistant, the time
// within which traffic must have moved to it, and how long it is watched afterwards.
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

// callers COUNT TOKENS starts callers that send chat requests one after the other until
// "callers stop", which fails unless every answer was complete and correct.
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
		s.d.sent.group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-s.d.timer.After(thinkTime).C():
				}
				if err := chatOnce(client, fmt.Sprintf("Question %d of caller %d", number, i), tokens, &s.d.sent.tokens); err != nil {
					s.d.sent.mu.Lock()
					s.d.sent.errs = append(s.d.sent.errs, err)
					s.d.sent.mu.Unlock()
				}
			}
		})
	}
	return err
}

// rolloutAt returns the assistant's rollout as reported by a node, or nil.
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

// expectRollout VERSION PHASE waits until every node reports the phase. Two phases are
// defined only here: Exposed means ramping with a share of the traffic, and Stopped
// means rolled back, or ramping with no share.
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

// expectShareSteady D checks that the largest share does not rise during D.
func (s *script) expectShareSteady(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	n := s.anyNode()
	before := largestShare(s.rolloutAt(n))
	_, err = s.d.eventually("the end of the observation", func() bool {
		limit -= pollInterval
		return limit <= 0 || largestShare(s.rolloutAt(n)) > before
	})
	if after := largestShare(s.rolloutAt(n)); after > before {
		err = fmt.Errorf("the share rose from %g to %g", before, after)
	}
	return err
}
