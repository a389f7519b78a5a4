package qf

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Code is the machine-readable class of an error.
type Code string

// The codes of errors that reach callers and operators.
const (
	CodeInvalid        Code = "Invalid"
	CodeUnknownEntry   Code = "UnknownEntry"
	CodeTooLarge       Code = "TooLarge"
	CodeLimited        Code = "Limited"
	CodeOverloaded     Code = "Overloaded"
	CodeNoEndpoint     Code = "NoEndpoint"
	CodeUnavailable    Code = "Unavailable"
	CodeConflict       Code = "Conflict"
	CodeKeyReused      Code = "KeyReused"
	CodeStillRunning   Code = "StillRunning"
	CodeSuspect        Code = "Suspect"
	CodeDeadline       Code = "Deadline"
	CodeBroken         Code = "Broken"
	CodeLeaving        Code = "Leaving"
	CodeNotFound       Code = "NotFound"
	CodeStaleFencing   Code = "StaleFence"
	CodeForbidden      Code = "Forbidden"
	CodeInternal       Code = "Internal"
	CodeMoved          Code = "Moved"
	CodeNotYetKnown    Code = "NotYetKnown"
	CodeStaleRevision  Code = "StaleRevision"
	CodeStaleOwnership Code = "StaleOwnership"
)

// Ran states whether the request that failed with an error ran at an endpoint.
type Ran string

// The values of Ran. RanNo is used only if it is proven.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// Step names the operation in which an error arose.
type Step string

// The steps that errors carry.
const (
	StepAccept        Step = "Accept"
	StepRoute         Step = "Route"
	StepAttempt       Step = "Attempt"
	StepResume        Step = "Resume"
	StepHandOver      Step = "HandOver"
	StepIntent        Step = "Intent"
	StepOutcome       Step = "Outcome"
	StepTableRead     Step = "TableRead"
	StepTableCommit   Step = "TableCommit"
	StepObjectGet     Step = "ObjectGet"
	StepObjectPut     Step = "ObjectPut"
	StepCloud         Step = "Cloud"
	StepVMList        Step = "VMList"
	StepWeights       Step = "Weights"
	StepCatalogueRead Step = "CatalogueRead"
	StepApply         Step = "Apply"
	StepSettings      Step = "Settings"
	StepPeer          Step = "Peer"
	StepLease         Step = "Lease"
	StepOrder         Step = "Order"
	StepStatus        Step = "Status"
	StepReport        Step = "Report"
	StepDecode        Step = "Decode"
)

// Error is the typed error of every layer. It carries the step and the peer at
// which it arose.
type Error struct {
	// Code is never empty.
	Code Code
	// Step is the operation that failed.
	Step Step
	// Peer is the other end of the operation, if there was one: an address, an
	// endpoint, or a node.
	Peer string
	// Field names the part of the input that is wrong, if any is.
	Field string
	// Reason is a sentence for human readers.
	Reason string
	// Ran is RanNo only if it is proven that nothing ran. Empty means that the
	// error isn't about a request.
	Ran Ran
	// RetryAfter is how long a caller should wait before it retries. Zero means no
	// advice.
	RetryAfter time.Duration
	// Cause may be nil.
	Cause error
}

// Error renders the step, the peer, the reason and the cause on one line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s", e.Step)
	if e.Peer != "" {
		fmt.Fprintf(&b, " at %s", e.Peer)
	}
	fmt.Fprintf(&b, ": %s", e.Code)
	if e.Field != "" {
		fmt.Fprintf(&b, " (%s)", e.Field)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, ": %s", e.Reason)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %v", e.Cause)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error of the same code, so that
// errors.Is(err, &Error{Code: CodeConflict}) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// NewError returns an error with the given code, step and peer.
func NewError(code Code, step Step, peer, reason string) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Reason: reason}
}

// CodeOf returns the code of the first *Error in the chain, or CodeInternal for
// other errors, or an empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}

// RanOf returns Ran of the first *Error in the chain, or RanUnknown if there is none
// or its Ran is empty.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) && e.Ran != "" {
		return e.Ran
	}
	return RanUnknown
}
