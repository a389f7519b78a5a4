// Package benchcontrol measures the slopes from which docs/CAPACITY.md works out
// what control costs a node: bytes of a message's parts, and the memory and
// processor time of what a node knows, each at three sizes.
package benchcontrol

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/coordination/qfroute"
	"quetzalfront/internal/qf/state/qfcatalogue"
)

var start = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)

// heap returns the live heap after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func endpoints(n int) []qf.Endpoint {
	list := make([]qf.Endpoint, n)
	for i := range list {
		id := fmt.Sprintf("vm-%04d", i)
		list[i] = qf.Endpoint{
			ID: qf.EndpointID(id), VM: qf.VMID(id), Incarnation: 1, Kind: qf.KindModelEngine, Entry: "assistant",
			Version: "v1", AvailabilityZone: qf.AvailabilityZone(fmt.Sprintf("zone-%d", i%17)), Class: qf.ClassReclaimable,
		}
	}
	return list
}

// BenchmarkRouterReport measures the memory of a known endpoint and the time of a
// load report.
func BenchmarkRouterReport(b *testing.B) {
	for _, n := range []int{100, 700, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			router := qfroute.NewPredictive(qfroute.DefaultConfig(), rand.New(rand.NewPCG(1, 1)), start)
			list := endpoints(n)
			router.SetEndpoints(list)
			for i := range list {
				router.RecordLoadReport(start, qf.LoadReport{Endpoint: list[i].ID, Sequence: 1, At: start, Running: 4})
			}
			each := float64(heap()-before) / float64(n)
			sequence := uint64(1)
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					sequence++
				}
				at := start.Add(time.Duration(sequence) * time.Second)
				router.RecordLoadReport(at, qf.LoadReport{Endpoint: list[i%n].ID, Sequence: sequence, At: at, Running: i % 9, Queued: i % 3})
			}
			runtime.KeepAlive(router)
			b.ReportMetric(each, "B/endpoint")
		})
	}
}

func encoded(b *testing.B, value any) float64 {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		b.Fatal(err)
	}
	return float64(buffer.Len())
}

// BenchmarkDigestPart measures the bytes of one part of a digest.
func BenchmarkDigestPart(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		digest := map[string]qf.Digest{}
		var uses, sent, departures qf.Digest
		for i := range n {
			id := fmt.Sprintf("vm-%04d", i)
			uses.LimitUses = append(uses.LimitUses, qf.LimitUse{Node: "node-001", Limit: "assistant/organisation-" + id + "/", Demand: 17.25, Used: 16.5, Sequence: 1 << 20})
			sent.SentLoads = append(sent.SentLoads, qf.InFlightLoad{Node: "node-001", Endpoint: qf.EndpointID(id), Running: 3, Tokens: 700, Sequence: 1 << 20})
			departures.Departures = append(departures.Departures, qf.Departure{VM: qf.VMID(id), Incarnation: 3, In: 27 * time.Second})
		}
		digest["LimitUse"], digest["SentLoad"], digest["Departure"] = uses, sent, departures
		for _, name := range []string{"LimitUse", "SentLoad", "Departure"} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				empty := encoded(b, qf.Digest{})
				size := 0.0
				for b.Loop() {
					size = encoded(b, digest[name])
				}
				b.ReportMetric((size-empty)/float64(n), "B/item")
			})
		}
	}
}

// BenchmarkMember measures the memory of a known node.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{6, 60, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			m := qfmember.New(qf.Node{ID: "self", Incarnation: 1, AvailabilityZone: "zone-0"}, qfmember.Timing{
				SuspectAfter: 3 * time.Second, DeadAfter: 8 * time.Second, FullExchangeUpTo: 12,
			})
			for i := range n {
				m.RecordNode(start, node(i, 1))
			}
			each := float64(heap()-before) / float64(n)
			for i := 0; b.Loop(); i++ {
				m.RecordNode(start.Add(time.Duration(i)), node(i%n, uint64(2+i/n)))
			}
			runtime.KeepAlive(m)
			b.ReportMetric(each, "B/member")
		})
	}
}

func node(i int, heartbeat uint64) qf.Node {
	return qf.Node{
		ID: qf.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1, State: qf.NodeLive, Heartbeat: heartbeat,
		AvailabilityZone: qf.AvailabilityZone(fmt.Sprintf("zone-%d", i%17)),
	}
}

// BenchmarkCatalogue measures the size of a catalogue and the time to take it in.
func BenchmarkCatalogue(b *testing.B) {
	for _, n := range []int{2, 20, 200} {
		snapshot := qfcatalogue.Snapshot{Revision: 7}
		for i := range n {
			snapshot.Document.Entries = append(snapshot.Document.Entries, qfcatalogue.Entry{
				Name: qf.EntryName(fmt.Sprintf("entry-%03d", i)), Kind: qf.KindModelEngine, Owner: "owner", Class: qf.ClassInteractive,
				Target: "v1", Versions: []qfcatalogue.Version{{Name: "v1"}},
				Limits: []qfcatalogue.Limit{{Organisation: "a", Concurrency: 9}, {Organisation: "b", Concurrency: 9}},
			})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			encoded, err := snapshot.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := qfcatalogue.Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded))/float64(n), "B/entry")
		})
	}
}
