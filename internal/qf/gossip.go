package qf

// MemberHeartbeat is a member's sign of life in an exchange within its zone.
type MemberHeartbeat struct {
	// Member is the hash of the member's name and incarnation.
	Member    uint64
	Heartbeat uint64
	Load      int
	Leaving   bool
}

// ZoneSummary is what one zone tells all others of its members. Two members of each
// zone, its relays, make it.
type ZoneSummary struct {
	Zone AvailabilityZone
	// Relay, Incarnation and Heartbeat order the summaries of one relay.
	Relay       NodeID
	Incarnation Incarnation
	Heartbeat   uint64
	// Checksum is that of the names and incarnations of all members that aren't
	// dead. A receiver whose own differs asks for the list.
	Checksum uint64
	// Away lists members that are suspect or leaving, Gone those that are dead, by
	// their hashes.
	Away, Gone []uint64
}

// ZoneList is the members of one zone that aren't dead.
type ZoneList struct {
	Zone  AvailabilityZone
	Nodes []Node
}
