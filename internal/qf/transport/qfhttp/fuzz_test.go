package qfhttp_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/pkg/qfapi"
)

// FuzzRequest checks that every input is either refused with a typed error with RanNo or
// accepted within the bounds, and that a once-only call is never accepted without a key.
func FuzzRequest(f *testing.F) {
	f.Add(true, "", goodChat, "parks", "", "", "", "30s")
	f.Add(true, "", `{"model":"assistant","messages":[{"role":1}]}`, "parks", "id", "", "17-9ae0daaf", "")
	f.Add(false, "register/permits", "shisham", "parks", "", "key-1", "", "1h")
	f.Add(false, "register/x%2F..%2Fpermits", "", "parks", "", "", "-1", "-1s")
	f.Add(false, "register//permits/../permits?a=b", "\x00", "", "", "k", "", "5")
	f.Fuzz(func(t *testing.T, isChat bool, path, body, organisation, id, key, last, timeout string) {
		target := qfapi.PathChatCompletions
		if !isChat {
			target = qfapi.PathServices + path
		}
		parsed, err := url.Parse("http://node" + target)
		if err != nil {
			t.Skip()
		}
		request := &http.Request{
			Method: http.MethodPost, URL: parsed, Host: "node", Header: http.Header{}, Proto: "HTTP/1.1",
			ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		}
		request = request.WithContext(t.Context())
		request.Body = httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body)).Body
		for name, value := range map[string]string{
			qfapi.HeaderOrganisation: organisation, qfapi.HeaderRequestID: id, qfapi.HeaderIdempotencyKey: key,
			qfapi.HeaderLastEventID: last, qfapi.HeaderTimeout: timeout,
		} {
			request.Header.Set(name, value)
		}
		service := &refusingService{}
		answer := httptest.NewRecorder()
		qfhttp.NewCallerHandler(service, testBounds).ServeHTTP(answer, request)
		checkAnswer(t, answer)
		if service.accepted != nil {
			checkAccepted(t, service.accepted, service.Now())
		}
	})
}

func checkAnswer(t *testing.T, answer *httptest.ResponseRecorder) {
	if answer.Code/100 == 3 {
		return // The router redirects to the cleaned path.
	}
	var body qfapi.ErrorBody
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d with %q: %v", answer.Code, answer.Body, err)
	}
	if body.Error.Code == "" || body.Error.Reason == "" || body.Error.Ran != string(qf.RanNo) || answer.Code == http.StatusInternalServerError {
		t.Errorf("status %d, error %+v", answer.Code, body.Error)
	}
}

func checkAccepted(t *testing.T, r *qf.Request, now time.Time) {
	left := r.Deadline.Sub(now)
	if r.Organisation == "" || r.ID == "" || left <= 0 || left > testBounds.MaxTimeout || len(r.Body) > int(testBounds.MaxBodyBytes) {
		t.Errorf("accepted beyond the bounds: %+v", r)
	}
	if r.Kind == qf.KindModelEngine && (len(r.Messages) == 0 || r.MaxTokens < 1 || r.MaxTokens > testBounds.MaxTokens) {
		t.Errorf("accepted beyond the bounds: %+v", r)
	}
	if r.Kind == qf.KindPlainService && testDocument.Entry(r.Entry).IsOnceOnly(r.Method, r.Path) && r.Key == "" {
		t.Errorf("a once-only call was accepted without a key: %+v", r)
	}
}
