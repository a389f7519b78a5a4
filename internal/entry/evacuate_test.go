package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// TestStreamsSurviveAReclaim fails if a stream that can't be repeated is cut because its endpoint
// is reclaimed with notice, if an event is missing or comes twice, or if a run goes on at two
// endpoints.
func TestStreamsSurviveAReclaim(t *testing.T) {
	const streams, events, interval, leavesIn = 12, 60, 100 * time.Millisecond, 3 * time.Second
	tests := []struct {
		name string
		// canMove is what the configuration states of the engines.
		canMove bool
		// row is what the endpoint writes when it leaves.
		row string
		// mostMoved bounds the moves.
		mostMoved int
		isWhole   bool
	}{
		{"reclaimed with notice", true, `,"leaves_ms":3000`, streams, true},
		{"drained without a time", true, ``, streams, true},
		{"engines that can't move runs", false, `,"leaves_ms":3000`, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 3, func(w *testFleet) {
				w.configure(2, func(text string) string {
					text = strings.ReplaceAll(text, `"timeout-ms":4000`, `"timeout-ms":15000`)
					return strings.Replace(text, `{"name":"chat","health-path":"/health"}`,
						fmt.Sprintf(`{"name":"chat","health-path":"/health","engine":{"slots":8,"kv-capacity":100000,"moves":%v}}`, tt.canMove), 1)
				})
				w.sleep(time.Second)
				for _, id := range []string{"chat-1", "chat-2"} {
					w.replicas[id].EventCount, w.replicas[id].EventInterval, w.replicas[id].MoveTakes = events, interval, 30*time.Millisecond
				}
				answers := make([]answer, streams)
				var wait sync.WaitGroup
				for i := range answers {
					wait.Go(func() {
						answers[i] = w.call(w.t.Context(), i%3+1, http.MethodPost, "/talk/1", "body", "X-Token-Counts", "500,100")
					})
				}
				w.sleep(800 * time.Millisecond)
				w.store.Put("servers", "chat-2", []byte(`{"service":"chat","address":"10.8.0.2:80","zone":"north-a","version":"v1","slots":8,"state":"draining","seq":2,"born":1`+tt.row+`}`))
				w.sleep(leavesIn)
				w.replicas["chat-2"].Stop()
				wait.Wait()
				checkStreams(w, answers, events, tt.isWhole)
				if moved := w.log.count(`"Event":262`, `"Outcome":"Done"`); moved > tt.mostMoved || tt.isWhole && moved == 0 {
					t.Errorf("%d runs were moved", moved)
				}
			})
		})
	}
}

// checkStreams checks that each stream has each event once, and whether all are complete.
func checkStreams(w *testFleet, answers []answer, events int, isWhole bool) {
	w.t.Helper()
	cut := 0
	for _, a := range answers {
		if a.status != http.StatusOK {
			w.t.Errorf("status %d, %v", a.status, a.err)
		}
		if a.err != nil {
			cut++
			continue
		}
		want := strings.Builder{}
		for number := 1; number <= events; number++ {
			want.WriteString(standreplica.StreamEvent(a.id, number))
		}
		if a.body != want.String() {
			w.t.Errorf("the stream is complete, but its events are %q", a.body)
		}
		if moved := w.runsOf(a.id); moved > 2 {
			w.t.Errorf("a request was sent to %d endpoints", moved)
		}
	}
	if isWhole != (cut == 0) {
		w.t.Errorf("%d of %d streams were cut", cut, len(answers))
	}
}

// TestFailedResumeIsCut fails if a stream whose continuation fails at another endpoint ends as
// if it were complete.
func TestFailedResumeIsCut(t *testing.T) {
	tests := []struct {
		name string
		next standreplica.Behaviour
	}{
		{"the other endpoint fails", standreplica.Fails},
		{"the other endpoint doesn't state whether it ran", standreplica.Busy},
		{"the other endpoint rejects it", standreplica.Rejects},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 1, func(w *testFleet) {
				cut := 0
				for range 12 {
					w.replicas["chat-1"].SetNextBehaviours(standreplica.Truncates)
					w.replicas["chat-2"].SetNextBehaviours(repeated(tt.next, 4)...)
					a := w.call(w.t.Context(), 1, http.MethodPost, "/ask/1", "body", "X-Token-Counts", "500,100")
					if a.err != nil {
						cut++
					}
					isWhole := strings.Contains(a.body, standreplica.StreamEvent(a.id, 4))
					if a.status == http.StatusOK && a.err == nil && !isWhole {
						t.Errorf("a stream of %q looks complete", a.body)
					}
					w.sleep(2 * time.Second)
				}
				if cut == 0 {
					t.Error("no stream was resumed at the other endpoint")
				}
			})
		})
	}
}
