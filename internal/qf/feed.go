package qf

import (
	"context"
	"time"
)

// ListedEndpoint is an endpoint as it is registered with the platform.
type ListedEndpoint struct {
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

// RowFeed lets nodes follow rows of the platform's store.
type RowFeed interface {
	// Snapshot returns all rows of a feed.
	Snapshot(ctx context.Context, feed FeedName) (FeedPage, error)
	// Changes returns what changed after a version; it waits for a change for some
	// time. An *Error with CodeStaleRevision says that the history is gone.
	Changes(ctx context.Context, feed FeedName, after uint64, wait time.Duration) (FeedPage, error)
}

// RowCodec decodes the rows of feeds.
type RowCodec interface {
	// IsConfigurationKey reports whether a row of the operator's feed holds the
	// configuration.
	IsConfigurationKey(key string) bool
	Configuration(value []byte) (*Configuration, error)
	// Rollout returns false for rows that hold something else.
	Rollout(row *FeedRow) (RolloutOrder, bool, error)
	// Endpoint fails for rows that name no endpoint to use.
	Endpoint(row *FeedRow) (ListedEndpoint, error)
}
