package contract

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftable"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standrows"
	"quetzalfront/internal/standin/standtable"
	"quetzalfront/platform"
)

// table is one implementation of the table, with its fault injection.
type table struct {
	qf.Table
	setFaults func(standfault.Faults)
	// era is the era that rows are read in.
	era qf.StoreEra
}

var tables = map[string]func(t *testing.T) table{
	"stand-in": func(*testing.T) table {
		stand := standtable.New(qftimer.NewWall())
		return table{Table: stand, setFaults: stand.SetFaults}
	},
	"adapter": func(t *testing.T) table {
		stand := standtable.New(qftimer.NewWall())
		return table{Table: qftable.NewClient(serverAddress, callTimeout, serve(t, stand.Handler())), setFaults: stand.SetFaults}
	},
	"customer platform": func(t *testing.T) table {
		stand := standrows.New(qftimer.NewWall(), standtable.ReadsPerSecond, standtable.WritesPerSecond)
		store := platform.NewStore(serverAddress, callTimeout, serve(t, stand.Handler()))
		return table{Table: prefixedStore{store}, setFaults: stand.SetFaults, era: qf.StoreEra(stand.Era())}
	},
}

// prefixedStore puts all keys of a test into one table of the customer's platform,
// because that platform orders rows only within a table.
type prefixedStore struct{ *platform.Store }

const testKeyPrefix = "tests/"

func (o prefixedStore) Read(ctx context.Context, key string) (qf.Row, error) {
	row, err := o.Store.Read(ctx, testKeyPrefix+key)
	row.Key = strings.TrimPrefix(row.Key, testKeyPrefix)
	return row, err
}

func (o prefixedStore) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	if after != "" {
		after = testKeyPrefix + after
	}
	rows, err := o.Store.Scan(ctx, testKeyPrefix+prefix, after, limit)
	for i := range rows {
		rows[i].Key = strings.TrimPrefix(rows[i].Key, testKeyPrefix)
	}
	return rows, err
}

func (o prefixedStore) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	t := qf.Transaction{ID: transaction.ID}
	for _, c := range transaction.Conditions {
		t.Conditions = append(t.Conditions, qf.Condition{Key: testKeyPrefix + c.Key, Version: c.Version})
	}
	for _, w := range transaction.Writes {
		w.Key = testKeyPrefix + w.Key
		t.Writes = append(t.Writes, w)
	}
	return o.Store.Commit(ctx, t)
}

// insert returns a transaction that writes a row under the condition that the row does
// not exist.
func insert(id qf.TransactionID, key string) qf.Transaction {
	return qf.Transaction{
		ID: id, Conditions: []qf.Condition{{Key: key}},
		Writes: []qf.Write{{Key: key, Value: []byte("value of " + string(id))}},
	}
}

func (b *table) mustCommit(t *testing.T, transaction qf.Transaction) {
	t.Helper()
	wantResult(t, b.Commit(t.Context(), transaction), qf.Done, "")
}

// writer returns the transaction that last wrote the row, or "" if the row does not
// exist.
func (b *table) writer(t *testing.T, key string) qf.TransactionID {
	t.Helper()
	row, err := b.Read(t.Context(), key)
	if err != nil {
		wantCode(t, err, qf.CodeNotFound)
	}
	return row.Writer
}

