// Package demo shows the system at work in one process: it runs the deployments
// on stand-ins, sends real requests, reclaims a zone and checks every answer.
package demo

import (
	"context"
	"fmt"
	"io"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// Deployment names one of the two users.
type Deployment struct {
	// Name is the prefix of the fixtures' names.
	Name string
	// Register is the plain service, and FilePath its once-only call.
	Register string
	FilePath string
	// Large is the organisation that sends the requests.
	Large qf.Organisation
	Zones []qf.AvailabilityZone
	// MovesVersions says whether the demo moves the assistant to new versions.
	MovesVersions bool
}

// Deployments returns the two users' deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "lahore", Register: "register", FilePath: "/permits", Large: "gulberg-wards",
			Zones:         []qf.AvailabilityZone{"lahore-north-a", "lahore-south-a", "lahore-west-a"},
			MovesVersions: true,
		},
		{
			Name: "lanka", Register: "registry", FilePath: "/payments", Large: "guilds",
			Zones: []qf.AvailabilityZone{"lanka-east-a", "lanka-north-a", "lanka-south-a"},
		},
	}
}

// Run shows each deployment in turn. It returns an error if a promise was
// broken.
func Run(ctx context.Context, out io.Writer) error {
	for _, d := range Deployments() {
		if err := show(ctx, out, &d); err != nil {
			return fmt.Errorf("%s: %w", d.Name, err)
		}
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
	if !d.MovesVersions {
		return nil
	}
	return s.moveVersions(ctx, out)
}
