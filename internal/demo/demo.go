// Package demo runs both deployments in one process, on stand-ins for the cloud, the
// table and the endpoints. It sends real requests, reclaims a zone and checks every
// answer.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// Deployment describes the deployment of one of the two users.
type Deployment struct {
	// Name is the prefix of the names of the fixture files.
	Name string
	// PlainService is the entry of a plain service, and OnceOnlyPath the path of its
	// once-only call.
	PlainService string
	OnceOnlyPath string
	// Organisation sends the requests.
	Organisation qf.Organisation
	Zones        []qf.AvailabilityZone
	// HasRollouts reports whether the demo rolls out new versions of the assistant.
	HasRollouts bool
}

// Deployments returns the two users' deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "lahore", PlainService: "register", OnceOnlyPath: "/permits", Organisation: "gulberg-wards",
			Zones:       []qf.AvailabilityZone{"lahore-north-a", "lahore-south-a", "lahore-west-a"},
			HasRollouts: true,
		},
		{
			Name: "lanka", PlainService: "registry", OnceOnlyPath: "/payments", Organisation: "guilds",
			Zones: []qf.AvailabilityZone{"lanka-east-a", "lanka-north-a", "lanka-south-a"},
		},
	}
}

// Run runs the demo of the named deployment, or of all of them in parallel if name is
// empty. It returns an error if a check failed.
func Run(ctx context.Context, out io.Writer, name string) error {
	deployments := slices.DeleteFunc(Deployments(), func(d Deployment) bool {
		return name != "" && !strings.EqualFold(name, d.Name)
	})
	if len(deployments) == 0 {
		return qf.NewError(qf.CodeInvalid, qf.StepDecode, "", "deployment: expected Lahore or Lanka, not "+name)
	}
	// Each deployment has its own buffer, so that their lines don't interleave.
	outputs := make([]bytes.Buffer, len(deployments))
	errs := make([]error, len(deployments))
	var runs sync.WaitGroup
	for i := range deployments {
		runs.Go(func() {
			if err := runDeployment(ctx, &outputs[i], &deployments[i]); err != nil {
				errs[i] = fmt.Errorf("%s: %w", deployments[i].Name, err)
			}
		})
	}
	runs.Wait()
	for i := range outputs {
		if _, err := outputs[i].WriteTo(out); err != nil {
			return err
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	fmt.Fprintln(out, "all promises held")
	return nil
}

// runDeployment starts a deployment, runs its steps and prints the result of each.
func runDeployment(ctx context.Context, out io.Writer, d *Deployment) error {
	c, err := newCluster(ctx, d, qftimer.NewWall())
	if err != nil {
		return err
	}
	defer c.close()
	fmt.Fprintf(out, "== %s: %d endpoints, %d nodes, catalogue revision %d\n",
		d.Name, c.endpoints, len(c.nodes), c.nodes[0].Catalogue().Revision)
	if err := c.streamThroughReclaim(ctx, out); err != nil {
		return err
	}
	if err := c.checkOnceOnly(ctx, out); err != nil {
		return err
	}
	if !d.HasRollouts {
		return nil
	}
	return c.rollOutVersions(ctx, out)
}
