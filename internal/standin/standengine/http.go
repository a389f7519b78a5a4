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

// Handler serves the engine's contract over HTTP, and takes a Behaviour at
// PUT /behaviour.
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

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var wire qfendpoint.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := requestOf(&wire, r.Header.Get(qfendpoint.HeaderAttempt))
	a, err := e.admit(request)
	if err != nil {
		w.Header().Set(qfendpoint.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if crashes(request.Messages) && e.onCrash != nil {
		e.onCrash()
		panic(http.ErrAbortHandler)
	}
	if isEvery(a.number, a.behaviour.FailEvery) {
		e.count(-1, 0)
		http.Error(w, "the engine failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	if err := e.wait(r.Context(), a); err != nil {
		return
	}
	defer e.finish()
	e.generate(r.Context(), w, a)
}

func crashes(messages []qf.Message) bool {
	for _, m := range messages {
		if strings.Contains(m.Content, CrashMarker) {
			return true
		}
	}
	return false
}

func requestOf(wire *qfendpoint.ChatRequest, attemptID string) qf.GenerateRequest {
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

// generate writes the tokens from the resumed offset to the end.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, a *attempt) {
	hash := resumedHash(&a.request)
	echo := string(a.request.Attempt)
	if isEvery(a.number, a.behaviour.CrossEvery) {
		echo = "another-" + echo
	}
	for offset := a.request.ResumeTokens; offset < a.request.MaxTokens; offset++ {
		if e.misbehaves(ctx, a, offset) {
			return
		}
		if e.pause(ctx, a.behaviour.scaled(a.behaviour.TokenInterval)) != nil {
			return
		}
		token := nextToken(hash)
		if a.behaviour.Varies {
			token = variedToken(hash, a.request.Attempt)
		}
		hash = extendHash(hash, token)
		if a.behaviour.WrongText {
			token = "wrong "
		}
		if a.leavesOut(offset) {
			continue
		}
		if writeChunk(w, chunkOf(echo, a, offset, token, nil)) != nil {
			return
		}
		e.remember(a, offset)
	}
	finish := "length"
	_ = writeChunk(w, chunkOf(echo, a, a.request.MaxTokens, "", &finish)) // A gone caller reads nothing.
	_ = writeData(w, qfapi.EventDone)
}

// leavesOut reports whether the token in the middle of the answer goes missing.
func (a *attempt) leavesOut(offset int) bool {
	return isEvery(a.number, a.behaviour.GapEvery) && offset == (a.request.ResumeTokens+a.request.MaxTokens)/2
}

// misbehaves ends or blocks the stream where the behaviour says so.
func (e *Engine) misbehaves(ctx context.Context, a *attempt, offset int) bool {
	half := a.request.ResumeTokens + (a.request.MaxTokens-a.request.ResumeTokens)/2
	if isEvery(a.number, a.behaviour.CutEvery) && offset >= half {
		return true
	}
	if n := a.behaviour.SilentAfter; n > 0 && offset-a.request.ResumeTokens >= n {
		<-ctx.Done()
		return true
	}
	return false
}

func (e *Engine) remember(a *attempt, offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[string(a.request.Attempt)] = a.cached + a.computed + offset + 1 - a.request.ResumeTokens
}

// resumedHash replays the text that the caller already has, token by token.
func resumedHash(r *qf.GenerateRequest) uint64 {
	hash := promptHash(r.Messages)
	for token := range strings.SplitAfterSeq(r.ResumeText, " ") {
		if token != "" {
			hash = extendHash(hash, token)
		}
	}
	return hash
}

func chunkOf(echo string, a *attempt, offset int, token string, finish *string) *qfendpoint.ChatChunk {
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
	events := e.cache.after(after)
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

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("attempt")
	e.mu.Lock()
	tokens, ok := e.kv[handle]
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

const kvBytesPerToken = 128 << 10

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var export qf.KVExport
	if !readJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	refused := e.behaviour.FailImports
	if !refused {
		e.kv[export.Handle] = export.Tokens
	}
	e.mu.Unlock()
	if refused {
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
	_ = json.NewEncoder(w).Encode(body) // The reader sees a cut body.
}
