package admission

import (
	"math/rand/v2"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/play"
)

// policy is what stands before the target in a play: the gate, or a simpler
// one beside it.
type policy interface {
	// enter calls one of start, at once or later, and refuse.
	enter(v *visit)
	leave(v *visit, how Outcome)
}

// visit is one call in a play.
type visit struct {
	stream   *stream
	service  time.Duration
	deadline time.Time
	entered  time.Time
	running  bool
	over     bool
	ticket   Ticket
}

// stream is a source of alike calls and what became of them.
type stream struct {
	org   string
	class snapshot.Class
	route string
	rate  float64
	// burst is a number of calls that come in the first instant.
	burst    int
	from, to time.Duration
	service  func(*rand.Rand) time.Duration
	patience time.Duration
	seed     uint64

	asked, done, refused, late int
	took                       []time.Duration
	retryAfter                 []time.Duration
}

func (s *stream) p99() time.Duration { return play.Percentile(s.took, 0.99) }

// share returns the part of the calls that ended in time.
func (s *stream) share() float64 { return float64(s.done) / float64(max(1, s.asked)) }

// stage is one target with a policy before it, and the oracle: it counts what
// really runs, by itself.
type stage struct {
	*play.Play
	policy  policy
	slots   int
	running map[snapshot.Class]int
	// most is the highest number of calls of a class that ran at once.
	most  map[snapshot.Class]int
	waits map[Ticket]*visit
	// slow multiplies service times.
	slow func() float64
	// shed makes the target itself refuse a call that started.
	shed func() bool
}

func newStage(slots int) *stage {
	return &stage{
		Play: play.New(), slots: slots, running: map[snapshot.Class]int{}, most: map[snapshot.Class]int{},
		waits: map[Ticket]*visit{}, slow: func() float64 { return 1 }, shed: func() bool { return false },
	}
}

func (s *stage) play(streams ...*stream) {
	for _, st := range streams {
		// Arrivals and service times have streams of their own, so that a call
		// of one run is the same call in another.
		service := play.Rand(st.seed + 1000)
		ask := func() {
			st.asked++
			s.policy.enter(&visit{
				stream: st, service: st.service(service), entered: s.Now(), deadline: s.Now().Add(st.patience),
			})
		}
		for range st.burst {
			s.After(st.from, ask)
		}
		if st.rate > 0 {
			s.Arrivals(play.Rand(st.seed), st.rate, st.from, st.to, ask)
		}
	}
	s.Run()
}

// start runs v on the target.
func (s *stage) start(v *visit) {
	c := v.stream.class
	v.running = true
	s.running[c]++
	s.most[c] = max(s.most[c], s.running[c])
	if s.shed() {
		s.After(100*time.Microsecond, func() { s.finish(v, Shed) })
		return
	}
	took := time.Duration(float64(v.service) * s.slow())
	if end := s.Now().Add(took); end.After(v.deadline) {
		// The caller's deadline cancels the call on the target.
		s.At(v.deadline, func() { s.finish(v, Cancelled) })
		return
	}
	s.After(took, func() { s.finish(v, Done) })
}

func (s *stage) finish(v *visit, how Outcome) {
	if v.over {
		return
	}
	v.over = true
	s.running[v.stream.class]--
	switch how {
	case Done:
		v.stream.done++
		v.stream.took = append(v.stream.took, s.Now().Sub(v.entered))
	case Shed:
		v.stream.refused++
	default:
		v.stream.late++
	}
	s.policy.leave(v, how)
}

func (s *stage) refuse(v *visit, after time.Duration) {
	v.over = true
	v.stream.refused++
	v.stream.retryAfter = append(v.stream.retryAfter, after)
}

// gated is the real policy.
type gated struct {
	*stage
	gate *Gate
}

func (g gated) enter(v *visit) {
	st := v.stream
	d, wakes := g.gate.Enter(g.Now(), NewRequest(st.org, st.class, st.route, v.deadline), nil)
	switch d := d.(type) {
	case Admitted:
		v.ticket = d.Ticket()
		g.start(v)
	case Queued:
		v.ticket = d.Ticket()
		g.waits[v.ticket] = v
	case Refused:
		g.refuse(v, d.RetryAfter())
	}
	g.wake(wakes)
	if next, ok := g.gate.NextExpiry(); ok {
		g.At(next, func() { g.wake(g.gate.Expire(g.Now(), nil)) })
	}
}

func (g gated) leave(v *visit, how Outcome) { g.wake(g.gate.Leave(g.Now(), v.ticket, how, nil)) }

func (g gated) wake(wakes []Wake) {
	for _, w := range wakes {
		v := g.waits[w.Ticket()]
		delete(g.waits, w.Ticket())
		switch d := w.Decision().(type) {
		case Admitted:
			g.start(v)
		case Refused:
			g.refuse(v, d.RetryAfter())
		}
	}
}

// lined is the simpler policy: one line for all, first come first served, with
// no classes and no bound on waiting but the deadline.
type lined struct {
	*stage
	line []*visit
}

func (l *lined) enter(v *visit) {
	l.line = append(l.line, v)
	l.next()
}

func (l *lined) leave(*visit, Outcome) { l.next() }

func (l *lined) next() {
	for l.running[snapshot.Paying]+l.running[snapshot.Trial] < l.slots && len(l.line) > 0 {
		v := l.line[0]
		l.line = l.line[1:]
		if l.Now().After(v.deadline) {
			v.over = true
			v.stream.late++
			continue
		}
		l.start(v)
	}
}

func onGate(slots, promised int) (*stage, *Gate) {
	s := newStage(slots)
	g := NewGate(s.Now(), Slots(slots), Promised(promised))
	s.policy = gated{s, g}
	return s, g
}

func onLine(slots int) *stage {
	s := newStage(slots)
	s.policy = &lined{stage: s}
	return s
}

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

func around(d time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return play.Exp(r, d) }
}
