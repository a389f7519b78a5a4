package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// The ports that scripts use lie below those that the system gives to outgoing
// connections, which could otherwise take a port between its choice and its use.
const (
	firstPort = 10000
	lastPort  = 32000
)

// givenPorts holds the ports that scripts of this process were given.
var givenPorts sync.Map

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
		if _, given := givenPorts.LoadOrStore(port, true); given {
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
