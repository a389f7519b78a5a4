package qftelemetry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfforward"
)

// The attribute keys of forwarded requests. The route isn't among them: routes are
// added and removed by the hundred, so their names would create too many time series.
const (
	keyKind   = attribute.Key("kind")
	keyStatus = attribute.Key("status")
	keyEnd    = attribute.Key("end")
	keyName   = attribute.Key("name")
	keySource = attribute.Key("source")
	keyLimit  = attribute.Key("limit")
	keyAction = attribute.Key("action")
)

// forwardInstruments are the instruments of forwarded requests.
type forwardInstruments struct {
	forwarded   metric.Int64Counter
	forwardEnds metric.Int64Counter
	firstByte   metric.Float64Histogram
	took        metric.Float64Histogram
	// restores counts how often the platform's store came back from an older copy.
	restores metric.Int64Counter
	// transfers counts reads of feeds and configurations, transferBytes the bytes of their rows.
	transfers     metric.Int64Counter
	transferBytes metric.Int64Counter
	// platformCalls counts the calls to the platform.
	platformCalls metric.Int64Counter
	// lateness is how late the node came to work that was due.
	lateness metric.Float64Histogram
	// limits counts the limits that clients reached.
	limits metric.Int64Counter
}

func newForwardInstruments(m metric.Meter) (forwardInstruments, error) {
	var i forwardInstruments
	var errs [10]error
	i.forwarded, errs[0] = m.Int64Counter("quetzalfront.forward.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Forwarded requests that ended, by kind of route and status."))
	i.forwardEnds, errs[1] = m.Int64Counter("quetzalfront.forward.attempts", metric.WithUnit("{attempt}"),
		metric.WithDescription("Attempts of forwarded requests, by how they ended."))
	i.firstByte, errs[2] = m.Float64Histogram("quetzalfront.forward.time_to_first_byte", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the first byte of its answer."),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	i.took, errs[3] = m.Float64Histogram("quetzalfront.forward.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the end of its answer."),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	i.restores, errs[4] = m.Int64Counter("quetzalfront.store.restores", metric.WithUnit("{restore}"),
		metric.WithDescription("Times the platform's store came back from an older copy, as seen by this node."))
	i.transfers, errs[5] = m.Int64Counter("quetzalfront.feed.reads", metric.WithUnit("{read}"),
		metric.WithDescription("Reads of feeds and configurations that ended, by source and outcome."))
	i.transferBytes, errs[6] = m.Int64Counter("quetzalfront.feed.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the rows of feeds and of configurations that were read, by source."))
	i.platformCalls, errs[7] = m.Int64Counter("quetzalfront.platform.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the platform's store and API, by what they read or write."))
	i.lateness, errs[8] = m.Float64Histogram("quetzalfront.node.lateness", metric.WithUnit("s"),
		metric.WithDescription("How late the node came to work that was due, five times a second."),
		metric.WithExplicitBucketBoundaries(latenessBounds...))
	i.limits, errs[9] = m.Int64Counter("quetzalfront.clients.limited", metric.WithUnit("{client}"),
		metric.WithDescription("Connections that were closed, and clients that were refused, for a limit on what they make the node hold."))
	return i, errors.Join(errs[:]...)
}

// latenessBounds are the bounds of the histogram of lateness, in seconds.
var latenessBounds = []float64{0.01, 0.05, 0.25, 0.5, 1, 2}

// RecordLateness records how late the node came to work that was due.
func (t *Telemetry) RecordLateness(late time.Duration) {
	t.lateness.Record(context.Background(), late.Seconds())
}

// RecordLimit counts a limit that a client reached, and what was done.
func (t *Telemetry) RecordLimit(limit, action string) {
	t.limits.Add(context.Background(), 1, metric.WithAttributes(keyLimit.String(limit), keyAction.String(action)))
}

// RecordPlatformCall counts a call to the platform. The name says what it reads or writes.
func (t *Telemetry) RecordPlatformCall(name string) {
	t.platformCalls.Add(context.Background(), 1, metric.WithAttributes(keyName.String(name)))
}

// RecordTransfer counts a read of a feed or of a configuration. The name is the feed's.
func (t *Telemetry) RecordTransfer(name, source string, outcome qf.Certainty, bytes int) {
	ctx := context.Background()
	from := metric.WithAttributes(keyName.String(name), keySource.String(source))
	t.transfers.Add(ctx, 1, from, metric.WithAttributes(keyOutcome.String(string(outcome))))
	if bytes > 0 {
		t.transferBytes.Add(ctx, int64(bytes), from)
	}
}

// RecordStoreRestore counts one return of the platform's store from an older copy.
func (t *Telemetry) RecordStoreRestore() { t.restores.Add(context.Background(), 1) }

// RecordForwarded records the metrics of a forwarded request that has ended.
func (t *Telemetry) RecordForwarded(o *qfforward.Outcome) {
	ctx := context.Background()
	kind := keyKind.String(string(o.Kind))
	t.forwarded.Add(ctx, 1, metric.WithAttributes(kind, keyStatus.Int(o.Status)))
	for i := range o.Attempts {
		t.forwardEnds.Add(ctx, 1, metric.WithAttributes(kind, keyEnd.String(string(o.Attempts[i].End))))
	}
	if o.First > 0 {
		t.firstByte.Record(ctx, o.First.Seconds(), metric.WithAttributes(kind))
	}
	t.took.Record(ctx, o.Took.Seconds(), metric.WithAttributes(kind))
}
