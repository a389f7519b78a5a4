package qfcatalogue

import (
	"strconv"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// TestRowsAreAsRecorded checks that the stored formats haven't changed, so that builds of
// different releases read each other's catalogues and edits.
func TestRowsAreAsRecorded(t *testing.T) {
	qftest.CheckJSON(t, "snapshot", Decode, (*Snapshot).Encode)
	qftest.CheckPlainJSON[qf.Revision](t, "revision")
	qftest.CheckPlainJSON[editRecord](t, "edit")
	qftest.CheckLines(t, "keys", rowHead, rowRevision, historyRow(7), editRow("edit"))
	qftest.CheckLines(t, "edit-states", string(EditAccepted), string(EditRefused))
}

// TestEditDigestIsAsRecorded checks that an edit recorded by one build is recognised when
// it is repeated at another.
func TestEditDigestIsAsRecorded(t *testing.T) {
	var filled Snapshot
	qftest.Fill(qftest.JSON, &filled)
	edit := Edit{Base: filled.Revision, Document: filled.Document}
	qftest.CheckLines(t, "edit-digest", strconv.FormatUint(digestOf(&edit), 10))
}
