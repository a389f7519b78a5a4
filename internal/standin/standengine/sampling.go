package standengine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// sampledToken chooses one of the two tokens that may follow a text, as an engine
// that samples. The choice depends on the attempt.
func sampledToken(hash uint64, attempt qf.AttemptID) string {
	choice := xxhash.Sum64String(string(attempt) + nextToken(hash))
	return nextToken(hash + choice%2)
}

// IsPossibleAnswer reports whether one attempt of an engine with Behaviour.Varies can
// have produced the text. In a text joined from two responses, nearly every token
// after the join is rejected, as only 2 of 4096 tokens are possible at each position.
func IsPossibleAnswer(messages []qf.Message, text string) bool {
	hash := promptHash(messages)
	for token := range strings.SplitAfterSeq(text, " ") {
		if token == "" {
			continue
		}
		if token != nextToken(hash) && token != nextToken(hash+1) {
			return false
		}
		hash = extendHash(hash, token)
	}
	return true
}
