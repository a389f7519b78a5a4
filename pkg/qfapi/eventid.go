package qfapi

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// EventID identifies an event of a streamed answer. It states the caller's
// position in the answer and a checksum of the text up to there. Another attempt
// may generate different text; the checksum prevents one answer from being joined
// from the texts of both.
type EventID struct {
	// Tokens is the number of tokens up to and including the event.
	Tokens int
	// Sum is the CRC-32C (Castagnoli) of their text. It is valid only if HasSum is
	// true.
	Sum    uint32
	HasSum bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ExtendSum returns the checksum of a text extended by one token, given the
// checksum of the text without it.
func ExtendSum(sum uint32, token string) uint32 {
	return crc32.Update(sum, castagnoli, []byte(token))
}

// Extend returns the identifier of the next event, which carries the given token.
func (e EventID) Extend(token string) EventID {
	return EventID{Tokens: e.Tokens + 1, Sum: ExtendSum(e.Sum, token), HasSum: true}
}

// EventIDOf returns the identifier of the event that carries the last of the
// tokens, which start at the beginning of the answer.
func EventIDOf(tokens []string) EventID {
	id := EventID{HasSum: true}
	for _, token := range tokens {
		id = id.Extend(token)
	}
	return id
}

// String returns the identifier in its wire format, such as "17-9ae0daaf".
func (e EventID) String() string {
	if !e.HasSum {
		return strconv.Itoa(e.Tokens)
	}
	return fmt.Sprintf("%d-%08x", e.Tokens, e.Sum)
}

var errEventID = errors.New("expected the identifier of an event, such as 17-9ae0daaf")

// ParseEventID parses an identifier in its wire format. The checksum may be absent;
// the text that the identifier refers to can't be verified then.
func ParseEventID(text string) (EventID, error) {
	count, sum, hasSum := strings.Cut(text, "-")
	tokens, err := strconv.ParseUint(count, 10, 31)
	if err != nil {
		return EventID{}, errEventID
	}
	id := EventID{Tokens: int(tokens), HasSum: hasSum}
	if !hasSum {
		return id, nil
	}
	parsed, err := strconv.ParseUint(sum, 16, 32)
	if err != nil || len(sum) != 8 {
		return EventID{}, errEventID
	}
	id.Sum = uint32(parsed)
	return id, nil
}
