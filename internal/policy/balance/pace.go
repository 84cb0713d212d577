package balance

import "time"

const (
	// newestPace is the weight of the newest word of a target's pace, which its
	// node has averaged already.
	newestPace = 1.0 / 2
	// paceFade is when half of a pace's difference to the pool's has gone. Targets
	// differ for long, and a node of many sees each of them seldom; one that was
	// slow for a while has to be tried again all the same.
	paceFade = 20 * time.Second
	// maxRoutes bounds the routes whose usual service times are remembered.
	maxRoutes = 256
)

// pace is how much longer than usual calls run at one target, as its node tells:
// 2 for twice as long.
//
// Among hundreds of nodes each sees a target once in many seconds, and a call's own
// time varies more than targets do, so that what it has measured itself says next
// to nothing. The node beside the target sees all of its calls.
type pace struct {
	ratio  float64 // 0: not known
	seenAt int64
}

func (p *pace) heard(at int64, ratio float64) {
	now := p.now(at)
	if p.ratio == 0 {
		now = ratio
	}
	p.ratio, p.seenAt = now+newestPace*(ratio-now), at
}

func (p *pace) now(at int64) float64 {
	if p.ratio == 0 {
		return 1
	}
	return 1 + (p.ratio-1)*fade(at-p.seenAt, paceFade)
}

// services holds how long the calls of each route usually run at a pool's targets.
type services map[string]float64

// ratio takes in what one target told and returns how it compares.
func (s services) ratio(route string, told time.Duration) float64 {
	usual, known := s[route]
	if !known {
		if len(s) >= maxRoutes {
			clear(s)
		}
		usual = float64(told)
	}
	usual += usualShare * (float64(told) - usual)
	s[route] = usual
	return float64(told) / max(1, usual)
}
