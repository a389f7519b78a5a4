package qfhttp

import (
	"fmt"
	"net/http"
	"net/netip"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/pkg/qfapi"
)

// maxTokenBytes bounds one token of the text that a caller sends to resume an answer.
const maxTokenBytes = 1024

// parseResumeText returns the part of the answer that the caller sent to resume it.
func parseResumeText(resume *qfapi.ChatResume, maxTokens int) ([]string, error) {
	if resume == nil {
		return nil, nil
	}
	if len(resume.Tokens) > maxTokens {
		return nil, invalid("resume.tokens", fmt.Sprintf("expected at most max_tokens (%d) tokens", maxTokens))
	}
	for i, token := range resume.Tokens {
		if token == "" || len(token) > maxTokenBytes {
			return nil, invalid(fmt.Sprintf("resume.tokens[%d]", i), fmt.Sprintf("expected 1 to %d bytes", maxTokenBytes))
		}
	}
	return resume.Tokens, nil
}

// parseResumePoint returns the last event of the answer that the caller received. If the
// caller sent the text as well, the two must agree.
func parseResumePoint(r *http.Request, text []string) (qfapi.EventID, error) {
	last := r.Header.Get(qfapi.HeaderLastEventID)
	if last == "" {
		return qfapi.EventIDOf(text), nil
	}
	from, err := qfapi.ParseEventID(last)
	if err != nil {
		return from, invalid(qfapi.HeaderLastEventID, err.Error())
	}
	sent := qfapi.EventIDOf(text)
	if len(text) > 0 && (from.Tokens != sent.Tokens || from.HasSum && from != sent) {
		return from, invalid("resume.tokens", "expected the text up to the event "+last)
	}
	return from, nil
}

// previousNode returns the address of the node whose connection the caller lost, or the
// zero address. The address is only a hint that saves work, so a malformed one isn't an
// error.
func previousNode(r *http.Request) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.Header.Get(qfapi.HeaderPreviousNode))
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// checkResumePoint reports whether the record's answer continues the text that the caller
// has. If it doesn't, checkResumePoint sends the error or the redirect. It sets from to the
// resume point with its checksum.
func checkResumePoint(w http.ResponseWriter, record *qfrequest.Record, progress *qfrequest.Progress, from *qfapi.EventID) bool {
	id := record.Request.ID
	text := record.Progress(0).Text
	switch {
	case len(progress.Text) == 0 && progress.Moved != nil:
		redirect(w, id, progress.Moved, *from)
		return false
	case len(progress.Text) == 0 && progress.Err != nil && from.Tokens == 0:
		writeError(w, progress.Err, id)
		return false
	case len(text) < from.Tokens && progress.Err == nil:
		writeError(w, resumeConflict("the answer ends before that event"), id)
		return false
	}
	point := qfapi.EventIDOf(text[:min(from.Tokens, len(text))])
	if from.HasSum && from.Tokens == point.Tokens && *from != point {
		writeError(w, resumeConflict("the answer was generated again and differs from the text that the caller has"), id)
		return false
	}
	*from = point
	return true
}

// resumeConflict returns the error for a caller whose text isn't a prefix of the answer.
func resumeConflict(reason string) error {
	return &qf.Error{
		Code: qf.CodeConflict, Step: qf.StepResume, Field: qfapi.HeaderLastEventID, Ran: qf.RanYes,
		Reason: reason + "; retry without " + qfapi.HeaderLastEventID + " for the whole answer",
	}
}
