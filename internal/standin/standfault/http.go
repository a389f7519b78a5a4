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

// PathFaults is where every stand-in takes its faults, with PUT.
const PathFaults = "/faults"

const maxBodyBytes = 64 << 20

// ServeFaults takes faults as JSON and hands them to set.
func ServeFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if ReadJSON(w, r, &faults) {
			set(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

// ReadJSON decodes a body, or answers that it is malformed.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Respond sends a body as JSON, or the status that stands for the error's code.
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
	_ = json.NewEncoder(w).Encode(body) // The reader sees a cut body.
}

// RespondToWrite sends the result of a write. An unknown one cuts the connection, as if
// the answer were lost.
func RespondToWrite[T any](w http.ResponseWriter, result qf.Result[T]) {
	if result.Certainty == qf.Unknown {
		panic(http.ErrAbortHandler)
	}
	Respond(w, result.Value, result.Err)
}
