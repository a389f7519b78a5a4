package qf

import (
	"context"
	"net/netip"
	"time"
)

// NodeState is the state of an entry node as observed by its peers.
type NodeState string

// The states of a node. Leaving never becomes Live again for one incarnation.
const (
	NodeLive    NodeState = "Live"
	NodeSuspect NodeState = "Suspect"
	NodeLeaving NodeState = "Leaving"
	NodeDead    NodeState = "Dead"
)

// Node describes an entry node.
type Node struct {
	ID               NodeID
	Incarnation      Incarnation
	Region           Region
	AvailabilityZone AvailabilityZone
	// CallerAddress is where callers connect, PeerAddress where nodes do.
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	State         NodeState
	// Heartbeat rises while the node runs.
	Heartbeat uint64
	// CatalogueRevision is the newest revision that the node has in force.
	CatalogueRevision Revision
	// CatalogueAge is how long before the message was sent the revision was last
	// confirmed as the newest.
	CatalogueAge time.Duration
	// Load is the node's number of requests in progress.
	Load int
}

// Departure announces that a VM is leaving. It is never withdrawn for the same
// incarnation.
type Departure struct {
	VM          VMID
	Incarnation Incarnation
	// In is the time from the message's sending until the VM leaves; 0 means unknown.
	In time.Duration
}

// RolloutStop announces that a version of an entry must get no further exposure. A
// message with the same or a lower Epoch never undoes a stop.
type RolloutStop struct {
	Entry   EntryName
	Version Version
	Epoch   uint64
	Reason  string
}

// LimitUse is one node's use of, and demand for, a limit.
type LimitUse struct {
	Node  NodeID
	Limit string
	// Demand and Used are in the limit's units per second.
	Demand, Used float64
	// Share is the part of the limit that is allocated to the node. No other node may
	// use it.
	Share float64
	// Sequence rises with each report of a node.
	Sequence uint64
}

// InFlightLoad is one node's load in progress at an endpoint.
type InFlightLoad struct {
	Node     NodeID
	Endpoint EndpointID
	Running  int
	// Tokens are the prompt tokens that the endpoint has yet to compute for the
	// node.
	Tokens   int
	Sequence uint64
	// Answered means that the node recently got an answer from the endpoint,
	// Failing that the node's attempts there fail.
	Answered bool
	Failing  bool
}

// Suspicion reports that requests with a fingerprint were in progress at endpoints
// that died.
type Suspicion struct {
	Fingerprint uint64
	// Deaths lists the endpoints that died with the fingerprint in progress.
	Deaths []EndpointID
	// Cleared lists those of the deaths that a later successful answer to the request
	// showed not to be caused by it. Both lists only grow.
	Cleared []EndpointID
	// Age is the time since the fingerprint's latest change.
	Age time.Duration
	// Expired lists those of the deaths for which the request was refused until it was tried, Relapses
	// counts the trials.
	Expired  []EndpointID
	Relapses int
	// TrialAge is the time since the latest trial; 0 means never.
	TrialAge time.Duration
}

// DeathID identifies the end of one incarnation of an endpoint.
type DeathID uint32

// PartSuspicion reports that requests with a part of a prompt were in progress at endpoints
// that died.
type PartSuspicion struct {
	// Part is the fingerprint of the part at an entry.
	Part uint64
	// Deaths lists the deaths that count against the part, Cleared those that don't, because an
	// answer on the part was received.
	Deaths, Cleared []DeathID
	// FirstAge and Age are the times since the first and the latest death that counts.
	FirstAge, Age time.Duration
	// TrialAge is the time since a request with the part was last tried although the part is
	// refused; 0 means never. Trials counts those that ended with another death.
	TrialAge time.Duration
	Trials   int
}

// QuotaUse is how much of an organisation's quota was used at the nodes that a tally
// covers. It only rises during one run of the sender.
type QuotaUse struct {
	Organisation Organisation
	Units        float64
	// Recent is the part of the units that was used in the last seconds. A receiver that has no
	// earlier tally of the sender counts it, because Units alone doesn't show what is new.
	Recent float64
}

// UsageCount counts the requests of an organisation that started to run in a window at
// the nodes that a tally covers.
type UsageCount struct {
	Window       int64
	Organisation Organisation
	Count        int
}

// UsageRecord is the usage of one run of one node.
type UsageRecord struct {
	Node        NodeID
	Incarnation Incarnation
	Zone        AvailabilityZone
	UsageCount
}

