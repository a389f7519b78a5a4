package qf

import "time"

// PeerHop describes how far a request has come at the node that passes it to another, because
// it doesn't reach the endpoints itself. No request is passed on twice.
type PeerHop struct {
	// From is the node that passes the request on.
	From NodeID
	// Runs is the number of attempts that may have run there.
	Runs int
	// IsCounted means that the request was counted as begun.
	IsCounted bool
	// Entry is the one that was drawn for an earlier attempt; it is empty for a first one.
	Entry EntryName
}

// PeerQuery holds the inputs for picking the node that a request is passed to.
type PeerQuery struct {
	Now time.Time
	// Entries are those of the request's route.
	Entries []WeightedEntry
	// Residency limits the regions of the node.
	Residency Residency
	// Excluded nodes must not be picked.
	Excluded []NodeID
}

// PeerRouter chooses the nodes through which requests are sent whose endpoints this node can't reach. It
// is safe for concurrent use.
type PeerRouter interface {
	// IsCutOff reports whether this node can't reach the endpoints of one of the entries.
	IsCutOff(entries []WeightedEntry) bool
	// MayAccept reports whether this node takes one more request from a peer.
	MayAccept() bool
	// PickPeer picks a node and counts the request there, or returns false if no other is known that
	// reaches the endpoints.
	PickPeer(query *PeerQuery) (Node, bool)
	// PickHolder picks a node that may use endpoints at which this one may not, and counts the request
	// there. It returns false if there is no reason to, or none is known.
	PickHolder(query *PeerQuery) (Node, bool)
	// RecordPeerEnd records the end of a request at a picked node. It is unusable for a while if it
	// doesn't answer, or can't serve.
	RecordPeerEnd(now time.Time, node NodeID, isUsable bool)
}

// AttemptMonitor follows the attempts in progress at endpoints, to find endpoints that are silent and
// entries that this node doesn't reach. It is safe for concurrent use.
type AttemptMonitor interface {
	// BeginAttempt begins to follow an attempt. Abandon is called at most once, if the node is cut
	// off from the endpoint's entry and the attempt is silent; nil means that it must go on.
	BeginAttempt(now time.Time, picked *PickedEndpoint, abandon func()) AttemptWatch
}

// AttemptWatch follows one attempt.
type AttemptWatch interface {
	// RecordBytes records that bytes of the answer were received.
	RecordBytes(now time.Time)
	// End ends the watch.
	End(now time.Time, contact Contact)
}

// Contact is what an attempt shows of the link to its endpoint.
type Contact string

// The kinds of contact.
const (
	// ContactMade means that an answer began, or that the attempt was ended before one could.
	ContactMade Contact = "Made"
	// ContactNone means that there was no connection.
	ContactNone Contact = "None"
	// ContactBroken means that the connection broke before an answer began.
	ContactBroken Contact = "Broken"
)
