//go:build review

package world

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	routesRegister = `{"name":"file","host":"survey.example","prefix":"/file/","kind":"unsafe","timeout-ms":1200,"slo-ms":200,"service":"register","attempts":1,"priority":2},
		{"name":"read","host":"survey.example","prefix":"/read/","kind":"safe","timeout-ms":1200,"slo-ms":200,"service":"register","attempts":2,"priority":2}`
	routesChat       = `{"name":"chat","host":"survey.example","prefix":"/chat/","kind":"streaming","timeout-ms":15000,"slo-ms":1000,"gap-aim-ms":1000,"service":"assistant","attempts":1,"sticky":true,"priority":2}`
	servicesChat     = `{"name":"assistant","health-path":"/health","max-conns":360,"engine":{"slots":64,"kv-capacity":366812}}`
	servicesRegister = `{"name":"register","health-path":"/health","max-conns":96}`
	// timeLimit is the time limit of the consumers of these routes.
	timeLimit = 1200 * time.Millisecond
)

// load sends sound requests to the nodes at a steady rate until it is stopped.
type load struct {
	w       *world
	pending sync.WaitGroup
	stop    chan struct{}
}

// startLoad sends a request to one node after the other, each after an interval. It calls judge with each answer.
func (w *world) startLoad(interval time.Duration, isUsed func(*node) bool, next func(number int) request, judge func(*answer)) *load {
	l := &load{w: w, stop: make(chan struct{})}
	l.pending.Add(1)
	go func() {
		defer l.pending.Done()
		ticks := time.NewTicker(interval)
		defer ticks.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticks.C:
			}
			n := w.nodes[i%len(w.nodes)]
			for j := 1; !isUsed(n) && j < len(w.nodes); j++ {
				n = w.nodes[(i+j)%len(w.nodes)]
			}
			l.pending.Add(1)
			go func() {
				defer l.pending.Done()
				a := w.send(n, next(i))
				judge(&a)
			}()
		}
	}()
	return l
}

// filing returns a request that may run once at most.
func filing(number int) request {
	return request{method: http.MethodPost, path: fmt.Sprint("/file/", number), within: timeLimit}
}

func (l *load) end() {
	close(l.stop)
	l.pending.Wait()
}

func allNodes(*node) bool { return true }

// unjudged is for answers that don't matter.
func unjudged(*answer) {}

// crashes follows the requests that crash each replica which begins to run them.
type crashes struct {
	mu sync.Mutex
	// crashedAt holds the times of the crashes by each request's content, and runAt those of its runs.
	crashedAt, runAt map[string][]time.Duration
}

func (c *crashes) record(content string, at time.Duration, isCrash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runAt[content] = append(c.runAt[content], at)
	if isCrash {
		c.crashedAt[content] = append(c.crashedAt[content], at)
	}
}

// judge checks BUDGET: no more than three retries of a request reach replicas, sent later than contact-ms after it has
// crashed the third.
func (c *crashes) judge() (isBroken bool, verdict string) {
	const mostRetries = 3
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, crashedAt := range c.crashedAt {
		late := 0
		if len(crashedAt) >= 3 {
			for _, at := range c.runAt[content] {
				if at > crashedAt[2]+contact {
					late++
				}
			}
		}
		verdict += fmt.Sprintf("%q crashed replicas %d times; %d retries reached replicas later than contact-ms after the third crash (at most %d). ",
			content, len(crashedAt), late, mostRetries)
		isBroken = isBroken || late > mostRetries
	}
	if verdict == "" {
		verdict = "no replica crashed"
	}
	return isBroken, verdict
}

const (
	// backAfter is the time after which a crashed replica is back, and repeatEvery that after which the callers send their
	// requests again. The second of them sends its request laterBy after the first.
	backAfter   = 2500 * time.Millisecond
	repeatEvery = 6 * time.Second
	laterBy     = 700 * time.Millisecond
	repeats     = 11
	// The sound streams last for soundEvents times soundPace.
	soundEvents   = 20
	soundPace     = 100 * time.Millisecond
	soundInterval = 60 * time.Millisecond
	chatLimit     = 15 * time.Second
)

// chat returns a generation whose prompt has a part that all share and one of its own.
func chat(body string, own int) request {
	return request{method: http.MethodPost, path: "/chat/1", body: body, within: chatLimit, header: map[string]string{
		"X-Model": "m", "X-Token-Counts": "500,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:300", 1<<32+own),
	}}
}

// playCrashPair: two requests crash each replica that runs them, and their callers send them again every few seconds. The
// replicas start again under new names. Sound streams are in progress all the while.
func playCrashPair(w *world) (bool, string) {
	w.zones = []string{"a", "b", "c"}
	seen := &crashes{crashedAt: map[string][]time.Duration{}, runAt: map[string][]time.Duration{}}
	var mu sync.Mutex
	names := 0
	decide := func(r run) reply {
		isCause := r.body == "report one" || r.body == "report two"
		if isCause {
			seen.record(r.body, r.at, !w.isCalm)
		}
		if !isCause || w.isCalm {
			return reply{events: soundEvents, pace: soundPace, status: http.StatusOK}
		}
		mu.Lock()
		names++
		name := fmt.Sprintf("i-assistant-again-%d", names)
		mu.Unlock()
		r.replica.crash(backAfter, name)
		return reply{crashes: true}
	}
	for i := range 9 {
		w.startReplica(i, "assistant", w.zones[i%3], "v1", decide)
	}
	w.configure(1, routesChat, servicesChat)
	w.startNodes(w.zones...)
	sound := w.startLoad(soundInterval, allNodes, func(number int) request { return chat(fmt.Sprint("sound ", number), number) }, unjudged)
	time.Sleep(3 * time.Second)
	var callers sync.WaitGroup
	for j, body := range []string{"report one", "report two"} {
		callers.Go(func() {
			time.Sleep(time.Duration(j) * laterBy)
			for range repeats {
				began := w.now()
				w.send(w.resolve(w.nodes[0], "a"), chat(body, 1<<20+j))
				time.Sleep(began + repeatEvery - w.now())
			}
		})
	}
	callers.Wait()
	sound.end()
	return seen.judge()
}

