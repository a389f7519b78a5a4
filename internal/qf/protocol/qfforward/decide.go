package qfforward

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxNotRunAttempts bounds the attempts of one request that endpoints reject
	// without running them.
	maxNotRunAttempts = 3
	// maxUnreachedAttempts bounds those without a connection. Most are refused within a round trip: an
	// endpoint that has crashed stays listed for seconds.
	maxUnreachedAttempts = 8
	// minTimeForRetry is the least time left for which another attempt is worthwhile.
	minTimeForRetry = 30 * time.Millisecond
)

// progress is the state of a request at the end of an attempt, on which the next step
// depends.
type progress struct {
	route *qf.CallerRoute
	// runs counts the attempts that may have run, notRun those that endpoints rejected without
	// running them, and unreached those that had no connection.
	runs, notRun, unreached int
	// peers holds the nodes to which the request was passed.
	peers []qf.NodeID
	// end is how the last attempt ended.
	end qf.AttemptEnd
	// delivered is true once a part of the answer was sent to the caller.
	delivered bool
	// isPartlySent is true if the caller has a part of an answer that no other attempt can continue.
	isPartlySent bool
	timeLeft     time.Duration
}

// nextStep is the step that follows an attempt.
type nextStep string

// The steps after an attempt.
const (
	// nextDone means that the answer was delivered.
	nextDone nextStep = "Done"
	// nextRetry makes another attempt; it takes a retry from the retry budget.
	nextRetry nextStep = "Repeat"
	// nextResume makes another attempt that continues after the last delivered event.
	// It takes a retry from the retry budget.
	nextResume nextStep = "Resume"
	// nextMove goes on at the endpoint to which the run was moved.
	nextMove nextStep = "Move"
	// nextDeliverFailure delivers the failure that the endpoint reported.
	nextDeliverFailure nextStep = "Pass"
	// nextRefuse answers that the request didn't run.
	nextRefuse nextStep = "Refuse"
	// nextPassRefusal answers with the refusal of the node that the request was passed to.
	nextPassRefusal nextStep = "PassRefusal"
	// nextFail answers that it is unknown whether the request ran.
	nextFail nextStep = "Fail"
	// nextAbort aborts the connection of a partly delivered answer, so that the answer
	// doesn't look complete.
	nextAbort nextStep = "Cut"
)

// decide returns the step after an attempt. A request that may run at most once is
// retried only if every earlier attempt is proven not to have run.
func decide(p *progress) nextStep {
	if p.isPartlySent {
		return nextAbort
	}
	switch p.end {
	case qf.AttemptAnswered:
		return nextDone
	case qf.AttemptCancelled:
		return p.giveUp()
	case qf.AttemptNotRun:
		isBounded := p.notRun < maxNotRunAttempts && p.unreached < maxUnreachedAttempts
		if isBounded && p.hasTime() && (p.runs == 0 || p.mayRetry()) {
			return p.retryStep()
		}
		return p.giveUp()
	case qf.AttemptFailed:
		if p.mayRetry() && p.hasTime() {
			return p.retryStep()
		}
		return p.deliverFailure()
	default:
		if p.mayRetry() && p.hasTime() {
			return p.retryStep()
		}
		return p.giveUp()
	}
}

func (p *progress) hasTime() bool { return p.timeLeft >= minTimeForRetry }

func (p *progress) mayRetry() bool { return p.route.MayRepeat() && p.runs < p.route.Attempts }

func (p *progress) retryStep() nextStep {
	if p.delivered {
		return nextResume
	}
	return nextRetry
}

// deliverFailure returns the final step of a request whose endpoint reported a failure. A
// caller that has a part of the answer can't be given the failure any more.
func (p *progress) deliverFailure() nextStep {
	if p.delivered {
		return nextAbort
	}
	return nextDeliverFailure
}

// giveUp returns the final step of a request that got no answer from an endpoint.
func (p *progress) giveUp() nextStep {
	switch {
	case p.delivered:
		return nextAbort
	case p.runs == 0:
		return nextRefuse
	default:
		return nextFail
	}
}
