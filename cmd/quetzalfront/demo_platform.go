package main

import (
	"context"
	"fmt"
	"io"
	"net"
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
	platformNodes = 3
	// platformStreams are open while a node stops, platformReads are sent after each step.
	platformStreams, platformReads = 30, 60
	// platformSettles is how soon changes are in force, and endpoints that leave get nothing.
	platformSettles = 3 * time.Second
)

// platformDemo shows entry nodes on a stand-in of the users' platform.
type platformDemo struct {
	out      io.Writer
	timer    qf.Clock
	platform *standplatform.Platform
	nodes    []*entry.Entry
	callers  []netip.AddrPort
	requests int
}

// showPlatform returns an error if a promise was broken.
func showPlatform(ctx context.Context, out io.Writer) error {
	timer := qftimer.NewWall()
	stand, err := standplatform.Start(timer)
	if err != nil {
		return err
	}
	defer stand.Close()
	d := &platformDemo{out: out, timer: timer, platform: stand}
	defer d.stop()
	for i := range platformNodes {
		if err := d.start(ctx, i); err != nil {
			return err
		}
	}
	for _, step := range []func(context.Context) error{d.serve, d.change, d.drain, d.stopOne} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "all promises held")
	return err
}

func (d *platformDemo) start(ctx context.Context, number int) error {
	var ports [4]netip.AddrPort
	for i := range ports {
		address, err := loopbackAddress()
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
	node := entry.New(settings.Deployment, connect(settings, d.timer, zerolog.Nop()))
	if err := node.Start(ctx); err != nil {
		return err
	}
	d.nodes, d.callers = append(d.nodes, node), append(d.callers, ports[0])
	return nil
}

// loopbackAddress returns an address on which nobody listens at present.
func loopbackAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close() //nolint:errcheck // Nothing was accepted.
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (d *platformDemo) nextID() qf.RequestID {
	d.requests++
	return qf.RequestID(fmt.Sprintf("request-%d", d.requests))
}

// read sends plain requests to all nodes in turn.
func (d *platformDemo) read(ctx context.Context, revision int) error {
	for i := range platformReads {
		id := d.nextID()
		answer, err := standplatform.SendSafe(ctx, d.callers[i%len(d.callers)], id, revision)
		if err != nil || !answer.IsResponseTo(id) {
			return fmt.Errorf("request %s: status %d, %q, %w", id, answer.Status, answer.Body, err)
		}
	}
	return nil
}

func (d *platformDemo) serve(ctx context.Context) error {
	if err := d.read(ctx, 1); err != nil {
		return err
	}
	_, err := fmt.Fprintf(d.out, "%d nodes answered %d requests from their first moment on\n", len(d.nodes), platformReads)
	return err
}

func (d *platformDemo) change(ctx context.Context) error {
	const revision = 2
	d.platform.Configure(revision)
	d.sleep(platformSettles)
	if err := d.read(ctx, revision); err != nil {
		return err
	}
	_, err := fmt.Fprintf(d.out, "a change is in force at all nodes within %v\n", platformSettles)
	return err
}

func (d *platformDemo) drain(ctx context.Context) error {
	leaving := d.platform.Endpoints[len(d.platform.Endpoints)-1]
	d.platform.Drain(leaving)
	d.sleep(platformSettles)
	before := len(leaving.Runs())
	if err := d.read(ctx, 2); err != nil {
		return err
	}
	if after := len(leaving.Runs()); after != before {
		return fmt.Errorf("%s got %d requests after it had left", leaving.ID, after-before)
	}
	_, err := fmt.Fprintf(d.out, "%s says that it leaves, and gets nothing of the next %d requests\n", leaving.ID, platformReads)
	return err
}

// stopOne stops a node while it passes streams on.
func (d *platformDemo) stopOne(ctx context.Context) error {
	const events = 4
	node, caller := d.nodes[0], d.callers[0]
	d.nodes, d.callers = d.nodes[1:], d.callers[1:]
	failures := make(chan error, platformStreams)
	var streams sync.WaitGroup
	for range platformStreams {
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
	_, err := fmt.Fprintf(d.out, "a node stops and finishes its %d streams\n", platformStreams)
	return err
}

func (d *platformDemo) sleep(delay time.Duration) { <-d.timer.After(delay).C() }

func (d *platformDemo) stop() {
	var stops sync.WaitGroup
	for _, node := range d.nodes {
		stops.Go(func() { node.Stop(context.Background()) })
	}
	stops.Wait()
}
