package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"banyanlug.example/banyanlug/internal/log/event"
)

// Cause counts the calls of one route that failed without a response from a
// target, by the reason and the kind of node that logged it.
type Cause struct {
	Where  string  `json:"where"` // the kind of node that ended the call, one of the constants below
	Pool   string  `json:"pool"`
	Route  string  `json:"route"`
	Reason string  `json:"reason"`
	Calls  int     `json:"calls"`
	InUse  float64 `json:"in_use"` // mean fraction of the slots in use; 0 for a caller's node
}

// The values of Cause.Where.
const (
	// NoAttempt is a caller's node that made no attempt at a target.
	NoAttempt = "unasked"
	// AfterAttempt is a caller's node that made at least one attempt at a target.
	AfterAttempt = "asked"
	// TargetNode is a target's node that refused the call a slot.
	TargetNode = "beside"
)

// Causes returns why calls failed without a response from a target, the most
// frequent cause first, and how many such lines the nodes omitted from the log.
//
// Causes are counted by the kind of node, since their remedies differ: full
// slots need more targets, while calls without an attempt although slots are
// free point to load balancing.
func (l *Log) Causes() (causes []Cause, omitted int) {
	pools := map[string]string{}
	rows := map[Cause]*Cause{}
	for _, line := range l.lines {
		c, ok := line.cause()
		if !ok {
			continue
		}
		omitted += int(line.numberField("omitted"))
		if c.Pool != "" {
			pools[c.Route] = c.Pool
		}
		row := rows[c]
		if row == nil {
			row = &Cause{Where: c.Where, Pool: c.Pool, Route: c.Route, Reason: c.Reason}
			rows[c] = row
		}
		row.Calls++
		row.InUse += line.slotsInUse()
	}
	for _, row := range rows {
		row.InUse /= float64(row.Calls)
		if row.Pool == "" {
			row.Pool = pools[row.Route]
		}
		causes = append(causes, *row)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Where, b.Where), cmp.Compare(a.Reason, b.Reason))
	})
	return causes, omitted
}

// cause returns the cause of the failure that a line logs, without counts, or
// false if the line logs none.
func (l Line) cause() (Cause, bool) {
	switch l.code {
	case event.SlotRefused:
		return Cause{Where: TargetNode, Route: l.stringField("route"), Reason: l.stringField("reason")}, true
	case event.CallFailed:
		c := Cause{Where: AfterAttempt, Pool: l.stringField("pool"), Route: l.stringField("route"), Reason: l.stringField("cause")}
		if l.numberField("attempts") == 0 {
			c.Where = NoAttempt
		}
		if noTarget := l.stringField("no_target"); noTarget != "" {
			c.Reason += " " + strings.ReplaceAll(noTarget, "_", "-")
		}
		return c, true
	default:
		return Cause{}, false
	}
}

// slotsInUse returns the fraction of the target's slots that were in use.
func (l Line) slotsInUse() float64 { return l.numberField("running") / max(1, l.numberField("slots")) }

func (l Line) stringField(name string) string {
	if v, ok := l.fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

func (l Line) numberField(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}
