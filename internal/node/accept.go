package node

import (
	"bytes"
	"context"
	"errors"
	"reflect"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qftelemetry"
)

// Accept accepts a request or refuses it. A request is accepted once its record is in
// the node's store. Every error before that carries RanNo, unless an earlier request
// with the same key ran.
func (n *Node) Accept(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	if record, err := n.findRepeated(request); record != nil || err != nil {
		return record, err
	}
	if n.Phase() == PhaseDraining {
		return nil, n.refuseRequest(request, qf.CodeLeaving, "the node is stopping; use another node")
	}
	if err := n.admitRequest(request); err != nil {
		return nil, err
	}
	record, err := n.acceptAdmitted(ctx, request)
	if err != nil {
		n.releaseRequest(request, 0)
		return nil, err
	}
	return record, nil
}

// findRepeated returns the record of a request that this node accepted before, or nil.
func (n *Node) findRepeated(request *qf.Request) (*qfrequest.Record, error) {
	record := n.records.Get(request.ID)
	if record == nil {
		return nil, nil
	}
	if !isSameRequest(record.Request, request) {
		err := qf.NewError(qf.CodeKeyReused, qf.StepAccept, "", "the identifier belongs to another request")
		err.Field = "Qf-Request-Id"
		err.Ran = qf.RanNo
		return nil, err
	}
	if isOutdated(record, request) {
		return nil, nil
	}
	return record, nil
}

// isOutdated reports whether a record can't continue the text that the caller already
// has: its text differs, or it redirects to the node that the caller has just lost. The
// caller's text takes precedence, so that every repeat makes progress.
func isOutdated(record *qfrequest.Record, request *qf.Request) bool {
	progress := record.FullProgress()
	if progress.Moved != nil {
		return request.PreviousNode.IsValid() && progress.Moved.Node.CallerAddress == request.PreviousNode
	}
	for i := range min(len(progress.Text), len(request.ResumeText)) {
		if progress.Text[i] != request.ResumeText[i] {
			return true
		}
	}
	return false
}

// isSameRequest reports whether two requests with the same identifier have the same content.
func isSameRequest(a, b *qf.Request) bool {
	return a.Organisation == b.Organisation && a.Entry == b.Entry && a.Key == b.Key &&
		a.Method == b.Method && a.Path == b.Path && bytes.Equal(a.Body, b.Body) &&
		a.MaxTokens == b.MaxTokens && reflect.DeepEqual(a.Messages, b.Messages)
}

// refusalRetryAfter is the delay that callers are advised to wait after a refusal.
const refusalRetryAfter = time.Second

// refuseRequest logs a refusal and returns its error, with RanNo.
func (n *Node) refuseRequest(request *qf.Request, code qf.Code, reason string) error {
	qfevent.RequestRefused.Log(&n.platform.Logger, request.Entry, reason)
	return &qf.Error{
		Code: code, Step: qf.StepAccept, Peer: n.settings.Node.ID, Reason: reason,
		Ran: qf.RanNo, RetryAfter: refusalRetryAfter,
	}
}

// admitRequest asks the limiter to admit the request.
func (n *Node) admitRequest(request *qf.Request) error {
	now := n.now()
	route := n.routeQuery(now, request, 0, nil)
	n.mu.Lock()
	query := qf.AdmitQuery{
		Now: now, Request: request, InProgress: n.records.InProgress(),
		Tokens: route.PromptTokens + request.MaxTokens,
	}
	n.addPrediction(&query, route)
	admission := n.limiter.AdmitRequest(query)
	if admission.Admitted {
		n.budget.CountRequest(n.now(), request)
	}
	n.mu.Unlock()
	if admission.Admitted {
		return nil
	}
	qfevent.RequestRefused.Log(&n.platform.Logger, request.Entry, admission.Reason.Rule)
	return &qf.Error{
		Code: admission.Code, Step: qf.StepAccept, Peer: n.settings.Node.ID, Reason: admission.Reason.Rule,
		Ran: qf.RanNo, RetryAfter: admission.RetryAfter,
	}
}

// releaseRequest returns a request's share of the limits; tokens is the length of its
// answer.
func (n *Node) releaseRequest(request *qf.Request, tokens int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.ReleaseRequest(n.now(), request, tokens)
	n.recordSuspectEnd(request.ID)
}

// acceptAdmitted creates the record of an admitted request and runs it.
func (n *Node) acceptAdmitted(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	record := qfrequest.NewRecord(request, n.settings.Request.MaxAttempts)
	if old := n.records.Get(request.ID); old != nil {
		record.RaiseGeneration(old.Generation() + 1)
		old.Supersede(n.now(), n.Self(), record.Generation())
	}
	if !request.OnceOnly() {
		return record, n.startRecord(record)
	}
	return n.acceptOnceOnly(ctx, record)
}

