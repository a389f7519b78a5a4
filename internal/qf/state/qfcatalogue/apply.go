package qfcatalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const (
	// maxAttempts bounds how often one edit is put on a newer head.
	maxAttempts = 64
	// settleFor bounds the time for which an edit whose answer was lost is
	// repeated before the operator is told that its fate isn't yet known.
	settleFor      = 8 * time.Second
	firstRepeat    = 50 * time.Millisecond
	longestRepeat  = time.Second
	repeatMultiple = 2
)

// editRecord is the row of an edit. Its absence means that the edit hasn't taken
// effect; while it is present, no write of the edit can take effect any more.
type editRecord struct {
	State EditState
	// Revision is set exactly if State is EditAccepted.
	Revision qf.Revision
	// Digest tells two edits with one identifier apart.
	Digest uint64
}

func editRow(id string) string { return rowEditPrefix + id }

func digestOf(edit *Edit) uint64 {
	encoded, err := json.Marshal(struct {
		Base     qf.Revision
		Document Document
	}{edit.Base, edit.Document})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// application is one call of Apply.
type application struct {
	*Store
	edit   Edit
	digest uint64
	// doubt is true while an earlier write of the edit may still take effect.
	doubt bool
	// doubtVersion is the head's version that the doubtful write requires.
	doubtVersion uint64
}

// Apply tries to make an edit the newest revision. Edits of different entries
// don't conflict: the edit's entries are put on the newest head. A write whose
// answer was lost is repeated under the same conditions, so that at most one of
// the two takes effect, and the edit's row tells which. Repeats of an accepted
// edit return its revision, whatever came after it.
func (s *Store) Apply(ctx context.Context, edit Edit) EditResult {
	a := &application{Store: s, edit: edit, digest: digestOf(&edit)}
	end := s.timer.Now().Add(settleFor)
	wait := firstRepeat
	for range maxAttempts {
		verdict, again := a.attempt(ctx)
		if !again {
			return verdict
		}
		if a.doubt {
			if s.timer.Now().Add(wait).After(end) || !s.pause(ctx, wait) {
				return verdict
			}
			wait = min(wait*repeatMultiple, longestRepeat)
		}
	}
	return a.refuse(qf.NewError(qf.CodeConflict, qf.StepApply, "", "too many edits at once; try again"))
}

func (s *Store) pause(ctx context.Context, d time.Duration) bool {
	due := s.timer.After(d)
	defer due.Stop()
	select {
	case <-due.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt on the newest head. The head is read before the
// edit's row: if the head has moved since a doubtful write, that write can't take
// effect after the row was found absent.
func (a *application) attempt(ctx context.Context) (verdict EditResult, again bool) {
	head, version, err := a.Head(ctx)
	if err != nil {
		return a.failed(err)
	}
	record, err := a.record(ctx, a.edit.ID)
	if err != nil {
		return a.failed(err)
	}
	if record != nil {
		return a.verdictOf(record), false
	}
	if a.doubt && version != a.doubtVersion {
		a.doubt = false
	}
	next, conflicts, err := a.rebase(ctx, head)
	if err != nil {
		return a.failed(err)
	}
	if len(conflicts) > 0 {
		return EditResult{State: EditRefused, Conflicts: conflicts, Err: conflictError(conflicts)}, false
	}
	return a.commit(ctx, next, version)
}

func (a *application) commit(ctx context.Context, next Snapshot, version uint64) (verdict EditResult, again bool) {
	transaction, err := a.transactionOf(next, version)
	if err != nil {
		return a.failed(err)
	}
	result := a.table.Commit(ctx, transaction)
	switch {
	case result.Certainty == qf.Done:
		return EditResult{State: EditAccepted, Revision: next.Revision}, false
	case result.Certainty == qf.Unknown:
		a.doubt = true
		a.doubtVersion = version
		return a.unknown(result.Err), true
	case errors.Is(result.Err, &qf.Error{Code: qf.CodeConflict}):
		return a.unknown(result.Err), true
	default:
		return a.failed(result.Err)
	}
}

// failed refuses the edit if nothing of it can take effect any more, and goes on
// otherwise.
func (a *application) failed(err error) (verdict EditResult, again bool) {
	if a.doubt {
		return a.unknown(err), true
	}
	return a.refuse(err), false
}

func (a *application) refuse(err error) EditResult {
	if a.doubt {
		return a.unknown(err)
	}
	return EditResult{State: EditRefused, Err: err}
}

func (a *application) unknown(err error) EditResult {
	return EditResult{State: EditNotYetKnown, Err: err}
}

func (a *application) verdictOf(record *editRecord) EditResult {
	if record.State == EditAccepted && record.Digest != a.digest {
		err := qf.NewError(qf.CodeKeyReused, qf.StepApply, "", "the edit's identifier belongs to another edit")
		return EditResult{State: EditRefused, Err: err}
	}
	return record.verdict()
}

func (r *editRecord) verdict() EditResult {
	if r.State == EditAccepted {
		return EditResult{State: EditAccepted, Revision: r.Revision}
	}
	err := qf.NewError(qf.CodeConflict, qf.StepApply, "", "the edit was settled as refused and can't take effect; apply the file again")
	return EditResult{State: EditRefused, Err: err}
}

// record returns the edit's row, or nil.
func (s *Store) record(ctx context.Context, id string) (*editRecord, error) {
	row, err := s.table.Read(ctx, editRow(id))
	if errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	record := &editRecord{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return nil, decodeError("edit", err)
	}
	return record, nil
}

// rebase puts the edit's entries on the head, or lists who changed them since
// the edit's base.
func (a *application) rebase(ctx context.Context, head Snapshot) (Snapshot, []Conflict, error) {
	base, err := a.At(ctx, a.edit.Base)
	if err != nil {
		return Snapshot{}, nil, err
	}
	if a.edit.Base > head.Revision {
		return Snapshot{}, nil, qf.NewError(qf.CodeStaleRevision, qf.StepApply, "", fmt.Sprintf("the base is newer than revision %d", head.Revision))
	}
	touched := ChangedEntries(&base.Document, &a.edit.Document)
	since, err := a.History(ctx, a.edit.Base, head.Revision)
	if err != nil {
		return Snapshot{}, nil, err
	}
	return rebased(head, a.edit, touched), conflictsWith(since, touched), nil
}

func conflictsWith(since []Snapshot, touched []qf.EntryName) []Conflict {
	var conflicts []Conflict
	for i := range since {
		for _, name := range since[i].Change.Entries {
			if slices.Contains(touched, name) {
				conflicts = append(conflicts, Conflict{Entry: name, Revision: since[i].Revision, Change: since[i].Change})
			}
		}
	}
	return conflicts
}

func conflictError(conflicts []Conflict) error {
	c := conflicts[0]
	err := qf.NewError(qf.CodeConflict, qf.StepApply, "", fmt.Sprintf(
		"%s changed entry %q at revision %d", c.Change.Operator, c.Entry, c.Revision))
	err.Field = "Entries." + string(c.Entry)
	return err
}

// transactionOf writes the head, the revision, its history and the edit's row,
// and drops the oldest document that is kept. The rows of edits stay, because an
// edit without one counts as not in effect.
func (a *application) transactionOf(next Snapshot, headVersion uint64) (qf.Transaction, error) {
	value, err := next.Encode()
	if err != nil {
		return qf.Transaction{}, err
	}
	revision, err := json.Marshal(next.Revision)
	if err != nil {
		return qf.Transaction{}, err
	}
	record, err := json.Marshal(editRecord{State: EditAccepted, Revision: next.Revision, Digest: a.digest})
	if err != nil {
		return qf.Transaction{}, err
	}
	transaction := qf.Transaction{
		ID: qf.TransactionID(NewEditID()),
		Conditions: []qf.Condition{
			{Key: rowHead, Version: headVersion},
			{Key: editRow(a.edit.ID), Version: 0},
		},
		Writes: []qf.Write{
			{Key: rowHead, Value: value},
			{Key: rowRevision, Value: revision},
			{Key: historyRow(next.Revision), Value: value},
			{Key: editRow(a.edit.ID), Value: record},
		},
	}
	if next.Revision > MaxRevisions {
		transaction.Writes = append(transaction.Writes,
			qf.Write{Key: historyRow(next.Revision - MaxRevisions), Delete: true})
	}
	return transaction, nil
}

// Settle says for good what became of an edit: it records the edit as refused
// unless it was accepted, so that no write of it can take effect later.
func (s *Store) Settle(ctx context.Context, id string) EditResult {
	value, err := json.Marshal(editRecord{State: EditRefused})
	if err != nil {
		return EditResult{State: EditNotYetKnown, Err: err}
	}
	record, err := s.record(ctx, id)
	if err == nil && record == nil {
		s.table.Commit(ctx, qf.Transaction{
			ID:         qf.TransactionID("settle/" + NewEditID()),
			Conditions: []qf.Condition{{Key: editRow(id), Version: 0}},
			Writes:     []qf.Write{{Key: editRow(id), Value: value}},
		})
		record, err = s.record(ctx, id) // Whatever the answer was, the row tells.
	}
	switch {
	case err != nil:
		return EditResult{State: EditNotYetKnown, Err: err}
	case record == nil:
		return EditResult{State: EditNotYetKnown, Err: qf.NewError(qf.CodeNotYetKnown, qf.StepApply, "", "the settling write hasn't taken effect; settle again")}
	default:
		return record.verdict()
	}
}
