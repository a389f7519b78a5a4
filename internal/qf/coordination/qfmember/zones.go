package qfmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const (
	// gossipRelaysPerZone is the number of members of a zone that exchange with other zones.
	gossipRelaysPerZone = 2
	// partnersInZone is the number of members of its own zone with which a node of a large fleet starts
	// exchanges, and partnersInOtherZone those of each other zone for a relay. Each connection costs
	// memory at both ends.
	partnersInZone      = 12
	partnersInOtherZone = 2
	// urgentFactor is the factor by which the targets of an exchange increase after an
	// urgent update.
	urgentFactor = 3
	// gossipSpread is how long a heartbeat may take to spread through all zones.
	gossipSpread = 2 * time.Second
	// departureGossipTime is how long a departure is passed on, and maxRecentDepartures
	// the maximum number in one digest.
	departureGossipTime = 5 * time.Second
	maxRecentDepartures = 128
	// hashBits is the length of a member's hash: the probability that two of 640 members
	// have the same is 2 in 10 million.
	hashBits = 40
)

// zoneView is the aggregated state of another zone.
type zoneView struct {
	// latest is the newest summary; updatedAt is when a relay's higher heartbeat was last
	// received.
	latest    qf.ZoneSummary
	updatedAt time.Time
	// heartbeats holds the newest heartbeat of each relay.
	heartbeats map[qf.NodeID]relayHeartbeat
	// notLive holds the hashes of the members that the summary lists as suspect or leaving.
	notLive map[uint64]bool
}

type relayHeartbeat struct {
	incarnation qf.Incarnation
	heartbeat   uint64
}

func hashOf(n *qf.Node) uint64 {
	return xxhash.Sum64String(string(n.ID)+"\x00"+strconv.FormatUint(uint64(n.Incarnation), 10)) >> (64 - hashBits)
}

// isGrouped reports whether the fleet is too large for full exchanges.
func (m *Membership) isGrouped() bool { return len(m.peers)+1 > m.timing.FullExchangeUpTo }

// suspectAfter returns the timeout after which a peer is suspected. It is longer in a
// large fleet, where heartbeats arrive through other nodes.
func (m *Membership) suspectAfter() time.Duration {
	if m.isGrouped() {
		return m.timing.SuspectAfter + gossipSpread
	}
	return m.timing.SuspectAfter
}

// updateAge returns the age of the latest update of a peer or of its zone, and whether
// the zone's summary lists the peer as suspect or leaving.
func (m *Membership) updateAge(now time.Time, p *member) (time.Duration, bool) {
	age := now.Sub(p.updatedAt)
	if p.node.AvailabilityZone == m.self.AvailabilityZone {
		return age, false
	}
	z := m.zones[p.node.AvailabilityZone]
	if z == nil || !z.updatedAt.After(p.updatedAt) {
		return age, false
	}
	return now.Sub(z.updatedAt), z.notLive[p.hash]
}

// add adds a peer, or replaces an earlier incarnation of it.
func (m *Membership) add(now time.Time, node qf.Node) {
	m.remove(node.ID)
	p := &member{node: node, hash: hashOf(&node), updatedAt: now}
	m.peers[node.ID] = p
	m.byHash[p.hash] = node.ID
	zone := m.byZone[node.AvailabilityZone]
	at, _ := slices.BinarySearchFunc(zone, p, compareMembers)
	m.byZone[node.AvailabilityZone] = slices.Insert(zone, at, p)
}

func (m *Membership) remove(id qf.NodeID) {
	p, ok := m.peers[id]
	if !ok {
		return
	}
	delete(m.byHash, p.hash)
	delete(m.peers, id)
	zone := m.byZone[p.node.AvailabilityZone]
	if at, ok := slices.BinarySearchFunc(zone, p, compareMembers); ok {
		m.byZone[p.node.AvailabilityZone] = slices.Delete(zone, at, at+1)
	}
}

func compareMembers(a, b *member) int { return cmp.Compare(a.node.ID, b.node.ID) }

// ownZone returns the peers of the node's own zone.
func (m *Membership) ownZone() []*member { return m.byZone[m.self.AvailabilityZone] }

// isGossipRelay reports whether this node exchanges with other zones on behalf of its own:
// it is among the live members with the lowest hashes of their identifiers.
func (m *Membership) isGossipRelay(now time.Time) bool {
	before := 0
	own := xxhash.Sum64String(string(m.self.ID))
	for _, p := range m.ownZone() {
		if m.stateOf(now, p) == qf.NodeLive && xxhash.Sum64String(string(p.node.ID)) < own {
			before++
		}
	}
	return before < gossipRelaysPerZone && m.self.State != qf.NodeLeaving
}

