package standfault

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
)

// PathFaults is the path at which a stand-in accepts its Faults, with PUT.
const PathFaults = "/faults"

// maxBodyBytes is the maximum size of a request's body.
const maxBodyBytes = 64 << 20

// ServeFaults returns a handler that decodes faults from JSON and passes them to set.
func ServeFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if ReadJSON(w, r, &faults) {
			set(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

// ReadJSON decodes the body of a request. If the body is malformed, it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Respond sends a body as JSON or, for an error, the status of its code.
func Respond(w http.ResponseWriter, body any, err error) {
	if err != nil {
		var e *qf.Error
		if errors.As(err, &e) && e.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
		}
		http.Error(w, err.Error(), qfplatform.StatusOf(qf.CodeOf(err)))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The client detects a truncated body.
}

// RespondToWrite sends the result of a write. For an unknown result it closes the
// connection instead, as if the response were lost.
func RespondToWrite[T any](w http.ResponseWriter, result qf.Result[T]) {
	if result.Certainty == qf.Unknown {
		panic(http.ErrAbortHandler)
	}
	Respond(w, result.Value, result.Err)
}
