package qfmember

import (
	"encoding/gob"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// countingWriter counts what a gob encoder sends.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// BenchmarkExchange reports what one node sends per second if it exchanges its full view
// with every other node every 500 ms.
func BenchmarkExchange(b *testing.B) {
	const exchangesPerSecond = 2
	for _, members := range []int{6, 60, 640} {
		b.Run(fmt.Sprintf("Members=%d", members), func(b *testing.B) {
			m := newMembership()
			for i := range members - 1 {
				n := node(fmt.Sprintf("lahore-node-%03d", i), start)
				n.Region, n.AvailabilityZone = "lahore-north", "lahore-north-a"
				n.CallerAddress = netip.MustParseAddrPort("10.1.2.3:7080")
				n.PeerAddress = netip.MustParseAddrPort("10.1.2.3:7081")
				n.Heartbeat, n.CatalogueRevision, n.Load = 100000, 4100, 440
				m.RecordNode(start, n)
			}
			w := &countingWriter{}
			encoder := gob.NewEncoder(w)
			send := func() {
				digest := qf.Digest{From: m.Self(), Nodes: m.Peers(start.Add(time.Second)), Departures: m.Departures(start)}
				if err := encoder.Encode(digest); err != nil {
					b.Fatal(err)
				}
			}
			send() // The types are described once for each connection.
			w.bytes = 0
			sent := 0
			for b.Loop() {
				send()
				sent++
			}
			// A node sends a question and an answer for each peer and interval.
			messages := 2 * exchangesPerSecond * (members - 1)
			b.ReportMetric(float64(messages), "messages/s")
			b.ReportMetric(float64(w.bytes)/float64(sent)*float64(messages), "bytes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
