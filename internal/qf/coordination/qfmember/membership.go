// Package qfmember keeps a node's view of the other nodes: who is live, suspect,
// leaving or dead. It does no I/O and reads no clock.
package qfmember

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the failure detector's timeouts, counted from a node's last heartbeat.
type Timing struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// FullExchangeUpTo is the largest fleet in which all nodes exchange their full views
	// with each other. Larger fleets exchange summaries of zones.
	FullExchangeUpTo int
}

// Membership is one node's view of all nodes. It isn't safe for concurrent use.
type Membership struct {
	timing Timing
	self   qf.Node
	peers  map[qf.NodeID]*member
	// departures only grow: the departure of an incarnation is never withdrawn.
	departures map[qf.VMID]departure
	// byHash maps the hashes in heartbeats and summaries to peers.
	byHash map[uint64]qf.NodeID
	zones  map[qf.AvailabilityZone]*zoneView
	// byZone holds the peers of each zone, ordered by identifier.
	byZone map[qf.AvailabilityZone][]*member
	// needsOwnZone is true if a heartbeat of an unknown member was received.
	needsOwnZone bool
	// heartbeatAt is when the node last raised its heartbeat.
	heartbeatAt time.Time
}

type member struct {
	node qf.Node
	hash uint64
	// updatedAt is when a higher heartbeat was last received.
	updatedAt time.Time
	// probedAt is when the node was last probed while dead.
	probedAt time.Time
}

type departure struct {
	incarnation qf.Incarnation
	leaveAt     time.Time
	receivedAt  time.Time
	// isAssumed is true if leaveAt is assumed because the reclaim time isn't known.
	isAssumed bool
}

// assumedNotice is the assumed time until the reclaim of a VM whose departure only its
// endpoint reported, without a time.
const assumedNotice = 2 * time.Second

// New returns a view that holds only the node itself.
func New(self qf.Node, timing Timing) *Membership {
	return &Membership{
		timing: timing, self: self,
		peers:      map[qf.NodeID]*member{},
		departures: map[qf.VMID]departure{},
		byHash:     map[uint64]qf.NodeID{},
		zones:      map[qf.AvailabilityZone]*zoneView{},
		byZone:     map[qf.AvailabilityZone][]*member{},
	}
}

// RaiseHeartbeat raises the node's own heartbeat and sets its revision and load. If the
// node was paused, it returns the length of the pause and adds it to the time of each
// peer's last update: those are old because this node wasn't receiving.
func (m *Membership) RaiseHeartbeat(now time.Time, revision qf.Revision, load int) time.Duration {
	pause := time.Duration(0)
	if gap := now.Sub(m.heartbeatAt); !m.heartbeatAt.IsZero() && gap >= m.timing.SuspectAfter {
		pause = gap
		for _, p := range m.peers {
			p.updatedAt = p.updatedAt.Add(gap)
		}
		for _, z := range m.zones {
			z.updatedAt = z.updatedAt.Add(gap)
		}
	}
	m.heartbeatAt = now
	m.self.Heartbeat++
	m.self.CatalogueRevision = revision
	m.self.Load = load
	return pause
}

// MarkLeaving marks the node itself as leaving. It can't be undone.
func (m *Membership) MarkLeaving() { m.self.State = qf.NodeLeaving }

// Self returns the node itself.
func (m *Membership) Self() qf.Node { return m.self }

// RecordNode records a node's state as a peer reported it. States without a higher
// incarnation or heartbeat are ignored.
func (m *Membership) RecordNode(now time.Time, node qf.Node) {
	if node.ID == m.self.ID {
		return
	}
	known, ok := m.peers[node.ID]
	if !ok || node.Incarnation > known.node.Incarnation {
		m.add(now, node)
		return
	}
	if node.Incarnation < known.node.Incarnation || node.Heartbeat <= known.node.Heartbeat {
		return
	}
	if known.node.State == qf.NodeLeaving {
		node.State = qf.NodeLeaving
	}
	known.node = node
	known.updatedAt = now
}

// AddSeed adds a node from the VM list before its first heartbeat.
func (m *Membership) AddSeed(now time.Time, node qf.Node) {
	if _, ok := m.peers[node.ID]; ok || node.ID == m.self.ID {
		return
	}
	m.add(now, node)
}

// RecordDeparture records that a VM departs and reports whether that was new. An
// assumed time of departure is corrected once the time is reported.
func (m *Membership) RecordDeparture(now time.Time, d qf.Departure) bool {
	known, ok := m.departures[d.VM]
	if ok && known.incarnation >= d.Incarnation {
		if known.isAssumed && d.In != 0 && known.incarnation == d.Incarnation {
			m.departures[d.VM] = departure{incarnation: d.Incarnation, leaveAt: now.Add(d.In), receivedAt: now}
		}
		return false
	}
	update := departure{incarnation: d.Incarnation, leaveAt: now.Add(d.In), receivedAt: now}
	if d.In == 0 {
		update.leaveAt = now.Add(assumedNotice)
		update.isAssumed = true
	}
	m.departures[d.VM] = update
	return true
}

