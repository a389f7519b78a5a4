package qfcatalogue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"quetzalfront/internal/qf"
)

// The rows in which the catalogue is kept.
const (
	rowHead          = "catalogue/head"
	rowHistoryPrefix = "catalogue/history/"
)

// Snapshot is the whole catalogue at one revision.
type Snapshot struct {
	// Revision is 0 before the first edit.
	Revision qf.Revision
	Document Document
	Change   Change
}

// Change says who made a revision and which entries it touched.
type Change struct {
	Operator string
	// EditID names the edit, so that a lost answer can be settled.
	EditID  string
	At      time.Time
	Entries []qf.EntryName
}

// Edit is an operator's wish to replace the document.
type Edit struct {
	ID       string
	Operator string
	// Base is the revision that the operator edited.
	Base     qf.Revision
	Document Document
	At       time.Time
}

// Conflict names an entry that this edit touches and that somebody else changed
// after the edit's base.
type Conflict struct {
	Entry    qf.EntryName
	Revision qf.Revision
	Change   Change
}

// EditState says what became of an edit.
type EditState string

// The states of an edit.
const (
	EditAccepted    EditState = "Accepted"
	EditRefused     EditState = "Refused"
	EditNotYetKnown EditState = "NotYetKnown"
)

// Verdict is the answer to an edit.
type Verdict struct {
	State EditState
	// Revision is set exactly if State is EditAccepted.
	Revision  qf.Revision
	Conflicts []Conflict
	// Err is non-nil exactly if State isn't EditAccepted.
	Err error
}

// Store keeps the catalogue in the table service.
type Store struct {
	table qf.Table
}

// NewStore returns a store that keeps the catalogue in the table.
func NewStore(table qf.Table) *Store { return &Store{table: table} }

// NewEditID returns an identifier for an edit.
func NewEditID() string { return uuid.NewString() }

// Head returns the newest snapshot and the version of its row.
func (s *Store) Head(ctx context.Context) (Snapshot, uint64, error) {
	row, err := s.table.Read(ctx, rowHead)
	if errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return Snapshot{}, 0, nil
	}
	if err != nil {
		return Snapshot{}, 0, err
	}
	snapshot, err := Decode(row.Value)
	return snapshot, row.Version, err
}

// At returns the snapshot of a revision.
func (s *Store) At(ctx context.Context, revision qf.Revision) (Snapshot, error) {
	if revision == 0 {
		return Snapshot{}, nil
	}
	row, err := s.table.Read(ctx, historyRow(revision))
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(row.Value)
}

// History returns at most limit revisions after the given one.
func (s *Store) History(ctx context.Context, after qf.Revision, limit int) ([]Snapshot, error) {
	rows, err := s.table.Scan(ctx, rowHistoryPrefix, historyRow(after), limit)
	if err != nil {
		return nil, err
	}
	snapshots := make([]Snapshot, 0, len(rows))
	for _, row := range rows {
		snapshot, err := Decode(row.Value)
		if err != nil {
			return nil, err
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots, nil
}

func historyRow(revision qf.Revision) string {
	return fmt.Sprintf("%s%020d", rowHistoryPrefix, revision)
}

// maxRebases bounds how often an edit is put on a newer head that didn't touch
// its entries.
const maxRebases = 16

// Apply tries to make an edit the newest revision. Edits of different entries
// don't conflict: the edit's entries are put on the newest head.
func (s *Store) Apply(ctx context.Context, edit Edit) Verdict {
	base, err := s.At(ctx, edit.Base)
	if err != nil {
		return Verdict{State: EditRefused, Err: err}
	}
	touched := Touched(&base.Document, &edit.Document)
	for range maxRebases {
		verdict, again := s.tryApply(ctx, edit, touched)
		if !again {
			return verdict
		}
	}
	err = qf.NewError(qf.CodeConflict, qf.StepApply, "", "too many edits at once; try again")
	return Verdict{State: EditRefused, Err: err}
}

// tryApply makes one attempt on the newest head.
func (s *Store) tryApply(ctx context.Context, edit Edit, touched []qf.EntryName) (verdict Verdict, again bool) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return Verdict{State: EditRefused, Err: err}, false
	}
	if head.Change.EditID == edit.ID {
		return Verdict{State: EditAccepted, Revision: head.Revision}, false
	}
	conflicts, err := s.conflicts(ctx, edit, touched)
	if err != nil {
		return Verdict{State: EditRefused, Err: err}, false
	}
	if len(conflicts) > 0 {
		return Verdict{State: EditRefused, Conflicts: conflicts, Err: conflictError(conflicts)}, false
	}
	next := rebased(head, edit, touched)
	transaction, err := commitOf(next, version)
	if err != nil {
		return Verdict{State: EditRefused, Err: err}, false
	}
	result := s.table.Commit(ctx, transaction)
	switch {
	case result.Certainty == qf.Done:
		return Verdict{State: EditAccepted, Revision: next.Revision}, false
	case result.Certainty == qf.Unknown:
		return Verdict{State: EditNotYetKnown, Err: result.Err}, false
	case errors.Is(result.Err, &qf.Error{Code: qf.CodeConflict}):
		return Verdict{}, true
	default:
		return Verdict{State: EditRefused, Err: result.Err}, false
	}
}

