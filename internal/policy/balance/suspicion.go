package balance

import "math"

const (
	// usualFailing is the weight of the newest outcome in what part of its calls
	// a target usually fails: some fifty calls, so that a few failures in a row
	// do not pass for usual.
	usualFailing = 1.0 / 64
	// leastFailing stands for a pool that has hardly failed: one call in fifty
	// fails for causes of its own.
	leastFailing = 0.02
	// mostFailing keeps the test decided where all of a pool fails.
	mostFailing = 0.9
	// ejectOdds is how many times likelier it must be that the target is ill than
	// that it fails as its pool does: a healthy one is then ejected about once in so
	// many calls that fail, and an ill one beside healthy ones after three failures
	// in a row.
	ejectOdds = 1000
)

// suspicion weighs whether a target fails more often than the others of its
// pool (Page's cumulative sum test).
//
// Runs fail because a call that they make is refused, on all targets of a pool
// alike while the pool below is full. Judged by its own failures alone, each
// target in turn is taken out, the rest get its calls, and callers are refused
// with slots free. A target that is ill stands out among its like.
type suspicion struct {
	usual float64 // part of its calls that the target fails
	odds  float64 // logarithm of how much likelier "ill" is than "as the others"
}

// failed takes in a failure beside the part that the pool's others fail, and
// reports whether the target is to be ejected.
func (s *suspicion) failed(others float64) bool {
	s.usual += usualFailing * (1 - s.usual)
	well, ill := failingShares(others)
	s.odds += math.Log(ill / well)
	return s.odds > math.Log(ejectOdds)
}

// answered takes in an answer that is no failure.
func (s *suspicion) answered(others float64) {
	s.usual -= usualFailing * s.usual
	well, ill := failingShares(others)
	s.odds = max(0, s.odds+math.Log((1-ill)/(1-well)))
}

// failingShares returns the part of its calls that a target fails if it is as
// the others of its pool, and if it is ill, when it also fails half of what the
// others would serve.
func failingShares(others float64) (well, ill float64) {
	well = min(max(others, leastFailing), mostFailing)
	return well, (1 + well) / 2
}
