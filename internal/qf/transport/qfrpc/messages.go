package qfrpc

import (
	"time"

	"quetzalfront/internal/qf"
)

// ExchangeIn is the argument of Exchange.
type ExchangeIn struct{ Digest qf.Digest }

// ExchangeOut is the reply of Exchange.
type ExchangeOut struct{ Digest qf.Digest }

// HandOverIn is the argument of HandOver.
type HandOverIn struct{ Records []qf.RequestRecord }

// HandOverOut is the reply of HandOver.
type HandOverOut struct{ Taken []qf.RequestID }

// ShadowIn is the argument of Shadow.
type ShadowIn struct{ Records []qf.RequestRecord }

// ShadowOut is the reply of Shadow.
type ShadowOut struct{ Kept []qf.RequestID }

// LookupIn is the argument of Lookup.
type LookupIn struct{ ID qf.RequestID }

// LookupOut is the reply of Lookup.
type LookupOut struct {
	Found bool
	// Record is meaningful only if Found is true.
	Record qf.RequestRecord
}

// CatalogueIn is the argument of Catalogue.
type CatalogueIn struct {
	NewerThan qf.Revision
	// AcceptsDeflate means that the snapshot may be compressed.
	AcceptsDeflate bool
}

// CatalogueOut is the reply of Catalogue.
type CatalogueOut struct {
	// Snapshot is empty unless the node has a newer revision.
	Snapshot []byte
	Revision qf.Revision
	// IsDeflated means that the snapshot is compressed.
	IsDeflated bool
}

// FeedIn is the argument of Feed.
type FeedIn struct {
	Feed qf.FeedName
	// Whole requests all rows; otherwise those that changed after the version After
	// are returned.
	Whole bool
	After uint64
	// Era is the era of the version After.
	Era qf.StoreEra
	// Wait is how long the peer may wait for a change.
	Wait time.Duration
	// AcceptsDeflate means that the rows' values may be compressed.
	AcceptsDeflate bool
	// AcceptsPacked means that the rows may be packed together.
	AcceptsPacked bool
}

// FeedOut is the reply of Feed. Code is set if the peer can't serve the feed.
type FeedOut struct {
	Page qf.FeedPage
	Code qf.Code
	// Deflated lists the indices of the rows whose values are compressed.
	Deflated []int
	// Packed holds the page's rows, encoded and compressed together. The page has none then.
	Packed []byte
}
