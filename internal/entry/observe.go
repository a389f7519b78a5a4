package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalfront/internal/qf/protocol/qfforward"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qflog"
)

// leftOutEvery is the time between two lines that tell how many were left out.
const leftOutEvery = time.Second

// observe counts and logs the end of a request.
func (e *Entry) observe(o *qfforward.Outcome) {
	if e.platform.Telemetry != nil {
		e.platform.Telemetry.RecordForwarded(o)
	}
	class := classOf(o)
	if !e.volume.Allow(e.now(), class) {
		return
	}
	attempts := summarise(o.Attempts)
	if hasEndedWell(o) {
		qfevent.ForwardEnded.Log(&e.platform.Logger, o.Request, o.Route, o.Organisation, o.Revision, o.Status, attempts, o.First.String(), o.Took.String())
		return
	}
	qfevent.ForwardFailed.Log(&e.platform.Logger, o.Request, o.Route, o.Organisation, o.Revision, o.Status, attempts, o.First.String(), o.Took.String(), o.Err)
}

func hasEndedWell(o *qfforward.Outcome) bool {
	return o.Err == nil && o.Status < http.StatusInternalServerError
}

func classOf(o *qfforward.Outcome) qflog.Class {
	if hasEndedWell(o) && len(o.Attempts) == 1 {
		return qflog.ClassPlain
	}
	return qflog.ClassNotable
}

// tellLeftOut logs how many lines were left out.
func (e *Entry) tellLeftOut(context.Context) {
	if left := e.volume.TakeDropped(); left.Any() {
		qfevent.RequestsLeftOut.Log(&e.platform.Logger, left.Plain, left.Notable)
	}
}

// summarise writes the attempts of a request in one field: endpoint, version, rule with the
// time that was foreseen, end, status, time, error and what followed.
func summarise(attempts []qfforward.AttemptReport) string {
	var b strings.Builder
	for i := range attempts {
		a := &attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(string(a.Endpoint) + " " + string(a.Version) + " " + a.Rule)
		b.WriteString("(" + a.Predicted.Round(time.Millisecond).String() + ") " + string(a.End))
		b.WriteString(" " + strconv.Itoa(a.Status) + " " + a.Took.String())
		if a.Err != nil {
			b.WriteString(" (" + a.Err.Error() + ")")
		}
		b.WriteString(" " + a.Next)
	}
	return b.String()
}
