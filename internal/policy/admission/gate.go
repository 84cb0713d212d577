package admission

import (
	"math"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Gate admits calls to one target's slots. It runs on the target's own node, so
// that a caller's stale view cannot give a promised slot away.
type Gate struct {
	mu sync.Mutex
	// epoch is the zero of all times that are kept as int64 nanoseconds.
	epoch time.Time

	promised    int
	connections int
	draining    bool

	limit concurrencyLimit
	rate  rateLimit

	paying, trial               queue
	runningPaying, runningTrial int
	longPaying, longTrial       int
	demand                      demand

	orgs   map[string]*org
	routes map[string]*routeStats
	// all covers all calls, short those that are not long.
	all, short routeStats
	// freeList holds call records for reuse.
	freeList       []*call
	spreadFraction float64
	latest         int64
}

// Option sets one property of a gate.
type Option func(*Gate)

// Slots sets how many calls may run at once, as the target declares.
func Slots(n int) Option { return func(g *Gate) { g.limit.declare(n) } }

// Promised sets how many slots are closed to trial calls.
func Promised(n int) Option { return func(g *Gate) { g.promised = n } }

// Connections sets how many connections the target accepts; each running call
// needs one.
func Connections(n int) Option { return func(g *Gate) { g.connections = n } }

// SetDraining sets whether the target is draining; after false the gate admits calls
// again.
func SetDraining(draining bool) Option { return func(g *Gate) { g.draining = draining } }

// NewGate returns the gate of a target with one slot, none of them promised,
// unless options say otherwise.
func NewGate(now time.Time, opts ...Option) *Gate {
	g := &Gate{
		epoch: now, connections: math.MaxInt,
		orgs: map[string]*org{}, routes: map[string]*routeStats{}, all: *newRouteStats(), short: *newRouteStats(),
	}
	g.limit.declare(1)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Configure applies the options of a new configuration version. Running calls
// continue; slots that the version removes are not filled again.
func (g *Gate) Configure(now time.Time, wakes []Wake, opts ...Option) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opt := range opts {
		opt(g)
	}
	return g.dispatch(g.advance(now), wakes)
}

// Enter decides about a call; it appends to wakes the decisions about waiting
// calls.
func (g *Gate) Enter(now time.Time, r Request, wakes []Wake) (Decision, []Wake) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.advance(now)
	if g.rate.limited() {
		// Waiting calls go first if a token has come since the last decision.
		wakes = g.dispatch(at, wakes)
	}
	o := g.orgOf(r.org)
	c := g.newCall(at, r, o)
	if reason := g.refusalReason(at, c); reason != 0 {
		g.release(c)
		return g.refuse(at, c.class, o, reason), wakes
	}
	if c.class == snapshot.Paying {
		g.demand.observeArrival(at, g.runningPaying+len(g.paying.calls), g.capacity())
	}
	if g.canRun(at, c) {
		g.start(at, c)
		return Admitted{c}, wakes
	}
	q := g.queueOf(c.class)
	if at+g.expectedWait(at, c) > c.latestStart {
		g.release(c)
		return g.refuse(at, c.class, o, TooLate), wakes
	}
	if !g.hasQueueSpace(at, c) {
		i, reason := q.higherLevel(c), Outranked
		if i < 0 {
			i, reason = q.displaceable(c), Displaced
		}
		if i < 0 {
			i, reason = q.outranked(c), Outranked
		}
		if i < 0 {
			g.release(c)
			return g.refuse(at, c.class, o, QueueFull), wakes
		}
		wakes = g.refuseQueued(at, q, i, reason, wakes)
	}
	q.push(c)
	return Queued{c.ticket()}, wakes
}

// refusalReason returns why c is refused regardless of running and waiting calls,
// or 0.
func (g *Gate) refusalReason(at int64, c *call) Reason {
	switch {
	case g.draining:
		return Draining
	case c.class == snapshot.Trial && g.limit.declared <= g.promised:
		return NoTrialSlots
	case c.deadline <= at:
		return TooLate
	default:
		return 0
	}
}

