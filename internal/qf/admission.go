package qf

import (
	"fmt"
	"time"
)

// QuotaDecision states whether a request is within its organisation's quota, and the
// figures behind the decision.
type QuotaDecision struct {
	IsAdmitted bool
	// RetryAfter is how long the caller should wait; it is 0 if the request is
	// admitted.
	RetryAfter time.Duration
	// Remaining is the node's estimate of the remaining quota, LocalShare the remainder of the
	// node's own share of it. They are negative if more was used.
	Remaining, LocalShare float64
	// ReportingNodes is the number of nodes, out of Nodes, whose use is known; it includes
	// this one.
	ReportingNodes, Nodes int
	// ReportAge is the age of the newest report of another node; it is 0 if there is none.
	ReportAge time.Duration
}

// String implements fmt.Stringer.
func (v *QuotaDecision) String() string {
	return fmt.Sprintf("%.0f left, own share %.0f, %d of %d nodes reporting, newest report %v old", v.Remaining, v.LocalShare, v.ReportingNodes, v.Nodes, v.ReportAge)
}

// AdmissionController enforces organisations' quotas and entries' retry budgets, and counts
// usage. It is safe for concurrent use.
type AdmissionController interface {
	// TakeQuota takes units from an organisation's quota if they are left, and returns the
	// decision.
	TakeQuota(now time.Time, organisation *OrganisationSettings, units float64) QuotaDecision
	// CountRequest counts a request for an entry.
	CountRequest(now time.Time, entry EntryName)
	// TakeRetry takes one retry from the entry's retry budget and reports whether one was
	// left.
	TakeRetry(now time.Time, entry EntryName) bool
	// CountRunStart counts a request of an organisation that started to run.
	CountRunStart(now time.Time, organisation Organisation)
}

// RequestContent is the content of a request, from which its fingerprint is made.
type RequestContent struct {
	ID           RequestID
	Organisation Organisation
	Method, Host string
	Target       string
	Body         []byte
	// Entries are those to which the request's route may send it.
	Entries []WeightedEntry
	// SharedParts are the parts of the prompt that other requests may have too: all but the last.
	SharedParts []PromptPart
}

// EndedAttempt is an attempt that has ended.
type EndedAttempt struct {
	Content  *RequestContent
	Endpoint *Endpoint
	// StartedAt isn't after EndedAt.
	StartedAt, EndedAt time.Time
	End                AttemptEnd
	// Err is why there is no answer, or none that the caller gets.
	Err error
}

// PoisonFilter detects and blocks requests that crash the endpoints they run at. It is safe
// for concurrent use.
type PoisonFilter interface {
	// CheckRequest returns an *Error with CodeSuspect for a request that must not run.
	CheckRequest(now time.Time, content *RequestContent) error
	// RecordAttemptEnd records how an attempt ended.
	RecordAttemptEnd(attempt *EndedAttempt)
	// MayRetry reports whether a request whose attempt broke at an entry may be sent to
	// another endpoint.
	MayRetry(content *RequestContent, entry EntryName) bool
	// RecordAnswer records that an endpoint is answering the request, or has answered it.
	RecordAnswer(now time.Time, content *RequestContent, endpoint *Endpoint)
}
