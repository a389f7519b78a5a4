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

// stage is a node and its endpoints in this process, on loopback.
type stage struct {
	node      *node.Node
	endpoints map[qf.EntryName]netip.AddrPort
}

func newStage(b *testing.B) *stage {
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
	s := &stage{endpoints: map[qf.EntryName]netip.AddrPort{}}
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
	s.makeInstant(b)
	return s
}

// makeInstant takes the waiting out of the engine, so that only the exchange
// itself is measured.
func (s *stage) makeInstant(b *testing.B) {
	body := `{"Slots":1024,"CacheTokens":1000}`
	url := "http://" + s.endpoints["assistant"].String() + "/behaviour"
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusNoContent {
		b.Fatalf("%v, %v", response, err)
	}
	_ = response.Body.Close()
}

// exchange is a call that can be made directly and through the node.
type exchange struct {
	name, body, directPath, nodePath string
	entry                            qf.EntryName
}

func (x *exchange) send(b *testing.B, client *http.Client, address netip.AddrPort, path string) time.Duration {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address.String()+path, strings.NewReader(x.body))
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

// BenchmarkAddedLatency makes each call directly and through the node in turn, so
// that both see the same machine.
func BenchmarkAddedLatency(b *testing.B) {
	chat := `{"model":"assistant","messages":[{"role":"user","content":"girth"}],"max_tokens":1,"stream":true}`
	for _, x := range []exchange{
		{"Chat1Token", chat, qfapi.PathChatCompletions, qfapi.PathChatCompletions, "assistant"},
		{"PlainCall", "girth", "/lookups", qfapi.PathServices + "register/lookups", "register"},
	} {
		b.Run(x.name, func(b *testing.B) {
			s := newStage(b)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			direct, through := newHistogram(), newHistogram()
			for b.Loop() {
				_ = direct.RecordValue(int64(x.send(b, client, s.endpoints[x.entry], x.directPath)))
				_ = through.RecordValue(int64(x.send(b, client, s.node.Self().CallerAddress, x.nodePath)))
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
