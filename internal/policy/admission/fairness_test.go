package admission_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/admission"
	"banyanlug.example/banyanlug/internal/policy/sim"
	"banyanlug.example/banyanlug/internal/policy/token"
)

// levelRule is how calls get their level in a simulation.
type levelRule string

const (
	noLevels     levelRule = "no levels"
	byUsage      levelRule = "levels"
	strictUsage  levelRule = "levels, none sent at 0"
	equalParts   levelRule = "equal parts without weights"
	fairNodes              = 82
	fairDomains            = 3
	fairTargets            = 38
	fairSlots              = 6
	fairAttempts           = 3
	fairWork               = 160 * ms
)

// fairOrg is an organisation with its results.
type fairOrg struct {
	limit, equal       snapshot.Limit
	rate               float64
	nodes              []int
	sent, served       int
	returned, servedOn int // calls that came back at their Retry-After, and those served then
}

func (o *fairOrg) share() float64 { return float64(o.served) / float64(max(1, o.sent)) }

// fairSim simulates callers of many organisations at nodes that take tokens, and one pool
// of targets behind gates.
type fairSim struct {
	*sim.Simulation
	rule     levelRule
	rng      *rand.Rand
	orgs     []*fairOrg
	targets  []*simTarget
	issuers  []*token.Issuer
	caches   []*token.Cache
	levels   map[string]int
	comeBack bool
	asked    int // exchanges between issuers about an organisation
}

// usedParts is the range of the parts of their limits that organisations usually use.
type usedParts struct{ from, to float64 }

var (
	fewUsed   = usedParts{0.05, 0.09}
	mixedUsed = usedParts{0.1, 0.7}
)

func newFairSim(rule levelRule, seed uint64, load float64, used usedParts) *fairSim {
	f := &fairSim{Simulation: sim.New(), rule: rule, rng: sim.Rand(seed), levels: map[string]int{}}
	capacity := 0.0
	for i := range fairTargets {
		slowdown := 0.5 + 1.1*f.rng.Float64()
		capacity += fairSlots / (fairWork.Seconds() * slowdown)
		f.targets = append(f.targets, &simTarget{
			name: fmt.Sprint(i), slowdown: slowdown, gate: admission.NewGate(f.Now(), admission.Slots(fairSlots)),
			waiting: map[admission.Ticket]func(admission.Decision){},
		})
	}
	f.restartIssuers()
	for range fairNodes {
		f.caches = append(f.caches, token.NewCache())
	}
	const large, all, largePart = 4, 83, 0.08
	weights, sum := make([]float64, all), 0.0
	for i := large; i < all; i++ {
		weights[i] = math.Exp(f.rng.Float64() * math.Log(4))
		sum += weights[i]
	}
	for i := range weights {
		part, nodes := largePart, f.rng.Perm(fairNodes)
		if i >= large {
			part, nodes = (1-large*largePart)*weights[i]/sum, nodes[:1+f.rng.IntN(4)]
		}
		o := &fairOrg{rate: load * capacity * part, nodes: nodes}
		name, total := fmt.Sprintf("org%d", i), o.rate/(used.from+(used.to-used.from)*f.rng.Float64())
		o.limit = snapshot.NewLimit(name, total, 0).WithBurst(total)
		equal := load * capacity / all / 0.07
		o.equal = snapshot.NewLimit(name+"=", equal, 0).WithBurst(equal)
		f.orgs = append(f.orgs, o)
	}
	return f
}

func (f *fairSim) restartIssuers() {
	f.issuers = nil
	for range fairDomains {
		f.issuers = append(f.issuers, token.NewIssuer(f.Now()))
	}
}

// run simulates calls for d; those of the first five seconds don't count.
func (f *fairSim) run(d time.Duration) {
	for i, o := range f.orgs {
		f.Arrivals(sim.Rand(uint64(1000+i)), o.rate, 0, d, func() {
			node, counts := o.nodes[f.rng.IntN(len(o.nodes))], f.Elapsed() > 5*time.Second
			if counts {
				o.sent++
			}
			f.call(o, node, func(ok bool, after time.Duration) {
				switch {
				case ok && counts:
					o.served++
				case !ok && counts && f.comeBack:
					o.returned++
					f.After(after, func() {
						f.call(o, node, func(ok bool, _ time.Duration) {
							if ok {
								o.servedOn++
							}
						})
					})
				}
			})
		})
	}
	f.Every(time.Second, d, f.exchange)
	f.Run()
}

