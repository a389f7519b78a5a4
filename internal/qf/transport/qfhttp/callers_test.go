package qfhttp_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/pkg/qfapi"
)

// refusingService is a node with a catalogue that refuses every valid request.
type refusingService struct {
	accepted *qf.Request
}

var testDocument = qfcatalogue.Document{Entries: []qfcatalogue.Entry{
	{Name: "assistant", Kind: qf.KindModelEngine, Class: qf.ClassInteractive, Deadline: qfdocument.Duration(time.Minute)},
	{
		Name: "register", Kind: qf.KindPlainService, Class: qf.ClassCritical, Deadline: qfdocument.Duration(time.Minute),
		OnceOnly: []qfcatalogue.OnceOnlyCall{{Method: http.MethodPost, Path: "/permits"}},
	},
}}

func (s *refusingService) Entry(name qf.EntryName) *qfcatalogue.Entry {
	return testDocument.Entry(name)
}

func (s *refusingService) Accept(_ context.Context, request *qf.Request) (*qfrequest.Record, error) {
	s.accepted = request
	return nil, &qf.Error{Code: qf.CodeLeaving, Step: qf.StepAccept, Reason: "valid", Ran: qf.RanNo, RetryAfter: 1500 * time.Millisecond}
}

func (s *refusingService) Find(_ context.Context, _ qf.RequestID) (*qfrequest.Record, error) {
	return nil, qf.NewError(qf.CodeNotFound, qf.StepResume, "", "the request isn't known here")
}

func (s *refusingService) Addresses(qf.Region) []qf.Node { return nil }

func (s *refusingService) Now() time.Time { return time.Unix(1_000_000, 0) }

var testBounds = qfhttp.Bounds{
	MaxBodyBytes: 1024, MaxTokens: 100, MaxReaders: 2, DefaultTimeout: time.Minute, MaxTimeout: time.Hour, KeepAddressesFor: time.Second,
}

const goodChat = `{"model":"assistant","messages":[{"role":"user","content":"girth"}],"max_tokens":5}`

// call describes one HTTP request of a caller.
type call struct {
	method, path, body string
	header             map[string]string
}

func (c call) withBody(body string) call {
	c.body = body
	return c
}

func (c call) withHeader(name, value string) call {
	header := map[string]string{name: value}
	for n, v := range c.header {
		if n != name {
			header[n] = v
		}
	}
	c.header = header
	return c
}

var (
	organisation = map[string]string{qfapi.HeaderOrganisation: "parks"}
	chat         = call{http.MethodPost, qfapi.PathChatCompletions, goodChat, organisation}
	permit       = call{http.MethodPost, qfapi.PathServices + "register/permits", "shisham", organisation}
	resume       = call{http.MethodGet, qfapi.PathRequests + "request-1", "", organisation}
)

