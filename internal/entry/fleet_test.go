package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/entry"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/internal/standin/standrows"
	"quetzalfront/platform"
)

const (
	host     = "chat.example"
	goodKey  = "key-1"
	otherKey = "key-2"
	settle   = 3 * time.Second
)

var (
	storeAddress = netip.MustParseAddrPort("10.9.0.1:80")
	cloudAddress = netip.MustParseAddrPort("10.9.0.2:80")
	callerIP     = netip.MustParseAddr("10.7.0.1")
)

// testFleet is a deployment of nodes and stand-ins over an in-memory network, on virtual time.
type testFleet struct {
	t        *testing.T
	clock    qf.Clock
	began    time.Time
	network  *standnet.Network
	store    *standrows.Store
	cloud    *cloud
	replicas map[string]*standreplica.Replica
	nodes    []*entry.Entry
	// numbers are those of the nodes, by which callers reach them.
	numbers []int
	// hasFairShares is set for nodes that divide room in a shortage.
	hasFairShares bool
	// seeds are the peer addresses that the nodes' settings name.
	seeds []netip.AddrPort
	// process holds the limits of the nodes' processes; zero means that there are none.
	process qf.ProcessLimits
	// log holds the log lines of all nodes.
	log logBuffer
	// calls counts the calls to the platform by name.
	calls   callCounts
	servers []*http.Server
	// isMissed reports whether the nodes' reads of changes leave out a row; nil means that they leave out none.
	isMissed atomic.Pointer[func(row *qf.FeedRow) bool]
	// mu guards requests and servers.
	mu       sync.Mutex
	requests int
}

// logBuffer keeps the lines of all nodes.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

// count returns how many lines hold all of the texts.
func (b *logBuffer) count(texts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, line := range b.lines {
		holdsAll := true
		for _, text := range texts {
			holdsAll = holdsAll && strings.Contains(line, text)
		}
		if holdsAll {
			count++
		}
	}
	return count
}

// callCounts counts calls by name.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *callCounts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

// cloud records the duty calls.
type cloud struct {
	mu sync.Mutex
	// usage holds the bodies by window, in the order of their arrival.
	usage  map[int64][]string
	orders []string
	// acts holds the holder and the fencing number of each call, in the order of arrival.
	acts []dutyAct
}

// dutyAct is the holder of a duty in one call.
type dutyAct struct{ holder, fencing string }

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acts = append(c.acts, dutyAct{r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token")})
	if r.URL.Path == "/usage" {
		var report struct {
			Window int64 `json:"window"`
		}
		_ = json.Unmarshal(body, &report)
		c.usage[report.Window] = append(c.usage[report.Window], string(body))
		return
	}
	c.orders = append(c.orders, string(body))
	w.WriteHeader(http.StatusOK)
}

func runFleet(t *testing.T, nodes int, run func(w *testFleet)) {
	t.Helper()
	runPreparedFleet(t, nodes, func(*testFleet) {}, run)
}

// runPreparedFleet runs a fleet that is prepared before its nodes start.
func runPreparedFleet(t *testing.T, nodes int, prepare, run func(w *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		w := &testFleet{
			t: t, clock: clock, began: clock.Now(), network: standnet.New(), store: standrows.New(clock, 2000, 400),
			cloud: &cloud{usage: map[int64][]string{}}, replicas: map[string]*standreplica.Replica{},
		}
		w.serve(storeAddress, w.store.Handler())
		w.serve(cloudAddress, w.cloud)
		w.addReplica("chat-1", "chat", 1)
		w.addReplica("chat-2", "chat", 2)
		w.addReplica("books-1", "books", 3)
		w.addReplica("books-2", "books", 4)
		w.configure(1, nil)
		prepare(w)
		for i := range nodes {
			w.start(i + 1)
		}
		w.sleep(settle)
		run(w)
		for _, node := range w.nodes {
			node.Stop(context.Background())
		}
		for _, server := range w.servers {
			_ = server.Close()
		}
		w.network.Close()
		w.sleep(time.Minute) // Lets all waits on timers end within the synctest bubble.
	})
}

func (w *testFleet) sleep(d time.Duration) { <-w.clock.After(d).C() }

func (w *testFleet) serve(address netip.AddrPort, handler http.Handler) *http.Server {
	listener, err := w.network.From(address.Addr()).Listen(w.t.Context(), address)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	return server
}

// addReplica starts a replica and lists it.
func (w *testFleet) addReplica(id, entryName string, number int) {
	w.list(id, entryName, w.startReplica(id, number).String(), "ready")
}

// startReplica starts a replica that isn't listed, and returns its address.
func (w *testFleet) startReplica(id string, number int) netip.AddrPort {
	replica := standreplica.New(id, w.clock)
	w.replicas[id] = replica
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, byte(number)}), 80)
	w.serve(address, replica)
	return address
}

func (w *testFleet) list(id, entryName, address, state string) {
	w.store.Put("servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"north-a","version":"v1","slots":8,"state":%q,"cold-left-ms":0,"seq":1,"born":1}`,
		entryName, address, state))
}

