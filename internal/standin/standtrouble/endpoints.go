package standtrouble

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// longRun is more requests than one endpoint gets in a trouble.
const longRun = 600

// misbehaves returns how endpoints of a service show some behaviours for a while.
func misbehaves(services []string, behaviours ...standreplica.Behaviour) func(s *Stage) {
	return func(s *Stage) {
		service, behaviour := pick(s.Random, services...), pick(s.Random, behaviours...)
		share, length := 0.02+0.9*s.Random.Float64()*s.Random.Float64(), s.between(2*time.Second, 12*time.Second)
		endpoints := some(s.Random, s.Endpoints(service), 0.4)
		s.tell("%d endpoints of %s, %s, %.2f of their answers, %s", len(endpoints), service, behaviour, share, length)
		for _, e := range endpoints {
			e.SetNextBehaviours(mixed(s.Random, behaviour, share)...)
			e.SetNextResumed(mixed(s.Random, behaviour, share)...)
		}
		s.turn()
		s.Sleep(length)
		for _, e := range endpoints {
			e.SetNextBehaviours()
			e.SetNextResumed()
		}
	}
}

// mixed returns answers with a share of a behaviour among them.
func mixed(random *rand.Rand, behaviour standreplica.Behaviour, share float64) []standreplica.Behaviour {
	next := make([]standreplica.Behaviour, longRun)
	for i := range next {
		next[i] = standreplica.Answers
		if random.Float64() < share {
			next[i] = behaviour
		}
	}
	return next
}

var (
	onlyBooks    = []string{ServiceBooks}
	onlyChat     = []string{ServiceChat}
	bothServices = []string{ServiceBooks, ServiceChat}
)

// playSilence makes endpoints fall silent for a moment, again and again.
func playSilence(s *Stage) {
	for range 3 {
		length := s.between(300*time.Millisecond, 1200*time.Millisecond)
		endpoints := some(s.Random, s.Endpoints(pick(s.Random, bothServices...)), 0.5)
		s.tell("%d endpoints for %s", len(endpoints), length)
		for _, e := range endpoints {
			e.FallSilent(length)
		}
		s.turn()
		s.Sleep(length + s.between(0, 2*time.Second))
	}
}

// playSlowness makes endpoints work longer on each request.
func playSlowness(s *Stage) {
	work, length := s.between(50*time.Millisecond, 900*time.Millisecond), s.between(3*time.Second, 10*time.Second)
	endpoints := some(s.Random, s.Endpoints(ServiceBooks), 0.4)
	s.tell("%d endpoints need %s, for %s", len(endpoints), work, length)
	for _, e := range endpoints {
		e.SetWorkTime(work)
	}
	s.turn()
	s.Sleep(length)
	for _, e := range endpoints {
		e.SetWorkTime(0)
	}
}

// playLeavingWord makes endpoints say that they leave while their rows stay.
func playLeavingWord(s *Stage) {
	endpoints := some(s.Random, s.Endpoints(ServiceBooks)[1:], 0.4)
	s.tell("%d endpoints of %s", len(endpoints), ServiceBooks)
	for _, e := range endpoints {
		e.StateLeaving("1")
		s.ExpectNoWork(e)
	}
	s.turn()
	s.Sleep(10 * time.Second)
	for _, e := range endpoints {
		s.Unlist(e)
	}
}

// playDrain makes endpoints leave by their rows; they are listed again as new ones.
func playDrain(s *Stage) {
	all := s.Endpoints(ServiceBooks)
	endpoints := some(s.Random, all[1:], 0.4)
	isRemoved := s.Random.IntN(2) == 0
	s.tell("%d endpoints, removed %t", len(endpoints), isRemoved)
	for _, e := range endpoints {
		if isRemoved {
			s.Unlist(e)
		} else {
			s.List(e, "draining")
		}
		s.ExpectNoWork(e)
		s.turn()
		s.Sleep(s.between(0, time.Second))
	}
	s.Sleep(5 * time.Second)
	for _, e := range endpoints {
		if !isRemoved {
			s.Unlist(e)
		}
		s.StartEndpoint(e.Service, e.Version, e.Zone)
	}
	s.turn()
}

// playPause makes endpoints turn all requests away for a time that they name.
func playPause(s *Stage) {
	seconds := 1 + s.Random.IntN(4)
	endpoints := some(s.Random, s.Endpoints(pick(s.Random, bothServices...)), 0.5)
	s.tell("%d endpoints for %d s", len(endpoints), seconds)
	for _, e := range endpoints {
		e.RejectAll(fmt.Sprint(seconds))
	}
	s.turn()
	s.Sleep(time.Duration(seconds) * time.Second)
	for _, e := range endpoints {
		e.AcceptAll()
	}
}

// playCrash makes one to three requests crash each endpoint that begins to run them, and sends them again and again.
func playCrash(s *Stage) {
	const length = 42 * time.Second
	count := 1 + s.Random.IntN(3)
	apart := s.between(0, 1500*time.Millisecond)
	isAtOne, nodes := s.Random.IntN(2) == 0, s.Nodes()
	s.tell("%d requests, %s apart, at one node %t", count, apart, isAtOne)
	ended := make(chan struct{})
	for i := range count {
		first := s.Random.IntN(len(nodes))
		node := func(try int) netip.Addr { return nodes[(first+try)%len(nodes)] }
		if isAtOne {
			node = func(int) netip.Addr { return nodes[0] }
		}
		body := fmt.Sprintf("crash %d of %p", i, s)
		go func() {
			s.Sleep(time.Duration(i) * apart)
			s.SendCrashing(body, node, length)
			ended <- struct{}{}
		}()
	}
	for range count {
		<-ended
	}
}

// playSuccessor gives the address of an endpoint to one with another name.
func playSuccessor(s *Stage) {
	e := pick(s.Random, s.Endpoints(ServiceBooks)...)
	s.tell("%s", e.ID)
	s.Unlist(e)
	e.Impersonate(e.ID + "-next")
	s.turn()
	s.Sleep(s.between(2*time.Second, 8*time.Second))
	e.Impersonate("")
	s.List(e, "ready")
}