// acceptOnceOnly chooses the first attempt's endpoint, records the intent in the ledger
// and only then accepts the request.
func (n *Node) acceptOnceOnly(ctx context.Context, record *qfrequest.Record) (*qfrequest.Record, error) {
	request := record.Request
	choice, err := n.ChooseEndpoint(n.now(), request, 0, nil)
	if err != nil {
		return n.answerWithoutEndpoint(ctx, record, err)
	}
	n.openingIntents.Store(request.ID, true)
	defer n.openingIntents.Delete(request.ID)
	intent, err := n.intentResolver.OpenIntent(ctx, record, choice)
	if err != nil {
		return nil, err
	}
	if intent.State != qf.IntentFresh {
		return n.answerFromIntent(record, intent)
	}
	if err := n.startRecord(record); err != nil {
		_ = n.platform.Ledger.RecordOutcome(ctx, request, intent, qf.OutcomeNotRun, nil) // On failure the ledger treats the intent as abandoned.
		return nil, err
	}
	return record, nil
}

// answerWithoutEndpoint answers a once-only request for which no endpoint can be
// chosen: from the recorded intent if the key was used before, otherwise as not run.
func (n *Node) answerWithoutEndpoint(ctx context.Context, record *qfrequest.Record, cause error) (*qfrequest.Record, error) {
	request := record.Request
	intent, err := n.intentResolver.OpenIntent(ctx, record, qf.RouteChoice{})
	if err != nil {
		return nil, err
	}
	if intent.State != qf.IntentFresh {
		return n.answerFromIntent(record, intent)
	}
	_ = n.platform.Ledger.RecordOutcome(ctx, request, intent, qf.OutcomeNotRun, nil) // On failure the ledger treats the intent as abandoned.
	var refused *qf.Error
	if errors.As(cause, &refused) && refused.RetryAfter > 0 {
		return nil, refused
	}
	code := qf.CodeNoEndpoint
	if !errors.Is(cause, &qf.Error{Code: code}) {
		code = qf.CodeOverloaded
	}
	return nil, n.refuseRequest(request, code, cause.Error())
}

// isInProgress reports whether the owner of an intent is live and still works on it.
func (n *Node) isInProgress(intent qf.Intent) bool {
	if string(intent.Owner) == n.settings.Node.ID {
		_, isOpening := n.openingIntents.Load(intent.Request)
		return isOpening || n.records.Get(intent.Request) != nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range n.membership.Peers(n.now()) {
		if peer.ID == intent.Owner {
			return peer.State == qf.NodeLive || peer.State == qf.NodeLeaving
		}
	}
	return false
}

// isCurrent reports whether an endpoint is still listed with the same incarnation and
// address.
func (n *Node) isCurrent(endpoint qf.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.endpoints {
		e := &n.endpoints[i]
		if e.ID == endpoint.ID && e.Incarnation == endpoint.Incarnation && e.Address == endpoint.Address {
			return true
		}
	}
	return false
}

// answerFromIntent answers a once-only request whose key was used before.
func (n *Node) answerFromIntent(record *qfrequest.Record, intent qf.Intent) (*qfrequest.Record, error) {
	switch intent.State {
	case qf.IntentAnswered:
		n.releaseRequest(record.Request, 0)
		record.CompleteWith(n.now(), intent.Answer)
		return record, nil
	case qf.IntentKeyReused:
		err := qf.NewError(qf.CodeKeyReused, qf.StepIntent, "", "the key was used with another request")
		err.Field = "Idempotency-Key"
		err.Ran = qf.RanNo
		return nil, err
	case qf.IntentUnknown:
		err := qf.NewError(qf.CodeBroken, qf.StepIntent, string(intent.Owner), "the request may have run; its outcome is unknown")
		err.Ran = qf.RanUnknown
		err.RetryAfter = refusalRetryAfter
		return nil, err
	default:
		if running := n.records.Get(intent.Request); running != nil {
			n.releaseRequest(record.Request, 0)
			return running, nil
		}
		err := qf.NewError(qf.CodeStillRunning, qf.StepIntent, string(intent.Owner), "the request is still running")
		err.Ran = qf.RanUnknown
		err.RetryAfter = refusalRetryAfter
		return nil, err
	}
}

// startRecord adds the record to the store and runs it.
func (n *Node) startRecord(record *qfrequest.Record) error {
	if err := n.records.Add(record); err != nil {
		return err
	}
	n.runRecord(record, true)
	if record.Request.PreviousNode.IsValid() || len(record.FullProgress().Text) > 0 {
		n.stopPreviousOwners(record)
	}
	return nil
}

// runRecord runs a record in the background. isCounted means that the limiter counts the
// request, so that its end is reported to it.
func (n *Node) runRecord(record *qfrequest.Record, isCounted bool) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		n.runner.Run(qftelemetry.ContextWithTraceParent(n.ctx, record.Request.TraceParent), record)
		n.records.MarkEnded()
		progress := record.FullProgress()
		if isCounted {
			n.releaseRequest(record.Request, len(progress.Text))
		}
		n.telemetry.RecordRequest(record.Request, progress.Outcome, record.Recomputed())
		n.logOutcome(record, &progress)
		if progress.Outcome == qf.OutcomeAnswered {
			n.clearSuspicion(record.Request)
		}
		n.runner.RecordPendingOutcome(n.ctx, record)
	}()
}

func (n *Node) logOutcome(record *qfrequest.Record, progress *qfrequest.Progress) {
	r := record.Request
	if progress.Outcome == qf.OutcomeUnknown {
		qfevent.RequestUnknown.Log(&n.platform.Logger, r.ID, r.Entry, error(progress.Err))
		return
	}
	qfevent.RequestEnded.Log(&n.platform.Logger, r.ID, r.Entry, progress.Outcome)
}
