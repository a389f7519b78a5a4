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
	// Stamp rises with each order: it is the version of the row that holds the order, below
	// the store's era.
	Stamp uint64
}

// RolloutState is a rollout's state as reported to the operator.
type RolloutState string

// The states of a rollout.
const (
	RolloutStateRunning    RolloutState = "Running"
	RolloutStateSucceeded  RolloutState = "Succeeded"
	RolloutStateRolledBack RolloutState = "TakenBack"
)

// RolloutReporter reports the state of rollouts to the operator.
type RolloutReporter interface {
	WriteRolloutState(ctx context.Context, entry EntryName, to Version, state RolloutState) Result[struct{}]
}

// UsageReport counts the requests of each organisation that started to run in a
// window.
type UsageReport struct {
	// Window numbers the windows since the Unix epoch.
	Window int64
	Counts map[Organisation]int
}

// EndpointOrder sets the desired number of endpoints of an entry in a zone.
type EndpointOrder struct {
	Entry   EntryName
	Zone    AvailabilityZone
	Class   VMClass
	Desired int
}

// DutyHolder identifies the node that holds the duty lease, and the lease's fencing
// number.
type DutyHolder struct {
	Node    NodeID
	Fencing FencingNumber
}

// DutyClient makes the calls to the platform that only the holder of the duty lease makes,
// for all nodes. A result is NotDone with CodeStaleFencing if a newer holder has already
// made a call.
type DutyClient interface {
	// ReportUsage reports the usage of one window.
	ReportUsage(ctx context.Context, holder DutyHolder, report UsageReport) Result[struct{}]
	// OrderEndpoints sets the desired number of endpoints.
	OrderEndpoints(ctx context.Context, holder DutyHolder, order EndpointOrder) Result[struct{}]
}
