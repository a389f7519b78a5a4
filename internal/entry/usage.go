package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// usageKeyPrefix begins the rows that fix what is reported of a window.
const usageKeyPrefix = "usage/"

// reportUsage reports one window that is due. What is reported is fixed in a row first,
// so that a successor repeats it and never sends other counts.
func (d *duties) reportUsage(ctx context.Context) {
	e := d.entry
	window, ok := d.reporter.NextWindow(e.clock.agreed(e.now()))
	if !ok {
		return
	}
	report, err := d.fixUsage(ctx, window)
	if err != nil {
		qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, qf.NotDone, err)
		return
	}
	holder, ok := d.mayAct()
	if !ok {
		return
	}
	result := e.platform.Duties.ReportUsage(ctx, holder, report)
	if result.Certainty == qf.Done {
		d.reporter.MarkReported(window)
	}
	qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, result.Certainty, result.Err)
}

// fixUsage returns what is to be reported of a window: what an earlier holder fixed, or
// else the counts as they are now.
func (d *duties) fixUsage(ctx context.Context, window int64) (qf.UsageReport, error) {
	e := d.entry
	key := fmt.Sprintf("%s%012d", usageKeyPrefix, window)
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var report qf.UsageReport
		err = json.Unmarshal(row.Value, &report)
		return report, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return qf.UsageReport{}, err
	}
	e.governor.mu.Lock()
	report := qf.UsageReport{Window: window, Counts: e.governor.usage.Total(window)}
	e.governor.mu.Unlock()
	value, err := json.Marshal(report)
	if err != nil {
		return report, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d", key, d.fencing)),
		Conditions: []qf.Condition{{Key: key}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	return report, result.Err
}
