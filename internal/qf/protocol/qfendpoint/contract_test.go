package qfendpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standservice"
	"quetzalfront/pkg/qfapi"
)

// recorder records the headers of the requests that arrive.
type recorder struct {
	http.Handler
	mu      sync.Mutex
	headers []http.Header
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	r.headers = append(r.headers, request.Header.Clone())
	r.mu.Unlock()
	r.Handler.ServeHTTP(w, request)
}

func (r *recorder) arrived() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]http.Header(nil), r.headers...)
}

// open serves a handler on loopback and returns it as an endpoint.
func open(t *testing.T, handler http.Handler) (qf.Endpoint, *recorder) {
	r := &recorder{Handler: handler}
	server := httptest.NewServer(r)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return qf.Endpoint{ID: "e", Address: address}, r
}

// closed returns an endpoint at which no process listens.
func closed() qf.Endpoint {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return qf.Endpoint{ID: "e", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
}

func client(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

var question = []qf.Message{{Role: "user", Content: "Which tree?"}}

const answerTokens = 8

// TestModelEngine guards against a client or a simulated engine that breaks the contract of
// model engines.
func TestModelEngine(t *testing.T) {
	testModelEngine(t, func(t *testing.T) qf.EngineClient { return qfendpoint.NewEngine(client(t)) },
		func(t *testing.T, b standengine.Behaviour, leaves bool) (qf.Endpoint, *recorder) {
			engine := standengine.New(qftimer.NewWall(), qf.Endpoint{ID: "e"}, b, nil)
			if leaves {
				engine.Leave()
			}
			return open(t, engine.Handler())
		})
}

// testModelEngine tests the contract of model engines: what a node may conclude from each
// way in which an attempt ends.
func testModelEngine(t *testing.T, adapter func(*testing.T) qf.EngineClient, serve func(*testing.T, standengine.Behaviour, bool) (qf.Endpoint, *recorder)) {
	fast := func(change func(b *standengine.Behaviour)) standengine.Behaviour {
		b := standengine.DefaultBehaviour()
		b.TokenInterval, b.PrefillPerToken = 0, 0
		change(&b)
		return b
	}
	tests := []struct {
		name      string
		behaviour standengine.Behaviour
		leaves    bool
		resume    int
		// ran is Ran of the error of StartGeneration or Next; it is empty if there is
		// none.
		ran qf.Ran
		// chunks is the number of correct chunks, in order and with the right echo.
		chunks int
		ends   bool
	}{
		{"whole", fast(func(*standengine.Behaviour) {}), false, 0, "", answerTokens, true},
		{"resumed", fast(func(*standengine.Behaviour) {}), false, 3, "", answerTokens - 3, true},
		{"resumed at the end", fast(func(*standengine.Behaviour) {}), false, answerTokens, "", 0, true},
		{"refused", fast(func(*standengine.Behaviour) {}), true, 0, qf.RanNo, 0, false},
		{"failed", fast(func(b *standengine.Behaviour) { b.FailEvery = 1 }), false, 0, qf.RanUnknown, 0, false},
		{"cut", fast(func(b *standengine.Behaviour) { b.CutEvery = 1 }), false, 0, "", answerTokens / 2, false},
		{"crossed", fast(func(b *standengine.Behaviour) { b.CrossEvery = 1 }), false, 0, "", 0, false},
		{"a gap", fast(func(b *standengine.Behaviour) { b.GapEvery = 1 }), false, 0, "", answerTokens / 2, false},
		{"silent", fast(func(b *standengine.Behaviour) { b.SilentAfter = 2 }), false, 0, qf.RanUnknown, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			endpoint, arrived := serve(t, test.behaviour, test.leaves)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reference := standengine.ExpectedTokens(question, answerTokens)
			stream, err := adapter(t).StartGeneration(ctx, endpoint, qf.GenerateRequest{
				Attempt: "a", Messages: question, MaxTokens: answerTokens,
				ResumeText: strings.Join(reference[:test.resume], ""), ResumeTokens: test.resume,
				AttemptOptions: qf.AttemptOptions{TimeLeft: 3 * time.Second},
			})
			chunks, ended := 0, false
			if err == nil {
				chunks, ended, err = readChunks(ctx, cancel, stream, reference, test.resume, test.chunks)
			}
			if chunks != test.chunks || ended != test.ends {
				t.Errorf("%d correct chunks, end mark %v; want %d and %v", chunks, ended, test.chunks, test.ends)
			}
			if test.ran != "" && (err == nil || qf.RanOf(err) != test.ran) {
				t.Errorf("got %v, want Ran %s", err, test.ran)
			}
			if got := arrived.arrived(); len(got) != 1 || got[0].Get(qfapi.HeaderTimeout) != "3s" {
				t.Errorf("%d calls arrived; the first has the time %q", len(got), got[0].Get(qfapi.HeaderTimeout))
			}
		})
	}
	t.Run("no connection", func(t *testing.T) {
		_, err := adapter(t).StartGeneration(t.Context(), closed(), qf.GenerateRequest{Attempt: "a", Messages: question, MaxTokens: 1})
		if qf.RanOf(err) != qf.RanNo || !qfendpoint.IsRefused(err) {
			t.Errorf("got %v", err)
		}
	})
}

// readChunks counts the correct chunks up to the first incorrect one. After those that are
// expected of a silent stream it cancels the attempt.
func readChunks(ctx context.Context, cancel context.CancelFunc, stream qf.ChunkStream, reference []string, offset, expected int) (chunks int, ended bool, err error) {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next(ctx)
		switch {
		case errors.Is(err, io.EOF):
			return chunks, false, nil
		case err != nil:
			return chunks, false, err
		case chunk.Attempt != "a" || chunk.Offset != offset+chunks:
			return chunks, false, nil
		case chunk.End:
			return chunks, true, nil
		case chunk.Text != reference[chunk.Offset]:
			return chunks, false, errors.New("a wrong text: " + chunk.Text)
		}
		chunks++
		if chunks == expected && expected == 2 {
			cancel()
		}
	}
}