// exchange lets issuers ask one another for the demand of organisations.
func (f *fairSim) exchange() {
	for i, own := range f.issuers {
		own.UpdateTypical(f.Now())
		for _, u := range own.Usages(f.Now(), 2*len(f.orgs)) {
			l, ok := f.limitOf(u.Organisation())
			if !ok || !u.AskOthers() {
				continue
			}
			others := 0.0
			for k, other := range f.issuers {
				if k != i {
					others += other.Part(f.Now(), l)
				}
			}
			own.SetOthers(f.Now(), l, others, 0)
			f.asked++
		}
	}
}

func (f *fairSim) limitOf(name string) (snapshot.Limit, bool) {
	for _, o := range f.orgs {
		switch name {
		case o.limit.Organisation():
			return o.limit, f.rule != equalParts
		case o.equal.Organisation():
			return o.equal, true
		}
	}
	return snapshot.Limit{}, false
}

// call takes a token for a call and makes its attempts.
func (f *fairSim) call(o *fairOrg, node int, done func(ok bool, after time.Duration)) {
	cache, p := f.caches[node], token.NewPlan(o.limit, testMargin, fairDomains)
	d := cache.Take(f.Now(), o.limit, p)
	for range 3 {
		if fetch, ok := d.(token.Fetch); ok {
			f.fetch(o, node, p, fetch.Tokens)
			d = cache.Retake(f.Now(), o.limit, p)
		}
	}
	switch d := d.(type) {
	case token.Refused:
		done(false, d.RetryAfter)
	case token.Fetch:
		cache.Forget(f.Now(), o.limit)
		done(false, ms)
	default:
		f.attempt(o, f.level(o, node, p), f.Now(), f.rng.Perm(fairTargets)[:2*fairAttempts], done)
	}
}

var testMargin = token.Margin{Window: 5 * time.Second, Ratio: 0.1, Calls: 20}

// fetch takes n tokens from the issuer of the node's domain, which borrows from the others.
func (f *fairSim) fetch(o *fairOrg, node int, p token.Plan, n int) {
	now, own := f.Now(), node%fairDomains
	got := f.issuers[own].Take(now, o.limit, p, n)
	for i, other := range f.issuers {
		if i != own && got.Borrow > 0 {
			f.issuers[own].Borrowed(now, o.limit, p, other.Lend(now, o.limit, p, got.Borrow).Tokens)
		}
	}
	if got.Borrow > 0 {
		got.Tokens += f.issuers[own].Take(now, o.limit, p, n-got.Tokens).Tokens
	}
	l, plan := o.limit, p
	if f.rule == equalParts {
		l, plan = o.equal, token.NewPlan(o.equal, testMargin, fairDomains)
	}
	_, level := f.issuers[own].Level(now, l, plan, n, 0)
	f.levels[fmt.Sprint(o.limit.Organisation(), own)] = level
	f.caches[node].Fetched(now, now, o.limit, got.Tokens, got.RetryAfter)
	f.caches[node].SetLevel(now, o.limit, level)
}

func (f *fairSim) level(o *fairOrg, node int, p token.Plan) int {
	switch f.rule {
	case noLevels:
		return 0
	case strictUsage:
		return f.levels[fmt.Sprint(o.limit.Organisation(), node%fairDomains)]
	default:
		return f.caches[node].Level(f.Now(), o.limit, fairNodes)
	}
}

// attempt sends a call to the less loaded of two targets, and after a refusal to others.
func (f *fairSim) attempt(o *fairOrg, level int, began time.Time, choices []int, done func(ok bool, after time.Duration)) {
	t, other := f.targets[choices[0]], f.targets[choices[1]]
	if other.load(f.Now()) < t.load(f.Now()) {
		t = other
	}
	decide := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			ticket := d.Ticket()
			f.After(time.Duration(float64(sim.Exp(f.rng, fairWork))*t.slowdown), func() {
				t.wake(t.gate.Leave(f.Now(), ticket, admission.Done, nil))
				f.expire(t)
				done(true, 0)
			})
		case admission.Refused:
			if len(choices) > 2 {
				f.After(2*oneWayDelay, func() { f.attempt(o, level, began, choices[2:], done) })
				return
			}
			done(false, d.RetryAfter())
		}
	}
	r := admission.NewRequest(o.limit.Organisation(), snapshot.Paying, "check", began.Add(3*time.Second),
		admission.SoftDeadline(began.Add(500*ms)), admission.Level(level))
	d, wakes := t.gate.Enter(f.Now(), r, nil)
	if q, ok := d.(admission.Queued); ok {
		t.waiting[q.Ticket()] = decide
	} else {
		decide(d)
	}
	t.wake(wakes)
	f.expire(t)
}

