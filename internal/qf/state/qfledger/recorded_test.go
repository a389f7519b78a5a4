package qfledger

import (
	"encoding/json"
	"strconv"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// TestRowIsAsRecorded checks that the stored format hasn't changed, so that builds of
// different releases read each other's records of once-only requests.
func TestRowIsAsRecorded(t *testing.T) {
	qftest.CheckJSON(t, "intent", decode, func(r *row) ([]byte, error) { return json.Marshal(r) })
}

// TestKeyAndFingerprintAreAsRecorded checks that a request recorded by one build is
// recognised when it is repeated at another.
func TestKeyAndFingerprintAreAsRecorded(t *testing.T) {
	var request qf.Request
	qftest.Fill(qftest.JSON, &request)
	qftest.CheckLines(t, "request", strconv.Quote(rowKey(&request)), strconv.FormatUint(fingerprint(&request), 10))
	qftest.CheckLines(t, "states", string(qf.IntentRunning), string(qf.IntentAnswered), string(qf.IntentUnknown), string(intentFree))
}
