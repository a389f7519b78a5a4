package standengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/pkg/qfapi"
)

// Handler serves the engine's protocol over HTTP. PUT /behaviour replaces the
// Behaviour.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+qfapi.PathChatCompletions, e.serveChat)
	mux.HandleFunc("GET "+qfendpoint.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+qfendpoint.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("PUT "+qfendpoint.PathOrder, e.serveOrder)
	mux.HandleFunc("GET "+qfendpoint.PathKV, e.serveExport)
	mux.HandleFunc("PUT "+qfendpoint.PathKV, e.serveImport)
	mux.HandleFunc("PUT /behaviour", e.serveBehaviour)
	return mux
}

// serveChat runs one attempt and streams its tokens.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var wire qfendpoint.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := generateRequestOf(&wire, r.Header.Get(qfendpoint.HeaderAttempt))
	a, err := e.admit(request)
	if err != nil {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if containsCrashMarker(request.Messages) && e.onCrash != nil {
		e.onCrash()
		panic(http.ErrAbortHandler)
	}
	if isNth(a.number, a.behaviour.FailEvery) {
		e.adjustCounts(-1, 0)
		http.Error(w, "the engine failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	if err := e.waitForSlot(r.Context(), a); err != nil {
		return
	}
	defer e.releaseSlot()
	e.generate(r.Context(), w, a)
}

// containsCrashMarker reports whether a message contains CrashMarker.
func containsCrashMarker(messages []qf.Message) bool {
	for _, m := range messages {
		if strings.Contains(m.Content, CrashMarker) {
			return true
		}
	}
	return false
}

// generateRequestOf converts a chat request from its wire format.
func generateRequestOf(wire *qfendpoint.ChatRequest, attemptID string) qf.GenerateRequest {
	messages := make([]qf.Message, 0, len(wire.Messages))
	for _, m := range wire.Messages {
		messages = append(messages, qf.Message{Role: m.Role, Content: m.Content})
	}
	x := wire.Extension
	return qf.GenerateRequest{
		Request: x.Request, Attempt: qf.AttemptID(attemptID), Organisation: x.Organisation,
		Messages: messages, MaxTokens: wire.MaxTokens, Priority: x.Priority,
		ResumeText: x.ResumeText, ResumeTokens: x.ResumeTokens, KVHandle: x.KVHandle,
	}
}

// generate streams the tokens from the resumed offset to the end.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, a *attempt) {
	hash := resumedHash(&a.request)
	echo := string(a.request.Attempt)
	if isNth(a.number, a.behaviour.CrossEvery) {
		echo = "another-" + echo
	}
	for offset := a.request.ResumeTokens; offset < a.request.MaxTokens; offset++ {
		if e.endsEarly(ctx, a, offset) {
			return
		}
		if e.pause(ctx, a.behaviour.scaled(a.behaviour.TokenInterval)) != nil {
			return
		}
		token := nextToken(hash)
		if a.behaviour.Varies {
			token = sampledToken(hash, a.request.Attempt)
		}
		hash = extendHash(hash, token)
		if a.behaviour.WrongText {
			token = "wrong "
		}
		if a.skipsToken(offset) {
			continue
		}
		if writeChunk(w, newChunk(echo, a, offset, token, nil)) != nil {
			return
		}
		e.recordKV(a, offset)
	}
	finish := "length"
	_ = writeChunk(w, newChunk(echo, a, a.request.MaxTokens, "", &finish)) // The caller may have disconnected.
	_ = writeData(w, qfapi.EventDone)
}

// skipsToken reports whether GapEvery omits the token at the offset.
func (a *attempt) skipsToken(offset int) bool {
	return isNth(a.number, a.behaviour.GapEvery) && offset == (a.request.ResumeTokens+a.request.MaxTokens)/2
}

// endsEarly reports whether the stream ends before the offset because of CutEvery or
// SilentAfter. For the latter it first blocks until the caller disconnects.
func (e *Engine) endsEarly(ctx context.Context, a *attempt, offset int) bool {
	half := a.request.ResumeTokens + (a.request.MaxTokens-a.request.ResumeTokens)/2
	if isNth(a.number, a.behaviour.CutEvery) && offset >= half {
		return true
	}
	if n := a.behaviour.SilentAfter; n > 0 && offset-a.request.ResumeTokens >= n {
		<-ctx.Done()
		return true
	}
	return false
}

// recordKV records the size of the attempt's KV cache after a token.
func (e *Engine) recordKV(a *attempt, offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kvTokens[string(a.request.Attempt)] = a.cached + a.computed + offset + 1 - a.request.ResumeTokens
}

// resumedHash returns the hash of the prompt and of the text that the caller has
// already received.
func resumedHash(r *qf.GenerateRequest) uint64 {
	hash := promptHash(r.Messages)
	for token := range strings.SplitAfterSeq(r.ResumeText, " ") {
		if token != "" {
			hash = extendHash(hash, token)
		}
	}
	return hash
}

// newChunk returns the chunk with the token at an offset. The first chunk also holds
// the token counts of the prompt.
func newChunk(echo string, a *attempt, offset int, token string, finish *string) *qfendpoint.ChatChunk {
	c := &qfendpoint.ChatChunk{Offset: offset}
	c.ID = echo
	c.Object = "chat.completion.chunk"
	c.Choices = []qfapi.ChatChunkChoice{{
		Delta: qfapi.ChatMessage{Role: "assistant", Content: token}, FinishReason: finish,
	}}
	if offset == a.request.ResumeTokens {
		c.CachedTokens = a.cached
		c.ComputedTokens = a.computed
	}
	return c
}

func writeChunk(w http.ResponseWriter, chunk *qfendpoint.ChatChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return writeData(w, string(data))
}

func writeData(w http.ResponseWriter, data string) error {
	message := &sse.Message{}
	message.AppendData(data)
	if _, err := message.WriteTo(w); err != nil {
		return err
	}
	flush(w)
	return nil
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Load()) }

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after)
	e.mu.Unlock()
	for i := range events {
		events[i].Endpoint = e.self.ID
	}
	writeJSON(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order qf.Order
	if !readJSON(w, r, &order) {
		return
	}
	report, err := e.ApplyOrder(order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
		return
	}
	writeJSON(w, report)
}

// serveExport sends the description of an attempt's KV cache.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("attempt")
	e.mu.Lock()
	tokens, ok := e.kvTokens[handle]
	behaviour := e.behaviour
	e.mu.Unlock()
	if behaviour.FailExports {
		http.Error(w, "the export failed", http.StatusInternalServerError)
		return
	}
	if !ok {
		http.Error(w, "attempt: not known", http.StatusNotFound)
		return
	}
	if rate := behaviour.KVBytesPerSecond; rate > 0 {
		seconds := float64(tokens) * kvBytesPerToken / float64(rate)
		if e.pause(r.Context(), time.Duration(seconds*float64(time.Second))) != nil {
			return
		}
	}
	writeJSON(w, qf.KVExport{Handle: handle, Tokens: tokens, Bytes: uint64(tokens) * kvBytesPerToken})
}

// kvBytesPerToken is the size of one token in the KV cache.
const kvBytesPerToken = 128 << 10

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var export qf.KVExport
	if !readJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	fails := e.behaviour.FailImports
	if !fails {
		e.kvTokens[export.Handle] = export.Tokens
	}
	e.mu.Unlock()
	if fails {
		http.Error(w, "the import failed", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var behaviour Behaviour
	if !readJSON(w, r, &behaviour) {
		return
	}
	e.SetBehaviour(behaviour)
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("malformed body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The client detects a truncated body.
}
