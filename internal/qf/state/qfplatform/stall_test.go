package qfplatform_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standnet"
)

// TestAnswersThatArriveAreNotCutOff fails if a call ends while its answer is still arriving, so
// that a large answer never gets through a slow link, or if it waits for one that doesn't arrive.
func TestAnswersThatArriveAreNotCutOff(t *testing.T) {
	const (
		timeout        = 1500 * time.Millisecond
		bytesPerSecond = 100_000
	)
	large := `"` + strings.Repeat("x", 5*bytesPerSecond) + `"`
	tests := []struct {
		name           string
		answer         func(w http.ResponseWriter, clock qf.Clock)
		isComplete     bool
		least, longest time.Duration
	}{
		{"a large answer", func(w http.ResponseWriter, _ qf.Clock) { _, _ = w.Write([]byte(large)) }, true, 4 * time.Second, 7 * time.Second},
		{"no answer", func(_ http.ResponseWriter, clock qf.Clock) { <-clock.After(time.Minute).C() }, false, timeout, timeout + 100*time.Millisecond},
		{"an answer that stops", func(w http.ResponseWriter, clock qf.Clock) {
			_, _ = w.Write([]byte(`"begins`))
			_ = http.NewResponseController(w).Flush() // The test fails if it wasn't sent.
			<-clock.After(time.Minute).C()
		}, false, time.Second, 2200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, network := qftimer.NewWall(), standnet.New()
				service, client := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddr("10.0.0.2")
				network.LimitRate(clock, client, bytesPerSecond)
				listener, err := network.From(service.Addr()).Listen(t.Context(), service)
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tt.answer(w, clock) })}
				go func() { _ = server.Serve(listener) }()
				var value string
				c := qfplatform.NewClient(service, timeout, network.From(client).Dial)
				began := clock.Now()
				err = c.Read(t.Context(), qf.StepTableRead, c.NewRequest().Get("/"), &value)
				took := clock.Now().Sub(began)
				if isComplete := err == nil && value == strings.Trim(large, `"`); isComplete != tt.isComplete || took < tt.least || took > tt.longest {
					t.Errorf("got %d bytes and %v after %v", len(value), err, took)
				}
				network.Close()
				_ = server.Close()
				<-clock.After(2 * time.Minute).C()
			})
		})
	}
}