// configure writes a configuration. The change edits it first.
func (w *testFleet) configure(revision int, change func(text string) string) {
	text := fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"ask","host":%[2]q,"prefix":"/ask/","kind":"streaming","timeout-ms":4000,"slo-ms":1000,"service":"chat","attempts":2,"sticky":true,"resumable":true},
		{"name":"talk","host":%[2]q,"prefix":"/talk/","kind":"streaming","timeout-ms":4000,"slo-ms":1000,"service":"chat","attempts":2,"sticky":true},
		{"name":"file","host":%[2]q,"prefix":"/file/","kind":"unsafe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":1},
		{"name":"read","host":%[2]q,"prefix":"/read/","kind":"safe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":2}],
		"services":[{"name":"chat","health-path":"/health"},{"name":"books","health-path":"/health"}],
		"limits":{"max-header-bytes":16384,"max-body-bytes":1000},
		"tenants":[{"name":"north","api-keys":[%[3]q],"unit":"generation","plain-tokens":100,"rate-per-s":1000000,"burst":1000000}]}`,
		revision, host, goodKey)
	if change != nil {
		text = change(text)
	}
	w.store.Put("op", "config", []byte(text))
}

// start starts a node in one of two zones.
func (w *testFleet) start(number int) *entry.Entry {
	zone := []string{"north-a", "south-a"}[number%2]
	ip := netip.AddrFrom4([4]byte{10, 1, 0, byte(number)})
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	network := w.network.From(ip)
	regions := map[qf.AvailabilityZone]qf.Region{"north-a": "north", "south-a": "south"}
	deployment := qf.Deployment{
		Self: qf.Node{
			ID: qf.NodeID(fmt.Sprintf("node-%d", number)), AvailabilityZone: qf.AvailabilityZone(zone),
			Region: regions[qf.AvailabilityZone(zone)], CallerAddress: at(1), PeerAddress: at(2),
		},
		ReadyAddress: at(3), DirectoryAddress: at(4), Regions: regions, HasUsageDuty: true, ChecksFencing: true, FairShares: w.hasFairShares,
		Process: w.process, Seeds: w.seeds,
		FirstStart: w.clock.Now().Sub(w.began) < settle,
		Bounds: qf.DeploymentBounds{
			StopGrace: 8 * time.Second, LeaseFor: 3 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
			UsageWindow: 5 * time.Second, UsageWithin: 10 * time.Second,
		},
	}
	store := platform.NewStore(storeAddress, entry.MaxPollTimeout, network.Dial)
	store.ObserveCalls(w.calls.add)
	duties := platform.NewDutyClient(cloudAddress, network.Dial)
	duties.ObserveCalls(w.calls.add)
	peers := qfrpc.NewClient(w.clock, entry.PeerTimeout, network.Dial, nil)
	node := entry.New(deployment, entry.Platform{
		Clock: w.clock, Network: network, Feed: &missingFeed{FeedReader: store, fleet: w}, Table: store, Eras: store, Rollouts: store, Duties: duties,
		RowDecoder: platform.RowDecoder{Regions: regions}, Protocol: platform.Protocol{}, Mover: platform.NewMoveClient(network.Dial), Peer: peers, PeerFeed: peers,
		ReadyHandler: platform.ReadyHandler, DirectoryHandler: platform.DirectoryHandler,
		Logger: zerolog.New(&w.log), Random: rand.New(rand.NewPCG(uint64(number), 7)),
	})
	if err := node.Start(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
	w.nodes, w.numbers = append(w.nodes, node), append(w.numbers, number)
	return node
}

// missingFeed leaves rows out of the changes that it reads.
type missingFeed struct {
	qf.FeedReader
	fleet *testFleet
}

// ReadChanges implements qf.FeedReader.
func (f *missingFeed) ReadChanges(ctx context.Context, feed qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error) {
	page, err := f.FeedReader.ReadChanges(ctx, feed, after, wait)
	if isMissed := f.fleet.isMissed.Load(); isMissed != nil && feed == qf.FeedEndpoints {
		page.Rows = slices.DeleteFunc(page.Rows, func(row qf.FeedRow) bool { return (*isMissed)(&row) })
	}
	return page, err
}

// replaceNode ends a node and starts a new one in its place.
func (w *testFleet) replaceNode(index int) {
	w.nodes[index].Stop(w.t.Context())
	number := w.numbers[index]
	w.nodes, w.numbers = slices.Delete(w.nodes, index, index+1), slices.Delete(w.numbers, index, index+1)
	w.start(number)
}

// restartNodes stops all nodes at once and starts new ones in their places. It returns when the
// first of them were started.
func (w *testFleet) restartNodes() time.Time {
	var wait sync.WaitGroup
	for _, node := range w.nodes {
		wait.Go(func() { node.Stop(w.t.Context()) })
	}
	wait.Wait()
	numbers, startedAt := w.numbers, w.clock.Now()
	w.nodes, w.numbers = nil, nil
	for _, number := range numbers {
		w.start(number)
	}
	return startedAt
}

// answer is the response that a caller got.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	// err is set if the answer is incomplete.
	err error
}

// call sends a caller's request to a node.
func (w *testFleet) call(ctx context.Context, number int, method, path, body string, headers ...string) answer {
	w.mu.Lock()
	w.requests++
	a := answer{id: fmt.Sprintf("request-%d", w.requests)}
	w.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.From(callerIP).Dial, DisableKeepAlives: true}}
	url := fmt.Sprintf("http://10.1.0.%d:1%s", number, path)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("Authorization", "Bearer "+goodKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	text, err := io.ReadAll(response.Body)
	a.body, a.err = string(text), err
	return a
}

// runsOf returns the number of runs of a request at all replicas.
func (w *testFleet) runsOf(id string) int {
	count := 0
	for _, replica := range w.replicas {
		for _, run := range replica.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// behave sets the next behaviours of all replicas whose names have the prefix.
func (w *testFleet) behave(prefix string, next ...standreplica.Behaviour) {
	for id, replica := range w.replicas {
		if strings.HasPrefix(id, prefix) {
			replica.SetNextBehaviours(next...)
		}
	}
}
