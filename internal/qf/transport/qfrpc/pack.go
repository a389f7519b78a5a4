package qfrpc

import (
	"bytes"
	"encoding/gob"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"quetzalfront/internal/qf"
)

const (
	// minPackBytes is the size of all values of a page from which on its rows are packed.
	minPackBytes = 4 * 1024
	// cachedPages is the number of packed pages that are kept: many peers ask for the same one.
	cachedPages = 8
)

// pageKey identifies the rows of a page: two pages with the same key have the same rows.
type pageKey struct {
	feed     qf.FeedName
	isWhole  bool
	after    qf.StorePosition
	position qf.StorePosition
}

// packer packs the rows of pages. The rows of a feed are alike and compress well together.
type packer struct {
	mu    sync.Mutex
	cache *lru.Cache[pageKey, []byte]
}

func newPacker() (*packer, error) {
	cache, err := lru.New[pageKey, []byte](cachedPages)
	return &packer{cache: cache}, err
}

// shouldPack reports whether rows are packed together. Large values are compressed one by one
// instead, since the same value may be part of several pages.
func shouldPack(rows []qf.FeedRow) bool {
	total := 0
	for i := range rows {
		size := len(rows[i].Value)
		if size >= minDeflateBytes {
			return false
		}
		total += size
	}
	return total >= minPackBytes
}

// pack returns the packed rows of a page.
func (p *packer) pack(key pageKey, rows []qf.FeedRow) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, isCached := p.cache.Get(key); isCached {
		return packed, nil
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(rows); err != nil {
		return nil, err
	}
	packed, err := deflate(encoded.Bytes())
	if err == nil {
		p.cache.Add(key, packed)
	}
	return packed, err
}

// unpack returns the rows that were packed.
func unpack(packed []byte) ([]qf.FeedRow, error) {
	encoded, err := inflate(packed)
	if err != nil {
		return nil, err
	}
	var rows []qf.FeedRow
	err = gob.NewDecoder(bytes.NewReader(encoded)).Decode(&rows)
	return rows, err
}
