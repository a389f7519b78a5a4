package qflimit

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// quotaSilentAfter is how long a node's uses may be silent before its even part
	// of each quota is left to it.
	quotaSilentAfter = 1500 * time.Millisecond
	// firstLevel is the part of its burst that a quota starts with, because the nodes
	// before a restart may have spent it.
	firstLevel = 0.5
	// leastReturn and mostReturn bound when a refused caller should come back.
	leastReturn = 50 * time.Millisecond
	mostReturn  = 5 * time.Second
)

// Quotas bounds what each organisation uses at all nodes together. Each node keeps
// the whole bucket and takes from it what its peers tell that they have used; news
// that comes late leaves the bucket in debt, which is paid before anything more is
// admitted. It does no I/O, reads no clock, and isn't safe for concurrent use.
type Quotas struct {
	buckets map[qf.Organisation]*quota
	peers   map[qf.NodeID]*quotaPeer
	// nodes is the number of nodes that aren't known to be gone, this one included.
	nodes int
}

// quota is an organisation's bucket.
type quota struct {
	rate, burst float64
	// level is below 0 while there is debt.
	level float64
	at    time.Time
	// used is what this node admitted.
	used float64
}

// quotaPeer is what a peer told.
type quotaPeer struct {
	incarnation qf.Incarnation
	heardAt     time.Time
	used        map[qf.Organisation]float64
}

// NewQuotas returns quotas without organisations.
func NewQuotas() *Quotas {
	return &Quotas{buckets: map[qf.Organisation]*quota{}, peers: map[qf.NodeID]*quotaPeer{}, nodes: 1}
}

// SetOrganisations replaces the quotas. What was used stays.
func (q *Quotas) SetOrganisations(now time.Time, organisations []qf.OrganisationTraits) {
	known := q.buckets
	q.buckets = make(map[qf.Organisation]*quota, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		if o.UnitsPerSecond <= 0 {
			continue
		}
		b := known[o.Organisation]
		if b == nil {
			b = &quota{level: o.Burst * firstLevel, at: now}
		}
		b.fill(now, q.part(now))
		b.rate, b.burst = o.UnitsPerSecond, max(o.Burst, o.UnitsPerSecond)
		b.level = min(b.level, b.burst)
		q.buckets[o.Organisation] = b
	}
}

// SetNodes sets the peers that aren't known to be gone.
func (q *Quotas) SetNodes(peers []qf.NodeID) {
	q.nodes = len(peers) + 1
	known := q.peers
	q.peers = make(map[qf.NodeID]*quotaPeer, len(peers))
	for _, id := range peers {
		if known[id] != nil {
			q.peers[id] = known[id]
		}
	}
}

// part is the share of a quota that this node may fill its bucket with: the parts of
// peers whose uses aren't heard are theirs.
func (q *Quotas) part(now time.Time) float64 {
	heard := 1
	for _, p := range q.peers {
		if now.Sub(p.heardAt) <= quotaSilentAfter {
			heard++
		}
	}
	return min(float64(heard)/float64(max(q.nodes, 1)), 1)
}

func (b *quota) fill(now time.Time, part float64) {
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	if elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate*part, b.burst)
	}
}

// Admit takes units from an organisation's quota, or returns when there will be
// enough. Organisations without a quota are always admitted.
func (q *Quotas) Admit(now time.Time, organisation qf.Organisation, units float64) (admitted bool, retryAfter time.Duration) {
	b := q.buckets[organisation]
	if b == nil {
		return true, 0
	}
	part := q.part(now)
	b.fill(now, part)
	if needed := min(units, b.burst); b.level < needed {
		wait := time.Duration((needed - b.level) / (b.rate * part) * float64(time.Second))
		return false, min(max(wait, leastReturn), mostReturn)
	}
	b.level -= units
	b.used += units
	return true, 0
}

// Uses returns what this node has admitted, for peers.
func (q *Quotas) Uses() []qf.QuotaUse {
	uses := make([]qf.QuotaUse, 0, len(q.buckets))
	for organisation, b := range q.buckets {
		if b.used > 0 {
			uses = append(uses, qf.QuotaUse{Organisation: organisation, Units: b.used})
		}
	}
	return uses
}

// Heard takes what a peer has used since its incarnation started.
func (q *Quotas) Heard(now time.Time, node qf.NodeID, incarnation qf.Incarnation, uses []qf.QuotaUse) {
	p := q.peers[node]
	if p == nil || incarnation > p.incarnation {
		p = &quotaPeer{incarnation: incarnation, used: map[qf.Organisation]float64{}}
		q.peers[node] = p
	}
	if incarnation < p.incarnation {
		return
	}
	p.heardAt = now
	part := q.part(now)
	for _, use := range uses {
		before, isKnown := p.used[use.Organisation]
		p.used[use.Organisation] = max(use.Units, before)
		b := q.buckets[use.Organisation]
		if b == nil {
			continue
		}
		// A peer that is heard for the first time may have used much of it long ago.
		if more := use.Units - before; more > 0 && (isKnown || more < b.burst) {
			b.fill(now, part)
			b.level -= more
		}
	}
}
