package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// The ports of scripts lie below the ephemeral range. Otherwise an outgoing connection
// could take a port after it was chosen and before a process listens on it.
const (
	firstPort = 10000
	lastPort  = 32000
)

// usedPorts holds the ports that were assigned to scripts of this process.
var usedPorts sync.Map

// freePorts NAME... sets each variable to a free loopback address.
func freePorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freeAddress(ts).String())
	}
}

func freeAddress(ts *testscript.TestScript) netip.AddrPort {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for range lastPort - firstPort {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if _, isUsed := usedPorts.LoadOrStore(port, true); isUsed {
			continue
		}
		address := netip.AddrPortFrom(loopback, port)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		ts.Check(listener.Close())
		return address
	}
	ts.Fatalf("no free port")
	return netip.AddrPort{}
}
