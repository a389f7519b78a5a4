package entry

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// usageHandoverPeriod is how long after its start a node asks its peers for the usage that they have
	// recorded, each of them once.
	usageHandoverPeriod = 4 * time.Second
	// flushTimeout bounds the last exchange of a node that stops.
	flushTimeout = 400 * time.Millisecond
)

// usageHandover asks peers for the usage of runs that ended before the node started.
type usageHandover struct {
	startedAt time.Time

	mu    sync.Mutex
	asked map[qf.NodeID]bool
}

func newUsageHandover(startedAt time.Time) *usageHandover {
	return &usageHandover{startedAt: startedAt, asked: map[qf.NodeID]bool{}}
}

// isOpen reports whether the node still asks its peers.
func (h *usageHandover) isOpen(now time.Time) bool { return now.Sub(h.startedAt) < usageHandoverPeriod }

// shouldAsk reports whether a peer is to be asked now. It returns true once for each peer.
func (h *usageHandover) shouldAsk(now time.Time, peer qf.NodeID) bool {
	if !h.isOpen(now) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	wasAsked := h.asked[peer]
	h.asked[peer] = true
	return !wasAsked
}

// wantsUsageOf reports whether a peer is to be asked now for the usage that it has recorded. In a large fleet only
// peers of the own zone are: relays sum their zone's nodes.
func (e *Entry) wantsUsageOf(now time.Time, peer *qf.Node, isGrouped bool) bool {
	if isGrouped && peer.AvailabilityZone != e.deployment.Self.AvailabilityZone {
		return false
	}
	// Nodes that stop may send their counts to the former relay for a moment.
	isNewRelay := isGrouped && e.isRelay.Load() && e.usageHandover.isOpen(now)
	return e.usageHandover.shouldAsk(now, peer.ID) || isNewRelay
}

// listUsageRecords returns the usage of single nodes that this one has recorded.
func (e *Entry) listUsageRecords() []qf.UsageRecord {
	since := e.fleetClock.fleetTime(e.now()).Add(-usageTallyPeriod)
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	return e.admission.usage.ListRecords(since, &e.deployment.Self)
}

// mergeUsageRecords merges the usage that a peer has recorded.
func (e *Entry) mergeUsageRecords(records []qf.UsageRecord) {
	if len(records) == 0 {
		return
	}
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	e.admission.usage.MergeRecords(&e.deployment.Self, records)
}

// flushUsage sends the counts of a node that stops: to all peers of a small fleet, in a large one to its relay and to the
// nodes that may become it.
func (e *Entry) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	now := e.now()
	e.mu.Lock()
	isGrouped, relays, peers := e.membership.IsGrouped(), e.membership.Relays(now, e.hasRelayFailed(now)), e.membership.Peers(now)
	e.mu.Unlock()
	if isGrouped {
		peers = relays.Deputies
	}
	records := e.listUsageRecords()
	var wait sync.WaitGroup
	for i := range peers {
		peer := &peers[i]
		wait.Go(func() { e.sendUsage(ctx, peer, records) })
	}
	wait.Wait()
}

// sendUsage sends recorded usage to a peer.
func (e *Entry) sendUsage(ctx context.Context, to *qf.Node, records []qf.UsageRecord) {
	d := e.buildTallyDigest(to)
	d.UsageRecords = records
	if _, err := e.platform.Peer.ExchangeDigests(ctx, to.PeerAddress, d); err != nil {
		qfevent.PeerFailed.Log(&e.platform.Logger, to.PeerAddress, err)
	}
}

// sumZoneUsage returns the usage of the nodes of this one's zone, without one of them.
func (e *Entry) sumZoneUsage(without *qf.Node) []qf.UsageCount {
	since := e.fleetClock.fleetTime(e.now()).Add(-usageTallyPeriod)
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	return e.admission.usage.BuildTally(since, qf.TallyZone, without)
}

// mergeZoneUsage merges the usage of a relay's zone.
func (e *Entry) mergeZoneUsage(from *qf.Node, counts []qf.UsageCount) {
	if len(counts) == 0 {
		return
	}
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	e.admission.usage.MergeTally(qf.TallySource{Scope: qf.TallyZone, Zone: from.AvailabilityZone}, counts)
}

// collectZoneUsage asks the relays of all zones of a large fleet for the usage of their zones: what reaches this node
// otherwise is one sum of all zones, from a relay that may have started a moment ago.
func (e *Entry) collectZoneUsage(ctx context.Context) {
	e.mu.Lock()
	isGrouped, relays := e.membership.IsGrouped(), e.relays
	e.mu.Unlock()
	if !isGrouped {
		return
	}
	asked := relays.Others
	if !relays.IsSelf {
		asked = append([]qf.Node{relays.Own}, asked...)
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i := range asked {
		relay := &asked[i]
		wait.Go(func() {
			now := e.now()
			d := qf.Digest{From: e.self(), SentAt: e.fleetClock.localTime(now), Store: e.storeEra.get(), WantsZoneUsage: true}
			answer, err := e.platform.Peer.ExchangeDigests(ctx, relay.PeerAddress, d)
			if err != nil {
				qfevent.PeerFailed.Log(&e.platform.Logger, relay.PeerAddress, err)
				return
			}
			e.mergeZoneUsage(&answer.From, answer.ZoneUsage)
		})
	}
	wait.Wait()
}
