//go:build review

package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	goodVersion, badVersion, nextVersion = "1.9.0", "1.10.0", "1.11.0"
	orderFor                             = 20 * time.Second
	exposeShare, exposeSlack             = 0.1, 50
	loadInterval                         = 16 * time.Millisecond
	// killedFor is how long a killed node is down.
	killedFor = 3500 * time.Millisecond
)

// isUp reports whether a node gets requests: once killed it gets none to the end, because it is out of touch for
// contact-ms after its start.
func isUp(n *node) bool { return !n.isKilled.Load() }

// order writes an operator's order to move to a version.
func (w *world) order(to string) {
	w.store.Put("op", "rollout/register", fmt.Appendf(nil, `{"service":"register","to":%q,"duration-s":%d}`, to, int(orderFor.Seconds())))
	w.note("order", to)
}

// rolloutState returns the state that the system reports, and the version that it is about.
func (w *world) rolloutState() (state, to string) {
	value, _ := w.store.Get("status", "rollout/register")
	var status struct {
		State string `json:"state"`
		To    string `json:"to"`
	}
	_ = json.Unmarshal(value, &status)
	return status.State, status.To
}

// holder returns the node that last wrote to the store under a condition as the holder of duties, as the fleet's row
// names it.
func (w *world) holder() *node {
	var row struct{ Value []byte }
	value, _ := w.store.Get("lease", "all")
	_ = json.Unmarshal(value, &row)
	for _, n := range w.nodes {
		if strings.Contains(string(row.Value), `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}

// playSecondOrder: a bad version is taken back, the operator orders the next one, and the node that acted last is killed.
func playSecondOrder(w *world) (bool, string) {
	w.zones = []string{"a", "b", "c"}
	var mu sync.Mutex
	type arrival struct {
		at    time.Duration
		isBad bool
	}
	var arrivals []arrival
	number := 0
	decide := func(r run) reply {
		mu.Lock()
		defer mu.Unlock()
		isBad := r.replica.version == badVersion
		arrivals = append(arrivals, arrival{at: r.at, isBad: isBad})
		number++
		if isBad && number%2 == 0 {
			return reply{takes: workTime, status: http.StatusInternalServerError}
		}
		return reply{takes: workTime, status: http.StatusOK}
	}
	for i, zone := range w.zones {
		w.startReplica(i, "register", zone, goodVersion, decide)
	}
	w.configure(1, routesRegister, servicesRegister)
	w.startNodes(w.zones...)
	files := w.startLoad(loadInterval, isUp, filing, unjudged)
	time.Sleep(5 * time.Second)

	orderedAt := w.now()
	w.order(badVersion)
	time.Sleep(500 * time.Millisecond)
	var bad []*replica
	for i, zone := range w.zones {
		bad = append(bad, w.startReplica(10+i, "register", zone, badVersion, decide))
	}
	isTakenBack := false
	for w.now() < orderedAt+orderFor {
		if state, to := w.rolloutState(); to == badVersion && state == "rolled_back" {
			isTakenBack = true
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !isTakenBack {
		files.end()
		return false, "not run: the bad version wasn't taken back"
	}
	w.note("status", badVersion+" rolled_back")
	time.AfterFunc(6*time.Second, func() {
		for _, r := range bad {
			r.register("draining")
		}
	})
	time.Sleep(time.Second)
	w.order(nextVersion)
	if !w.isCalm {
		if n := w.holder(); n != nil {
			w.killFor(n, killedFor)
		}
	}
	time.AfterFunc(2*time.Second, func() {
		for i, zone := range w.zones {
			w.startReplica(20+i, "register", zone, nextVersion, decide)
		}
	})
	time.Sleep(orderedAt + orderFor - w.now())
	files.end()

	mu.Lock()
	defer mu.Unlock()
	all, exposed := 0, 0
	for _, a := range arrivals {
		if a.at >= orderedAt && a.at <= orderedAt+orderFor {
			all++
			if a.isBad {
				exposed++
			}
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	return float64(exposed) > allowed, fmt.Sprintf("the bad version got %d of %d requests between the order and its time limit (at most %.0f)", exposed, all, allowed)
}

// playBadUnderLoad: a version fails under load only, and the node that acted last is killed once all traffic has moved.
func playBadUnderLoad(w *world) (bool, string) {
	w.zones = []string{"a", "b", "c"}
	var mu sync.Mutex
	var good, bad []time.Duration
	number := 0
	decide := func(r run) reply {
		mu.Lock()
		defer mu.Unlock()
		if r.replica.version == goodVersion {
			good = append(good, r.at)
			return reply{takes: workTime, status: http.StatusOK}
		}
		bad = append(bad, r.at)
		number++
		recent := 0
		for i := len(bad) - 1; i >= 0 && bad[i] > r.at-time.Second; i-- {
			recent++
		}
		if recent > 20 && number%2 == 0 {
			return reply{takes: workTime, status: http.StatusInternalServerError}
		}
		return reply{takes: workTime, status: http.StatusOK}
	}
	for i, zone := range w.zones {
		w.startReplica(i, "register", zone, goodVersion, decide)
	}
	w.configure(1, routesRegister, servicesRegister)
	w.startNodes(w.zones...)
	files := w.startLoad(loadInterval, isUp, filing, unjudged)
	time.Sleep(5 * time.Second)
	orderedAt := w.now()
	w.order(badVersion)
	time.Sleep(500 * time.Millisecond)
	for i, zone := range w.zones {
		w.startReplica(10+i, "register", zone, badVersion, decide)
	}
	for w.now() < orderedAt+orderFor {
		mu.Lock()
		isMoved := len(bad) > 20 && len(good) > 0 && w.now()-good[len(good)-1] > 100*time.Millisecond
		mu.Unlock()
		if isMoved {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.note("moved", "all traffic goes to "+badVersion)
	if !w.isCalm {
		if n := w.holder(); n != nil {
			w.killFor(n, killedFor)
		}
	}
	time.Sleep(orderedAt + orderFor - w.now())
	files.end()
	mu.Lock()
	defer mu.Unlock()
	all, exposed := 0, 0
	for _, at := range good {
		if at >= orderedAt && at <= orderedAt+orderFor {
			all++
		}
	}
	for _, at := range bad {
		if at >= orderedAt && at <= orderedAt+orderFor {
			exposed++
		}
	}
	all += exposed
	allowed := exposeShare*float64(all) + exposeSlack
	state, to := w.rolloutState()
	return float64(exposed) > allowed, fmt.Sprintf("the bad version got %d of %d requests between the order and its time limit (at most %.0f); state %s of %s", exposed, all, allowed, state, to)
}
