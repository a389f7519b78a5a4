package qfrpc

import (
	"time"

	"quetzalfront/internal/qf"
)

// ExchangeIn is the question of Exchange.
type ExchangeIn struct{ Digest qf.Digest }

// ExchangeOut is the answer of Exchange.
type ExchangeOut struct{ Digest qf.Digest }

// HandOverIn is the question of HandOver.
type HandOverIn struct{ Records []qf.RequestRecord }

// HandOverOut is the answer of HandOver.
type HandOverOut struct{ Taken []qf.RequestID }

// ShadowIn is the question of Shadow.
type ShadowIn struct{ Records []qf.RequestRecord }

// ShadowOut is the answer of Shadow.
type ShadowOut struct{ Kept []qf.RequestID }

// LookupIn is the question of Lookup.
type LookupIn struct{ ID qf.RequestID }

// LookupOut is the answer of Lookup.
type LookupOut struct {
	Found bool
	// Record is meaningful only if Found is true.
	Record qf.RequestRecord
}

// CatalogueIn is the question of Catalogue.
type CatalogueIn struct{ NewerThan qf.Revision }

// CatalogueOut is the answer of Catalogue.
type CatalogueOut struct {
	// Snapshot is empty unless the node has a newer revision.
	Snapshot []byte
	Revision qf.Revision
}

// FeedIn asks for rows of a feed: all of them, or those that changed after a version.
type FeedIn struct {
	Feed  qf.FeedName
	Whole bool
	After uint64
	Wait  time.Duration
}

// FeedOut holds the rows. Code is set if the node can't tell.
type FeedOut struct {
	Page qf.FeedPage
	Code qf.Code
}
