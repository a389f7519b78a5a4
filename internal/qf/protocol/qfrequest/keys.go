package qfrequest

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
)

// IntentResolver settles what an idempotency key stands for. It does the I/O of a
// once-only request before the request runs.
type IntentResolver struct {
	config IntentResolverConfig
}

// IntentResolverConfig holds what Keys works with. No field may be nil.
type IntentResolverConfig struct {
	Clock   qf.Clock
	Ledger  qf.Ledger
	Service qf.ServiceClient
	Self    qf.NodeID
	// IsInProgress reports whether the intent's owner lives and works on it.
	IsInProgress func(intent qf.Intent) bool
	// IsCurrent reports whether the endpoint still runs in the same incarnation.
	IsCurrent func(endpoint qf.Endpoint) bool
	// StatusTimeout bounds one question to an endpoint.
	StatusTimeout time.Duration
}

// NewIntentResolver returns a settler of keys.
func NewIntentResolver(config IntentResolverConfig) *IntentResolver {
	return &IntentResolver{config: config}
}

// OpenIntent plans the first attempt of a once-only request and records the intent to
// run it. The record may run exactly if the intent is fresh.
func (k *IntentResolver) OpenIntent(ctx context.Context, record *Record, choice qf.RouteChoice) (qf.Intent, error) {
	plan := PlannedStart{Choice: choice, Attempt: NewAttemptID(), IntentAt: k.config.Clock.Now()}
	intent, err := k.begin(ctx, record.Request, qf.PlannedAttempt{Attempt: plan.Attempt, Endpoint: choice.Endpoint})
	if err == nil && intent.State == qf.IntentFresh {
		plan.Intent = intent
		record.plan = &plan
	}
	return intent, err
}

// maxBegins bounds the tries to begin while other nodes change the key's row.
const maxBegins = 3

// begin records the intent to run the planned attempt or returns what is known of
// the key. An intent whose owner is lost, or whose outcome isn't known, is settled
// by asking its endpoint.
func (k *IntentResolver) begin(ctx context.Context, request *qf.Request, planned qf.PlannedAttempt) (qf.Intent, error) {
	for range maxBegins {
		intent, err := k.config.Ledger.RecordIntent(ctx, request, k.config.Self, planned)
		if err != nil {
			return qf.Intent{}, err
		}
		settled, err := k.settle(ctx, request, intent, planned)
		if err == nil {
			return settled, nil
		}
		if qf.CodeOf(err) != qf.CodeStaleOwnership {
			intent.State = qf.IntentUnknown // Nothing was started for this sending.
			return intent, nil
		}
	}
	return qf.Intent{State: qf.IntentRunning}, nil
}

// settle finds out what became of an earlier intent, if that is due.
func (k *IntentResolver) settle(ctx context.Context, request *qf.Request, intent qf.Intent, planned qf.PlannedAttempt) (qf.Intent, error) {
	switch {
	case intent.State != qf.IntentRunning && intent.State != qf.IntentUnknown:
		return intent, nil
	case intent.State == qf.IntentRunning && k.config.IsInProgress(intent):
		return intent, nil
	}
	result := k.status(ctx, intent)
	switch {
	case result.Certainty == qf.Done:
		// The answer holds even if the ledger can't take it at present.
		_ = k.config.Ledger.RecordOutcome(ctx, request, intent, qf.OutcomeAnswered, &result.Value)
		intent.State, intent.Answer = qf.IntentAnswered, &result.Value
		return intent, nil
	case result.Certainty == qf.NotDone:
		return k.config.Ledger.ReplaceIntent(ctx, request, intent, k.config.Self, planned)
	case qf.CodeOf(result.Err) == qf.CodeStillRunning:
		return intent, nil
	default:
		return k.giveUp(ctx, request, intent)
	}
}

func (k *IntentResolver) status(ctx context.Context, intent qf.Intent) qf.Result[qf.ServiceResponse] {
	ctx, cancel := limitedContext(ctx, k.config.Clock, k.config.StatusTimeout)
	defer cancel()
	return statusOfCurrent(ctx, k.config.Service, k.config.IsCurrent, intent.Planned)
}

// statusOfCurrent asks an endpoint what became of an attempt. One that was
// replaced may have forgotten what its predecessor ran, so its word counts for
// nothing.
func statusOfCurrent(ctx context.Context, service qf.ServiceClient, isCurrent func(qf.Endpoint) bool, planned qf.PlannedAttempt) qf.Result[qf.ServiceResponse] {
	if !isCurrent(planned.Endpoint) {
		return qf.UnknownFor[qf.ServiceResponse](qf.NewError(
			qf.CodeNoEndpoint, qf.StepStatus, string(planned.Endpoint.ID), "the endpoint is gone"))
	}
	return service.FetchStatus(ctx, planned.Endpoint, planned.Attempt)
}

// limitedContext returns a context that ends after a time of the timer service.
func limitedContext(parent context.Context, timer qf.Clock, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	s := timer.After(limit)
	go func() {
		defer s.Stop()
		select {
		case <-s.C():
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// giveUp records that an intent can't be told any more once its deadline passed.
// Until then its owner may come back.
func (k *IntentResolver) giveUp(ctx context.Context, request *qf.Request, intent qf.Intent) (qf.Intent, error) {
	if intent.State == qf.IntentRunning && k.config.Clock.Now().After(intent.Deadline) {
		if err := k.config.Ledger.RecordOutcome(ctx, request, intent, qf.OutcomeUnknown, nil); err != nil {
			return intent, err
		}
		intent.State = qf.IntentUnknown
	}
	return intent, nil
}
