package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"banyanlug.example/banyanlug/internal/log/event"
)

// Cause is a reason for which calls of one route ended without their target's
// answer, as one kind of node told it.
type Cause struct {
	Where  string  `json:"where"` // who decided: a caller's node, or one beside a target
	Pool   string  `json:"pool"`
	Route  string  `json:"route"`
	Reason string  `json:"reason"`
	Calls  int     `json:"calls"`
	InUse  float64 `json:"in_use"` // mean part of the slots in use, beside a target only
}

// The places at which a call is turned away.
const (
	// Unasked is a caller's node that asked no target.
	Unasked = "unasked"
	// Asked is a caller's node whose last attempt at a target failed.
	Asked = "asked"
	// Beside is the node beside a target.
	Beside = "beside"
)

// Causes counts why calls ended without their target's answer, the most frequent
// first, and returns how many lines of that kind the nodes left out.
//
// A route's refusals come from different nodes for different reasons, and a mend
// of the one does nothing for the other: slots that are all in use ask for more
// targets, calls turned away unasked while slots are free for another choice.
func (l *Log) Causes() (causes []Cause, omitted int) {
	pools := map[string]string{}
	rows := map[Cause]*Cause{}
	for _, line := range l.lines {
		c, ok := line.cause()
		if !ok {
			continue
		}
		omitted += int(line.number("omitted"))
		if c.Pool != "" {
			pools[c.Route] = c.Pool
		}
		row := rows[c]
		if row == nil {
			row = &Cause{Where: c.Where, Pool: c.Pool, Route: c.Route, Reason: c.Reason}
			rows[c] = row
		}
		row.Calls++
		row.InUse += line.number("running") / max(1, line.number("slots"))
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

// cause returns which cause a line counts for, if any.
func (l Line) cause() (Cause, bool) {
	switch l.code {
	case event.SlotRefused:
		return Cause{Where: Beside, Route: l.word("route"), Reason: l.word("reason")}, true
	case event.CallFailed:
		c := Cause{Where: Asked, Pool: l.word("pool"), Route: l.word("route"), Reason: l.word("cause")}
		if l.number("attempts") == 0 {
			c.Where = Unasked
		}
		if why := l.word("no_target"); why != "" {
			c.Reason += " " + strings.ReplaceAll(why, "_", "-")
		}
		return c, true
	default:
		return Cause{}, false
	}
}

func (l Line) word(field string) string {
	if v, ok := l.fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

func (l Line) number(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}
