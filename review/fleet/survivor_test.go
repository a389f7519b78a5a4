//go:build review

package fleet

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	survivorNodes   = 18
	survivorClients = 24
	// survivorWork is how long a server works on a request: less than the objective of the large sites' requests.
	survivorWork = 300 * time.Millisecond
	// mostLost is the number of requests on kept channels that LOST allows a machine to lose.
	mostLost = 3
	// contact is contact-ms of the settings: a machine isn't in touch for so long after the platform has started its process.
	contact = 4 * time.Second
)

const survivorRoutes = `{"name":"file","host":"review.example","prefix":"/file/","kind":"unsafe","timeout-ms":2500,"slo-ms":400,"service":"register","attempts":1},
	{"name":"read","host":"review.example","prefix":"/read/","kind":"safe","timeout-ms":2500,"slo-ms":400,"service":"register","attempts":2}`

// playSurvivor loses all machines but one. The other one isn't disturbed, and must go on.
func playSurvivor(w *world, isTrouble bool) ([]string, error) {
	for _, zone := range zones {
		for range 2 {
			if _, err := w.addReplica("register", zone, survivorWork); err != nil {
				return nil, err
			}
		}
	}
	w.configure(1, survivorRoutes, `{"name":"register","health-path":"/health","max-conns":550}`, `{"max-header-bytes":16384,"max-body-bytes":4194304,"idle-timeout-ms":60000}`)
	for i := range survivorNodes {
		w.addNode(i+1, zones[i%len(zones)])
	}
	for _, n := range w.nodes {
		if err := n.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // The nodes have found each other, and all channels are older than contact-ms.
	survivor := w.nodes[len(w.nodes)-1]
	var all outcomes
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range survivorClients {
		c := &client{world: w, name: fmt.Sprintf("client%d", i), address: survivor.address(frontPort)}
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				path, method := "/file/1", http.MethodPost
				if c.number%2 == 0 {
					path, method = "/read/1", http.MethodGet
				}
				o := c.send(method, path, "", nil, 2500*time.Millisecond)
				all.add(o)
				if o.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if isTrouble {
		w.record.note("all machines but %s are lost", survivor.name)
		for _, n := range w.nodes {
			if n != survivor {
				n.markEnded()
			}
		}
		for _, n := range w.nodes {
			if n != survivor {
				n.kill()
			}
		}
	}
	crashes := 0
	var starts []time.Time
	for until := time.Now().Add(24 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if survivor.hasEnded() {
			crashes++
			time.Sleep(time.Second) // A process that ends is started again after a short delay.
			starts = append(starts, time.Now())
			if err := survivor.start(false); err != nil {
				return nil, err
			}
		}
	}
	close(stop)
	wait.Wait()
	lost := 0
	for _, o := range all.all() {
		// A client that has reached its own time limit has closed the channel itself.
		isClosed := o.err != nil && !errors.Is(o.err, os.ErrDeadlineExceeded)
		if o.isKept && o.isWritten && !o.hasBegun && isClosed && !isNearStart(starts, o.endedAt) && w.countRuns(o.id) > 0 {
			lost++
			w.record.note("lost: %s ran at a server, and its channel was closed without an answer", o.id)
		}
	}
	w.record.note("the process of %s ended by itself %d times; %d requests, %d lost on kept channels", survivor.name, crashes, len(all.all()), lost)
	if lost > mostLost {
		return []string{fmt.Sprintf("LOST: %d requests on kept channels were passed on to sound servers and their channels closed without an answer; the process ended by itself %d times", lost, crashes)}, nil
	}
	return nil, nil
}

// isNearStart reports whether a time is less than contact after one of the starts.
func isNearStart(starts []time.Time, at time.Time) bool {
	for _, start := range starts {
		if at.After(start) && at.Before(start.Add(contact)) {
			return true
		}
	}
	return false
}
