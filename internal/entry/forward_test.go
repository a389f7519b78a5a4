package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

const tokens = "10,20"

// wholeStream is the answer of a sound endpoint to a generation.
func wholeStream(id string) string {
	var b strings.Builder
	for number := 1; number <= 4; number++ {
		b.WriteString(standreplica.StreamEvent(id, number))
	}
	return b.String()
}

// TestForward guards what callers are promised: whole answers, at most one run where
// that is required, and refusals that are true.
func TestForward(t *testing.T) {
	type behaviours = []standreplica.Behaviour
	tests := []struct {
		name string
		path string
		// first and second are what the endpoints do with the first and second request
		// that reaches each of them.
		does   behaviours
		status int
		// runs bounds how often the request may run; body says whether the whole answer
		// must come.
		runs int
		body bool
		// isCut says that the answer must not look complete.
		isCut bool
	}{
		{name: "call", path: "/file/1", status: 200, runs: 1, body: true},
		{name: "stream", path: "/talk/1", status: 200, runs: 1, body: true},
		{name: "read tried again after a failure", path: "/read/1", does: behaviours{standreplica.Fails}, status: 500, runs: 2},
		{name: "read tried again after a reset", path: "/read/1", does: behaviours{standreplica.Resets}, status: 502, runs: 2},
		{name: "read cut in its answer", path: "/read/1", does: behaviours{standreplica.Truncates}, status: 502, runs: 2},
		{name: "filing fails", path: "/file/1", does: behaviours{standreplica.Fails}, status: 500, runs: 1},
		{name: "filing reset", path: "/file/1", does: behaviours{standreplica.Resets}, status: 502, runs: 1},
		{name: "filing cut in its answer", path: "/file/1", does: behaviours{standreplica.Truncates}, status: 502, runs: 1},
		{name: "filing hangs", path: "/file/1", does: behaviours{standreplica.Hangs}, status: 504, runs: 1},
		{name: "filing shed by all", path: "/file/1", does: behaviours{standreplica.Sheds, standreplica.Sheds}, status: 503, runs: 0},
		{name: "filing refused without a promise", path: "/file/1", does: behaviours{standreplica.Busy}, status: 502, runs: 1},
		{name: "answer without a length", path: "/read/1", does: behaviours{standreplica.CloseDelimited}, status: 200, runs: 1, body: true},
		{name: "answer sent twice", path: "/read/1", does: behaviours{standreplica.Repeats}, status: 200, runs: 1, body: true},
		{name: "stream cut that may be resumed", path: "/ask/1", does: behaviours{standreplica.Truncates}, status: 200, runs: 2, isCut: true},
		{name: "stream cut that may not be resumed", path: "/talk/1", does: behaviours{standreplica.Truncates}, status: 200, runs: 1, isCut: true},
		{name: "stream hangs", path: "/talk/1", does: behaviours{standreplica.Hangs}, status: 504, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				w.behave("", tt.does...)
				var headers []string
				if strings.HasPrefix(tt.path, "/ask/") || strings.HasPrefix(tt.path, "/talk/") {
					headers = []string{"X-Token-Counts", tokens}
				}
				a := w.call(w.t.Context(), 1, http.MethodPost, tt.path, "body", headers...)
				if a.status != tt.status || (a.err != nil) != tt.isCut {
					t.Errorf("status %d, error %v; want status %d, cut %v", a.status, a.err, tt.status, tt.isCut)
				}
				if runs := w.runsOf(a.id); runs != tt.runs {
					t.Errorf("it ran %d times, want %d", runs, tt.runs)
				}
				isWhole := a.body == wholeStream(a.id) || strings.HasPrefix(a.body, "answer to "+a.id+" by ")
				if tt.body && !isWhole {
					t.Errorf("the body is %q", a.body)
				}
			})
		})
	}
}

// TestStreamResumes cuts a stream at one endpoint: the other goes on after the last
// whole event, in the same answer.
func TestStreamResumes(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		for range 4 {
			w.replicas["chat-1"].SetNextBehaviours(standreplica.Truncates)
			a := w.call(w.t.Context(), 1, http.MethodPost, "/ask/1", "body", "X-Token-Counts", tokens)
			if a.err != nil || a.body != wholeStream(a.id) {
				t.Errorf("got %q, %v", a.body, a.err)
			}
		}
	})
}

// TestAnswersAreNotMixed lets an endpoint send each answer twice on connections that are
// used again: nobody may get the answer to another request.
func TestAnswersAreNotMixed(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		for range 20 {
			w.behave("books", standreplica.Repeats)
			a := w.call(w.t.Context(), 1, http.MethodGet, "/read/1", "")
			if a.status == http.StatusOK && !strings.HasPrefix(a.body, "answer to "+a.id+" by ") {
				t.Fatalf("request %s got %q", a.id, a.body)
			}
		}
	})
}