// playRan429: for some seconds a replica fails two in five of the requests that it has run, with 429 and without
// X-Not-Executed. A consumer that is answered 429 or 503 files its permit once more, as the pages allow.
func playRan429(w *world) (bool, string) {
	const (
		permits  = 240
		interval = 50 * time.Millisecond
		// greyFrom and greyFor are when the replica begins to fail requests, and for how long.
		greyFrom, greyFor = 3 * time.Second, 6 * time.Second
	)
	w.zones = []string{"a", "b", "c"}
	var mu sync.Mutex
	ran, filed, number := map[string]bool{}, map[string]int{}, 0
	var begun time.Duration
	decide := func(r run) reply {
		mu.Lock()
		defer mu.Unlock()
		ran[r.id] = true
		filed[r.body]++
		isGrey := !w.isCalm && r.replica.zone == "a" && r.at >= begun+greyFrom && r.at < begun+greyFrom+greyFor
		if isGrey {
			number++
		}
		if isGrey && (number%5 == 1 || number%5 == 3) {
			return reply{takes: workTime, status: http.StatusTooManyRequests}
		}
		return reply{takes: workTime, status: http.StatusOK}
	}
	for i, zone := range w.zones {
		w.startReplica(i, "register", zone, "v1", decide)
	}
	w.configure(1, routesRegister, servicesRegister)
	w.startNodes(w.zones...)
	mu.Lock()
	begun = w.now()
	mu.Unlock()
	broken := 0
	isPromise := func(a *answer) bool {
		return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
	}
	judge := func(a *answer) {
		mu.Lock()
		defer mu.Unlock()
		if isPromise(a) && ran[a.id] {
			broken++
			w.note("broken", fmt.Sprintf("%s was answered %d and has run", a.id, a.status))
		}
	}
	var pending sync.WaitGroup
	for i := range permits {
		pending.Go(func() {
			r := request{method: http.MethodPost, path: "/file/", body: fmt.Sprint("permit ", i), within: timeLimit}
			first := w.send(w.nodes[i%3], r)
			judge(&first)
			if isPromise(&first) {
				r.within -= first.endedAt - first.sentAt
				again := w.send(w.nodes[(i+1)%3], r)
				judge(&again)
			}
		})
		time.Sleep(interval)
	}
	pending.Wait()
	twice := 0
	for _, count := range filed {
		if count > 1 {
			twice++
		}
	}
	return broken > 0, fmt.Sprintf("%d unsafe requests were answered 429 or 503 and had run (none may); %d of %d permits were filed twice", broken, twice, permits)
}

// playSpoiltHead: for some seconds a replica spoils one in fifty of its answers, in the head.
func playSpoiltHead(w *world) (bool, string) {
	const (
		requests = 1500
		interval = 8 * time.Millisecond
		// spoilFrom and spoilFor are when the replica begins to spoil answers, and for how long; spoilEvery is the number
		// of answers of which it spoils one.
		spoilFrom, spoilFor = 2 * time.Second, 5500 * time.Millisecond
		spoilEvery          = 50
	)
	w.zones = []string{"a", "b", "c"}
	var mu sync.Mutex
	number := 0
	var begun time.Duration
	decide := func(r run) reply {
		mu.Lock()
		defer mu.Unlock()
		end := reply{takes: workTime, status: http.StatusOK}
		if !w.isCalm && r.replica.zone == "a" && r.at >= begun+spoilFrom && r.at < begun+spoilFrom+spoilFor {
			number++
			end.isSpoilt = number%spoilEvery == 0
		}
		return end
	}
	for i, zone := range w.zones {
		w.startReplica(i, "register", zone, "v1", decide)
	}
	w.configure(1, routesRegister, servicesRegister)
	w.startNodes(w.zones...)
	mu.Lock()
	begun = w.now()
	mu.Unlock()
	broken := 0
	var pending sync.WaitGroup
	for i := range requests {
		pending.Go(func() {
			r := request{method: http.MethodGet, path: fmt.Sprint("/read/", i), within: timeLimit}
			if i%2 == 0 {
				r = request{method: http.MethodPost, path: "/file/", body: fmt.Sprint("permit ", i), within: timeLimit}
			}
			a := w.send(w.nodes[i%3], r)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status/100 == 2 && a.stamp == "" {
				broken++
				w.note("broken", fmt.Sprintf("%s was answered %d without X-Response-Stamp", a.id, a.status))
			}
		})
		time.Sleep(interval)
	}
	pending.Wait()
	return broken > 0, fmt.Sprintf("%d of %d answers were successes without X-Response-Stamp (none may)", broken, requests)
}
