package qfapi

import (
	"net/netip"
	"time"
)

// NodeReport is the state of an entry node.
type NodeReport struct {
	ID               string
	Region           string
	AvailabilityZone string
	State            string
	Address          netip.AddrPort
	// Revision is the catalogue revision in force at the node.
	Revision uint64
	// CatalogueAge is how long ago the node had last confirmed Revision as the newest
	// when it sent its last heartbeat, as a Go duration.
	CatalogueAge string
	// NewsAge is the age of the node's last heartbeat, as a Go duration.
	NewsAge string
	// InProgress is the number of requests in progress.
	InProgress int
}

// FleetReport lists the endpoints of the fleet.
type FleetReport struct {
	// AsOf is the time of the VM list on which the report is based.
	AsOf      time.Time
	Endpoints []EndpointReport
}

// EndpointReport is the state of one endpoint.
type EndpointReport struct {
	VM               string
	Entry            string
	Version          string
	State            string
	Region           string
	AvailabilityZone string
	Class            string
	Address          netip.AddrPort
}

// RequestReport is the outcome of a request and the decisions about it.
type RequestReport struct {
	ID           string
	Entry        string
	Organisation string
	// Outcome is empty while the request is in progress.
	Outcome string
	// MovedTo is the node that now owns the request, if it moved.
	MovedTo string
	Tokens  int
	// Recomputed counts tokens that were computed more than once.
	Recomputed int
	Decisions  []DecisionReport
}

// DecisionReport is one decision about a request and the reason for it.
type DecisionReport struct {
	At       time.Time
	Step     string
	Endpoint string
	Rule     string
	Figures  []FigureReport `json:",omitempty"`
	Note     string         `json:",omitempty"`
}

// FigureReport is one input value of a decision.
type FigureReport struct {
	Name  string
	Value float64
}