// TestPlainService guards against a client or a simulated service that breaks the contract
// of plain services.
func TestPlainService(t *testing.T) {
	testPlainService(t, func(t *testing.T) qf.ServiceClient { return qfendpoint.NewService(client(t)) },
		func(t *testing.T, clock qf.Clock, b standservice.Behaviour, journal *standservice.ExecutionLog) (qf.Endpoint, *recorder) {
			return open(t, standservice.New(clock, qf.Endpoint{ID: "e"}, b, journal).Handler())
		})
}

// testPlainService tests the contract of plain services: what a node may conclude from a
// call and from a status query after it. Each tested call is the second on its connection,
// because net/http retries some requests on a reused connection.
func testPlainService(t *testing.T, adapter func(*testing.T) qf.ServiceClient, serve func(*testing.T, qf.Clock, standservice.Behaviour, *standservice.ExecutionLog) (qf.Endpoint, *recorder)) {
	tests := []struct {
		name         string
		behaviour    standservice.Behaviour
		call, status qf.Certainty
		executions   int
		// get sends a GET without a body in place of a POST.
		get bool
	}{
		{"answered", standservice.Behaviour{}, qf.Done, qf.Done, 2, false},
		{"refused", standservice.Behaviour{RefuseEvery: 2}, qf.NotDone, qf.NotDone, 1, false},
		{"broken before it ran", standservice.Behaviour{BreakBefore: 2}, qf.Unknown, qf.NotDone, 1, false},
		{"a GET, broken before it ran", standservice.Behaviour{BreakBefore: 2}, qf.Unknown, qf.NotDone, 1, true},
		{"broken after it ran", standservice.Behaviour{BreakAfter: 2}, qf.Unknown, qf.Done, 2, false},
		{"crossed", standservice.Behaviour{CrossEvery: 2}, qf.Unknown, qf.Done, 2, false},
		{"broken, no status", standservice.Behaviour{BreakAfter: 2, NoStatus: true}, qf.Unknown, qf.Unknown, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			journal := &standservice.ExecutionLog{}
			endpoint, arrived := serve(t, qftimer.NewWall(), test.behaviour, journal)
			service := adapter(t)
			call := qf.ServiceCall{Attempt: "first", Method: "POST", Path: "/permits", Body: []byte("filing"), AttemptOptions: qf.AttemptOptions{TimeLeft: time.Second}}
			if test.get {
				call.Method, call.Body = http.MethodGet, nil
			}
			if first := service.CallService(t.Context(), endpoint, call); first.Certainty != qf.Done {
				t.Fatal(first.Err)
			}
			call.Attempt = "second"
			result := service.CallService(t.Context(), endpoint, call)
			if result.Certainty != test.call || (result.Err == nil) != (test.call == qf.Done) {
				t.Errorf("the call: %s, %v", result.Certainty, result.Err)
			}
			if n := len(arrived.arrived()); n != 2 {
				t.Errorf("%d calls arrived", n)
			}
			status := service.FetchStatus(t.Context(), endpoint, "second")
			if status.Certainty != test.status {
				t.Errorf("the status: %s, %v", status.Certainty, status.Err)
			}
			if status.Certainty == qf.Done && (status.Value.Attempt != "second" || !strings.HasPrefix(string(status.Value.Body), standservice.ExpectedPrefix("POST", "/permits", "filing"))) {
				t.Errorf("the status has %+v", status.Value)
			}
			if n := len(journal.Executions()); n != test.executions {
				t.Errorf("%d calls ran", n)
			}
			for _, h := range arrived.arrived()[:2] {
				if h.Get("Idempotency-Key") != "" || h.Get(qfapi.HeaderTimeout) != "1s" {
					t.Errorf("headers %v", h)
				}
			}
		})
	}
	t.Run("a status bars an attempt that hasn't arrived", func(t *testing.T) {
		journal := &standservice.ExecutionLog{}
		endpoint, _ := serve(t, qftimer.NewWall(), standservice.Behaviour{}, journal)
		service := adapter(t)
		if status := service.FetchStatus(t.Context(), endpoint, "a"); status.Certainty != qf.NotDone {
			t.Errorf("the status: %s", status.Certainty)
		}
		late := service.CallService(t.Context(), endpoint, qf.ServiceCall{Attempt: "a", Method: "POST", Path: "/permits"})
		if late.Certainty != qf.NotDone || len(journal.Executions()) != 0 {
			t.Errorf("the late call: %s, %d ran", late.Certainty, len(journal.Executions()))
		}
	})
	t.Run("still running", func(t *testing.T) {
		clock := qftimer.NewVirtual(time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC))
		endpoint, _ := serve(t, clock, standservice.Behaviour{Takes: time.Hour}, &standservice.ExecutionLog{})
		service := adapter(t)
		answered := make(chan qf.Result[qf.ServiceResponse], 1)
		go func() {
			answered <- service.CallService(t.Context(), endpoint, qf.ServiceCall{Attempt: "a", Method: "POST", Path: "/permits"})
		}()
		for running := 0; running == 0; {
			report, err := service.FetchLoad(t.Context(), endpoint)
			if err != nil {
				t.Fatal(err)
			}
			running = report.Running
		}
		if status := service.FetchStatus(t.Context(), endpoint, "a"); status.Certainty != qf.Unknown || qf.CodeOf(status.Err) != qf.CodeStillRunning {
			t.Errorf("the status: %s, %v", status.Certainty, status.Err)
		}
		for len(answered) == 0 { // The call may subscribe to the clock only after an advance.
			clock.Advance(time.Hour)
		}
		if result := <-answered; result.Certainty != qf.Done {
			t.Errorf("the call: %s, %v", result.Certainty, result.Err)
		}
	})
	t.Run("no connection", func(t *testing.T) {
		gone := closed()
		if call := adapter(t).CallService(t.Context(), gone, qf.ServiceCall{Attempt: "a", Method: "POST", Path: "/"}); call.Certainty != qf.NotDone {
			t.Errorf("the call: %s", call.Certainty)
		}
		if status := adapter(t).FetchStatus(t.Context(), gone, "a"); status.Certainty != qf.Unknown {
			t.Errorf("the status: %s", status.Certainty)
		}
	})
}
