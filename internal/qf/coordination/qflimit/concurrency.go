// Package qflimit admits or refuses requests by the catalogue's limits and the
// organisations' quotas. Its limiters do no I/O and read no clock.
package qflimit

import (
	"time"

	"quetzalfront/internal/qf"
)

// ConcurrencyLimiter admits by the number of requests in progress on this
// node alone. Benchmarks compare other limiters with it.
type ConcurrencyLimiter struct {
	limits  []qf.Limit
	running map[string]int
}

// NewConcurrencyLimiter returns a limiter without limits.
func NewConcurrencyLimiter() *ConcurrencyLimiter {
	return &ConcurrencyLimiter{running: map[string]int{}}
}

// SetLimits implements qf.Limiter.
func (c *ConcurrencyLimiter) SetLimits(limits []qf.Limit) { c.limits = limits }

const retryAfter = time.Second

// AdmitRequest implements qf.Limiter.
func (c *ConcurrencyLimiter) AdmitRequest(query qf.AdmitQuery) qf.Admission {
	for i := range c.limits {
		l := &c.limits[i]
		if !Applies(l, query.Request) || l.Concurrency == 0 {
			continue
		}
		if c.running[l.Name] >= l.Concurrency {
			return qf.Admission{Code: qf.CodeLimited, RetryAfter: retryAfter, Reason: qf.Reason{
				Rule:    "Concurrency " + l.Name,
				Figures: []qf.Figure{{Name: "Running", Value: float64(c.running[l.Name])}},
			}}
		}
	}
	c.count(query.Request, 1)
	return qf.Admission{Admitted: true, Reason: qf.Reason{Rule: "WithinLimits"}}
}

// Applies reports whether a limit bounds a request.
func Applies(l *qf.Limit, r *qf.Request) bool {
	return l.Entry == r.Entry &&
		(l.Organisation == "" || l.Organisation == r.Organisation) &&
		(l.Class == "" || l.Class == r.Class)
}

func (c *ConcurrencyLimiter) count(r *qf.Request, delta int) {
	for i := range c.limits {
		if Applies(&c.limits[i], r) {
			c.running[c.limits[i].Name] += delta
		}
	}
}

// ReleaseRequest implements qf.Limiter.
func (c *ConcurrencyLimiter) ReleaseRequest(_ time.Time, request *qf.Request, _ int) {
	c.count(request, -1)
}

// ReportUses implements qf.Limiter.
func (c *ConcurrencyLimiter) ReportUses(time.Time) []qf.LimitUse { return nil }

// RecordPeerUses implements qf.Limiter.
func (c *ConcurrencyLimiter) RecordPeerUses(time.Time, []qf.LimitUse) {}

// SetNodes implements qf.Limiter.
func (c *ConcurrencyLimiter) SetNodes(time.Time, qf.NodeID, []qf.NodeID) {}
