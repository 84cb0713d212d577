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
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

const (
	// oneWayDelay is the network delay between two nodes.
	oneWayDelay = time.Millisecond
	// statsInterval is the unit of time in which call counts are kept.
	statsInterval = time.Second
)

// mesh simulates whole nodes without a network: senders with a balancer and retry
// budgets of their own, targets behind gates, and callers that retry when told to.
type mesh struct {
	*sim.Simulation
	rng     *rand.Rand
	senders []*sender
	pools   map[string][]*simTarget
	kinds   []*callKind
	// domains is the number of failure domains of senders and targets.
	domains int
	// choose, if set, picks the target of an attempt in place of the balancer.
	choose func(k *callKind, tried []*simTarget) *simTarget
	// skew is the fraction of calls that arrive in the first failure domain in
	// addition to its even share.
	skew float64
	// hideServiceTimes keeps targets from reporting service times.
	hideServiceTimes bool
}

type sender struct {
	balancer *balance.Balancer
	budgets  *retry.Budgets
	domain   string
}

// simTarget is a target with its gate.
type simTarget struct {
	name     string
	pool     string
	domain   string
	gate     *admission.Gate
	sender   *sender
	slowdown float64
	// rejects decides whether the target itself rejects a call.
	rejects func() bool
	// rate returns the limit that the target names in its responses, 0 for none.
	rate    func() float64
	running int
	// starts are the times since the start at which calls reached the target.
	starts  []time.Duration
	expiry  sim.Alarm // of the gate
	waiting map[admission.Ticket]func(admission.Decision)
}

// callKind is one kind of call with its results, by the second in which the calls
// began.
type callKind struct {
	name, pool string
	rate       float64
	work       time.Duration
	// logStdDev is the standard deviation of the logarithm of the work; 0 makes
	// the work exponentially distributed.
	logStdDev              float64
	softDeadline, timeout  time.Duration
	idempotent             bool
	callerRetries          int
	nested                 *callKind
	nestedShare            float64
	sent, inTime, answered map[int]int
	attempts, crossDomain  int
}

// share returns the fractions of the calls begun in a span of seconds that got an
// answer, and that got it within the soft deadline.
func (k *callKind) share(from, to int) (answeredShare, inTimeShare float64) {
	sent, answered, inTime := 0, 0, 0
	for s := from; s < to; s++ {
		sent, answered, inTime = sent+k.sent[s], answered+k.answered[s], inTime+k.inTime[s]
	}
	return float64(answered) / float64(max(1, sent)), float64(inTime) / float64(max(1, sent))
}

// drawWork returns the random service time of a call at a target of slowdown 1.
func (k *callKind) drawWork(rng *rand.Rand) time.Duration {
	if k.logStdDev == 0 {
		return sim.Exp(rng, k.work)
	}
	return time.Duration(float64(k.work) * math.Exp(k.logStdDev*rng.NormFloat64()-k.logStdDev*k.logStdDev/2))
}

// Bounds on retries: ratios to the calls, and the sum of the extra retries of all
// senders.
const (
	repeatRatio, rejectedRatio = 0.04, 0.11
	extraRepeats               = 100
)

func newMesh(senders int, kinds ...*callKind) *mesh { return newMeshOver(1, senders, kinds...) }

func newMeshOver(domains, senders int, kinds ...*callKind) *mesh {
	m := &mesh{Simulation: sim.New(), rng: sim.Rand(41), pools: map[string][]*simTarget{}, kinds: kinds, domains: domains}
	for i := range senders {
		m.senders = append(m.senders, m.newSender(uint64(i), senders))
	}
	for _, k := range kinds {
		k.sent, k.answered, k.inTime = map[int]int{}, map[int]int{}, map[int]int{}
	}
	return m
}

