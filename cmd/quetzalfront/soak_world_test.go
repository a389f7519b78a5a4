package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standproxy"
	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/internal/standin/standrows"
)

const (
	soakReplicas  = 4
	soakHost      = "soak.example"
	soakKey       = "key-1"
	callersPort   = 28081
	readyPort     = 28082
	controlPort   = 28083
	directoryPort = 28084
	standinPort   = 28090
	claimPort     = 28070
)

// The networks of soaks, by the second octet of their loopback addresses.
const (
	firstSoakNet = 10
	soakNets     = 200
)

// Host numbers in the network of a soak. Those with plural names are the first of a range:
// the replicas, the proxies in front of them, the nodes, and the proxy between each node
// and the store.
const (
	storeHost      = 100
	cloudHost      = 101
	replicaHosts   = 120
	replicaProxies = 150
	nodeHosts      = 1000
	storeProxies   = 2000
)

// soakWorld is a small deployment of real node processes on loopback addresses, with
// fault-injecting proxies between them and the stand-ins.
type soakWorld struct {
	t        *testing.T
	timer    *qftimer.Wall
	net      byte
	folder   string
	store    *standrows.Store
	replicas []*soakReplica
	proxies  []*standproxy.Proxy
	servers  []*http.Server
	nodes    []*soakNode
	clients  sync.WaitGroup

	mu sync.Mutex
	// revision is the newest configuration revision written to the store.
	revision int
	number   int
	results  []soakResult
	// lastFaultAt is when a fault was last active; planned operations don't count.
	lastFaultAt time.Time
}

// soakReplica is a replica with its entry and the address of its proxy.
type soakReplica struct {
	*standreplica.Replica
	address netip.AddrPort
	entry   string
	// drainingSince is when the replica started draining, or zero if it is ready.
	drainingSince time.Time
}

// soakNode is a node with its current process; restarts keep the soakNode.
type soakNode struct {
	number  int
	command *exec.Cmd
	// isOther is true if the process is of the other build.
	isOther bool
	// run counts the process starts.
	run int
	// highest is the newest revision that the current process has served.
	highest int
	log     *os.File
}

// soakResult is the result of one request as its caller received it.
type soakResult struct {
	id, path string
	sentAt   time.Time
	node     int
	status   int
	body     string
	err      error
	isStream bool
	// endedAt is when the answer was read to its end, or the request failed.
	endedAt time.Time
	// isOwed is true if the whole request was written to a connection that its node can't have closed as an unused one meanwhile:
	// a new one, or one on which the answer has begun.
	isOwed bool
}

// delivery follows how far a request got.
type delivery struct {
	mu                            sync.Mutex
	isReused, isWritten, hasBegun bool
}

// trace returns a context whose request is followed.
func (d *delivery) trace(ctx context.Context) context.Context {
	update := func(change func()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		change()
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { update(func() { d.isReused = i.Reused }) },
		WroteRequest:         func(i httptrace.WroteRequestInfo) { update(func() { d.isWritten = i.Err == nil }) },
		GotFirstResponseByte: func() { update(func() { d.hasBegun = true }) },
	})
}

func (d *delivery) isOwed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isWritten && (!d.isReused || d.hasBegun)
}

// at returns the loopback address of a host in this soak's network.
func (w *soakWorld) at(host int, port uint16) netip.AddrPort {
	const perOctet = 250
	ip := netip.AddrFrom4([4]byte{127, w.net, byte(host / perOctet), byte(host%perOctet + 1)})
	return netip.AddrPortFrom(ip, port)
}