func (f *fairSim) expire(t *simTarget) {
	f.Arm(&t.expiry, t.gate.NextExpiry, func() { t.wake(t.gate.Expire(f.Now(), nil)) })
}

// fairResult has shares of calls served: of all but the busy organisation, of the worst
// tenth and the worst of these, of the busy one, and of calls that came back.
type fairResult struct{ all, worstTenth, worst, busy, returned float64 }

// result returns the shares; busy is the organisation that asks for more than usual, or -1.
func (f *fairSim) result(busy int) fairResult {
	var shares []float64
	sent, served, returned, servedOn := 0, 0, 0, 0
	for i, o := range f.orgs {
		returned, servedOn = returned+o.returned, servedOn+o.servedOn
		if i != busy {
			shares, sent, served = append(shares, o.share()), sent+o.sent, served+o.served
		}
	}
	slices.Sort(shares)
	tenth, sum := len(shares)/10, 0.0
	for _, s := range shares[:tenth] {
		sum += s
	}
	r := fairResult{all: float64(served) / float64(sent), worstTenth: sum / float64(tenth), worst: shares[0]}
	if busy >= 0 {
		r.busy = f.orgs[busy].share()
	}
	r.returned = float64(servedOn) / float64(max(1, returned))
	return r
}

var alternatives = flag.Bool("alternatives", false, "simulate fair shares for longer, with the rules that were weighed")

// Guards against an organisation that takes slots from all others while it stays within its
// limit, and against one that gets nothing. Seed 1 is that of docs/design/093-fair-shares.md.
func TestFairSharesOverAPool(t *testing.T) {
	t.Parallel()
	const usual, busyOrg, largeOrg = -1, 40, 1
	// In 20 s the small organisations' shares vary by chance by 0.02 more.
	rules, factors, length, tolerance := []levelRule{byUsage}, map[int]float64{usual: 1, busyOrg: 10}, 25*time.Second, 0.05
	if *alternatives {
		rules, length, tolerance = []levelRule{noLevels, byUsage, strictUsage, equalParts}, 65*time.Second, 0.03
		factors[largeOrg] = 4
	}
	for _, rule := range rules {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			results := map[int]fairResult{}
			for busy, factor := range factors {
				f := newFairSim(rule, 1, 2, fewUsed)
				if busy != usual {
					f.orgs[busy].rate *= factor
				}
				f.run(length)
				r := f.result(busy)
				t.Logf("busy %d: %.3f, issuers asked %d times", busy, r, f.asked)
				results[busy] = r
			}
			if rule != byUsage {
				return
			}
			calm := results[usual]
			for busy, r := range results {
				if r.worstTenth < r.all-tolerance || r.worst < r.all/4 {
					t.Errorf("busy %d: worst tenth %.3f, worst %.3f, all %.3f", busy, r.worstTenth, r.worst, r.all)
				}
				if calm.all-r.all > 0.02 || busy != usual && r.busy < r.all/4 {
					t.Errorf("busy %d: %.3f served, %.3f of its calls; %.3f without it", busy, r.all, r.busy, calm.all)
				}
			}
		})
	}
}

// Guards against levels that take slots from organisations for using more of their limits
// than others, where all use much of them and none takes more than usual.
func TestUsualUseOfLimitsChangesNoShares(t *testing.T) {
	t.Parallel()
	f := newFairSim(byUsage, 1, 2, mixedUsed)
	f.run(25 * time.Second)
	r := f.result(-1)
	t.Logf("%.3f, issuers asked %d times", r, f.asked)
	if r.worstTenth < r.all-0.05 {
		t.Errorf("worst tenth %.3f, all %.3f", r.worstTenth, r.all)
	}
}

// Guards against a Retry-After at which a call is served less often than a new one, so that
// callers who heed it lose by that.
func TestCallsReturnAtTheRetryAfter(t *testing.T) {
	t.Parallel()
	rules := []levelRule{byUsage}
	if *alternatives {
		rules = append(rules, noLevels)
	}
	for _, rule := range rules {
		f := newFairSim(rule, 1, 1.2, fewUsed)
		f.comeBack = true
		f.orgs[40].rate *= 10
		f.run(15 * time.Second)
		r := f.result(40)
		t.Logf("%s: %.3f served at once, %.3f of those that came back", rule, r.all, r.returned)
		if r.returned < 0.9*r.all {
			t.Errorf("%s: %.3f of the calls that came back are served, %.3f of the others", rule, r.returned, r.all)
		}
	}
}