func TestTableCommitIsAtomic(t *testing.T) {
	tests := []struct {
		name       string
		conditions []qf.Condition
		certainty  qf.Certainty
		code       qf.Code
	}{
		{"no condition", nil, qf.Done, ""},
		{"all hold", []qf.Condition{{Key: "a", Version: 2}, {Key: "b", Version: 1}, {Key: "c"}}, qf.Done, ""},
		{"an older version", []qf.Condition{{Key: "a", Version: 1}}, qf.NotDone, qf.CodeConflict},
		{"a newer version", []qf.Condition{{Key: "a", Version: 3}}, qf.NotDone, qf.CodeConflict},
		{"presence where absence is required", []qf.Condition{{Key: "a"}}, qf.NotDone, qf.CodeConflict},
		{"absence where presence is required", []qf.Condition{{Key: "c", Version: 1}}, qf.NotDone, qf.CodeConflict},
		{"the last of several fails", []qf.Condition{{Key: "a", Version: 2}, {Key: "b", Version: 2}}, qf.NotDone, qf.CodeConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, tables, func(t *testing.T, b table) {
				b.mustCommit(t, qf.Transaction{ID: "first", Writes: []qf.Write{{Key: "a"}, {Key: "b"}}})
				b.mustCommit(t, qf.Transaction{ID: "second", Writes: []qf.Write{{Key: "a", Value: []byte("x")}}})
				result := b.Commit(t.Context(), qf.Transaction{
					ID: "tested", Conditions: test.conditions,
					Writes: []qf.Write{{Key: "a", Value: []byte("y")}, {Key: "b", Delete: true}, {Key: "c", Value: []byte("z")}},
				})
				wantResult(t, result, test.certainty, test.code)
				got := []qf.TransactionID{b.writer(t, "a"), b.writer(t, "b"), b.writer(t, "c")}
				want := []qf.TransactionID{"second", "first", ""}
				if test.certainty == qf.Done {
					want = []qf.TransactionID{"tested", "", "tested"}
				}
				if !slices.Equal(got, want) {
					t.Errorf("the rows were written by %q, want %q", got, want)
				}
			})
		})
	}
}

func TestTableScanOrder(t *testing.T) {
	keys := []string{"p/", "p/../q", "p//x", "p/a b", "p/a%2Fb", "p/ä", "q/1"}
	tests := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{"", "", 100, keys},
		{"p/", "", 100, keys[:6]},
		{"p/", "p//x", 100, keys[3:6]},
		{"p/", "", 2, keys[:2]},
		{"q/", "q/1", 100, nil},
		{"", "", 0, nil},
	}
	forEachImplementation(t, tables, func(t *testing.T, b table) {
		for _, key := range keys {
			b.mustCommit(t, insert(qf.TransactionID(key), key))
			row, err := b.Read(t.Context(), key)
			want := qf.Row{Key: key, Version: 1, Value: []byte("value of " + key), Writer: qf.TransactionID(key), Era: b.era}
			if err != nil || !reflect.DeepEqual(row, want) {
				t.Errorf("row %+v, %v; want %+v", row, err, want)
			}
		}
		for _, test := range tests {
			rows, err := b.Scan(t.Context(), test.prefix, test.after, test.limit)
			var got []string
			for _, row := range rows {
				got = append(got, row.Key)
			}
			if err != nil || !slices.Equal(got, test.want) {
				t.Errorf("scan of %+v: %q, %v", test, got, err)
			}
		}
	})
}

// effect is when a write becomes visible to reads.
type effect string

const (
	effectNever     effect = "Never"
	effectImmediate effect = "Now"
	effectLate      effect = "Late"
)

func TestTableFaults(t *testing.T) {
	const lateBy = 10 * time.Second
	tests := []struct {
		name      string
		faults    standfault.Faults
		certainty qf.Certainty
		code      qf.Code
		effect    effect
		readCode  qf.Code
	}{
		{"none", standfault.Faults{}, qf.Done, "", effectImmediate, ""},
		{"slow but within the timeout", standfault.Faults{Delay: callTimeout / 2}, qf.Done, "", effectImmediate, ""},
		{"down", standfault.Faults{Down: true}, qf.NotDone, qf.CodeUnavailable, effectNever, qf.CodeUnavailable},
		{"response lost after the write", standfault.Faults{LoseAnswers: 1}, qf.Unknown, "", effectImmediate, ""},
		{"write takes effect late", standfault.Faults{ApplyLate: 1, LateBy: lateBy}, qf.Unknown, "", effectLate, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, tables, func(t *testing.T, b table) {
				b.mustCommit(t, insert("before", "before"))
				b.setFaults(test.faults)
				result := b.Commit(t.Context(), insert("tested", "row"))
				wantResult(t, result, test.certainty, test.code)
				_, err := b.Read(t.Context(), "before")
				wantCode(t, err, test.readCode)
				b.setFaults(standfault.Faults{})
				if visible := b.writer(t, "row") == "tested"; visible != (test.effect == effectImmediate) {
					t.Errorf("the write is visible immediately: %t, want effect %s", visible, test.effect)
				}
				sleep(lateBy)
				if visible := b.writer(t, "row") == "tested"; visible != (test.effect != effectNever) {
					t.Errorf("the write is visible after the delay: %t, want effect %s", visible, test.effect)
				}
			})
		})
	}
}

