package qfhttp

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// limitReportInterval is the time between two lines of one event about limits.
const limitReportInterval = time.Second

// LimitReporter logs and counts the limits that clients reach.
type LimitReporter struct {
	clock  qf.Clock
	logger *zerolog.Logger
	// count is called with each limit and what was done; it may be nil.
	count                           func(limit, action string)
	closed, refused, tooLong, ended *rate.Limiter
}

// NewLimitReporter returns a reporter that writes at most one line of each event in limitReportInterval.
func NewLimitReporter(clock qf.Clock, logger *zerolog.Logger, count func(limit, action string)) *LimitReporter {
	everyInterval := func() *rate.Limiter { return rate.NewLimiter(rate.Every(limitReportInterval), 1) }
	return &LimitReporter{
		clock: clock, logger: logger, count: count, closed: everyInterval(), refused: everyInterval(), tooLong: everyInterval(),
		ended: everyInterval(),
	}
}

// Report logs and counts a limit that was reached.
func (r *LimitReporter) Report(reached LimitBreak) {
	if r.count != nil {
		r.count(string(reached.Limit), string(reached.Action))
	}
	if reached.Action == ActionRequestRefused {
		r.reportRequest(reached)
		return
	}
	event, limiter := qfevent.ClientRefused, r.refused
	switch {
	case reached.Limit == LimitHead:
		event, limiter = qfevent.HeadTooLarge, r.tooLong
	case reached.Action == ActionClosed:
		event, limiter = qfevent.ClientClosed, r.closed
	}
	if limiter.AllowN(r.clock.Now(), 1) {
		event.Log(r.logger, reached.Address.String(), reached.Port, reached.Limit, reached.Figure)
	}
}

// reportRequest logs a request that was refused since its connection was closed to make room.
func (r *LimitReporter) reportRequest(reached LimitBreak) {
	if r.ended.AllowN(r.clock.Now(), 1) {
		qfevent.RequestEvicted.Log(r.logger, reached.Request, reached.Address.String(), reached.Port, reached.Limit, reached.Figure)
	}
}
