package qfhttp

import (
	"net/http"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/pkg/qfapi"
)

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkStreamedToken measures writing one token of a stream to a caller.
func BenchmarkStreamedToken(b *testing.B) {
	w := &discardWriter{header: http.Header{}}
	record := qfrequest.NewRecord(&qf.Request{ID: "0b0e8a6c-6a5a-4f8e-9d0e-0c3a3a1c8a51", Entry: "assistant"}, 1)
	s := newStreamWriter(w, record, qfapi.EventID{HasSum: true})
	token := []string{"shisham "}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.writeTokens(token); err != nil {
			b.Fatal(err)
		}
	}
}
