package main

import (
	"context"
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

const waitStep = 200 * time.Millisecond

// awaitRevision waits until every node that is live has the revision in force.
// It prints each node that isn't there when the time is over, and why.
func awaitRevision(ctx context.Context, flags *operatorFlags, revision uint64, limit time.Duration) int {
	end := time.Now().Add(limit)
	for {
		var nodes []qfapi.NodeReport
		err := flags.get(ctx, qfapi.PathReports+"nodes", &nodes)
		if err == nil && len(behind(nodes, revision)) == 0 {
			fmt.Printf("in force at %d nodes\n", len(nodes))
			return exitOK
		}
		if time.Now().After(end) || ctx.Err() != nil {
			if err != nil {
				return fail(err)
			}
			for _, n := range behind(nodes, revision) {
				fmt.Println(whyBehind(&n))
			}
			return exitFailure
		}
		time.Sleep(waitStep)
	}
}

// behind lists the nodes without the revision. A node that is leaving counts as
// long as it answers.
func behind(nodes []qfapi.NodeReport, revision uint64) []qfapi.NodeReport {
	var out []qfapi.NodeReport
	for _, n := range nodes {
		if n.Revision < revision {
			out = append(out, n)
		}
	}
	return out
}

func whyBehind(n *qfapi.NodeReport) string {
	why := fmt.Sprintf("its news of the catalogue is %s old", n.CatalogueAge)
	if n.State != string(qf.NodeLive) {
		why = fmt.Sprintf("nothing was heard of it for %s", n.NewsAge)
	}
	return fmt.Sprintf("not there yet: %s in %s has revision %d; it is %s, and %s", n.ID, n.AvailabilityZone, n.Revision, n.State, why)
}