// ChooseTargets returns the peers for the next exchange: all of a small fleet; otherwise
// one partner of the own zone and, for a relay, one of another zone. A dead node to probe is
// added to either. After an urgent update there are more.
func (m *Membership) ChooseTargets(now time.Time, random *rand.Rand, isUrgent bool) []qf.Node {
	var targets []qf.Node
	if lost, ok := m.NextProbe(now); ok {
		targets = append(targets, lost)
	}
	if !m.isGrouped() {
		return append(targets, m.Peers(now)...)
	}
	count := 1
	if isUrgent {
		count = urgentFactor
	}
	own := m.partners(now, m.ownZone(), partnersInZone)
	random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets = append(targets, own[:min(count, len(own))]...)
	if m.isGossipRelay(now) || len(own) == 0 {
		targets = append(targets, m.targetsInOtherZones(now, random, count)...)
	}
	return targets
}

// targetsInOtherZones returns one member each of count other zones. Unreachable zones are
// left to NextProbe: while regions are partitioned, each must still exchange with its own
// zones.
func (m *Membership) targetsInOtherZones(now time.Time, random *rand.Rand, count int) []qf.Node {
	var zones []qf.AvailabilityZone
	for zone, members := range m.byZone {
		isReachable := slices.ContainsFunc(members, func(p *member) bool { return m.stateOf(now, p) != qf.NodeDead })
		if zone != m.self.AvailabilityZone && zone != "" && isReachable {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var targets []qf.Node
	for _, zone := range zones[:min(count, len(zones))] {
		partners := m.partners(now, m.byZone[zone], partnersInOtherZone)
		targets = append(targets, partners[random.IntN(len(partners))])
	}
	return targets
}

// FillDigest sets the membership fields of a digest. wants holds the zones whose lists the
// recipient requested.
func (m *Membership) FillDigest(now time.Time, digest *qf.Digest, to qf.Recipient, wants []qf.AvailabilityZone) {
	if !m.isGrouped() {
		digest.Nodes = m.Peers(now)
		digest.Departures = m.Departures(now)
		if m.ReceivesSummaries(now) {
			digest.Wants = m.wants(now)
		}
		return
	}
	digest.Departures = m.recentDepartures(now)
	if to.IsInZone(m.self.AvailabilityZone) {
		digest.Beats = m.heartbeats(now)
	}
	digest.Zones = m.summaries(now)
	digest.Wants = m.wants(now)
	for _, zone := range wants {
		digest.Lists = append(digest.Lists, m.list(now, zone))
	}
}

// ReceivesSummaries reports whether peers send summaries of zones although this node knows few members: then it has
// lost some, and the peers list them only if asked.
func (m *Membership) ReceivesSummaries(now time.Time) bool {
	for _, z := range m.zones {
		if m.isFresh(now, z) {
			return true
		}
	}
	return m.needsOwnZone
}

// isFresh reports whether a relay of a zone still sends summaries.
func (m *Membership) isFresh(now time.Time, z *zoneView) bool {
	return now.Sub(z.updatedAt) < m.timing.DeadAfter
}

// recentDepartures returns the departures that are still passed on.
func (m *Membership) recentDepartures(now time.Time) []qf.Departure {
	var recentDepartures []qf.Departure
	for _, d := range m.Departures(now) {
		if now.Sub(m.departures[d.VM].receivedAt) < departureGossipTime && len(recentDepartures) < maxRecentDepartures {
			recentDepartures = append(recentDepartures, d)
		}
	}
	return recentDepartures
}

func (m *Membership) heartbeats(now time.Time) []qf.MemberHeartbeat {
	heartbeats := []qf.MemberHeartbeat{{
		Member: hashOf(&m.self), Heartbeat: m.self.Heartbeat, Load: m.self.Load, Leaving: m.self.State == qf.NodeLeaving,
	}}
	for _, p := range m.ownZone() {
		if p.node.Incarnation > 0 && m.stateOf(now, p) != qf.NodeDead {
			heartbeats = append(heartbeats, qf.MemberHeartbeat{
				Member: p.hash, Heartbeat: p.node.Heartbeat, Load: p.node.Load, Leaving: p.node.State == qf.NodeLeaving,
			})
		}
	}
	return heartbeats
}

// summaries returns the newest summary of each zone, including a new one of its own zone
// if this node is a relay.
func (m *Membership) summaries(now time.Time) []qf.ZoneSummary {
	var summaries []qf.ZoneSummary
	if m.isGossipRelay(now) {
		summaries = append(summaries, m.summarize(now))
	}
	for zone, z := range m.zones {
		if zone != m.self.AvailabilityZone && m.isFresh(now, z) {
			summaries = append(summaries, z.latest)
		}
	}
	slices.SortFunc(summaries, func(a, b qf.ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return summaries
}

func (m *Membership) summarize(now time.Time) qf.ZoneSummary {
	s := qf.ZoneSummary{
		Zone: m.self.AvailabilityZone, Relay: m.self.ID, Incarnation: m.self.Incarnation, Heartbeat: m.self.Heartbeat,
		Checksum: hashOf(&m.self),
	}
	for _, p := range m.ownZone() {
		if p.node.Incarnation == 0 {
			continue
		}
		state := m.stateOf(now, p)
		if state == qf.NodeDead {
			s.Gone = append(s.Gone, p.hash)
			continue
		}
		s.Checksum ^= p.hash
		if state != qf.NodeLive {
			s.Away = append(s.Away, p.hash)
		}
	}
	return s
}

// wants returns the zones whose member lists are out of date at this node.
func (m *Membership) wants(now time.Time) []qf.AvailabilityZone {
	var wants []qf.AvailabilityZone
	hasUnknown := false
	for _, p := range m.ownZone() {
		hasUnknown = hasUnknown || p.node.Incarnation == 0 && m.stateOf(now, p) != qf.NodeDead
	}
	if m.needsOwnZone || hasUnknown {
		wants = append(wants, m.self.AvailabilityZone)
	}
	for zone, z := range m.zones {
		if zone != m.self.AvailabilityZone && m.checksum(zone) != z.latest.Checksum {
			wants = append(wants, zone)
		}
	}
	slices.Sort(wants)
	return wants
}

func (m *Membership) checksum(zone qf.AvailabilityZone) uint64 {
	sum := uint64(0)
	for _, p := range m.byZone[zone] {
		if p.node.Incarnation > 0 {
			sum ^= p.hash
		}
	}
	return sum
}

func (m *Membership) list(now time.Time, zone qf.AvailabilityZone) qf.ZoneList {
	list := qf.ZoneList{Zone: zone}
	if zone == m.self.AvailabilityZone {
		list.Nodes = append(list.Nodes, m.self)
	}
	for _, p := range m.byZone[zone] {
		if p.node.Incarnation > 0 && (zone != m.self.AvailabilityZone || m.stateOf(now, p) != qf.NodeDead) {
			list.Nodes = append(list.Nodes, p.node)
		}
	}
	return list
}

// ApplyDigest applies the membership fields of a digest. Departures are recorded one by
// one through RecordDeparture.
func (m *Membership) ApplyDigest(now time.Time, digest *qf.Digest) {
	m.RecordNode(now, digest.From)
	for _, node := range digest.Nodes {
		m.RecordNode(now, node)
	}
	for i := range digest.Lists {
		m.applyList(now, &digest.Lists[i])
	}
	for i := range digest.Beats {
		m.applyHeartbeat(now, &digest.Beats[i])
	}
	for i := range digest.Zones {
		m.applySummary(now, &digest.Zones[i])
	}
}

func (m *Membership) applyHeartbeat(now time.Time, b *qf.MemberHeartbeat) {
	id, ok := m.byHash[b.Member]
	if !ok {
		m.needsOwnZone = m.needsOwnZone || b.Member != hashOf(&m.self)
		return
	}
	p := m.peers[id]
	if b.Heartbeat <= p.node.Heartbeat {
		return
	}
	p.node.Heartbeat = b.Heartbeat
	p.node.Load = b.Load
	p.updatedAt = now
	if b.Leaving {
		p.node.State = qf.NodeLeaving
	}
}

func (m *Membership) applySummary(now time.Time, s *qf.ZoneSummary) {
	if s.Zone == m.self.AvailabilityZone {
		return
	}
	z := m.zones[s.Zone]
	if z == nil {
		z = &zoneView{heartbeats: map[qf.NodeID]relayHeartbeat{}}
		m.zones[s.Zone] = z
	}
	last := z.heartbeats[s.Relay]
	if s.Incarnation < last.incarnation || s.Incarnation == last.incarnation && s.Heartbeat <= last.heartbeat {
		return
	}
	z.heartbeats[s.Relay] = relayHeartbeat{incarnation: s.Incarnation, heartbeat: s.Heartbeat}
	z.latest = *s
	z.updatedAt = now
	z.notLive = make(map[uint64]bool, len(s.Away))
	for _, hash := range s.Away {
		z.notLive[hash] = true
	}
	for _, hash := range s.Gone {
		if id, ok := m.byHash[hash]; ok {
			m.remove(id)
		}
	}
}

// applyList records the listed members of a zone. Members of another zone that aren't
// listed are removed if the list matches the zone's newest summary.
func (m *Membership) applyList(now time.Time, list *qf.ZoneList) {
	listed := map[qf.NodeID]bool{}
	sum := uint64(0)
	for i := range list.Nodes {
		listed[list.Nodes[i].ID] = true
		sum ^= hashOf(&list.Nodes[i])
		m.RecordNode(now, list.Nodes[i])
	}
	if list.Zone == m.self.AvailabilityZone {
		m.needsOwnZone = false
		return
	}
	if z := m.zones[list.Zone]; z == nil || z.latest.Checksum != sum {
		return
	}
	for _, p := range slices.Clone(m.byZone[list.Zone]) {
		if !listed[p.node.ID] {
			m.remove(p.node.ID)
		}
	}
}

// IsIsolated reports whether the updates of all peers are so old that the node would
// suspect each of them: then the node itself is cut off. It is false without peers.
func (m *Membership) IsIsolated(now time.Time) bool {
	for _, p := range m.peers {
		if age, _ := m.updateAge(now, p); age < m.suspectAfter() {
			return false
		}
	}
	return len(m.peers) > 0
}
