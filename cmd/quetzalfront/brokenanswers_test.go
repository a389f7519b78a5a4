package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/internal/standin/standsocket"
)

// brokenRequests is the number of requests on each route.
const brokenRequests = 6

// brokenWorld is a node and two services, each with a sound replica and one that answers with broken bytes.
type brokenWorld struct {
	*soakWorld
	// arrived holds the number of requests at the broken replica of each service, in the order of replicas.
	arrived [2]atomic.Int64
}

// brokenAnswer is what the broken replicas answer, and how they end the connection.
type brokenAnswer struct {
	name string
	// text is the answer. {fields} stands for the header fields that name and sign it, {part} for a part of a body, and
	// {length} for the length of that part.
	text        string
	ending      standsocket.Ending
	uploadBytes int
}

func newBrokenWorld(t *testing.T, broken *brokenAnswer) *brokenWorld {
	t.Helper()
	w := &brokenWorld{soakWorld: newStandinWorld(t, firstSoakNet+soakNets/2)}
	w.nodes = []*soakNode{{}}
	w.proxy(w.at(storeProxies, standinPort), w.at(storeHost, standinPort))
	for i, entry := range []string{"chat", "books"} {
		sound := &soakReplica{Replica: standreplica.New(entry+"-sound", w.timer), address: w.at(replicaHosts+2*i, standinPort), entry: entry}
		w.serve(sound.address, sound)
		w.putReplica(sound, "ready")
		w.replicas = append(w.replicas, sound)
		faulty := &soakReplica{Replica: standreplica.New(entry+"-broken", w.timer), address: w.at(replicaHosts+2*i+1, standinPort), entry: entry}
		w.serveBroken(faulty.address, broken, &w.arrived[i])
		w.putReplica(faulty, "ready")
	}
	w.store.Put("op", "config", fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"ask","host":%[1]q,"prefix":"/ask/","kind":"streaming","timeout-ms":20000,"slo-ms":10000,"service":"chat","attempts":3,"sticky":true,"resumable":true},
		{"name":"talk","host":%[1]q,"prefix":"/talk/","kind":"streaming","timeout-ms":20000,"slo-ms":10000,"service":"chat","attempts":1,"sticky":true},
		{"name":"file","host":%[1]q,"prefix":"/file/","kind":"unsafe","timeout-ms":20000,"slo-ms":10000,"service":"books","attempts":1},
		{"name":"read","host":%[1]q,"prefix":"/read/","kind":"safe","timeout-ms":20000,"slo-ms":10000,"service":"books","attempts":3}],
		"services":[{"name":"chat"},{"name":"books"}],"limits":{"max-body-bytes":10000000},
		"tenants":[{"name":"north","api-keys":[%[2]q],"unit":"generation","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`, soakHost, soakKey))
	w.start(w.nodes[0])
	t.Cleanup(w.stop)
	return w
}

// serveBroken starts a replica that counts its requests and answers each with broken bytes.
func (w *brokenWorld) serveBroken(address netip.AddrPort, broken *brokenAnswer, arrived *atomic.Int64) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = listener.Close() })
	server := &standsocket.Server{Ending: broken.ending, Answer: func(r *http.Request) string {
		arrived.Add(1)
		id := r.Header.Get("X-Request-Id")
		fields, part := "X-Request-Id: "+id+"\r\nX-Response-Stamp: stamp-"+id+"\r\n", "a part"
		if r.Header.Get("X-Token-Counts") != "" {
			first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without the header, the stream starts at its first event.
			fields, part = fields+"Content-Type: text/event-stream\r\n", standreplica.StreamEvent(id, first+1)
		}
		return strings.NewReplacer("{fields}", fields, "{part}", part, "{length}", strconv.Itoa(len(part))).Replace(broken.text)
	}}
	go server.Serve(w.t.Context(), listener)
}

func (w *brokenWorld) stop() {
	if w.t.Failed() {
		data, _ := os.ReadFile(w.nodes[0].log.Name()) // The log only helps to find the cause.
		w.t.Logf("log:\n%s", data[max(len(data)-4000, 0):])
	}
	w.close()
}

// send sends a request and returns the status and the body of its answer.
func (w *brokenWorld) send(path, id string, uploadBytes int) (status int, body string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	url := "http://" + w.at(nodeHosts, callersPort).String() + path
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = soakHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+soakKey)
	if strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/talk/") {
		request.Header.Set("X-Token-Counts", "10,10")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// awaitReady waits until the node has its configuration and endpoints.
func (w *brokenWorld) awaitReady() {
	w.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + w.at(nodeHosts, readyPort).String() + "/quetzalfront/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	w.t.Fatal("the node isn't ready")
}

// wholeBody returns the sound replica's answer to a request.
func (w *brokenWorld) wholeBody(path, id string) string {
	chat, books := w.replicas[0], w.replicas[1]
	if strings.HasPrefix(path, "/read/") || strings.HasPrefix(path, "/file/") {
		return standreplica.ResponseBody(id, books.ID)
	}
	var stream strings.Builder
	for number := 1; number <= chat.EventCount; number++ {
		stream.WriteString(standreplica.StreamEvent(id, number))
	}
	return stream.String()
}

// TestBrokenAnswersReachNoCaller fails if callers of a node get broken bytes of a replica as a whole answer, or if a request that
// may be repeated isn't served by the sound replica.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{part}"
	tests := []brokenAnswer{
		{"reset during the upload", "HTTP/1.1 200 OK\r\n{fields}\r\n{part}", standsocket.Resets, standsocket.LongUploadBytes},
		{"closed with unread bytes", "HTTP/1.1 200 OK\r\n{fields}\r\n{part}", standsocket.ClosesUnread, standsocket.LongUploadBytes},
		{"status 000", "HTTP/1.1 000 None\r\n{fields}Content-Length: {length}\r\n\r\n{part}", standsocket.Keeps, 10},
		{"status 000 before a whole answer", "HTTP/1.1 000 None\r\n\r\n" + whole, standsocket.Keeps, 10},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX-A B: c\r\n{fields}Content-Length: {length}\r\n\r\n{part}", standsocket.Keeps, 10},
		{"blank after the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content-Length : 2\r\n\r\n{part}", standsocket.EndsAndReads, 10},
		{"blank after the name of the encoding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding : chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", standsocket.EndsAndReads, 10},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-A\x01B: c\r\n{fields}Content-Length: {length}\r\n\r\n{part}", standsocket.Keeps, 10},
	}
	for i := range tests {
		broken := &tests[i]
		t.Run(broken.name, func(t *testing.T) {
			w := newBrokenWorld(t, broken)
			w.awaitReady()
			for _, path := range []string{"/read/1", "/file/1", "/ask/1", "/talk/1"} {
				mayRepeat := path == "/read/1" || path == "/ask/1"
				for n := range brokenRequests {
					id := fmt.Sprintf("%s%d", path[1:5], n)
					status, body, err := w.send(path, id, broken.uploadBytes)
					isWhole := err == nil && status == http.StatusOK && body == w.wholeBody(path, id)
					hasFailed := err != nil || status >= http.StatusInternalServerError
					if !isWhole && (mayRepeat || !hasFailed) {
						t.Errorf("%s %d: status %d, %q, %v", path, n, status, body, err)
					}
				}
			}
			for i := range w.arrived {
				if w.arrived[i].Load() == 0 {
					t.Errorf("the broken replica beside %s got no request", w.replicas[i].ID)
				}
			}
		})
	}
}
