package admission

import (
	"math"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// queuePerSlot bounds the queue of a class: two calls a slot take in a
	// burst of three times the slots; a longer standing queue would only add
	// waiting, since the target serves no faster.
	queuePerSlot = 2
	// maxQueue bounds the scan for the next call on a target with many slots.
	maxQueue = 256
	// shortShare is the part of a class's slots, one in so many, that long
	// calls leave to short ones.
	shortShare = 4
	// shedKeep is what a target's own refusal leaves of the calls that run
	// besides: it could not take them and one more, and a tenth below reaches
	// any lower level within some service times.
	shedKeep = 0.9
	// regrow is how many answers it takes, for each slot, to try one slot more:
	// a try that fails costs one call, so at most about one call in a hundred
	// is spent on trying, and a target of 12 slots that recovers has all of
	// them back after about a second of full load.
	regrow = 8
	// maxRetryAfter bounds what a refused call is told: after this long the
	// load may be another one.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps a refused call from coming back in the same
	// millisecond, where nothing can have changed.
	minRetryAfter = time.Millisecond
	// mostService is how many times its mean a service time is for nine in ten
	// calls, where they vary as the users' do (log-normal, a spread of 0.8).
	mostService = 2
	// shortPart is up to which part of the usual service time a call is short.
	shortPart = 2.0 / 3
	// refillSlots is how many slots a waiting call may outlast: with one call for
	// each of the next two, a target with a dozen slots is idle for under 1% of
	// its time when it is saturated.
	refillSlots = 2
	// golden spreads the come-back times of successive refusals evenly.
	golden = 0.6180339887498949
)

// Gate decides about one target's slots; its own node holds it, so no stale
// view of a caller can give a promised slot away.
type Gate struct {
	mu    sync.Mutex
	epoch time.Time

	slots       int
	promised    int
	connections int
	draining    bool

	// open is what the target takes now; its own refusals lower it below
	// slots, and answers raise it again.
	open     float64
	shrunkAt int64
	proof    proof

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
func Slots(n int) Option { return func(g *Gate) { g.slots = n } }

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
		epoch: now, slots: 1, connections: math.MaxInt,
		orgs: map[string]*org{}, works: map[string]*work{}, all: *newWork(), short: *newWork(),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.open = float64(g.slots)
	return g
}

// Configure sets properties anew, as a new configuration version does; calls
// that run stay, and none takes a place that is gone.
func (g *Gate) Configure(now time.Time, wakes []Wake, opts ...Option) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.slots
	for _, opt := range opts {
		opt(g)
	}
	if g.slots != before {
		g.open = float64(g.slots)
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
	case c.class == snapshot.Trial && g.slots <= g.promised:
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

// capacity returns how many calls may run now.
func (g *Gate) capacity() int { return max(1, min(int(g.open), g.slots, g.connections)) }

// trialSlots returns how many trial calls may run now: none on a promised
// slot, and none where paying calls lately ran. The promise binds first: when
// the target takes fewer calls, trial calls lose slots before any promised one
// is touched.
func (g *Gate) trialSlots(at int64) int {
	used := int(math.Ceil(g.demand.now(at)))
	return max(0, g.capacity()-max(g.promised, used))
}

// may reports whether c can run at once.
func (g *Gate) may(at int64, c *call) bool {
	slots := g.capacity()
	if g.runPaying+g.runTrial >= slots {
		return false
	}
	if c.class == snapshot.Paying {
		return !c.long || g.longPaying < longSlots(slots-g.runTrial)
	}
	trial := g.trialSlots(at)
	return g.runTrial < trial && (!c.long || g.longTrial < longSlots(trial))
}

// longSlots returns how many of n slots long calls may hold.
func longSlots(n int) int { return max(1, n-max(1, n/shortShare)) }

// wait estimates how long c would wait: the calls before it of its length, at
// the pace at which slots for them come free.
func (g *Gate) wait(at int64, c *call) int64 {
	slots := g.slotsOf(at, c.class)
	before := g.queueOf(c.class).ahead(c) + 1
	if c.long {
		return int64(float64(before) * c.work.mean / float64(longSlots(slots)))
	}
	if c.class == snapshot.Trial {
		before += g.paying.short
		slots -= g.longTrial
	} else {
		slots -= g.longPaying
	}
	return int64(float64(before) * g.short.mean / float64(max(1, slots)))
}

// slotsOf returns how many slots the calls of a class can have now.
func (g *Gate) slotsOf(at int64, class snapshot.Class) int {
	if class == snapshot.Trial {
		return max(1, g.trialSlots(at))
	}
	return max(1, g.capacity()-g.runTrial)
}

// roomFor reports whether c finds room to wait. Long calls get half of it:
// they wait longer, and with all of it would leave none to the short ones.
func (g *Gate) roomFor(at int64, c *call) bool {
	slots := g.capacity()
	if c.class == snapshot.Trial {
		slots = g.trialSlots(at)
	}
	room := min(queuePerSlot*slots, maxQueue)
	q := g.queueOf(c.class)
	if c.long {
		return len(q.calls)-q.short < room/2
	}
	return q.short < room-room/2 || len(q.calls) < room
}

func (g *Gate) queueOf(class snapshot.Class) *queue {
	if class == snapshot.Paying {
		return &g.paying
	}
	return &g.trial
}

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

func (g *Gate) expire(at int64, q *queue, wakes []Wake) []Wake {
	for i := 0; i < len(q.calls); {
		if q.calls[i].latestStart < at {
			wakes = g.dismiss(at, q, i, TooLate, wakes)
		} else {
			i++
		}
	}
	return wakes
}

// dismiss refuses the waiting call at i at once: holding its answer back would
// keep its caller from trying elsewhere.
func (g *Gate) dismiss(at int64, q *queue, i int, reason Reason, wakes []Wake) []Wake {
	c := q.remove(i)
	w := Wake{ticket: c.ticket(), decision: g.refuse(at, c.class, c.org, reason)}
	g.release(c)
	return append(wakes, w)
}

// refuse names a time to come back. Each refused call of an organisation gets
// a later time than the one before, at the pace the target serves: told one
// time, they would return as the burst that they were.
func (g *Gate) refuse(at int64, class snapshot.Class, o *org, reason Reason) Refused {
	if reason == NoTrialSlots {
		return Refused{reason, maxRetryAfter}
	}
	pace := g.all.mean / float64(g.slotsOf(at, class))
	soonest := at + int64(pace*float64(len(g.queueOf(class).calls)+1))
	o.backAt = max(soonest, o.backAt+int64(pace))
	after := time.Duration(o.backAt - at)
	if after > maxRetryAfter {
		o.backAt = at + int64(maxRetryAfter)
		_, g.turn = math.Modf(g.turn + golden)
		after = maxRetryAfter/2 + time.Duration(g.turn*float64(maxRetryAfter/2))
	}
	return Refused{reason, max(after, minRetryAfter)}
}

func (g *Gate) start(at int64, c *call) {
	c.state, c.start = running, at
	c.level = g.runPaying + g.runTrial + 1
	c.org.running++
	n, long := &g.runTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runPaying, &g.longPaying
	}
	*n++
	if c.long {
		*long++
	}
}

