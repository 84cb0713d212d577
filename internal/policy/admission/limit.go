package admission

import (
	"math"
	"time"
)

const (
	// A call that the target served proves its concurrency for provenMinTTL or
	// provenTTLServices mean service times, whichever is longer, from the call's
	// start. The proof by a call that takes a second has to outlast that call.
	provenMinTTL      = time.Second
	provenTTLServices = 3
	// minRejectionRate is the rejection rate assumed of a healthy target.
	minRejectionRate = 0.04
	// significance is the probability below which consecutive rejections are
	// not attributed to chance, and the target counts as full.
	significance = 0.05
	// rejectionWeight is the weight of the newest call in the rejection rate.
	rejectionWeight = 1.0 / 16
	// After a cut the limit stays for growDelay and then grows by one call every
	// growInterval. The declared slots are normally right, so it grows back
	// quickly: by a dozen slots within about a second.
	growDelay    = 400 * time.Millisecond
	growInterval = 50 * time.Millisecond
)

// concurrencyLimit bounds how many calls run at once on the target: the slots
// that the target declares, lowered while it rejects calls at a higher
// concurrency than it has recently served.
//
// A faulty target rejects part of its calls at any concurrency. If each rejection
// lowered the limit, the limit would fall to one slot, the gate would refuse calls
// that the target can serve, and their retries would prolong the overload after the
// fault has ended. So rejections lower the limit only above the proven concurrency,
// and only if chance is an unlikely cause.
type concurrencyLimit struct {
	declared int
	current  int
	// proven is the highest concurrency at which the target recently served a
	// call, and when that call began.
	proven struct {
		concurrency int
		began       int64
	}
	// rejectionRate is the fraction of calls rejected at proven concurrency.
	rejectionRate float64
	// consecutiveRejections counts the rejections above proven concurrency since a
	// call last confirmed that concurrency or the limit was last cut.
	consecutiveRejections int
	growAt                int64
}

// declare sets how many slots the target declares.
func (l *concurrencyLimit) declare(n int) {
	if l.declared != n {
		*l = concurrencyLimit{declared: n, current: n, rejectionRate: minRejectionRate}
	}
}

// grow raises a lowered limit by one call. It is called when all slots are in
// use.
func (l *concurrencyLimit) grow(at int64) {
	if l.current < l.declared && at >= l.growAt {
		l.current++
		l.growAt = at + int64(growInterval)
	}
}

// served records a call that the target has served; service is the mean service
// time in nanoseconds.
func (l *concurrencyLimit) served(c *call, service float64) {
	if c.concurrency <= l.provenConcurrency(c.start, service) {
		l.rejectionRate -= rejectionWeight * (l.rejectionRate - minRejectionRate)
	}
	if c.concurrency >= l.provenConcurrency(c.start, service) {
		l.proven.concurrency, l.proven.began = c.concurrency, c.start
		l.consecutiveRejections = 0
	}
}

// rejected records a call that the target itself has rejected.
func (l *concurrencyLimit) rejected(at int64, c *call, service float64) {
	proven := l.provenConcurrency(c.start, service)
	if c.concurrency <= proven {
		l.rejectionRate += rejectionWeight * (1 - l.rejectionRate)
		return
	}
	if c.concurrency > l.current {
		return // began before the last cut, which already accounts for it
	}
	l.consecutiveRejections++
	if c.concurrency > 1 && math.Pow(l.rejectionRate, float64(l.consecutiveRejections)) < significance {
		l.current = max(proven, c.concurrency-1)
		l.consecutiveRejections, l.growAt = 0, at+int64(growDelay)
	}
}

// provenConcurrency returns the highest concurrency at which the target served a
// call that began shortly before start, or 0.
func (l *concurrencyLimit) provenConcurrency(start int64, service float64) int {
	if start-l.proven.began > max(int64(provenMinTTL), int64(provenTTLServices*service)) {
		return 0
	}
	return l.proven.concurrency
}
