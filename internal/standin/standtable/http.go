package standtable

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftable"
)

const maxTransactionBytes = 4 << 20

// Handler serves the table over HTTP, as the adapter in qftable expects it, and
// takes faults at PUT /faults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qftable.PathRows, t.serveScan)
	mux.HandleFunc("GET "+qftable.PathRow, t.serveRead)
	mux.HandleFunc("POST "+qftable.PathTransactions, t.serveCommit)
	mux.HandleFunc("PUT /faults", t.serveFaults)
	return mux
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	row, err := t.Read(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(row.Version, 10)))
	writeJSON(w, http.StatusOK, row)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit: expected a number", http.StatusBadRequest)
		return
	}
	rows, err := t.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var transaction qf.Transaction
	body := http.MaxBytesReader(w, r.Body, maxTransactionBytes)
	if err := json.NewDecoder(body).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := t.Commit(r.Context(), transaction)
	switch result.Certainty {
	case qf.Done:
		writeJSON(w, http.StatusOK, result.Value)
	case qf.NotDone:
		writeError(w, result.Err)
	default:
		panic(http.ErrAbortHandler) // Cuts the connection: the answer is lost.
	}
}

func (t *Table) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The reader sees a cut body.
}

func writeError(w http.ResponseWriter, err error) {
	var e *qf.Error
	status := http.StatusInternalServerError
	if errors.As(err, &e) {
		status = qftable.StatusOf(e.Code)
	}
	http.Error(w, err.Error(), status)
}
