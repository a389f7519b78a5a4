package qfhttp

import (
	"fmt"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// readerCounts counts the connections that read each request's answer.
type readerCounts struct {
	mu    sync.Mutex
	count map[qf.RequestID]int
}

// add counts one more reader and returns true, unless the request has reached the limit.
func (c *readerCounts) add(id qf.RequestID, allowed int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = map[qf.RequestID]int{}
	}
	if c.count[id] >= allowed {
		return false
	}
	c.count[id]++
	return true
}

func (c *readerCounts) remove(id qf.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[id]--
	if c.count[id] == 0 {
		delete(c.count, id)
	}
}

const readerRetryAfter = time.Second

// tooManyReaders returns the error for a reader over the limit. The request itself
// continues.
func tooManyReaders(allowed int) error {
	return &qf.Error{
		Code: qf.CodeOverloaded, Step: qf.StepResume, Ran: qf.RanUnknown, RetryAfter: readerRetryAfter,
		Reason: fmt.Sprintf("%d connections are already reading the answer", allowed),
	}
}
