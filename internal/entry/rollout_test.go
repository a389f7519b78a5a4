package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// TestRollout fails if a version gets requests without an order, if a good one isn't rolled out
// in time, or if a bad one gets more than a small share or isn't rolled back.
func TestRollout(t *testing.T) {
	tests := []struct {
		name  string
		isBad bool
		want  string
	}{
		{"good", false, `"state":"succeeded"`},
		{"bad", true, `"state":"rolled_back"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 3, func(w *testFleet) {
				w.addReplica("new-1", "books", 5)
				w.store.Put("servers", "new-1", []byte(
					`{"service":"books","address":"10.8.0.5:80","zone":"north-a","version":"v2","slots":8,"state":"ready","seq":1,"born":1}`))
				w.sleep(2 * time.Second)
				call := func(i int) { w.call(w.t.Context(), i%3+1, http.MethodPost, "/file/1", "body") }
				for i := range 60 {
					call(i)
				}
				if runs := len(w.replicas["new-1"].Runs()); runs != 0 {
					t.Errorf("a version without an order got %d requests", runs)
				}
				if tt.isBad {
					w.replicas["new-1"].SetNextBehaviours(repeated(standreplica.Fails, 1000)...)
				}
				const calls, seconds = 1200, 12
				w.store.Put("op", "rollout/books", []byte(`{"service":"books","to":"v2","duration-s":12}`))
				state := ""
				for i := range calls {
					call(i)
					w.sleep(seconds * time.Second / calls)
					value, _ := w.store.Get("status", "rollout/books")
					state = string(value)
				}
				if !strings.Contains(state, tt.want) || !strings.Contains(state, `"to":"v2"`) {
					t.Errorf("the operator reads %s, want %s", state, tt.want)
				}
				if runs := len(w.replicas["new-1"].Runs()); tt.isBad && runs > calls/10+50 {
					t.Errorf("a bad version got %d of %d requests", runs, calls)
				}
				before := len(w.replicas["new-1"].Runs())
				for i := range 30 {
					call(i)
				}
				after := len(w.replicas["new-1"].Runs())
				if gets := after - before; gets != 30 && !tt.isBad || gets != 0 && tt.isBad {
					t.Errorf("after the rollout the new version gets %d of 30 requests", gets)
				}
			})
		})
	}
}

func repeated(b standreplica.Behaviour, count int) []standreplica.Behaviour {
	list := make([]standreplica.Behaviour, count)
	for i := range list {
		list[i] = b
	}
	return list
}