func (g *Gate) stop(c *call) {
	c.org.running--
	n, long := &g.runTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runPaying, &g.longPaying
	}
	*n--
	if c.long {
		*long--
	}
}

// learn takes in what a call's end tells of the target.
func (g *Gate) learn(at int64, c *call, how Outcome) {
	took := float64(at - c.start)
	switch how {
	case Done:
		c.work.observe(took)
		g.all.observe(took)
		if !c.long {
			g.short.observe(took)
		}
		g.open = min(float64(g.slots), g.open+1/float64(regrow*g.capacity()))
		g.proof.took(c)
	case Failed, Cancelled:
		c.work.censored(took)
		g.all.censored(took)
		if !c.long {
			g.short.censored(took)
		}
	case Shed:
		// Calls that began before the last cut were judged by the target
		// before it; counting each would close the gate for one event.
		if c.start >= g.shrunkAt && !g.proof.contradicts(c) {
			g.open = max(1, float64(g.runPaying+g.runTrial)*shedKeep)
			g.shrunkAt = at
		}
	}
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

// latestStart returns until when a call may wait: as long as most calls of its
// kind would still end by the due time, or until the next slots come free, so
// that none stays empty for want of a call that waits.
//
// A call that is short beside the others waits to its deadline if it must: it
// goes first by its due time, turning it away would free next to nothing, and it
// is mostly part of a longer call elsewhere, all of which would be lost with it.
//
// On a saturated target every call that runs has waited to the end of what it
// may; with the mean service time in place of most, half of them came late.
func (g *Gate) latestStart(at int64, c *call) int64 {
	expected := c.work.expected(&g.all)
	if c.due == c.deadline {
		return c.deadline - expected
	}
	if c.short(&g.all) {
		return c.deadline - mostService*expected
	}
	refill := int64(refillSlots * g.all.mean / float64(g.capacity()))
	return min(max(c.due-mostService*expected, at+refill), c.deadline-expected)
}

// short reports whether a call is short beside the others. It never counts as late:
// behind calls that take many times as long it would wait until its own caller, a
// call half done elsewhere, fails and is lost with all its work, while it delays
// these by next to nothing.
func (c *call) short(all *work) bool { return float64(c.work.expected(all)) < shortPart*all.mean }

func (g *Gate) release(c *call) {
	c.gen++
	c.state = idle
	g.free = append(g.free, c)
}
