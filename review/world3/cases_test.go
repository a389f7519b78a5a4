//go:build review

package world3

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The exits of a case.
const (
	exitHeld, exitBroken, exitCouldNotRun = 0, 1, 2
)

// TestMain plays the case that is named as the last argument. TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) {
	if os.Args[len(os.Args)-1] != "request-again" {
		fmt.Println("no such case")
		os.Exit(exitCouldNotRun)
	}
	os.Exit(playRequestAgain(os.Getenv("TROUBLE") != "0"))
}

// begin starts a world, and ends it if the case is interrupted.
func begin(s shape) (*world, bool) {
	w, err := newWorld(s)
	if err == nil {
		err = w.awaitReady(20 * time.Second)
	}
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		if w != nil {
			w.close()
		}
		return nil, false
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.close()
		os.Exit(exitCouldNotRun)
	}()
	w.note("%d entry nodes are ready, %d replicas", len(w.nodes), len(w.replicas))
	time.Sleep(startTime)
	return w, true
}

// every calls a function at a rate until a time.
func every(interval time.Duration, until time.Time, do func(number int)) {
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for number := 1; time.Now().Before(until); number++ {
		go do(number)
		<-ticks.C
	}
}

const (
	// mostLate is how many times the request may still reach a replica, and countedCrash the crash from which contact-ms counts, by
	// the rule.
	mostLate, countedCrash = 3, 3
)

// judge applies the rule: a request that crashes the replicas that run it reaches replicas in more than three retries, sent by machines in
// touch later than contact-ms after it has crashed the third. Counted is what machines send; the verdict also names how many attempts of
// consumers that was. No machine of the cases is disturbed, so that all are in touch.
func (w *world) judge(isTroubled bool) int {
	w.mu.Lock()
	var from time.Time
	if len(w.crashes) >= countedCrash {
		from = w.crashes[countedCrash-1].Add(w.contact)
	}
	late, attempts := 0, map[string]bool{}
	for _, a := range w.arrivals {
		if !from.IsZero() && a.at.After(from) {
			late++
			attempts[a.id] = true
		}
	}
	arrivals, crashes, sound := len(w.arrivals), len(w.crashes), w.answers["sound 200"]
	w.mu.Unlock()
	verdict, exit := "held", exitHeld
	switch {
	case sound == 0:
		verdict, exit = "not judged, no sound request was served", exitCouldNotRun
	case isTroubled && crashes == 0:
		verdict, exit = "not judged, no replica has crashed", exitCouldNotRun
	case late > mostLate:
		verdict, exit = "BROKEN", exitBroken
	}
	w.writeRecord(fmt.Sprintf("BUDGET %s: the request reached replicas %d times and crashed %d; %d times later than contact-ms after the third crash (%d attempts of consumers), at most %d are allowed",
		verdict, arrivals, crashes, late, len(attempts), mostLate))
	return exit
}

const crashingBody = "the record that crashes whoever reads it"

// sendSound sends sound requests, no two alike, at any machine.
func (w *world) sendSound(until time.Time, deadline time.Duration) {
	client := newClient()
	go every(time.Second/20, until, func(number int) {
		w.send(client, w.nodes[rand.IntN(len(w.nodes))], fmt.Sprintf("sound-%d", number), &call{
			kind: "sound", method: http.MethodPost, path: fmt.Sprintf("/records/%d", number), body: "a record", deadline: deadline,
		})
	})
}

// startTrouble makes the request crash the replicas that begin to run it.
func (w *world) startTrouble() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCrashing = func(_ *http.Request, body string) bool { return body == crashingBody }
}

const safeRoute = `{"name":"records","host":"` + host + `","prefix":"/records/","kind":"safe","timeout-ms":1200,"slo-ms":200,"priority":2,"service":"tree-register","attempts":2}`

// newPlainWorld returns a deployment of six nodes before a plain service, with the limits of girthline's tree-register.
func newPlainWorld() (*world, bool) {
	return begin(shape{
		nodes: 6, replicas: 18, zones: []string{"lahore-a", "karachi-a", "peshawar-a"}, service: "tree-register", slots: 6, contact: 4 * time.Second,
		route: safeRoute, backAfter: 3 * time.Second, workTime: 15 * time.Millisecond,
	})
}

// playRequestAgain sends a safe request that crashes replicas every two seconds for a minute. Its consumer repeats a failed attempt at once,
// four attempts in all, each at another machine than the one before.
func playRequestAgain(isTroubled bool) int {
	w, ok := newPlainWorld()
	if !ok {
		return exitCouldNotRun
	}
	defer w.close()
	if isTroubled {
		w.startTrouble()
	}
	until := time.Now().Add(60 * time.Second)
	w.sendSound(until, timeLimit)
	every(2*time.Second, until, w.sendAgain)
	time.Sleep(timeLimit)
	return w.judge(isTroubled)
}

// timeLimit is the consumers' time limit, that of girthline's requests for tree-register, and attemptsAtOnce the attempts of a consumer that
// repeats at once and often: its first one and three more.
const (
	timeLimit      = 1200 * time.Millisecond
	attemptsAtOnce = 4
)

// sendAgain sends the request that crashes replicas. Its consumer repeats a failed attempt at once, each time on a new
// channel to another machine.
func (w *world) sendAgain(number int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	machine := rand.IntN(len(w.nodes))
	for attempt := 1; attempt <= attemptsAtOnce; attempt++ {
		id := fmt.Sprintf("again-%d-%d", number, attempt)
		n := w.nodes[machine%len(w.nodes)]
		outcome := w.send(client, n, id, &call{kind: "again", method: http.MethodPost, path: "/records/again", body: crashingBody, deadline: timeLimit})
		w.note("request %s at node %d is answered %s", id, n.number, outcome)
		if outcome == "200" || outcome == "503" {
			return // It has succeeded, or its consumer waits as it was told.
		}
		machine++
	}
}
