package standengine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// variedToken draws one of the two tokens that may follow a text, as an engine
// does that samples. The draw differs from attempt to attempt.
func variedToken(hash uint64, attempt qf.AttemptID) string {
	draw := xxhash.Sum64String(string(attempt) + nextToken(hash))
	return nextToken(hash + draw%2)
}

// IsPossibleAnswer reports whether an engine that varies can have given the answer as
// one text. A text that was joined from two answers is found out with a
// probability that rises by 4095/4096 with each token after the joint.
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
