package qfresponse

import "sync/atomic"

// freeBytes is what each response may take beside the budget: ordinary ones never depend on what others take.
const freeBytes = 16 << 10

// Budget bounds the memory that the parts of all responses in progress take, beside a small amount for each. It is safe for
// concurrent use.
type Budget struct {
	most int64
	used atomic.Int64
}

// NewBudget returns a budget in bytes, 0 for one without a bound.
func NewBudget(most int64) *Budget { return &Budget{most: most} }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// take takes bytes from the budget, or returns false if too few are left. A negative number gives bytes back.
func (b *Budget) take(bytes int64) bool {
	if used := b.used.Add(bytes); bytes <= 0 || b.most <= 0 || used <= b.most {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Share is what one response takes of a budget. One goroutine may use it at a time.
type Share struct {
	budget *Budget
	// bytes is the sum of the parts.
	bytes int64
}

// Open returns the share of a response that takes nothing yet.
func (b *Budget) Open() *Share { return &Share{budget: b} }

// Part is a part of a response in memory, such as its head.
type Part struct {
	share *Share
	bytes int64
}

// NewPart returns a part that takes nothing yet.
func (s *Share) NewPart() *Part { return &Part{share: s} }

// Resize sets the bytes that the part takes. It returns false and changes nothing if the budget has too few.
func (p *Part) Resize(bytes int64) bool {
	s := p.share
	sum := s.bytes + bytes - p.bytes
	if !s.budget.take(aboveFree(sum) - aboveFree(s.bytes)) {
		return false
	}
	s.bytes, p.bytes = sum, bytes
	return true
}

func aboveFree(bytes int64) int64 { return max(bytes-freeBytes, 0) }

// Close gives back what the response takes. Its parts must not be used after.
func (s *Share) Close() {
	s.budget.take(-aboveFree(s.bytes))
	s.bytes = 0
}
