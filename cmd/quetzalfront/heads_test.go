package main

import (
	"testing"

	"quetzalfront/internal/qftest"
)

// TestUnsoundHeadsAreNoReports fails if an answer whose head HTTP doesn't allow counts as a node's answer to an operator's command.
func TestUnsoundHeadsAreNoReports(t *testing.T) {
	for _, head := range qftest.UnsoundHeads() {
		t.Run(head.Name, func(t *testing.T) {
			address := head.Start(t, "", "{}")
			var report any
			if err := (&operatorFlags{node: address.String()}).get(t.Context(), "/", &report); err == nil {
				t.Errorf("the report %v counts", report)
			}
			if text, err := fetchText(t.Context(), "http://"+address.String()+"/"); err == nil {
				t.Errorf("the text %q counts", text)
			}
		})
	}
}
