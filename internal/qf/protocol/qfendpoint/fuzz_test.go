package qfendpoint

import (
	"errors"
	"io"
	"strings"
	"testing"

	"quetzalfront/internal/qf"
)

const goodStream = `data: {"id":"a","choices":[{"delta":{"content":"x "}}],"offset":0,"cached_tokens":3}

data: {"id":"a","choices":[{"delta":{},"finish_reason":"length"}],"offset":1}

data: [DONE]

`

// FuzzStream guards against malformed streams that never end, or that end in an error that
// is untyped or claims that nothing ran.
func FuzzStream(f *testing.F) {
	f.Add(goodStream)
	f.Add(goodStream[:70])
	f.Add("data: {}\n\n")
	f.Add("data: {\"choices\":[{},{}]}\n\ndata: [DONE]\n\n")
	f.Add(": comment\r\rid: 7\revent: error\rdata: null\r\r")
	f.Fuzz(func(t *testing.T, text string) {
		s := newStream(qf.Endpoint{ID: "e"}, "a", io.NopCloser(strings.NewReader(text)), func() {})
		defer func() {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		}()
		for range strings.Count(text, "\n") + strings.Count(text, "\r") + 2 {
			chunk, err := s.Next(t.Context())
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				if qf.CodeOf(err) != qf.CodeBroken || qf.RanOf(err) == qf.RanNo {
					t.Errorf("error %v with %s", err, qf.RanOf(err))
				}
				return
			}
			if chunk.FinishReason != "" && !chunk.End {
				t.Errorf("chunk %+v", chunk)
			}
		}
		t.Error("the stream has more chunks than lines")
	})
}