// newStandinWorld starts the stand-ins of the store and of the platform's API in the first free network.
func newStandinWorld(t *testing.T, network byte) *soakWorld {
	t.Helper()
	w := &soakWorld{t: t, timer: qftimer.NewWall(), folder: t.TempDir()}
	w.claimNet(network)
	w.store = standrows.New(w.timer, 2000, 400)
	w.serve(w.at(storeHost, standinPort), w.store.Handler())
	w.serve(w.at(cloudHost, standinPort), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	return w
}

// newSoakWorld starts the stand-ins, proxies and nodes.
func newSoakWorld(t *testing.T, network byte) *soakWorld {
	t.Helper()
	w := newStandinWorld(t, network)
	for i := range soakReplicas {
		id := fmt.Sprintf("replica-%d", i)
		replica := &soakReplica{Replica: standreplica.New(id, w.timer), address: w.at(replicaProxies+i, standinPort), entry: []string{"chat", "books"}[i%2]}
		replica.EventInterval = 20 * time.Millisecond
		w.serve(w.at(replicaHosts+i, standinPort), replica)
		w.proxy(replica.address, w.at(replicaHosts+i, standinPort))
		w.replicas = append(w.replicas, replica)
		w.putReplica(replica, "ready")
	}
	w.configure()
	for i := range *soakNodes {
		w.proxy(w.at(storeProxies+i, standinPort), w.at(storeHost, standinPort))
		w.nodes = append(w.nodes, &soakNode{number: i})
		w.start(w.nodes[i])
	}
	return w
}

// claimNet takes the first network that no other soak on this machine uses, nor nodes that one has left behind.
func (w *soakWorld) claimNet(first byte) {
	for i := range soakNets {
		w.net = firstSoakNet + byte((int(first)-firstSoakNet+i)%soakNets)
		claim, err := net.Listen("tcp", w.at(0, claimPort).String())
		if err != nil {
			continue
		}
		w.t.Cleanup(func() { _ = claim.Close() })
		if !w.hasNodes() {
			return
		}
	}
	w.t.Fatal("all networks of soaks are in use")
}

// hasNodes reports whether nodes still run in the network: those of a soak that was killed go on serving, with what they know.
func (w *soakWorld) hasNodes() bool {
	for i := range *soakNodes {
		listener, err := net.Listen("tcp", w.at(nodeHosts+i, callersPort).String())
		if err != nil {
			return true
		}
		_ = listener.Close()
	}
	return false
}

// chooseBuild lets the next process of a node be of the other build, if there is one.
func (w *soakWorld) chooseBuild(n *soakNode) {
	n.isOther = *soakOther != "" && !n.isOther
}

func (w *soakWorld) sleep(d time.Duration) { <-w.timer.After(d).C() }

func (w *soakWorld) serve(address netip.AddrPort, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return server
}

func (w *soakWorld) proxy(address, target netip.AddrPort) {
	proxy, err := standproxy.New(w.timer, address, target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.proxies = append(w.proxies, proxy)
}

// putReplica writes the record of a replica, with its state, to the store.
func (w *soakWorld) putReplica(r *soakReplica, state string) {
	w.store.Put("servers", r.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":64,"state":%q,"cold-left-ms":0,"seq":1,"born":1}`, r.entry, r.address, state))
}

// configure writes the next configuration. Its route /rev-N/ shows which revision a node
// serves; the other routes stay.
func (w *soakWorld) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.store.Put("op", "config", fmt.Appendf(nil, `{"version":%[1]d,"routes":[
		{"name":"ask","host":%[2]q,"prefix":"/ask/","kind":"streaming","timeout-ms":3000,"slo-ms":1000,"service":"chat","attempts":2,"sticky":true,"resumable":true},
		{"name":"talk","host":%[2]q,"prefix":"/talk/","kind":"streaming","timeout-ms":3000,"slo-ms":1000,"service":"chat","attempts":1,"sticky":true},
		{"name":"file","host":%[2]q,"prefix":"/file/","kind":"unsafe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":1},
		{"name":"part","host":%[2]q,"prefix":"/part/","kind":"streaming","timeout-ms":3000,"slo-ms":1000,"service":"parts","attempts":2,"sticky":true,"resumable":true},
		{"name":"read","host":%[2]q,"prefix":"/read/","kind":"safe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":2},
		{"name":"rev","host":%[2]q,"prefix":"/rev-%[1]d/","kind":"safe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":2}],
		"services":[{"name":"chat"},{"name":"books"},{"name":"parts"}],"limits":{"max-body-bytes":100000},
		"tenants":[{"name":"north","api-keys":[%[3]q],"unit":"generation","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`,
		w.revision, soakHost, soakKey))
}

// start writes the settings of a node and starts its process. The soak ends only
// processes started here.
func (w *soakWorld) start(n *soakNode) {
	host := nodeHosts + n.number
	settings := map[string]any{
		"node-name": fmt.Sprintf("node-%d", n.number), "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"front": w.at(host, callersPort).String(), "readiness": w.at(host, readyPort).String(),
			"control": w.at(host, controlPort).String(), "directory": w.at(host, directoryPort).String(),
		},
		"seeds": []string{w.at(nodeHosts, controlPort).String()}, "heartbeat-ms": 1200,
		"bounds": map[string]any{
			"grace-s": 8, "config-ms": 3000, "lease-ms": 3000, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 50,
			"usage-window-s": 5, "usage-late-s": 10, "fence-checked": true, "ttl_max_s": 5,
		},
		"platform": map[string]string{"address": w.at(storeProxies+n.number, standinPort).String()},
		"cloud":    map[string]any{"address": w.at(cloudHost, standinPort).String(), "duties": []string{"usage_report"}},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.folder, fmt.Sprintf("node-%d.json", n.number))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		w.t.Fatal(err)
	}
	if err := w.runNode(n, path); err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	n.run++
	n.highest = 0
	w.mu.Unlock()
}

