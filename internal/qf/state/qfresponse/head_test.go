package qfresponse

import (
	"io"
	"net/http"
	"testing"

	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standsocket"
)

// fetch sends a request with a transport that checks heads and returns the body of the response.
func fetch(t *testing.T, url string) (string, error) {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: CheckHeads(transport)}).Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestUnsoundHeadsAreRejected fails if a response passes whose head HTTP doesn't allow.
func TestUnsoundHeadsAreRejected(t *testing.T) {
	for _, head := range qftest.UnsoundHeads() {
		t.Run(head.Name, func(t *testing.T) {
			if body, err := fetch(t, "http://"+head.Start(t, "", "{}").String()); err == nil {
				t.Errorf("it passes with the body %q", body)
			}
		})
	}
}

// TestSoundHeadsPass fails if a response is rejected that HTTP allows.
func TestSoundHeadsPass(t *testing.T) {
	tests := []struct{ name, text, body string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n{}", "{}"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "{}"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"greatest status", "HTTP/1.1 599 None\r\nContent-Length: 2\r\n\r\n{}", "{}"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}"},
		{"blanks in a value", "HTTP/1.1 200 OK\r\nX-A:  b c \r\nContent-Length: 2\r\n\r\n{}", "{}"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := qftest.StartSocket(t, &standsocket.Server{
				Answer: func(*http.Request) string { return tt.text }, Ending: standsocket.EndsAndReads,
			})
			if body, err := fetch(t, "http://"+address.String()); err != nil || body != tt.body {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}
