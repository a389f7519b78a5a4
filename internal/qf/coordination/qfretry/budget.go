// Package qfretry bounds retries, so that a failing entry isn't overloaded by them. It
// does no I/O and reads no clock.
package qfretry

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
)

// The retry budget of one organisation at one entry. Each request earns
// sharePerRequest of a retry. Unused retries accumulate up to that share of the
// requests of recentWindow, so that all streams of one lost endpoint can continue
// elsewhere.
const (
	sharePerRequest = 0.1
	recentWindow    = 20 * time.Second
	leastReserve    = 10.0
)

// maxBuckets bounds the memory. The least recently used bucket is evicted.
const maxBuckets = 4096

// The delays between attempts: the first retry starts at once, the n-th after a
// random part of firstDelay * 2^(n-2), at most maxDelay.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
)

type bucketKey struct {
	organisation qf.Organisation
	entry        qf.EntryName
}

// bucket holds the retry budget of one organisation at one entry.
type bucket struct {
	tokens float64
	// recent is the number of recent requests, with exponential decay.
	recent float64
	at     time.Time
}

// Budget decides on retries by a retry budget and the time left. It isn't safe for
// concurrent use.
type Budget struct {
	buckets   *simplelru.LRU[bucketKey, *bucket]
	estimates map[qf.EntryName]*estimate
}

// NewBudget returns a budget in which each organisation starts with leastReserve
// retries at each entry.
func NewBudget() *Budget {
	buckets, _ := simplelru.NewLRU[bucketKey, *bucket](maxBuckets, nil) // Fails only for a size below 1.
	return &Budget{buckets: buckets, estimates: map[qf.EntryName]*estimate{}}
}

func (b *Budget) bucket(now time.Time, request *qf.Request) *bucket {
	key := bucketKey{organisation: request.Organisation, entry: request.Entry}
	u, ok := b.buckets.Get(key)
	if !ok {
		u = &bucket{tokens: leastReserve, at: now}
		b.buckets.Add(key, u)
	}
	if elapsed := now.Sub(u.at); elapsed > 0 {
		u.recent *= math.Exp(-elapsed.Seconds() / recentWindow.Seconds())
		u.at = now
	}
	return u
}

// CountRequest adds the share of a retry that a request earns.
func (b *Budget) CountRequest(now time.Time, request *qf.Request) {
	u := b.bucket(now, request)
	u.recent++
	u.tokens = min(u.tokens+sharePerRequest, max(leastReserve, u.recent*sharePerRequest))
}

// Retry decides whether a request may be retried. It takes one retry from the budget
// if one is left and the attempt has time to finish.
func (b *Budget) Retry(query qf.RetryQuery) qf.RetryDecision {
	u := b.bucket(query.Now, query.Request)
	delay := retryDelay(query)
	expected := b.expected(query.Request.Entry, query.RemainingTokens)
	left := query.Request.Deadline.Sub(query.Now)
	decision := qf.RetryDecision{Delay: delay, Reason: qf.Reason{Figures: []qf.Figure{
		{Name: "BudgetLeft", Value: u.tokens},
		{Name: "ExpectedSeconds", Value: expected.Seconds()},
		{Name: "SecondsLeft", Value: left.Seconds()},
	}}}
	switch {
	case delay+expected >= left:
		decision.Reason.Rule = "NoTimeToFinish"
	case u.tokens < 1:
		decision.Reason.Rule = "RetryBudgetSpent"
	default:
		u.tokens--
		decision.Allowed = true
		decision.Reason.Rule = "RetryAllowed"
	}
	return decision
}

// retryDelay returns the delay before a retry: exponential backoff with full jitter.
func retryDelay(query qf.RetryQuery) time.Duration {
	if query.AtOnce || query.Retry <= 1 {
		return 0
	}
	longest := math.Min(float64(firstDelay)*math.Exp2(float64(query.Retry-2)), float64(maxDelay))
	return time.Duration(longest * query.Draw)
}
