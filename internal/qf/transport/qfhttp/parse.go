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

// invalid returns an error that names a wrong field.
func invalid(field, reason string) *qf.Error {
	return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepAccept, Field: field, Reason: reason, Ran: qf.RanNo}
}

// maxIdentifierBytes bounds names and keys that callers choose.
const maxIdentifierBytes = 200

// serveChat takes a chat completion request.
func (c *CallerHandler) serveChat(w http.ResponseWriter, r *http.Request) {
	request, err := c.parseChat(w, r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	from, err := resumePoint(r, request.ResumeText)
	if err != nil {
		writeError(w, err, request.ID)
		return
	}
	c.accept(w, r, request, from)
}

// accept asks the service to take the request and sends the answer.
func (c *CallerHandler) accept(w http.ResponseWriter, r *http.Request, request *qf.Request, from qfapi.EventID) {
	record, err := c.service.Accept(r.Context(), request)
	if err != nil {
		writeError(w, err, request.ID)
		return
	}
	c.answer(w, r, record, from)
}

func (c *CallerHandler) parseChat(w http.ResponseWriter, r *http.Request) (*qf.Request, error) {
	body, err := c.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var chat qfapi.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, malformed(err)
	}
	entry, err := c.entry(qf.EntryName(chat.Model), qf.KindModelEngine, "model")
	if err != nil {
		return nil, err
	}
	request, err := c.common(r, entry)
	if err != nil {
		return nil, err
	}
	request.Stream = chat.Stream
	request.MaxTokens, err = c.maxTokens(chat.MaxTokens)
	if err != nil {
		return nil, err
	}
	request.Messages, err = messagesOf(chat.Messages)
	if err != nil {
		return nil, err
	}
	request.PreviousNode = previousNode(r)
	request.ResumeText, err = resumeText(chat.Resume, request.MaxTokens)
	return request, err
}

// malformed names the field that a JSON decoder stumbled over.
func malformed(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, fmt.Sprintf("expected %s, not %s", wrongType.Type, wrongType.Value))
	}
	return invalid("body", "malformed JSON: "+err.Error())
}

func messagesOf(chat []qfapi.ChatMessage) ([]qf.Message, error) {
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

// defaultMaxTokens is the answer's length if the caller doesn't say.
const defaultMaxTokens = 64

func (c *CallerHandler) maxTokens(asked int) (int, error) {
	switch {
	case asked == 0:
		return min(defaultMaxTokens, c.bounds.MaxTokens), nil
	case asked < 0 || asked > c.bounds.MaxTokens:
		return 0, invalid("max_tokens", fmt.Sprintf("expected 1 to %d", c.bounds.MaxTokens))
	default:
		return asked, nil
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
		return nil, invalid("body", "the body was cut: "+err.Error())
	}
	return body, nil
}

func (c *CallerHandler) entry(name qf.EntryName, kind qf.EntryKind, field string) (*qfcatalogue.Entry, error) {
	entry := c.service.Entry(name)
	if entry == nil || entry.Kind != kind {
		return nil, &qf.Error{
			Code: qf.CodeUnknownEntry, Step: qf.StepAccept, Field: field, Ran: qf.RanNo,
			Reason: fmt.Sprintf("the catalogue has no entry %q of kind %s", name, kind),
		}
	}
	return entry, nil
}

// common reads what every request has in its headers.
func (c *CallerHandler) common(r *http.Request, entry *qfcatalogue.Entry) (*qf.Request, error) {
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
	timeout, err := c.timeout(r, entry)
	if err != nil {
		return nil, err
	}
	return &qf.Request{
		ID: qf.RequestID(id), Organisation: qf.Organisation(organisation), Entry: entry.Name,
		Kind: entry.Kind, Class: entry.Class, Deadline: c.service.Now().Add(timeout),
	}, nil
}

func (c *CallerHandler) timeout(r *http.Request, entry *qfcatalogue.Entry) (time.Duration, error) {
	timeout := c.bounds.DefaultTimeout
	if entry.Deadline > 0 {
		timeout = entry.Deadline.Value()
	}
	asked := r.Header.Get(qfapi.HeaderTimeout)
	if asked == "" {
		return timeout, nil
	}
	parsed, err := time.ParseDuration(asked)
	if err != nil || parsed <= 0 || parsed > c.bounds.MaxTimeout {
		return 0, invalid(qfapi.HeaderTimeout, fmt.Sprintf("expected a duration such as 30s, at most %s", c.bounds.MaxTimeout))
	}
	return min(parsed, timeout), nil
}

// serveService takes a call of a plain service.
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
	entry, err := c.entry(qf.EntryName(r.PathValue("entry")), qf.KindPlainService, "entry")
	if err != nil {
		return nil, err
	}
	request, err := c.common(r, entry)
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

// onceOnlyKey returns the key of a call that may not be repeated. Such a call
// needs one; a repeatable call ignores it.
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
