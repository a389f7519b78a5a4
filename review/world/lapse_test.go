//go:build review

package world

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standproxy"
)

const (
	recovery  = 12 * time.Second
	leastPart = 0.25
	// downFor is how long all processes are down, quietFor the time from their start to the store's outage, and
	// outageFor how long that lasts. backBy is the time after its end by which all replicas have registered again.
	downFor   = 590 * time.Millisecond
	quietFor  = 3400 * time.Millisecond
	outageFor = 4500 * time.Millisecond
	backBy    = 1500 * time.Millisecond
)

// playEntriesLapse: all processes of the system are killed and start again; then the store is silent for some seconds,
// in which the replicas' entries lapse.
func playEntriesLapse(w *world) (bool, string) {
	w.zones = []string{"a", "b", "c"}
	proxy, err := standproxy.New(qftimer.NewWall(), w.at(storeHost+2, standinPort), w.at(storeHost, standinPort))
	must(err)
	defer proxy.Close()
	w.storeAddress = w.at(storeHost+2, standinPort)
	var replicas []*replica
	for i := range 6 {
		replicas = append(replicas, w.startReplica(i, "register", w.zones[i%3], "v1", nil))
	}
	w.configure(1, routesRegister, servicesRegister)
	w.startNodes(w.zones...)

	var mu sync.Mutex
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	backAt := time.Duration(0)
	reads := w.startLoad(25*time.Millisecond, allNodes, func(number int) request {
		return request{method: http.MethodGet, path: fmt.Sprint("/read/", number), within: timeLimit}
	}, func(a *answer) {
		mu.Lock()
		defer mu.Unlock()
		isServed := a.err == nil && a.status == http.StatusOK
		switch {
		case backAt == 0:
			before++
			if isServed {
				beforeServed++
			}
		case a.sentAt > backAt+recovery:
			after++
			if isServed {
				afterServed++
			}
		}
	})
	time.Sleep(5 * time.Second)
	w.configure(2, routesRegister, servicesRegister)
	var down sync.WaitGroup
	for _, n := range w.nodes {
		down.Go(func() { w.kill(n) })
	}
	down.Wait()
	time.Sleep(downFor)
	for _, n := range w.nodes {
		w.startNode(n, false)
	}
	for _, n := range w.nodes {
		w.awaitReady(n)
	}
	mu.Lock()
	backAt = w.now()
	mu.Unlock()
	time.Sleep(quietFor)
	if !w.isCalm {
		w.lapse(proxy, replicas)
	}
	time.Sleep(backAt + recovery + 8*time.Second - w.now())
	reads.end()
	mu.Lock()
	defer mu.Unlock()
	wasServed := float64(beforeServed) >= leastPart*float64(before)
	return wasServed && float64(afterServed) < leastPart*float64(after), fmt.Sprintf(
		"%d of %d requests were served before the final fault, %d of %d of those sent later than recovery-s after it (a quarter is the least)",
		beforeServed, before, afterServed, after)
}

// lapse plays the outage. The entries go after three check-in intervals of silence, and each replica registers again
// within backBy after the store's return.
func (w *world) lapse(proxy *standproxy.Proxy, replicas []*replica) {
	proxy.SetMode(standproxy.DropBoth)
	w.note("store", "is silent")
	time.Sleep(3 * heartbeat)
	for _, r := range replicas {
		w.store.Remove("servers", r.name())
	}
	w.note("store", "the replicas' entries lapse")
	time.Sleep(outageFor - 3*heartbeat)
	proxy.SetMode(standproxy.Pass)
	w.note("store", "answers again")
	for _, r := range replicas {
		time.Sleep(backBy / time.Duration(len(replicas)))
		r.register("ready")
		w.note("replica", r.name()+" registers again")
	}
}
