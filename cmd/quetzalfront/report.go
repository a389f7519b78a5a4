package main

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"quetzalfront/pkg/qfapi"
)

func reportCommands() []*command {
	parent := flaggy.NewSubcommand("report")
	parent.Description = "print the state of the system and the decisions behind it"
	flaggy.AttachSubcommand(parent, 1)
	commands := []*command{
		reportNodes(), reportFleet(), reportRollouts(), reportExplain(),
		reportRequest("request", "print the outcome of a request and the decisions about it"),
	}
	for _, c := range commands {
		parent.AttachSubcommand(c.sub, 1)
	}
	return commands
}

func reportNodes() *command {
	flags := &operatorFlags{}
	sub := flaggy.NewSubcommand("nodes")
	sub.Description = "print the entry nodes"
	flags.attach(sub)
	return &command{sub: sub, run: func(ctx context.Context) int {
		var nodes []qfapi.NodeReport
		if err := flags.get(ctx, qfapi.PathReports+"nodes", &nodes); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(nodes)
		}
		return printTable("NODE\tZONE\tSTATE\tADDRESS\tREVISION\tIN PROGRESS", len(nodes), func(i int) string {
			n := &nodes[i]
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d", n.ID, n.AvailabilityZone, n.State, n.Address, n.Revision, n.InProgress)
		})
	}}
}

func reportFleet() *command {
	flags := &operatorFlags{}
	sub := flaggy.NewSubcommand("fleet")
	sub.Description = "print the endpoints of the fleet"
	flags.attach(sub)
	return &command{sub: sub, run: func(ctx context.Context) int {
		var fleet qfapi.FleetReport
		if err := flags.get(ctx, qfapi.PathReports+"fleet", &fleet); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(fleet)
		}
		fmt.Printf("as of %s\n", fleet.AsOf.Format(time.RFC3339))
		return printTable("VM\tENTRY\tVERSION\tSTATE\tZONE\tCLASS", len(fleet.Endpoints), func(i int) string {
			e := &fleet.Endpoints[i]
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", e.VM, e.Entry, e.Version, e.State, e.AvailabilityZone, e.Class)
		})
	}}
}

func reportRequest(name, description string) *command {
	flags := &operatorFlags{}
	var id string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	flags.attach(sub)
	sub.AddPositionalValue(&id, "ID", 1, true, "the request's identifier")
	return &command{sub: sub, run: func(ctx context.Context) int {
		var report qfapi.RequestReport
		if err := flags.get(ctx, qfapi.PathReports+name+"/"+id, &report); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(report)
		}
		return printRequest(&report)
	}}
}

func printRequest(report *qfapi.RequestReport) int {
	fmt.Printf("request %s of %s at %s: %s, %d tokens, %d recomputed\n",
		report.ID, report.Organisation, report.Entry, outcomeText(report), report.Tokens, report.Recomputed)
	return printTable("AT\tSTEP\tENDPOINT\tRULE\tNOTE", len(report.Decisions), func(i int) string {
		d := &report.Decisions[i]
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", d.At.Format(time.RFC3339Nano), d.Step, d.Endpoint, d.Rule, d.Note)
	})
}

func outcomeText(report *qfapi.RequestReport) string {
	switch {
	case report.MovedTo != "":
		return "moved to " + report.MovedTo
	case report.Outcome == "":
		return "in progress"
	default:
		return report.Outcome
	}
}
