//go:build review

package world2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playLimit has one replica of five name its Server-Limit. Then it is partitioned from the platform's store for some seconds, twice, so
// that its entry lapses and comes back.
func playLimit(w *world, hasTrouble bool) (bool, error) {
	const (
		limit    = 1.0
		interval = 10 * time.Millisecond
		cutFor   = 5 * time.Second
		cuts     = 2
		length   = 40 * time.Second
	)
	w.configure(`{"name":"read","host":"`+hostName+`","prefix":"/read/","kind":"safe","timeout-ms":3000,"slo-ms":600,"service":"books","attempts":2}`, `{"name":"books"}`)
	for i := range 5 {
		if _, err := w.addReplica(20+i, "books", 48, 400*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	limited := w.replicas[0]
	var sending sync.WaitGroup
	began := time.Now()
	sending.Go(func() {
		for i := 0; time.Since(began) < length; i++ {
			n := w.nodes[i%len(w.nodes)]
			sending.Go(func() {
				w.send(&request{id: fmt.Sprintf("r%05d-%s", i, n.name), method: "GET", path: "/read/1", within: 3 * time.Second, node: n})
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(2 * time.Second)
	limited.setLimit(fmt.Sprint(limit))
	named := time.Now()
	time.Sleep(7 * time.Second)
	for range cuts {
		if hasTrouble {
			limited.cutFromStore(true)
			time.Sleep(cutFor)
			limited.cutFromStore(false)
		}
		time.Sleep(8 * time.Second)
	}
	sending.Wait()
	most, from := worstWindow(countedArrivals(limited.list(), named, limited.workTime+500*time.Millisecond), named.Add(contact), 4*time.Second)
	allowed := 1.5*limit*4 + 5
	w.write("the most arrivals in 4 s: %d from %.3f on; allowed %.0f", most, from.Sub(w.began).Seconds(), allowed)
	fmt.Printf("most arrivals in 4 s at the replica with a limit: %d, allowed %.0f\n", most, allowed)
	return float64(most) > allowed, nil
}

// worstWindow returns the most arrivals in a window that begins at a time or later, and the first of them.
func worstWindow(list []arrival, after time.Time, length time.Duration) (most int, from time.Time) {
	for i := range list {
		if list[i].at.Before(after) {
			continue
		}
		count := 0
		for j := i; j < len(list) && list[j].at.Sub(list[i].at) < length; j++ {
			count++
		}
		if count > most {
			most, from = count, list[i].at
		}
	}
	return most, from
}

// countedArrivals returns the arrivals from machines that had passed on an answer with the limit half a second before.
func countedArrivals(list []arrival, named time.Time, after time.Duration) []arrival {
	sortArrivals(list)
	knows := map[string]time.Time{}
	var counted []arrival
	for _, a := range list {
		_, machine, _ := strings.Cut(a.id, "-")
		first, isKnown := knows[machine]
		if !isKnown && a.at.After(named) {
			knows[machine] = a.at
		}
		if isKnown && a.at.Sub(first) >= after {
			counted = append(counted, a)
		}
	}
	return counted
}
