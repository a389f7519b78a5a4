//go:build review

package world2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// replica is one server, in one run of its process after the other.
type replica struct {
	w           *world
	host        int
	id, service string
	slots       int
	workTime    time.Duration
	// crashes reports whether a request crashes the replica that begins to run it.
	crashes func(*http.Request, string) bool
	// downFor is how long it is down after a crash.
	downFor time.Duration
	// isDark is set if a crash is silent: nothing on its channels is answered or closed, and nobody gets a new channel, until it is back.
	isDark bool

	mu         sync.Mutex
	generation int
	born       int64
	sequence   int
	isDown     bool
	server     *http.Server
	listener   net.Listener
	running    int
	// channelTime is how long a new channel holds a slot.
	channelTime time.Duration
	// brittle is the value of Server-Brittle in all answers: with more rejections in a second the replica falls over. 0 means that it is sound.
	brittle  int
	rejected []time.Time
	// falls and rejections count what came of it.
	falls, rejections int
	// limit is the value of Server-Limit in all answers, unless it is empty.
	limit string
	// isCutFromStore is true while the replica is partitioned from the platform's store.
	isCutFromStore bool
	// heardAt is when the store last heard the replica.
	heardAt  time.Time
	isListed bool
	arrivals []arrival
}

// arrival is a request that has reached a replica.
type arrival struct {
	id    string
	at    time.Time
	isRun bool
}

// addReplica starts a replica and its check-ins.
func (w *world) addReplica(host int, service string, slots int, workTime time.Duration) (*replica, error) {
	r := &replica{w: w, host: host, service: service, slots: slots, workTime: workTime, id: fmt.Sprintf("i-%s-%d", service, host)}
	if err := r.start(); err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, r)
	r.checkIn()
	go func() {
		for range time.Tick(heartbeat) {
			r.checkIn()
		}
	}()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			r.expire()
		}
	}()
	return r, nil
}

func (r *replica) address() string { return r.w.at(r.host, 28090) }

// start starts a process of the replica.
func (r *replica) start() error {
	listener, err := net.Listen("tcp", r.address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.generation++
	r.born, r.sequence, r.isDown, r.running = time.Now().UnixMilli(), 0, false, 0
	r.server, r.listener = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.holdSlot(r.generation)}, listener
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the process: its channels are reset and its port refuses. It is back after downFor, under the id that it had.
func (r *replica) crash() {
	r.mu.Lock()
	if r.isDown {
		r.mu.Unlock()
		return
	}
	r.isDown = true
	server := r.server
	r.mu.Unlock()
	r.w.write("replica %s crashes, silently: %v", r.id, r.isDark)
	light := func() {}
	if r.isDark {
		_ = r.listener.Close()
		light = r.holdPort()
	} else {
		_ = server.Close()
	}
	time.AfterFunc(r.downFor, func() {
		_ = server.Close()
		light()
		for r.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		r.w.write("replica %s is back", r.id)
		r.checkIn()
	})
}

// holdPort makes the port of a dark replica answer no opening packet: its queue of new channels is full. It returns what ends that.
func (r *replica) holdPort() (release func()) {
	at := netip.MustParseAddrPort(r.address())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	var fillers []net.Conn
	for err == nil {
		var filler net.Conn
		if filler, err = net.DialTimeout("tcp", r.address(), 50*time.Millisecond); err == nil {
			fillers = append(fillers, filler)
		}
	}
	return func() {
		for _, filler := range fillers {
			_ = filler.Close()
		}
		_ = syscall.Close(fd)
	}
}

// checkIn writes the replica's entry, as it does about every heartbeat-ms.
func (r *replica) checkIn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown || r.isCutFromStore {
		return
	}
	r.sequence++
	r.w.store.Put("servers", r.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"lahore-a","version":"v1","slots":%d,"state":"ready","cold-left-ms":0,"seq":%d,"born":%d}`,
		r.service, r.address(), r.slots, r.sequence, r.born))
	r.heardAt = time.Now()
	if !r.isListed {
		r.w.write("the store lists %s", r.id)
	}
	r.isListed = true
}

// expire removes the entry after three check-in intervals of silence, as the store does.
func (r *replica) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isListed && time.Since(r.heardAt) > missedChecks*heartbeat {
		r.w.store.Remove("servers", r.id)
		r.isListed = false
		r.w.write("the store removes the entry of %s", r.id)
	}
}

// cutFromStore partitions the replica from the platform's store, or ends that.
func (r *replica) cutFromStore(isCut bool) {
	r.mu.Lock()
	r.isCutFromStore = isCut
	r.mu.Unlock()
	r.w.write("replica %s is partitioned from the store: %v", r.id, isCut)
	if !isCut {
		r.checkIn()
	}
}

func (r *replica) setLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
	r.w.write("replica %s names Server-Limit %q", r.id, limit)
}

func (r *replica) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// holdSlot lets each new channel hold a slot for a moment.
func (r *replica) holdSlot(generation int) func(net.Conn, http.ConnState) {
	add := func(count int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.generation == generation {
			r.running += count
		}
	}
	return func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew && r.channelTime > 0 {
			add(1)
			time.AfterFunc(r.channelTime, func() { add(-1) })
		}
	}
}

// countRejection counts a rejection for want of room, and lets a brittle replica fall over at too many in a second. It is called with the
// lock held.
func (r *replica) countRejection() {
	now := time.Now()
	r.rejections++
	r.rejected = append(slices.DeleteFunc(r.rejected, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if r.brittle > 0 && len(r.rejected) > r.brittle && !r.isDown {
		r.falls++
		go r.crash()
	}
}

// hasEnded reports whether a process of the replica has ended.
func (r *replica) hasEnded(generation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown || r.generation != generation
}

func (r *replica) serve(writer http.ResponseWriter, message *http.Request) {
	body, _ := io.ReadAll(message.Body)
	id := message.Header.Get("X-Request-Id")
	header := writer.Header()
	header.Set("X-Request-Id", id)
	header.Set("X-Instance-Id", r.id)
	if want := message.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.isDown && r.isDark {
		r.mu.Unlock()
		<-message.Context().Done() // It is dark.
		panic(http.ErrAbortHandler)
	}
	if r.limit != "" {
		header.Set("Server-Limit", r.limit)
	}
	if r.brittle > 0 {
		header.Set("Server-Brittle", strconv.Itoa(r.brittle))
	}
	hasRoom := r.running < r.slots
	if hasRoom {
		r.running++
	} else {
		r.countRejection()
	}
	running, generation := r.running, r.generation
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), isRun: hasRoom})
	r.mu.Unlock()
	r.w.write("replica %s: %s arrives, runs: %v", r.id, id, hasRoom)
	header.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if !hasRoom {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.generation == generation {
			r.running--
		}
	}()
	if r.crashes != nil && r.crashes(message, string(body)) {
		r.crash()
	}
	select {
	case <-time.After(r.workTime):
	case <-message.Context().Done():
		return
	}
	if r.hasEnded(generation) {
		if r.isDark {
			<-message.Context().Done() // Nothing is sent any more.
		}
		panic(http.ErrAbortHandler)
	}
	answer := "answer to " + id + " by " + r.id
	header.Set("X-Response-Stamp", "stamp-"+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}

func sortArrivals(list []arrival) {
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
}
