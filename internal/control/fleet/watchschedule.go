package fleet

import "time"

const (
	// checkInterval is how often some reader of the fleet should end its watch. When the
	// store compacts its history, pending watches receive nothing until they end, on all
	// readers at once; the first reader to notice informs the others.
	checkInterval = time.Second
	// minPeriod and maxPeriod bound how often one reader ends its watch: each end costs a
	// call, but an isolated failure domain depends on its own reader.
	minPeriod = 2 * time.Second
	maxPeriod = 4 * time.Second
	// minWatch is the shortest watch outside a burst of versions.
	minWatch = 500 * time.Millisecond
	// burstWatch is the duration of a watch in a burst of versions, and burstGap the
	// maximum time between two versions of a burst. A watch that receives nothing for
	// longer in a burst has most likely missed a version.
	burstWatch = 600 * time.Millisecond
	burstGap   = 2 * time.Second
)

// watchSchedule decides the maximum duration of watches. It bounds the delay of versions
// written while the store compacts its history, as they are found only when a watch ends.
type watchSchedule struct {
	last  time.Time // arrival of the last version
	burst bool      // the last version followed another within burstGap
}

// versionArrived records the arrival of a version.
func (s *watchSchedule) versionArrived(now time.Time) {
	s.burst = !s.last.IsZero() && now.Sub(s.last) < burstGap
	s.last = now
}

// wait returns the duration of a watch that begins now, in the failure domain with the
// given index out of domains. The ends are staggered over the domains by the time of day;
// clocks may differ between nodes.
func (s *watchSchedule) wait(now time.Time, index, domains int) time.Duration {
	if s.burst && now.Sub(s.last) < burstGap {
		return burstWatch
	}
	period := min(max(time.Duration(domains)*checkInterval, minPeriod), maxPeriod)
	return untilTurn(now, period, minWatch, index, domains)
}

// untilTurn returns the time until the next turn of one of several that take turns in each
// period, by the time of day; if that is in less than least, until the turn after.
func untilTurn(now time.Time, period, least time.Duration, index, of int) time.Duration {
	slot := period * time.Duration(index) / time.Duration(max(1, of))
	remaining := period - (time.Duration(now.UnixNano())-slot)%period
	if remaining < least {
		remaining += period
	}
	return remaining
}
