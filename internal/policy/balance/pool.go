package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// spillAt is the utilisation of the better of two near targets beyond
	// which farther ones are looked at too: half as many calls wait as run. Less
	// than that is gone within half a service time, and its node refuses whom it
	// would make late, who then go far.
	spillAt = 1.5
	// farCost is how many times a farther target's cost counts, for the bytes on
	// the way.
	farCost = 3
	// maxEjected is the part of a pool that failures may eject. If more of it
	// fails, the cause is seldom the targets, and leaving them all would turn
	// one fault into an outage.
	maxEjected = 0.5
	// leastChoices and mostChoices are of how many random targets the cheapest is
	// taken, all but one of a small tier. With two of many the fastest quarter of a
	// pool gets four calls in ten at the most.
	leastChoices, mostChoices = 2, 4
	// draws is how often a free target is drawn blindly before all are looked
	// at in turn; with half of a pool out, one in 256 picks gets there.
	draws = 8
	// initialLatency stands until the first answer of a pool.
	initialLatency = float64(10 * time.Millisecond)
	// usualShare is the weight of one answer in the pool's latency: its mean
	// must not follow one slow target.
	usualShare = 1.0 / 64
)

// pool holds the targets of one pool in tiers by distance.
type pool struct {
	mu      sync.Mutex
	rng     *rand.Rand
	all     []*target
	tiers   [][]*target
	latency float64
	// services is made with the first word of a target's pace.
	services services
}

// usual returns the pool's usual latency.
func (p *pool) usual() float64 {
	if p.latency == 0 {
		return initialLatency
	}
	return p.latency
}

func (p *pool) pick(at int64, a Ask, tried []Picked) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := (*target)(nil), math.Inf(1)
	near := false
	for i, tier := range p.tiers {
		t, cost := p.cheapest(at, tier, a, tried)
		if i > 0 {
			if near && t != nil && t.utilisation(at) > spillAt {
				// Full there too: it would only carry the refusal about.
				continue
			}
			cost *= farCost
		}
		near = near || p.serves(tier)
		if cost < bestCost {
			best, bestCost = t, cost
		}
		if t != nil && t.utilisation(at) <= spillAt {
			break
		}
	}
	if best == nil {
		return p.none(at, a, tried)
	}
	best.back(at)
	best.outstanding++
	if best.warm > 0 {
		best.warm--
	}
	return Picked{best}
}

// serves reports whether a tier has a target that is neither leaving nor ejected,
// even if it has no room just now.
func (p *pool) serves(tier []*target) bool {
	for _, t := range tier {
		if !t.leaving && !t.ejected {
			return true
		}
	}
	return false
}

// cheapest draws some targets and returns the cheapest. One that is always the
// cheapest of all by lagging knowledge would get every caller's calls at once;
// the cheapest of a few random ones gets a few times its share at most. A target to
// probe is taken when it is drawn, or its old failures would keep it out for good.
func (p *pool) cheapest(at int64, tier []*target, a Ask, tried []Picked) (*target, float64) {
	var best *target
	cost := math.Inf(1)
	for range choices(tier) {
		t := p.draw(at, tier, a, tried, best)
		if t == nil {
			break
		}
		c := t.cost(at, p.usual())
		if t.probing(at) {
			return t, c
		}
		if c < cost {
			best, cost = t, c
		}
	}
	return best, cost
}

// choices returns how many targets of a tier are drawn for a pick.
func choices(tier []*target) int { return min(max(leastChoices, len(tier)-1), mostChoices) }

// draw returns a random target that may be picked, a cold one more rarely, or
// nil.
func (p *pool) draw(at int64, tier []*target, a Ask, tried []Picked, not *target) *target {
	n := len(tier)
	if n == 0 || (n == 1 && tier[0] == not) {
		return nil
	}
	for range draws {
		t := tier[p.rng.IntN(n)]
		if t != not && usable(at, t, a, tried) && p.warmEnough(at, t, choices(tier)) {
			return t
		}
	}
	from := p.rng.IntN(n)
	for i := range n {
		if t := tier[(from+i)%n]; t != not && usable(at, t, a, tried) {
			return t
		}
	}
	return nil
}

// warmEnough reports whether a target stays in one of a pick's draws: a cold one gets
// its share however many these are.
func (p *pool) warmEnough(at int64, t *target, draws int) bool {
	share := float64(leastChoices) / float64(draws)
	if t.probing(at) {
		return p.rng.Float64() < coldShare*share
	}
	c := t.cold(at)
	return c == 1 || p.rng.Float64() < c*share
}

