package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// leaveDay is a day on which callers leave before their answers while something else happens.
type leaveDay struct {
	name string
	// nodes is the number of nodes; 0 stands for 6.
	nodes int
	// trouble happens from leaveBegin on, each of it at the same time.
	trouble []func(w *rateWorld)
	// shows is a part of a log line that the trouble leads to; it is empty for those that show in none.
	shows string
}

const (
	leaveBegin   = 2 * time.Second
	leaveLength  = 8 * time.Second
	leaveCallers = 800
)

// The troubles of days on which callers leave.
func connectionsBreak(w *rateWorld) {
	isUnsteady := func(a netip.Addr) bool { return isEndpointAddress(a) && a.As4()[3]%2 == 0 }
	for range 10 {
		w.network.Reset(func(a, b netip.Addr) bool { return isUnsteady(a) || isUnsteady(b) })
		w.sleep(400 * time.Millisecond)
	}
}

func twoNodesAreCutOff(w *rateWorld) {
	day := cutDay{cut: []int{1, 2}, fault: linksReset}
	day.apply(w.network)
	w.sleep(5 * time.Second)
	heal(w.network)
}

func endpointsLeaveWithMoves(w *rateWorld) {
	for i := range 6 {
		id := fmt.Sprintf("engine-%d", i)
		w.listLeaving(i, id)
		w.sleep(time.Second)
	}
}

func nodesRestart(w *rateWorld) { w.restartNodes() }

// listLeaving writes the row of an endpoint of the chat service that stops 2 s later.
func (w *rateWorld) listLeaving(number int, id string) {
	zone := []string{"north-a", "south-a"}[number%2]
	w.store.Put("servers", id, fmt.Appendf(nil,
		`{"service":"chat","address":%q,"zone":%q,"version":"v1","slots":16,"state":"draining","seq":2,"born":1,"leaves_ms":2000}`,
		endpointAddress(number), zone))
}

// TestCallersLeaveInTrouble fails if requests reach endpoints later than half a second after their callers have left, or if endpoints are
// still at work for them then, while connections break, streams move, nodes are cut off or restart.
func TestCallersLeaveInTrouble(t *testing.T) {
	type troubles = []func(w *rateWorld)
	tests := []leaveDay{
		{name: "none"},
		{name: "connections break", trouble: troubles{connectionsBreak}},
		{name: "streams move", trouble: troubles{endpointsLeaveWithMoves}, shows: `"Event":262`},
		{name: "two nodes are cut off", trouble: troubles{twoNodesAreCutOff}, shows: `"Event":333`},
		{name: "nodes restart", trouble: troubles{nodesRestart}, shows: `"Event":102`},
		{name: "streams move and connections break", trouble: troubles{endpointsLeaveWithMoves, connectionsBreak}, shows: `"Event":262`},
		{name: "streams move and two nodes are cut off", trouble: troubles{endpointsLeaveWithMoves, twoNodesAreCutOff}, shows: `"Event":262`},
		{name: "relays, two nodes are cut off", nodes: 20, trouble: troubles{twoNodesAreCutOff}, shows: `"Event":333`},
	}
	for _, day := range tests {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			runRateFleet(t, rateDay{nodes: max(day.nodes, 6)}, func(w *rateWorld) { day.play(w) })
		})
	}
}

// play sends requests whose callers leave, and checks what the endpoints do for them afterwards.
func (d *leaveDay) play(w *rateWorld) {
	w.configure(2, func(text string) string {
		text = strings.ReplaceAll(text, `"timeout-ms":4000`, `"timeout-ms":15000`)
		return strings.Replace(text, `{"name":"chat","health-path":"/health"}`,
			`{"name":"chat","health-path":"/health","engine":{"slots":16,"kv-capacity":100000,"moves":true}}`, 1)
	})
	for i := range 12 {
		w.addEndpoint(i)
		w.endpoints[i].EventCount, w.endpoints[i].EventInterval, w.endpoints[i].MoveTakes = 40, 100*time.Millisecond, 30*time.Millisecond
	}
	for _, id := range []string{"books-1", "books-2"} {
		w.replicas[id].SetWorkTime(1500 * time.Millisecond)
	}
	w.sleep(leaveBegin)
	var wait sync.WaitGroup
	for _, trouble := range d.trouble {
		wait.Go(func() { trouble(w) })
	}
	random := rand.New(rand.NewPCG(46, uint64(len(d.name))))
	callers := make([]*leavingCaller, leaveCallers)
	for i := range callers {
		c := &leavingCaller{id: fmt.Sprintf("left-%d", i)}
		callers[i] = c
		node, stays := random.IntN(w.day.nodes)+1, time.Duration(50+random.IntN(2950))*time.Millisecond
		wait.Go(func() { c.sendAndLeave(w, node, i, stays) })
		w.sleep(leaveLength / leaveCallers)
	}
	wait.Wait()
	w.sleep(2 * lateBound)
	late, atWork := countWorkFor(w, callers)
	if d.shows != "" && w.log.count(d.shows) == 0 {
		w.t.Errorf("no line of the log has %s: the trouble didn't happen", d.shows)
	}
	if late > 0 {
		w.t.Errorf("%d requests reached an endpoint more than %v after their callers had left", late, lateBound)
	}
	if atWork > 0 {
		w.t.Errorf("endpoints were at work for %d of %d callers %v after they had left", atWork, leaveCallers, lateBound)
	}
}

// sendAndLeave sends a request on one of four kinds of route, and closes the connection some time later.
func (c *leavingCaller) sendAndLeave(w *rateWorld, node, number int, stays time.Duration) {
	connection, err := w.network.From(callerIP).Dial(w.t.Context(), "tcp", fmt.Sprintf("10.1.0.%d:1", node))
	if err != nil {
		return // The node restarts.
	}
	// Only streams that can't be resumed are moved: half of the requests, so that some run at each endpoint that leaves.
	path := []string{"/ask/1", "/talk/1", "/file/1", "/talk/1", "/read/1", "/talk/1"}[number%6]
	method, body, head := http.MethodPost, "body", ""
	if path == "/ask/1" || path == "/talk/1" {
		head = "X-Token-Counts: 500,100\r\n"
	}
	c.connection = connection
	go func() {
		buffer := make([]byte, 4<<10)
		for err := error(nil); err == nil; {
			_, err = connection.Read(buffer)
		}
	}()
	_, _ = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, c.id, goodKey, head, len(body), body) // The node may be stopping.
	w.sleep(stays)
	c.leave(w.testFleet)
}

// countWorkFor counts the requests that reached an endpoint late, and the callers for whom endpoints were at work too long.
func countWorkFor(w *rateWorld, callers []*leavingCaller) (late, atWork int) {
	left := map[string]*leavingCaller{}
	for _, c := range callers {
		if !c.leftAt.IsZero() {
			left[c.id] = c
		}
	}
	replicas := w.endpoints
	for _, id := range []string{"books-1", "books-2"} {
		replicas = append(replicas, w.replicas[id])
	}
	for _, replica := range replicas {
		for _, run := range replica.Runs() {
			c := left[run.ID]
			switch {
			case c == nil:
			case run.At.Sub(c.leftAt) > lateBound:
				late++
			case run.EndedAt.IsZero() || run.EndedAt.Sub(c.leftAt) > lateBound:
				atWork++
			}
		}
	}
	return late, atWork
}
