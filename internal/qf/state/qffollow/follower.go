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
	// ApplySnapshot replaces all rows. A snapshot of a later era may lack rows that were
	// read before, or hold older versions of them. All changes up to readUpTo were applied before;
	// it is zero for the first snapshot.
	ApplySnapshot(page *qf.FeedPage, readUpTo qf.StorePosition)
	// ApplyChanges applies changed rows of the snapshot's era, in order.
	ApplyChanges(page *qf.FeedPage)
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
	// ReadAnewAfter is the time after which a snapshot is read although the changes are known, so that
	// rows which were missed for any reason come back; 0 means never.
	ReadAnewAfter time.Duration
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
	// position is the newest position that was read.
	position qf.StorePosition
	// readAnewAt is when a snapshot is read next although the changes are known.
	readAnewAt time.Time
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

// read reads the changes since the last version, or a snapshot if there is none or another is due.
func (f *follower) read(ctx context.Context) error {
	if !f.hasSnapshot {
		return f.readSnapshot(ctx)
	}
	if now := f.clock.Now(); f.timing.ReadAnewAfter > 0 && !now.Before(f.readAnewAt) {
		f.readAnewAt = now.Add(f.timing.ReadAnewAfter) // A read that fails is due again as late.
		return f.readSnapshot(ctx)
	}
	page, err := f.source.ReadChanges(ctx, f.feed, f.position, f.timing.PollTimeout)
	if err != nil {
		return err
	}
	if page.Era != f.position.Era {
		return &qf.Error{Code: qf.CodeStaleRevision, Step: qf.StepTableRead, Reason: "the changes are from another era of the store"}
	}
	if len(page.Rows) > 0 {
		f.handler.ApplyChanges(&page)
	}
	f.position = page.Position()
	return nil
}

// readSnapshot reads all rows.
func (f *follower) readSnapshot(ctx context.Context) error {
	page, err := f.source.ReadSnapshot(ctx, f.feed)
	if err != nil {
		return err
	}
	if page.Position().Compare(f.position) < 0 {
		return &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepTableRead, Reason: "the snapshot is older than data that was read before"}
	}
	f.handler.ApplySnapshot(&page, f.position)
	f.hasSnapshot, f.position = true, page.Position()
	f.readAnewAt = f.clock.Now().Add(f.timing.ReadAnewAfter)
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
