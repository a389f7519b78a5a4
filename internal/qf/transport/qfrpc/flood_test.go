package qfrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standflood"
)

// TestFloodOfPeerIsBounded fails if a peer that replies with bytes without end fills the memory.
func TestFloodOfPeerIsBounded(t *testing.T) {
	const mostBytes = 40 << 20
	for _, flood := range []standflood.Flood{standflood.Message, standflood.NoResponse, standflood.HeaderField} {
		t.Run(string(flood), func(t *testing.T) {
			address, closed := qftest.StartFlood(t, flood, "")
			counter := &qftest.ByteCounter{Most: mostBytes}
			client := NewClient(qftimer.NewWall(), time.Minute, counter.Dial, nil)
			if _, err := client.ExchangeDigests(t.Context(), address, qf.Digest{}); err == nil {
				t.Error("the reply counts")
			}
			if _, _, err := client.FetchCatalogue(t.Context(), address, 0); err == nil {
				t.Error("the catalogue counts")
			}
			counter.Check(t)
			<-closed // Ends once the connection is closed.
		})
	}
}

// TestFloodToServerIsBounded fails if a client that sends bytes without end isn't disconnected.
func TestFloodToServerIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()  //nolint:errcheck // The test is over.
	go Serve(listener, nil) //nolint:errcheck // It ends with the listener.
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close() //nolint:errcheck // The test is over.
	const most = 64 << 20
	header, line := []byte("\xfc\x7f\xff\xff\xff"), make([]byte, 16<<10)
	if _, err := connection.Write(header); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for ; sent < most; sent += len(line) {
		if _, err = connection.Write(line); err != nil {
			break
		}
	}
	if err == nil {
		t.Errorf("%d bytes of one message were accepted", sent)
	}
}

// TestFrames fails if the lengths of messages are read wrong, so that sound ones are rejected or
// large ones aren't.
func TestFrames(t *testing.T) {
	long := append([]byte{0xfe, 0x01, 0x00}, make([]byte, 256)...)
	tests := []struct {
		name      string
		data      []byte
		isAllowed bool
	}{
		{"empty message", []byte{0, 0}, true},
		{"short message", []byte{3, 1, 2, 3, 1, 9}, true},
		{"long message", append(long, 1, 9), true},
		{"largest message", []byte{0xfc, 0x02, 0x00, 0x00, 0x00, 1}, true},
		{"too large message", []byte{0xfc, 0x02, 0x00, 0x00, 0x01, 1}, false},
		{"too large message after another", append(long, 0xf8, 1, 0, 0, 0, 0, 0, 0, 0), false},
		{"length of too many bytes", []byte{0x80, 1}, false},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.data); size++ {
			c := &boundedConn{}
			var err error
			for at := 0; at < len(tt.data) && err == nil; at += size {
				err = c.follow(tt.data[at:min(at+size, len(tt.data))])
			}
			if (err == nil) != tt.isAllowed {
				t.Errorf("%s, read in parts of %d: %v", tt.name, size, err)
			}
		}
	}
}
