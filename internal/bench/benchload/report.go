package benchload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalfront/internal/qf"
)

// outcome is the result of one request.
type outcome struct {
	arrival time.Time
	// first and last are the times of the first and the last token.
	first, last time.Time
	// gaps holds the times between successive tokens.
	gaps    []time.Duration
	tokens  int
	resumed int
	err     error
}

// recordToken records the arrival of a token.
func (o *outcome) recordToken(at time.Time) {
	if o.tokens == 0 {
		o.first = at
	} else {
		o.gaps = append(o.gaps, at.Sub(o.last))
	}
	o.last = at
	o.tokens++
}

// The range of the histograms and the precision of their values.
const (
	minLatency        = time.Microsecond
	maxLatency        = MaxDuration
	significantDigits = 3
)

// recorder collects outcomes. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	outcomes []*outcome
	unsent   int
}

func newRecorder() *recorder { return &recorder{} }

// recordNotSent counts an arrival that wasn't sent because of maxInFlight.
func (r *recorder) recordNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *recorder) recordOutcome(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Quantiles are the quantiles of a latency.
type Quantiles struct {
	Count               int64
	P50, P95, P99, P999 time.Duration
	Max                 time.Duration
}

// Report holds the measurements of a run.
type Report struct {
	Seed uint64
	// Sent counts the requests. Each is counted in exactly one of Answered, NotRun and
	// Unknown. NotSent counts the arrivals above the generator's own maxInFlight.
	Sent, Answered, NotRun, Unknown, NotSent int
	// NotRunByCode counts the requests that weren't run by their error code.
	NotRunByCode map[string]int
	// Resumed counts how often an answer was resumed over another connection.
	Resumed int
	Tokens  int
	Took    time.Duration
	// RequestsPerSecond and TokensPerSecond count complete answers, Goodput complete
	// answers within both latency targets.
	RequestsPerSecond, TokensPerSecond, Goodput float64
	FirstToken, BetweenTokens                   Quantiles
	// Recomputed and Cost come from the nodes' operator addresses. They are nil if none
	// were given.
	Recomputed *int     `json:",omitempty"`
	Cost       *float64 `json:",omitempty"`
}

// report summarises the outcomes of a run that took the given time.
func (r *recorder) report(options *Options, took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Seed: options.Seed, Sent: len(r.outcomes), NotSent: r.unsent, NotRunByCode: map[string]int{}, Took: took}
	first, between := newHistogram(), newHistogram()
	withinTargets := 0
	for _, o := range r.outcomes {
		report.Resumed += o.resumed
		switch {
		case o.err == nil:
			report.Answered++
			report.Tokens += o.tokens
			if o.meetsTargets(options) {
				withinTargets++
			}
		case qf.RanOf(o.err) == qf.RanNo:
			report.NotRun++
			report.NotRunByCode[string(qf.CodeOf(o.err))]++
		default:
			report.Unknown++
		}
		if o.tokens > 0 {
			recordLatency(first, o.first.Sub(o.arrival))
		}
		for _, gap := range o.gaps {
			recordLatency(between, gap)
		}
	}
	seconds := took.Seconds()
	report.RequestsPerSecond = float64(report.Answered) / seconds
	report.TokensPerSecond = float64(report.Tokens) / seconds
	report.Goodput = float64(withinTargets) / seconds
	report.FirstToken, report.BetweenTokens = quantilesOf(first), quantilesOf(between)
	return report
}

// meetsTargets reports whether an answer met both latency targets.
func (o *outcome) meetsTargets(options *Options) bool {
	if o.tokens == 0 || o.first.Sub(o.arrival) > options.FirstTokenTarget {
		return false
	}
	return o.tokens == 1 || o.last.Sub(o.first)/time.Duration(o.tokens-1) <= options.BetweenTokenTarget
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)
}

// recordLatency adds a latency, limited to the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, 0), maxLatency))) // Can't fail: the value is within the histogram's range.
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: time.Duration(h.Max()),
	}
}
