package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/platform"
)

// The limits in the settings of the node that untrusted clients connect to, and the bounds on its process: the memory that
// the settings allow, and the descriptors that they allow.
const (
	untrustedMemoryMB    = 80
	untrustedDescriptors = 400
)

const (
	// untrustedAddresses is the number of loopback addresses from which clients connect, and firstUntrustedAddress the last
	// octet of the first.
	untrustedAddresses    = 8
	firstUntrustedAddress = 2
	// maxSentBytes is how much a client sends that doesn't end by itself.
	maxSentBytes = 1 << 20
	// ordinaryRequests is the number of requests of an ordinary caller that must be answered.
	ordinaryRequests = 5
)

// untrustedWorld is one node with its own limits, a store and a replica.
type untrustedWorld struct {
	*soakWorld
	node *soakNode
	// connections are those of the clients, closed at the end.
	connections []net.Conn
	senders     sync.WaitGroup
}

func newUntrustedWorld(t *testing.T) *untrustedWorld {
	t.Helper()
	w := &untrustedWorld{soakWorld: newStandinWorld(t, firstSoakNet+soakNets/2), node: &soakNode{}}
	replica := &soakReplica{Replica: standreplica.New("replica-0", w.timer), address: w.at(replicaHosts, standinPort), entry: "books"}
	w.serve(replica.address, replica)
	w.replicas = append(w.replicas, replica)
	w.putReplica(replica, "ready")
	w.store.Put("op", "config", fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"read","host":%q,"prefix":"/read/","kind":"safe","timeout-ms":20000,"slo-ms":200,"service":"books","attempts":2}],
		"services":[{"name":"books"}],
		"limits":{"max-body-bytes":4000000,"max-header-bytes":16384,"header-timeout-ms":3000,"idle-timeout-ms":15000},
		"tenants":[{"name":"north","api-keys":[%q],"unit":"generation","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`, soakHost, soakKey))
	w.startNode()
	t.Cleanup(w.end)
	w.awaitAnswer("before")
	return w
}

// startNode writes the settings of the node and starts its process.
func (w *untrustedWorld) startNode() {
	w.t.Helper()
	settings := map[string]any{
		"node-name": "node-0", "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"front": w.at(nodeHosts, callersPort).String(), "readiness": w.at(nodeHosts, readyPort).String(),
			"control": w.at(nodeHosts, controlPort).String(), "directory": w.at(nodeHosts, directoryPort).String(),
		},
		"seeds": []string{w.at(nodeHosts, controlPort).String()}, "heartbeat-ms": 1200,
		"bounds":   map[string]any{"grace-s": 8, "config-ms": 3000, "lease-ms": 3000, "ttl_max_s": 5},
		"limits":   map[string]any{"memory-mb": untrustedMemoryMB, "max-fds": untrustedDescriptors},
		"platform": map[string]string{"address": w.at(storeHost, standinPort).String()},
		"cloud":    map[string]any{"address": w.at(cloudHost, standinPort).String()},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.folder, "node.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		w.t.Fatal(err)
	}
	if err := w.runNode(w.node, path); err != nil {
		w.t.Fatal(err)
	}
}

// end closes the clients' connections and ends the process.
func (w *untrustedWorld) end() {
	closeAll(w.connections)
	w.senders.Wait()
	if w.t.Failed() {
		data, _ := os.ReadFile(w.node.log.Name()) // The log only helps to find the cause.
		w.t.Logf("log:\n%s", data[max(len(data)-2000, 0):])
	}
	w.soakWorld.end(w.node, os.Kill)
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// untrustedPort is a port of the node.
type untrustedPort struct {
	name    string
	address func(w *untrustedWorld) netip.AddrPort
	// preface is sent first.
	preface string
	// isPeers is true for the port of the nodes.
	isPeers bool
}

// forwardPreface begins a connection of forwarded requests, and is echoed.
const forwardPreface = "\x00"

var (
	toCallers   = untrustedPort{"callers", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, callersPort) }, "", false}
	toDirectory = untrustedPort{"directory", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, directoryPort) }, "", false}
	toMetrics   = untrustedPort{"metrics", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, platform.MetricsPort) }, "", false}
	toReadiness = untrustedPort{"readiness", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, readyPort) }, "", false}
	toPeers     = untrustedPort{"peers", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, controlPort) }, forwardPreface, true}
	toPeerCalls = untrustedPort{"peer-calls", func(w *untrustedWorld) netip.AddrPort { return w.at(nodeHosts, controlPort) }, "", true}
)

