package qfapi

import (
	"net/netip"
	"time"
)

// NodeReport describes an entry node.
type NodeReport struct {
	ID               string
	Region           string
	AvailabilityZone string
	State            string
	Address          netip.AddrPort
	// Revision is the catalogue revision in force there.
	Revision uint64
	// CatalogueAge is how old the node's news of the catalogue was when it last
	// told, and NewsAge how long ago that was.
	CatalogueAge string
	NewsAge      string
	InProgress   int
}

// FleetReport says what runs where.
type FleetReport struct {
	// AsOf is the age of the VM list that the report is made from.
	AsOf      time.Time
	Endpoints []EndpointReport
}

// EndpointReport describes one endpoint.
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

// RequestReport says what became of a request and why.
type RequestReport struct {
	ID           string
	Entry        string
	Organisation string
	// Outcome is empty while the request is in progress.
	Outcome string
	// MovedTo names the node that owns the request now, if it moved.
	MovedTo string
	Tokens  int
	// Recomputed counts tokens that were computed more than once.
	Recomputed int
	Decisions  []DecisionReport
}

// DecisionReport is one decision with its reason.
type DecisionReport struct {
	At       time.Time
	Step     string
	Endpoint string
	Rule     string
	Figures  []FigureReport `json:",omitempty"`
	Note     string         `json:",omitempty"`
}

// FigureReport is one figure that a decision saw.
type FigureReport struct {
	Name  string
	Value float64
}
