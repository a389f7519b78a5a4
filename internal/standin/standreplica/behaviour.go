package standreplica

import (
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Behaviour is how a replica handles a request.
type Behaviour string

// The behaviours of a replica.
const (
	// Answers executes the request and sends a complete response.
	Answers Behaviour = "Answers"
	// Fails executes the request and responds with status 500.
	Fails Behaviour = "Fails"
	// Sheds responds with status 503 and X-Not-Executed, without executing the request.
	Sheds Behaviour = "Sheds"
	// Busy responds with status 503 without X-Not-Executed, so that the caller can't exclude
	// that the request was executed.
	Busy Behaviour = "Busy"
	// Limits and TimesOut execute the request and respond with status 429 or 408, without X-Not-Executed.
	Limits   Behaviour = "Limits"
	TimesOut Behaviour = "TimesOut"
	// AnswersLong executes the request and sends a response of LongBytes, TruncatesLong only the first half of it.
	// FailsLong responds with status 500 and that many bytes.
	AnswersLong   Behaviour = "AnswersLong"
	TruncatesLong Behaviour = "CutsLong"
	FailsLong     Behaviour = "FailsLong"
	// Unsigned executes the request and sends a complete response without its signature.
	Unsigned Behaviour = "Unsigned"
	// ShedsAgain executes the request after it has written the refusal of an earlier request once more on the same
	// connection. With ShedsAgainUnnamed the refusal doesn't name its request.
	ShedsAgain        Behaviour = "ShedsAgain"
	ShedsAgainUnnamed Behaviour = "ShedsAgainUnnamed"
	// Rejects responds with status 400.
	Rejects Behaviour = "Rejects"
	// Truncates closes the connection in the middle of its response, for a stream in the
	// middle of an event.
	Truncates Behaviour = "Cuts"
	// Resets executes the request and closes the connection without a response.
	Resets Behaviour = "Resets"
	// Hangs executes the request and never responds.
	Hangs Behaviour = "Hangs"
	// Repeats sends its response twice.
	Repeats Behaviour = "Repeats"
	// CloseDelimited sends a response without a length, which ends when the connection
	// closes.
	CloseDelimited Behaviour = "Unframed"
	// CutCloseDelimited sends a stream like CloseDelimited and closes it inside an event.
	CutCloseDelimited Behaviour = "UnframedCut"
)

// failures holds the statuses of the behaviours that end with a failure.
var failures = map[Behaviour]int{
	Sheds: http.StatusServiceUnavailable, Busy: http.StatusServiceUnavailable, Limits: http.StatusTooManyRequests,
	TimesOut: http.StatusRequestTimeout, Fails: http.StatusInternalServerError, Rejects: http.StatusBadRequest,
}

// FailureText is the body of a failure. It looks like an event, so that it shows where it is taken for one.
const FailureText = "data: the request failed\n\n"

// serveFailure responds with the status of a behaviour.
func serveFailure(w http.ResponseWriter, run *ExecutedRequest, behaviour Behaviour) {
	switch behaviour {
	case Sheds:
		w.Header().Set("X-Not-Executed", "1")
	case Fails, Rejects, Limits, TimesOut:
		w.Header().Set("X-Response-Stamp", "stamp-"+run.ID)
	default: // The others state nothing.
	}
	w.WriteHeader(failures[behaviour])
	_, _ = io.WriteString(w, FailureText) // The caller may have disconnected.
}

// LongBytes is the length of a long response, which is above what nodes buffer.
const LongBytes = 600 << 10

// LongBody returns the body of a long response to a request.
func LongBody(id string) string { return strings.Repeat(id+" ", LongBytes/(len(id)+1)) }

// serveLong responds with a long body.
func serveLong(w http.ResponseWriter, run *ExecutedRequest, behaviour Behaviour) {
	body := LongBody(run.ID)
	w.Header().Set("X-Response-Stamp", "stamp-"+run.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if behaviour == FailsLong {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if behaviour == TruncatesLong {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // The caller may have disconnected.
}
