package main

import (
	"context"
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

// pollInterval is the time between requests for the nodes' revisions.
const pollInterval = 200 * time.Millisecond

// awaitRevision waits until the revision is in force at every listed node. At the limit
// it prints each node where it isn't, with the probable reason.
func awaitRevision(ctx context.Context, flags *operatorFlags, revision uint64, limit time.Duration) int {
	end := time.Now().Add(limit)
	for {
		var nodes []qfapi.NodeReport
		err := flags.get(ctx, qfapi.PathReports+"nodes", &nodes)
		if err == nil && len(nodesBehind(nodes, revision)) == 0 {
			fmt.Printf("in force at %d nodes\n", len(nodes))
			return exitOK
		}
		if time.Now().After(end) || ctx.Err() != nil {
			if err != nil {
				return fail(err)
			}
			for _, n := range nodesBehind(nodes, revision) {
				fmt.Println(describeBehind(&n))
			}
			return exitFailure
		}
		time.Sleep(pollInterval)
	}
}

// nodesBehind returns the nodes with an older revision than the given one. A leaving
// node counts as long as it is listed.
func nodesBehind(nodes []qfapi.NodeReport, revision uint64) []qfapi.NodeReport {
	var out []qfapi.NodeReport
	for _, n := range nodes {
		if n.Revision < revision {
			out = append(out, n)
		}
	}
	return out
}

// describeBehind returns a line on a node with an older revision.
func describeBehind(n *qfapi.NodeReport) string {
	why := fmt.Sprintf("its revision was last confirmed %s ago", n.CatalogueAge)
	if n.State != string(qf.NodeLive) {
		why = fmt.Sprintf("its last heartbeat was received %s ago", n.NewsAge)
	}
	return fmt.Sprintf("not in force at %s in %s, which has revision %d; it is %s, and %s", n.ID, n.AvailabilityZone, n.Revision, n.State, why)
}
