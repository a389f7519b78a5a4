package qfhttp

import (
	"fmt"
	"net/http"
	"net/netip"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/pkg/qfapi"
)

// maxTokenBytes bounds one token that a caller sends back.
const maxTokenBytes = 1024

// resumeText returns the part of the answer that the caller sent back.
func resumeText(resume *qfapi.ChatResume, maxTokens int) ([]string, error) {
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

// resumePoint returns what the caller already has of the answer. If it sent text
// as well, the two must agree.
func resumePoint(r *http.Request, text []string) (qfapi.EventID, error) {
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

// previousNode returns the address that the caller lost, or the zero address. It
// only saves work; one that can't be read is no reason to refuse.
func previousNode(r *http.Request) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.Header.Get(qfapi.HeaderPreviousNode))
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// begin checks that the record's answer continues what the caller has, and sends
// the error or the redirection if it doesn't. It completes from with the checksum.
func begin(w http.ResponseWriter, record *qfrequest.Record, progress *qfrequest.Progress, from *qfapi.EventID) bool {
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
		writeError(w, otherAnswer("the answer is shorter than that"), id)
		return false
	}
	have := qfapi.EventIDOf(text[:min(from.Tokens, len(text))])
	if from.HasSum && from.Tokens == have.Tokens && *from != have {
		writeError(w, otherAnswer("the answer was generated anew and differs from what the caller has"), id)
		return false
	}
	*from = have
	return true
}

// otherAnswer refuses to continue an answer with the text of another one.
func otherAnswer(reason string) error {
	return &qf.Error{
		Code: qf.CodeConflict, Step: qf.StepResume, Field: qfapi.HeaderLastEventID, Ran: qf.RanYes,
		Reason: reason + "; ask without " + qfapi.HeaderLastEventID + " for the whole answer",
	}
}
