// Package qfprefix hashes prompts in blocks, so that two prompts with a common prefix
// share the hashes of its blocks.
package qfprefix

import (
	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const (
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	// BytesPerToken is the estimated size of a token.
	BytesPerToken = 4
	blockBytes    = BlockTokens * BytesPerToken
)

// HashBlocks returns, for each full block of a prompt, the hash of the prompt up to the
// block's end, shortest first.
func HashBlocks(messages []qf.Message) []uint64 {
	var prefixes []uint64
	digest := xxhash.New()
	filled := 0
	for _, m := range messages {
		for _, part := range []string{m.Role, "\x00", m.Content, "\x00"} {
			prefixes, filled = writeBlocks(digest, part, filled, prefixes)
		}
	}
	return prefixes
}

// writeBlocks adds a part of the prompt to the digest and appends a hash for each block
// that it fills. The argument and result filled is the length of the last, partial block.
func writeBlocks(digest *xxhash.Digest, part string, filled int, prefixes []uint64) ([]uint64, int) {
	for part != "" {
		n := min(blockBytes-filled, len(part))
		_, _ = digest.WriteString(part[:n]) // A digest never fails.
		part = part[n:]
		filled += n
		if filled == blockBytes {
			prefixes = append(prefixes, digest.Sum64())
			filled = 0
		}
	}
	return prefixes, filled
}

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(messages []qf.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)/BytesPerToken + 1
	}
	return n
}
