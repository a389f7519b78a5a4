// Package qfretry bounds retries, so that a failing entry isn't buried under
// repeated work.
package qfretry

import (
	"time"

	"quetzalfront/internal/qf"
)

// The budget of one organisation and entry: a share of its requests plus a small
// reserve for those with little traffic.
const (
	sharePerRequest = 0.15
	reserve         = 3.0
)

type budgetKey struct {
	organisation qf.Organisation
	entry        qf.EntryName
}

// Budget grants retries as a share of the requests of each organisation and
// entry. It isn't safe for concurrent use.
type Budget struct {
	tokens map[budgetKey]float64
}

// NewBudget returns a budget with a full reserve for everybody.
func NewBudget() *Budget { return &Budget{tokens: map[budgetKey]float64{}} }

func keyOf(request *qf.Request) budgetKey {
	return budgetKey{organisation: request.Organisation, entry: request.Entry}
}

// Accepted adds the share of one request.
func (b *Budget) Accepted(request *qf.Request) {
	key := keyOf(request)
	b.tokens[key] = min(b.left(key)+sharePerRequest, reserve)
}

func (b *Budget) left(key budgetKey) float64 {
	if left, ok := b.tokens[key]; ok {
		return left
	}
	return reserve
}

// Allow takes one retry if there is one.
func (b *Budget) Allow(_ time.Time, request *qf.Request) bool {
	key := keyOf(request)
	left := b.left(key)
	if left < 1 {
		return false
	}
	b.tokens[key] = left - 1
	return true
}
