package qf

import (
	"fmt"
	"time"
)

// QuotaVerdict says whether a request is within its organisation's quota, and from what
// that was decided.
type QuotaVerdict struct {
	IsAdmitted bool
	// RetryAfter is when to come back; it is 0 if the request is admitted.
	RetryAfter time.Duration
	// Left is what the node takes to be left of the quota, Part what it may use itself
	// while all keep to their parts. They are below 0 while more was used.
	Left, Part float64
	// Heard is the number of nodes whose uses are known, this one included, of Nodes.
	Heard, Nodes int
	// NewsAge is the age of the newest news of others; it is 0 if there is none.
	NewsAge time.Duration
}

// String implements fmt.Stringer.
func (v *QuotaVerdict) String() string {
	return fmt.Sprintf("%.0f left, own part %.0f, %d of %d nodes heard, news %v old", v.Left, v.Part, v.Heard, v.Nodes, v.NewsAge)
}

// Governor bounds what is accepted and repeated. It is safe for concurrent use.
type Governor interface {
	// Admit takes units from an organisation's quota, or says why it doesn't.
	Admit(now time.Time, organisation *OrganisationTraits, units float64) QuotaVerdict
	// Arrived counts a request for an entry.
	Arrived(now time.Time, entry EntryName)
	// MayRepeat takes one repeat from the entry's budget if there is one.
	MayRepeat(now time.Time, entry EntryName) bool
	// Began counts a request of an organisation that began to run.
	Began(now time.Time, organisation Organisation)
}

// RequestContent is what a request asks for, by which it is known again.
type RequestContent struct {
	ID           RequestID
	Organisation Organisation
	Method, Host string
	Target       string
	Body         []byte
}

// Screen keeps requests that crash endpoints apart. It is safe for concurrent use.
type Screen interface {
	// Judge returns an *Error with CodeSuspect for a request that must not run.
	Judge(now time.Time, content *RequestContent) error
	// Ended takes how an attempt ended.
	Ended(now time.Time, content *RequestContent, endpoint *Endpoint, end AttemptEnd, err error)
}
