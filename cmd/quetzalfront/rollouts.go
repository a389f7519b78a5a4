package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"quetzalfront/pkg/qfapi"
)

func reportRollouts() *command {
	flags := &operatorFlags{}
	sub := flaggy.NewSubcommand("rollouts")
	sub.Description = "print the progress of the rollouts"
	flags.attach(sub)
	return &command{sub: sub, run: func(ctx context.Context) int {
		var rollouts []qfapi.RolloutReport
		if err := flags.get(ctx, qfapi.PathReports+"rollouts", &rollouts); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(rollouts)
		}
		for i := range rollouts {
			if code := printRollout(&rollouts[i]); code != exitOK {
				return code
			}
		}
		return exitOK
	}}
}

func printRollout(r *qfapi.RolloutReport) int {
	fmt.Printf("%s: %s\n", r.Entry, r.Summary)
	if r.Late != "" {
		fmt.Printf("  late: %s\n", r.Late)
	}
	fmt.Printf("  %s, rollout %d step %d, revision %d, controlled by %q with fencing number %d, as of %s ago\n",
		r.Phase, r.Generation, r.Step, r.Revision, r.Holder, r.Fencing, r.Age)
	if len(r.Routes) == 0 {
		return exitOK
	}
	return printTable("  ORGANISATION\tREGION\tCLASS\tONCE-ONLY\tSTAGE\tSHARE\tNEW\tOLD", len(r.Routes), func(i int) string {
		x := &r.Routes[i]
		return fmt.Sprintf("  %s\t%s\t%s\t%t\t%d\t%.1f%%\t%d\t%d", x.Organisation, x.Region, x.Class, x.OnceOnly, x.Stage, 100*x.Share, x.New, x.Old)
	})
}

func reportExplain() *command {
	flags := &operatorFlags{}
	var id string
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "print the decisions about a request, an entry's rollout or a VM"
	flags.attach(sub)
	sub.AddPositionalValue(&id, "ID", 1, true, "a request's identifier, an entry's name or a VM's")
	return &command{sub: sub, run: func(ctx context.Context) int {
		var report qfapi.ExplainReport
		if err := flags.get(ctx, qfapi.PathReports+"explain/"+id, &report); err != nil {
			return fail(err)
		}
		switch {
		case flags.json:
			return printJSON(report)
		case report.Request != nil:
			return printRequest(report.Request)
		case report.Rollout != nil:
			return printRollout(report.Rollout)
		case report.VM != nil:
			return printVM(report.VM)
		default:
			return fail(fmt.Errorf("the node returned an empty report"))
		}
	}}
}

func printVM(vm *qfapi.VMReport) int {
	e := &vm.Endpoint
	fmt.Printf("VM %s in %s: %s, %s runs %s %s with %d requests; the VM list is %s old, the catalogue at revision %d\n",
		e.VM, e.AvailabilityZone, e.State, e.Class, e.Entry, e.Version, vm.Load, vm.ListAge, vm.Revision)
	if vm.Rollout == nil {
		return exitOK
	}
	return printRollout(vm.Rollout)
}