// untrustedPlan is what one client sends: first once, then again until the node closes the connection or maxSentBytes
// are sent. It holds the connection open, or closes only its own direction.
type untrustedPlan struct {
	first, again string
	isHalfOpen   bool
}

// sendCrowd opens the connections and waits until all clients have sent what they plan to, or were refused.
func (w *untrustedWorld) sendCrowd(port untrustedPort, clients int, plan func(client int) untrustedPlan) {
	w.t.Helper()
	var sent sync.WaitGroup
	for i := range clients {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(firstUntrustedAddress+i%untrustedAddresses))}}
		connection, err := dialer.Dial("tcp", port.address(w).String())
		if err != nil {
			continue // The node may refuse it.
		}
		w.connections = append(w.connections, connection)
		sent.Add(1)
		w.senders.Go(func() {
			sendPlan(connection, port.preface, plan(i), sent.Done)
		})
	}
	sent.Wait()
	w.awaitAccepted(port)
}

// awaitAccepted waits until the node has accepted the connections of the crowd: it accepts them in their order, and the next
// one gets an answer or is closed.
func (w *untrustedWorld) awaitAccepted(port untrustedPort) {
	w.t.Helper()
	connection, err := net.Dial("tcp", port.address(w).String())
	if err != nil {
		return // The node may refuse it.
	}
	defer connection.Close()
	first := "GET / HTTP/1.1\r\nHost: " + soakHost + "\r\n\r\n"
	if port.isPeers {
		first = forwardPreface
	}
	_ = connection.SetDeadline(time.Now().Add(waitLimit)) // As below.
	_, _ = io.WriteString(connection, first)              // The node may have closed it.
	if _, err := connection.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		w.t.Error("a connection was neither answered nor closed")
	}
}

// sendPlan sends what a client plans to, calls sent, and reads what the node answers.
func sendPlan(connection net.Conn, preface string, plan untrustedPlan, sent func()) {
	_, err := io.WriteString(connection, preface+plan.first)
	for n := 0; err == nil && plan.again != "" && n < maxSentBytes; n += len(plan.again) {
		_, err = io.WriteString(connection, plan.again)
	}
	if plan.isHalfOpen {
		_ = connection.(*net.TCPConn).CloseWrite() // The node may have closed the connection.
	}
	sent()
	_, _ = io.Copy(io.Discard, connection) // The node may answer, or close the connection.
}

// check checks the promises while the clients still hold their connections: the process lives, its memory and descriptors
// are within their bounds, and an ordinary caller's requests are answered.
func (w *untrustedWorld) check() {
	w.t.Helper()
	w.checkDescriptors()
	for i := range ordinaryRequests {
		w.awaitAnswer(strconv.Itoa(i))
	}
	w.checkDescriptors()
	w.checkMemory()
	if err := w.node.command.Process.Signal(syscall.Signal(0)); err != nil {
		w.t.Errorf("the process has ended: %v", err)
	}
}

// awaitAnswer sends ordinary requests, each on a connection of its own, until one is answered.
func (w *untrustedWorld) awaitAnswer(name string) {
	w.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	var last string
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, "http://"+w.at(nodeHosts, callersPort).String()+"/read/1", strings.NewReader("body"))
		if err != nil {
			w.t.Fatal(err)
		}
		request.Host = soakHost
		request.Header.Set("X-Request-Id", "ordinary-"+name)
		request.Header.Set("Authorization", "Bearer "+soakKey)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(response.Status, err)
	}
	w.t.Fatalf("no ordinary request was answered: %s", last)
}

func (w *untrustedWorld) checkDescriptors() {
	w.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.node.command.Process.Pid))
	if err != nil {
		w.t.Errorf("the process has ended: %v", err)
		return
	}
	w.t.Logf("descriptors: %d", len(open))
	if len(open) > untrustedDescriptors {
		w.t.Errorf("%d descriptors are open, want at most %d", len(open), untrustedDescriptors)
	}
}

func (w *untrustedWorld) checkMemory() {
	w.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.node.command.Process.Pid))
	if err != nil {
		w.t.Errorf("the process has ended: %v", err)
		return
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		var kilobytes int
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kilobytes); err != nil {
			continue
		}
		w.t.Logf("memory: at most %d MB", kilobytes>>10)
		if !isRace && kilobytes>>10 > untrustedMemoryMB {
			w.t.Errorf("the process used %d MB, want at most %d", kilobytes>>10, untrustedMemoryMB)
		}
		return
	}
	w.t.Error("the process's memory isn't known")
}
