// Package qffollow follows feeds of the platform's store: it reads all rows once
// and then what changes, and starts again when the history is lost.
package qffollow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quetzalfront/internal/qf"
)

// Handler takes the rows of one feed. Its methods are called one at a time.
type Handler interface {
	// ApplySnapshot takes all rows, as of a version.
	ApplySnapshot(rows []qf.FeedRow, version uint64)
	// ApplyChanges takes rows that changed, in order.
	ApplyChanges(rows []qf.FeedRow)
	// RecordFailure takes the news that the store doesn't answer, Answered that it does.
	RecordFailure(err error)
	RecordSuccess()
}

// Timing bounds the calls of a follower.
type Timing struct {
	// PollTimeout is how long the store may hold a call until something changes.
	PollTimeout time.Duration
	// PollDelay is the time between an answer and the next call, so that changes in quick
	// succession come together.
	PollDelay time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay after a failed call.
	MinRetryDelay, MaxRetryDelay time.Duration
}

// Follow calls the handler until the context ends.
func Follow(ctx context.Context, timer qf.Clock, source qf.FeedReader, feed qf.FeedName, pace Timing, handler Handler) {
	f := &follower{timer: timer, source: source, feed: feed, pace: pace, handler: handler}
	f.retry = backoff.NewExponentialBackOff()
	f.retry.InitialInterval, f.retry.MaxInterval = pace.MinRetryDelay, pace.MaxRetryDelay
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower struct {
	timer   qf.Clock
	source  qf.FeedReader
	feed    qf.FeedName
	pace    Timing
	handler Handler
	retry   *backoff.ExponentialBackOff
	// isRead is false until all rows were read; version is then the newest seen.
	isRead  bool
	version uint64
}

func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.retry.Reset()
		f.handler.RecordSuccess()
		f.sleep(ctx, f.pace.PollDelay)
	case errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision}):
		f.isRead = false
	default:
		f.handler.RecordFailure(err)
		f.sleep(ctx, f.retry.NextBackOff())
	}
}

func (f *follower) read(ctx context.Context) error {
	if !f.isRead {
		page, err := f.source.ReadSnapshot(ctx, f.feed)
		if err != nil {
			return err
		}
		if page.Version < f.version {
			return &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepTableRead, Reason: "the answer is older than one before"}
		}
		f.handler.ApplySnapshot(page.Rows, page.Version)
		f.isRead, f.version = true, page.Version
		return nil
	}
	page, err := f.source.ReadChanges(ctx, f.feed, f.version, f.pace.PollTimeout)
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		f.handler.ApplyChanges(page.Rows)
	}
	f.version = page.Version
	return nil
}

func (f *follower) sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	subscription := f.timer.After(delay)
	defer subscription.Stop()
	select {
	case <-ctx.Done():
	case <-subscription.C():
	}
}
