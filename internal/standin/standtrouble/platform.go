package standtrouble

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"quetzalfront/internal/standin/standfault"
)

// playStoreOutage makes the store unreachable, silent or refusing; rows expire meanwhile and come back one by one.
func playStoreOutage(s *Stage) {
	length := s.between(500*time.Millisecond, 7*time.Second)
	isSilent, lapses := s.Random.IntN(3) > 0, s.Random.IntN(4) > 0
	s.tell("%s, silent %t, rows lapse %t", length, isSilent, lapses)
	heal := func() { s.Store().SetFaults(standfault.Faults{}) }
	if isSilent {
		heal = s.Cut(func(a, b netip.Addr) bool { return a == s.StoreAddress() || b == s.StoreAddress() })
	} else {
		s.Store().SetFaults(standfault.Faults{Down: true})
	}
	s.turn()
	// An endpoint writes each 1.2 s, and its row goes after three of these.
	const lapseAfter = 3600 * time.Millisecond
	endpoints := append(s.Endpoints(ServiceBooks), s.Endpoints(ServiceChat)...)
	if lapses && length > lapseAfter {
		s.Sleep(lapseAfter)
		for _, e := range endpoints {
			s.Unlist(e)
		}
		s.turn()
		s.Sleep(length - lapseAfter)
	} else {
		lapses = false
		s.Sleep(length)
	}
	heal()
	s.turn()
	const backWithin = 2 * time.Second
	step := s.between(0, backWithin) / time.Duration(len(endpoints))
	for _, e := range endpoints {
		if lapses {
			s.List(e, "ready")
			s.Sleep(step)
		}
	}
	s.turn()
}

// playSlowStore makes the store slow, and some of its writes lost, late or without an answer.
func playSlowStore(s *Stage) {
	faults := standfault.Faults{
		Delay: s.between(0, 400*time.Millisecond), LoseAnswers: s.Random.IntN(20), ApplyLate: s.Random.IntN(20), LateBy: s.between(0, 4*time.Second),
	}
	s.tell("%+v", faults)
	s.Store().SetFaults(faults)
	s.turn()
	s.Sleep(s.between(2*time.Second, 10*time.Second))
	s.Store().SetFaults(standfault.Faults{})
	s.turn()
}

// playRestore brings the store back from an older copy.
func playRestore(s *Stage) {
	age := s.between(500*time.Millisecond, 8*time.Second)
	s.tell("%s old", age)
	s.Store().Restore(age)
	s.turn()
	s.Sleep(s.between(0, 2*time.Second))
	s.Store().RewriteLost()
	s.turn()
}

// playLostHistory makes readers read all rows anew, again and again.
func playLostHistory(s *Stage) {
	for range 4 {
		s.Store().DropHistory()
		s.turn()
		s.Sleep(s.between(0, 2*time.Second))
	}
}

// oddRows are rows that name no endpoint.
var oddRows = []string{
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000), `{"service":"books","address":"10.8.9.9:65616"}`, `null`, ``, "\xff\xfe",
	`{"service":"books","address":"10.8.9.9:80","zone":"north-a","version":"v1","slots":1e30,"state":"ready","seq":1,"born":1}`,
	`{"service":"books","address":7,"zone":"north-a","version":"v1","slots":8,"state":"ready","seq":1,"born":1}`,
	`{"service":"books","address":"10.8.9.9:80","zone":"north-a","version":"v1","slots":8,"state":["ready"],"seq":1e400,"born":-1}`,
}

// playOddRows leaves odd rows among those of the endpoints, also under the name of one that runs.
func playOddRows(s *Stage) {
	e := pick(s.Random, s.Endpoints(ServiceBooks)...)
	s.tell("also for %s", e.ID)
	for i, value := range oddRows {
		s.Store().Put("servers", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	s.Store().Put("servers", e.ID, []byte(pick(s.Random, oddRows...)))
	s.turn()
	s.Sleep(s.between(0, 6*time.Second))
	s.List(e, "ready")
	for i := range oddRows {
		s.Store().Remove("servers", fmt.Sprintf("odd-%d", i))
	}
}

// playRewrites removes rows and writes them again at once.
func playRewrites(s *Stage) {
	for range 5 {
		endpoints := some(s.Random, s.Endpoints(pick(s.Random, bothServices...)), 0.6)
		for _, e := range endpoints {
			s.Unlist(e)
		}
		s.turn()
		s.Sleep(s.between(0, 50*time.Millisecond))
		for _, e := range endpoints {
			s.List(e, "ready")
		}
		s.Sleep(s.between(0, 500*time.Millisecond))
	}
}

// playChanges writes the configuration anew, again and again.
func playChanges(s *Stage) {
	for range 6 {
		s.Configure()
		s.turn()
		s.Sleep(s.between(0, 2*time.Second))
	}
}
