package qfresponse

import "testing"

// TestBudgetBoundsTheSumOfResponses fails if many responses take more together than the budget, if a small one is refused, or if what was given back is lost.
func TestBudgetBoundsTheSumOfResponses(t *testing.T) {
	const most, size, responses = 1 << 20, 256 << 10, 100
	budget := NewBudget(most)
	taken := 0
	shares := make([]*Share, 0, responses)
	for range responses {
		share := budget.Open()
		shares = append(shares, share)
		head, body := share.NewPart(), share.NewPart()
		if !head.Resize(freeBytes/2) || !body.Resize(freeBytes/2) {
			t.Fatal("a small response is refused")
		}
		if body.Resize(size) {
			taken++
		}
	}
	if want := most / (size - freeBytes/2); taken != want {
		t.Errorf("%d large responses were let in, want %d", taken, want)
	}
	for _, share := range shares {
		share.Close()
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are taken by no response", used)
	}
}

// TestBudgetWithoutBound fails if a budget of 0 refuses anything.
func TestBudgetWithoutBound(t *testing.T) {
	if !NewBudget(0).Open().NewPart().Resize(1 << 40) {
		t.Error("bytes are refused")
	}
}
