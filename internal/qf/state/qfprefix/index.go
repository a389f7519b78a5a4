package qfprefix

import "time"

const (
	// setSize is the number of prefixes in one set of the index.
	setSize = 4
	// holders is the number of endpoints kept for each prefix.
	holders = 4
	// MaxMatches bounds the endpoints that a lookup returns.
	MaxMatches = 8
	// maxProbes bounds the prefixes that a lookup reads.
	maxProbes = 32
)

// Index records which endpoints are likely to have which prefixes cached. It is a
// set-associative table of fixed size: a new prefix replaces the least recently
// seen one of its set, so that neither memory nor time grows with traffic. It isn't
// safe for concurrent use.
type Index struct {
	// sets has a length that is a power of two.
	sets   [][setSize]block
	origin time.Time
	maxAge uint32
}

// block is one prefix. A zero prefix marks an unused block.
type block struct {
	prefix  uint64
	holders [holders]holder
}

// holder is an endpoint that has a prefix cached. Number zero marks an unused
// holder.
type holder struct {
	number uint32
	// seen is in seconds since the index's origin.
	seen uint32
}

// Match is one endpoint with the length of a prompt's prefix that it has cached.
type Match struct {
	// Number is the endpoint's number in the index, at least 1.
	Number uint32
	Tokens int
	// Seen is when the prefix was last reported as cached there.
	Seen time.Time
}

// Matches is the result of a lookup. Only the first Count elements are set.
type Matches struct {
	List  [MaxMatches]Match
	Count int
}

// NewIndex returns an index with room for at least the given number of prefixes.
// Lookups ignore what was last seen longer than maxAge ago.
func NewIndex(origin time.Time, prefixes int, maxAge time.Duration) *Index {
	sets := 1
	for sets*setSize < prefixes {
		sets *= 2
	}
	return &Index{sets: make([][setSize]block, sets), origin: origin, maxAge: uint32(maxAge / time.Second)}
}

// seconds converts a time to seconds since the index's origin.
func (x *Index) seconds(at time.Time) uint32 { return uint32(max(at.Sub(x.origin), 0) / time.Second) }

func (x *Index) set(prefix uint64) *[setSize]block { return &x.sets[prefix&uint64(len(x.sets)-1)] }

func (x *Index) find(prefix uint64) *block {
	set := x.set(prefix)
	for i := range set {
		if set[i].prefix == prefix {
			return &set[i]
		}
	}
	return nil
}

// newest is when any endpoint was last seen with the prefix.
func (b *block) newest() uint32 {
	newest := uint32(0)
	for i := range b.holders {
		newest = max(newest, b.holders[i].seen)
	}
	return newest
}

// Store records that an endpoint has a prefix cached.
func (x *Index) Store(at time.Time, prefix uint64, number uint32) {
	b := x.find(prefix)
	if b == nil {
		set := x.set(prefix)
		b = &set[0]
		for i := range set {
			if set[i].newest() < b.newest() {
				b = &set[i]
			}
		}
		*b = block{prefix: prefix}
	}
	b.hold(number, x.seconds(at))
}

// hold adds a holder in place of the least recently seen one, or updates the endpoint's
// holder if there is one.
func (b *block) hold(number, seen uint32) {
	oldest := &b.holders[0]
	for i := range b.holders {
		h := &b.holders[i]
		if h.number == number {
			h.seen = seen
			return
		}
		if h.seen < oldest.seen || h.number == 0 {
			oldest = h
		}
	}
	*oldest = holder{number: number, seen: seen}
}

// Evict records that an endpoint no longer has a prefix cached.
func (x *Index) Evict(prefix uint64, number uint32) {
	b := x.find(prefix)
	if b == nil {
		return
	}
	for i := range b.holders {
		if b.holders[i].number == number {
			b.holders[i] = holder{}
		}
	}
}

// Lookup returns the endpoints with the longest cached prefixes of a prompt, longest
// first. It reads at most maxProbes prefixes, so that in a long prompt it may find a
// slightly shorter prefix than is cached.
func (x *Index) Lookup(at time.Time, prefixes []uint64) Matches {
	var matches Matches
	now := x.seconds(at)
	stride := max((len(prefixes)+maxProbes-1)/maxProbes, 1)
	for i := len(prefixes) - 1; i >= 0 && matches.Count < MaxMatches; i -= stride {
		b := x.find(prefixes[i])
		if b == nil {
			continue
		}
		for j := range b.holders {
			h := &b.holders[j]
			if h.number != 0 && now-min(h.seen, now) <= x.maxAge {
				matches.add(Match{
					Number: h.number, Tokens: (i + 1) * BlockTokens,
					Seen: x.origin.Add(time.Duration(h.seen) * time.Second),
				})
			}
		}
	}
	return matches
}

func (m *Matches) add(match Match) {
	if m.Count == MaxMatches || m.tokens(match.Number) > 0 {
		return
	}
	m.List[m.Count] = match
	m.Count++
}

func (m *Matches) tokens(number uint32) int {
	for i := range m.Count {
		if m.List[i].Number == number {
			return m.List[i].Tokens
		}
	}
	return 0
}
