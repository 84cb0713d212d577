package balance

import "math"

const (
	// failureRateWeight is the weight of the newest outcome in a target's failure
	// rate: low, so that a few consecutive failures hardly raise it.
	failureRateWeight = 1.0 / 64
	// minFailureRate is the least failure rate assumed of a healthy target. One call in fifty
	// fails for causes of its own.
	minFailureRate = 0.02
	// maxFailureRate keeps the likelihood ratio defined when all of a pool's calls
	// fail.
	maxFailureRate = 0.9
	// ejectOdds is the likelihood ratio, unhealthy to as healthy as the pool, at
	// which a target is ejected: a healthy one about once in so many failed calls,
	// an unhealthy one among healthy ones after three consecutive failures.
	ejectOdds = 1000
)

// suspicion tests whether a target fails more often than the others of its pool,
// with Page's cumulative sum (CUSUM) test.
//
// Calls fail alike on all targets that depend on a full pool. Without the comparison
// these targets would be ejected one after the other, and callers would be refused
// with slots free.
type suspicion struct {
	failureRate float64 // moving average, from 0 to 1
	logRatio    float64 // logarithm of the likelihood ratio, unhealthy to like the others; at least 0
}

// failed records a failure, given the failure rate of the pool's other targets, and
// reports whether the target is to be ejected.
func (s *suspicion) failed(others float64) bool {
	s.failureRate += failureRateWeight * (1 - s.failureRate)
	healthy, unhealthy := failureRates(others)
	s.logRatio += math.Log(unhealthy / healthy)
	return s.logRatio > math.Log(ejectOdds)
}

// answered records a response that is no failure.
func (s *suspicion) answered(others float64) {
	s.failureRate -= failureRateWeight * s.failureRate
	healthy, unhealthy := failureRates(others)
	s.logRatio = max(0, s.logRatio+math.Log((1-unhealthy)/(1-healthy)))
}

// failureRates returns the expected failure rate of a target that is like the others
// of its pool, and that of an unhealthy one, which also fails half of the calls that
// the others would serve.
func failureRates(others float64) (healthy, unhealthy float64) {
	healthy = min(max(others, minFailureRate), maxFailureRate)
	return healthy, (1 + healthy) / 2
}
