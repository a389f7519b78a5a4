// Package qfcatalogue implements the catalogue: the document that operators write,
// its validation, the store that resolves concurrent edits, and the copy that is in
// force at a node.
package qfcatalogue

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
)

// Document is the catalogue as operators write it in TOML.
type Document struct {
	Entries []Entry `validate:"unique=Name,dive"`
}

// Entry describes one service.
type Entry struct {
	Name  qf.EntryName `validate:"required,name"`
	Kind  qf.EntryKind `validate:"required,oneof=ModelEngine PlainService"`
	Owner string       `validate:"required"`
	Class qf.Class     `validate:"required,oneof=Critical Interactive Batch"`
	// Deadline bounds the time from a request's acceptance to its end. FirstTokenTarget
	// and BetweenTokenTarget are the latency targets for 95 in 100 requests.
	Deadline           qfdocument.Duration `validate:"gt=0"`
	FirstTokenTarget   qfdocument.Duration `validate:"gte=0"`
	BetweenTokenTarget qfdocument.Duration `validate:"gte=0"`
	// OnceOnly lists the calls that may not be repeated.
	OnceOnly []OnceOnlyCall `validate:"dive"`
	Limits   []Limit        `validate:"dive"`
	// Versions are the releases that may run; Target is the one that should serve all
	// traffic by MoveBy. Without MoveBy, the settings determine the speed of the rollout.
	Versions  []Version           `validate:"required,min=1,unique=Name,dive"`
	Target    qf.Version          `validate:"required"`
	MoveBy    time.Time           `validate:"-"`
	WatchFor  qfdocument.Duration `validate:"gte=0"`
	Placement Placement
}

// OnceOnlyCall matches calls by method and path prefix.
type OnceOnlyCall struct {
	Method string `validate:"required,oneof=POST PUT PATCH DELETE"`
	Path   string `validate:"required,startswith=/"`
}

// Limit bounds an organisation's use of the entry. An empty Organisation applies to all
// organisations together.
type Limit struct {
	Organisation      qf.Organisation
	Class             qf.Class `validate:"omitempty,oneof=Critical Interactive Batch"`
	Concurrency       int      `validate:"gte=0"`
	RequestsPerSecond float64  `validate:"gte=0"`
	TokensPerSecond   float64  `validate:"gte=0"`
	Weight            float64  `validate:"gte=0"`
}

// Version is one release of an entry.
type Version struct {
	Name qf.Version `validate:"required,name"`
	// ChecksFencing is true if its endpoints refuse stale fencing tokens.
	ChecksFencing bool
}

// Placement bounds where endpoints run and what they may cost.
type Placement struct {
	Regions []qf.Region
	// MaxPricePerHour bounds the price of one VM and MaxTotalPricePerHour that of
	// all VMs of the entry, in thousandths of the currency unit; 0 is no bound.
	MaxPricePerHour      uint64
	MaxTotalPricePerHour uint64
	// RequestsPerReplica is the number of running requests at which a replica still meets
	// the latency target; 0 keeps MinReplicas at any load.
	RequestsPerReplica int `validate:"gte=0"`
	MinReplicas        int `validate:"gte=0"`
	MaxReplicas        int `validate:"gte=0"`
}

// Parse decodes and validates a document. It returns all faults.
func Parse(data []byte) (*Document, []qfdocument.Fault) {
	document := &Document{}
	faults := qfdocument.Decode(data, document)
	for _, f := range document.crossCheck(data) {
		if !qfdocument.HasFault(faults, f.Key) {
			faults = append(faults, f)
		}
	}
	qfdocument.SortFaults(faults)
	return document, faults
}

// Entry returns the entry of the name, or nil.
func (d *Document) Entry(name qf.EntryName) *Entry {
	for i := range d.Entries {
		if d.Entries[i].Name == name {
			return &d.Entries[i]
		}
	}
	return nil
}

// HasVersion reports whether the entry lists the version.
func (e *Entry) HasVersion(version qf.Version) bool {
	for i := range e.Versions {
		if e.Versions[i].Name == version {
			return true
		}
	}
	return false
}

// IsOnceOnly reports whether a call may not be repeated.
func (e *Entry) IsOnceOnly(method, path string) bool {
	for _, c := range e.OnceOnly {
		if c.Method == method && matchesPath(c.Path, path) {
			return true
		}
	}
	return false
}

// QFLimits returns the entry's limits in the form that the limiter uses.
func (e *Entry) QFLimits() []qf.Limit {
	limits := make([]qf.Limit, 0, len(e.Limits))
	for _, l := range e.Limits {
		limits = append(limits, qf.Limit{
			Name:         string(e.Name) + "/" + string(l.Organisation) + "/" + string(l.Class),
			Entry:        e.Name,
			Organisation: l.Organisation, Class: l.Class,
			Concurrency:       l.Concurrency,
			RequestsPerSecond: l.RequestsPerSecond,
			TokensPerSecond:   l.TokensPerSecond,
			Weight:            max(l.Weight, 1),
		})
	}
	return limits
}