// TallyScope is the set of nodes that a tally covers.
type TallyScope string

// The scopes of tallies.
const (
	// TallyOwn covers the sender.
	TallyOwn TallyScope = "Own"
	// TallyZone covers the sender's availability zone.
	TallyZone TallyScope = "Zone"
	// TallyRest covers all nodes but the one that it is sent to.
	TallyRest TallyScope = "Rest"
)

// Includes reports whether a tally of this scope includes the counts of received
// tallies of another scope.
func (s TallyScope) Includes(received TallyScope) bool {
	switch s {
	case TallyZone:
		return received == TallyOwn
	case TallyRest:
		return received == TallyOwn || received == TallyZone
	default:
		return false
	}
}

// Tally holds counters summed over a set of nodes. An empty scope means no tally.
type Tally struct {
	Scope TallyScope
	// Covers is the number of covered nodes whose counts were received recently.
	Covers int
	Quotas []QuotaUse
	Usage  []UsageCount
	// Versions counts the attempts under rollouts in progress.
	Versions []VersionCount
	// Demands holds the work that organisations asked for at entries.
	Demands []RankDemand
}

// RankDemand counts the work, in the units of the entry, that an organisation asked for and was admitted with at one
// rank. It only rises during one run of the sender.
type RankDemand struct {
	Entry        EntryName
	Organisation Organisation
	// Rank is 0 for the most urgent requests.
	Rank            int
	Asked, Admitted float64
	// Withheld is the part of Asked that was refused so that others got their shares, not for want of room.
	Withheld float64
}

// VersionKey identifies a counter of the attempts at a version on a route under one
// rollout plan.
type VersionKey struct {
	// Generation is the generation of the rollout's plan.
	Generation uint64
	Entry      EntryName
	Version    Version
	Route      string
	// Bad means that only failed or slow attempts are counted.
	Bad bool
}

// VersionCount is the value of one counter. It only rises during one run of the sender.
type VersionCount struct {
	VersionKey
	Count uint64
}

// TallySource identifies the sender and the scope of a received tally.
type TallySource struct {
	Node        NodeID
	Incarnation Incarnation
	Zone        AvailabilityZone
	Scope       TallyScope
	Covers      int
}

// Digest is the gossip message that nodes send each other in an exchange.
type Digest struct {
	From         Node
	Nodes        []Node
	Departures   []Departure
	RolloutStops []RolloutStop
	// RolloutPlans are the plans in force at the sender.
	RolloutPlans []RolloutPlan
	// RolloutEvidence is sent only to the holder of the rollout's lease.
	RolloutEvidence []RolloutEvidence
	LimitUses       []LimitUse
	SentLoads       []InFlightLoad
	Suspicions      []Suspicion
	PartSuspicions  []PartSuspicion
	// Tally holds the sums of quota use, usage and attempts by version.
	Tally Tally
	// SentAt is the sender's wall-clock time at sending: the wall clock at the start of
	// its process, advanced by the monotonic clock, so that later steps of the machine's
	// clock don't affect it.
	SentAt time.Time
	// Beats, Zones, Wants and Lists replace Nodes in large fleets. Wants names the
	// zones whose list of members the sender requests.
	Beats []MemberHeartbeat
	Zones []ZoneSummary
	Wants []AvailabilityZone
	Lists []ZoneList
	// Store is the sender's view of the platform's store.
	Store StoreSighting
	// Rates holds rates that endpoints state, Demands the sender's demand for those entries.
	Rates   []EndpointRate
	Demands []EntryDemand
	// Brittle lists the entries whose endpoints fail if they have to reject many requests.
	Brittle []EntryName
	// Rejecting lists those of them whose endpoints rejected requests of the sender a short time ago.
	Rejecting []EntryName
	// CutOff lists the entries whose endpoints the sender doesn't reach. IsCutOff means that there are
	// no others.
	CutOff   []EntryName
	IsCutOff bool
	// Leaving lists the endpoints that have stated in an answer that they leave, while their rows don't say so.
	Leaving []LeavingEndpoint
	// Evacuations holds the newest order of each availability zone for which the sender knows one, ends included.
	Evacuations []EvacuationOrder
	// Cold lists endpoints that stated a short time ago how long they stay cold.
	Cold []ColdEndpoint
	// Speeds lists what the sender itself has measured of endpoints' speeds. A later list replaces what an earlier one
	// says of the same endpoint.
	Speeds []EndpointSpeed
	// Rooms lists the brittle endpoints that take less than they state.
	Rooms []EndpointRoom
	// WantsUsage asks the receiver for the usage that it has recorded of single nodes: the sender has started a
	// short time ago. UsageRecords is the answer; a node that stops sends them too.
	WantsUsage   bool
	UsageRecords []UsageRecord
	// WantsZoneUsage asks a relay for the usage of the nodes of its zone, without the sender; ZoneUsage is the answer.
	WantsZoneUsage bool
	ZoneUsage      []UsageCount
	// TrialClaim asks the receiver whether a refused request with this fingerprint may be tried now; Suspicions then holds
	// what the sender knows of it. IsTrialGranted is the answer, which holds what the receiver knows.
	TrialClaim     uint64
	IsTrialGranted bool
}

