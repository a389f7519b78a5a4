package qf

import (
	"net/netip"
	"time"
)

// Deployment is what a node is told about itself and the place where it runs.
type Deployment struct {
	// Self has neither a heartbeat nor a state.
	Self Node
	// ReadyAddress answers whether the node takes callers, DirectoryAddress which
	// nodes callers should use.
	ReadyAddress, DirectoryAddress netip.AddrPort
	// MetricsAddress is where the node's metrics are read.
	MetricsAddress netip.AddrPort
	// Seeds are peer addresses of a few nodes; they may be stale.
	Seeds []netip.AddrPort
	// Regions maps each availability zone to its region.
	Regions map[AvailabilityZone]Region
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	Bounds     DeploymentBounds
	// DutyCallsPerSecond bounds the duty calls of all nodes.
	DutyCallsPerSecond float64
	// ChecksFencing says that the platform refuses calls with a fencing number below one
	// that it has seen.
	ChecksFencing bool
	// HasUsageDuty and HasScaleDuty say which calls are due.
	HasUsageDuty, HasScaleDuty bool
}

// DeploymentBounds are the times that the platform holds nodes to.
type DeploymentBounds struct {
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// ChangeWithin is how soon a change must be in force.
	ChangeWithin time.Duration
	// LeaseFor is how long a holder of duties may stay silent.
	LeaseFor time.Duration
	// EndpointHeartbeat is how often endpoints write their entries.
	EndpointHeartbeat time.Duration
	// RetryShare, RetryWindow and RetrySlack bound the repeats of all nodes at an
	// entry: share of the requests of a window, and a number besides.
	RetryShare  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// UsageWindow is the length of a window of usage.
	UsageWindow time.Duration
	// UsageWithin is how long after a window's end its report is due.
	UsageWithin time.Duration
	// ExposureShare is the part of an entry's requests that an unproven version may get.
	ExposureShare float64
	// AddressesFor bounds how long callers keep the addresses that they were told.
	AddressesFor time.Duration
}
