package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/pkg/qfapi"
)

const (
	moveWithin   = 4 * time.Second
	watchFor     = time.Second
	newEngines   = 3
	rolloutChats = 8
	chatTokens   = 12
	// failEvery makes every so-many-th attempt at the bad version fail.
	failEvery              = 2
	assistant qf.EntryName = "assistant"
)

// moveVersions moves the assistant to a good version and then to a bad one, which
// must be taken back, while callers ask for answers and check them.
func (s *stage) moveVersions(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make([]error, rolloutChats)
	var callers sync.WaitGroup
	for i := range failures {
		callers.Go(func() { failures[i] = s.askUntil(ctx, i) })
	}
	err := s.moveTo(ctx, out, "v2", standengine.DefaultBehaviour(), "Done")
	if err == nil {
		bad := standengine.DefaultBehaviour()
		bad.FailEvery = failEvery
		err = s.moveTo(ctx, out, "v3", bad, "TakenBack")
	}
	cancel()
	callers.Wait()
	return errors.Join(append(failures, err)...)
}

// askUntil asks for answers and compares each with the reference until the
// context ends.
func (s *stage) askUntil(ctx context.Context, number int) error {
	client := s.client()
	request := chatRequest(number)
	request.MaxTokens = chatTokens
	want := strings.Join(standengine.ExpectedTokens([]qf.Message{{Role: "user", Content: request.Messages[0].Content}}, chatTokens), "")
	for ctx.Err() == nil {
		answer, err := client.Chat(ctx, request, func(string) {})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if answer.Text != want {
			return fmt.Errorf("an answer to %q differs from the reference", request.Messages[0].Content)
		}
	}
	return nil
}

// moveTo asks for a version and waits until its rollout has come to a phase at
// every node.
func (s *stage) moveTo(ctx context.Context, out io.Writer, version qf.Version, behaviour standengine.Behaviour, phase string) error {
	s.world.SetBehaviour(version, behaviour)
	for i := range newEngines {
		result := s.world.Cloud.StartVM(ctx, qf.StartVMRequest{
			Token: fmt.Sprintf("%s/%d", version, i), Role: qf.RoleModelEngine, Entry: assistant, Version: version,
			AvailabilityZone: s.deployment.Zones[1+i%2], Class: qf.ClassReclaimable,
		})
		if result.Err != nil {
			return result.Err
		}
	}
	if err := s.setTarget(ctx, version); err != nil {
		return err
	}
	err := s.waitFor(ctx, fmt.Sprintf("%s to be %s", version, phase), func() bool {
		for _, n := range s.live() {
			if r := rolloutAt(ctx, n); r == nil || r.To != string(version) || r.Phase != phase {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	say(out, "%s", rolloutAt(ctx, s.live()[0]).Summary)
	return nil
}

// setTarget edits the catalogue as an operator does.
func (s *stage) setTarget(ctx context.Context, version qf.Version) error {
	n := s.live()[0]
	current := n.Catalogue()
	document := qfcatalogue.Document{Entries: append([]qfcatalogue.Entry(nil), current.Document.Entries...)}
	e := document.Entry(assistant)
	e.Versions = append(append([]qfcatalogue.Version(nil), e.Versions...), qfcatalogue.Version{Name: version})
	e.Target = version
	e.MoveBy = s.timer.Now().Add(moveWithin).UTC()
	e.WatchFor = qfdocument.Duration(watchFor)
	return n.Apply(ctx, qfcatalogue.Edit{
		ID: qfcatalogue.NewEditID(), Operator: "demo", Base: current.Revision, Document: document,
	}).Err
}

func rolloutAt(ctx context.Context, n reporter) *qfapi.RolloutReport {
	report, err := n.Report(ctx, "rollouts", "")
	if err != nil {
		return nil
	}
	rollouts, _ := report.([]qfapi.RolloutReport)
	for i := range rollouts {
		if rollouts[i].Entry == string(assistant) {
			return &rollouts[i]
		}
	}
	return nil
}

type reporter interface {
	Report(ctx context.Context, name, subject string) (any, error)
}
