package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// shards is the number of locks that guard the maps of pools, so that cores rarely
// contend for one.
const shards = 64

// Balancer picks targets for the calls of one node.
type Balancer struct {
	epoch  time.Time
	domain string
	tier   func(domain string) int
	shards [shards]struct {
		mu    sync.RWMutex
		pools map[string]*pool
	}

	// leaving holds the announcements of target processes when they said that they are
	// leaving, rates the limits of their rate, in calls per second.
	leaving statements[membership.Record]
	rates   statements[float64]

	mu  sync.Mutex
	rng *rand.Rand
}

// Option sets one property of a balancer.
type Option func(*Balancer)

// Domain sets the node's own failure domain, whose targets are preferred.
func Domain(d string) Option { return func(b *Balancer) { b.domain = d } }

// Tiers sets the function that returns a failure domain's distance, 0 for the
// nearest. Without it the node's own domain is at 0 and all others at 1.
func Tiers(f func(domain string) int) Option { return func(b *Balancer) { b.tier = f } }

// New returns a balancer without targets that draws random numbers from rng.
func New(now time.Time, rng *rand.Rand, opts ...Option) *Balancer {
	b := &Balancer{epoch: now, rng: rng}
	b.leaving.maxAge, b.rates.maxAge = maxLeaving, maxNamedRateAge
	b.tier = func(domain string) int {
		if domain == b.domain {
			return 0
		}
		return 1
	}
	for i := range b.shards {
		b.shards[i].pools = map[string]*pool{}
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Update sets which targets a pool has and how many slots each has by default. The
// state of a target is kept while its process runs; a new boot starts cold. Targets
// that are not ready are never picked.
func (b *Balancer) Update(now time.Time, poolName string, slots int, records []membership.Record) {
	p := b.pool(poolName)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*target, len(p.all))
	for _, t := range p.all {
		known[t.record.Load().Instance()] = t
	}
	p.all = p.all[:0:0]
	p.tiers = nil
	for _, r := range records {
		if r.State() != membership.Ready {
			continue
		}
		t := known[r.Instance()]
		switch {
		case t == nil || t.record.Load().Boot() != r.Boot():
			t = &target{pool: p, coldSince: b.nanos(now)}
		case r.Newer(*t.record.Load()):
			// A refusal as draining counts only until a newer announcement.
			t.drainingUntil = 0
		}
		t.drainingUntil = max(t.drainingUntil, b.leavingUntil(b.nanos(now), r))
		t.record.Store(&r)
		t.slots = float64(max(1, slots))
		if own := r.Slots(); own > 0 {
			t.slots = float64(own)
		}
		p.all = append(p.all, t)
		tier := max(0, b.tier(r.Domain()))
		for len(p.tiers) <= tier {
			p.tiers = append(p.tiers, nil)
		}
		p.tiers[tier] = append(p.tiers[tier], t)
	}
}

// Pick returns a target of a pool that this call has not tried, or None.
func (b *Balancer) Pick(now time.Time, poolName string, info CallInfo, tried []Picked) Choice {
	p := b.lookup(poolName)
	if p == nil {
		return None{NoTargets, initialEjection}
	}
	return p.pick(b.nanos(now), info, tried)
}

// Done reports how an attempt ended and how long it took.
func (b *Balancer) Done(now time.Time, p Picked, info CallInfo, elapsed time.Duration, r Report) {
	p.t.pool.done(b.nanos(now), p.t, info, elapsed, r)
}

// ReportedLoad returns the load that a target last reported, and the age of that report.
func (b *Balancer) ReportedLoad(now time.Time, p Picked) (load float64, age time.Duration) {
	p.t.pool.mu.Lock()
	defer p.t.pool.mu.Unlock()
	return p.t.load, time.Duration(b.nanos(now) - p.t.loadAt)
}

// ServiceTime returns how long calls of a route usually run at a pool's targets, 0 if no
// target has reported it.
func (b *Balancer) ServiceTime(poolName, route string) time.Duration {
	p := b.lookup(poolName)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.serviceTimes[route])
}

// ConnClosed reports that an idle connection to the target was closed.
func (b *Balancer) ConnClosed(p Picked) {
	p.t.pool.mu.Lock()
	defer p.t.pool.mu.Unlock()
	p.t.idleConns = max(0, p.t.idleConns-1)
}

func (b *Balancer) nanos(now time.Time) int64 { return int64(now.Sub(b.epoch)) }

func (b *Balancer) lookup(name string) *pool {
	s := &b.shards[xxh3.HashString(name)%shards]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
}

func (b *Balancer) pool(name string) *pool {
	s := &b.shards[xxh3.HashString(name)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil {
		p = &pool{rng: b.newRNG()}
		s.pools[name] = p
	}
	return p
}

// newRNG returns a random source for one pool, so that pools share no lock.
func (b *Balancer) newRNG() *rand.Rand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rand.New(rand.NewPCG(b.rng.Uint64(), b.rng.Uint64()))
}
