package qfclient_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standflood"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// TestFloodsAreBounded fails if a node that answers with bytes without end fills a caller's memory.
func TestFloodsAreBounded(t *testing.T) {
	const mostBytes = 24 << 20
	kinds := []struct {
		name string
		send func(ctx context.Context, c *qfclient.Client) error
	}{
		{"call", func(ctx context.Context, c *qfclient.Client) error {
			_, err := c.Do(ctx, qfclient.Call{Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k"})
			return err
		}},
		{"chat", func(ctx context.Context, c *qfclient.Client) error {
			_, err := c.Chat(ctx, qfapi.ChatRequest{Model: "assistant", Messages: []qfapi.ChatMessage{{Role: "user", Content: "x"}}}, nil)
			return err
		}},
	}
	for _, kind := range kinds {
		for _, flood := range standflood.All() {
			t.Run(kind.name+"/"+string(flood), func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				address, closed := qftest.StartFlood(t, flood, qfapi.HeaderRan+": Yes\r\n")
				go func() { // Without it, the client would go on with retries.
					<-closed
					cancel()
				}()
				counter := &qftest.ByteCounter{Most: mostBytes}
				client := qfclient.New(qfclient.Options{
					Seeds: []netip.AddrPort{address}, Organisation: "parks",
					HTTP: &http.Client{Transport: &http.Transport{DialContext: counter.Dial, MaxResponseHeaderBytes: 64 << 10}},
				})
				if err := kind.send(ctx, client); err == nil {
					t.Error("the answer counts")
				}
				counter.Check(t)
			})
		}
	}
}
