// Package benchcontrol measures what the control plane costs a node: the encoded size of
// message parts, and the memory and processor time for each endpoint, node and entry, at
// three sizes each. docs/CAPACITY.md extrapolates from these figures.
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

// liveHeap returns the size of the live heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newEndpoints returns n endpoints, spread over 17 zones.
func newEndpoints(n int) []qf.Endpoint {
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

// BenchmarkRouterReport measures the router's memory for each endpoint and the time to
// record a load report.
func BenchmarkRouterReport(b *testing.B) {
	for _, n := range []int{100, 700, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := liveHeap()
			router := qfroute.NewPredictive(qfroute.DefaultConfig(), rand.New(rand.NewPCG(1, 1)), start)
			list := newEndpoints(n)
			router.SetEndpoints(list)
			for i := range list {
				router.RecordLoadReport(start, qf.LoadReport{Endpoint: list[i].ID, Sequence: 1, At: start, Running: 4})
			}
			bytesEach := float64(liveHeap()-before) / float64(n)
			sequence := uint64(1)
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					sequence++
				}
				at := start.Add(time.Duration(sequence) * time.Second)
				router.RecordLoadReport(at, qf.LoadReport{Endpoint: list[i%n].ID, Sequence: sequence, At: at, Running: i % 9, Queued: i % 3})
			}
			runtime.KeepAlive(router)
			b.ReportMetric(bytesEach, "B/endpoint")
		})
	}
}

// encodedSize returns the size of a value in the encoding of peer messages.
func encodedSize(b *testing.B, value any) float64 {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		b.Fatal(err)
	}
	return float64(buffer.Len())
}

// BenchmarkDigestPart measures the encoded size of one item of a digest.
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
				empty := encodedSize(b, qf.Digest{})
				size := 0.0
				for b.Loop() {
					size = encodedSize(b, digest[name])
				}
				b.ReportMetric((size-empty)/float64(n), "B/item")
			})
		}
	}
}

// BenchmarkMember measures the membership's memory for each node and the time to record a
// heartbeat.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{6, 60, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := liveHeap()
			m := qfmember.New(qf.Node{ID: "self", Incarnation: 1, AvailabilityZone: "zone-0"}, qfmember.Timing{
				SuspectAfter: 3 * time.Second, DeadAfter: 8 * time.Second, FullExchangeUpTo: 12,
			})
			for i := range n {
				m.RecordNode(start, newNode(i, 1))
			}
			bytesEach := float64(liveHeap()-before) / float64(n)
			for i := 0; b.Loop(); i++ {
				m.RecordNode(start.Add(time.Duration(i)), newNode(i%n, uint64(2+i/n)))
			}
			runtime.KeepAlive(m)
			b.ReportMetric(bytesEach, "B/member")
		})
	}
}

// newNode returns the node of number i with the given heartbeat.
func newNode(i int, heartbeat uint64) qf.Node {
	return qf.Node{
		ID: qf.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1, State: qf.NodeLive, Heartbeat: heartbeat,
		AvailabilityZone: qf.AvailabilityZone(fmt.Sprintf("zone-%d", i%17)),
	}
}

// BenchmarkCatalogue measures the encoded size of a catalogue for each entry and the time
// to decode it.
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
