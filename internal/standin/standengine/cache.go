package standengine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// prefixCache is the engine's bounded cache of prompt prefixes, in blocks.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, int]
	capacity int
	// events are the latest changes, oldest first.
	events   []qf.CacheEvent
	sequence uint64
}

const maxCacheEvents = 1024

func newPrefixCache(tokens int) *prefixCache {
	c := &prefixCache{capacity: max(tokens/qfprefix.BlockTokens, 1)}
	// The constructor fails only for a capacity below 1.
	c.blocks, _ = simplelru.NewLRU(c.capacity, func(prefix uint64, tokens int) {
		c.record(qf.CacheEvicted, prefix, tokens)
	})
	return c
}

// lookup returns the number of prompt tokens that are cached.
func (c *prefixCache) lookup(messages []qf.Message) int {
	cached := 0
	for i, prefix := range qfprefix.HashBlocks(messages) {
		if _, ok := c.blocks.Get(prefix); !ok {
			break
		}
		cached = (i + 1) * qfprefix.BlockTokens
	}
	return cached
}

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

func (c *prefixCache) record(kind qf.CacheEventKind, prefix uint64, tokens int) {
	c.sequence++
	c.events = append(c.events, qf.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, Tokens: tokens})
	if extra := len(c.events) - maxCacheEvents; extra > 0 {
		c.events = append(c.events[:0], c.events[extra:]...)
	}
}

func (c *prefixCache) after(sequence uint64) []qf.CacheEvent {
	for i, event := range c.events {
		if event.Sequence > sequence {
			return append([]qf.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

func (c *prefixCache) free() int { return (c.capacity - c.blocks.Len()) * qfprefix.BlockTokens }
