package contract

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standnet"
)

// callTimeout is the timeout of one call of a client.
const callTimeout = 2 * time.Second

var (
	serverAddress = netip.MustParseAddrPort("10.9.0.1:80")
	clientAddress = netip.MustParseAddr("10.1.0.1")
	// closedAddress has no listener.
	closedAddress = netip.MustParseAddrPort("10.9.0.1:81")
)

// clock follows the synctest bubble: its time advances only while all goroutines of
// the test are blocked.
var clock = qftimer.NewWall()

func sleep(d time.Duration) { <-clock.After(d).C() }

// serve starts an HTTP server on an in-memory network and returns the dial function of
// a client.
func serve(t *testing.T, handler http.Handler) qf.Dial {
	network := standnet.New()
	listener, err := network.From(serverAddress.Addr()).Listen(t.Context(), serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() {
		_ = server.Close()
		network.Close()
	})
	return network.From(clientAddress).Dial
}

// forEachImplementation runs a contract test on each implementation, each in a synctest
// bubble of its own.
func forEachImplementation[I any](t *testing.T, implementations map[string]func(t *testing.T) I, run func(t *testing.T, implementation I)) {
	for name, open := range implementations {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, open(t)) })
		})
	}
}

func wantCode(t *testing.T, err error, want qf.Code) {
	t.Helper()
	if got := qf.CodeOf(err); got != want {
		t.Errorf("code %q (%v), want %q", got, err, want)
	}
}

// wantResult checks the certainty and the error code of a result. An Unknown result
// must have an error, with any code.
func wantResult[T any](t *testing.T, result qf.Result[T], certainty qf.Certainty, code qf.Code) {
	t.Helper()
	wrongCode := qf.CodeOf(result.Err) != code
	if certainty == qf.Unknown {
		wrongCode = result.Err == nil
	}
	if result.Certainty != certainty || wrongCode {
		t.Fatalf("result %s, %v; want %s, %q", result.Certainty, result.Err, certainty, code)
	}
}

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}

func retryAfter(err error) time.Duration {
	var e *qf.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
