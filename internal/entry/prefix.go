package entry

import (
	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// prefixHashes returns the hashes of a prompt's blocks. The last part
// counts too: a session's next request begins with it.
func prefixHashes(prompt *qf.Prompt) []uint64 {
	var prefixes []uint64
	var chain [3]uint64
	tokens := 0
	for _, part := range prompt.Parts {
		chain[0], chain[1] = chain[2], part.ID
		tokens += part.Tokens
		for block := uint64(len(prefixes)); int(block+1)*qfprefix.BlockTokens <= tokens; block++ {
			prefixes = append(prefixes, hash(chain[0], chain[1], block))
		}
		chain[2] = hash(chain[0], chain[1], 0)
	}
	return prefixes
}

// affinityKey returns a hash and the length of the parts that other requests share: all but the
// last.
func affinityKey(prompt *qf.Prompt) (name uint64, tokens int) {
	for i := range len(prompt.Parts) - 1 {
		name = hash(name, prompt.Parts[i].ID)
		tokens += prompt.Parts[i].Tokens
	}
	return name, tokens
}

func hash(numbers ...uint64) uint64 {
	const bytesOfNumber = 8
	buffer := make([]byte, 0, bytesOfNumber*len(numbers))
	for _, n := range numbers {
		for shift := 0; shift < 64; shift += 8 {
			buffer = append(buffer, byte(n>>shift))
		}
	}
	return xxhash.Sum64(buffer)
}