// Leave ends a call, running or waiting, and appends to wakes the decisions about
// waiting calls. A second Leave of a ticket does nothing.
func (g *Gate) Leave(now time.Time, t Ticket, outcome Outcome, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := t.c
	if c == nil || c.gen != t.gen {
		return wakes
	}
	at := g.advance(now)
	switch c.state {
	case queued:
		g.queueOf(c.class).removeCall(c)
	case running:
		g.stop(c)
		g.learn(at, c, outcome)
	default:
		return wakes
	}
	g.release(c)
	return g.dispatch(at, wakes)
}

// Expire refuses the waiting calls that can no longer end in time. It also runs
// trial calls when the demand of paying calls has decayed, and calls that waited for
// the target's rate; otherwise they would wait until their deadline although the target
// is idle.
func (g *Gate) Expire(now time.Time, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.advance(now)
	return g.dispatch(at, wakes)
}

// NextExpiry returns when Expire has to be called next, and whether any call
// waits.
func (g *Gate) NextExpiry() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, ok := int64(math.MaxInt64), false
	for _, q := range []*queue{&g.paying, &g.trial} {
		for _, c := range q.calls {
			next, ok = min(next, c.latestStart), true
		}
	}
	if !ok {
		return time.Time{}, false
	}
	if !g.rate.ready(g.latest) {
		next = min(next, g.latest+g.rate.wait(g.latest, 1))
	}
	if len(g.trial.calls) > 0 {
		next = min(next, g.demand.nextDecrease(g.latest))
	}
	return g.epoch.Add(time.Duration(next) + 1), true
}

// Drain refuses all waiting and all new calls; running calls continue.
func (g *Gate) Drain(now time.Time, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	at := g.advance(now)
	for _, q := range []*queue{&g.paying, &g.trial} {
		for len(q.calls) > 0 {
			wakes = g.refuseQueued(at, q, 0, Draining, wakes)
		}
	}
	return wakes
}

// advance converts now to nanoseconds since the epoch and records the latest time
// passed to the gate.
func (g *Gate) advance(now time.Time) int64 {
	at := g.nanos(now)
	g.latest = max(g.latest, at)
	return at
}

func (g *Gate) nanos(now time.Time) int64 { return int64(now.Sub(g.epoch)) }

// dispatch refuses the waiting calls that can no longer end in time, and runs others
// while slots are free, paying calls first.
func (g *Gate) dispatch(at int64, wakes []Wake) []Wake {
	for _, q := range []*queue{&g.paying, &g.trial} {
		if len(q.calls) == 0 {
			continue
		}
		wakes = g.expire(at, q, wakes)
		for {
			i := q.next(func(c *call) bool { return g.canRun(at, c) })
			if i < 0 {
				break
			}
			c := q.remove(i)
			g.start(at, c)
			wakes = append(wakes, Wake{ticket: c.ticket(), decision: Admitted{c}})
		}
	}
	return wakes
}

func (g *Gate) newCall(at int64, r Request, o *org) *call {
	var c *call
	if n := len(g.freeList); n > 0 {
		c, g.freeList = g.freeList[n-1], g.freeList[:n-1]
	} else {
		c = &call{}
	}
	stats := g.statsOf(r.route)
	if !stats.seen && r.softDeadline.Before(r.deadline) {
		g.assume(stats, float64(g.nanos(r.softDeadline)-at)*assumedFraction)
	}
	c.class, c.org, c.stats = r.class, o, stats
	c.long = stats.isLong(&g.all)
	c.deadline, c.softDeadline, c.rank = g.nanos(r.deadline), g.nanos(r.softDeadline), r.rank
	c.level = r.level
	c.late = !c.wellBelowMean(&g.all) && c.softDeadline-stats.expected(&g.all) < at
	c.latestStart = g.latestStart(at, c)
	return c
}

// assume sets the service time of a route without a finished call, and that of all calls. The
// route keeps the longest assumption, as retries have less time left than first calls.
func (g *Gate) assume(s *routeStats, ns float64) {
	if ns > 0 && (!s.assumed || ns > s.mean) {
		s.assume(ns)
	}
	if s.assumed {
		g.all.assumeMix(s.mean)
		g.short.assumeMix(s.mean)
	}
}

func (g *Gate) release(c *call) {
	c.gen++
	c.state = idle
	g.freeList = append(g.freeList, c)
}
