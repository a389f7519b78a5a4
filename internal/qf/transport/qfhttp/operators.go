package qfhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/pkg/qfapi"
)

// OperatorService implements the operations that a node offers to operators.
type OperatorService interface {
	// Catalogue returns the snapshot in force.
	Catalogue() *qfcatalogue.Snapshot
	// Apply tries to commit an edit as the newest revision.
	Apply(ctx context.Context, edit qfcatalogue.Edit) qfcatalogue.EditResult
	// Settle determines the final outcome of an edit.
	Settle(ctx context.Context, editID string) qfcatalogue.EditResult
	// History returns the latest revisions, oldest first.
	History(ctx context.Context) ([]qfcatalogue.Snapshot, error)
	// Report returns a report that can be encoded as JSON. It fails with CodeNotFound for
	// an unknown name or subject.
	Report(ctx context.Context, name, subject string) (any, error)
	// IsReady reports whether callers should be sent to this node.
	IsReady() bool
}

// OperatorHandler serves the HTTP requests of the operators' port.
type OperatorHandler struct {
	operations OperatorService
}

// maxDocumentBytes bounds a catalogue document.
const maxDocumentBytes = 4 << 20

// NewOperatorHandler returns the handler of the operators' port.
func NewOperatorHandler(operations OperatorService) http.Handler {
	o := &OperatorHandler{operations: operations}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+qfapi.PathReady, o.serveReady)
	mux.HandleFunc("GET "+qfapi.PathCatalogue, o.serveCatalogue)
	mux.HandleFunc("PUT "+qfapi.PathCatalogue, o.serveApply)
	mux.HandleFunc("GET "+qfapi.PathCatalogueHistory, o.serveHistory)
	mux.HandleFunc("POST "+qfapi.PathCatalogueEdits+"{id}", o.serveSettle)
	mux.HandleFunc("GET "+qfapi.PathReports+"{name}", o.serveReport)
	mux.HandleFunc("GET "+qfapi.PathReports+"{name}/{subject}", o.serveReport)
	return mux
}

func (o *OperatorHandler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if o.operations.IsReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (o *OperatorHandler) serveCatalogue(w http.ResponseWriter, _ *http.Request) {
	snapshot := o.operations.Catalogue()
	document, err := snapshot.Document.TOML()
	if err != nil {
		writeError(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, qfapi.CatalogueAnswer{Revision: uint64(snapshot.Revision), Document: document})
}

func (o *OperatorHandler) serveApply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeError(w, invalid("body", err.Error()), "")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get(qfapi.HeaderBaseRevision), 10, 64)
	if err != nil {
		writeError(w, invalid(qfapi.HeaderBaseRevision, "expected the revision that was edited"), "")
		return
	}
	operator := r.Header.Get(qfapi.HeaderOperator)
	if operator == "" {
		writeError(w, invalid(qfapi.HeaderOperator, "is required"), "")
		return
	}
	document, faults := qfcatalogue.Parse(body)
	if len(faults) > 0 {
		writeJSON(w, http.StatusBadRequest, qfapi.ApplyAnswer{
			State: string(qfcatalogue.EditRefused), Reason: "the document has faults", Faults: encodeFaults(faults),
		})
		return
	}
	edit := qfcatalogue.Edit{
		ID: r.Header.Get(qfapi.HeaderEditID), Operator: operator, Base: qf.Revision(base), Document: *document,
	}
	if edit.ID == "" {
		edit.ID = qfcatalogue.NewEditID()
	}
	writeEditResult(w, edit.ID, o.operations.Apply(r.Context(), edit))
}

func (o *OperatorHandler) serveSettle(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	writeEditResult(w, id, o.operations.Settle(r.Context(), id))
}

func encodeFaults(faults []qfdocument.Fault) []qfapi.Fault {
	out := make([]qfapi.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, qfapi.Fault{Line: f.Line, Key: f.Key, Expected: f.Expected})
	}
	return out
}

func writeEditResult(w http.ResponseWriter, editID string, result qfcatalogue.EditResult) {
	answer := qfapi.ApplyAnswer{State: string(result.State), Revision: uint64(result.Revision), EditID: editID}
	for _, c := range result.Conflicts {
		conflict := qfapi.Conflict{
			Entry: string(c.Entry), Revision: uint64(c.Revision), Operator: c.Change.Operator, At: c.Change.At,
		}
		for _, name := range c.Change.Entries {
			conflict.Changed = append(conflict.Changed, string(name))
		}
		answer.Conflicts = append(answer.Conflicts, conflict)
	}
	if result.Err != nil {
		answer.Reason = result.Err.Error()
	}
	status := map[qfcatalogue.EditState]int{
		qfcatalogue.EditAccepted:    http.StatusOK,
		qfcatalogue.EditRefused:     http.StatusConflict,
		qfcatalogue.EditNotYetKnown: http.StatusAccepted,
	}[result.State]
	writeJSON(w, status, answer)
}

func (o *OperatorHandler) serveHistory(w http.ResponseWriter, r *http.Request) {
	history, err := o.operations.History(r.Context())
	if err != nil {
		writeError(w, err, "")
		return
	}
	changes := make([]qfapi.Change, 0, len(history))
	for i := range history {
		change := qfapi.Change{
			Revision: uint64(history[i].Revision), Operator: history[i].Change.Operator,
			At: history[i].Change.At, EditID: history[i].Change.EditID,
		}
		for _, name := range history[i].Change.Entries {
			change.Entries = append(change.Entries, string(name))
		}
		changes = append(changes, change)
	}
	writeJSON(w, http.StatusOK, changes)
}

func (o *OperatorHandler) serveReport(w http.ResponseWriter, r *http.Request) {
	report, err := o.operations.Report(r.Context(), r.PathValue("name"), r.PathValue("subject"))
	if err != nil {
		writeError(w, err, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // The client detects the truncated body.
}
