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
	// relaysPerZone is how many members of a zone speak for it to others.
	relaysPerZone = 2
	// urgentFactor is how many times as many peers an exchange has that follows
	// urgent news.
	urgentFactor = 3
	// gossipSpread is how long a heartbeat may take through a zone and to others.
	gossipSpread = 2 * time.Second
	// rumorFor is how long departures are passed on, and maxRumors how many at once.
	rumorFor  = 5 * time.Second
	maxRumors = 128
	// hashBits is the length of a member's hash: two of 640 members share one with a
	// chance of 2 in 10 million.
	hashBits = 40
)

// zoneView is what is known of another zone as a whole.
type zoneView struct {
	// latest is the newest summary; newsAt is when any relay's heartbeat rose.
	latest qf.ZoneSummary
	newsAt time.Time
	// heard holds the newest heartbeat of each relay.
	heard map[qf.NodeID]relayMark
	away  map[uint64]bool
}

type relayMark struct {
	incarnation qf.Incarnation
	heartbeat   uint64
}

func hashOf(n *qf.Node) uint64 {
	return xxhash.Sum64String(string(n.ID)+"\x00"+strconv.FormatUint(uint64(n.Incarnation), 10)) >> (64 - hashBits)
}

// isGrouped reports whether the fleet is too large for everybody to tell everybody
// everything.
func (m *Membership) isGrouped() bool { return len(m.peers)+1 > m.timing.FullExchangeUpTo }

// suspectAfter is longer in a large fleet, where heartbeats come through others.
func (m *Membership) suspectAfter() time.Duration {
	if m.isGrouped() {
		return m.timing.SuspectAfter + gossipSpread
	}
	return m.timing.SuspectAfter
}

// newsAge returns the age of the latest news of a peer, its own or its zone's, and
// whether its zone said that it is suspect or leaving.
func (m *Membership) newsAge(now time.Time, p *member) (time.Duration, bool) {
	age := now.Sub(p.newsAt)
	z := m.zones[p.node.AvailabilityZone]
	if z == nil || p.node.AvailabilityZone == m.self.AvailabilityZone || !z.newsAt.After(p.newsAt) {
		return age, false
	}
	return now.Sub(z.newsAt), z.away[p.hash]
}

// add adds a peer, or replaces an earlier incarnation of it.
func (m *Membership) add(now time.Time, node qf.Node) {
	m.forget(node.ID)
	p := &member{node: node, hash: hashOf(&node), newsAt: now}
	m.peers[node.ID] = p
	m.byHash[p.hash] = node.ID
	zone := m.byZone[node.AvailabilityZone]
	at, _ := slices.BinarySearchFunc(zone, p, compareMembers)
	m.byZone[node.AvailabilityZone] = slices.Insert(zone, at, p)
}

func (m *Membership) forget(id qf.NodeID) {
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

// isRelay reports whether this node speaks for its zone: it is among the live
// members whose names' hashes are lowest.
func (m *Membership) isRelay(now time.Time) bool {
	before := 0
	own := xxhash.Sum64String(string(m.self.ID))
	for _, p := range m.ownZone() {
		if m.stateOf(now, p) == qf.NodeLive && xxhash.Sum64String(string(p.node.ID)) < own {
			before++
		}
	}
	return before < relaysPerZone && m.self.State != qf.NodeLeaving
}

// ChooseTargets returns the peers for the next exchange: all of a small fleet; else one
// of the own zone, for a relay one of another zone too, and one that was lost. After
// urgent news there are more.
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
	var own []qf.Node
	for _, p := range m.ownZone() {
		if m.stateOf(now, p) != qf.NodeDead {
			own = append(own, p.node)
		}
	}
	random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets = append(targets, own[:min(count, len(own))]...)
	if m.isRelay(now) || len(own) == 0 {
		targets = append(targets, m.foreign(now, random, count)...)
	}
	return targets
}