// TestInvalidInputIsRefusedWithATypedError fails if invalid input reaches the node, or if the
// error doesn't name the field and whether anything may have run.
func TestInvalidInputIsRefusedWithATypedError(t *testing.T) {
	long := strings.Repeat("x", 201)
	const notRun = string(qf.RanNo)
	tests := []struct {
		name   string
		call   call
		status int
		// code, field, reason and ran are the error's; reason is a substring.
		code               qf.Code
		field, reason, ran string
	}{
		{"a valid chat", chat, 503, qf.CodeLeaving, "", "valid", notRun},
		{"a valid call", permit.withHeader(qfapi.HeaderIdempotencyKey, "key-1"), 503, qf.CodeLeaving, "", "valid", notRun},
		{"unknown path", call{http.MethodGet, "/v2/nodes", "", nil}, 404, qf.CodeNotFound, "", "no such path: /v2/nodes", notRun},
		{"unknown entry", chat.withBody(strings.Replace(goodChat, "assistant", "oracle", 1)), 404, qf.CodeUnknownEntry, "model", `no entry "oracle" of kind ModelEngine`, notRun},
		{"entry of another kind", chat.withBody(strings.Replace(goodChat, "assistant", "register", 1)), 404, qf.CodeUnknownEntry, "model", `no entry "register"`, notRun},
		{"unknown service", call{http.MethodGet, qfapi.PathServices + "oracle/x", "", organisation}, 404, qf.CodeUnknownEntry, "entry", `no entry "oracle" of kind PlainService`, notRun},
		{"malformed JSON", chat.withBody(goodChat[:20]), 400, qf.CodeInvalid, "body", "malformed JSON", notRun},
		{"no body", chat.withBody(""), 400, qf.CodeInvalid, "body", "malformed JSON", notRun},
		{"wrong type", chat.withBody(strings.Replace(goodChat, "5", `"five"`, 1)), 400, qf.CodeInvalid, "max_tokens", "expected int, not string", notRun},
		{"wrong type in a message", chat.withBody(strings.Replace(goodChat, `"girth"`, "7", 1)), 400, qf.CodeInvalid, "messages.content", "expected string, not number", notRun},
		{"no messages", chat.withBody(`{"model":"assistant"}`), 400, qf.CodeInvalid, "messages", "expected at least one message", notRun},
		{"message without a role", chat.withBody(`{"model":"assistant","messages":[{"role":"user"},{}]}`), 400, qf.CodeInvalid, "messages[1].role", "is required", notRun},
		{"too many tokens", chat.withBody(strings.Replace(goodChat, "5", "101", 1)), 400, qf.CodeInvalid, "max_tokens", "expected 1 to 100", notRun},
		{"a negative number of tokens", chat.withBody(strings.Replace(goodChat, "5", "-1", 1)), 400, qf.CodeInvalid, "max_tokens", "expected 1 to 100", notRun},
		{"oversized body", chat.withBody(goodChat + strings.Repeat(" ", 1024)), 413, qf.CodeTooLarge, "body", "expected at most 1024 bytes", notRun},
		{"no organisation", chat.withHeader(qfapi.HeaderOrganisation, ""), 400, qf.CodeInvalid, qfapi.HeaderOrganisation, "expected a name of 1 to 200 bytes", notRun},
		{"organisation too long", chat.withHeader(qfapi.HeaderOrganisation, long), 400, qf.CodeInvalid, qfapi.HeaderOrganisation, "expected a name of 1 to 200 bytes", notRun},
		{"identifier too long", chat.withHeader(qfapi.HeaderRequestID, long), 400, qf.CodeInvalid, qfapi.HeaderRequestID, "expected at most 200 bytes", notRun},
		{"timeout without a unit", chat.withHeader(qfapi.HeaderTimeout, "30"), 400, qf.CodeInvalid, qfapi.HeaderTimeout, "expected a duration such as 30s, at most 1h0m0s", notRun},
		{"negative timeout", chat.withHeader(qfapi.HeaderTimeout, "-1s"), 400, qf.CodeInvalid, qfapi.HeaderTimeout, "expected a duration", notRun},
		{"timeout too long", chat.withHeader(qfapi.HeaderTimeout, "2h"), 400, qf.CodeInvalid, qfapi.HeaderTimeout, "at most 1h0m0s", notRun},
		{"once-only call without a key", permit, 400, qf.CodeInvalid, qfapi.HeaderIdempotencyKey, "needs a key of 1 to 200 bytes", notRun},
		{"once-only call with an escaped path", call{http.MethodPost, qfapi.PathServices + "register/x%2F..%2Fpermits", "", organisation}, 400, qf.CodeInvalid, qfapi.HeaderIdempotencyKey, "needs a key", notRun},
		{"key too long", permit.withHeader(qfapi.HeaderIdempotencyKey, long), 400, qf.CodeInvalid, qfapi.HeaderIdempotencyKey, "needs a key of 1 to 200 bytes", notRun},
		{"bad event identifier", chat.withHeader(qfapi.HeaderLastEventID, "seven"), 400, qf.CodeInvalid, qfapi.HeaderLastEventID, "expected the identifier of an event", notRun},
		{"negative event identifier", resume.withHeader(qfapi.HeaderLastEventID, "-1"), 400, qf.CodeInvalid, qfapi.HeaderLastEventID, "expected the identifier of an event", notRun},
		{"unknown request", resume, 404, qf.CodeNotFound, "", "isn't known here", string(qf.RanUnknown)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &refusingService{}
			request := httptest.NewRequestWithContext(t.Context(), test.call.method, test.call.path, strings.NewReader(test.call.body))
			for name, value := range test.call.header {
				request.Header.Set(name, value)
			}
			answer := httptest.NewRecorder()
			qfhttp.NewCallerHandler(service, testBounds).ServeHTTP(answer, request)
			var body qfapi.ErrorBody
			if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
				t.Fatalf("%v in %q", err, answer.Body)
			}
			e := body.Error
			if answer.Code != test.status || e.Code != string(test.code) || e.Field != test.field ||
				!strings.Contains(e.Reason, test.reason) || e.Ran != test.ran || answer.Header().Get(qfapi.HeaderRan) != test.ran {
				t.Errorf("status %d, error %+v", answer.Code, e)
			}
			if isValid := test.code == qf.CodeLeaving; (service.accepted != nil) != isValid {
				t.Errorf("the request reached the node: %t", service.accepted != nil)
			} else if isValid && answer.Header().Get(qfapi.HeaderRetryAfter) != "2" {
				t.Errorf("retry after %q seconds, want 1.5 s rounded up", answer.Header().Get(qfapi.HeaderRetryAfter))
			}
		})
	}
}
