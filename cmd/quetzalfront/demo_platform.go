package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/entry"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standplatform"
	"quetzalfront/platform"
)

const (
	demoNodes = 3
	// demoStreams is the number of streams that are open while a node stops.
	demoStreams = 30
	// demoReads is the number of requests sent to check a step.
	demoReads = 60
	// settleTime is the time within which a configuration change must be in force at all
	// nodes, and after which a draining endpoint must receive no requests.
	settleTime = 3 * time.Second
)

// platformDemo runs entry nodes on a stand-in of the users' platform.
type platformDemo struct {
	out      io.Writer
	timer    qf.Clock
	platform *standplatform.Platform
	nodes    []*entry.Entry
	callers  []netip.AddrPort
	requests int
}

// runPlatformDemo runs the demo and prints each step that succeeded. It returns an error
// if a guarantee was broken.
func runPlatformDemo(ctx context.Context, out io.Writer) error {
	timer := qftimer.NewWall()
	standIn, err := standplatform.Start(timer)
	if err != nil {
		return err
	}
	defer standIn.Close()
	d := &platformDemo{out: out, timer: timer, platform: standIn}
	defer d.stopNodes()
	for i := range demoNodes {
		if err := d.startNode(ctx, i); err != nil {
			return err
		}
	}
	for _, step := range []func(context.Context) error{d.serveRequests, d.changeConfiguration, d.drainEndpoint, d.stopNode} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "all promises held")
	return err
}

func (d *platformDemo) startNode(ctx context.Context, number int) error {
	reserved := reservedPorts{}
	defer reserved.close()
	var ports [4]netip.AddrPort
	for i := range ports {
		address, err := reserved.reserve()
		if err != nil {
			return err
		}
		ports[i] = address
	}
	settings := &platform.Settings{Store: d.platform.Store, Cloud: d.platform.Cloud}
	settings.Deployment = qf.Deployment{
		Self: qf.Node{
			ID: qf.NodeID(fmt.Sprintf("node-%d", number+1)), AvailabilityZone: "north-a", Region: "north",
			CallerAddress: ports[0], PeerAddress: ports[1],
		},
		ReadyAddress: ports[2], DirectoryAddress: ports[3], Regions: d.platform.Regions(), ChecksFencing: true,
		Bounds: qf.DeploymentBounds{
			StopGrace: 8 * time.Second, LeaseFor: 3 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
		},
	}
	nodePlatform := newPlatform(settings, d.timer, zerolog.Nop(), func(string) {})
	nodePlatform.Network.Listen = reserved.wrap(nodePlatform.Network.Listen)
	node := entry.New(settings.Deployment, nodePlatform)
	if err := node.Start(ctx); err != nil {
		return err
	}
	d.nodes, d.callers = append(d.nodes, node), append(d.callers, ports[0])
	return nil
}

func (d *platformDemo) nextID() qf.RequestID {
	d.requests++
	return qf.RequestID(fmt.Sprintf("request-%d", d.requests))
}

// sendReads sends requests to all nodes in turn and checks that each is answered
// completely by the given revision.
func (d *platformDemo) sendReads(ctx context.Context, revision int) error {
	for i := range demoReads {
		id := d.nextID()
		answer, err := standplatform.SendSafe(ctx, d.callers[i%len(d.callers)], id, revision)
		if err != nil || !answer.IsResponseTo(id) {
			return fmt.Errorf("request %s: status %d, %q, %w", id, answer.Status, answer.Body, err)
		}
	}
	return nil
}

// serveRequests checks that the nodes serve requests directly after their start.
func (d *platformDemo) serveRequests(ctx context.Context) error {
	if err := d.sendReads(ctx, 1); err != nil {
		return err
	}
	_, err := fmt.Fprintf(d.out, "%d nodes answered %d requests directly after their start\n", len(d.nodes), demoReads)
	return err
}

// changeConfiguration checks that a new revision is in force at all nodes in time.
func (d *platformDemo) changeConfiguration(ctx context.Context) error {
	const revision = 2
	d.platform.Configure(revision)
	d.sleep(settleTime)
	if err := d.sendReads(ctx, revision); err != nil {
		return err
	}
	_, err := fmt.Fprintf(d.out, "a configuration change is in force at all nodes within %v\n", settleTime)
	return err
}

// drainEndpoint checks that a draining endpoint receives no more requests.
func (d *platformDemo) drainEndpoint(ctx context.Context) error {
	leaving := d.platform.Endpoints[len(d.platform.Endpoints)-1]
	d.platform.Drain(leaving)
	d.sleep(settleTime)
	before := len(leaving.Runs())
	if err := d.sendReads(ctx, 2); err != nil {
		return err
	}
	if after := len(leaving.Runs()); after != before {
		return fmt.Errorf("%s received %d requests after it had started to drain", leaving.ID, after-before)
	}
	_, err := fmt.Fprintf(d.out, "%s drains and received none of the next %d requests\n", leaving.ID, demoReads)
	return err
}

// stopNode stops a node while it forwards streams, which must end complete.
func (d *platformDemo) stopNode(ctx context.Context) error {
	const events = 4
	node, caller := d.nodes[0], d.callers[0]
	d.nodes, d.callers = d.nodes[1:], d.callers[1:]
	failures := make(chan error, demoStreams)
	var streams sync.WaitGroup
	for range demoStreams {
		id := d.nextID()
		streams.Go(func() {
			answer, err := standplatform.SendStreaming(ctx, caller, id)
			if err != nil || !answer.IsCompleteStreamOf(id, events) {
				failures <- fmt.Errorf("stream %s: status %d, %q, %w", id, answer.Status, answer.Body, err)
			}
		})
	}
	d.sleep(events * time.Millisecond)
	node.Stop(ctx)
	streams.Wait()
	select {
	case err := <-failures:
		return err
	default:
	}
	_, err := fmt.Fprintf(d.out, "a node stopped and finished its %d streams\n", demoStreams)
	return err
}

func (d *platformDemo) sleep(delay time.Duration) { <-d.timer.After(delay).C() }

func (d *platformDemo) stopNodes() {
	var stops sync.WaitGroup
	for _, node := range d.nodes {
		stops.Go(func() { node.Stop(context.Background()) })
	}
	stops.Wait()
}
