package admission

import (
	"math/rand/v2"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

// policy admits calls to the target of a simulation: the gate, or a simpler policy
// to compare it with.
type policy interface {
	// enter calls start, now or later, or refuse.
	enter(c *simCall)
	leave(c *simCall, outcome Outcome)
}

// simCall is one call in a simulation.
type simCall struct {
	workload *workload
	service  time.Duration
	deadline time.Time
	entered  time.Time
	running  bool
	ended    bool
	ticket   Ticket
}

// workload is a source of similar calls and their results.
type workload struct {
	org   string
	class snapshot.Class
	route string
	rate  float64
	// burst is the number of calls that arrive at from, all at once.
	burst    int
	from, to time.Duration
	service  func(*rand.Rand) time.Duration
	timeout  time.Duration
	seed     uint64

	sent, done, refused, late int
	latencies                 []time.Duration
	retryAfter                []time.Duration
}

func (w *workload) p99() time.Duration { return sim.Quantile(w.latencies, 0.99) }

// share returns the fraction of the calls that ended in time.
func (w *workload) share() float64 { return float64(w.done) / float64(max(1, w.sent)) }

// simulation is one target behind a policy. As the oracle of the tests it counts
// running calls itself.
type simulation struct {
	*sim.Simulation
	policy  policy
	slots   int
	running map[snapshot.Class]int
	// maxRunning is the highest number of calls of a class that ran at once.
	maxRunning map[snapshot.Class]int
	waiting    map[Ticket]*simCall
	expiry     sim.Alarm // of the gate
	// slowdown multiplies service times.
	slowdown func() float64
	// rejects decides whether the target itself rejects a call that started.
	rejects func() bool
}

func newSimulation(slots int) *simulation {
	return &simulation{
		Simulation: sim.New(), slots: slots, running: map[snapshot.Class]int{}, maxRunning: map[snapshot.Class]int{},
		waiting: map[Ticket]*simCall{}, slowdown: func() float64 { return 1 }, rejects: func() bool { return false },
	}
}

func (s *simulation) run(workloads ...*workload) {
	for _, w := range workloads {
		// Arrivals and service times use separate random streams, so that a call
		// is the same in runs with different policies.
		service := sim.Rand(w.seed + 1000)
		send := func() {
			w.sent++
			s.policy.enter(&simCall{
				workload: w, service: w.service(service), entered: s.Now(), deadline: s.Now().Add(w.timeout),
			})
		}
		for range w.burst {
			s.After(w.from, send)
		}
		if w.rate > 0 {
			s.Arrivals(sim.Rand(w.seed), w.rate, w.from, w.to, send)
		}
	}
	s.Run()
}

// start runs a call on the target.
func (s *simulation) start(c *simCall) {
	class := c.workload.class
	c.running = true
	s.running[class]++
	s.maxRunning[class] = max(s.maxRunning[class], s.running[class])
	if s.rejects() {
		s.After(100*time.Microsecond, func() { s.finish(c, Rejected) })
		return
	}
	took := time.Duration(float64(c.service) * s.slowdown())
	if end := s.Now().Add(took); end.After(c.deadline) {
		// The caller's deadline cancels the call on the target.
		s.At(c.deadline, func() { s.finish(c, Cancelled) })
		return
	}
	s.After(took, func() { s.finish(c, Done) })
}

func (s *simulation) finish(c *simCall, outcome Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	s.running[c.workload.class]--
	switch outcome {
	case Done:
		c.workload.done++
		c.workload.latencies = append(c.workload.latencies, s.Now().Sub(c.entered))
	case Rejected:
		c.workload.refused++
	default:
		c.workload.late++
	}
	s.policy.leave(c, outcome)
}

func (s *simulation) refuse(c *simCall, after time.Duration) {
	c.ended = true
	c.workload.refused++
	c.workload.retryAfter = append(c.workload.retryAfter, after)
}

// gatePolicy admits calls by the gate.
type gatePolicy struct {
	*simulation
	gate *Gate
}

func (g gatePolicy) enter(c *simCall) {
	w := c.workload
	d, wakes := g.gate.Enter(g.Now(), NewRequest(w.org, w.class, w.route, c.deadline), nil)
	switch d := d.(type) {
	case Admitted:
		c.ticket = d.Ticket()
		g.start(c)
	case Queued:
		c.ticket = d.Ticket()
		g.waiting[c.ticket] = c
	case Refused:
		g.refuse(c, d.RetryAfter())
	}
	g.wake(wakes)
	g.scheduleExpiry()
}

func (g gatePolicy) leave(c *simCall, outcome Outcome) {
	g.wake(g.gate.Leave(g.Now(), c.ticket, outcome, nil))
	g.scheduleExpiry()
}

func (g gatePolicy) scheduleExpiry() {
	g.Arm(&g.expiry, g.gate.NextExpiry, func() { g.wake(g.gate.Expire(g.Now(), nil)) })
}

func (g gatePolicy) wake(wakes []Wake) {
	for _, w := range wakes {
		c := g.waiting[w.Ticket()]
		delete(g.waiting, w.Ticket())
		switch d := w.Decision().(type) {
		case Admitted:
			g.start(c)
		case Refused:
			g.refuse(c, d.RetryAfter())
		}
	}
}

// fifoPolicy is the simpler policy: one queue in order of arrival, without classes
// and bounded by the deadline alone.
type fifoPolicy struct {
	*simulation
	queue []*simCall
}

func (f *fifoPolicy) enter(c *simCall) {
	f.queue = append(f.queue, c)
	f.next()
}

func (f *fifoPolicy) leave(*simCall, Outcome) { f.next() }

func (f *fifoPolicy) next() {
	for f.running[snapshot.Paying]+f.running[snapshot.Trial] < f.slots && len(f.queue) > 0 {
		c := f.queue[0]
		f.queue = f.queue[1:]
		if f.Now().After(c.deadline) {
			c.ended = true
			c.workload.late++
			continue
		}
		f.start(c)
	}
}

func newGateSimulation(slots, promised int) (*simulation, *Gate) {
	s := newSimulation(slots)
	g := NewGate(s.Now(), Slots(slots), Promised(promised))
	s.policy = gatePolicy{s, g}
	return s, g
}

func newFIFOSimulation(slots int) *simulation {
	s := newSimulation(slots)
	s.policy = &fifoPolicy{simulation: s}
	return s
}

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

func exponential(d time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return sim.Exp(r, d) }
}
