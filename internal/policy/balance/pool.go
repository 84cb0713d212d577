package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// spillAt is the utilisation of the cheapest near target above which farther
	// ones are considered. Up to it a call waits half a service time at most; those
	// that would miss their soft deadline are refused by the target's node and
	// retried farther away.
	spillAt = 1.5
	// farCostFactor multiplies the cost of a farther target, for the traffic between
	// failure domains.
	farCostFactor = 3
	// maxEjectedFraction bounds the part of a pool that failures may eject, and that may
	// be unusable with a target that is excluded as overloaded. If more
	// fails, the cause is seldom the targets, and ejecting them all would turn one
	// fault into an outage.
	maxEjectedFraction = 0.5
	// minChoices and maxChoices bound the number of random targets of which the
	// cheapest is taken: all but one of a small tier. With two of many, the fastest quarter of
	// a pool gets at most about four calls in ten.
	minChoices, maxChoices = 2, 4
	// maxRandomDraws is how often a target is drawn at random before all are
	// scanned. With half of a pool unusable, one pick in 256 scans.
	maxRandomDraws = 8
	// initialLatency is used until a pool's first response.
	initialLatency = float64(10 * time.Millisecond)
	// poolMeanWeight is the weight of one response in a pool's means: low, so that
	// one slow target hardly changes them.
	poolMeanWeight = 1.0 / 64
)

// pool holds the targets of one pool in tiers by distance.
type pool struct {
	mu      sync.Mutex
	rng     *rand.Rand
	all     []*target
	tiers   [][]*target
	latency float64
	// serviceTimes is allocated with the first service time that a target reports.
	serviceTimes serviceTimes
}

// usualLatency returns the pool's mean latency.
func (p *pool) usualLatency() float64 {
	if p.latency == 0 {
		return initialLatency
	}
	return p.latency
}

func (p *pool) pick(at int64, info CallInfo, tried []Picked) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := (*target)(nil), math.Inf(1)
	nearerServing := false
	for i, tier := range p.tiers {
		t, cost := p.cheapest(at, tier, info, tried)
		if i > 0 {
			if nearerServing && t != nil && t.utilisation(at) > spillAt {
				// This target is full too and would refuse the call.
				continue
			}
			cost *= farCostFactor
		}
		nearerServing = nearerServing || p.hasServingTarget(at, tier)
		if cost < bestCost {
			best, bestCost = t, cost
		}
		if t != nil && t.utilisation(at) <= spillAt {
			break
		}
	}
	if best == nil {
		return p.none(at, info, tried)
	}
	best.readmit(at)
	best.outstanding++
	if best.idleConns > 0 {
		best.idleConns--
	}
	return Picked{best}
}

// hasServingTarget reports whether a tier has a target that is neither draining nor
// ejected, even one without a free slot.
func (p *pool) hasServingTarget(at int64, tier []*target) bool {
	for _, t := range tier {
		if !t.draining(at) && !t.ejected {
			return true
		}
	}
	return false
}

// cheapest draws some targets and returns the cheapest. Taking the cheapest of all
// by outdated loads would send all callers to the same one; by a choice of a few
// random ones ("power of two choices", Mitzenmacher) it gets at most a few times its
// share. A target that is due for a probe is taken whenever it is drawn, as its old
// failures would make it too expensive for good.
func (p *pool) cheapest(at int64, tier []*target, info CallInfo, tried []Picked) (*target, float64) {
	var best *target
	cost := math.Inf(1)
	for range drawCount(tier) {
		t := p.draw(at, tier, info, tried, best)
		if t == nil {
			break
		}
		c := t.cost(at, p.usualLatency())
		if t.probing(at) {
			return t, c
		}
		if c < cost {
			best, cost = t, c
		}
	}
	return best, cost
}

// drawCount returns how many targets of a tier are drawn for a pick.
func drawCount(tier []*target) int { return min(max(minChoices, len(tier)-1), maxChoices) }

// draw returns a random target other than exclude that may be picked, a cold one
// less often, or nil.
func (p *pool) draw(at int64, tier []*target, info CallInfo, tried []Picked, exclude *target) *target {
	n := len(tier)
	if n == 0 || (n == 1 && tier[0] == exclude) {
		return nil
	}
	for range maxRandomDraws {
		t := tier[p.rng.IntN(n)]
		if t != exclude && usable(at, t, info, tried) && p.acceptDraw(at, t, drawCount(tier)) {
			return t
		}
	}
	start := p.rng.IntN(n)
	for i := range n {
		if t := tier[(start+i)%n]; t != exclude && usable(at, t, info, tried) {
			return t
		}
	}
	return nil
}

// acceptDraw reports whether a drawn target is kept. The chance of a cold one is
// scaled by the number of draws in a pick, so that it gets the same share for any
// number.
func (p *pool) acceptDraw(at int64, t *target, draws int) bool {
	share := float64(minChoices) / float64(draws)
	if t.probing(at) {
		return p.rng.Float64() < coldShare*share
	}
	ramp := t.rampFraction(at)
	return ramp == 1 || p.rng.Float64() < ramp*share
}

func usable(at int64, t *target, info CallInfo, tried []Picked) bool {
	return !t.draining(at) && t.available(at) && t.shedUntil(info) <= at && !contains(tried, t)
}

func contains(tried []Picked, t *target) bool {
	for i := range tried {
		if tried[i].t == t {
			return true
		}
	}
	return false
}

