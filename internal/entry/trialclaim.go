package entry

import (
	"context"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/state/qfevent"
)

// trialClaimTimeout bounds the question to the node that decides on a trial.
const trialClaimTimeout = 300 * time.Millisecond

// claimTrial reports whether a refused request whose trial is due may run. One node decides for all, so that a request that comes
// to several nodes at the same time reaches one endpoint. Without that node there is no trial.
func (f *poisonFilter) claimTrial(hash uint64) bool {
	e := f.entry
	decider, isSelf := e.chooseTrialNode(hash)
	now := e.now()
	if isSelf {
		return f.grantTrial(now, hash)
	}
	ctx, cancel := context.WithTimeout(e.loops, trialClaimTimeout)
	defer cancel()
	claim := qf.Digest{From: e.self(), SentAt: e.fleetClock.localTime(now), Store: e.storeEra.get(), TrialClaim: hash, Suspicions: f.describe(now, hash)}
	answer, err := e.platform.Peer.ExchangeDigests(ctx, decider.PeerAddress, claim)
	if err != nil {
		qfevent.PeerFailed.Log(&e.platform.Logger, decider.PeerAddress, err)
		return false
	}
	f.mergeDigest(e.now(), &answer)
	return answer.IsTrialGranted
}

// answerTrialClaim decides on the trial that a peer claims.
func (f *poisonFilter) answerTrialClaim(claim *qf.Digest) qf.Digest {
	e := f.entry
	now := e.now()
	f.mergeDigest(now, claim)
	isGranted := f.grantTrial(now, claim.TrialClaim)
	return qf.Digest{
		From: e.self(), SentAt: e.fleetClock.localTime(now), Store: e.storeEra.get(), Suspicions: f.describe(now, claim.TrialClaim), IsTrialGranted: isGranted,
	}
}

// grantTrial begins a trial if it is due.
func (f *poisonFilter) grantTrial(now time.Time, hash uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.ClaimTrial(now, hash)
}

func (f *poisonFilter) describe(now time.Time, hash uint64) []qf.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.Describe(now, hash)
}

// chooseTrialNode returns the node that decides on the trial of a request, and whether it is this one. Nodes with the same view of
// the fleet choose the same.
func (e *Entry) chooseTrialNode(hash uint64) (node qf.Node, isSelf bool) {
	live, _ := e.liveNodes()
	chosen := qfsuspect.ChooseTrialNode(live, strconv.FormatUint(hash, 16))
	self := e.deployment.Self.ID
	if chosen == self || chosen == "" {
		return qf.Node{}, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.membership.VisitPeers(e.now(), func(peer *qf.Node, _ qf.NodeState) {
		if peer.ID == chosen {
			node = *peer
		}
	})
	return node, node.ID == ""
}
