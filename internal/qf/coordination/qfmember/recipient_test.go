package qfmember

import (
	"fmt"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// TestDigestForEachRecipient fails if the digest for a recipient can't be built, or leaves out or adds what it shouldn't, in fleets
// on both sides of the limit of full exchanges and with dead nodes (review, case 11: the zone of a seed isn't known).
func TestDigestForEachRecipient(t *testing.T) {
	own := node("peer", start)
	own.AvailabilityZone = "own"
	other := node("other", start)
	other.AvailabilityZone = "other"
	stranger := node("stranger", start)
	seed := qf.SeedRecipient(own.PeerAddress)
	recipients := []struct {
		name     string
		to       qf.Recipient
		hasBeats bool
	}{
		{"a seed", seed, false},
		{"a peer of the own zone", qf.NodeRecipient(&own), true},
		{"a peer of another zone", qf.NodeRecipient(&other), false},
		{"a stranger without a zone", qf.NodeRecipient(&stranger), false},
	}
	limit := timing.FullExchangeUpTo
	for _, nodes := range []int{1, 2, limit - 1, limit, limit + 1, limit + 2, 2 * limit} {
		for _, silentFor := range []time.Duration{0, timing.DeadAfter, removeAfter} {
			for _, tt := range recipients {
				t.Run(fmt.Sprintf("%d nodes silent for %s, to %s", nodes, silentFor, tt.name), func(t *testing.T) {
					self := node("self", start)
					self.AvailabilityZone = "own"
					m := New(self, timing)
					for i := range nodes - 1 {
						peer := node(fmt.Sprint("peer-", i), start)
						peer.AvailabilityZone = []qf.AvailabilityZone{"own", "other"}[i%2]
						m.RecordNode(start, peer)
					}
					var digest qf.Digest
					now := start.Add(silentFor)
					m.FillDigest(now, &digest, tt.to, []qf.AvailabilityZone{"own"})
					isGrouped := nodes > limit
					if hasBeats := len(digest.Beats) > 0; hasBeats != (isGrouped && tt.hasBeats) {
						t.Errorf("heartbeats are sent: %t", hasBeats)
					}
					if hasList := len(digest.Lists) > 0; hasList != isGrouped {
						t.Errorf("the requested list is sent: %t", hasList)
					}
					if live := len(m.Peers(now)); !isGrouped && len(digest.Nodes) != live {
						t.Errorf("%d of %d nodes are sent", len(digest.Nodes), live)
					}
				})
			}
		}
	}
}
