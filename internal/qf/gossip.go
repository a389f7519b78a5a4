package qf

// MemberHeartbeat is a member's heartbeat in an exchange within its zone.
type MemberHeartbeat struct {
	// Member is the hash of the member's name and incarnation.
	Member    uint64
	Heartbeat uint64
	Load      int
	Leaving   bool
}

// ZoneSummary summarises the members of one zone for the other zones. Two members of
// each zone, its relays, send it.
type ZoneSummary struct {
	Zone AvailabilityZone
	// Relay, Incarnation and Heartbeat order the summaries of one relay.
	Relay       NodeID
	Incarnation Incarnation
	Heartbeat   uint64
	// Checksum covers the names and incarnations of all members that aren't dead. A
	// receiver whose own checksum differs requests the list of members.
	Checksum uint64
	// Away lists the hashes of members that are suspect or leaving, Gone those of
	// members that are dead.
	Away, Gone []uint64
}

// ZoneList is the members of one zone that aren't dead.
type ZoneList struct {
	Zone  AvailabilityZone
	Nodes []Node
}
