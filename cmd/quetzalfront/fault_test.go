package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standcloud"
)

// reclaim CLOUD NOTICE ZONE [VM...] makes the stand-in cloud reclaim the named VMs after
// the notice, or all VMs of the zone if none is named.
func reclaim(ts *testscript.TestScript, _ bool, args []string) {
	notice, err := time.ParseDuration(args[1])
	ts.Check(err)
	body := standcloud.ReclaimRequest{Delay: notice}
	for _, vm := range args[3:] {
		body.VMs = append(body.VMs, qf.VMID(vm))
	}
	if len(body.VMs) == 0 {
		body.AvailabilityZone = qf.AvailabilityZone(args[2])
	}
	data, err := json.Marshal(body)
	ts.Check(err)
	response, err := http.Post("http://"+args[0]+"/reclaim", "application/json", strings.NewReader(string(data)))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("reclaim: %s", response.Status)
	}
}

type forwardersKey struct{}

// forwarders holds the TCP forwarders of a script, by name.
type forwarders struct {
	mu     sync.Mutex
	byName map[string]*forwarder
}

// forwarder forwards TCP connections to a target until it is cut.
type forwarder struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	isCut       bool
	connections []net.Conn
}

// startForwarder NAME TARGET starts a forwarder to the target address and sets the
// variable NAME to the forwarder's address.
func startForwarder(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	f := &forwarder{listener: listener, target: args[1]}
	all := ts.Value(forwardersKey{}).(*forwarders)
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.byName == nil {
		all.byName = map[string]*forwarder{}
	}
	all.byName[args[0]] = f
	ts.Setenv(args[0], listener.Addr().String())
	go f.serve()
	ts.Defer(f.cut)
}

// cutForwarders NAME... closes the forwarders' connections and listeners.
func cutForwarders(ts *testscript.TestScript, _ bool, args []string) {
	all := ts.Value(forwardersKey{}).(*forwarders)
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, name := range args {
		all.byName[name].cut()
	}
}

func (f *forwarder) serve() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		f.add(near, far)
		go copyOneWay(near, far)
		go copyOneWay(far, near)
	}
}

func (f *forwarder) add(connections ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections = append(f.connections, connections...)
	if f.isCut {
		closeAll(connections)
	}
}

func copyOneWay(from, to net.Conn) {
	_, _ = io.Copy(to, from) // If either end fails, both are closed.
	closeAll([]net.Conn{from, to})
}

func closeAll(connections []net.Conn) {
	for _, c := range connections {
		_ = c.Close()
	}
}

func (f *forwarder) cut() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = true
	closeAll(f.connections)
}