func usable(at int64, t *target, a Ask, tried []Picked) bool {
	return !t.leaving && t.open(at) && t.shedUntil(a) <= at && !among(tried, t)
}

func among(tried []Picked, t *target) bool {
	for i := range tried {
		if tried[i].t == t {
			return true
		}
	}
	return false
}

// none says why no target may be picked, unless one is merely ejected: a call that
// would fail anyway may as well probe it. One that refuses connections is probed by
// one call at a time; one that fails part of its calls still serves the rest.
func (p *pool) none(at int64, a Ask, tried []Picked) Choice {
	none := None{reason: NoTargets, retryAfter: firstEjection}
	soonest := int64(math.MaxInt64)
	var probe *target
	for _, t := range p.all {
		if t.leaving {
			continue
		}
		if among(tried, t) {
			if none.reason == NoTargets {
				none.reason = AllTried
			}
			continue
		}
		until, reason := t.shedUntil(a), AllShed
		if until <= at {
			if (t.outstanding == 0 || t.ejected && !t.absent) && (probe == nil || t.ejectedUntil < probe.ejectedUntil) {
				probe = t
			}
			until, reason = max(t.ejectedUntil, at+int64(time.Millisecond)), AllEjected
		}
		if until < soonest {
			soonest = until
			none = None{reason, time.Duration(until - at)}
		}
	}
	if probe != nil {
		probe.outstanding++
		return Picked{probe}
	}
	return none
}

func (p *pool) done(at int64, t *target, a Ask, took time.Duration, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.outstanding--
	if r.kept {
		t.warm++
	}
	if r.loaded {
		t.load, t.loadAt = r.load, at
	}
	if r.service > 0 {
		if p.services == nil {
			p.services = services{}
		}
		t.pace.heard(at, p.services.ratio(a.route, r.service))
	}
	switch r.kind {
	case answered:
		p.observe(at, t, float64(took))
		t.outcome(0)
		t.suspicion.answered(p.othersFail(t))
		t.absent = false
		if t.ejected && at >= t.ejectedUntil {
			t.ejected, t.failures, t.suspicion.odds = false, 0, 0
			t.coldSince = max(t.coldSince, t.ejectedUntil)
		}
		if at-t.failedAt > int64(maxEjection) {
			t.ejections = 0
		}
	case failed:
		p.censor(at, t, float64(took))
		p.fail(at, t)
	case unreachable:
		// Nothing listens there, so the call has not run and asking again is
		// sure to fail: no need for three.
		t.warm = 0
		t.failures, t.failedAt, t.absent = 1, at, true
		if !t.ejected || t.probing(at) {
			t.eject(at, p.rng)
		}
	case shed:
		t.heed(at, a, r.scope, r.retryAfter)
	case leaving:
		t.leaving = true
	case declined:
		// The load that came with it, taken in above, is all that it tells.
	case cancelled:
		p.censor(at, t, float64(took))
	}
}

func (p *pool) observe(at int64, t *target, took float64) {
	if p.latency == 0 {
		p.latency = took
	}
	p.latency += usualShare * (took - p.latency)
	now := t.latencyNow(at, p.usual())
	if t.latency == 0 {
		now = took
	}
	t.latency, t.seenAt = now+newestLatency*(took-now), at
}

// censor takes in a call that got no answer: it would have taken at least as
// long. Without it a target that only times out keeps its good latency.
func (p *pool) censor(at int64, t *target, took float64) {
	if now := t.latencyNow(at, p.usual()); took > now {
		t.latency, t.seenAt = now+newestLatency*(took-now), at
	}
}

// othersFail returns the part of their calls that the other targets of the pool
// usually fail, those that are gone or out left aside.
func (p *pool) othersFail(t *target) float64 {
	sum, n := 0.0, 0
	for _, other := range p.all {
		if other != t && !other.leaving && !other.ejected {
			sum += other.suspicion.usual
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (p *pool) fail(at int64, t *target) {
	t.outcome(1)
	t.failedAt, t.absent = at, false
	ill := t.suspicion.failed(p.othersFail(t))
	if t.probing(at) {
		t.eject(at, p.rng)
		return
	}
	if t.ejected || !ill {
		return
	}
	out := 1
	for _, other := range p.all {
		if other.ejected {
			out++
		}
	}
	if float64(out) <= maxEjected*float64(len(p.all)) {
		t.eject(at, p.rng)
	}
}
