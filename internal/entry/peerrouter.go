package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfplace"
	"quetzalfront/internal/qf/coordination/qfreach"
)

const (
	// cutOffReportExpiry is the age at which a peer's report that it doesn't reach endpoints is
	// dropped: peers repeat it with each exchange.
	cutOffReportExpiry = 3 * time.Second
	// unusablePeerFor is how long a node gets no requests after it couldn't serve one.
	unusablePeerFor = time.Second
)

// peerRouter implements qf.PeerRouter.
type peerRouter struct {
	entry *Entry
	// fromPeers is the number of requests of peers in progress.
	fromPeers atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	peers  map[qf.NodeID]*peerReach
}

// peerReach is what is known of a peer as a way to endpoints.
type peerReach struct {
	// cutOff lists the entries that it doesn't reach, as of reportedAt.
	cutOff     []qf.EntryName
	isCutOff   bool
	reportedAt time.Time
	// unusableUntil is when it may get requests again.
	unusableUntil time.Time
	inProgress    int
}

func newPeerRouter(e *Entry) *peerRouter {
	return &peerRouter{entry: e, random: e.newRandom(), peers: map[qf.NodeID]*peerReach{}}
}

// IsCutOff implements qf.PeerRouter.
func (r *peerRouter) IsCutOff(entries []qf.WeightedEntry) bool {
	for i := range entries {
		if r.entry.monitor.isCutOff(entries[i].Entry) {
			return true
		}
	}
	return false
}

// MayAccept implements qf.PeerRouter.
func (r *peerRouter) MayAccept() bool {
	return qfreach.MayAcceptFromPeers(int(r.fromPeers.Load()), int(r.entry.inProgress.Load()))
}

// PickPeer implements qf.PeerRouter.
func (r *peerRouter) PickPeer(query *qf.PeerQuery) (qf.Node, bool) {
	e, now, entries, excluded := r.entry, query.Now, query.Entries, query.Excluded
	e.mu.Lock()
	self, nodes, isGrouped := e.membership.Self(), e.membership.Peers(now), e.membership.IsGrouped()
	e.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates, leaving []qfreach.Candidate
	for i := range nodes {
		node := &nodes[i]
		if isStarting(node, isGrouped) || slices.Contains(excluded, node.ID) || !qfplace.MayBeIn(&query.Residency, node.Region) {
			continue
		}
		known := r.peers[node.ID]
		if known != nil && !known.isUsable(now, entries) {
			continue
		}
		candidate := qfreach.Candidate{Node: *node}
		if known != nil {
			candidate.InProgress = known.inProgress
		}
		switch node.State {
		case qf.NodeLive:
			candidates = append(candidates, candidate)
		case qf.NodeLeaving:
			leaving = append(leaving, candidate)
		}
	}
	if len(candidates) == 0 {
		candidates = leaving // They go on serving for a while.
	}
	node, ok := qfreach.ChoosePeer(r.random, &self, qfreach.PreferOtherZones(candidates, zonesOf(nodes, excluded)))
	if ok {
		r.get(node.ID).inProgress++
	}
	return node, ok
}

// isStarting reports whether a node has no configuration yet. In a large fleet the revision that is known of
// most nodes is that of their start and says nothing; one without a configuration refuses what it gets.
func isStarting(node *qf.Node, isGrouped bool) bool {
	return !isGrouped && node.CatalogueRevision == 0
}

// PickHolder implements qf.PeerRouter.
func (r *peerRouter) PickHolder(query *qf.PeerQuery) (qf.Node, bool) {
	now, entries := query.Now, query.Entries
	r.mu.Lock()
	drawn := r.random.Uint64()
	r.mu.Unlock()
	holder, ok := r.entry.picker.findHolder(now, entries, drawn)
	if !ok || holder == r.entry.deployment.Self.ID {
		return qf.Node{}, false
	}
	e := r.entry
	e.mu.Lock()
	nodes := e.membership.Peers(now)
	e.mu.Unlock()
	index := slices.IndexFunc(nodes, func(n qf.Node) bool { return n.ID == holder && n.State == qf.NodeLive })
	if index < 0 || !qfplace.MayBeIn(&query.Residency, nodes[index].Region) {
		return qf.Node{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.get(holder)
	if !known.isUsable(now, entries) {
		return qf.Node{}, false
	}
	known.inProgress++
	return nodes[index], true
}

// zonesOf returns the availability zones of some nodes.
func zonesOf(nodes []qf.Node, ids []qf.NodeID) map[qf.AvailabilityZone]bool {
	zones := map[qf.AvailabilityZone]bool{}
	for i := range nodes {
		if slices.Contains(ids, nodes[i].ID) {
			zones[nodes[i].AvailabilityZone] = true
		}
	}
	return zones
}

// isUsable reports whether requests for the entries may be passed to the peer.
func (p *peerReach) isUsable(now time.Time, entries []qf.WeightedEntry) bool {
	if now.Before(p.unusableUntil) {
		return false
	}
	if now.Sub(p.reportedAt) > cutOffReportExpiry {
		return true
	}
	return !slices.ContainsFunc(entries, func(e qf.WeightedEntry) bool { return slices.Contains(p.cutOff, e.Entry) })
}

// get returns what is known of a peer. The caller must hold r.mu.
func (r *peerRouter) get(id qf.NodeID) *peerReach {
	if r.peers[id] == nil {
		r.peers[id] = &peerReach{}
	}
	return r.peers[id]
}

// RecordPeerEnd implements qf.PeerRouter.
func (r *peerRouter) RecordPeerEnd(now time.Time, node qf.NodeID, isUsable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.get(node)
	known.inProgress--
	if !isUsable {
		known.unusableUntil = now.Add(unusablePeerFor)
	}
}

// recordReport records which entries a peer doesn't reach.
func (r *peerRouter) recordReport(now time.Time, d *qf.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(d.CutOff) == 0 && r.peers[d.From.ID] == nil {
		return
	}
	known := r.get(d.From.ID)
	known.cutOff, known.isCutOff, known.reportedAt = d.CutOff, d.IsCutOff, now
}

// listCutOff returns the peers that reach no endpoints.
func (r *peerRouter) listCutOff(now time.Time) map[qf.NodeID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[qf.NodeID]bool{}
	for id, known := range r.peers {
		if known.isCutOff && now.Sub(known.reportedAt) <= cutOffReportExpiry {
			list[id] = true
		}
	}
	return list
}
