package explain

import (
	"cmp"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/report/chart"
)

// otherCauses is the line of all causes that have no line of their own.
const otherCauses = "other"

// PlotFailures returns an SVG plot of the calls that failed without a response
// from a target, by cause over time. The rows of all paths are summed; they must
// be in order of time and counted with the same interval.
func PlotFailures(rows []PathRow, interval time.Duration) ([]byte, error) {
	first := "the first interval"
	if len(rows) > 0 {
		first = rows[0].Start.Format(time.DateTime)
	}
	c := chart.New(
		"Calls that ended without their target's response, by cause",
		"seconds since "+first+", by each node's own clock", "calls per second",
	)
	causes, counts := failuresByCause(rows)
	var starts []time.Time
	for _, row := range rows {
		// The neighbours show that nothing was counted for an interval without
		// rows. Filling all gaps would need memory for the whole time between.
		starts = append(starts, row.Start.Add(-interval), row.Start, row.Start.Add(interval))
	}
	slices.SortFunc(starts, time.Time.Compare)
	starts = slices.CompactFunc(starts, time.Time.Equal)
	for _, cause := range causes {
		points := make([]chart.Point, len(starts))
		for i, start := range starts {
			// The first of starts lies one interval before the first row.
			points[i] = chart.Point{
				X: (start.Sub(starts[0]) - interval).Seconds(),
				Y: float64(counts[cause][start.UnixNano()]) / interval.Seconds(),
			}
		}
		if err := c.AddLine(cause, points); err != nil {
			return nil, err
		}
	}
	return c.SVG()
}

// failuresByCause returns the causes to draw, the most frequent first and the sum
// of those beyond chart.MaxLines last, with their counts by interval start.
func failuresByCause(rows []PathRow) (causes []string, counts map[string]map[int64]int) {
	totals := map[string]int{}
	for _, row := range rows {
		for _, failed := range row.Failed {
			totals[failed.String()] += failed.Calls
		}
	}
	causes = sortedKeys(totals)
	slices.SortStableFunc(causes, func(a, b string) int { return cmp.Compare(totals[b], totals[a]) })
	if len(causes) > chart.MaxLines {
		causes = append(causes[:chart.MaxLines-1], otherCauses)
	}
	counts = map[string]map[int64]int{}
	for _, cause := range causes {
		counts[cause] = map[int64]int{}
	}
	for _, row := range rows {
		for _, failed := range row.Failed {
			cause := failed.String()
			if counts[cause] == nil {
				cause = otherCauses
			}
			counts[cause][row.Start.UnixNano()] += failed.Calls
		}
	}
	return causes, counts
}