func conflictError(conflicts []Conflict) error {
	c := conflicts[0]
	err := qf.NewError(qf.CodeConflict, qf.StepApply, "", fmt.Sprintf(
		"%s changed entry %q at revision %d", c.Change.Operator, c.Entry, c.Revision))
	err.Field = "Entries." + string(c.Entry)
	return err
}

// conflicts lists the changes since the edit's base that touch its entries.
func (s *Store) conflicts(ctx context.Context, edit Edit, touched []qf.EntryName) ([]Conflict, error) {
	since, err := s.History(ctx, edit.Base, maxHistoryRead)
	if err != nil {
		return nil, err
	}
	var conflicts []Conflict
	for _, snapshot := range since {
		for _, name := range snapshot.Change.Entries {
			if containsEntry(touched, name) {
				conflicts = append(conflicts, Conflict{Entry: name, Revision: snapshot.Revision, Change: snapshot.Change})
			}
		}
	}
	return conflicts, nil
}

const maxHistoryRead = 1000

func containsEntry(names []qf.EntryName, name qf.EntryName) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func commitOf(next Snapshot, headVersion uint64) (qf.Transaction, error) {
	value, err := next.Encode()
	if err != nil {
		return qf.Transaction{}, err
	}
	return qf.Transaction{
		ID: qf.TransactionID(next.Change.EditID),
		Conditions: []qf.Condition{
			{Key: rowHead, Version: headVersion},
			{Key: historyRow(next.Revision), Version: 0},
		},
		Writes: []qf.Write{
			{Key: rowHead, Value: value},
			{Key: historyRow(next.Revision), Value: value},
		},
	}, nil
}

// Touched lists the entries in which the two documents differ.
func Touched(before, after *Document) []qf.EntryName {
	var names []qf.EntryName
	for i := range after.Entries {
		e := &after.Entries[i]
		old := before.Entry(e.Name)
		if old == nil || !reflect.DeepEqual(old, e) {
			names = append(names, e.Name)
		}
	}
	for i := range before.Entries {
		if after.Entry(before.Entries[i].Name) == nil {
			names = append(names, before.Entries[i].Name)
		}
	}
	return names
}

// rebased puts the edit's entries on the head.
func rebased(head Snapshot, edit Edit, touched []qf.EntryName) Snapshot {
	var entries []Entry
	for i := range head.Document.Entries {
		if !containsEntry(touched, head.Document.Entries[i].Name) {
			entries = append(entries, head.Document.Entries[i])
		}
	}
	for i := range edit.Document.Entries {
		if containsEntry(touched, edit.Document.Entries[i].Name) {
			entries = append(entries, edit.Document.Entries[i])
		}
	}
	return Snapshot{
		Revision: head.Revision + 1,
		Document: Document{Entries: entries},
		Change:   Change{Operator: edit.Operator, EditID: edit.ID, At: edit.At, Entries: touched},
	}
}

// Encode renders the snapshot for the table and for peers.
func (s *Snapshot) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a snapshot that Encode rendered.
func Decode(value []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(value, &s); err != nil {
		return Snapshot{}, qf.NewError(qf.CodeInternal, qf.StepDecode, "", "catalogue snapshot: "+err.Error())
	}
	return s, nil
}

// TOML renders the document for people.
func (d *Document) TOML() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(d); err != nil {
		return "", err
	}
	return b.String(), nil
}
