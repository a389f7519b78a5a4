// Package qfmember keeps a node's view of the other nodes: who is live, suspect,
// leaving or dead. It does no I/O and reads no clock.
package qfmember

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// Timing says after how long without news a node is suspected and given up.
type Timing struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// FullExchangeUpTo is the greatest number of nodes that all tell each other
	// everything.
	FullExchangeUpTo int
}

// Membership is one node's view of all nodes. It isn't safe for concurrent use.
type Membership struct {
	timing Timing
	self   qf.Node
	peers  map[qf.NodeID]*member
	// departures only grow: news of leaving is never taken back for one
	// incarnation.
	departures map[qf.VMID]departure
	// byHash finds peers by the hashes in beats and summaries.
	byHash map[uint64]qf.NodeID
	zones  map[qf.AvailabilityZone]*zoneView
	// byZone holds the peers of each zone, ordered by identifier.
	byZone map[qf.AvailabilityZone][]*member
	// wantsOwn is true if a beat of a member came that isn't known.
	wantsOwn bool
	// beatAt is when the node last raised its heartbeat.
	beatAt time.Time
}

type member struct {
	node qf.Node
	hash uint64
	// newsAt is when the heartbeat last rose.
	newsAt time.Time
	// probedAt is when a dead node was last tried.
	probedAt time.Time
}

type departure struct {
	incarnation qf.Incarnation
	leaveAt     time.Time
	learntAt    time.Time
	// isAssumed is true if nobody said when the VM is taken.
	isAssumed bool
}

// assumedNotice is the time until a VM is taken of which only the endpoint said
// that it leaves.
const assumedNotice = 2 * time.Second

// New returns a view that knows only the node itself.
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

// RaiseHeartbeat raises the node's own heartbeat and sets what it tells of itself. It returns
// how long the node was paused, if it was: what it then finds old is so because it
// wasn't listening, and counts as fresh for once.
func (m *Membership) RaiseHeartbeat(now time.Time, revision qf.Revision, load int) time.Duration {
	pause := time.Duration(0)
	if gap := now.Sub(m.beatAt); !m.beatAt.IsZero() && gap >= m.timing.SuspectAfter {
		pause = gap
		for _, p := range m.peers {
			p.newsAt = p.newsAt.Add(gap)
		}
		for _, z := range m.zones {
			z.newsAt = z.newsAt.Add(gap)
		}
	}
	m.beatAt = now
	m.self.Heartbeat++
	m.self.CatalogueRevision = revision
	m.self.Load = load
	return pause
}

// MarkLeaving marks the node itself as leaving. It is never undone.
func (m *Membership) MarkLeaving() { m.self.State = qf.NodeLeaving }

// Self returns the node itself.
func (m *Membership) Self() qf.Node { return m.self }

// RecordNode takes what a peer says of a node. Only a higher incarnation or heartbeat
// is news.
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
	known.newsAt = now
}

// AddSeed makes an address known from the VM list before its node was heard.
func (m *Membership) AddSeed(now time.Time, node qf.Node) {
	if _, ok := m.peers[node.ID]; ok || node.ID == m.self.ID {
		return
	}
	m.add(now, node)
}

// RecordDeparture takes news that a VM leaves. It reports whether that was news.
// The time of a departure that was only assumed is corrected when it is told.
func (m *Membership) RecordDeparture(now time.Time, d qf.Departure) bool {
	known, ok := m.departures[d.VM]
	if ok && known.incarnation >= d.Incarnation {
		if known.isAssumed && d.In != 0 && known.incarnation == d.Incarnation {
			m.departures[d.VM] = departure{incarnation: d.Incarnation, leaveAt: now.Add(d.In), learntAt: now}
		}
		return false
	}
	news := departure{incarnation: d.Incarnation, leaveAt: now.Add(d.In), learntAt: now}
	if d.In == 0 {
		news.leaveAt = now.Add(assumedNotice)
		news.isAssumed = true
	}
	m.departures[d.VM] = news
	return true
}

// isUnderNotice reports whether a node's VM is known to leave. Incarnations of
// nodes are the times of their starts in milliseconds and can't be compared with
// the cloud's; a node that started after the VM's last reclaim is of a later
// incarnation.
func (m *Membership) isUnderNotice(node *qf.Node) bool {
	d, ok := m.departures[qf.VMID(node.ID)]
	return ok && d.leaveAt.UnixMilli() > int64(node.Incarnation)
}

// IsSelfLeaving reports whether news that a VM leaves is about this node.
func (m *Membership) IsSelfLeaving(now time.Time, d qf.Departure) bool {
	return qf.NodeID(d.VM) == m.self.ID && now.Add(d.In).UnixMilli() > int64(m.self.Incarnation)
}

// Departures returns the news of leaving for peers.
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

// IsDeparting reports whether a VM's incarnation is known to leave.
func (m *Membership) IsDeparting(vm qf.VMID, incarnation qf.Incarnation) bool {
	d, ok := m.departures[vm]
	return ok && d.incarnation >= incarnation
}

// DepartureTime returns when a VM's incarnation is taken, if it is known to leave.
func (m *Membership) DepartureTime(vm qf.VMID, incarnation qf.Incarnation) (time.Time, bool) {
	d, ok := m.departures[vm]
	return d.leaveAt, ok && d.incarnation >= incarnation
}

// stateOf derives a peer's state from the age of its news.
func (m *Membership) stateOf(now time.Time, p *member) qf.NodeState {
	age, isAway := m.newsAge(now, p)
	switch {
	case age >= m.timing.DeadAfter:
		return qf.NodeDead
	case p.node.State == qf.NodeLeaving || m.isUnderNotice(&p.node):
		return qf.NodeLeaving
	case isAway || age >= m.suspectAfter():
		return qf.NodeSuspect
	default:
		return qf.NodeLive
	}
}

// Peers returns the other nodes that aren't dead, ordered by identifier.
func (m *Membership) Peers(now time.Time) []qf.Node {
	var nodes []qf.Node
	for _, p := range m.peers {
		node := p.node
		node.State = m.stateOf(now, p)
		if node.State != qf.NodeDead {
			nodes = append(nodes, node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	return nodes
}

// forgetAfter is how long a node is dead until it is forgotten, unless the VM list
// still names it.
const forgetAfter = 10 * time.Minute

// NextProbe returns the dead node that wasn't tried for the longest time, so that nodes
// which lost each other for a while find each other again.
func (m *Membership) NextProbe(now time.Time) (qf.Node, bool) {
	var next *member
	for id, p := range m.peers {
		if m.stateOf(now, p) != qf.NodeDead {
			continue
		}
		if now.Sub(p.newsAt) > forgetAfter {
			m.forget(id)
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

// HeartbeatAge returns how long ago the node's heartbeat last rose; it is zero for the
// node itself.
func (m *Membership) HeartbeatAge(now time.Time, id qf.NodeID) time.Duration {
	p, ok := m.peers[id]
	if !ok {
		return 0
	}
	return now.Sub(p.newsAt)
}
