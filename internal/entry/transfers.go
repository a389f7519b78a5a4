package entry

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qflog"
)

// transferSource is where rows or a configuration are read.
type transferSource string

// The sources of transfers.
const (
	sourceStore transferSource = "Store"
	sourceRelay transferSource = "Relay"
	sourcePeer  transferSource = "Peer"
)

const (
	// nameConfiguration stands for the configuration in place of a feed's name.
	nameConfiguration = "Configuration"
	// largeTransferBytes is the size from which on each transfer is logged.
	largeTransferBytes = 64 * 1024
)

// transfer is one call by which this node reads rows of a feed or a configuration.
type transfer struct {
	// name is the feed's name, or nameConfiguration.
	name   string
	source transferSource
	// peer is empty for the store.
	peer    qf.NodeID
	startAt time.Time
}

func (e *Entry) beginTransfer(name string, source transferSource, peer qf.NodeID) transfer {
	e.transfers.Add(1)
	return transfer{name: name, source: source, peer: peer, startAt: e.now()}
}

// endTransfer counts a transfer, and logs it if it is large or failed.
func (e *Entry) endTransfer(t *transfer, bytes int, err error) {
	inProgress := e.transfers.Add(-1)
	outcome := qf.Done
	if err != nil {
		outcome = qf.NotDone
	}
	if e.platform.Telemetry != nil {
		e.platform.Telemetry.RecordTransfer(t.name, string(t.source), outcome, bytes)
	}
	if err == nil && bytes < largeTransferBytes || !e.logLimiter.Allow(e.now(), qflog.ClassNotable) {
		return
	}
	qfevent.TransferEnded.Log(&e.platform.Logger, t.name, t.source, t.peer, bytes, e.now().Sub(t.startAt).String(), inProgress, outcome, err)
}

// sizeOf returns the number of bytes of a page's rows.
func sizeOf(page *qf.FeedPage) int {
	bytes := 0
	for i := range page.Rows {
		bytes += len(page.Rows[i].Key) + len(page.Rows[i].Value)
	}
	return bytes
}