func (m *mesh) newSender(i uint64, senders int) *sender {
	domain := m.domain(int(i))
	return &sender{
		domain:   domain,
		balancer: balance.New(m.Now(), sim.Rand(100+i), balance.Domain(domain)),
		budgets: retry.NewBudgets(sim.Rand(500+i), retry.RefusedRatio(1), retry.WithBounds(func() retry.Bounds {
			return retry.Bounds{RepeatRatio: repeatRatio, RejectedRatio: rejectedRatio, MaxTokens: extraRepeats / float64(senders)}
		})),
	}
}

func (m *mesh) domain(i int) string { return string(rune('a' + i%m.domains)) }

// pool adds n targets to a pool; they get the slowdowns in turn.
func (m *mesh) pool(name string, n, slots int, slowdowns ...float64) []*simTarget {
	for i := range n {
		m.pools[name] = append(m.pools[name], &simTarget{
			name: fmt.Sprintf("%s-%d", name, i), pool: name, slowdown: slowdowns[i/m.domains%len(slowdowns)], domain: m.domain(i),
			gate:   admission.NewGate(m.Now(), admission.Slots(slots)),
			sender: m.senders[i%len(m.senders)], rejects: func() bool { return false }, rate: func() float64 { return 0 },
			waiting: map[admission.Ticket]func(admission.Decision){},
		})
	}
	var records []membership.Record
	for _, target := range m.pools[name] {
		records = append(records, membership.NewRecord(target.name, membership.Domain(target.domain), membership.Pool(name),
			membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.Boot(1), membership.Seq(1),
			membership.InState(membership.Ready), membership.Slots(slots)))
	}
	for _, s := range m.senders {
		s.balancer.Update(m.Now(), name, slots, records)
	}
	return m.pools[name]
}

func (m *mesh) target(pool string, p balance.Picked) *simTarget {
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
			m.Arrivals(sim.Rand(uint64(7+i)), k.rate, 0, until, func() { m.startCall(k) })
		}
	}
	m.Run()
}

// startCall simulates a caller that sends a call and retries when told to.
func (m *mesh) startCall(k *callKind) {
	began := m.Now()
	second := int(m.Elapsed() / statsInterval)
	k.sent[second]++
	deadline := began.Add(k.timeout)
	retries := k.callerRetries
	var attempt func()
	attempt = func() {
		m.call(m.sender(), k, began, deadline, func(ok bool, after time.Duration) {
			remaining := deadline.Sub(m.Now())
			switch {
			case ok:
				k.answered[second]++
				if m.Now().Sub(began) <= k.softDeadline {
					k.inTime[second]++
				}
			case retries > 0 && after < remaining/3:
				retries--
				m.After(after+m.randomDelay(20*time.Millisecond), attempt)
			}
		})
	}
	attempt()
}

// sender picks the node to which a caller sends its call.
func (m *mesh) sender() *sender {
	i := m.rng.IntN(len(m.senders))
	if m.rng.Float64() < m.skew {
		i -= i % m.domains
	}
	return m.senders[i]
}

