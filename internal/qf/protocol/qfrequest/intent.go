package qfrequest

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
)

// IntentResolver records the intents of once-only requests and resolves earlier intents
// for the same idempotency key. It does the I/O of a once-only request before the
// request runs.
type IntentResolver struct {
	config IntentResolverConfig
}

// IntentResolverConfig holds the dependencies of an IntentResolver. No field may be nil.
type IntentResolverConfig struct {
	Clock   qf.Clock
	Ledger  qf.Ledger
	Service qf.ServiceClient
	Self    qf.NodeID
	// IsInProgress reports whether the intent's owner is alive and runs the request.
	IsInProgress func(intent qf.Intent) bool
	// IsCurrent reports whether the endpoint still runs with the same incarnation.
	IsCurrent func(endpoint qf.Endpoint) bool
	// StatusTimeout bounds one status query to an endpoint.
	StatusTimeout time.Duration
}

// NewIntentResolver returns an intent resolver.
func NewIntentResolver(config IntentResolverConfig) *IntentResolver {
	return &IntentResolver{config: config}
}

// OpenIntent plans the first attempt of a once-only request and records the intent to
// run it. The record may be run if, and only if, the returned intent is fresh.
func (k *IntentResolver) OpenIntent(ctx context.Context, record *Record, choice qf.RouteChoice) (qf.Intent, error) {
	plan := PlannedStart{Choice: choice, Attempt: NewAttemptID(), IntentAt: k.config.Clock.Now()}
	intent, err := k.recordIntent(ctx, record.Request, qf.PlannedAttempt{Attempt: plan.Attempt, Endpoint: choice.Endpoint})
	if err == nil && intent.State == qf.IntentFresh {
		plan.Intent = intent
		record.plan = &plan
	}
	return intent, err
}

// maxIntentTries bounds the tries to record an intent while other nodes change the
// key's row.
const maxIntentTries = 3

// recordIntent records the intent to run the planned attempt, or returns the intent that
// is already recorded for the key. An earlier intent whose owner is lost, or whose outcome
// is unknown, is resolved by querying its endpoint.
func (k *IntentResolver) recordIntent(ctx context.Context, request *qf.Request, planned qf.PlannedAttempt) (qf.Intent, error) {
	for range maxIntentTries {
		intent, err := k.config.Ledger.RecordIntent(ctx, request, k.config.Self, planned)
		if err != nil {
			return qf.Intent{}, err
		}
		resolved, err := k.resolve(ctx, request, intent, planned)
		if err == nil {
			return resolved, nil
		}
		if qf.CodeOf(err) != qf.CodeStaleOwnership {
			intent.State = qf.IntentUnknown // No attempt was started for this request.
			return intent, nil
		}
	}
	return qf.Intent{State: qf.IntentRunning}, nil
}

// resolve determines the state of an earlier intent, unless its owner still runs it.
func (k *IntentResolver) resolve(ctx context.Context, request *qf.Request, intent qf.Intent, planned qf.PlannedAttempt) (qf.Intent, error) {
	switch {
	case intent.State != qf.IntentRunning && intent.State != qf.IntentUnknown:
		return intent, nil
	case intent.State == qf.IntentRunning && k.config.IsInProgress(intent):
		return intent, nil
	}
	result := k.fetchStatus(ctx, intent)
	switch {
	case result.Certainty == qf.Done:
		// The answer is valid even if the ledger can't record it at present.
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

func (k *IntentResolver) fetchStatus(ctx context.Context, intent qf.Intent) qf.Result[qf.ServiceResponse] {
	ctx, cancel := contextWithTimeout(ctx, k.config.Clock, k.config.StatusTimeout)
	defer cancel()
	return fetchStatusIfCurrent(ctx, k.config.Service, k.config.IsCurrent, intent.Planned)
}

// fetchStatusIfCurrent queries an endpoint for the status of an attempt. An endpoint that
// was replaced since may have no record of what its predecessor ran, so its status would
// prove nothing and isn't queried.
func fetchStatusIfCurrent(ctx context.Context, service qf.ServiceClient, isCurrent func(qf.Endpoint) bool, planned qf.PlannedAttempt) qf.Result[qf.ServiceResponse] {
	if !isCurrent(planned.Endpoint) {
		return qf.UnknownFor[qf.ServiceResponse](qf.NewError(
			qf.CodeNoEndpoint, qf.StepStatus, string(planned.Endpoint.ID), "the endpoint is gone"))
	}
	return service.FetchStatus(ctx, planned.Endpoint, planned.Attempt)
}

// contextWithTimeout returns a context that is cancelled after a time on the clock.
func contextWithTimeout(parent context.Context, clock qf.Clock, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	s := clock.After(limit)
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

// giveUp records the outcome of an unresolved intent as unknown once its deadline has
// passed. Until then its owner may still record one.
func (k *IntentResolver) giveUp(ctx context.Context, request *qf.Request, intent qf.Intent) (qf.Intent, error) {
	if intent.State == qf.IntentRunning && k.config.Clock.Now().After(intent.Deadline) {
		if err := k.config.Ledger.RecordOutcome(ctx, request, intent, qf.OutcomeUnknown, nil); err != nil {
			return intent, err
		}
		intent.State = qf.IntentUnknown
	}
	return intent, nil
}
