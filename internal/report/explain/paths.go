package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

// deadlineCause is the cause of calls that were cut off at their deadline.
const deadlineCause = "deadline"

// lowestServerError is the lowest status that counts as a server error.
const lowestServerError = 500

// PathRow counts the calls of one path, a route to a pool, within one interval.
type PathRow struct {
	Start           time.Time     `json:"start,omitzero"` // zero if all intervals are counted together
	Pool            string        `json:"pool"`
	Route           string        `json:"route"`
	Failed          []Count       `json:"failed"`          // calls without their target's response, by cause
	Refused         []Refusals    `json:"refused"`         // refusals by targets' nodes
	FailedAttempts  int           `json:"failed_attempts"` // one call may have several
	Retried         int           `json:"retried"`         // calls served after more than one attempt, without a server error
	DeadlineTargets []TargetCount `json:"deadline_targets"`
	ServerErrors    []StatusCount `json:"server_errors"` // targets' responses from status 500
}

// Count counts calls by where they ended, a value of Cause.Where, and why.
type Count struct {
	Where  string `json:"where"`
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
}

// String returns the reason, after Where if the call was sent to no target.
func (c Count) String() string {
	if c.Where == NoAttempt {
		return c.Where + " " + c.Reason
	}
	return c.Reason
}

// Refusals counts the refusals by targets' nodes with the same reason.
type Refusals struct {
	Reason string  `json:"reason"`
	Calls  int     `json:"calls"`
	InUse  float64 `json:"in_use"` // mean fraction of the target's slots in use
}

// TargetCount counts the calls that were cut off at their deadline by the
// target that they were last sent to.
type TargetCount struct {
	Instance string `json:"instance"`
	Target   string `json:"target"`
	Calls    int    `json:"calls"`
}

// StatusCount counts responses by their status.
type StatusCount struct {
	Status    int `json:"status"`
	Responses int `json:"responses"`
}

// pathKey identifies a row.
type pathKey struct {
	start       int64 // Unix time in ns; 0 if all intervals are counted together
	pool, route string
}

// pathCounts holds the counts of a row while logs are read.
type pathCounts struct {
	failed          map[Count]int
	refused         map[string]int
	inUse           map[string]float64 // sums over the refusals, by reason
	failedAttempts  int
	retried         int
	deadlineTargets map[TargetCount]int
	serverErrors    map[int]int
}

func newPathCounts() *pathCounts {
	return &pathCounts{
		failed: map[Count]int{}, refused: map[string]int{}, inUse: map[string]float64{},
		deadlineTargets: map[TargetCount]int{}, serverErrors: map[int]int{},
	}
}

// Paths counts calls by path and interval while it reads logs. It keeps the
// counts and no lines, so its memory depends on the number of paths, targets
// and intervals but not on the length of the logs.
type Paths struct {
	interval    time.Duration
	pool, route string
	counts      map[pathKey]*pathCounts
	// pools maps routes to pools, by interval and, with start 0, over all: the
	// lines of a target's node do not name the pool.
	pools   map[pathKey]string
	omitted int
}

// PathsOption configures Paths.
type PathsOption func(*Paths)

// Interval sets the length of the intervals; by default, all calls of a path
// are counted together.
func Interval(d time.Duration) PathsOption { return func(p *Paths) { p.interval = d } }

// OnlyPool restricts the rows to one pool, unless name is empty.
func OnlyPool(name string) PathsOption { return func(p *Paths) { p.pool = name } }

// OnlyRoute restricts the rows to one route, unless name is empty.
func OnlyRoute(name string) PathsOption { return func(p *Paths) { p.route = name } }

// NewPaths returns Paths that have read no log.
func NewPaths(opts ...PathsOption) *Paths {
	p := &Paths{counts: map[pathKey]*pathCounts{}, pools: map[pathKey]string{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Read counts the calls of a log. It skips lines and returns errors as
// Log.Read does.
func (p *Paths) Read(name string, r io.Reader) error { return readLines(name, r, p.add) }

// Omitted returns how many lines the nodes omitted from the logs.
func (p *Paths) Omitted() int { return p.omitted }

// Rows returns the counts in order of time, and within an interval by pool and
// route. An interval in which nothing was counted for a path has no row.
func (p *Paths) Rows() []PathRow {
	merged := map[pathKey]*pathCounts{}
	for key, counts := range p.counts {
		key.pool = p.poolOf(key)
		if p.pool != "" && key.pool != p.pool {
			continue
		}
		if merged[key] == nil {
			merged[key] = newPathCounts()
		}
		merged[key].add(counts)
	}
	rows := make([]PathRow, 0, len(merged))
	for key, counts := range merged {
		rows = append(rows, counts.row(key))
	}
	slices.SortFunc(rows, func(a, b PathRow) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Route, b.Route))
	})
	return rows
}

