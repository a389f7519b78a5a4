package qf

import (
	"context"
	"time"
)

// RegisteredEndpoint is an endpoint as registered with the platform.
type RegisteredEndpoint struct {
	Endpoint
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// LeavesIn is the time from the registration's last write until the endpoint
	// stops; it is 0 if unknown.
	LeavesIn time.Duration
	// ColdFor is the time from the registration's last write for which the endpoint
	// stays slow after a cold start.
	ColdFor time.Duration
}

// FeedName names a set of rows whose changes nodes watch.
type FeedName string

// The feeds.
const (
	// FeedOperator holds the configuration and the rollout orders.
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

// FeedPage is the result of a read of a feed.
type FeedPage struct {
	Rows []FeedRow
	// Version is the feed's version at the time of the read.
	Version uint64
}

// FeedReader reads the rows of feeds from the platform's store.
type FeedReader interface {
	// ReadSnapshot returns all rows of a feed.
	ReadSnapshot(ctx context.Context, feed FeedName) (FeedPage, error)
	// ReadChanges returns the rows that changed after a version; it waits at most
	// the given time for a change. An *Error with CodeStaleRevision means that the
	// store no longer holds the changes since that version.
	ReadChanges(ctx context.Context, feed FeedName, after uint64, wait time.Duration) (FeedPage, error)
}

// RowDecoder decodes the rows of feeds.
type RowDecoder interface {
	// IsConfigurationKey reports whether a row of the operator's feed holds the
	// configuration.
	IsConfigurationKey(key string) bool
	DecodeConfiguration(value []byte) (*Configuration, error)
	// DecodeRollout returns false for rows that hold anything but a rollout order.
	DecodeRollout(row *FeedRow) (RolloutOrder, bool, error)
	// DecodeEndpoint fails for rows that don't describe a usable endpoint.
	DecodeEndpoint(row *FeedRow) (RegisteredEndpoint, error)
}
