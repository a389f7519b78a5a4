package qf

import (
	"cmp"
	"context"
	"time"
)

// RegisteredEndpoint is an endpoint as registered with the platform.
type RegisteredEndpoint struct {
	Endpoint
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// Sequence rises with each write of the registration by one incarnation.
	Sequence uint64
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

// StoreEra counts how often the platform's store came back from a copy that lacks its latest
// writes. The store gives out the versions of the lost writes again. It is 0 for a store that
// doesn't report its era.
type StoreEra uint64

// StorePosition is a place in the history of the platform's store. Versions of different eras
// can't be compared.
type StorePosition struct {
	Era     StoreEra
	Version uint64
}

// Compare returns -1, 0 or 1 if the position is before, at or after another one. A later era
// goes before any version.
func (p StorePosition) Compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// EraTracker holds the newest era of the platform's store that is known to this node.
type EraTracker interface {
	Era() StoreEra
	// ObserveEra records an era that a peer has seen.
	ObserveEra(era StoreEra)
	// AwaitEraAfter returns a channel that is closed once a later era is known.
	AwaitEraAfter(era StoreEra) <-chan struct{}
}

// FeedRow is a row of a feed.
type FeedRow struct {
	Key string
	// Version is a version of the page's era.
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
	// Era is the store's era at the time of the read.
	Era StoreEra
}

// Position returns the position at which the feed was read.
func (p *FeedPage) Position() StorePosition {
	return StorePosition{Era: p.Era, Version: p.Version}
}

// Fold keeps the last word on each row: a page may hold the removal of a row and its return, in any number.
// The order of the rows that stay doesn't change.
func (p *FeedPage) Fold() {
	last := make(map[string]int, len(p.Rows))
	for i := range p.Rows {
		known, isKnown := last[p.Rows[i].Key]
		if !isKnown || p.Rows[i].Version >= p.Rows[known].Version {
			last[p.Rows[i].Key] = i
		}
	}
	if len(last) == len(p.Rows) {
		return
	}
	kept := make([]FeedRow, 0, len(last))
	for i := range p.Rows {
		if last[p.Rows[i].Key] == i {
			kept = append(kept, p.Rows[i])
		}
	}
	p.Rows = kept
}

// FeedReader reads the rows of feeds from the platform's store.
type FeedReader interface {
	// ReadSnapshot returns all rows of a feed.
	ReadSnapshot(ctx context.Context, feed FeedName) (FeedPage, error)
	// ReadChanges returns the rows that changed after a position; it waits at most
	// the given time for a change. An *Error with CodeStaleRevision means that the
	// store no longer holds the changes since that position, or is in a later era.
	ReadChanges(ctx context.Context, feed FeedName, after StorePosition, wait time.Duration) (FeedPage, error)
}

// RowDecoder decodes the rows of feeds.
type RowDecoder interface {
	// IsConfigurationKey reports whether a row of the operator's feed holds the
	// configuration.
	IsConfigurationKey(key string) bool
	DecodeConfiguration(value []byte) (*Configuration, error)
	// DecodeRollout returns false for rows that hold anything but a rollout order.
	DecodeRollout(row *FeedRow) (RolloutOrder, bool, error)
	// DecodeEvacuation returns false for rows that hold anything but an order to evacuate an availability zone. A
	// removed row ends the evacuation.
	DecodeEvacuation(row *FeedRow) (EvacuationOrder, bool, error)
	// DecodeEndpoint fails for rows that don't describe a usable endpoint.
	DecodeEndpoint(row *FeedRow) (RegisteredEndpoint, error)
}
