package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/admission"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/play"
	"banyanlug.example/banyanlug/internal/policy/retry"
)

const (
	// oneWay is the way between two nodes.
	oneWay = time.Millisecond
	// window is over what time a mesh counts what callers got.
	window = time.Second
)

// mesh plays whole nodes without a network: senders with a balancer and budgets
// of their own, targets behind gates, and callers who come back when they are told.
type mesh struct {
	*play.Play
	rng     *rand.Rand
	senders []*sender
	pools   map[string][]*place
	kinds   []*kind
	// domains is over how many failure domains senders and targets are spread.
	domains int
	// choose picks the target of an attempt in the balancer's place.
	choose func(k *kind, tried []*place) *place
	// skewed is the part of the calls that come in the first failure domain besides
	// its share.
	skewed float64
	// mute keeps targets from telling how long calls run there.
	mute bool
}

type sender struct {
	balancer *balance.Balancer
	budgets  *retry.Budgets
	domain   string
}

// place is a target with its gate.
type place struct {
	name   string
	pool   string
	domain string
	gate   *admission.Gate
	sender *sender
	slow   float64
	// turnsAway makes the target itself reject a call.
	turnsAway func() bool
	running   int
	waiting   map[admission.Ticket]func(admission.Decision)
}

// kind is one kind of calls and what became of them, by the second of their first
// attempt.
type kind struct {
	name, pool string
	rate       float64
	work       time.Duration
	// spread is the deviation of the logarithm of the work; exponential for 0.
	spread         float64
	aim, patience  time.Duration
	idempotent     bool
	returns        int
	inner          *kind
	innerShare     float64
	asked, in, got map[int]int
	sends, far     int
}

// share returns which part of the calls that began in a span of seconds got an
// answer, and which got it within the aim.
func (k *kind) share(from, to int) (got, inTime float64) {
	asked, answered, in := 0, 0, 0
	for s := from; s < to; s++ {
		asked, answered, in = asked+k.asked[s], answered+k.got[s], in+k.in[s]
	}
	return float64(answered) / float64(max(1, asked)), float64(in) / float64(max(1, asked))
}

// draw returns how long a call's work takes at a target of usual speed.
func (k *kind) draw(rng *rand.Rand) time.Duration {
	if k.spread == 0 {
		return play.Exp(rng, k.work)
	}
	return time.Duration(float64(k.work) * math.Exp(k.spread*rng.NormFloat64()-k.spread*k.spread/2))
}

// bounds are the platform's bounds on repeats: a share of the calls and some
// besides for all senders together.
const (
	repeatPart, rejectPart = 0.04, 0.11
	spare                  = 100
)

func newMesh(senders int, kinds ...*kind) *mesh { return newMeshOver(1, senders, kinds...) }

func newMeshOver(domains, senders int, kinds ...*kind) *mesh {
	m := &mesh{Play: play.New(), rng: play.Rand(41), pools: map[string][]*place{}, kinds: kinds, domains: domains}
	for i := range senders {
		m.senders = append(m.senders, m.newSender(uint64(i), senders))
	}
	for _, k := range kinds {
		k.asked, k.got, k.in = map[int]int{}, map[int]int{}, map[int]int{}
	}
	return m
}

func (m *mesh) newSender(i uint64, of int) *sender {
	domain := m.domain(int(i))
	return &sender{
		domain:   domain,
		balancer: balance.New(m.Now(), play.Rand(100+i), balance.Domain(domain)),
		budgets: retry.NewBudgets(play.Rand(500+i), retry.RefusedShare(1), retry.Bounded(func() retry.Bounds {
			return retry.Bounds{Repeated: repeatPart, Rejected: rejectPart, Saved: max(1, spare/float64(of))}
		})),
	}
}

func (m *mesh) domain(i int) string { return string(rune('a' + i%m.domains)) }

// pool adds targets of a pool, whose speeds differ.
func (m *mesh) pool(name string, n, slots int, speeds ...float64) []*place {
	for i := range n {
		m.pools[name] = append(m.pools[name], &place{
			name: fmt.Sprintf("%s-%d", name, i), pool: name, slow: speeds[i/m.domains%len(speeds)], domain: m.domain(i),
			gate:   admission.NewGate(m.Now(), admission.Slots(slots)),
			sender: m.senders[i%len(m.senders)], turnsAway: func() bool { return false },
			waiting: map[admission.Ticket]func(admission.Decision){},
		})
	}
	var records []membership.Record
	for _, p := range m.pools[name] {
		records = append(records, membership.NewRecord(p.name, membership.Domain(p.domain), membership.Pool(name),
			membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.Boot(1), membership.Seq(1),
			membership.InState(membership.Ready), membership.Slots(slots)))
	}
	for _, s := range m.senders {
		s.balancer.Update(m.Now(), name, slots, records)
	}
	return m.pools[name]
}

func (m *mesh) place(pool string, p balance.Picked) *place {
	for _, t := range m.pools[pool] {
		if t.name == p.Record().Instance() {
			return t
		}
	}
	return nil
}

func (m *mesh) run(until time.Duration) {
	for i, k := range m.kinds {
		if k.rate > 0 {
			m.Arrivals(play.Rand(uint64(7+i)), k.rate, 0, until, func() { m.ask(k) })
		}
	}
	m.Run()
}