// TestTableCancelledCommit cancels a commit before the slow service applies it. A
// result of NotDone promises that the commit never takes effect; Unknown is allowed.
func TestTableCancelledCommit(t *testing.T) {
	forEachImplementation(t, tables, func(t *testing.T, b table) {
		b.setFaults(standfault.Faults{Delay: time.Minute})
		ctx, cancel := contextWithTimeout(t, time.Second)
		defer cancel()
		result := b.Commit(ctx, insert("tested", "row"))
		if result.Certainty == qf.Done {
			t.Fatalf("a commit that was not applied is reported as %s", result.Certainty)
		}
		b.setFaults(standfault.Faults{})
		sleep(time.Hour)
		if result.Certainty == qf.NotDone && b.writer(t, "row") != "" {
			t.Error("a commit reported as NotDone took effect")
		}
	})
}

// TestTableLateWriteLosesToNewerWrite checks that a write whose result is Unknown
// cannot take effect any more once a newer write of the same row has committed.
func TestTableLateWriteLosesToNewerWrite(t *testing.T) {
	forEachImplementation(t, tables, func(t *testing.T, b table) {
		b.setFaults(standfault.Faults{ApplyLate: 1, LateBy: time.Minute})
		wantResult(t, b.Commit(t.Context(), insert("late", "row")), qf.Unknown, "")
		b.mustCommit(t, insert("settling", "row"))
		sleep(time.Hour)
		if got := b.writer(t, "row"); got != "settling" {
			t.Errorf("the row was written by %q", got)
		}
	})
}

func TestTableRateLimit(t *testing.T) {
	forEachImplementation(t, tables, func(t *testing.T, b table) {
		refused := 0
		for i := range 2 * standtable.WritesPerSecond {
			key := fmt.Sprintf("row-%04d", i)
			result := b.Commit(t.Context(), insert(qf.TransactionID(key), key))
			if result.Certainty == qf.Done {
				continue
			}
			refused++
			wantResult(t, result, qf.NotDone, qf.CodeLimited)
			if retryAfter(result.Err) <= 0 {
				t.Fatal("a rate limit error has no retry delay")
			}
		}
		if refused != standtable.WritesPerSecond {
			t.Errorf("%d of %d writes within one second were refused", refused, 2*standtable.WritesPerSecond)
		}
		rows, err := b.Scan(t.Context(), "", "", 2*standtable.WritesPerSecond)
		if err != nil || len(rows) != standtable.WritesPerSecond {
			t.Errorf("%d rows, %v", len(rows), err)
		}
		sleep(time.Second)
		b.mustCommit(t, insert("after", "after"))
	})
}

// TestTableAdapterReportsRefusedConnection checks that a refused connection is NotDone,
// not Unknown, so that callers may safely retry.
func TestTableAdapterReportsRefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := qftable.NewClient(closedAddress, callTimeout, serve(t, http.NotFoundHandler()))
		wantResult(t, client.Commit(t.Context(), insert("tested", "row")), qf.NotDone, qf.CodeUnavailable)
		_, err := client.Read(t.Context(), "row")
		wantCode(t, err, qf.CodeUnavailable)
	})
}
