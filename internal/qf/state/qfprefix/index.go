package qfprefix

import "time"

const (
	// ways is the number of prefixes that share a set of the index.
	ways = 4
	// holders is the number of endpoints remembered for a prefix.
	holders = 4
	// MaxMatches bounds the endpoints that a lookup returns.
	MaxMatches = 8
	// maxProbes bounds the blocks that a lookup reads.
	maxProbes = 32
)

// Index remembers which endpoints are likely to have which prefixes cached. It
// is a set-associative table of fixed size: a new prefix replaces the one of its
// set that was seen longest ago, so that neither memory nor time grows with
// traffic. It isn't safe for concurrent use.
type Index struct {
	// sets has a power of two of elements.
	sets   [][ways]block
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

// Match says how much of a prompt an endpoint has cached.
type Match struct {
	// Number is the endpoint's number in the index, at least 1.
	Number uint32
	Tokens int
	// Seen is when the prefix was last known to be there.
	Seen time.Time
}

// Matches is a lookup's answer. Only the first Count elements are set.
type Matches struct {
	List  [MaxMatches]Match
	Count int
}

// NewIndex returns an index with room for about as many prefixes as asked for.
// What was seen longer than maxAge ago no longer counts.
func NewIndex(origin time.Time, prefixes int, maxAge time.Duration) *Index {
	sets := 1
	for sets*ways < prefixes {
		sets *= 2
	}
	return &Index{sets: make([][ways]block, sets), origin: origin, maxAge: uint32(maxAge / time.Second)}
}

func (x *Index) seconds(at time.Time) uint32 { return uint32(max(at.Sub(x.origin), 0) / time.Second) }

func (x *Index) set(prefix uint64) *[ways]block { return &x.sets[prefix&uint64(len(x.sets)-1)] }

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

// Store notes that an endpoint has a prefix.
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

// hold replaces the holder that was seen longest ago unless the endpoint is
// known already.
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

// Evict notes that an endpoint no longer has a prefix.
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

// Lookup returns the endpoints with the longest cached parts of a prompt,
// longest first. It reads a bounded number of blocks, so that in a long prompt
// it may find a little less than is there.
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
