package entry

import (
	"strconv"
	"strings"

	"quetzalfront/internal/qf/protocol/qfforward"
)

// summarise writes the attempts of a request in one field: endpoint, version, rule,
// end, status, time, error and what followed.
func summarise(attempts []qfforward.AttemptReport) string {
	var b strings.Builder
	for i := range attempts {
		a := &attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(string(a.Endpoint) + " " + string(a.Version) + " " + a.Rule + " " + string(a.End))
		b.WriteString(" " + strconv.Itoa(a.Status) + " " + a.Took.String())
		if a.Err != nil {
			b.WriteString(" (" + a.Err.Error() + ")")
		}
		b.WriteString(" " + a.Next)
	}
	return b.String()
}
