package balance

import "time"

const (
	// slowdownWeight is the weight of the newest report, which the target's node has
	// averaged already.
	slowdownWeight = 1.0 / 2
	// slowdownDecay is the time in which a slowdown's difference from 1 halves:
	// long, as a caller seldom gets a report of each of many targets, but finite, so
	// that a target that was slow is tried again.
	slowdownDecay = 20 * time.Second
	// maxRoutes bounds the routes whose usual service times are kept.
	maxRoutes = 256
)

// slowdown is how many times longer than usual calls run at a target: 2 for twice as
// long. It comes from the target's node, which measures all of the target's calls;
// one caller of hundreds calls a target too seldom to measure it.
type slowdown struct {
	factor     float64 // 0 before the first report
	observedAt int64
}

// observe updates the moving average with a new report.
func (s *slowdown) observe(at int64, ratio float64) {
	current := s.current(at)
	if s.factor == 0 {
		current = ratio
	}
	s.factor, s.observedAt = current+slowdownWeight*(ratio-current), at
}

// current returns the slowdown decayed towards 1, or 1 before the first report.
func (s *slowdown) current(at int64) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*decay(at-s.observedAt, slowdownDecay)
}

// serviceTimes is the usual service time, in nanoseconds, of each route's calls at a
// pool's targets.
type serviceTimes map[string]float64

// observe updates the route's usual time with the one that a target reported, and
// returns the ratio of the two.
func (s serviceTimes) observe(route string, reported time.Duration) float64 {
	usual, known := s[route]
	if !known {
		if len(s) >= maxRoutes {
			clear(s)
		}
		usual = float64(reported)
	}
	usual += poolMeanWeight * (float64(reported) - usual)
	s[route] = usual
	return float64(reported) / max(1, usual)
}
