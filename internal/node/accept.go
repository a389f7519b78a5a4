package node

import (
	"bytes"
	"context"
	"reflect"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// Accept takes a request or refuses it. The request is accepted at the moment at
// which its record is in the node's store; every error before that carries RanNo
// unless an earlier request with the same key ran.
func (n *Node) Accept(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	if record, err := n.repeated(request); record != nil || err != nil {
		return record, err
	}
	if n.Phase() == PhaseDraining {
		return nil, n.refuse(request, qf.CodeLeaving, "the node is stopping; ask another one")
	}
	if err := n.admit(request); err != nil {
		return nil, err
	}
	record, err := n.record(ctx, request)
	if err != nil {
		n.release(request, 0)
		return nil, err
	}
	return record, nil
}

// repeated returns the record of a request that was sent here before.
func (n *Node) repeated(request *qf.Request) (*qfrequest.Record, error) {
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
	return record, nil
}

func isSameRequest(a, b *qf.Request) bool {
	return a.Organisation == b.Organisation && a.Entry == b.Entry && a.Key == b.Key &&
		a.Method == b.Method && a.Path == b.Path && bytes.Equal(a.Body, b.Body) &&
		a.MaxTokens == b.MaxTokens && reflect.DeepEqual(a.Messages, b.Messages)
}

const refusedRetryAfter = time.Second

func (n *Node) refuse(request *qf.Request, code qf.Code, reason string) error {
	qfevent.RequestRefused.Log(&n.platform.Logger, request.Entry, reason)
	return &qf.Error{
		Code: code, Step: qf.StepAccept, Peer: n.settings.Node.ID, Reason: reason,
		Ran: qf.RanNo, RetryAfter: refusedRetryAfter,
	}
}

// admit asks the limiter.
func (n *Node) admit(request *qf.Request) error {
	now := n.now()
	route := n.routeQuery(now, request, 0, nil)
	n.mu.Lock()
	query := qf.AdmitQuery{
		Now: now, Request: request, InProgress: n.records.InProgress(),
		Tokens: route.PromptTokens + request.MaxTokens,
	}
	n.predict(&query, route)
	admission := n.limiter.Admit(query)
	if admission.Admitted {
		n.budget.Accepted(request)
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

func (n *Node) release(request *qf.Request, tokens int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.Released(n.now(), request, tokens)
}

// record accepts an admitted request and runs it.
func (n *Node) record(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	record := qfrequest.NewRecord(request, n.settings.Request.MaxAttempts)
	if !request.OnceOnly() {
		return record, n.start(record)
	}
	intent, err := n.platform.Ledger.Begin(ctx, request, qf.NodeID(n.settings.Node.ID))
	if err != nil {
		return nil, err
	}
	if intent.State != qf.IntentFresh {
		return n.earlier(record, intent)
	}
	record.SetIntent(intent)
	if err := n.start(record); err != nil {
		_ = n.platform.Ledger.Finish(ctx, request, intent, qf.OutcomeNotRun, nil) // The intent stays if this fails.
		return nil, err
	}
	return record, nil
}

// earlier answers a once-only request whose key was used before.
func (n *Node) earlier(record *qfrequest.Record, intent qf.Intent) (*qfrequest.Record, error) {
	switch intent.State {
	case qf.IntentAnswered:
		n.release(record.Request, 0)
		record.SettleWith(n.now(), intent.Answer)
		return record, nil
	case qf.IntentReused:
		err := qf.NewError(qf.CodeKeyReused, qf.StepIntent, "", "the key was used with another request")
		err.Field = "Idempotency-Key"
		err.Ran = qf.RanNo
		return nil, err
	case qf.IntentUnknown:
		err := qf.NewError(qf.CodeBroken, qf.StepIntent, string(intent.Owner), "the request may have run; its outcome is unknown")
		err.Ran = qf.RanUnknown
		return nil, err
	default:
		if running := n.records.Get(intent.Request); running != nil {
			n.release(record.Request, 0)
			return running, nil
		}
		err := qf.NewError(qf.CodeStillRunning, qf.StepIntent, string(intent.Owner), "the request is still running")
		err.Ran = qf.RanUnknown
		err.RetryAfter = refusedRetryAfter
		return nil, err
	}
}

// start puts the record into the store and runs it.
func (n *Node) start(record *qfrequest.Record) error {
	if err := n.records.Add(record); err != nil {
		return err
	}
	n.run(record)
	return nil
}

func (n *Node) run(record *qfrequest.Record) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		n.runner.Run(n.ctx, record)
		n.records.Ended()
		progress := record.Progress(0)
		n.release(record.Request, len(progress.Text))
		n.logEnd(record, &progress)
	}()
}

func (n *Node) logEnd(record *qfrequest.Record, progress *qfrequest.Progress) {
	r := record.Request
	if progress.Outcome == qf.OutcomeUnknown {
		qfevent.RequestUnknown.Log(&n.platform.Logger, r.ID, r.Entry, error(progress.Err))
		return
	}
	qfevent.RequestEnded.Log(&n.platform.Logger, r.ID, r.Entry, progress.Outcome)
}

// Find returns a record that the node has, or an error with CodeNotFound or
// CodeMoved.
func (n *Node) Find(_ context.Context, id qf.RequestID) (*qfrequest.Record, error) {
	record := n.records.Get(id)
	if record == nil {
		return nil, qf.NewError(qf.CodeNotFound, qf.StepResume, n.settings.Node.ID, "the request isn't known here")
	}
	return record, nil
}
