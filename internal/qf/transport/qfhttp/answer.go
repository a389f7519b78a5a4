package qfhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/pkg/qfapi"
)

var statusByCode = map[qf.Code]int{
	qf.CodeInvalid:        http.StatusBadRequest,
	qf.CodeUnknownEntry:   http.StatusNotFound,
	qf.CodeNotFound:       http.StatusNotFound,
	qf.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	qf.CodeLimited:        http.StatusTooManyRequests,
	qf.CodeOverloaded:     http.StatusServiceUnavailable,
	qf.CodeNoEndpoint:     http.StatusServiceUnavailable,
	qf.CodeUnavailable:    http.StatusServiceUnavailable,
	qf.CodeLeaving:        http.StatusServiceUnavailable,
	qf.CodeConflict:       http.StatusConflict,
	qf.CodeKeyReused:      http.StatusUnprocessableEntity,
	qf.CodeStaleOwnership: http.StatusConflict,
	qf.CodeStillRunning:   http.StatusConflict,
	qf.CodeSuspect:        http.StatusUnprocessableEntity,
	qf.CodeDeadline:       http.StatusGatewayTimeout,
	qf.CodeBroken:         http.StatusBadGateway,
	qf.CodeForbidden:      http.StatusForbidden,
	qf.CodeMoved:          http.StatusMisdirectedRequest,
}

func httpStatus(code qf.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func errorDetail(err error, id qf.RequestID) qfapi.ErrorDetail {
	var e *qf.Error
	if !errors.As(err, &e) {
		e = &qf.Error{Code: qf.CodeInternal, Reason: err.Error()}
	}
	detail := qfapi.ErrorDetail{
		Code: string(e.Code), Field: e.Field, Reason: e.Reason, Ran: string(qf.RanOf(e)),
		RequestID: string(id), Step: string(e.Step), Peer: e.Peer,
	}
	if e.RetryAfter > 0 {
		detail.RetryAfter = e.RetryAfter.String()
	}
	return detail
}

// writeError sends an error as JSON, with the status and headers that follow from it.
func writeError(w http.ResponseWriter, err error, id qf.RequestID) {
	detail := errorDetail(err, id)
	w.Header().Set(qfapi.HeaderRan, detail.Ran)
	if id != "" {
		w.Header().Set(qfapi.HeaderRequestID, string(id))
	}
	if detail.RetryAfter != "" {
		w.Header().Set(qfapi.HeaderRetryAfter, retrySeconds(detail.RetryAfter))
	}
	writeJSON(w, httpStatus(qf.Code(detail.Code)), qfapi.ErrorBody{Error: detail})
}

// retrySeconds returns a duration in whole seconds, rounded up, as the Retry-After header
// requires.
func retrySeconds(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return "1"
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client detects the truncated body.
}

func movedBody(id qf.RequestID, moved *qfrequest.Moved, from qfapi.EventID) qfapi.MovedBody {
	return qfapi.MovedBody{
		RequestID: string(id), Nodes: []netip.AddrPort{moved.Node.CallerAddress}, LastEventID: from.String(),
	}
}

// redirect sends a caller that has received nothing yet to the node that took its request
// over.
func redirect(w http.ResponseWriter, id qf.RequestID, moved *qfrequest.Moved, from qfapi.EventID) {
	w.Header().Set("Location", "http://"+moved.Node.CallerAddress.String()+qfapi.PathRequests+url.PathEscape(string(id)))
	writeJSON(w, http.StatusSeeOther, movedBody(id, moved, from))
}

// sendServiceAnswer sends the answer of a plain service.
func sendServiceAnswer(w http.ResponseWriter, r *http.Request, record *qfrequest.Record, reader *qfrequest.Reader) {
	progress, err := reader.Wait(r.Context(), 0)
	switch {
	case err != nil:
		return // The caller disconnected.
	case progress.Answer != nil:
		w.Header().Set("Content-Type", progress.Answer.ContentType)
		w.Header().Set(qfapi.HeaderRan, string(qf.RanYes))
		w.WriteHeader(progress.Answer.Status)
		_, _ = w.Write(progress.Answer.Body) // A caller that disconnected repeats the request.
	case progress.Err != nil:
		writeError(w, progress.Err, record.Request.ID)
	default:
		redirect(w, record.Request.ID, progress.Moved, qfapi.EventID{})
	}
}

// sendChatAnswer sends a model engine's answer as one JSON body.
func sendChatAnswer(w http.ResponseWriter, r *http.Request, record *qfrequest.Record, reader *qfrequest.Reader) {
	var text strings.Builder
	tokens := 0
	for {
		progress, err := reader.Wait(r.Context(), tokens)
		if err != nil {
			return // The caller disconnected.
		}
		for _, token := range progress.Text {
			text.WriteString(token)
		}
		tokens += len(progress.Text)
		if !progress.Ended() {
			continue
		}
		writeChatAnswer(w, record, &progress, text.String(), tokens)
		return
	}
}

func writeChatAnswer(w http.ResponseWriter, record *qfrequest.Record, progress *qfrequest.Progress, text string, tokens int) {
	switch {
	case progress.Moved != nil:
		redirect(w, record.Request.ID, progress.Moved, qfapi.EventID{})
	case progress.Err != nil:
		writeError(w, progress.Err, record.Request.ID)
	default:
		w.Header().Set(qfapi.HeaderRan, string(qf.RanYes))
		writeJSON(w, http.StatusOK, qfapi.ChatAnswer{
			ID: string(record.Request.ID), Object: "chat.completion", Model: string(record.Request.Entry),
			Choices: []qfapi.ChatChoice{{
				Message: qfapi.ChatMessage{Role: "assistant", Content: text}, FinishReason: finishLength,
			}},
			Usage: qfapi.ChatUsage{CompletionTokens: tokens},
		})
	}
}

// finishLength is the finish reason of an answer that reached its maximal length.
const finishLength = "length"

// streamAnswer sends an answer as server-sent events, starting after the event that the
// caller received last.
func streamAnswer(w http.ResponseWriter, r *http.Request, record *qfrequest.Record, reader *qfrequest.Reader, from qfapi.EventID) {
	progress, err := reader.Wait(r.Context(), from.Tokens)
	if err != nil {
		return // The caller disconnected.
	}
	if !checkResumePoint(w, record, &progress, &from) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s := newStreamWriter(w, record, from)
	for {
		if s.writeTokens(progress.Text) != nil {
			return
		}
		if progress.Ended() {
			s.finish(&progress)
			return
		}
		if progress, err = reader.Wait(r.Context(), s.id.Tokens); err != nil {
			return
		}
	}
}

// streamWriter writes the events of one answer.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	record     *qfrequest.Record
	// id identifies the last event that was sent to the caller.
	id qfapi.EventID
	// chunk, encoded and encoder are reused for every token to avoid allocations.
	chunk   qfapi.ChatChunk
	encoded bytes.Buffer
	encoder *json.Encoder
}

