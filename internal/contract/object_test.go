package contract

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfobject"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standobject"
)

// objects is one implementation of the object store, with its fault injection.
type objects struct {
	qf.ObjectStore
	setFaults func(standfault.Faults)
}

var objectStores = map[string]func(t *testing.T) objects{
	"stand-in": func(*testing.T) objects {
		stand := standobject.New(qftimer.NewWall())
		return objects{stand, stand.SetFaults}
	},
	"adapter": func(t *testing.T) objects {
		stand := standobject.New(qftimer.NewWall())
		return objects{qfobject.NewClient(serverAddress, callTimeout, serve(t, stand.Handler())), stand.SetFaults}
	},
}

func (o *objects) mustPut(t *testing.T, key string, version uint64, body string) {
	t.Helper()
	result := o.Put(t.Context(), key, version, []byte(body))
	wantResult(t, result, qf.Done, "")
	if result.Value != version+1 {
		t.Errorf("version %d after version %d", result.Value, version)
	}
}

// body returns the body of an object, or "" if the object does not exist.
func (o *objects) body(t *testing.T, key string) string {
	t.Helper()
	object, err := o.Get(t.Context(), key)
	if err != nil {
		wantCode(t, err, qf.CodeNotFound)
	}
	return string(object.Body)
}

func TestObjectPreconditions(t *testing.T) {
	tests := []struct {
		name, key string
		version   uint64
		certainty qf.Certainty
		code      qf.Code
	}{
		{"new", "new", 0, qf.Done, ""},
		{"replaced", "old", 2, qf.Done, ""},
		{"an older version", "old", 1, qf.NotDone, qf.CodeConflict},
		{"a newer version", "old", 3, qf.NotDone, qf.CodeConflict},
		{"exists already", "old", 0, qf.NotDone, qf.CodeConflict},
		{"does not exist", "new", 1, qf.NotDone, qf.CodeConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, objectStores, func(t *testing.T, o objects) {
				o.mustPut(t, "old", 0, "1")
				o.mustPut(t, "old", 1, "2")
				before := o.body(t, test.key)
				result := o.Put(t.Context(), test.key, test.version, []byte("tested"))
				wantResult(t, result, test.certainty, test.code)
				want := before
				if test.certainty == qf.Done {
					want = "tested"
				}
				if got := o.body(t, test.key); got != want {
					t.Errorf("body %q, want %q", got, want)
				}
			})
		})
	}
}

func TestObjectBodiesAndKeys(t *testing.T) {
	forEachImplementation(t, objectStores, func(t *testing.T, o objects) {
		keys := []string{"a/../b", "a//b", "a/c d", "b?x=1&y"}
		large := bytes.Repeat([]byte{0, 0xff, '\n'}, 100_000)
		for _, key := range keys {
			wantResult(t, o.Put(t.Context(), key, 0, large), qf.Done, "")
			object, err := o.Get(t.Context(), key)
			if err != nil || object.Key != key || object.Version != 1 || !bytes.Equal(object.Body, large) {
				t.Errorf("object %q version %d with %d bytes, %v", object.Key, object.Version, len(object.Body), err)
			}
		}
		o.mustPut(t, "empty", 0, "")
		if object, err := o.Get(t.Context(), "empty"); err != nil || len(object.Body) != 0 {
			t.Errorf("%q, %v", object.Body, err)
		}
		got, err := o.List(t.Context(), "a/")
		if err != nil || !slices.Equal(got, keys[:3]) {
			t.Errorf("keys %q, %v", got, err)
		}
		tooLarge := make([]byte, qfobject.MaxObjectBytes+1)
		wantResult(t, o.Put(t.Context(), "large", 0, tooLarge), qf.NotDone, qf.CodeTooLarge)
	})
}

func TestObjectFaults(t *testing.T) {
	const lateBy = 10 * time.Second
	tests := []struct {
		name      string
		faults    standfault.Faults
		certainty qf.Certainty
		code      qf.Code
		effect    effect
		readCode  qf.Code
	}{
		{"none", standfault.Faults{}, qf.Done, "", effectImmediate, ""},
		{"slow but within the timeout", standfault.Faults{Delay: callTimeout / 2}, qf.Done, "", effectImmediate, ""},
		{"down", standfault.Faults{Down: true}, qf.NotDone, qf.CodeUnavailable, effectNever, qf.CodeUnavailable},
		{"response lost after the write", standfault.Faults{LoseAnswers: 1}, qf.Unknown, "", effectImmediate, ""},
		{"write takes effect late", standfault.Faults{ApplyLate: 1, LateBy: lateBy}, qf.Unknown, "", effectLate, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, objectStores, func(t *testing.T, o objects) {
				o.mustPut(t, "before", 0, "x")
				o.setFaults(test.faults)
				wantResult(t, o.Put(t.Context(), "key", 0, []byte("tested")), test.certainty, test.code)
				_, err := o.Get(t.Context(), "before")
				wantCode(t, err, test.readCode)
				_, err = o.List(t.Context(), "")
				wantCode(t, err, test.readCode)
				o.setFaults(standfault.Faults{})
				if visible := o.body(t, "key") != ""; visible != (test.effect == effectImmediate) {
					t.Errorf("the write is visible immediately: %t, want effect %s", visible, test.effect)
				}
				sleep(lateBy)
				if visible := o.body(t, "key") != ""; visible != (test.effect != effectNever) {
					t.Errorf("the write is visible after the delay: %t, want effect %s", visible, test.effect)
				}
			})
		})
	}
}

func TestObjectRateLimit(t *testing.T) {
	forEachImplementation(t, objectStores, func(t *testing.T, o objects) {
		var last qf.Result[uint64]
		for range standobject.WritesPerSecond + 1 {
			last = o.Put(t.Context(), "key", 0, nil)
		}
		wantResult(t, last, qf.NotDone, qf.CodeLimited)
		if retryAfter(last.Err) <= 0 {
			t.Error("a rate limit error has no retry delay")
		}
	})
}

// TestObjectHandlerRequiresPrecondition sends requests that the client never sends. A
// write accepted without a precondition would overwrite concurrent writes.
func TestObjectHandlerRequiresPrecondition(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		want   int
	}{
		{"none", nil, http.StatusPreconditionRequired},
		{"both", http.Header{"If-Match": {`"1"`}, "If-None-Match": {"*"}}, http.StatusPreconditionRequired},
		{"a weak tag", http.Header{"If-Match": {`W/"1"`}}, http.StatusPreconditionRequired},
		{"absence", http.Header{"If-None-Match": {"*"}}, http.StatusNoContent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := serve(t, standobject.New(qftimer.NewWall()).Handler())
				transport := &http.Transport{DialContext: dial}
				defer transport.CloseIdleConnections()
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPut,
					"http://"+serverAddress.String()+qfobject.PathObject+"?key=k", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				for name, values := range test.header {
					request.Header[name] = values
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if response.StatusCode != test.want {
					t.Errorf("status %d, want %d", response.StatusCode, test.want)
				}
			})
		})
	}
}
