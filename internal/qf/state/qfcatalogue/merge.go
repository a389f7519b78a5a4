package qfcatalogue

import (
	"bytes"
	"encoding/json"
	"slices"

	"quetzalfront/internal/qf"
)

// ChangedEntries lists the entries in which the two documents differ.
func ChangedEntries(before, after *Document) []qf.EntryName {
	var names []qf.EntryName
	for i := range after.Entries {
		e := &after.Entries[i]
		old := before.Entry(e.Name)
		if old == nil || !isSameEntry(old, e) {
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

// isSameEntry compares the stored form of two entries, so that an entry from the table
// and one from a file differ only if their content does.
func isSameEntry(a, b *Entry) bool {
	first, err := json.Marshal(a)
	if err != nil {
		return false
	}
	second, err := json.Marshal(b)
	return err == nil && bytes.Equal(first, second)
}

// applyEdit returns the head with the changed entries of the edit as its next revision.
func applyEdit(head Snapshot, edit Edit, changed []qf.EntryName) Snapshot {
	var entries []Entry
	for i := range head.Document.Entries {
		if !slices.Contains(changed, head.Document.Entries[i].Name) {
			entries = append(entries, head.Document.Entries[i])
		}
	}
	for i := range edit.Document.Entries {
		if slices.Contains(changed, edit.Document.Entries[i].Name) {
			entries = append(entries, edit.Document.Entries[i])
		}
	}
	return Snapshot{
		Revision: head.Revision + 1,
		Document: Document{Entries: entries},
		Change:   Change{Operator: edit.Operator, EditID: edit.ID, At: edit.At, Entries: changed},
	}
}
