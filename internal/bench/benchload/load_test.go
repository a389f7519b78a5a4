package benchload

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

var valid = Options{
	Target: netip.MustParseAddrPort("127.0.0.1:7001"), Entry: "assistant", Rate: 100, Requests: 10_000,
	Duration: time.Minute, Timeout: time.Second, MaxTokens: 1, Prompts: 1, PromptWords: 1,
	FirstTokenTarget: time.Second, BetweenTokenTarget: 20 * time.Millisecond, Seed: 7, Timer: qftimer.NewWall(),
}

func validWith(change func(o *Options)) Options {
	o := valid
	change(&o)
	return o
}

// TestInvalidOptionsAreRejected catches options that would send load to another host or
// without a bound.
func TestInvalidOptionsAreRejected(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		field   string
	}{
		{"valid", valid, ""},
		{"IPv6 loopback", validWith(func(o *Options) { o.Target = netip.MustParseAddrPort("[::1]:1") }), ""},
		{"another host", validWith(func(o *Options) { o.Target = netip.MustParseAddrPort("10.0.0.1:7001") }), "Target"},
		{"every host", validWith(func(o *Options) { o.Target = netip.MustParseAddrPort("0.0.0.0:7001") }), "Target"},
		{"no target", validWith(func(o *Options) { o.Target = netip.AddrPort{} }), "Target"},
		{"no rate", validWith(func(o *Options) { o.Rate = 0 }), "Rate"},
		{"too many requests", validWith(func(o *Options) { o.Requests = MaxRequests + 1 }), "Requests"},
		{"too long", validWith(func(o *Options) { o.Duration = MaxDuration + 1 }), "Duration"},
		{"no timeout", validWith(func(o *Options) { o.Timeout = 0 }), "Timeout"},
		{"no tokens", validWith(func(o *Options) { o.MaxTokens = 0 }), "MaxTokens"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, runErr := Run(cancelledContext(t), test.options)
			var e *qf.Error
			got := ""
			if errors.As(runErr, &e) {
				got = e.Field
			}
			if got != test.field {
				t.Errorf("error %v, want field %q", runErr, test.field)
			}
		})
	}
	_, err := dialLoopback(t.Context(), "tcp", "10.0.0.1:80")
	if qf.CodeOf(err) != qf.CodeForbidden {
		t.Errorf("dial of another host: error %v, want Forbidden", err)
	}
}

// TestArrivalsFollowTheSeed catches a schedule that differs between runs with one seed,
// doesn't depend on the seed, or misses the rate or the bounds.
func TestArrivalsFollowTheSeed(t *testing.T) {
	first, again := valid.Arrivals(), valid.Arrivals()
	if !reflect.DeepEqual(first, again) {
		t.Error("the same seed gave different schedules")
	}
	if other := validWith(func(o *Options) { o.Seed++ }); reflect.DeepEqual(first, other.Arrivals()) {
		t.Error("different seeds gave the same schedule")
	}
	// 6,000 arrivals are expected in a minute; four standard deviations are 310.
	if deviation := math.Abs(float64(len(first)) - 6000); deviation > 310 || first[len(first)-1] > valid.Duration {
		t.Errorf("%d arrivals until %s", len(first), first[len(first)-1])
	}
	if few := validWith(func(o *Options) { o.Requests = 5 }); len(few.Arrivals()) != 5 {
		t.Error("the number of arrivals exceeds Requests")
	}
}

// TestReportCountsEachRequestOnce catches a request that is missing from the report or
// counted under the wrong outcome, and wrong rates and latencies.
func TestReportCountsEachRequestOnce(t *testing.T) {
	start := time.Unix(100, 0)
	answered := func(first, gap time.Duration) *outcome {
		o := &outcome{arrival: start}
		for i := range 11 {
			o.recordToken(start.Add(first + time.Duration(i)*gap))
		}
		return o
	}
	failed := func(ran qf.Ran) *outcome {
		return &outcome{arrival: start, err: &qf.Error{Code: qf.CodeOverloaded, Ran: ran}}
	}
	r := newRecorder()
	for _, o := range []*outcome{
		answered(500*time.Millisecond, 10*time.Millisecond), answered(2*time.Second, 10*time.Millisecond),
		answered(500*time.Millisecond, 30*time.Millisecond), failed(qf.RanNo), failed(qf.RanUnknown),
		{arrival: start, err: errors.New("anything else")},
	} {
		r.recordOutcome(o)
	}
	r.recordNotSent()
	got := r.report(&valid, 2*time.Second)
	if got.Sent != 6 || got.Answered != 3 || got.NotRun != 1 || got.Unknown != 2 || got.NotSent != 1 || got.Tokens != 33 {
		t.Errorf("counts %+v", got)
	}
	if got.Goodput != 0.5 || got.RequestsPerSecond != 1.5 || got.NotRunByCode["Overloaded"] != 1 {
		t.Errorf("rates %+v", got)
	}
	if got.FirstToken.Count != 3 || got.BetweenTokens.Count != 30 || !isAbout(got.FirstToken.P50, 500*time.Millisecond) ||
		!isAbout(got.BetweenTokens.P99, 30*time.Millisecond) {
		t.Errorf("latencies %+v, %+v", got.FirstToken, got.BetweenTokens)
	}
}

// isAbout reports whether two times are equal within the precision of the histograms.
func isAbout(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= float64(want)/500
}

// cancelledContext returns a context that has ended, so that valid options send nothing.
func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
