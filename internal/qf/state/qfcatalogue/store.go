package qfcatalogue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"quetzalfront/internal/qf"
)

// The keys of the catalogue's rows.
const (
	rowHead          = "catalogue/head"
	rowRevision      = "catalogue/revision"
	rowHistoryPrefix = "catalogue/history/"
	rowEditPrefix    = "catalogue/edit/"
)

// MaxRevisions is the number of revisions whose documents are kept. An edit based on
// an older revision is refused.
const MaxRevisions = 4096

// Snapshot is the whole catalogue at one revision.
type Snapshot struct {
	// Revision is 0 before the first edit.
	Revision qf.Revision
	Document Document
	Change   Change
}

// Change describes who made a revision and which entries it changed.
type Change struct {
	Operator string
	// EditID identifies the edit, so that its outcome can be determined if the answer
	// was lost.
	EditID  string
	At      time.Time
	Entries []qf.EntryName
}

// Edit is an operator's request to replace the document.
type Edit struct {
	ID       string
	Operator string
	// Base is the revision that the operator edited.
	Base     qf.Revision
	Document Document
	At       time.Time
}

// Conflict is a change to an entry that this edit changes too, made by another edit
// after this edit's base.
type Conflict struct {
	Entry    qf.EntryName
	Revision qf.Revision
	Change   Change
}

// EditState is the outcome of an edit.
type EditState string

// The states of an edit.
const (
	EditAccepted    EditState = "Accepted"
	EditRefused     EditState = "Refused"
	EditNotYetKnown EditState = "NotYetKnown"
)

// EditResult is the result of applying an edit.
type EditResult struct {
	State EditState
	// Revision is set if and only if State is EditAccepted.
	Revision  qf.Revision
	Conflicts []Conflict
	// Err is nil if and only if State is EditAccepted.
	Err error
}

// Store keeps the catalogue in the table service.
type Store struct {
	table qf.Table
	clock qf.Clock
}

// NewStore returns a store that keeps the catalogue in the table. The clock
// times retries.
func NewStore(table qf.Table, clock qf.Clock) *Store { return &Store{table: table, clock: clock} }

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
	if errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return Snapshot{}, notKept(revision)
	}
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(row.Value)
}

// Latest returns the number of the newest revision, without its document, for frequent
// polls.
func (s *Store) Latest(ctx context.Context) (qf.Revision, error) {
	row, err := s.table.Read(ctx, rowRevision)
	if errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var revision qf.Revision
	if err := json.Unmarshal(row.Value, &revision); err != nil {
		return 0, decodeError("catalogue revision", err)
	}
	return revision, nil
}

// historyPage is the maximum number of revisions read at once.
const historyPage = 200

// History returns the revisions after one up to another, oldest first. It fails with
// CodeNotFound if some of them are no longer kept.
func (s *Store) History(ctx context.Context, after, upTo qf.Revision) ([]Snapshot, error) {
	var snapshots []Snapshot
	for after < upTo {
		rows, err := s.table.Scan(ctx, rowHistoryPrefix, historyRow(after), int(min(historyPage, upTo-after)))
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			snapshot, err := Decode(row.Value)
			if err != nil {
				return nil, err
			}
			if snapshot.Revision != after+1 {
				return nil, notKept(after + 1)
			}
			after++
			snapshots = append(snapshots, snapshot)
		}
		if len(rows) == 0 {
			return nil, notKept(after + 1)
		}
	}
	return snapshots, nil
}

// Recent returns the revisions that are kept, oldest first.
func (s *Store) Recent(ctx context.Context) ([]Snapshot, error) {
	latest, err := s.Latest(ctx)
	if err != nil {
		return nil, err
	}
	return s.History(ctx, latest-min(latest, MaxRevisions), latest)
}

func notKept(revision qf.Revision) error {
	return qf.NewError(qf.CodeNotFound, qf.StepCatalogueRead, "", fmt.Sprintf("revision %d is no longer kept; get the newest revision and edit that", revision))
}

func historyRow(revision qf.Revision) string {
	return fmt.Sprintf("%s%020d", rowHistoryPrefix, revision)
}

// Encode encodes the snapshot for the table and for peers.
func (s *Snapshot) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode decodes a snapshot that Encode returned.
func Decode(value []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(value, &s); err != nil {
		return Snapshot{}, decodeError("catalogue snapshot", err)
	}
	return s, nil
}

func decodeError(what string, err error) error {
	return qf.NewError(qf.CodeInternal, qf.StepDecode, "", what+": "+err.Error())
}

// TOML returns the document in TOML, as operators edit it.
func (d *Document) TOML() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(d); err != nil {
		return "", err
	}
	return b.String(), nil
}
