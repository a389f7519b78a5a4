package qfclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// unframed responds with neither a length nor chunks: the connection ends the body.
func unframed(t *testing.T, header, body string) answerFunc {
	return func(w http.ResponseWriter) {
		id := w.Header().Get("X-Id")
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer connection.Close() //nolint:errcheck // The client reads to the end.
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n", id, header)
		_, _ = io.WriteString(connection, body)
	}
}

// tokenEvent returns the event of the first token of an answer.
func tokenEvent(id string) string {
	return fmt.Sprintf("id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n", qfapi.EventIDOf([]string{"a "}), id)
}

// TestStreamWithoutLength fails if a stream that its connection ends inside an event counts as
// complete, if a part of an event is delivered, or if one that ends after its end mark is resumed.
func TestStreamWithoutLength(t *testing.T) {
	end := fmt.Sprintf("id: %s\ndata: [DONE]\n\n", qfapi.EventIDOf([]string{"a "}))
	tests := []struct {
		name string
		// cut is the number of bytes that are missing at the end.
		cut     int
		resumed int
	}{
		{"ends after its end mark", 0, 0},
		{"ends inside its end mark", 4, 1},
		{"ends after the first event", len(end), 1},
		{"ends inside the first event", len(end) + 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := func(w http.ResponseWriter) {
				whole := tokenEvent(w.Header().Get("X-Id")) + end
				unframed(t, "Content-Type: text/event-stream\r\n", whole[:len(whole)-tt.cut])(w)
			}
			second := func(w http.ResponseWriter) {
				unframed(t, "Content-Type: text/event-stream\r\n", tokenEvent(w.Header().Get("X-Id"))+end)(w)
			}
			withNode(t, []answerFunc{first, second}, func(ctx context.Context, c *qfclient.Client) {
				answer, err := c.Chat(ctx, qfapi.ChatRequest{Model: "assistant", Messages: []qfapi.ChatMessage{{Role: "user", Content: "x"}}}, nil)
				if err != nil || answer.Text != "a " || answer.Resumed != tt.resumed {
					t.Errorf("got %+v, %v; want it resumed %d times", answer, err, tt.resumed)
				}
			})
		})
	}
}

// TestAnswerWithoutLength fails if a service's answer that its connection ends isn't delivered whole.
func TestAnswerWithoutLength(t *testing.T) {
	step := unframed(t, qfapi.HeaderRan+": Yes\r\n", "filed")
	withNode(t, []answerFunc{step}, func(ctx context.Context, c *qfclient.Client) {
		answer, err := c.Do(ctx, qfclient.Call{Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k"})
		if err != nil || string(answer.Body) != "filed" {
			t.Errorf("got %q, %v", answer.Body, err)
		}
	})
}
