package qfapi

import "time"

// RolloutReport says where an entry's move to a version stands.
type RolloutReport struct {
	Entry    string
	From, To string
	// Phase is "Ramping", "Watching", "Done" or "TakenBack".
	Phase string
	// Summary says in a sentence what happened and why.
	Summary string
	// Late says why traffic won't have moved in time; it is empty if it will.
	Late string `json:",omitempty"`
	// Generation counts the entry's rollouts, Step the changes of this one.
	Generation, Step uint64
	Revision         uint64
	MoveBy           time.Time
	// Holder controls the rollout under the lease's fencing number.
	Holder  string
	Fencing uint64
	// Age is how long ago the node that reports learnt of this state.
	Age    string
	Routes []RouteReport
}

// RouteReport is the progress of one route and the evidence on it.
type RouteReport struct {
	Organisation, Region, Class string
	OnceOnly                    bool
	Stage                       int
	Share                       float64
	// New and Old count finished attempts at either version.
	New, Old uint64
}

// VMReport says what runs on a VM and who decides over it.
type VMReport struct {
	Endpoint EndpointReport
	// Load is the number of requests that it last reported.
	Load int
	// ListAge is the age of the VM list that the report is made from.
	ListAge string
	// Revision is the catalogue revision in force at the node that reports.
	Revision uint64
	// Rollout is that of the VM's entry, if one is known.
	Rollout *RolloutReport `json:",omitempty"`
}

// ExplainReport explains a request, a rollout or a VM; exactly one is set.
type ExplainReport struct {
	Request *RequestReport `json:",omitempty"`
	Rollout *RolloutReport `json:",omitempty"`
	VM      *VMReport      `json:",omitempty"`
}
