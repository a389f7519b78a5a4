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

// callerWaits is virtual time.
const callerWaits = time.Minute

// answerFunc answers one sending.
type answerFunc func(w http.ResponseWriter)

func cut(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func refuse(code qf.Code) answerFunc {
	return func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"Error":{"Code":%q,"Reason":"no","Ran":"No","RetryAfter":"1s"}}`, code)
	}
}

func serve(w http.ResponseWriter) {
	w.Header().Set(qfapi.HeaderRan, string(qf.RanYes))
	fmt.Fprint(w, "filed")
}

// begin streams one token and breaks off; finish goes on to the end mark.
func begin(w http.ResponseWriter) {
	fmt.Fprintf(w, "id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n", qfapi.EventIDOf([]string{"a "}), w.Header().Get("X-Id"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func finish(w http.ResponseWriter) {
	fmt.Fprintf(w, "id: %s\ndata: [DONE]\n\n", qfapi.EventIDOf([]string{"a "}))
}

// withNode runs a client against a node that answers each sending in turn.
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
		var sent atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, qfapi.PathNodes) {
				http.Error(w, "ask the seeds", http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("X-Id", r.Header.Get(qfapi.HeaderRequestID))
			steps[min(int(sent.Add(1)), len(steps))-1](w)
		}))
		server.Listener = listener
		server.Start()
		defer server.Close()
		ctx, stop := context.WithTimeout(t.Context(), callerWaits)
		defer stop()
		use(ctx, qfclient.New(qfclient.Options{
			Seeds: []netip.AddrPort{address}, Organisation: "parks",
			HTTP: &http.Client{Transport: &http.Transport{DialContext: link.Dial, DisableKeepAlives: true}},
		}))
	})
}

// TestCallSaysWhatIsKnown guards that "not run" is said of a call only if no sending
// of it may have run.
func TestCallSaysWhatIsKnown(t *testing.T) {
	tests := []struct {
		name  string
		steps []answerFunc
		want  qf.Ran
	}{
		{"refused", []answerFunc{refuse(qf.CodeLimited)}, qf.RanNo},
		{"cut, then refused", []answerFunc{cut, refuse(qf.CodeLimited)}, qf.RanUnknown},
		{"refused while stopping, then refused", []answerFunc{refuse(qf.CodeLeaving), refuse(qf.CodeLimited)}, qf.RanNo},
		{"cut, stopping, then refused", []answerFunc{cut, refuse(qf.CodeLeaving), refuse(qf.CodeLimited)}, qf.RanUnknown},
		{"cut, then answered", []answerFunc{cut, serve}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withNode(t, tt.steps, func(ctx context.Context, c *qfclient.Client) {
				_, err := c.Do(ctx, qfclient.Call{Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k"})
				if tt.want == "" && err == nil {
					return
				}
				if err == nil || qf.RanOf(err) != tt.want {
					t.Errorf("got %v with Ran %s, want %s", err, qf.RanOf(err), tt.want)
				}
			})
		})
	}
}

// TestAcceptedChatGoesOn guards that a chat which a node had begun to answer isn't
// given up because another node has no room at present.
func TestAcceptedChatGoesOn(t *testing.T) {
	tests := []struct {
		name  string
		steps []answerFunc
		want  string
	}{
		{"refused at first", []answerFunc{refuse(qf.CodeOverloaded)}, ""},
		{"begun, refused twice, finished", []answerFunc{begin, refuse(qf.CodeOverloaded), refuse(qf.CodeLimited), finish}, "a "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withNode(t, tt.steps, func(ctx context.Context, c *qfclient.Client) {
				answer, err := c.Chat(ctx, qfapi.ChatRequest{Model: "assistant", Messages: []qfapi.ChatMessage{{Role: "user", Content: "x"}}}, nil)
				if (err == nil) != (tt.want != "") || answer.Text != tt.want {
					t.Errorf("got %q and %v, want %q", answer.Text, err, tt.want)
				}
			})
		})
	}
}
