package qfrpc

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// minDeflateBytes is the size from which on a value is compressed.
	minDeflateBytes = 16 * 1024
	// maxInflatedBytes bounds a value that was compressed.
	maxInflatedBytes = 64 * 1024 * 1024
	// cachedValues is the number of compressed values that are kept, each for many peers.
	cachedValues = 3
)

// errInflatedTooLarge is the error for a value above maxInflatedBytes.
var errInflatedTooLarge = errors.New("a compressed value is too large")

// deflater compresses values. It keeps the latest results by the address of the value's first
// byte: values are never changed, and one that is kept isn't freed.
type deflater struct {
	mu    sync.Mutex
	cache *lru.Cache[*byte, []byte]
}

func newDeflater() (*deflater, error) {
	cache, err := lru.New[*byte, []byte](cachedValues)
	return &deflater{cache: cache}, err
}

// deflate returns the compressed value.
func (d *deflater) deflate(value []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if compressed, isCached := d.cache.Get(&value[0]); isCached {
		return compressed, nil
	}
	compressed, err := deflate(value)
	if err == nil {
		d.cache.Add(&value[0], compressed)
	}
	return compressed, err
}

// deflate returns a compressed value. The writer takes 1.2 MB and isn't kept: new large values are rare.
func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	writer, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, err
	}
	err = writer.Close()
	return b.Bytes(), err
}

// inflate returns the value that was compressed.
func inflate(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	value, err := io.ReadAll(io.LimitReader(reader, maxInflatedBytes+1))
	if err == nil && len(value) > maxInflatedBytes {
		err = errInflatedTooLarge
	}
	return value, err
}