// none returns why no target may be picked; if one is merely ejected, it is picked as
// a probe, since the call would fail otherwise. A target that refuses connections is
// probed by one call at a time; one that fails part of its calls may get several, as
// it still serves the rest.
func (p *pool) none(at int64, info CallInfo, tried []Picked) Choice {
	none := None{reason: NoTargets, retryAfter: initialEjection}
	earliest := int64(math.MaxInt64)
	var probe *target
	for _, t := range p.all {
		if t.draining(at) {
			continue
		}
		if contains(tried, t) {
			if none.reason == NoTargets {
				none.reason = AllTried
			}
			continue
		}
		until, reason := t.shedUntil(info), AllShed
		if until <= at {
			if (t.outstanding == 0 || t.ejected && !t.unreachable) && (probe == nil || t.ejectedUntil < probe.ejectedUntil) {
				probe = t
			}
			until, reason = max(t.ejectedUntil, at+int64(time.Millisecond)), AllEjected
		}
		if until < earliest {
			earliest = until
			none = None{reason, time.Duration(until - at)}
		}
	}
	if probe != nil {
		probe.outstanding++
		return Picked{probe}
	}
	return none
}

func (p *pool) done(at int64, t *target, info CallInfo, elapsed time.Duration, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.outstanding--
	if r.connKept {
		t.idleConns++
	}
	if r.hasLoad {
		t.load, t.loadAt = r.load, at
	}
	if r.serviceTime > 0 {
		if p.serviceTimes == nil {
			p.serviceTimes = serviceTimes{}
		}
		t.slowdown.observe(at, p.serviceTimes.observe(info.route, r.serviceTime))
	}
	switch r.kind {
	case answered:
		p.observeLatency(at, t, float64(elapsed))
		t.observeOutcome(0)
		t.suspicion.answered(p.othersFailureRate(at, t))
		t.unreachable = false
		if t.ejected && at >= t.ejectedUntil {
			t.ejected, t.recentFailureRate, t.suspicion.logRatio = false, 0, 0
			t.coldSince = max(t.coldSince, t.ejectedUntil)
		}
		if at-t.failedAt > int64(maxEjection) {
			t.ejections = 0
		}
	case failed:
		p.observeUnfinished(at, t, float64(elapsed))
		p.fail(at, t)
	case unreachable:
		// No process accepts connections there, so the next attempt would fail
		// too: one such failure ejects the target.
		t.idleConns = 0
		t.recentFailureRate, t.failedAt, t.unreachable = 1, at, true
		if !t.ejected || t.probing(at) {
			t.eject(at, p.rng)
		}
	case shed:
		t.recordShed(at, info, r.scope, r.retryAfter)
	case overloaded:
		p.excludeOverloaded(at, t, info, r.retryAfter)
	case draining:
		t.drainingUntil = at + int64(maxDraining)
	case noCapacity:
		// Only the reported load counts, which is recorded above.
	case cancelled:
		p.observeUnfinished(at, t, float64(elapsed))
	}
}

// excludeOverloaded excludes a target whose node is overloaded, unless too few targets of
// the pool would be left: then it keeps its calls, since the others are no better.
func (p *pool) excludeOverloaded(at int64, t *target, info CallInfo, after time.Duration) {
	excluded := 1
	for _, other := range p.all {
		if other != t && (other.ejected || other.draining(at) || other.shedAllUntil > at) {
			excluded++
		}
	}
	if float64(excluded) <= maxEjectedFraction*float64(len(p.all)) {
		t.recordShed(at, info, ForAll, after)
	}
}

// observeLatency updates the latencies of the pool and of the target.
func (p *pool) observeLatency(at int64, t *target, latency float64) {
	if p.latency == 0 {
		p.latency = latency
	}
	p.latency += poolMeanWeight * (latency - p.latency)
	current := t.latencyNow(at, p.usualLatency())
	if t.latency == 0 {
		current = latency
	}
	t.latency, t.latencyAt = current+latencyWeight*(latency-current), at
}

// observeUnfinished takes the duration of a call without a response as a lower bound
// of its latency (a censored observation). Without it a target that only times out
// would keep its good latency.
func (p *pool) observeUnfinished(at int64, t *target, elapsed float64) {
	if current := t.latencyNow(at, p.usualLatency()); elapsed > current {
		t.latency, t.latencyAt = current+latencyWeight*(elapsed-current), at
	}
}

// othersFailureRate returns the mean failure rate of the pool's other targets,
// without those that drain or are ejected.
func (p *pool) othersFailureRate(at int64, t *target) float64 {
	sum, n := 0.0, 0
	for _, other := range p.all {
		if other != t && !other.draining(at) && !other.ejected {
			sum += other.suspicion.failureRate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (p *pool) fail(at int64, t *target) {
	t.observeOutcome(1)
	t.failedAt, t.unreachable = at, false
	unhealthy := t.suspicion.failed(p.othersFailureRate(at, t))
	if t.probing(at) {
		t.eject(at, p.rng)
		return
	}
	if t.ejected || !unhealthy {
		return
	}
	ejected := 1
	for _, other := range p.all {
		if other.ejected {
			ejected++
		}
	}
	if float64(ejected) <= maxEjectedFraction*float64(len(p.all)) {
		t.eject(at, p.rng)
	}
}
