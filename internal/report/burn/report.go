package burn

import (
	"cmp"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// The windows of an alert: a budget of 30 days that burns at 14.4 is two
// percent gone in an hour, which is worth waking somebody; at 6 five percent
// are gone in six hours, which is worth a ticket. The short window beside each
// ends the alert soon after the cause has ended.
const (
	pageShort, pageLong     = 5 * time.Minute, time.Hour
	ticketShort, ticketLong = 30 * time.Minute, 6 * time.Hour
	pageAt, ticketAt        = 14.4, 6.0
)

// Report is the burn of all services that have an objective, by class.
type Report struct {
	At       time.Time `json:"at"`
	Asked    int       `json:"nodes_asked"`
	Answered int       `json:"nodes_answered"`
	Rows     []Row     `json:"services"`
}

// Row is one service and class.
type Row struct {
	Service      string  `json:"service"`
	Class        string  `json:"class"`
	Objective    float64 `json:"objective"`
	LatencyMS    float64 `json:"objective_latency_ms"`
	WindowHours  float64 `json:"window_hours"`
	CoveredHours float64 `json:"covered_hours"`
	Calls        uint64  `json:"calls"`
	Bad          uint64  `json:"bad"`
	// BudgetLeft is the share of the budget not yet spent, for the calls that
	// were covered; below 0 the objective is missed.
	BudgetLeft float64     `json:"budget_left"`
	Burn       []Burn      `json:"burn"`
	Alert      string      `json:"alert"`
	Causes     []Cause     `json:"causes"`
	P50MS      float64     `json:"p50_ms"`
	P99MS      float64     `json:"p99_ms"`
	Hours      []HourPoint `json:"hours,omitempty"`
}

// Burn is the burn rate over one window.
type Burn struct {
	Window time.Duration `json:"window_ns"`
	Rate   float64       `json:"rate"`
	Calls  uint64        `json:"calls"`
}

// Cause is how many calls failed for one reason.
type Cause struct {
	Type  string `json:"type"`
	Calls uint64 `json:"calls"`
}

// HourPoint is the burn of one hour, for the plot.
type HourPoint struct {
	Begin time.Time `json:"begin"`
	Rate  float64   `json:"rate"`
}

// The alerts of a row.
const (
	AlertNone   = "none"
	AlertTicket = "ticket"
	AlertPage   = "page"
)

// Make returns the report at a time, by the objectives of a version.
func (f *Fleet) Make(now time.Time, s *snapshot.Snapshot) Report {
	r := Report{At: now.UTC(), Asked: f.asked, Answered: f.answered, Rows: []Row{}}
	for _, k := range f.keys() {
		o, ok := s.Object(snapshot.Key{Kind: snapshot.KindObjective, Name: k.service})
		if !ok {
			continue
		}
		if objective, ok := o.(snapshot.Objective); ok {
			r.Rows = append(r.Rows, f.series[k].row(now, k, objective))
		}
	}
	return r
}

func (m *merged) row(now time.Time, k key, o snapshot.Objective) Row {
	row := Row{
		Service: k.service, Class: k.class.String(), Objective: o.Availability(),
		LatencyMS: float64(o.Latency().Microseconds()) / 1000, WindowHours: o.Window().Hours(),
		P50MS: float64(m.histogram.ValueAtQuantile(50)) / 1000,
		P99MS: float64(m.histogram.ValueAtQuantile(99)) / 1000,
	}
	allowed := 1 - o.Availability()
	whole := sum(m.hours, now.Add(-o.Window()))
	row.Calls, row.Bad = whole.total, whole.bad()
	row.BudgetLeft = 1 - rate(whole, allowed)
	row.Causes = causes(whole)
	row.CoveredHours = m.covered(now).Hours()
	for _, w := range []time.Duration{pageShort, ticketShort, pageLong} {
		row.Burn = append(row.Burn, burnOver(m.minutes, now, w, allowed))
	}
	row.Burn = append(row.Burn, burnOver(m.hours, now, ticketLong, allowed))
	row.Alert = alert(row.Burn)
	for _, b := range m.hours {
		row.Hours = append(row.Hours, HourPoint{Begin: b.begin, Rate: rate(*b, allowed)})
	}
	slices.SortFunc(row.Hours, func(a, b HourPoint) int { return a.Begin.Compare(b.Begin) })
	return row
}

// covered returns how far back the counts go. The minutes tell it for a fleet
// that has just started, since its first hour's bucket begins before it did.
func (m *merged) covered(now time.Time) time.Duration {
	buckets := m.hours
	if len(buckets) < 2 {
		buckets = m.minutes
	}
	var d time.Duration
	for _, b := range buckets {
		d = max(d, now.Sub(b.begin))
	}
	return d
}

func burnOver(buckets map[int64]*bucket, now time.Time, window time.Duration, allowed float64) Burn {
	b := sum(buckets, now.Add(-window))
	return Burn{Window: window, Rate: rate(b, allowed), Calls: b.total}
}

// rate returns how many times faster than allowed calls failed.
func rate(b bucket, allowed float64) float64 {
	if b.total == 0 || allowed <= 0 {
		return 0
	}
	return float64(b.bad()) / float64(b.total) / allowed
}

// alert returns the worst alert whose short and long window both burn.
func alert(burns []Burn) string {
	over := map[time.Duration]float64{}
	for _, b := range burns {
		over[b.Window] = b.Rate
	}
	switch {
	case over[pageShort] >= pageAt && over[pageLong] >= pageAt:
		return AlertPage
	case over[ticketShort] >= ticketAt && over[ticketLong] >= ticketAt:
		return AlertTicket
	default:
		return AlertNone
	}
}

// slowCause is what a call counts as that was answered later than the
// objective allows.
const slowCause = "slow"

func causes(b bucket) []Cause {
	var out []Cause
	if b.slow > 0 {
		out = append(out, Cause{slowCause, b.slow})
	}
	for cause, n := range b.failed {
		out = append(out, Cause{cause, n})
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Type, b.Type))
	})
	return out
}
