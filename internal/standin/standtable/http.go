package standtable

import (
	"net/http"
	"strconv"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftable"
	"quetzalfront/internal/standin/standfault"
)

// Handler serves the table over HTTP, as the adapter in qftable expects it.
// PUT /faults replaces the injected faults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qftable.PathRows, t.serveScan)
	mux.HandleFunc("GET "+qftable.PathRow, t.serveRead)
	mux.HandleFunc("POST "+qftable.PathTransactions, t.serveCommit)
	mux.HandleFunc("PUT "+standfault.PathFaults, standfault.ServeFaults(t.SetFaults))
	return mux
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	row, err := t.Read(r.Context(), r.URL.Query().Get("key"))
	standfault.Respond(w, row, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit: expected a number", http.StatusBadRequest)
		return
	}
	rows, err := t.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	standfault.Respond(w, rows, err)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var transaction qf.Transaction
	if standfault.ReadJSON(w, r, &transaction) {
		standfault.RespondToWrite(w, t.Commit(r.Context(), transaction))
	}
}
