package qfhttp

import (
	"fmt"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// readerCount counts the connections that read each request's answer.
type readerCount struct {
	mu    sync.Mutex
	count map[qf.RequestID]int
}

// add counts one more reader, unless the request has as many as are allowed.
func (c *readerCount) add(id qf.RequestID, allowed int) bool {
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

func (c *readerCount) remove(id qf.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[id]--
	if c.count[id] == 0 {
		delete(c.count, id)
	}
}

const readerRetryAfter = time.Second

// tooManyReaders refuses one more reader; the request itself goes on.
func tooManyReaders(allowed int) error {
	return &qf.Error{
		Code: qf.CodeOverloaded, Step: qf.StepResume, Ran: qf.RanUnknown, RetryAfter: readerRetryAfter,
		Reason: fmt.Sprintf("the answer is read over %d connections already", allowed),
	}
}