// TestRefusals guards that callers get true reasons, and that nothing refused runs.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"unknown path", "/none/1", "", nil, 404},
		{"unknown key", "/read/1", "", []string{"Authorization", "Bearer " + otherKey}, 401},
		{"no key", "/read/1", "", []string{"Authorization", ""}, 401},
		{"body too large", "/file/1", strings.Repeat("x", 1001), nil, 413},
		{"bad deadline", "/file/1", "", []string{"X-Deadline-Ms", "soon"}, 400},
		{"bad prompt", "/talk/1", "", []string{"X-Token-Counts", "many"}, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				a := w.call(w.t.Context(), 1, http.MethodPost, tt.path, tt.body, tt.headers...)
				if a.status != tt.status {
					t.Errorf("status %d, want %d: %s", a.status, tt.status, a.body)
				}
				if w.runsOf(a.id) != 0 {
					t.Error("a refused request ran")
				}
			})
		})
	}
}

// TestHeaders guards what endpoints are told: the system's own headers can't be set by
// callers, and the time that is left shrinks.
func TestHeaders(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		a := w.call(w.t.Context(), 1, http.MethodPost, "/file/1?q=%20x", "body", "X-Tenant", "forged", "X-Hold", "1", "X-Pin-Ms", "5",
			"X-Kv-Backup", "1.2.3.4:5", "Kv-From", "1.2.3.4:5/x", "X-Expect-Instance", "other", "X-Deadline-Ms", "1500", "X-Mine", "kept")
		if a.status != http.StatusOK {
			t.Fatalf("status %d: %s", a.status, a.body)
		}
		var run standreplica.ExecutedRequest
		for _, replica := range w.replicas {
			if runs := replica.Runs(); len(runs) > 0 {
				run = runs[0]
			}
		}
		if run.Target != "/file/1?q=%20x" || run.Body != "body" || run.Header.Get("X-Mine") != "kept" {
			t.Errorf("the request was changed: %+v", run)
		}
		if run.Header.Get("X-Tenant") != "north" || run.Header.Get("Authorization") != "" {
			t.Errorf("organisation %q, key %q", run.Header.Get("X-Tenant"), run.Header.Get("Authorization"))
		}
		for _, name := range []string{"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From"} {
			if run.Header.Get(name) != "" {
				t.Errorf("%s came from the caller", name)
			}
		}
		if left := run.Header.Get("X-Deadline-Ms"); left == "" || len(left) > 4 || left > "1500" {
			t.Errorf("time left %q", left)
		}
	})
}

// TestCallerLeaves guards that work which nobody waits for is cancelled.
func TestCallerLeaves(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.behave("chat", standreplica.Hangs)
		ctx, cancel := context.WithTimeout(w.t.Context(), 100*time.Millisecond)
		defer cancel()
		w.call(ctx, 1, http.MethodPost, "/talk/1", "body", "X-Token-Counts", tokens)
		w.sleep(400 * time.Millisecond)
		cancelled := 0
		for _, replica := range w.replicas {
			for _, run := range replica.Runs() {
				if run.Cancelled {
					cancelled++
				}
			}
		}
		if cancelled != 1 {
			t.Errorf("%d runs were cancelled, want 1", cancelled)
		}
	})
}

// TestQuotaHoldsOverNodes guards that an organisation's quota holds over all nodes, and
// that a refusal says when to come back.
func TestQuotaHoldsOverNodes(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		const size, seconds = 50000, 8
		admitted, refused := 0, 0
		for i := range seconds * 100 {
			a := w.call(w.t.Context(), i%4+1, http.MethodPost, "/talk/1", "body", "X-Token-Counts", "49000,1000")
			switch a.status {
			case http.StatusOK:
				admitted++
			case http.StatusTooManyRequests:
				refused++
				if a.header.Get("Retry-After") == "" {
					t.Fatal("a refusal doesn't say when to come back")
				}
			default:
				t.Fatalf("status %d", a.status)
			}
			w.sleep(10 * time.Millisecond)
		}
		// The quota is a million tokens a second and a burst of as many; a tenth and some
		// may be beyond it.
		if bound := 1_000_000*(seconds+1)*11/10 + 110_000; admitted*size > bound {
			t.Errorf("%d tokens were admitted, want at most %d", admitted*size, bound)
		}
		if least := 1_000_000 * seconds * 9 / 10; admitted*size < least || refused == 0 {
			t.Errorf("%d tokens were admitted and %d requests refused", admitted*size, refused)
		}
	})
}

// TestCrashingRequest sends a request again and again that ends the process of each
// endpoint which runs it: it is kept apart at all nodes, and other requests are served.
func TestCrashingRequest(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		deaths := 0
		for round := range 12 {
			w.behave("books", standreplica.Resets)
			before := map[string]int{}
			for id, replica := range w.replicas {
				before[id] = len(replica.Runs())
			}
			a := w.call(w.t.Context(), round%2+1, http.MethodPost, "/file/poison", "the same each time")
			for id, replica := range w.replicas {
				if len(replica.Runs()) > before[id] {
					deaths++
					w.store.Remove("servers", id)
					w.addReplica(fmt.Sprintf("books-again-%d", round), "books", 20+round)
				}
			}
			if deaths >= 2 && round > 5 && a.status != http.StatusServiceUnavailable {
				t.Errorf("round %d: status %d, want a refusal", round, a.status)
			}
			w.sleep(2 * time.Second)
		}
		if deaths > 3 {
			t.Errorf("%d endpoints died", deaths)
		}
		w.behave("books")
		if a := w.call(w.t.Context(), 1, http.MethodPost, "/file/poison", "another body"); a.status != http.StatusOK {
			t.Errorf("another request: %d", a.status)
		}
	})
}
