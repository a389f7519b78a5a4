package qf

import (
	"context"
	"time"
)

// RegisteredEndpoint is an endpoint as it is registered with the platform.
type RegisteredEndpoint struct {
	Endpoint
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// LeavesIn is how long after its entry was written the endpoint stops; it is 0
	// if that isn't known.
	LeavesIn time.Duration
	// ColdFor is how long after its entry was written the endpoint stays slow.
	ColdFor time.Duration
}

// FeedName names a set of rows that nodes follow.
type FeedName string

// The feeds.
const (
	// FeedOperator holds the configuration and the orders of rollouts.
	FeedOperator FeedName = "Operator"
	// FeedEndpoints holds the registered endpoints.
	FeedEndpoints FeedName = "Endpoints"
	// FeedNodes holds the entry nodes.
	FeedNodes FeedName = "Nodes"
)

// FeedRow is a row of a feed.
type FeedRow struct {
	Key     string
	Version uint64
	Value   []byte
	// Removed rows have no value.
	Removed bool
}

// FeedPage is the answer of a feed.
type FeedPage struct {
	Rows []FeedRow
	// Version is the one as of which the answer holds.
	Version uint64
}

// FeedReader lets nodes follow rows of the platform's store.
type FeedReader interface {
	// ReadSnapshot returns all rows of a feed.
	ReadSnapshot(ctx context.Context, feed FeedName) (FeedPage, error)
	// ReadChanges returns what changed after a version; it waits for a change for some
	// time. An *Error with CodeStaleRevision says that the history is gone.
	ReadChanges(ctx context.Context, feed FeedName, after uint64, wait time.Duration) (FeedPage, error)
}

// RowDecoder decodes the rows of feeds.
type RowDecoder interface {
	// IsConfigurationKey reports whether a row of the operator's feed holds the
	// configuration.
	IsConfigurationKey(key string) bool
	DecodeConfiguration(value []byte) (*Configuration, error)
	// DecodeRollout returns false for rows that hold something else.
	DecodeRollout(row *FeedRow) (RolloutOrder, bool, error)
	// DecodeEndpoint fails for rows that name no endpoint to use.
	DecodeEndpoint(row *FeedRow) (RegisteredEndpoint, error)
}
