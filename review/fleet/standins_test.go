//go:build review

package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a server of the pages: it answers requests after some time, or streams events.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	number  int
	slots   int
	// workTime is how long it works before its answer, or the first event of a stream.
	workTime time.Duration
	// events is the number of events of a stream, interval the time between two.
	events   int
	interval time.Duration

	mu   sync.Mutex
	runs map[string][]time.Time
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(service, zone string, work time.Duration) (*replica, error) {
	number := len(w.replicas) + 1
	r := &replica{
		world: w, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, number: number, slots: 64, workTime: work,
		events: 10, interval: 50 * time.Millisecond, runs: map[string][]time.Time{},
	}
	w.replicas = append(w.replicas, r)
	if _, err := w.serve(w.at(replicaOctet, number, standinPort), r); err != nil {
		return nil, err
	}
	r.register("ready", 1)
	return r, nil
}

// register writes the replica's entry.
func (r *replica) register(state string, sequence int) {
	r.world.store.Put("servers", r.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-ms":0,"seq":%d,"born":1}`,
		r.service, r.world.at(replicaOctet, r.number, standinPort), r.zone, r.slots, state, sequence))
}

// runsOf returns when the replica began to run a request.
func (r *replica) runsOf(id string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// countRuns returns how often all replicas have begun to run a request.
func (w *world) countRuns(id string) int {
	count := 0
	for _, r := range w.replicas {
		count += len(r.runsOf(id))
	}
	return count
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], time.Now())
	r.mu.Unlock()
	r.world.record.note("%s: runs %s", r.id, id)
	select {
	case <-time.After(r.workTime):
	case <-request.Context().Done():
		return
	}
	w.Header().Set("X-Response-Stamp", "stamp."+id)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("1,0,%d", r.slots))
	if request.Header.Get("X-Token-Counts") != "" {
		r.stream(w, request, id)
		return
	}
	body := answerOf(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// answerOf is the whole answer to a request that isn't a stream.
func answerOf(id string) string { return "the answer to " + id }

func (r *replica) stream(w http.ResponseWriter, request *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for number := first + 1; number <= r.events; number++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", number, id, number)
		_ = control.Flush()
		select {
		case <-time.After(r.interval):
		case <-request.Context().Done():
			return
		}
	}
}

// usageCall is a usage report that the platform got.
type usageCall struct {
	at      time.Time
	holder  string
	fencing uint64
	window  int64
	counts  string
	from    string
}

// cloud is the platform's API. It checks no epoch numbers.
type cloud struct {
	world *world
	mu    sync.Mutex
	calls []usageCall
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fencing, _ := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
	counts, _ := json.Marshal(body.Counts)
	call := usageCall{time.Now(), request.Header.Get("X-Duty-Holder"), fencing, body.Window, string(counts), request.RemoteAddr}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.world.record.note("cloud: usage of window %d from %s, epoch number %d: %s", call.window, call.holder, call.fencing, call.counts)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}
