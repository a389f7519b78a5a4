package standtrouble

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/standin/standnet"
)

// touching returns the links of some machines.
func touching(machines ...netip.Addr) standnet.Link {
	return func(a, b netip.Addr) bool {
		for _, m := range machines {
			if a == m || b == m {
				return true
			}
		}
		return false
	}
}

// playHolderLost kills the node that acted last, or cuts it off from everything.
func playHolderLost(s *Stage) {
	holder := s.Holder()
	if s.Random.IntN(2) == 0 {
		s.tell("%s is killed", holder)
		s.Kill(holder)
		s.turn()
		return
	}
	length := s.between(2*time.Second, 6*time.Second)
	s.tell("%s is cut off for %s", holder, length)
	heal := s.Cut(touching(holder))
	s.turn()
	s.Sleep(length)
	heal()
	s.turn()
}

// someNodes draws nodes, half of them at most. The one that acted last is among them as often as not.
func (s *Stage) someNodes() []netip.Addr {
	all, holder := s.Nodes(), s.Holder()
	nodes := some(s.Random, all, 0.3)
	if s.Random.IntN(2) == 0 && !slices.Contains(nodes, holder) {
		nodes = append([]netip.Addr{holder}, nodes...)
	}
	return nodes[:min(len(nodes), max(1, len(all)/2))]
}

// playKills kills some nodes at once.
func playKills(s *Stage) {
	nodes := s.someNodes()
	s.tell("%v", nodes)
	var wait sync.WaitGroup
	for _, node := range nodes {
		wait.Go(func() { s.Kill(node) })
	}
	s.turn()
	wait.Wait()
	s.turn()
}

// playRoll stops and starts all nodes in turn.
func playRoll(s *Stage) {
	for _, node := range s.Nodes() {
		s.Restart(node)
		s.turn()
	}
}

// playPauseOfNode makes a node read nothing for a while, like a process that gets no processor time.
func playPauseOfNode(s *Stage) {
	node, length := pick(s.Random, s.Nodes()...), s.between(300*time.Millisecond, 4*time.Second)
	s.tell("%s for %s", node, length)
	release := s.Hold(node)
	s.turn()
	s.Sleep(length)
	release()
	s.turn()
}

// playPartition cuts nodes off from the endpoints, from the store, from other nodes, or from all of them.
func playPartition(s *Stage) {
	nodes := s.someNodes()
	from, length := pick(s.Random, "endpoints", "store", "nodes", "everything"), s.between(time.Second, 9*time.Second)
	s.tell("%v from %s for %s", nodes, from, length)
	isFar := func(a netip.Addr) bool {
		switch from {
		case "endpoints":
			return netip.MustParsePrefix("10.8.0.0/16").Contains(a)
		case "store":
			return a == s.StoreAddress()
		case "nodes":
			return netip.MustParsePrefix("10.1.0.0/16").Contains(a) && !slices.Contains(nodes, a)
		default:
			return !slices.Contains(nodes, a)
		}
	}
	heal := s.Cut(func(a, b netip.Addr) bool {
		return slices.Contains(nodes, a) && isFar(b) || slices.Contains(nodes, b) && isFar(a)
	})
	s.turn()
	s.Sleep(length)
	heal()
	s.turn()
}

// playResets breaks connections of endpoints again and again.
func playResets(s *Stage) {
	for range 8 {
		e := pick(s.Random, s.Endpoints(pick(s.Random, bothServices...))...)
		s.Reset(touching(e.Address.Addr()))
		s.turn()
		s.Sleep(s.between(0, time.Second))
	}
}
