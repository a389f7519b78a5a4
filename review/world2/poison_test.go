//go:build review

package world2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playKilledPoison has a request come again and again that crashes each replica which begins to run it. All processes of the system are
// killed at the same moment, three times.
func playKilledPoison(w *world, hasTrouble bool) (bool, error) {
	day := &poisonDay{length: 66 * time.Second, comesIn: 6 * time.Second}
	if hasTrouble {
		day.kills = []time.Duration{13 * time.Second, 31 * time.Second, 49 * time.Second}
	}
	return playPoison(w, day)
}

// playDarkPoison has such a request come whose replicas crash silently. Without the disruption they crash like other processes.
func playDarkPoison(w *world, hasTrouble bool) (bool, error) {
	return playPoison(w, &poisonDay{length: 40 * time.Second, comesIn: 3 * time.Second, isDark: hasTrouble})
}

// playBrittlePoison has such a request come while the replicas are brittle and take fewer requests than they state.
func playBrittlePoison(w *world, hasTrouble bool) (bool, error) {
	day := &poisonDay{
		length: 46 * time.Second, comesIn: 3 * time.Second, slots: 6, channelTime: time.Millisecond, workTime: 300 * time.Millisecond,
		interval: 10 * time.Millisecond,
	}
	if hasTrouble {
		day.brittle = 3
	}
	return playPoison(w, day)
}

// poisonDay is a day on which a request comes that crashes replicas.
type poisonDay struct {
	// comesIn is the time between two such requests.
	length, comesIn time.Duration
	// isDark is set if the crashes are silent.
	isDark bool
	// brittle is the Server-Brittle of the replicas, or 0.
	brittle int
	// slots is the number of requests at once of a replica, channelTime how long a new channel holds one of them.
	slots       int
	channelTime time.Duration
	// workTime is the time that a request takes, interval that between two sound ones.
	workTime, interval time.Duration
	// kills holds when all processes are killed.
	kills []time.Duration
}

// playPoison plays the day, and counts the crashes.
func playPoison(w *world, day *poisonDay) (bool, error) {
	const (
		poison  = "poison"
		timeout = 1200 * time.Millisecond
	)
	if day.interval == 0 {
		day.slots, day.workTime, day.interval = 16, 60*time.Millisecond, 100*time.Millisecond
	}
	w.configure(`{"name":"file","host":"`+hostName+`","prefix":"/file/","kind":"unsafe","timeout-ms":1200,"slo-ms":200,"service":"books","attempts":1}`, `{"name":"books"}`)
	for i := range 6 {
		r, err := w.addReplica(20+i, "books", day.slots, day.workTime)
		if err != nil {
			return false, err
		}
		r.downFor, r.isDark = 3*time.Second, day.isDark
		r.channelTime = day.channelTime
		r.brittle = day.brittle
		r.crashes = func(_ *http.Request, body string) bool { return body == poison }
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	began := time.Now()
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; time.Since(began) < day.length; i++ {
			n := w.nodes[i%len(w.nodes)]
			sending.Go(func() {
				w.send(&request{id: fmt.Sprintf("s%05d", i), method: "POST", path: "/file/1", body: fmt.Sprint("sound ", i), within: timeout, node: n})
			})
			time.Sleep(day.interval)
		}
	})
	type sent struct {
		at        time.Time
		isInTouch bool
	}
	var mu sync.Mutex
	attempts := map[string]sent{}
	sending.Go(func() {
		for i := 0; time.Since(began) < day.length; i++ {
			n := w.nodes[i%len(w.nodes)]
			id := fmt.Sprintf("poison-%03d", i)
			mu.Lock()
			attempts[id] = sent{time.Now(), time.Since(n.startedAt) > contact+200*time.Millisecond}
			mu.Unlock()
			sending.Go(func() {
				w.send(&request{id: id, method: "POST", path: "/file/1", body: poison, within: timeout, node: n})
			})
			time.Sleep(day.comesIn)
		}
	})
	for _, at := range day.kills {
		time.Sleep(time.Until(began.Add(at)))
		if err := w.killAll(500 * time.Millisecond); err != nil {
			return false, err
		}
	}
	sending.Wait()
	var crashes []arrival
	for _, r := range w.replicas {
		for _, a := range r.list() {
			if _, isPoison := attempts[a.id]; isPoison && a.isRun {
				crashes = append(crashes, a)
			}
		}
	}
	sortArrivals(crashes)
	retries := 0
	for i, a := range crashes {
		counts := i >= 3 && a.at.Sub(crashes[2].at) > contact && attempts[a.id].isInTouch
		if counts {
			retries++
		}
		w.write("%s crashed a replica at %.3f, counts: %v", a.id, a.at.Sub(w.began).Seconds(), counts)
	}
	for _, r := range w.replicas {
		w.write("%s rejected %d requests and fell over %d times", r.id, r.rejections, r.falls)
	}
	w.write("%d crashes, %d retries that count; allowed 3", len(crashes), retries)
	fmt.Printf("%d crashes, %d retries that count; allowed 3\n", len(crashes), retries)
	return retries > 3, nil
}