// runNode starts the process of a node with a settings file.
func (w *soakWorld) runNode(n *soakNode, path string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if n.isOther {
		program = *soakOther
	}
	n.log, err = os.OpenFile(filepath.Join(w.folder, fmt.Sprintf("node-%d.log", n.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = &exec.Cmd{Path: program, Args: []string{"quetzalfront", "entry", "--settings", path}, Stdout: n.log, Stderr: n.log}
	return n.command.Start()
}

// end sends a signal to a node's process and waits until it has exited. SIGCONT lets a
// process paused by SIGSTOP handle the signal.
func (w *soakWorld) end(n *soakNode, signal os.Signal) {
	_ = n.command.Process.Signal(signal) // The process may have exited.
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Wait() // A killed process returns an error.
	_ = n.log.Close()
}

func (w *soakWorld) close() {
	for _, n := range w.nodes {
		w.end(n, os.Kill)
	}
	for _, p := range w.proxies {
		p.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// send sends one random request through a client and records the result.
func (w *soakWorld) send(client *http.Client, random *rand.Rand, name string) {
	w.mu.Lock()
	revision := w.revision
	w.mu.Unlock()
	n := w.nodes[random.IntN(len(w.nodes))]
	if random.IntN(4) == 0 {
		revision = max(revision-random.IntN(3), 1)
	}
	w.sendTo(client, n, []string{"/ask/1", "/talk/1", "/file/1", "/read/1", fmt.Sprintf("/rev-%d/1", revision)}[random.IntN(5)], name)
}

// sendTo sends a request to a node and records the result.
func (w *soakWorld) sendTo(client *http.Client, n *soakNode, path, name string) {
	w.mu.Lock()
	w.number++
	run := n.run
	r := soakResult{id: fmt.Sprintf("%s-%d", name, w.number), path: path, node: n.number}
	w.mu.Unlock()
	r.isStream = strings.HasPrefix(r.path, "/ask/") || strings.HasPrefix(r.path, "/talk/")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var d delivery
	request, err := http.NewRequestWithContext(d.trace(ctx), http.MethodPost, "http://"+w.at(nodeHosts+n.number, callersPort).String()+r.path, strings.NewReader("body"))
	if err != nil {
		w.t.Error(err)
		return
	}
	request.Host = soakHost
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("Authorization", "Bearer "+soakKey)
	if r.isStream {
		request.Header.Set("X-Token-Counts", "10,10")
	}
	w.mu.Lock()
	highest := n.highest
	w.mu.Unlock()
	r.sentAt = w.timer.Now()
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.body = response.StatusCode, string(body)
	}
	r.err, r.endedAt, r.isOwed = err, w.timer.Now(), d.isOwed()
	w.record(n, run, highest, &r)
}

// record stores a result, and checks that no process of a node goes back to an older
// revision.
func (w *soakWorld) record(n *soakNode, run, highest int, r *soakResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, *r)
	var served int
	if _, err := fmt.Sscanf(r.path, "/rev-%d/", &served); err != nil || r.status != http.StatusOK || n.run != run {
		return
	}
	if served < highest {
		w.t.Errorf("node %d served revision %d after revision %d", n.number, served, highest)
	}
	n.highest = max(n.highest, served)
}
