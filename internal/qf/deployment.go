package qf

import (
	"net/netip"
	"time"
)

// Deployment holds a node's settings for itself and its environment.
type Deployment struct {
	// Self has its Heartbeat and State unset.
	Self Node
	// ReadyAddress serves the readiness check, DirectoryAddress the addresses of the
	// nodes that callers should use.
	ReadyAddress, DirectoryAddress netip.AddrPort
	// MetricsAddress serves the node's metrics.
	MetricsAddress netip.AddrPort
	// Seeds are peer addresses of a few nodes; they may be stale.
	Seeds []netip.AddrPort
	// Regions maps each availability zone to its region.
	Regions map[AvailabilityZone]Region
	// FirstStart is true only at the first start of the whole system.
	FirstStart bool
	Bounds     DeploymentBounds
	// DutyCallsPerSecond bounds the rate of duty calls, over all nodes.
	DutyCallsPerSecond float64
	// ChecksFencing means that the platform refuses calls whose fencing number is below
	// the highest that it has received.
	ChecksFencing bool
	// Process bounds what the node's process may use of its VM.
	Process ProcessLimits
	// HasUsageDuty means that usage must be reported, HasScaleDuty that endpoints must
	// be ordered.
	HasUsageDuty, HasScaleDuty bool
	// FairShares divides the room of entries in a shortage between ranks and organisations.
	FairShares bool
}

// ProcessLimits bound what a process may use; 0 means that a bound isn't known.
type ProcessLimits struct {
	// MemoryBytes is the memory above which the process is ended.
	MemoryBytes int64
	// Descriptors is the largest number of open descriptors.
	Descriptors int
}

// DeploymentBounds are the times and limits that the platform requires of nodes.
type DeploymentBounds struct {
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// ChangeWithin is the time within which a change of the configuration must be in force.
	ChangeWithin time.Duration
	// LeaseFor is the duration of the duty lease: how long its holder may go without
	// renewing it.
	LeaseFor time.Duration
	// EndpointHeartbeat is the interval at which endpoints renew their registrations.
	EndpointHeartbeat time.Duration
	// EndpointDrain is how long an endpoint serves on, at least, after it has announced that
	// it leaves.
	EndpointDrain time.Duration
	// RetryShare, RetryWindow and RetrySlack set the retry budget of an entry, over all
	// nodes: RetryShare of the requests within RetryWindow, plus RetrySlack.
	RetryShare  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow is the time over which a quota holds: in any such window an organisation may
	// use its rate times the window, plus its burst. It is 0 if the quota holds over any time.
	QuotaWindow time.Duration
	// UsageWindow is the length of a window of usage.
	UsageWindow time.Duration
	// UsageWithin is how long after a window's end its report is due.
	UsageWithin time.Duration
	// ExposureShare is the largest share of an entry's requests that an unproven version
	// may get.
	ExposureShare float64
	// AddressesFor bounds how long callers may cache the addresses of nodes.
	AddressesFor time.Duration
	// ColdExcess and ColdSlack bound what a cold endpoint gets in any second from all nodes: its stated rate times
	// ColdExcess, plus ColdSlack requests.
	ColdExcess, ColdSlack float64
	// EvacuateWithin is the time after which no endpoint of an evacuated availability zone gets a request.
	EvacuateWithin time.Duration
}
