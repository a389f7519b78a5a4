// Package demo shows the system at work in one process: it runs the deployments
// on stand-ins, sends real requests, reclaims a zone and checks every answer.
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

// Deployment names one of the two users.
type Deployment struct {
	// Name is the prefix of the fixtures' names.
	Name string
	// PlainService is the plain service, and FilePath its once-only call.
	PlainService string
	OnceOnlyPath string
	// Organisation is the organisation that sends the requests.
	Organisation qf.Organisation
	Zones []qf.AvailabilityZone
	// HasRollouts says whether the demo moves the assistant to new versions.
	HasRollouts bool
}

// Deployments returns the two users' deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "lahore", PlainService: "register", OnceOnlyPath: "/permits", Organisation: "gulberg-wards",
			Zones:         []qf.AvailabilityZone{"lahore-north-a", "lahore-south-a", "lahore-west-a"},
			HasRollouts: true,
		},
		{
			Name: "lanka", PlainService: "registry", OnceOnlyPath: "/payments", Organisation: "guilds",
			Zones: []qf.AvailabilityZone{"lanka-east-a", "lanka-north-a", "lanka-south-a"},
		},
	}
}

// Run shows the deployment of the name, or all of them side by side for an empty
// one. It returns an error if a promise was broken.
func Run(ctx context.Context, out io.Writer, name string) error {
	deployments := slices.DeleteFunc(Deployments(), func(d Deployment) bool {
		return name != "" && !strings.EqualFold(name, d.Name)
	})
	if len(deployments) == 0 {
		return qf.NewError(qf.CodeInvalid, qf.StepDecode, "", "deployment: expected Lahore or Lanka, not "+name)
	}
	// Each deployment writes for itself, so that lines of two don't mix.
	texts := make([]bytes.Buffer, len(deployments))
	failures := make([]error, len(deployments))
	var shows sync.WaitGroup
	for i := range deployments {
		shows.Go(func() {
			if err := show(ctx, &texts[i], &deployments[i]); err != nil {
				failures[i] = fmt.Errorf("%s: %w", deployments[i].Name, err)
			}
		})
	}
	shows.Wait()
	for i := range texts {
		if _, err := texts[i].WriteTo(out); err != nil {
			return err
		}
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	fmt.Fprintln(out, "all promises held")
	return nil
}

func show(ctx context.Context, out io.Writer, d *Deployment) error {
	s, err := newStage(ctx, d, qftimer.NewWall())
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(out, "== %s: %d endpoints, %d nodes, catalogue revision %d\n",
		d.Name, s.endpoints, len(s.nodes), s.nodes[0].Catalogue().Revision)
	if err := s.streamThroughReclaim(ctx, out); err != nil {
		return err
	}
	if err := s.fileOnce(ctx, out); err != nil {
		return err
	}
	if !d.HasRollouts {
		return nil
	}
	return s.moveVersions(ctx, out)
}
