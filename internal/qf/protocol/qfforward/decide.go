package qfforward

import (
	"net/http"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// mostNotRun bounds the endpoints that may turn one request away.
	mostNotRun = 3
	// leastTimeToRepeat is the least time for which another attempt is worth it.
	leastTimeToRepeat = 30 * time.Millisecond
)

// progress is what is known of one request when an attempt of it has ended.
type progress struct {
	route *qf.CallerRoute
	// runs counts the attempts that may have run, notRun those that provably didn't.
	runs, notRun int
	// end is how the last attempt ended.
	end qf.AttemptEnd
	// delivered is true once the caller got a part of the answer.
	delivered bool
	timeLeft  time.Duration
}

// next says what to do after an attempt.
type next string

// The steps after an attempt.
const (
	// nextDone means that the answer was delivered.
	nextDone next = "Done"
	// nextRepeat asks for another attempt; it needs a repeat of the budget.
	nextRepeat next = "Repeat"
	// nextResume asks for an attempt that goes on after the last event.
	nextResume next = "Resume"
	// nextPass delivers the endpoint's own failure.
	nextPass next = "Pass"
	// nextRefuse says that the request didn't run.
	nextRefuse next = "Refuse"
	// nextFail says that nothing is known of the request.
	nextFail next = "Fail"
	// nextCut ends an answer that was begun, so that it doesn't look complete.
	nextCut next = "Cut"
)

// decide is the rule of repeats. A request that may run at most once is sent again
// only if each attempt before provably didn't run.
func decide(p *progress) next {
	switch p.end {
	case qf.AttemptAnswered:
		return nextDone
	case qf.AttemptCancelled:
		return p.giveUp()
	case qf.AttemptNotRun:
		if p.notRun < mostNotRun && p.hasTime() && (p.runs == 0 || p.mayRunAgain()) {
			return p.again()
		}
		return p.giveUp()
	case qf.AttemptFailed:
		if p.mayRunAgain() && p.hasTime() && !p.delivered {
			return nextRepeat
		}
		return nextPass
	default:
		if p.mayRunAgain() && p.hasTime() {
			return p.again()
		}
		return p.giveUp()
	}
}

func (p *progress) hasTime() bool { return p.timeLeft >= leastTimeToRepeat }

func (p *progress) mayRunAgain() bool { return p.route.MayRepeat() && p.runs < p.route.Attempts }

func (p *progress) again() next {
	if p.delivered {
		return nextResume
	}
	return nextRepeat
}

// giveUp is the final answer without an answer of an endpoint.
func (p *progress) giveUp() next {
	switch {
	case p.delivered:
		return nextCut
	case p.runs == 0:
		return nextRefuse
	default:
		return nextFail
	}
}

// endOf tells how an attempt ended by the answer's header. Only an endpoint's own
// statement proves that it didn't run the request.
func endOf(answer *qf.EndpointResponse) qf.AttemptEnd {
	switch {
	case answer.Traits.NotRun || answer.Status == http.StatusMisdirectedRequest:
		return qf.AttemptNotRun
	case answer.Status >= http.StatusInternalServerError:
		return qf.AttemptFailed
	default:
		return qf.AttemptAnswered
	}
}

// claimsNotRun reports whether a status tells the caller that nothing ran.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