func (m *mesh) randomDelay(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// call handles a call as a node does: it picks a target, sends the call, and
// decides about retries.
func (m *mesh) call(s *sender, k *callKind, began, deadline time.Time, done func(ok bool, after time.Duration)) {
	opts := []retry.CallOption{retry.Retries(1), retry.RefusalRetries(2)}
	if k.idempotent {
		opts = append(opts, retry.Idempotent())
	}
	c := retry.NewCall(k.pool, deadline, opts...)
	s.budgets.FirstAttempt(&c)
	callInfo := balance.NewCallInfo("all", snapshot.Paying).WithRoute(k.name)
	var tried []balance.Picked
	var triedTargets []*simTarget
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
			t := m.choose(k, triedTargets)
			triedTargets = append(triedTargets, t)
			m.After(oneWayDelay, func() {
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
		switch choice := s.balancer.Pick(m.Now(), k.pool, callInfo, tried).(type) {
		case balance.None:
			next(retry.NoTarget(choice.RetryAfter()))
		case balance.Picked:
			tried = append(tried, choice)
			sent := m.Now()
			t := m.target(k.pool, choice)
			k.attempts++
			m.After(oneWayDelay, func() {
				if t.domain != s.domain {
					k.crossDomain++
				}
				m.enter(t, k, began, deadline, func(o *retry.Outcome, r balance.Report) {
					m.After(oneWayDelay, func() {
						s.balancer.Done(m.Now(), choice, callInfo, m.Now().Sub(sent), r)
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

// enter passes a call to a target's gate; the outcome passed to end is nil for an
// answer.
func (m *mesh) enter(t *simTarget, k *callKind, began, deadline time.Time, end func(*retry.Outcome, balance.Report)) {
	decide := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			m.serve(t, k, d.Ticket(), deadline, end)
		case admission.Refused:
			o := retry.Refused(d.RetryAfter())
			end(&o, balance.NoCapacity(balance.Load(t.load(m.Now()))))
		}
	}
	softDeadline := began.Add(k.softDeadline)
	d, wakes := t.gate.Enter(m.Now(), admission.NewRequest("all", snapshot.Paying, k.name, deadline, admission.SoftDeadline(softDeadline)), nil)
	if q, ok := d.(admission.Queued); ok {
		t.waiting[q.Ticket()] = decide
	} else {
		decide(d)
	}
	t.wake(wakes)
	m.scheduleExpiry(t)
}

// scheduleExpiry sets the timer of a target's gate.
func (m *mesh) scheduleExpiry(t *simTarget) {
	m.Arm(&t.expiry, t.gate.NextExpiry, func() { t.wake(t.gate.Expire(m.Now(), nil)) })
}

// load returns the load that the target reports with its answers.
func (t *simTarget) load(now time.Time) float64 {
	return t.gate.Load(now).Utilization()
}

func (t *simTarget) wake(wakes []admission.Wake) {
	for _, w := range wakes {
		if decide, ok := t.waiting[w.Ticket()]; ok {
			delete(t.waiting, w.Ticket())
			decide(w.Decision())
		}
	}
}

// serve runs a call at the target, along with its nested call.
func (m *mesh) serve(t *simTarget, k *callKind, ticket admission.Ticket, deadline time.Time, end func(*retry.Outcome, balance.Report)) {
	leave := func(outcome admission.Outcome, o *retry.Outcome, r balance.Report) {
		t.running--
		t.wake(t.gate.Leave(m.Now(), ticket, outcome, nil))
		t.wake(t.gate.ObserveRate(m.Now(), t.rate(), t.rate() > 0, nil))
		m.scheduleExpiry(t)
		end(o, r)
	}
	t.running++
	t.starts = append(t.starts, m.Elapsed())
	if t.rejects() {
		m.After(oneWayDelay, func() {
			o := retry.Rejected(0)
			leave(admission.Rejected, &o, balance.Failed())
		})
		return
	}
	work := time.Duration(float64(k.drawWork(m.rng)) * t.slowdown)
	finish := func() {
		m.After(work, func() {
			reported := t.gate.RouteServiceTime(k.name)
			if m.hideServiceTimes {
				reported = 0
			}
			leave(admission.Done, nil, balance.Answered(balance.Load(t.load(m.Now())), balance.ServiceTime(reported)))
		})
	}
	if k.nested == nil || m.rng.Float64() >= k.nestedShare {
		finish()
		return
	}
	until := m.Now().Add(min(k.nested.timeout, deadline.Sub(m.Now())))
	second := int(m.Elapsed() / statsInterval)
	k.nested.sent[second]++
	m.call(t.sender, k.nested, m.Now(), until, func(ok bool, _ time.Duration) {
		if ok {
			k.nested.answered[second]++
			finish()
			return
		}
		// The work so far is lost, and the target answers with an error.
		o := retry.ErrorResponse()
		leave(admission.Done, &o, balance.Failed())
	})
}