// foreign returns one member of each of so many other zones. Zones of which nothing
// is heard any more are left to NextProbe: while regions have lost each other, each must
// go on hearing its own zones.
func (m *Membership) foreign(now time.Time, random *rand.Rand, count int) []qf.Node {
	var zones []qf.AvailabilityZone
	for zone, members := range m.byZone {
		isHeard := slices.ContainsFunc(members, func(p *member) bool { return m.stateOf(now, p) != qf.NodeDead })
		if zone != m.self.AvailabilityZone && zone != "" && isHeard {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var targets []qf.Node
	for _, zone := range zones[:min(count, len(zones))] {
		members := m.byZone[zone]
		targets = append(targets, members[random.IntN(len(members))].node)
	}
	return targets
}

// FillDigest sets what an exchange with a peer tells of members. wants is what the peer
// asked for.
func (m *Membership) FillDigest(now time.Time, digest *qf.Digest, to *qf.Node, wants []qf.AvailabilityZone) {
	if !m.isGrouped() {
		digest.Nodes = m.Peers(now)
		digest.Departures = m.Departures(now)
		return
	}
	digest.Departures = m.rumors(now)
	if to.AvailabilityZone == m.self.AvailabilityZone {
		digest.Beats = m.beats(now)
	}
	digest.Zones = m.summaries(now)
	digest.Wants = m.wants(now)
	for _, zone := range wants {
		digest.Lists = append(digest.Lists, m.list(now, zone))
	}
}

// rumors returns the latest departures.
func (m *Membership) rumors(now time.Time) []qf.Departure {
	var rumors []qf.Departure
	for _, d := range m.Departures(now) {
		if now.Sub(m.departures[d.VM].learntAt) < rumorFor && len(rumors) < maxRumors {
			rumors = append(rumors, d)
		}
	}
	return rumors
}

func (m *Membership) beats(now time.Time) []qf.MemberHeartbeat {
	beats := []qf.MemberHeartbeat{{
		Member: hashOf(&m.self), Heartbeat: m.self.Heartbeat, Load: m.self.Load, Leaving: m.self.State == qf.NodeLeaving,
	}}
	for _, p := range m.ownZone() {
		if p.node.Incarnation > 0 && m.stateOf(now, p) != qf.NodeDead {
			beats = append(beats, qf.MemberHeartbeat{
				Member: p.hash, Heartbeat: p.node.Heartbeat, Load: p.node.Load, Leaving: p.node.State == qf.NodeLeaving,
			})
		}
	}
	return beats
}

// summaries returns the newest summary of each zone, the own one made anew if this
// node is a relay.
func (m *Membership) summaries(now time.Time) []qf.ZoneSummary {
	var summaries []qf.ZoneSummary
	if m.isRelay(now) {
		summaries = append(summaries, m.summarize(now))
	}
	for zone, z := range m.zones {
		if zone != m.self.AvailabilityZone && now.Sub(z.newsAt) < m.timing.DeadAfter {
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

// wants returns the zones whose members this node doesn't know as they are.
func (m *Membership) wants(now time.Time) []qf.AvailabilityZone {
	var wants []qf.AvailabilityZone
	isUnheard := false
	for _, p := range m.ownZone() {
		isUnheard = isUnheard || p.node.Incarnation == 0 && m.stateOf(now, p) != qf.NodeDead
	}
	if m.wantsOwn || isUnheard {
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

// ApplyDigest learns what an exchange tells of members. Departures are learnt one by one
// through RecordDeparture.
func (m *Membership) ApplyDigest(now time.Time, digest *qf.Digest) {
	m.RecordNode(now, digest.From)
	for _, node := range digest.Nodes {
		m.RecordNode(now, node)
	}
	for i := range digest.Lists {
		m.takeList(now, &digest.Lists[i])
	}
	for i := range digest.Beats {
		m.takeBeat(now, &digest.Beats[i])
	}
	for i := range digest.Zones {
		m.takeSummary(now, &digest.Zones[i])
	}
}

func (m *Membership) takeBeat(now time.Time, b *qf.MemberHeartbeat) {
	id, ok := m.byHash[b.Member]
	if !ok {
		m.wantsOwn = m.wantsOwn || b.Member != hashOf(&m.self)
		return
	}
	p := m.peers[id]
	if b.Heartbeat <= p.node.Heartbeat {
		return
	}
	p.node.Heartbeat = b.Heartbeat
	p.node.Load = b.Load
	p.newsAt = now
	if b.Leaving {
		p.node.State = qf.NodeLeaving
	}
}

func (m *Membership) takeSummary(now time.Time, s *qf.ZoneSummary) {
	if s.Zone == m.self.AvailabilityZone {
		return
	}
	z := m.zones[s.Zone]
	if z == nil {
		z = &zoneView{heard: map[qf.NodeID]relayMark{}}
		m.zones[s.Zone] = z
	}
	mark := z.heard[s.Relay]
	if s.Incarnation < mark.incarnation || s.Incarnation == mark.incarnation && s.Heartbeat <= mark.heartbeat {
		return
	}
	z.heard[s.Relay] = relayMark{incarnation: s.Incarnation, heartbeat: s.Heartbeat}
	z.latest = *s
	z.newsAt = now
	z.away = make(map[uint64]bool, len(s.Away))
	for _, hash := range s.Away {
		z.away[hash] = true
	}
	for _, hash := range s.Gone {
		if id, ok := m.byHash[hash]; ok {
			m.forget(id)
		}
	}
}

// takeList learns the members of a zone. Those of another zone that its newest
// summary doesn't count are forgotten.
func (m *Membership) takeList(now time.Time, list *qf.ZoneList) {
	listed := map[qf.NodeID]bool{}
	sum := uint64(0)
	for i := range list.Nodes {
		listed[list.Nodes[i].ID] = true
		sum ^= hashOf(&list.Nodes[i])
		m.RecordNode(now, list.Nodes[i])
	}
	if list.Zone == m.self.AvailabilityZone {
		m.wantsOwn = false
		return
	}
	if z := m.zones[list.Zone]; z == nil || z.latest.Checksum != sum {
		return
	}
	for _, p := range slices.Clone(m.byZone[list.Zone]) {
		if !listed[p.node.ID] {
			m.forget(p.node.ID)
		}
	}
}

// IsIsolated reports whether the node has peers and has heard of none of them for so
// long that it would suspect each: the node itself is cut off.
func (m *Membership) IsIsolated(now time.Time) bool {
	for _, p := range m.peers {
		if age, _ := m.newsAge(now, p); age < m.suspectAfter() {
			return false
		}
	}
	return len(m.peers) > 0
}
