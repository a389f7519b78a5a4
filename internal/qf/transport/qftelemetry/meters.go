package qftelemetry

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/metric"

	"quetzalfront/internal/qf"
)

// instruments are the node's own metrics, apart from those of libraries.
type instruments struct {
	meter         metric.Meter
	requests      metric.Int64Counter
	refusals      metric.Int64Counter
	attempts      metric.Int64Counter
	tokens        metric.Int64Counter
	recomputed    metric.Int64Counter
	handOvers     metric.Int64Counter
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	active        metric.Int64ObservableGauge
	revision      metric.Int64ObservableGauge
	endpoints     metric.Int64ObservableGauge
	nodes         metric.Int64ObservableGauge
}

// The bucket boundaries of the histograms, in seconds. They lie on both sides of the latency
// targets.
var (
	firstTokenBounds    = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30}
	betweenTokensBounds = []float64{0.002, 0.005, 0.01, 0.015, 0.02, 0.029, 0.04, 0.06, 0.1, 0.25, 1}
)

func newInstruments(m metric.Meter) (instruments, error) {
	i := instruments{meter: m}
	var errs [12]error
	i.requests, errs[0] = m.Int64Counter("quetzalfront.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Accepted requests that ended, by outcome."))
	i.refusals, errs[1] = m.Int64Counter("quetzalfront.refusals", metric.WithUnit("{request}"),
		metric.WithDescription("Requests that were not accepted, by error code."))
	i.attempts, errs[2] = m.Int64Counter("quetzalfront.attempts", metric.WithUnit("{attempt}"),
		metric.WithDescription("Attempts at endpoints that ended."))
	i.tokens, errs[3] = m.Int64Counter("quetzalfront.output_tokens", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens that endpoints generated."))
	i.recomputed, errs[4] = m.Int64Counter("quetzalfront.recomputed_tokens", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens that had to be computed again after a move or a retry."))
	i.handOvers, errs[5] = m.Int64Counter("quetzalfront.hand_overs", metric.WithUnit("{call}"),
		metric.WithDescription("Calls that handed requests over to a peer, by what is known of their effect."))
	i.firstToken, errs[6] = m.Float64Histogram("quetzalfront.attempt.time_to_first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from the start of an attempt to its first token."),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	i.betweenTokens, errs[7] = m.Float64Histogram("quetzalfront.attempt.time_per_output_token", metric.WithUnit("s"),
		metric.WithDescription("Mean time between the tokens of an attempt."),
		metric.WithExplicitBucketBoundaries(betweenTokensBounds...))
	i.active, errs[8] = m.Int64ObservableGauge("quetzalfront.active_requests", metric.WithUnit("{request}"),
		metric.WithDescription("Accepted requests in progress."))
	i.revision, errs[9] = m.Int64ObservableGauge("quetzalfront.catalogue.revision",
		metric.WithDescription("Catalogue revision in force."))
	i.endpoints, errs[10] = m.Int64ObservableGauge("quetzalfront.endpoints", metric.WithUnit("{endpoint}"),
		metric.WithDescription("Endpoints in the VM list, by entry."))
	i.nodes, errs[11] = m.Int64ObservableGauge("quetzalfront.nodes", metric.WithUnit("{node}"),
		metric.WithDescription("Entry nodes that this one knows, by state."))
	return i, errors.Join(errs[:]...)
}

// State holds the values of the gauges at the time of a scrape.
type State struct {
	Active    int
	Revision  qf.Revision
	Endpoints map[qf.EntryName]int
	Nodes     map[qf.NodeState]int
}

// ObserveState registers a function that returns the node's state at each scrape.
func (t *Telemetry) ObserveState(read func() State) error {
	_, err := t.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		state := read()
		o.ObserveInt64(t.active, int64(state.Active))
		o.ObserveInt64(t.revision, int64(state.Revision))
		for entry, count := range state.Endpoints {
			o.ObserveInt64(t.endpoints, int64(count), metric.WithAttributes(keyEntry.String(string(entry))))
		}
		for nodeState, count := range state.Nodes {
			o.ObserveInt64(t.nodes, int64(count), metric.WithAttributes(keyState.String(string(nodeState))))
		}
		return nil
	}, t.active, t.revision, t.endpoints, t.nodes)
	return err
}

// RecordRequest records the metrics of an accepted request that has ended. An empty outcome
// means that it was handed over.
func (t *Telemetry) RecordRequest(request *qf.Request, outcome qf.FinalOutcome, recomputed int) {
	ctx := context.Background()
	if outcome == "" {
		outcome = "HandedOver"
	}
	entry := keyEntry.String(string(request.Entry))
	t.requests.Add(ctx, 1, metric.WithAttributes(entry, keyOutcome.String(string(outcome))))
	if recomputed > 0 {
		t.recomputed.Add(ctx, int64(recomputed), metric.WithAttributes(entry))
	}
}

// RecordAttempt records the metrics of an attempt that has ended.
func (t *Telemetry) RecordAttempt(o *qf.Observation) {
	ctx := context.Background()
	version := metric.WithAttributes(keyEntry.String(string(o.Entry)), keyVersion.String(string(o.Version)))
	outcome := "Answered"
	if o.Failed {
		outcome = "Failed"
	}
	t.attempts.Add(ctx, 1, version, metric.WithAttributes(keyOutcome.String(outcome)))
	if o.Tokens > 0 {
		t.tokens.Add(ctx, int64(o.Tokens), version)
	}
	if o.FirstToken > 0 {
		t.firstToken.Record(ctx, o.FirstToken.Seconds(), version)
	}
	if o.BetweenToken > 0 {
		t.betweenTokens.Record(ctx, o.BetweenToken.Seconds(), version)
	}
}

func (t *Telemetry) recordRefusal(ctx context.Context, entry qf.EntryName, code qf.Code) {
	t.refusals.Add(ctx, 1, metric.WithAttributes(keyEntry.String(string(entry)), keyErrorType.String(string(code))))
}

func (t *Telemetry) recordHandOver(ctx context.Context, certainty qf.Certainty, taken int) {
	outcome := string(certainty)
	if certainty == qf.Done && taken == 0 {
		outcome = "Refused"
	}
	t.handOvers.Add(ctx, 1, metric.WithAttributes(keyOutcome.String(outcome)))
}
