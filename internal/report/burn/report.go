package burn

import (
	"cmp"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// The windows and burn rates of the alerts. Of a 30-day budget, a burn rate of
// 14.4 spends 2 % in an hour and one of 6 spends 5 % in six hours.
const (
	pageShort, pageLong     = 5 * time.Minute, time.Hour
	ticketShort, ticketLong = 30 * time.Minute, 6 * time.Hour
	pageRate, ticketRate    = 14.4, 6.0
)

// Report holds the burn rates of all services with an objective, by class.
type Report struct {
	At       time.Time `json:"at"`
	Asked    int       `json:"nodes_asked"`
	Answered int       `json:"nodes_answered"`
	Rows     []Row     `json:"services"`
}

// Row reports one service and class.
type Row struct {
	Service      string  `json:"service"`
	Class        string  `json:"class"`
	Objective    float64 `json:"objective"`
	LatencyMS    float64 `json:"objective_latency_ms"`
	WindowHours  float64 `json:"window_hours"`
	CoveredHours float64 `json:"covered_hours"`
	Calls        uint64  `json:"calls"`
	Bad          uint64  `json:"bad"`
	// BudgetLeft is the fraction of the error budget of the counted calls that
	// is not yet spent; below 0 the objective is missed.
	BudgetLeft float64      `json:"budget_left"`
	Burn       []WindowRate `json:"burn"`
	Alert      string       `json:"alert"`
	Causes     []Cause      `json:"causes"`
	P50MS      float64      `json:"p50_ms"`
	P99MS      float64      `json:"p99_ms"`
	Hours      []HourPoint  `json:"hours,omitempty"`
}

// WindowRate is the burn rate over one window.
type WindowRate struct {
	Window time.Duration `json:"window_ns"`
	Rate   float64       `json:"rate"`
	Calls  uint64        `json:"calls"`
}

// Cause counts the calls that were bad for one reason.
type Cause struct {
	Type  string `json:"type"`
	Calls uint64 `json:"calls"`
}

// HourPoint is the burn rate of one hour, for the plot.
type HourPoint struct {
	Begin time.Time `json:"begin"`
	Rate  float64   `json:"rate"`
}

// The values of Row.Alert.
const (
	AlertNone   = "none"
	AlertTicket = "ticket"
	AlertPage   = "page"
)

// Report returns the report as of now, measured against the objectives of s.
func (f *FleetCounts) Report(now time.Time, s *snapshot.Snapshot) Report {
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

func (m *mergedSeries) row(now time.Time, k key, o snapshot.Objective) Row {
	row := Row{
		Service: k.service, Class: k.class.String(), Objective: o.Availability(),
		LatencyMS: float64(o.Latency().Microseconds()) / 1000, WindowHours: o.Window().Hours(),
		P50MS: float64(m.histogram.ValueAtQuantile(50)) / 1000,
		P99MS: float64(m.histogram.ValueAtQuantile(99)) / 1000,
	}
	allowed := 1 - o.Availability()
	inWindow := sumSince(m.hours, now.Add(-o.Window()))
	row.Calls, row.Bad = inWindow.total, inWindow.bad()
	row.BudgetLeft = 1 - rate(inWindow, allowed)
	row.Causes = causes(inWindow)
	row.CoveredHours = m.coveredTime(now).Hours()
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

// coveredTime returns how far back the counts go. It uses the minutes while there
// is only one hour bucket, which may begin before the fleet started.
func (m *mergedSeries) coveredTime(now time.Time) time.Duration {
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

func burnOver(buckets map[int64]*bucket, now time.Time, window time.Duration, allowed float64) WindowRate {
	b := sumSince(buckets, now.Add(-window))
	return WindowRate{Window: window, Rate: rate(b, allowed), Calls: b.total}
}

// rate returns the burn rate: the fraction of bad calls divided by the allowed
// fraction.
func rate(b bucket, allowed float64) float64 {
	if b.total == 0 || allowed <= 0 {
		return 0
	}
	return float64(b.bad()) / float64(b.total) / allowed
}

// alert returns the most severe alert whose rate is reached in both its short
// and its long window.
func alert(burns []WindowRate) string {
	rates := map[time.Duration]float64{}
	for _, b := range burns {
		rates[b.Window] = b.Rate
	}
	switch {
	case rates[pageShort] >= pageRate && rates[pageLong] >= pageRate:
		return AlertPage
	case rates[ticketShort] >= ticketRate && rates[ticketLong] >= ticketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}

// slowCause is the cause of a successful call that took longer than the latency
// of the objective.
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
