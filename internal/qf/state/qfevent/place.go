package qfevent

// The events of places: regions that may process requests, and availability zones that are evacuated.
var (
	ZoneEvacuated = Event{337, info, "the evacuation of an availability zone was ordered or ended", []string{FieldAvailabilityZone, FieldOutcome, FieldVersion, FieldEra}, "Nothing; Outcome says which. Until the end its endpoints get nothing new. Version is the row's at the store. See operators/reclaim.md."}
	RegionsDiffer = Event{339, warning, "a route and an organisation allow no region in common", []string{FieldRevision, FieldRoute, FieldOrganisation, FieldReason, FieldCount}, "Correct the configuration: requests of the organisation on the route are refused. Count pairs are concerned, this is the first."}
)
