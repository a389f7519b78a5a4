package qf

import (
	"context"
	"time"
)

// RolloutOrder asks for an entry's traffic to move to a version.
type RolloutOrder struct {
	Entry  EntryName
	To     Version
	Within time.Duration
	// Stamp is the version of the row that holds the order.
	Stamp uint64
}

// RolloutState is what the operator reads of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutStateRunning    RolloutState = "Running"
	RolloutStateSucceeded  RolloutState = "Succeeded"
	RolloutStateRolledBack RolloutState = "TakenBack"
)

// RolloutReporter tells the operator where rollouts stand.
type RolloutReporter interface {
	WriteRolloutState(ctx context.Context, entry EntryName, to Version, state RolloutState) Result[struct{}]
}

// UsageReport is how many requests of each organisation began to run in a window.
type UsageReport struct {
	// Window is the number of the window since the start of 1970.
	Window int64
	Counts map[Organisation]int
}

// EndpointOrder asks for a number of endpoints of an entry in a zone.
type EndpointOrder struct {
	Entry   EntryName
	Zone    AvailabilityZone
	Class   VMClass
	Desired int
}

// DutyHolder names the node that acts for all, and the number of its lease.
type DutyHolder struct {
	Node    NodeID
	Fencing FencingNumber
}

// DutyClient are the platform's calls that one node makes for all. A result is NotDone
// with CodeStaleFence if a newer holder has acted.
type DutyClient interface {
	ReportUsage(ctx context.Context, holder DutyHolder, report UsageReport) Result[struct{}]
	OrderEndpoints(ctx context.Context, holder DutyHolder, order EndpointOrder) Result[struct{}]
}
