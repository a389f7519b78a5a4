package benchnode

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standworld"
	"quetzalfront/pkg/qfapi"
)

const catalogue = `
[[Entries]]
Name = "assistant"
Kind = "ModelEngine"
Owner = "bench"
Class = "Interactive"
Deadline = "60s"
Target = "v1"
[[Entries.Versions]]
Name = "v1"
[[Entries]]
Name = "register"
Kind = "PlainService"
Owner = "bench"
Class = "Critical"
Deadline = "60s"
Target = "r1"
[[Entries.Versions]]
Name = "r1"
`

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// cluster is a node and one endpoint of each entry in this process, on loopback.
type cluster struct {
	node      *node.Node
	endpoints map[qf.EntryName]netip.AddrPort
}

// newCluster starts the stand-ins and the node, applies the catalogue and waits until the
// node is ready and has both endpoints.
func newCluster(b *testing.B) *cluster {
	timer, network := qftimer.NewWall(), qf.TCP()
	world := standworld.New(timer, network)
	b.Cleanup(world.Close)
	table, cloud, err := world.Serve(anyPort, anyPort)
	if err != nil {
		b.Fatal(err)
	}
	err = world.Populate(b.Context(), &standworld.Fleet{Groups: []standworld.Group{
		{Count: 1, Role: qf.RoleModelEngine, Entry: "assistant", Version: "v1", AvailabilityZone: "north-a", Class: qf.ClassOnDemand, Slots: 1024},
		{Count: 1, Role: qf.RolePlainService, Entry: "register", Version: "r1", AvailabilityZone: "north-a", Class: qf.ClassOnDemand},
	}})
	if err != nil {
		b.Fatal(err)
	}
	settings := qfsettings.Default()
	settings.Node = qfsettings.NodeSettings{
		ID: "node-1", Region: "north-", AvailabilityZone: "north-a",
		CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort,
	}
	settings.Platform.Table, settings.Platform.Cloud, settings.Platform.VMList = table, cloud, cloud
	settings.Security.Insecure = true
	s := &cluster{endpoints: map[qf.EntryName]netip.AddrPort{}}
	s.node = node.New(settings, node.Connect(settings, timer, network, zerolog.Nop(), 1))
	if err := s.node.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.node.Kill)
	document, _ := qfcatalogue.Parse([]byte(catalogue))
	if v := s.node.Apply(b.Context(), qfcatalogue.Edit{ID: "bench", Operator: "bench", Document: *document}); v.Err != nil {
		b.Fatal(v.Err)
	}
	for len(s.node.Endpoints()) < 2 || !s.node.IsReady() {
		<-timer.After(time.Millisecond).C()
	}
	for _, e := range s.node.Endpoints() {
		s.endpoints[e.Entry] = e.Address
	}
	s.removeEngineDelays(b)
	return s
}

// removeEngineDelays sets the engine's simulated delays to zero, so that only the call
// itself is measured.
func (s *cluster) removeEngineDelays(b *testing.B) {
	body := `{"Slots":1024,"CacheTokens":1000}`
	url := "http://" + s.endpoints["assistant"].String() + "/behaviour"
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusNoContent {
		b.Fatalf("setting the behaviour: response %v, error %v", response, err)
	}
	_ = response.Body.Close()
}

// call is a call that can be sent directly to the endpoint and through the node.
type call struct {
	name, body, directPath, nodePath string
	entry                            qf.EntryName
}

// send sends the call to an address and returns the time to the end of the response.
func (c *call) send(b *testing.B, client *http.Client, address netip.AddrPort, path string) time.Duration {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address.String()+path, strings.NewReader(c.body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set(qfapi.HeaderOrganisation, "parks")
	request.Header.Set(qfendpoint.HeaderAttempt, "direct")
	timer := qftimer.NewWall()
	start := timer.Now()
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	took := timer.Now().Sub(start)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatal(response.Status)
	}
	return took
}

// BenchmarkAddedLatency sends each call directly and through the node in turn, so that
// other load on the machine affects both alike.
func BenchmarkAddedLatency(b *testing.B) {
	chat := `{"model":"assistant","messages":[{"role":"user","content":"girth"}],"max_tokens":1,"stream":true}`
	for _, c := range []call{
		{"Chat1Token", chat, qfapi.PathChatCompletions, qfapi.PathChatCompletions, "assistant"},
		{"PlainCall", "girth", "/lookups", qfapi.PathServices + "register/lookups", "register"},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := newCluster(b)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			direct, through := newHistogram(), newHistogram()
			for b.Loop() {
				_ = direct.RecordValue(int64(c.send(b, client, s.endpoints[c.entry], c.directPath)))
				_ = through.RecordValue(int64(c.send(b, client, s.node.Self().CallerAddress, c.nodePath)))
			}
			for _, q := range []struct {
				name  string
				value float64
			}{{"p50", 50}, {"p99", 99}} {
				d, t := direct.ValueAtQuantile(q.value), through.ValueAtQuantile(q.value)
				b.ReportMetric(float64(d)/1e3, q.name+"-direct-µs")
				b.ReportMetric(float64(t-d)/1e3, q.name+"-added-µs")
				b.ReportMetric(float64(t)/float64(d), q.name+"-ratio")
			}
		})
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(time.Minute), 3)
}
