package admission

import (
	"math"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Gate decides about one target's slots; its own node holds it, so no stale
// view of a caller can give a promised slot away.
type Gate struct {
	mu    sync.Mutex
	epoch time.Time

	promised    int
	connections int
	draining    bool

	room room

	paying, trial         queue
	runPaying, runTrial   int
	longPaying, longTrial int
	demand                demand

	orgs  map[string]*org
	works map[string]*work
	// all is estimated from all calls, short from those that are not long.
	all, short work
	free       []*call
	turn       float64
	latest     int64
}

// Option sets one property of a gate.
type Option func(*Gate)

// Slots sets how many calls run at once.
func Slots(n int) Option { return func(g *Gate) { g.room.state(n) } }

// Promised sets how many slots trial calls never take.
func Promised(n int) Option { return func(g *Gate) { g.promised = n } }

// Connections sets how many connections the target takes; a call needs one.
func Connections(n int) Option { return func(g *Gate) { g.connections = n } }

// Leaving sets whether the target is leaving; one that is started again takes
// calls again.
func Leaving(yes bool) Option { return func(g *Gate) { g.draining = yes } }

// NewGate returns the gate of a target with one slot, none promised, unless
// options say otherwise.
func NewGate(now time.Time, opts ...Option) *Gate {
	g := &Gate{
		epoch: now, connections: math.MaxInt,
		orgs: map[string]*org{}, works: map[string]*work{}, all: *newWork(), short: *newWork(),
	}
	g.room.state(1)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Configure sets properties anew, as a new configuration version does; calls
// that run stay, and none takes a place that is gone.
func (g *Gate) Configure(now time.Time, wakes []Wake, opts ...Option) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opt := range opts {
		opt(g)
	}
	return g.dispatch(g.advance(now), wakes)
}

// Enter decides about a call; wakes gets what became of calls that waited.
func (g *Gate) Enter(now time.Time, r Request, wakes []Wake) (Decision, []Wake) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.advance(now)
	o := g.orgOf(r.org)
	c := g.record(at, r, o)
	if reason := g.shut(at, c); reason != 0 {
		g.release(c)
		return g.refuse(at, c.class, o, reason), wakes
	}
	if c.class == snapshot.Paying {
		g.demand.arrive(at, g.runPaying+len(g.paying.calls), g.capacity())
	}
	if g.may(at, c) {
		g.start(at, c)
		return Admitted{c}, wakes
	}
	q := g.queueOf(c.class)
	if at+g.wait(at, c) > c.latestStart {
		g.release(c)
		return g.refuse(at, c.class, o, TooLate), wakes
	}
	if !g.roomFor(at, c) {
		i, reason := q.displaceable(c), Displaced
		if i < 0 {
			i, reason = q.outranked(c), Outranked
		}
		if i < 0 {
			g.release(c)
			return g.refuse(at, c.class, o, QueueFull), wakes
		}
		wakes = g.dismiss(at, q, i, reason, wakes)
	}
	q.push(c)
	return Queued{c.ticket()}, wakes
}

// shut returns why no call like c is let in at all, or 0.
func (g *Gate) shut(at int64, c *call) Reason {
	switch {
	case g.draining:
		return Draining
	case c.class == snapshot.Trial && g.room.stated <= g.promised:
		return NoTrialSlots
	case c.deadline <= at:
		return TooLate
	default:
		return 0
	}
}

// Leave ends a call, running or waiting; wakes gets the calls whose turn came.
// A ticket that has left already changes nothing.
func (g *Gate) Leave(now time.Time, t Ticket, how Outcome, wakes []Wake) []Wake {
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
		g.learn(at, c, how)
	default:
		return wakes
	}
	g.release(c)
	return g.dispatch(at, wakes)
}

// Expire dismisses the waiting calls that can no longer finish in time, and runs
// trial calls whose turn came because paying calls have stayed away. Without the
// latter a trial call would wait for its deadline beside an idle target.
func (g *Gate) Expire(now time.Time, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.advance(now)
	return g.dispatch(at, wakes)
}

// NextExpiry returns when Expire has something to do, if any call waits.
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
	if len(g.trial.calls) > 0 {
		next = min(next, g.demand.nextFall(g.latest))
	}
	return g.epoch.Add(time.Duration(next) + 1), true
}

// Drain refuses all that waits and all that comes; what runs stays.
func (g *Gate) Drain(now time.Time, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	at := g.advance(now)
	for _, q := range []*queue{&g.paying, &g.trial} {
		for len(q.calls) > 0 {
			wakes = g.dismiss(at, q, 0, Draining, wakes)
		}
	}
	return wakes
}

// advance remembers the latest time that a decision was asked for.
func (g *Gate) advance(now time.Time) int64 {
	at := g.at(now)
	g.latest = max(g.latest, at)
	return at
}

func (g *Gate) at(now time.Time) int64 { return int64(now.Sub(g.epoch)) }

// dispatch runs waiting calls while any may run. Paying calls go first.
func (g *Gate) dispatch(at int64, wakes []Wake) []Wake {
	for _, q := range []*queue{&g.paying, &g.trial} {
		if len(q.calls) == 0 {
			continue
		}
		wakes = g.expire(at, q, wakes)
		for {
			i := q.next(func(c *call) bool { return g.may(at, c) })
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

func (g *Gate) record(at int64, r Request, o *org) *call {
	var c *call
	if n := len(g.free); n > 0 {
		c, g.free = g.free[n-1], g.free[:n-1]
	} else {
		c = &call{}
	}
	w := g.workOf(r.route)
	c.class, c.org, c.work = r.class, o, w
	c.long = w.longAmong(&g.all)
	c.deadline, c.due, c.rank = g.at(r.deadline), g.at(r.due), r.rank
	c.late = !c.short(&g.all) && c.due-w.expected(&g.all) < at
	c.latestStart = g.latestStart(at, c)
	return c
}

func (g *Gate) release(c *call) {
	c.gen++
	c.state = idle
	g.free = append(g.free, c)
}
