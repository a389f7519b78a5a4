package qf

import (
	"fmt"
	"time"
)

// QuotaDecision says whether a request is within its organisation's quota, and from what
// that was decided.
type QuotaDecision struct {
	IsAdmitted bool
	// RetryAfter is when to come back; it is 0 if the request is admitted.
	RetryAfter time.Duration
	// Left is what the node takes to be left of the quota, Part what it may use itself
	// while all keep to their parts. They are below 0 while more was used.
	Left, Part float64
	// ReportingNodes is the number of nodes whose uses are known, this one included, of Nodes.
	ReportingNodes, Nodes int
	// ReportAge is the age of the newest news of others; it is 0 if there is none.
	ReportAge time.Duration
}

// String implements fmt.Stringer.
func (v *QuotaDecision) String() string {
	return fmt.Sprintf("%.0f left, own part %.0f, %d of %d nodes heard, news %v old", v.Left, v.Part, v.ReportingNodes, v.Nodes, v.ReportAge)
}

// AdmissionController bounds what is accepted and repeated. It is safe for concurrent use.
type AdmissionController interface {
	// TakeQuota takes units from an organisation's quota, or says why it doesn't.
	TakeQuota(now time.Time, organisation *OrganisationSettings, units float64) QuotaDecision
	// CountRequest counts a request for an entry.
	CountRequest(now time.Time, entry EntryName)
	// TakeRetry takes one repeat from the entry's budget if there is one.
	TakeRetry(now time.Time, entry EntryName) bool
	// CountRunStart counts a request of an organisation that began to run.
	CountRunStart(now time.Time, organisation Organisation)
}

// RequestContent is what a request asks for, by which it is known again.
type RequestContent struct {
	ID           RequestID
	Organisation Organisation
	Method, Host string
	Target       string
	Body         []byte
}

// PoisonFilter keeps requests that crash endpoints apart. It is safe for concurrent use.
type PoisonFilter interface {
	// CheckRequest returns an *Error with CodeSuspect for a request that must not run.
	CheckRequest(now time.Time, content *RequestContent) error
	// RecordAttemptEnd takes how an attempt ended.
	RecordAttemptEnd(now time.Time, content *RequestContent, endpoint *Endpoint, end AttemptEnd, err error)
}