func newStreamWriter(w http.ResponseWriter, record *qfrequest.Record, from qfapi.EventID) *streamWriter {
	s := &streamWriter{w: w, controller: http.NewResponseController(w), record: record, id: from}
	s.encoder = json.NewEncoder(&s.encoded)
	s.chunk = qfapi.ChatChunk{
		ID: string(record.Request.ID), Object: "chat.completion.chunk", Model: string(record.Request.Entry),
		Choices: []qfapi.ChatChunkChoice{{Delta: qfapi.ChatMessage{Role: "assistant"}}},
	}
	return s
}

func (s *streamWriter) writeTokens(text []string) error {
	for _, token := range text {
		s.id = s.id.Extend(token)
		if err := s.writeToken(token, nil); err != nil {
			return err
		}
	}
	return s.controller.Flush()
}

func (s *streamWriter) writeToken(token string, finish *string) error {
	s.chunk.Choices[0].Delta.Content = token
	s.chunk.Choices[0].FinishReason = finish
	return s.writeEvent("", &s.chunk)
}

// finish sends the last event. Only a complete answer ends with qfapi.EventDone.
func (s *streamWriter) finish(progress *qfrequest.Progress) {
	var err error
	switch {
	case progress.Moved != nil:
		err = s.writeEvent(qfapi.EventMoved, movedBody(s.record.Request.ID, progress.Moved, s.id))
	case progress.Err != nil:
		err = s.writeEvent(qfapi.EventError, qfapi.ErrorBody{Error: errorDetail(progress.Err, s.record.Request.ID)})
	default:
		finish := finishLength
		err = errors.Join(s.writeToken("", &finish), s.writeMessage("", qfapi.EventDone))
	}
	if err == nil {
		_ = s.controller.Flush() // A caller that disconnected resumes elsewhere.
	}
}

func (s *streamWriter) writeEvent(kind string, body any) error {
	s.encoded.Reset()
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	return s.writeMessage(kind, strings.TrimSuffix(s.encoded.String(), "\n"))
}

func (s *streamWriter) writeMessage(kind, data string) error {
	message := &sse.Message{ID: sse.ID(s.id.String())}
	if kind != "" {
		message.Type = sse.Type(kind)
	}
	message.AppendData(data)
	_, err := message.WriteTo(s.w)
	return err
}
