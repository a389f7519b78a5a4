package qfexplain

import (
	"bytes"
	"strings"
	"testing"
)

const recorded = `
  3.1000 node-1 {"level":"warn","Event":331,"Endpoint":"e-1","Reason":"its entry was removed","time":"2026-06-24T18:09:00Z","message":"an endpoint leaves"}
{"level":"warn","Event":320,"Feed":"Endpoints","Error":"no answer","time":"2026-06-24T18:08:59Z","message":"a feed of the platform's store is lost"}
{"level":"warn","Event":261,"Request":"r-refused","Route":"file","Organisation":"north","Revision":6,"Status":429,"Attempts":"","First":"0s","Took":"90µs","Error":"Accept: Limited (Organisation): the organisation's quota is spent","time":"2026-06-24T18:09:01Z","message":"request refused or failed"}
{"level":"warn","Event":261,"Request":"r-cut","Route":"ask","Organisation":"north","Revision":6,"Status":504,"Attempts":"e-1 v1 LeastPredictedTimeAndCost Cancelled 0 6s (context deadline exceeded) Fail","First":"0s","Took":"6s","Error":"Attempt at e-1: Deadline: no answer came in time","time":"2026-06-24T18:09:02Z","message":"request refused or failed"}
{"level":"warn","Event":261,"Request":"r-unknown","Route":"file","Organisation":"north","Revision":6,"Status":502,"Attempts":"e-2 v1 LeastPredictedTimeAndCost Broken 0 62ms (read: connection reset) Fail","First":"0s","Took":"62ms","Error":"Attempt at e-2: Broken: it isn't known whether the request ran","time":"2026-06-24T18:09:02Z","message":"request refused or failed"}
not a line of a node
`

// TestExplain guards against an explanation that lacks the cause of a request that was
// refused, timed out, or ended with an unknown outcome.
func TestExplain(t *testing.T) {
	tests := []struct {
		request string
		want    []string
	}{
		{"r-refused", []string{"status 429", "quota is spent", `organisation "north"`, "configuration 6"}},
		{"r-cut", []string{"status 504", "attempt 1: e-1", "no answer came in time", "its entry was removed", "feed of the platform's store is lost"}},
		{"r-unknown", []string{"status 502", "attempt 1: e-2", "connection reset", "isn't known whether the request ran"}},
	}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			var out bytes.Buffer
			found, err := Explain(&out, strings.NewReader(recorded), tt.request)
			if err != nil || !found {
				t.Fatalf("found %v, %v", found, err)
			}
			for _, want := range tt.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("the explanation lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}

// TestExplainWithoutLogLine guards against an explanation of a request that has no log
// line, and against hiding that nodes dropped lines.
func TestExplainWithoutLogLine(t *testing.T) {
	const dropped = `{"level":"warn","Event":108,"Plain":120,"Notable":0,"message":"log lines of requests were dropped"}`
	tests := []struct {
		name, log, want string
	}{
		{name: "no line", log: recorded},
		{
			name: "dropped lines", log: recorded + dropped + "\n" + dropped,
			want: "nodes dropped 240 log lines of requests that succeeded at the first attempt, and 0 of others\n",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			found, err := Explain(&out, strings.NewReader(tt.log), "r-none")
			if found || err != nil || out.String() != tt.want {
				t.Errorf("found %v, %v, wrote %q, want %q", found, err, out.String(), tt.want)
			}
		})
	}
}