// EndpointSpeed is a measurement of an endpoint's lasting speed against the mean of its version.
type EndpointSpeed struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	// Slowdown is how many times as long as the mean of its version the endpoint takes for the same work.
	Slowdown float64
	// Samples is the number of answers behind the measurement.
	Samples int
}

// LeavingEndpoint is an endpoint that has stated in an answer that it leaves.
type LeavingEndpoint struct {
	Endpoint    EndpointID
	Incarnation Incarnation
}

// EndpointRoom is the number of requests at once that a brittle endpoint took when it rejected one.
type EndpointRoom struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Entry       EntryName
	Places      int
	// At orders reports on one incarnation, by the fleet's clock.
	At time.Time
}

// EndpointRate is the rate of requests that an endpoint states to take from all nodes together.
type EndpointRate struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Entry       EntryName
	// PerSecond is 0 if the endpoint states no rate any more.
	PerSecond float64
	// At orders reports on one incarnation, by the fleet's clock.
	At time.Time
}

// EntryDemand is how many requests a second a node would send to the endpoints of an entry.
type EntryDemand struct {
	Entry     EntryName
	PerSecond float64
}

// StoreSighting is what is known of the era of the platform's store.
type StoreSighting struct {
	Era StoreEra
	// FirstSeen is the earliest time, by the fleet's clock, at which a live node is known to
	// have seen the era. The restore that began the era took place before.
	FirstSeen time.Time
	// Fencing is the highest fencing number of the duties' lease that the sender knows. The
	// lease's row may no longer show it.
	Fencing FencingNumber
}

// Merge returns the later of two eras with the earliest time at which it was seen, and the
// higher fencing number.
func (s StoreSighting) Merge(other StoreSighting) StoreSighting {
	merged := s
	isEarlier := other.Era == s.Era && other.FirstSeen.Before(s.FirstSeen) && !other.FirstSeen.IsZero()
	if other.Era > s.Era || isEarlier {
		merged.Era, merged.FirstSeen = other.Era, other.FirstSeen
	}
	merged.Fencing = max(s.Fencing, other.Fencing)
	return merged
}

// PeerClient calls other entry nodes.
type PeerClient interface {
	// ExchangeDigests sends a digest and returns the peer's.
	ExchangeDigests(ctx context.Context, address netip.AddrPort, digest Digest) (Digest, error)
	// HandOverRequests moves requests to the peer. The value lists those that the
	// peer accepted.
	HandOverRequests(ctx context.Context, address netip.AddrPort, records []RequestRecord) Result[[]RequestID]
	// ReplicateRecords stores shadows (copies of records) at the peer in case the
	// sender dies, and returns the requests whose shadows the peer stored. A peer that
	// owns an earlier generation of a record stops working on it.
	ReplicateRecords(ctx context.Context, address netip.AddrPort, records []RequestRecord) ([]RequestID, error)
	// FetchRecord fetches a record that the peer owns or holds a shadow of. The record
	// has no text.
	FetchRecord(ctx context.Context, address netip.AddrPort, id RequestID) (RequestRecord, error)
	// FetchCatalogue fetches the peer's catalogue if it is newer than the revision.
	FetchCatalogue(ctx context.Context, address netip.AddrPort, newerThan Revision) ([]byte, Revision, error)
}

// PeerFeedReader reads the platform's feeds from peers that watch them.
type PeerFeedReader interface {
	// ReadPeerSnapshot returns all rows.
	ReadPeerSnapshot(ctx context.Context, address netip.AddrPort, feed FeedName) (FeedPage, error)
	// ReadPeerChanges returns the rows that changed after a position; the peer waits for
	// a change.
	ReadPeerChanges(ctx context.Context, address netip.AddrPort, feed FeedName, after StorePosition, wait time.Duration) (FeedPage, error)
}
