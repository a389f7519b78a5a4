package standengine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// prefixCache is an LRU cache of prompt prefixes. It stores the token count of each prefix by
// the hash of its blocks.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, int]
	// capacity is the maximum number of blocks.
	capacity int
	// events holds the latest maxCacheEvents changes, oldest first.
	events []qf.CacheEvent
	// sequence is the number of the latest event.
	sequence uint64
}

const maxCacheEvents = 1024

// newPrefixCache returns a cache for a number of tokens, at least one block.
func newPrefixCache(tokens int) *prefixCache {
	c := &prefixCache{capacity: max(tokens/qfprefix.BlockTokens, 1)}
	// The constructor fails only for a capacity below 1.
	c.blocks, _ = simplelru.NewLRU(c.capacity, func(prefix uint64, tokens int) {
		c.record(qf.CacheEvicted, prefix, tokens)
	})
	return c
}

// countCachedTokens returns the length in tokens of the prompt's longest cached prefix.
func (c *prefixCache) countCachedTokens(messages []qf.Message) int {
	cached := 0
	for i, prefix := range qfprefix.HashBlocks(messages) {
		if _, ok := c.blocks.Get(prefix); !ok {
			break
		}
		cached = (i + 1) * qfprefix.BlockTokens
	}
	return cached
}

// store adds the prefixes of a prompt that aren't cached yet.
func (c *prefixCache) store(messages []qf.Message) {
	for i, prefix := range qfprefix.HashBlocks(messages) {
		if c.blocks.Contains(prefix) {
			continue
		}
		tokens := (i + 1) * qfprefix.BlockTokens
		c.blocks.Add(prefix, tokens)
		c.record(qf.CacheStored, prefix, tokens)
	}
}

// record appends a change to the events.
func (c *prefixCache) record(kind qf.CacheEventKind, prefix uint64, tokens int) {
	c.sequence++
	c.events = append(c.events, qf.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, Tokens: tokens})
	if extra := len(c.events) - maxCacheEvents; extra > 0 {
		c.events = append(c.events[:0], c.events[extra:]...)
	}
}

// eventsAfter returns the recorded events after a sequence number.
func (c *prefixCache) eventsAfter(sequence uint64) []qf.CacheEvent {
	for i, event := range c.events {
		if event.Sequence > sequence {
			return append([]qf.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

// freeTokens returns the unused capacity in tokens.
func (c *prefixCache) freeTokens() int { return (c.capacity - c.blocks.Len()) * qfprefix.BlockTokens }
