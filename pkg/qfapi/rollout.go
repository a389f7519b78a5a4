package qfapi

import "time"

// RolloutReport is the progress of the rollout of an entry's version.
type RolloutReport struct {
	Entry    string
	From, To string
	// Phase is "Ramping", "Watching", "Done" or "TakenBack".
	Phase string
	// Summary is a sentence on what happened and why.
	Summary string
	// Late is the reason why the rollout will miss MoveBy, or empty if it won't.
	Late string `json:",omitempty"`
	// Generation is the number of the rollout among those of its entry, and Step
	// counts the changes of this rollout.
	Generation, Step uint64
	Revision         uint64
	// MoveBy is the deadline for moving all traffic to the new version.
	MoveBy time.Time
	// Holder is the node that controls the rollout. It holds the lease with the
	// fencing number Fencing.
	Holder  string
	Fencing uint64
	// Age is how long ago the reporting node received this state, as a Go duration.
	Age    string
	Routes []RouteReport
}

// RouteReport is the progress of a rollout on one route.
type RouteReport struct {
	Organisation, Region, Class string
	OnceOnly                    bool
	Stage                       int
	Share                       float64
	// New and Old count the finished attempts at the new and the old version.
	New, Old uint64
}

// VMReport is the state of a VM and of the rollout of its entry.
type VMReport struct {
	Endpoint EndpointReport
	// Load is the number of requests in the VM's last load report.
	Load int
	// ListAge is the age of the VM list on which the report is based, as a Go
	// duration.
	ListAge string
	// Revision is the catalogue revision in force at the reporting node.
	Revision uint64
	// Rollout is the rollout of the VM's entry, if the reporting node has one.
	Rollout *RolloutReport `json:",omitempty"`
}

// ExplainReport explains a request, a rollout or a VM. Exactly one field is set.
type ExplainReport struct {
	Request *RequestReport `json:",omitempty"`
	Rollout *RolloutReport `json:",omitempty"`
	VM      *VMReport      `json:",omitempty"`
}
