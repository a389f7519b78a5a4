// Package qffollow follows feeds of the platform's store: it reads a snapshot and then
// the changes, and reads a new snapshot if the store no longer has the history.
package qffollow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quetzalfront/internal/qf"
)

// Handler processes the rows of one feed. Its methods are called one at a time.
type Handler interface {
	// ApplySnapshot replaces all rows by those of a version.
	ApplySnapshot(rows []qf.FeedRow, version uint64)
	// ApplyChanges applies changed rows, in order.
	ApplyChanges(rows []qf.FeedRow)
	// RecordFailure is called after each failed call, RecordSuccess after each that
	// succeeded.
	RecordFailure(err error)
	RecordSuccess()
}

// Timing sets how often a follower calls the store.
type Timing struct {
	// PollTimeout is how long the store may hold a call until something changes.
	PollTimeout time.Duration
	// PollDelay is the time between a response and the next call, so that changes in quick
	// succession arrive in one response.
	PollDelay time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay after a failed call.
	MinRetryDelay, MaxRetryDelay time.Duration
}

// Follow reads the feed from the source and calls the handler until the context ends.
func Follow(ctx context.Context, clock qf.Clock, source qf.FeedReader, feed qf.FeedName, timing Timing, handler Handler) {
	f := &follower{clock: clock, source: source, feed: feed, timing: timing, handler: handler}
	f.retry = backoff.NewExponentialBackOff()
	f.retry.InitialInterval, f.retry.MaxInterval = timing.MinRetryDelay, timing.MaxRetryDelay
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower struct {
	clock   qf.Clock
	source  qf.FeedReader
	feed    qf.FeedName
	timing  Timing
	handler Handler
	retry   *backoff.ExponentialBackOff
	// hasSnapshot is false until a snapshot was read.
	hasSnapshot bool
	// version is the newest version that was read.
	version uint64
}

// step makes one call to the store, passes its result to the handler and waits until the
// next call is due.
func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.retry.Reset()
		f.handler.RecordSuccess()
		f.sleep(ctx, f.timing.PollDelay)
	case errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision}):
		f.hasSnapshot = false
	default:
		f.handler.RecordFailure(err)
		f.sleep(ctx, f.retry.NextBackOff())
	}
}

// read reads a snapshot, or the changes since the last version.
func (f *follower) read(ctx context.Context) error {
	if !f.hasSnapshot {
		page, err := f.source.ReadSnapshot(ctx, f.feed)
		if err != nil {
			return err
		}
		if page.Version < f.version {
			return &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepTableRead, Reason: "the snapshot is older than data that was read before"}
		}
		f.handler.ApplySnapshot(page.Rows, page.Version)
		f.hasSnapshot, f.version = true, page.Version
		return nil
	}
	page, err := f.source.ReadChanges(ctx, f.feed, f.version, f.timing.PollTimeout)
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
	subscription := f.clock.After(delay)
	defer subscription.Stop()
	select {
	case <-ctx.Done():
	case <-subscription.C():
	}
}
