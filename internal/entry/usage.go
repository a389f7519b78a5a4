package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// usageKeyPrefix begins the keys of the rows that hold the final report of a window.
const usageKeyPrefix = "usage/"

// usageSettleTime is how long after its start a node reports no usage: the counts of other nodes arrive with several
// exchanges.
const usageSettleTime = 2500 * time.Millisecond

// reportUsage reports one window that is due. The report is stored first,
// so that a successor repeats it and never sends different counts.
func (d *duties) reportUsage(ctx context.Context) {
	e := d.entry
	if e.now().Sub(e.startedAt) < usageSettleTime {
		return // Some counts of others haven't arrived yet.
	}
	window, ok := d.reporter.NextWindow(e.fleetClock.fleetTime(e.now()))
	if !ok {
		return
	}
	e.collectZoneUsage(ctx)
	report, err := d.freezeReport(ctx, window)
	if errors.Is(err, errMayBeReported) {
		d.reporter.MarkReported(window)
	}
	if err != nil {
		qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, qf.NotDone, err)
		return
	}
	holder, ok := d.leaseHolder()
	if !ok {
		return
	}
	result := e.platform.Duties.ReportUsage(ctx, holder, report)
	if result.Certainty == qf.Done {
		d.reporter.MarkReported(window)
	}
	qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, result.Certainty, result.Err)
}

// errMayBeReported means that a window's report may have been sent before the store came back
// from a copy that lacks it.
var errMayBeReported = &qf.Error{Code: qf.CodeStaleRevision, Step: qf.StepTableRead, Reason: "the window may have been reported before the store came back from an older copy"}

// freezeReport returns the report of a window: the one that an earlier holder stored, or else
// one of the current counts, which it stores.
func (d *duties) freezeReport(ctx context.Context, window int64) (qf.UsageReport, error) {
	e := d.entry
	key := fmt.Sprintf("%s%012d", usageKeyPrefix, window)
	if report, isStored := d.frozen[window]; isStored {
		return report, nil
	}
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var report qf.UsageReport
		err = json.Unmarshal(row.Value, &report)
		return report, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return qf.UsageReport{}, err
	}
	if e.storeEra.mayHaveLost(e.admission.usage.WindowEnd(window)) {
		return qf.UsageReport{}, errMayBeReported
	}
	e.admission.mu.Lock()
	report := qf.UsageReport{Window: window, Counts: e.admission.usage.Total(window)}
	e.admission.mu.Unlock()
	value, err := json.Marshal(report)
	if err != nil {
		return report, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d", key, d.fencing)),
		Conditions: []qf.Condition{{Key: key, Era: row.Era}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty == qf.Done {
		d.keepFrozen(report)
	}
	return report, result.Err
}

// keepFrozen keeps a stored report, which must be repeated unchanged even if the store loses it.
func (d *duties) keepFrozen(report qf.UsageReport) {
	d.frozen[report.Window] = report
	for window := range d.frozen {
		if window < report.Window-frozenWindows {
			delete(d.frozen, window)
		}
	}
}

// frozenWindows is the number of the latest windows whose reports are kept. Earlier ones are no
// longer reported.
const frozenWindows = 16