// isVMDeparting reports whether a node's VM is known to depart. Incarnations of nodes
// are their start times in milliseconds and can't be compared with the cloud's; a node
// that started after the VM's last reclaim belongs to a later incarnation of the VM.
func (m *Membership) isVMDeparting(node *qf.Node) bool {
	d, ok := m.departures[qf.VMID(node.ID)]
	return ok && d.leaveAt.UnixMilli() > int64(node.Incarnation)
}

// IsSelfLeaving reports whether a departure concerns this node.
func (m *Membership) IsSelfLeaving(now time.Time, d qf.Departure) bool {
	return qf.NodeID(d.VM) == m.self.ID && now.Add(d.In).UnixMilli() > int64(m.self.Incarnation)
}

// Departures returns all recorded departures, to be sent to peers.
func (m *Membership) Departures(now time.Time) []qf.Departure {
	departures := make([]qf.Departure, 0, len(m.departures))
	for vm, d := range m.departures {
		in := d.leaveAt.Sub(now)
		if d.isAssumed {
			in = 0
		}
		departures = append(departures, qf.Departure{VM: vm, Incarnation: d.incarnation, In: in})
	}
	sort.Slice(departures, func(i, j int) bool { return departures[i].VM < departures[j].VM })
	return departures
}

// IsDeparting reports whether a VM's incarnation is known to depart.
func (m *Membership) IsDeparting(vm qf.VMID, incarnation qf.Incarnation) bool {
	d, ok := m.departures[vm]
	return ok && d.incarnation >= incarnation
}

// DepartureTime returns when a VM's incarnation is reclaimed, if it is known to depart.
func (m *Membership) DepartureTime(vm qf.VMID, incarnation qf.Incarnation) (time.Time, bool) {
	d, ok := m.departures[vm]
	return d.leaveAt, ok && d.incarnation >= incarnation
}

// stateOf derives a peer's state from the age of its last update.
func (m *Membership) stateOf(now time.Time, p *member) qf.NodeState {
	age, isNotLive := m.updateAge(now, p)
	switch {
	case age >= m.timing.DeadAfter:
		return qf.NodeDead
	case p.node.State == qf.NodeLeaving || m.isVMDeparting(&p.node):
		return qf.NodeLeaving
	case isNotLive || age >= m.suspectAfter():
		return qf.NodeSuspect
	default:
		return qf.NodeLive
	}
}

// VisitPeers calls visit for each other node that isn't dead, in no particular order. The node
// must not be changed or kept; its state is the argument.
func (m *Membership) VisitPeers(now time.Time, visit func(node *qf.Node, state qf.NodeState)) {
	for _, p := range m.peers {
		if state := m.stateOf(now, p); state != qf.NodeDead {
			visit(&p.node, state)
		}
	}
}

// Peers returns the other nodes that aren't dead, ordered by identifier. It copies and sorts them:
// what is called often visits them instead.
func (m *Membership) Peers(now time.Time) []qf.Node {
	nodes := make([]qf.Node, 0, len(m.peers))
	m.VisitPeers(now, func(node *qf.Node, state qf.NodeState) {
		nodes = append(nodes, *node)
		nodes[len(nodes)-1].State = state
	})
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	return nodes
}

// removeAfter is the time since its last update after which a dead node is removed. The
// VM list may add it again.
const removeAfter = 10 * time.Minute

// NextProbe returns the dead node that was probed least recently, so that nodes find each
// other again after a network partition. It removes nodes that were dead for long.
func (m *Membership) NextProbe(now time.Time) (qf.Node, bool) {
	var next *member
	for id, p := range m.peers {
		if m.stateOf(now, p) != qf.NodeDead {
			continue
		}
		if now.Sub(p.updatedAt) > removeAfter {
			m.remove(id)
			continue
		}
		if next == nil || p.probedAt.Before(next.probedAt) || p.probedAt.Equal(next.probedAt) && id < next.node.ID {
			next = p
		}
	}
	if next == nil {
		return qf.Node{}, false
	}
	next.probedAt = now
	return next.node, true
}

// Nodes returns the node itself and its peers.
func (m *Membership) Nodes(now time.Time) []qf.Node {
	return append([]qf.Node{m.self}, m.Peers(now)...)
}

// HeartbeatAge returns how long ago the node's last heartbeat was received; it is zero
// for the node itself and for unknown nodes.
func (m *Membership) HeartbeatAge(now time.Time, id qf.NodeID) time.Duration {
	p, ok := m.peers[id]
	if !ok {
		return 0
	}
	return now.Sub(p.updatedAt)
}
