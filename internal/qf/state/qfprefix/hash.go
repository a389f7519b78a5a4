// Package qfprefix hashes prompts in blocks, so that two prompts with a common
// beginning share the hashes of its blocks.
package qfprefix

import (
	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const (
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	// BytesPerToken estimates the size of a token.
	BytesPerToken = 4
	blockBytes    = BlockTokens * BytesPerToken
)

// HashBlocks returns the hash of each whole block's prefix, shortest first.
func HashBlocks(messages []qf.Message) []uint64 {
	var prefixes []uint64
	d := xxhash.New()
	filled := 0
	for _, m := range messages {
		for _, part := range []string{m.Role, "\x00", m.Content, "\x00"} {
			prefixes, filled = writeBlocks(d, part, filled, prefixes)
		}
	}
	return prefixes
}

func writeBlocks(d *xxhash.Digest, part string, filled int, prefixes []uint64) ([]uint64, int) {
	for part != "" {
		n := min(blockBytes-filled, len(part))
		_, _ = d.WriteString(part[:n]) // A digest never fails.
		part = part[n:]
		filled += n
		if filled == blockBytes {
			prefixes = append(prefixes, d.Sum64())
			filled = 0
		}
	}
	return prefixes, filled
}

// EstimateTokens estimates the number of tokens of a prompt.
func EstimateTokens(messages []qf.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)/BytesPerToken + 1
	}
	return n
}
