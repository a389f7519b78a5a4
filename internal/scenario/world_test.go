package scenario

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	fixtures "quetzalfront"
	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standcloud"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standworld"
)

// deployment is one of the two example deployments, running in a synctest bubble.
type deployment struct {
	t       *testing.T
	name    string
	timer   qf.Clock
	network *standnet.Network
	world   *standworld.World
	zones   []qf.AvailabilityZone
	nodes   map[string]*node.Node
	// table and cloud are the addresses of the platform's services.
	table, cloud netip.AddrPort
	// starts counts node starts; it is the random seed of the next node.
	starts uint64
	// intervalFactor multiplies the intervals of the nodes; it is at least 1.
	intervalFactor int
	sent           sentRequests
}

var zonesOf = map[string][]qf.AvailabilityZone{
	"lahore": {"lahore-north-a", "lahore-south-a", "lahore-west-a"},
	"lanka":  {"lanka-east-a", "lanka-north-a", "lanka-south-a"},
}

// platformAddress is outside every zone.
var platformAddress = netip.MustParseAddr("10.9.0.1")

func newDeployment(t *testing.T, name string) (*deployment, error) {
	d := &deployment{
		t: t, name: name, intervalFactor: 1, timer: qftimer.NewWall(), network: standnet.New(),
		zones: zonesOf[name], nodes: map[string]*node.Node{},
	}
	d.world = standworld.New(d.timer, d.network.From(platformAddress))
	d.world.AddressIn = func(zone qf.AvailabilityZone) netip.AddrPort { return netip.AddrPortFrom(d.addressIn(zone), 0) }
	any := netip.AddrPortFrom(platformAddress, 0)
	var err error
	if d.table, d.cloud, err = d.world.Serve(any, any); err != nil {
		return nil, err
	}
	t.Cleanup(d.close)
	return d, d.populate()
}

// addressIn returns the IP address that all machines of a zone share.
func (d *deployment) addressIn(zone qf.AvailabilityZone) netip.Addr {
	for i, z := range d.zones {
		if z == zone {
			return netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 1})
		}
	}
	return platformAddress
}

func (d *deployment) populate() error {
	data, err := fixtures.Fixtures.ReadFile("_fixtures/" + d.name + "-fleet.toml")
	if err != nil {
		return err
	}
	fleet := &standworld.Fleet{}
	if faults := qfdocument.Decode(data, fleet); len(faults) > 0 {
		return fmt.Errorf("fleet: %s", faults[0])
	}
	fleet.Nodes = nil
	return d.world.Populate(d.t.Context(), fleet)
}

// startNode starts a node in a zone. The node has only its settings and no stored state.
func (d *deployment) startNode(id string, zone qf.AvailabilityZone) error {
	d.starts++
	s := qfsettings.Default()
	port := netip.AddrPortFrom(d.addressIn(zone), 0)
	s.Node = qfsettings.NodeSettings{
		ID: id, Region: string(standcloud.RegionOf(zone)), AvailabilityZone: string(zone),
		CallerAddress: port, PeerAddress: port, OperatorAddress: port,
	}
	s.Platform.Table, s.Platform.Cloud, s.Platform.VMList = d.table, d.cloud, d.cloud
	s.Security.Insecure = true
	for _, interval := range []*qfdocument.Duration{
		&s.Feed.CatalogueEvery, &s.Feed.VMListEvery, &s.Feed.NoticesEvery, &s.Feed.LoadEvery,
		&s.Peer.ExchangeEvery, &s.Peer.SuspectAfter, &s.Peer.DeadAfter,
		&s.Lease.Duration, &s.Lease.RenewEvery, &s.Lease.RankDelay,
	} {
		*interval *= qfdocument.Duration(d.intervalFactor)
	}
	for _, peer := range d.nodes {
		s.Node.Seeds = append(s.Node.Seeds, peer.Self().PeerAddress)
	}
	platform := node.Connect(s, d.timer, d.network.From(d.addressIn(zone)), zerolog.Nop(), d.starts)
	n := node.New(s, platform)
	if err := n.Start(); err != nil {
		return err
	}
	d.nodes[id] = n
	self := n.Self()
	d.world.Cloud.Register(standworld.NodeVM(qf.VMID(id), zone, self.CallerAddress, self.PeerAddress), nil)
	return nil
}

// killNode terminates a node without notice.
func (d *deployment) killNode(id string) error {
	n := d.nodes[id]
	if n == nil {
		return fmt.Errorf("no node %q", id)
	}
	delete(d.nodes, id)
	n.Kill()
	return nil
}

// close stops all nodes and services. It then waits until callers time out and timers
// fire, so that no goroutine is left in the bubble.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.Kill()
	}
	d.world.Close()
	d.network.Close()
	d.pause(waitTimeout)
}

const (
	// waitTimeout is the longest wait for a condition, in virtual time.
	waitTimeout = 5 * time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// eventually waits for a condition and returns the time that passed.
func (d *deployment) eventually(what string, holds func() bool) (time.Duration, error) {
	start := d.timer.Now()
	for !holds() {
		if d.timer.Now().Sub(start) > waitTimeout {
			return 0, fmt.Errorf("timed out after %s waiting for %s", waitTimeout, what)
		}
		d.pause(pollInterval)
	}
	return d.timer.Now().Sub(start), nil
}

// pause blocks for a span of virtual time.
func (d *deployment) pause(by time.Duration) { <-d.timer.After(by).C() }
