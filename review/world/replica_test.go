//go:build review

package world

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id, method, path, body string
	replica                *replica
	at                     time.Duration
}

// reply is how a replica ends a run.
type reply struct {
	// takes is how long the work takes.
	takes  time.Duration
	status int
	// crashes ends the replica's process as it begins to run the request.
	crashes bool
	// events is the number of events of a stream, and pace the time before each; 0 stands for an answer with a length.
	events int
	pace   time.Duration
	// isSpoilt spoils a byte in the head of the answer, in the name of X-Response-Stamp.
	isSpoilt bool
}

// replica is a stand-in for one replica of a plain service. A crash breaks all its channels, and it is back
// after a time.
type replica struct {
	w                          *world
	id, service, zone, version string
	address                    netip.AddrPort
	// decide returns how a run ends; nil stands for a sound answer after a short time.
	decide func(run) reply

	mu     sync.Mutex
	born   int64
	starts int
	server *http.Server
	seq    int
}

const (
	slots = 8
	// engineService is the service whose replicas are model engines.
	engineService = "assistant"
	healthPath    = "/health"
	// workTime is the time that a sound run takes.
	workTime = 15 * time.Millisecond
)

// startReplica starts a replica and registers it.
func (w *world) startReplica(number int, service, zone, version string, decide func(run) reply) *replica {
	r := &replica{
		w: w, id: fmt.Sprintf("i-%s-%s-%d", service, version, number), service: service, zone: zone, version: version,
		address: w.at(replicaHosts+number, standinPort), decide: decide,
	}
	r.start()
	return r
}

func (r *replica) start() {
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.starts++
	r.seq++
	r.mu.Unlock()
	server := r.w.serve(r.address, r)
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	r.w.note("replica", fmt.Sprintf("%s starts (%s %s in %s)", r.id, r.service, r.version, r.zone))
	r.register("ready")
}

// register writes the replica's entry.
func (r *replica) register(state string) {
	r.mu.Lock()
	born, seq := r.born, r.seq
	r.mu.Unlock()
	engine := ""
	if r.service == engineService {
		engine = `,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}]`
	}
	r.w.store.Put("servers", r.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold-left-ms":0,"seq":%d,"born":%d%s}`,
		r.service, r.address, r.zone, r.version, slots, state, seq, born, engine))
}

// crash ends the replica's process: its channels break and new ones are refused. After the time it is back, under the
// same name or a new one; its entry goes after three check-in intervals of silence.
func (r *replica) crash(backAfter time.Duration, newName string) {
	r.mu.Lock()
	server, starts, id := r.server, r.starts, r.id
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return // It is down already.
	}
	r.w.note("replica", id+" crashes")
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		isBack := r.starts > starts && r.id == id
		r.mu.Unlock()
		if !isBack {
			r.w.store.Remove("servers", id)
		}
	})
	time.AfterFunc(backAfter, func() {
		if newName != "" {
			r.mu.Lock()
			r.id = newName
			r.mu.Unlock()
		}
		r.start()
	})
}

// name returns the replica's present name.
func (r *replica) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	name, id := r.name(), request.Header.Get("X-Request-Id")
	if request.Method == http.MethodGet && request.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", name)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != name {
		w.Header().Set("X-Instance-Id", name)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // The request isn't whole.
	}
	begun := run{id: id, method: request.Method, path: request.URL.Path, body: string(body), replica: r, at: r.w.now()}
	r.w.note("run", fmt.Sprintf("%s %s %s at %s", id, begun.method, begun.path, name))
	end := reply{takes: workTime, status: http.StatusOK}
	if r.decide != nil {
		end = r.decide(begun)
	}
	if end.crashes {
		<-request.Context().Done()
		return
	}
	if end.events > 0 {
		r.stream(w, request, &begun, &end)
		return
	}
	time.Sleep(end.takes)
	answer := "answer to " + id
	stamp := "X-Response-Stamp"
	if end.isSpoilt {
		stamp = "X-Response-Stbmp"
	}
	w.Header().Set(stamp, "stamp-"+id)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("1,0,%d", slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(end.status)
	_, _ = io.WriteString(w, answer)
	text := fmt.Sprintf("%s ends with %d at %s", id, end.status, name)
	if end.isSpoilt {
		text += ", its head spoilt"
	}
	r.w.note("ran", text)
}

// stream answers with events, after the one that the request names.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, begun *run, end *reply) {
	w.Header().Set("X-Response-Stamp", "stamp-"+begun.id)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("1,0,%d", slots))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // Without the header, the stream starts at its first event.
	control := http.NewResponseController(w)
	for number := first + 1; number <= end.events; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(end.pace):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", number, begun.body, number)
		if control.Flush() != nil {
			return
		}
	}
	r.w.note("ran", fmt.Sprintf("%s ends its stream at %s", begun.id, r.name()))
}