// ask is a caller with a call, who comes back when told to.
func (m *mesh) ask(k *kind) {
	began := m.Now()
	second := int(m.Since() / window)
	k.asked[second]++
	deadline := began.Add(k.patience)
	returns := k.returns
	var try func()
	try = func() {
		m.call(m.sender(), k, began, deadline, func(ok bool, after time.Duration) {
			left := deadline.Sub(m.Now())
			switch {
			case ok:
				k.got[second]++
				if m.Now().Sub(began) <= k.aim {
					k.in[second]++
				}
			case returns > 0 && after < left/3:
				returns--
				m.After(after+m.rngUpTo(20*time.Millisecond), try)
			}
		})
	}
	try()
}

// sender returns the node at which a caller calls.
func (m *mesh) sender() *sender {
	i := m.rng.IntN(len(m.senders))
	if m.rng.Float64() < m.skewed {
		i -= i % m.domains
	}
	return m.senders[i]
}

func (m *mesh) rngUpTo(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// call carries a call as a node does: it picks, sends, and decides what follows.
func (m *mesh) call(s *sender, k *kind, began, deadline time.Time, done func(ok bool, after time.Duration)) {
	opts := []retry.CallOption{retry.Retries(1), retry.Elsewhere(2)}
	if k.idempotent {
		opts = append(opts, retry.Idempotent())
	}
	c := retry.NewCall(k.pool, deadline, opts...)
	s.budgets.Fresh(&c)
	ask := balance.NewAsk("all", snapshot.Paying).On(k.name)
	var tried []balance.Picked
	var asked []*place
	var attempt func()
	next := func(o retry.Outcome) {
		switch d := s.budgets.After(m.Now(), &c, o).(type) {
		case retry.Retry:
			m.After(d.After(), attempt)
		case retry.GiveUp:
			done(false, d.RetryAfter())
		}
	}
	attempt = func() {
		if m.choose != nil {
			t := m.choose(k, asked)
			asked = append(asked, t)
			m.After(oneWay, func() {
				m.enter(t, k, began, deadline, func(o *retry.Outcome, _ balance.Report) {
					if o != nil {
						next(*o)
						return
					}
					done(true, 0)
				})
			})
			return
		}
		switch choice := s.balancer.Pick(m.Now(), k.pool, ask, tried).(type) {
		case balance.None:
			next(retry.Nowhere(choice.RetryAfter()))
		case balance.Picked:
			tried = append(tried, choice)
			sent := m.Now()
			t := m.place(k.pool, choice)
			k.sends++
			m.After(oneWay, func() {
				if t.domain != s.domain {
					k.far++
				}
				m.enter(t, k, began, deadline, func(o *retry.Outcome, r balance.Report) {
					m.After(oneWay, func() {
						s.balancer.Done(m.Now(), choice, ask, m.Now().Sub(sent), r)
						if o != nil {
							next(*o)
							return
						}
						done(true, 0)
					})
				})
			})
		}
	}
	attempt()
}

// enter lets a call to a target's slots; end gets no outcome for an answer.
func (m *mesh) enter(t *place, k *kind, began, deadline time.Time, end func(*retry.Outcome, balance.Report)) {
	decide := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			m.serve(t, k, d.Ticket(), deadline, end)
		case admission.Refused:
			o := retry.Refused(d.RetryAfter())
			end(&o, balance.Declined(balance.Load(t.load(m.Now()))))
		}
	}
	due := began.Add(k.aim)
	d, wakes := t.gate.Enter(m.Now(), admission.NewRequest("all", snapshot.Paying, k.name, deadline, admission.Due(due)), nil)
	if q, ok := d.(admission.Queued); ok {
		t.waiting[q.Ticket()] = decide
	} else {
		decide(d)
	}
	t.wake(wakes)
	if next, ok := t.gate.NextExpiry(); ok {
		m.At(next, func() { t.wake(t.gate.Expire(m.Now(), nil)) })
	}
}

// load returns what an answer tells of the load.
func (t *place) load(now time.Time) float64 {
	l := t.gate.Load(now)
	return float64(l.Running(snapshot.Paying)+l.Waiting(snapshot.Paying)) / float64(max(1, l.Slots()))
}

func (t *place) wake(wakes []admission.Wake) {
	for _, w := range wakes {
		if decide, ok := t.waiting[w.Ticket()]; ok {
			delete(t.waiting, w.Ticket())
			decide(w.Decision())
		}
	}
}

// serve runs a call at the target, with the call that it makes itself.
func (m *mesh) serve(t *place, k *kind, ticket admission.Ticket, deadline time.Time, end func(*retry.Outcome, balance.Report)) {
	leave := func(how admission.Outcome, o *retry.Outcome, r balance.Report) {
		t.running--
		t.wake(t.gate.Leave(m.Now(), ticket, how, nil))
		end(o, r)
	}
	t.running++
	if t.turnsAway() {
		m.After(oneWay, func() {
			o := retry.Rejected(0)
			leave(admission.Shed, &o, balance.Failed())
		})
		return
	}
	work := time.Duration(float64(k.draw(m.rng)) * t.slow)
	finish := func() {
		m.After(work, func() {
			told := t.gate.ServiceOf(k.name)
			if m.mute {
				told = 0
			}
			leave(admission.Done, nil, balance.Answered(balance.Load(t.load(m.Now())), balance.Service(told)))
		})
	}
	if k.inner == nil || m.rng.Float64() >= k.innerShare {
		finish()
		return
	}
	until := m.Now().Add(min(k.inner.patience, deadline.Sub(m.Now())))
	second := int(m.Since() / window)
	k.inner.asked[second]++
	m.call(t.sender, k.inner, m.Now(), until, func(ok bool, _ time.Duration) {
		if ok {
			k.inner.got[second]++
			finish()
			return
		}
		// The work so far is lost, and the target says so.
		o := retry.Erred()
		leave(admission.Done, &o, balance.Failed())
	})
}
