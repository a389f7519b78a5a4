package qf

import "time"

// Residency holds the regions in which a request, its prompt, and what is cached or copied of it may be. An empty list
// doesn't limit them; where both lists are set, both must allow a region.
type Residency struct {
	Route, Organisation []Region
}

// IsLimited reports whether any region may be forbidden.
func (r *Residency) IsLimited() bool { return len(r.Route) > 0 || len(r.Organisation) > 0 }

// EvacuationOrder is the operator's order to send nothing more to the endpoints of an availability zone, or its end.
type EvacuationOrder struct {
	Zone AvailabilityZone
	// Stamp orders the operator's changes; see RolloutOrder.
	Stamp uint64
	// IsEnded means that the zone's endpoints may get requests again.
	IsEnded bool
}

// ColdEndpoint is an endpoint that takes few requests until it has warmed up.
type ColdEndpoint struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Entry       EntryName
	// Until is when the endpoint is warm, and At when it stated that, both by the fleet's clock.
	Until, At time.Time
}
