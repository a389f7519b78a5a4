package qfapi

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// EventID is the identifier of an event of a streamed answer. It says how much
// of the answer a caller has, and which answer it is part of: another attempt may
// have generated other text, and an answer must never be joined from both.
type EventID struct {
	// Tokens is the number of tokens up to and with the event.
	Tokens int
	// Sum is the checksum of their text. It is meaningful only if HasSum is true.
	Sum    uint32
	HasSum bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ExtendSum returns the checksum of a text after one more token.
func ExtendSum(sum uint32, token string) uint32 {
	return crc32.Update(sum, castagnoli, []byte(token))
}

// Extend returns the identifier of the event that brings the next token.
func (e EventID) Extend(token string) EventID {
	return EventID{Tokens: e.Tokens + 1, Sum: ExtendSum(e.Sum, token), HasSum: true}
}

// EventIDOf returns the identifier of the event that brought the last token.
func EventIDOf(tokens []string) EventID {
	id := EventID{HasSum: true}
	for _, token := range tokens {
		id = id.Extend(token)
	}
	return id
}

// String renders the identifier as it travels, such as "17-9ae0daaf".
func (e EventID) String() string {
	if !e.HasSum {
		return strconv.Itoa(e.Tokens)
	}
	return fmt.Sprintf("%d-%08x", e.Tokens, e.Sum)
}

var errEventID = errors.New("expected the identifier of an event, such as 17-9ae0daaf")

// ParseEventID reads an identifier. One without a checksum is allowed; what it
// continues can't be checked then.
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
