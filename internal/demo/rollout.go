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
	// rolloutWithin is the time from the edit to the deadline of the rollout.
	rolloutWithin     = 4 * time.Second
	watchFor          = time.Second
	newEngines        = 3
	rolloutChats      = 8
	rolloutChatTokens = 12
	// failEvery makes one in so many attempts at the bad version fail.
	failEvery              = 2
	assistant qf.EntryName = "assistant"
)

// rollOutVersions rolls out a good version of the assistant and then a bad one, which
// must be rolled back, while clients send requests and check the answers.
func (c *cluster) rollOutVersions(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, rolloutChats)
	var senders sync.WaitGroup
	for i := range errs {
		senders.Go(func() { errs[i] = c.sendChats(ctx, i) })
	}
	err := c.rollOut(ctx, out, "v2", standengine.DefaultBehaviour(), "Done")
	if err == nil {
		bad := standengine.DefaultBehaviour()
		bad.FailEvery = failEvery
		err = c.rollOut(ctx, out, "v3", bad, "TakenBack")
	}
	cancel()
	senders.Wait()
	return errors.Join(append(errs, err)...)
}

// sendChats sends one request after another and compares each answer with the
// reference, until the context ends.
func (c *cluster) sendChats(ctx context.Context, number int) error {
	client := c.client()
	request := chatRequest(number)
	request.MaxTokens = rolloutChatTokens
	want := strings.Join(standengine.ExpectedTokens([]qf.Message{{Role: "user", Content: request.Messages[0].Content}}, rolloutChatTokens), "")
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

// rollOut starts engines of a version, makes it the target, and waits until every
// node reports the rollout in the given phase.
func (c *cluster) rollOut(ctx context.Context, out io.Writer, version qf.Version, behaviour standengine.Behaviour, phase string) error {
	c.world.SetBehaviour(version, behaviour)
	for i := range newEngines {
		result := c.world.Cloud.StartVM(ctx, qf.StartVMRequest{
			Token: fmt.Sprintf("%s/%d", version, i), Role: qf.RoleModelEngine, Entry: assistant, Version: version,
			AvailabilityZone: c.deployment.Zones[1+i%2], Class: qf.ClassReclaimable,
		})
		if result.Err != nil {
			return result.Err
		}
	}
	if err := c.setTarget(ctx, version); err != nil {
		return err
	}
	err := c.waitFor(ctx, fmt.Sprintf("the rollout of %s to be in phase %s", version, phase), func() bool {
		for _, n := range c.servingNodes() {
			if r := rolloutAt(ctx, n); r == nil || r.To != string(version) || r.Phase != phase {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	printLine(out, "%s", rolloutAt(ctx, c.servingNodes()[0]).Summary)
	return nil
}

// setTarget adds a version to the assistant and makes it the target, by an edit of the
// catalogue as an operator would make it.
func (c *cluster) setTarget(ctx context.Context, version qf.Version) error {
	n := c.servingNodes()[0]
	current := n.Catalogue()
	document := qfcatalogue.Document{Entries: append([]qfcatalogue.Entry(nil), current.Document.Entries...)}
	e := document.Entry(assistant)
	e.Versions = append(append([]qfcatalogue.Version(nil), e.Versions...), qfcatalogue.Version{Name: version})
	e.Target = version
	e.MoveBy = c.timer.Now().Add(rolloutWithin).UTC()
	e.WatchFor = qfdocument.Duration(watchFor)
	return n.Apply(ctx, qfcatalogue.Edit{
		ID: qfcatalogue.NewEditID(), Operator: "demo", Base: current.Revision, Document: document,
	}).Err
}

// rolloutAt returns the assistant's rollout as a node reports it, or nil.
func rolloutAt(ctx context.Context, n reportSource) *qfapi.RolloutReport {
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

// reportSource returns a node's operator reports.
type reportSource interface {
	Report(ctx context.Context, name, subject string) (any, error)
}
