package qf

import (
	"context"
	"net/netip"
)

// RunMemory names the memory of a run that was copied to another endpoint, for the request
// that goes on with it there.
type RunMemory string

// RunMove is a move of a running request's memory from one endpoint to another.
type RunMove struct {
	Request  RequestID
	From, To netip.AddrPort
	// IsLast stops the run before the rest of its memory is copied. Otherwise it goes on.
	IsLast bool
}

// RunMover moves running requests between model engines.
type RunMover interface {
	// MoveRun copies what isn't copied yet. NotDone means that the run goes on or has ended
	// by itself, if the move isn't the last one.
	MoveRun(ctx context.Context, move *RunMove) Result[RunMemory]
}
