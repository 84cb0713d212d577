package overload

import (
	"math"
	"slices"
	"time"
)

// averagedOver is the time constant of the mean. A delay that has lasted for two
// observations shows within half a second, and has left the mean as fast.
const averagedOver = 200 * time.Millisecond

// estimate is a moving mean of the scheduling delay. Each observation counts for the time
// that it covers, and only as the median of the last three: the one long delay of a
// process that was stopped and runs again has no effect.
type estimate struct {
	last [3]time.Duration
	next int
	mean float64 // nanoseconds
}

// observe adds how late a timer has fired that was set to period.
func (e *estimate) observe(period, late time.Duration) {
	e.last[e.next] = max(0, late)
	e.next = (e.next + 1) % len(e.last)
	sorted := e.last
	slices.Sort(sorted[:])
	median := sorted[len(sorted)/2]
	weight := 1 - math.Exp(-float64(period+median)/float64(averagedOver))
	e.mean += weight * (float64(median) - e.mean)
}
