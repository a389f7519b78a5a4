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
	// maxAttempts bounds how often one edit is applied to a newer head.
	maxAttempts = 64
	// resolveFor bounds the time for which an edit whose answer was lost is retried
	// before its outcome is returned as not yet known.
	resolveFor      = 8 * time.Second
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = time.Second
	retryMultiplier = 2
)

// editRecord is the stored record of an edit. If there is none, the edit hasn't taken
// effect; once there is one, no further write of the edit can take effect.
type editRecord struct {
	State EditState
	// Revision is set exactly if State is EditAccepted.
	Revision qf.Revision
	// Digest distinguishes two edits that have the same identifier.
	Digest uint64
}

func editRow(id string) string { return rowEditPrefix + id }

// digestOf returns a hash of an edit's base and document.
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
	// isUncertain is true while an earlier write of the edit may still take effect.
	isUncertain bool
	// uncertainVersion is the version of the head that the uncertain write requires.
	uncertainVersion uint64
}

// Apply tries to make an edit the newest revision. Edits of different entries
// don't conflict: the changed entries are applied to the newest head. A write whose
// answer was lost is retried under the same conditions, so that at most one of the
// two takes effect; the edit's record then shows the outcome. Applying an accepted
// edit once more returns its revision, whatever revisions followed it.
func (s *Store) Apply(ctx context.Context, edit Edit) EditResult {
	a := &application{Store: s, edit: edit, digest: digestOf(&edit)}
	end := s.clock.Now().Add(resolveFor)
	wait := minRetryDelay
	for range maxAttempts {
		result, retry := a.attempt(ctx)
		if !retry {
			return result
		}
		if a.isUncertain {
			if s.clock.Now().Add(wait).After(end) || !s.sleep(ctx, wait) {
				return result
			}
			wait = min(wait*retryMultiplier, maxRetryDelay)
		}
	}
	return a.refused(qf.NewError(qf.CodeConflict, qf.StepApply, "", "too many edits at once; try again"))
}

// sleep waits for a duration. It returns false if the context ended before.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	due := s.clock.After(d)
	defer due.Stop()
	select {
	case <-due.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt to apply the edit to the newest head. The head is read
// before the edit's record: if the head has changed since an uncertain write, and
// there is no record, that write can no longer take effect.
func (a *application) attempt(ctx context.Context) (result EditResult, retry bool) {
	head, version, err := a.Head(ctx)
	if err != nil {
		return a.failed(err)
	}
	record, err := a.record(ctx, a.edit.ID)
	if err != nil {
		return a.failed(err)
	}
	if record != nil {
		return a.resultOf(record), false
	}
	if a.isUncertain && version != a.uncertainVersion {
		a.isUncertain = false
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

// commit writes the next revision.
func (a *application) commit(ctx context.Context, next Snapshot, version uint64) (result EditResult, retry bool) {
	transaction, err := a.transactionOf(next, version)
	if err != nil {
		return a.failed(err)
	}
	committed := a.table.Commit(ctx, transaction)
	switch {
	case committed.Certainty == qf.Done:
		return EditResult{State: EditAccepted, Revision: next.Revision}, false
	case committed.Certainty == qf.Unknown:
		a.isUncertain = true
		a.uncertainVersion = version
		return a.unknown(committed.Err), true
	case errors.Is(committed.Err, &qf.Error{Code: qf.CodeConflict}):
		return a.unknown(committed.Err), true
	default:
		return a.failed(committed.Err)
	}
}

// failed refuses the edit if no write of it can take effect any more, and asks for a
// retry otherwise.
func (a *application) failed(err error) (result EditResult, retry bool) {
	if a.isUncertain {
		return a.unknown(err), true
	}
	return a.refused(err), false
}

// refused returns the result of an edit that has failed. It is EditNotYetKnown while a
// write may still take effect.
func (a *application) refused(err error) EditResult {
	if a.isUncertain {
		return a.unknown(err)
	}
	return EditResult{State: EditRefused, Err: err}
}

func (a *application) unknown(err error) EditResult {
	return EditResult{State: EditNotYetKnown, Err: err}
}

// resultOf returns the result that the edit's record shows.
func (a *application) resultOf(record *editRecord) EditResult {
	if record.State == EditAccepted && record.Digest != a.digest {
		err := qf.NewError(qf.CodeKeyReused, qf.StepApply, "", "the edit's identifier is used by another edit")
		return EditResult{State: EditRefused, Err: err}
	}
	return record.result()
}

func (r *editRecord) result() EditResult {
	if r.State == EditAccepted {
		return EditResult{State: EditAccepted, Revision: r.Revision}
	}
	err := qf.NewError(qf.CodeConflict, qf.StepApply, "", "the edit was recorded as refused and can't take effect; apply the file again")
	return EditResult{State: EditRefused, Err: err}
}

// record returns the edit's record, or nil.
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

// rebase applies the changed entries to the head. It also lists the changes that other
// edits have made to them since the edit's base.
func (a *application) rebase(ctx context.Context, head Snapshot) (Snapshot, []Conflict, error) {
	base, err := a.At(ctx, a.edit.Base)
	if err != nil {
		return Snapshot{}, nil, err
	}
	if a.edit.Base > head.Revision {
		return Snapshot{}, nil, qf.NewError(qf.CodeStaleRevision, qf.StepApply, "", fmt.Sprintf("the base is newer than revision %d", head.Revision))
	}
	changed := ChangedEntries(&base.Document, &a.edit.Document)
	since, err := a.History(ctx, a.edit.Base, head.Revision)
	if err != nil {
		return Snapshot{}, nil, err
	}
	return applyEdit(head, a.edit, changed), conflictsWith(since, changed), nil
}

// conflictsWith lists the changes that the revisions made to the changed entries.
func conflictsWith(since []Snapshot, changed []qf.EntryName) []Conflict {
	var conflicts []Conflict
	for i := range since {
		for _, name := range since[i].Change.Entries {
			if slices.Contains(changed, name) {
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

// transactionOf writes the head, the revision, its history and the edit's record, and
// deletes the oldest document that is kept. The records of edits are never deleted,
// because an edit without one counts as not in effect.
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

// Settle makes the outcome of an edit final: it records the edit as refused unless it was
// accepted, so that no write of it can take effect later.
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
		record, err = s.record(ctx, id) // The record shows the outcome, whatever the answer was.
	}
	switch {
	case err != nil:
		return EditResult{State: EditNotYetKnown, Err: err}
	case record == nil:
		return EditResult{State: EditNotYetKnown, Err: qf.NewError(qf.CodeNotYetKnown, qf.StepApply, "", "the refusal of the edit isn't recorded yet; settle again")}
	default:
		return record.result()
	}
}
