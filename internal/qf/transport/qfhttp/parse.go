package qfhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/pkg/qfapi"
)

// invalid returns an error that names the invalid field.
func invalid(field, reason string) *qf.Error {
	return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepAccept, Field: field, Reason: reason, Ran: qf.RanNo}
}

// maxIdentifierBytes bounds the names and keys that callers choose.
const maxIdentifierBytes = 200

// serveChat serves a chat completion request.
func (c *CallerHandler) serveChat(w http.ResponseWriter, r *http.Request) {
	request, err := c.parseChat(w, r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	from, err := parseResumePoint(r, request.ResumeText)
	if err != nil {
		writeError(w, err, request.ID)
		return
	}
	c.accept(w, r, request, from)
}

// accept submits the request to the service and sends the answer.
func (c *CallerHandler) accept(w http.ResponseWriter, r *http.Request, request *qf.Request, from qfapi.EventID) {
	record, err := c.service.Accept(r.Context(), request)
	if err != nil {
		writeError(w, err, request.ID)
		return
	}
	c.sendAnswer(w, r, record, from)
}

func (c *CallerHandler) parseChat(w http.ResponseWriter, r *http.Request) (*qf.Request, error) {
	body, err := c.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var chat qfapi.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, jsonError(err)
	}
	entry, err := c.findEntry(qf.EntryName(chat.Model), qf.KindModelEngine, "model")
	if err != nil {
		return nil, err
	}
	request, err := c.newRequest(r, entry)
	if err != nil {
		return nil, err
	}
	request.Stream = chat.Stream
	request.MaxTokens, err = c.parseMaxTokens(chat.MaxTokens)
	if err != nil {
		return nil, err
	}
	request.Messages, err = parseMessages(chat.Messages)
	if err != nil {
		return nil, err
	}
	request.PreviousNode = previousNode(r)
	request.ResumeText, err = parseResumeText(chat.Resume, request.MaxTokens)
	return request, err
}

// jsonError converts a decoding error to one that names the field.
func jsonError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, fmt.Sprintf("expected %s, not %s", wrongType.Type, wrongType.Value))
	}
	return invalid("body", "malformed JSON: "+err.Error())
}

func parseMessages(chat []qfapi.ChatMessage) ([]qf.Message, error) {
	if len(chat) == 0 {
		return nil, invalid("messages", "expected at least one message")
	}
	messages := make([]qf.Message, 0, len(chat))
	for i, m := range chat {
		if m.Role == "" {
			return nil, invalid(fmt.Sprintf("messages[%d].role", i), "is required")
		}
		messages = append(messages, qf.Message{Role: m.Role, Content: m.Content})
	}
	return messages, nil
}

// defaultMaxTokens is the answer's maximal length if the caller doesn't state one.
const defaultMaxTokens = 64

func (c *CallerHandler) parseMaxTokens(requested int) (int, error) {
	switch {
	case requested == 0:
		return min(defaultMaxTokens, c.bounds.MaxTokens), nil
	case requested < 0 || requested > c.bounds.MaxTokens:
		return 0, invalid("max_tokens", fmt.Sprintf("expected 1 to %d", c.bounds.MaxTokens))
	default:
		return requested, nil
	}
}

func (c *CallerHandler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.bounds.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &qf.Error{
			Code: qf.CodeTooLarge, Step: qf.StepAccept, Field: "body", Ran: qf.RanNo,
			Reason: fmt.Sprintf("expected at most %d bytes", tooLarge.Limit),
		}
	}
	if err != nil {
		return nil, invalid("body", "the body is incomplete: "+err.Error())
	}
	return body, nil
}

func (c *CallerHandler) findEntry(name qf.EntryName, kind qf.EntryKind, field string) (*qfcatalogue.Entry, error) {
	entry := c.service.Entry(name)
	if entry == nil || entry.Kind != kind {
		return nil, &qf.Error{
			Code: qf.CodeUnknownEntry, Step: qf.StepAccept, Field: field, Ran: qf.RanNo,
			Reason: fmt.Sprintf("the catalogue has no entry %q of kind %s", name, kind),
		}
	}
	return entry, nil
}

// newRequest returns a request with the fields that all kinds of requests have in their
// headers.
func (c *CallerHandler) newRequest(r *http.Request, entry *qfcatalogue.Entry) (*qf.Request, error) {
	organisation := r.Header.Get(qfapi.HeaderOrganisation)
	if organisation == "" || len(organisation) > maxIdentifierBytes {
		return nil, invalid(qfapi.HeaderOrganisation, fmt.Sprintf("expected a name of 1 to %d bytes", maxIdentifierBytes))
	}
	id := r.Header.Get(qfapi.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	if len(id) > maxIdentifierBytes {
		return nil, invalid(qfapi.HeaderRequestID, fmt.Sprintf("expected at most %d bytes", maxIdentifierBytes))
	}
	timeout, err := c.parseTimeout(r, entry)
	if err != nil {
		return nil, err
	}
	return &qf.Request{
		ID: qf.RequestID(id), Organisation: qf.Organisation(organisation), Entry: entry.Name,
		Kind: entry.Kind, Class: entry.Class, Deadline: c.service.Now().Add(timeout),
	}, nil
}

func (c *CallerHandler) parseTimeout(r *http.Request, entry *qfcatalogue.Entry) (time.Duration, error) {
	timeout := c.bounds.DefaultTimeout
	if entry.Deadline > 0 {
		timeout = entry.Deadline.Value()
	}
	text := r.Header.Get(qfapi.HeaderTimeout)
	if text == "" {
		return timeout, nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 || requested > c.bounds.MaxTimeout {
		return 0, invalid(qfapi.HeaderTimeout, fmt.Sprintf("expected a duration such as 30s, at most %s", c.bounds.MaxTimeout))
	}
	return min(requested, timeout), nil
}

// serveService serves a call of a plain service.
func (c *CallerHandler) serveService(w http.ResponseWriter, r *http.Request) {
	request, err := c.parseService(w, r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	c.accept(w, r, request, qfapi.EventID{})
}

func (c *CallerHandler) parseService(w http.ResponseWriter, r *http.Request) (*qf.Request, error) {
	body, err := c.readBody(w, r)
	if err != nil {
		return nil, err
	}
	entry, err := c.findEntry(qf.EntryName(r.PathValue("entry")), qf.KindPlainService, "entry")
	if err != nil {
		return nil, err
	}
	request, err := c.newRequest(r, entry)
	if err != nil {
		return nil, err
	}
	request.Method = r.Method
	request.Path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	request.ContentType = r.Header.Get("Content-Type")
	request.Body = body
	request.Key, err = onceOnlyKey(r, entry, request)
	return request, err
}

// onceOnlyKey returns the idempotency key of a once-only call, which must have one. The
// key of a repeatable call is ignored.
func onceOnlyKey(r *http.Request, entry *qfcatalogue.Entry, request *qf.Request) (qf.IdempotencyKey, error) {
	if !entry.IsOnceOnly(request.Method, request.Path) {
		return "", nil
	}
	key := r.Header.Get(qfapi.HeaderIdempotencyKey)
	if key == "" || len(key) > maxIdentifierBytes {
		return "", invalid(qfapi.HeaderIdempotencyKey, fmt.Sprintf(
			"this call may not be repeated and needs a key of 1 to %d bytes", maxIdentifierBytes))
	}
	return qf.IdempotencyKey(key), nil
}