// poolOf returns the pool of a row; for counts of targets' nodes it is the pool
// that callers' nodes last named for the route, in the same interval if they did.
func (p *Paths) poolOf(key pathKey) string {
	if key.pool != "" {
		return key.pool
	}
	if pool := p.pools[pathKey{start: key.start, route: key.route}]; pool != "" {
		return pool
	}
	return p.pools[pathKey{route: key.route}]
}

func (p *Paths) add(l Line) {
	p.omitted += int(l.numberField("omitted"))
	route := l.stringField("route")
	if p.route != "" && route != p.route {
		return
	}
	switch l.code {
	case event.CallFailed, event.AttemptFailed, event.CallServed, event.SlotRefused, event.TargetResponded:
	default:
		return
	}
	key := pathKey{pool: l.stringField("pool"), route: route}
	if p.interval > 0 {
		// Truncate counts from the zero time, so that all nodes have the same intervals.
		key.start = l.at.Truncate(p.interval).UnixNano()
	}
	if key.pool != "" {
		p.pools[pathKey{start: key.start, route: route}] = key.pool
		p.pools[pathKey{route: route}] = key.pool
	}
	if !l.isCounted() {
		return
	}
	counts := p.counts[key]
	if counts == nil {
		counts = newPathCounts()
		p.counts[key] = counts
	}
	counts.addLine(l)
}

// isCounted reports whether a line about a call or an attempt changes a row.
// Nodes also log a sample of the calls that went well.
func (l Line) isCounted() bool {
	switch l.code {
	case event.CallServed:
		return l.numberField("attempts") > 1 && l.numberField("status") < lowestServerError
	case event.TargetResponded:
		return l.numberField("status") >= lowestServerError
	default:
		return true
	}
}

func (c *pathCounts) addLine(l Line) {
	switch l.code {
	case event.CallFailed:
		cause, _ := l.cause()
		c.failed[Count{Where: cause.Where, Reason: cause.Reason}]++
		if cause.Where == AfterAttempt && l.stringField("cause") == deadlineCause {
			c.deadlineTargets[TargetCount{Instance: l.stringField("instance"), Target: l.stringField("target")}]++
		}
	case event.SlotRefused:
		reason := l.stringField("reason")
		c.refused[reason]++
		c.inUse[reason] += l.slotsInUse()
	case event.AttemptFailed:
		c.failedAttempts++
	case event.CallServed:
		c.retried++
	case event.TargetResponded:
		c.serverErrors[int(l.numberField("status"))]++
	}
}

func (c *pathCounts) add(other *pathCounts) {
	addCounts(c.failed, other.failed)
	addCounts(c.refused, other.refused)
	addCounts(c.deadlineTargets, other.deadlineTargets)
	addCounts(c.serverErrors, other.serverErrors)
	addCounts(c.inUse, other.inUse)
	c.failedAttempts += other.failedAttempts
	c.retried += other.retried
}

func addCounts[K comparable, N int | float64](to, from map[K]N) {
	for k, n := range from {
		to[k] += n
	}
}

func (c *pathCounts) row(key pathKey) PathRow {
	row := PathRow{
		Pool: key.pool, Route: key.route,
		Failed: sortedCounts(c.failed), Refused: []Refusals{},
		FailedAttempts: c.failedAttempts, Retried: c.retried,
		DeadlineTargets: []TargetCount{}, ServerErrors: []StatusCount{},
	}
	if key.start != 0 {
		row.Start = time.Unix(0, key.start).UTC()
	}
	for reason, n := range c.refused {
		row.Refused = append(row.Refused, Refusals{Reason: reason, Calls: n, InUse: c.inUse[reason] / float64(n)})
	}
	slices.SortFunc(row.Refused, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Reason, b.Reason))
	})
	for target, n := range c.deadlineTargets {
		target.Calls = n
		row.DeadlineTargets = append(row.DeadlineTargets, target)
	}
	slices.SortFunc(row.DeadlineTargets, func(a, b TargetCount) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Target, b.Target))
	})
	for status, n := range c.serverErrors {
		row.ServerErrors = append(row.ServerErrors, StatusCount{Status: status, Responses: n})
	}
	slices.SortFunc(row.ServerErrors, func(a, b StatusCount) int { return cmp.Compare(a.Status, b.Status) })
	return row
}

// sortedCounts returns counts, the highest first.
func sortedCounts(counts map[Count]int) []Count {
	out := make([]Count, 0, len(counts))
	for c, n := range counts {
		c.Calls = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Where, b.Where), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
