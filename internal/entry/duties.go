package entry

import "context"

// duties does what one node does for all.
type duties struct{ entry *Entry }

func newDuties(e *Entry) *duties { return &duties{entry: e} }

func (d *duties) loop(context.Context) {}

func (d *duties) release(context.Context) {}
