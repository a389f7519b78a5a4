package qfrpc

import (
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standflood"
	"quetzalfront/internal/standin/standnet"
)

// TestFloodsOfManyPeersAreBounded fails if the replies of many peers, each below the largest length and without an end, take more
// than half of a node's memory.
func TestFloodsOfManyPeersAreBounded(t *testing.T) {
	const peers, sentBytes, most = 20, 30 << 20, 284 << 20 / 2
	synctest.Test(t, func(t *testing.T) {
		network := standnet.New()
		self := network.From(netip.MustParseAddr("10.1.0.1"))
		client := NewClient(qftimer.NewWall(), time.Minute, self.Dial, nil)
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		before := int64(stats.HeapAlloc)
		var calls sync.WaitGroup
		for i := range peers {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7)
			listener, err := network.From(address.Addr()).Listen(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			go (&standflood.Server{Flood: standflood.LongMessage, Most: sentBytes}).Serve(listener)
			calls.Go(func() {
				if _, err := client.ExchangeDigests(t.Context(), address, qf.Digest{}); err == nil {
					t.Error("the reply counts")
				}
			})
			defer listener.Close() //nolint:errcheck // The test is over.
		}
		synctest.Wait() // The peers have sent what they send.
		runtime.GC()
		runtime.ReadMemStats(&stats)
		if held := int64(stats.HeapAlloc) - before; held > most {
			t.Errorf("%d bytes are held, want at most %d", held, most)
		} else {
			t.Logf("%d bytes are held", held)
		}
		calls.Wait()
		client.Close()
		synctest.Wait()
		if used := client.replies.Used(); used != 0 {
			t.Errorf("%d bytes are reserved for no reply", used)
		}
		network.Close()
	})
}
