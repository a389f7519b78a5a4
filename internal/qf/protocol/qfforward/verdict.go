package qfforward

import (
	"errors"
	"net/http"

	"quetzalfront/internal/qf"
)

// The reasons for which an endpoint's answer isn't what the caller gets.
var (
	errUnsigned   = errors.New("the answer has no signature of the endpoint")
	errNotTheRest = errors.New("the answer isn't the rest of the stream")
	errUnproven   = errors.New("callers would take the status to mean that the request didn't run, which the endpoint doesn't state")
	errNoStatus   = errors.New("the answer's status isn't a final one of HTTP")
	// errLongFailure is for a failure that is longer than the buffer: whether it is delivered is decided once it
	// has arrived.
	errLongFailure = errors.New("the failure's text is too long")
)

// verdict is what the head of an answer proves.
type verdict struct {
	end qf.AttemptEnd
	// flaw is the reason for which the answer must not reach the caller; nil means that it may. It is nil if end is
	// AttemptAnswered, and irrelevant if it is AttemptNotRun.
	flaw error
}

// judgeAnswer derives from the head of an endpoint's answer how the attempt ended and whether the caller may get the
// answer. isResumed means that the caller has the first part of a stream, which the answer must continue.
//
// Only the endpoint's own statement proves that it didn't run the request, and only its signature that a success or a
// rejection is its own: bytes that a faulty endpoint spoils belong to no request. A failure promises nothing, so it is
// passed on without one.
func judgeAnswer(answer *qf.EndpointResponse, isResumed bool) verdict {
	status, isSuccess := answer.Status, answer.Status < http.StatusMultipleChoices
	switch {
	case status == http.StatusMisdirectedRequest, answer.Traits.NotRun && status >= http.StatusBadRequest:
		return verdict{end: qf.AttemptNotRun}
	case isResumed && (status != http.StatusOK || !answer.Traits.Signed):
		return verdict{end: qf.AttemptFailed, flaw: errNotTheRest}
	case !qf.IsFinalStatus(status):
		return verdict{end: qf.AttemptFailed, flaw: errNoStatus}
	case impliesNotRun(status), isSuccess && answer.Traits.NotRun:
		return verdict{end: qf.AttemptFailed, flaw: errUnproven}
	case status >= http.StatusInternalServerError:
		return verdict{end: qf.AttemptFailed}
	case !answer.Traits.Signed:
		return verdict{end: qf.AttemptFailed, flaw: errUnsigned}
	default:
		return verdict{end: qf.AttemptAnswered}
	}
}

// judgePeerAnswer is judgeAnswer for an endpoint's answer that a peer passed on. The peer passes on no statement that a
// request didn't run: it refuses the request itself.
func judgePeerAnswer(answer *qf.EndpointResponse, isResumed bool) verdict {
	v := judgeAnswer(answer, isResumed)
	if v.end == qf.AttemptNotRun {
		return verdict{end: qf.AttemptFailed, flaw: errUnproven}
	}
	return v
}

// impliesNotRun reports whether callers take a status to mean that the request didn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
