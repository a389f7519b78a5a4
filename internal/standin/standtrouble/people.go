package standtrouble

import (
	"fmt"
	"strings"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// playOrder orders a version of books, which may be bad at once, later, or under load.
func playOrder(s *Stage) {
	const (
		within  = 12 * time.Second
		look    = 100 * time.Millisecond
		perLoad = time.Second
		// latest is when a version that turns bad later does so at the latest. Near the end of its time an order has to move
		// all requests; what a version got while it was good then counts like the rest, which no plan can keep small.
		latest = 8 * time.Second
	)
	kind := pick(s.Random, "good", "bad at once", "bad later", "bad under load", "bad under load")
	version := fmt.Sprintf("v%d", 2+s.Random.IntN(8))
	after, load := s.between(2*time.Second, latest), 8+s.Random.IntN(20)
	s.tell("%s is %s, after %s or above %d a second", version, kind, after, load)
	for range 2 {
		s.StartEndpoint(ServiceBooks, version, pick(s.Random, s.Endpoints(ServiceBooks)...).Zone)
	}
	s.Order(version, within, kind != "good")
	s.turn()
	orderedAt := s.Clock().Now()
	isBad, hasMost, got, all := false, false, []int{}, []int{}
	for s.Clock().Now().Sub(orderedAt) < within+2*time.Second {
		got, all = append(got, s.arrivalsAt(version)), append(all, s.arrivalsAt(""))
		last, before := len(got)-1, max(0, len(got)-int(perLoad/look))
		recent := got[last] - got[before]
		if !hasMost && 2*recent > all[last]-all[before] {
			hasMost = true
			s.turn()
		}
		turnsBad := kind == "bad at once" || kind == "bad later" && s.Clock().Now().Sub(orderedAt) > after || kind == "bad under load" && recent > load
		if turnsBad && !isBad {
			isBad = true
			s.turn()
		}
		if isBad {
			s.spoil(version) // Each time anew: another trouble may have set the same endpoints right.
		}
		s.Sleep(look)
	}
	for _, e := range s.Endpoints(ServiceBooks) {
		if e.Version == version {
			e.SetNextBehaviours()
		}
	}
}

// arrivalsAt returns how many requests the endpoints of a version of books got; an empty text stands for all versions.
func (s *Stage) arrivalsAt(version string) int {
	count := 0
	for _, e := range s.Endpoints(ServiceBooks) {
		if version == "" || e.Version == version {
			count += len(e.Arrivals())
		}
	}
	return count
}

// spoil makes half of the answers of a version fail.
func (s *Stage) spoil(version string) {
	for _, e := range s.Endpoints(ServiceBooks) {
		if e.Version == version {
			const half = 0.5
			e.SetNextBehaviours(mixed(s.Random, standreplica.Fails, half)...)
		}
	}
}

// requests are a method and a path of each kind.
var requests = [][2]string{{"POST", "/ask/1"}, {"POST", "/talk/1"}, {"POST", "/file/1"}, {"GET", "/read/1"}}

// playLeavers makes callers leave before their answers.
func playLeavers(s *Stage) {
	count := 60 + s.Random.IntN(120)
	s.tell("%d callers", count)
	done := make(chan struct{})
	for range count {
		request, node, after := pick(s.Random, requests...), pick(s.Random, s.Nodes()...), s.between(time.Millisecond, 900*time.Millisecond)
		go func() {
			s.SendAndLeave(node, request[0], request[1], after)
			done <- struct{}{}
		}()
		s.Sleep(s.between(0, 100*time.Millisecond))
		s.turn()
	}
	for range count {
		<-done
	}
}

// oddRequests are bytes that no caller should send.
var oddRequests = []string{
	"\x00\x01\x02\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /file/1 HTTP/1.1\r\nHost: chat.example\r\nContent-Length: -5\r\n\r\n",
	"POST /talk/1 HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: odd-1\r\nX-Token-Counts: 400000000,400000000\r\nX-Prompt-Prefix: 1:400000000\r\nContent-Length: 2\r\n\r\nhi",
	"POST /talk/1 HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: odd-2\r\nX-Deadline-Ms: 1e400\r\nX-Token-Counts: 9223372036854775807,1\r\nContent-Length: 2\r\n\r\nhi",
	"GET /read/1 HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: " + strings.Repeat("x", 20000) + "\r\n\r\n",
	"POST /file/1 HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: odd-3\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	"GET /read/1 HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: odd-4\r\nX-Deadline-Ms: -1\r\n\r\n",
}

// playOddCallers sends odd bytes to nodes.
func playOddCallers(s *Stage) {
	for range 30 {
		s.SendOdd(pick(s.Random, s.Nodes()...), pick(s.Random, oddRequests...))
		s.turn()
		s.Sleep(s.between(0, 300*time.Millisecond))
	}
}
