package qf

import (
	"context"
	"net/netip"
	"time"
)

// NodeState is the state of an entry node as its peers see it.
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
	// CatalogueAge is how long before the message the revision was last known to
	// be the newest.
	CatalogueAge time.Duration
	// Load is the node's number of requests in progress.
	Load int
}

// Departure is news that a VM is leaving. For one incarnation it only grows:
// once known it is never taken back.
type Departure struct {
	VM          VMID
	Incarnation Incarnation
	// In is the time until the VM leaves, when the news was sent; 0 means that
	// nobody said when.
	In time.Duration
}

// RolloutStop is news that a version of an entry must get no further exposure.
// A stop is never undone by a message with the same or a lower Epoch.
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
	// Share is the part of the limit that the node has taken. No other node may
	// use it.
	Share float64
	// Sequence rises with each report of a node.
	Sequence uint64
}

// InFlightLoad is what one node has in progress at an endpoint.
type InFlightLoad struct {
	Node     NodeID
	Endpoint EndpointID
	Running  int
	// Tokens are the prompt tokens that the endpoint has yet to compute for the
	// node.
	Tokens   int
	Sequence uint64
	// Answered says that the node got an answer from the endpoint of late,
	// Failing that its own attempts there fail.
	Answered bool
	Failing  bool
}

// Suspicion is news that a request fingerprint was in progress at an endpoint
// that died.
type Suspicion struct {
	Fingerprint uint64
	// Deaths lists the endpoints that died with the fingerprint in progress.
	Deaths []EndpointID
	// Cleared lists those of the deaths of which the request was acquitted by a
	// later answer. Both lists only grow.
	Cleared []EndpointID
	// Age is the time since the latest news of the fingerprint.
	Age time.Duration
}

// QuotaUse is what the callers of the nodes that a tally covers have used of an
// organisation's quota. For one run of the sender it only rises.
type QuotaUse struct {
	Organisation Organisation
	Units        float64
}

// UsageCount is how many requests of an organisation began in a window at the nodes
// that a tally covers.
type UsageCount struct {
	Window       int64
	Organisation Organisation
	Count        int
}

// TallyScope says which nodes a tally covers.
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

// Includes reports whether a tally of this scope passes on what was heard with another.
func (s TallyScope) Includes(heard TallyScope) bool {
	switch s {
	case TallyZone:
		return heard == TallyOwn
	case TallyRest:
		return heard == TallyOwn || heard == TallyZone
	default:
		return false
	}
}

// Tally is what nodes add up. An empty scope stands for no tally.
type Tally struct {
	Scope TallyScope
	// Covers is the number of nodes that are covered and were heard of late.
	Covers int
	Quotas []QuotaUse
	Usage  []UsageCount
	// Versions counts the attempts of rollouts that are under way.
	Versions []VersionCount
}

// VersionKey names a counter of the attempts at a version on a route, since an order
// of a rollout.
type VersionKey struct {
	// Generation is that of the rollout's plan.
	Generation uint64
	Entry      EntryName
	Version    Version
	Route      string
	// Bad counts only the attempts that went badly.
	Bad bool
}

// VersionCount is a counter. For one run of the sender it only rises.
type VersionCount struct {
	VersionKey
	Count uint64
}

// TallySource says whose tally was heard.
type TallySource struct {
	Node        NodeID
	Incarnation Incarnation
	Zone        AvailabilityZone
	Scope       TallyScope
	Covers      int
}

// Digest is what nodes tell each other in one exchange.
type Digest struct {
	From         Node
	Nodes        []Node
	Departures   []Departure
	RolloutStops []RolloutStop
	// RolloutPlans are those that the sender has in force.
	RolloutPlans []RolloutPlan
	// RolloutEvidence is sent only to the holder of the rollout's lease.
	RolloutEvidence []RolloutEvidence
	LimitUses       []LimitUse
	SentLoads       []InFlightLoad
	Suspicions      []Suspicion
	// Tally adds up quotas and usage.
	Tally Tally
	// SentAt is the sender's time of day when the digest left, as its process started
	// with it: later steps of the machine's clock aren't in it.
	SentAt time.Time
	// Beats, Zones, Wants and Lists stand in for Nodes in large fleets. Wants names
	// the zones of which the sender needs the list of members.
	Beats []MemberHeartbeat
	Zones []ZoneSummary
	Wants []AvailabilityZone
	Lists []ZoneList
}

// PeerClient is the contract between entry nodes.
type PeerClient interface {
	// ExchangeDigests sends a digest and returns the peer's.
	ExchangeDigests(ctx context.Context, address netip.AddrPort, digest Digest) (Digest, error)
	// HandOverRequests moves requests to the peer. The value lists those it took.
	HandOverRequests(ctx context.Context, address netip.AddrPort, records []RequestRecord) Result[[]RequestID]
	// ReplicateRecords keeps copies of records at the peer in case the sender dies, and
	// returns those that it kept. A peer that owns an earlier generation of a
	// record stops working on it.
	ReplicateRecords(ctx context.Context, address netip.AddrPort, records []RequestRecord) ([]RequestID, error)
	// FetchRecord asks the peer for a record that it owns or shadows. The answer has no
	// text.
	FetchRecord(ctx context.Context, address netip.AddrPort, id RequestID) (RequestRecord, error)
	// FetchCatalogue fetches the peer's catalogue if it is newer than the revision.
	FetchCatalogue(ctx context.Context, address netip.AddrPort, newerThan Revision) ([]byte, Revision, error)
}

// PeerFeedReader reads feeds of the platform at peers that follow them.
type PeerFeedReader interface {
	// ReadPeerSnapshot returns all rows.
	ReadPeerSnapshot(ctx context.Context, address netip.AddrPort, feed FeedName) (FeedPage, error)
	// ReadPeerChanges returns what changed after a version; the peer waits for a change.
	ReadPeerChanges(ctx context.Context, address netip.AddrPort, feed FeedName, after uint64, wait time.Duration) (FeedPage, error)
}
