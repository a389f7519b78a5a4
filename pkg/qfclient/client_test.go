package qfclient_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// callerTimeout bounds a test case, in virtual time.
const callerTimeout = time.Minute

// answerFunc responds to one attempt of a request.
type answerFunc func(w http.ResponseWriter)

// abort breaks the connection without a response.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// refuseWith responds with an error that states that the request didn't run.
func refuseWith(code qf.Code) answerFunc {
	return func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"Error":{"Code":%q,"Reason":"no","Ran":"No","RetryAfter":"1s"}}`, code)
	}
}

// serveAnswer responds with a service's answer.
func serveAnswer(w http.ResponseWriter) {
	w.Header().Set(qfapi.HeaderRan, string(qf.RanYes))
	fmt.Fprint(w, "filed")
}

// streamOneToken streams the first token and aborts the connection.
func streamOneToken(w http.ResponseWriter) {
	fmt.Fprintf(w, "id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n", qfapi.EventIDOf([]string{"a "}), w.Header().Get("X-Id"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// streamEndMark ends the answer that streamOneToken began.
func streamEndMark(w http.ResponseWriter) {
	fmt.Fprintf(w, "id: %s\ndata: [DONE]\n\n", qfapi.EventIDOf([]string{"a "}))
}

// withNode runs use with a client of a node that responds to the attempts with the
// steps in turn; the last step is repeated.
func withNode(t *testing.T, steps []answerFunc, use func(ctx context.Context, c *qfclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standnet.New()
		defer network.Close()
		address := netip.MustParseAddrPort("10.0.0.1:7001")
		link := network.From(address.Addr())
		listener, err := link.Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		var attempts atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, qfapi.PathNodes) {
				http.Error(w, "ask the seeds", http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("X-Id", r.Header.Get(qfapi.HeaderRequestID))
			steps[min(int(attempts.Add(1)), len(steps))-1](w)
		}))
		server.Listener = listener
		server.Start()
		defer server.Close()
		ctx, stop := context.WithTimeout(t.Context(), callerTimeout)
		defer stop()
		use(ctx, qfclient.New(qfclient.Options{
			Seeds: []netip.AddrPort{address}, Organisation: "parks",
			HTTP: &http.Client{Transport: &http.Transport{DialContext: link.Dial, DisableKeepAlives: true}},
		}))
	})
}

// TestCallReportsRanOfAllAttempts guards against a call that is reported as not run
// although an earlier attempt may have run.
func TestCallReportsRanOfAllAttempts(t *testing.T) {
	tests := []struct {
		name  string
		steps []answerFunc
		want  qf.Ran
	}{
		{"refused", []answerFunc{refuseWith(qf.CodeLimited)}, qf.RanNo},
		{"aborted, then refused", []answerFunc{abort, refuseWith(qf.CodeLimited)}, qf.RanUnknown},
		{"refused while stopping, then refused", []answerFunc{refuseWith(qf.CodeLeaving), refuseWith(qf.CodeLimited)}, qf.RanNo},
		{"aborted, refused while stopping, then refused", []answerFunc{abort, refuseWith(qf.CodeLeaving), refuseWith(qf.CodeLimited)}, qf.RanUnknown},
		{"aborted, then answered", []answerFunc{abort, serveAnswer}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withNode(t, tt.steps, func(ctx context.Context, c *qfclient.Client) {
				_, err := c.Do(ctx, qfclient.Call{Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k"})
				if tt.want == "" && err == nil {
					return
				}
				if err == nil || qf.RanOf(err) != tt.want {
					t.Errorf("got error %v with Ran %s, want Ran %s", err, qf.RanOf(err), tt.want)
				}
			})
		})
	}
}

// TestAcceptedChatIsRetried guards against a chat that ends with an error because a
// node lacks capacity, although another node had begun to answer it.
func TestAcceptedChatIsRetried(t *testing.T) {
	tests := []struct {
		name  string
		steps []answerFunc
		want  string
	}{
		{"refused at first", []answerFunc{refuseWith(qf.CodeOverloaded)}, ""},
		{"one token streamed, refused twice, finished", []answerFunc{streamOneToken, refuseWith(qf.CodeOverloaded), refuseWith(qf.CodeLimited), streamEndMark}, "a "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withNode(t, tt.steps, func(ctx context.Context, c *qfclient.Client) {
				answer, err := c.Chat(ctx, qfapi.ChatRequest{Model: "assistant", Messages: []qfapi.ChatMessage{{Role: "user", Content: "x"}}}, nil)
				if (err == nil) != (tt.want != "") || answer.Text != tt.want {
					t.Errorf("got answer %q and error %v, want answer %q", answer.Text, err, tt.want)
				}
			})
		})
	}
}
