package token

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

const ms = time.Millisecond

func testLimit(rate, burst float64) snapshot.Limit {
	return snapshot.NewLimit("acme", rate, 0).WithBurst(burst)
}

// mostIn is the sum of all that the plan allows in a window of length d.
func (p Plan) mostIn(d time.Duration) float64 {
	fallback := p.fallback * max(1, d.Seconds()/p.window.Seconds())
	return float64(p.issuers)*(p.rate*(d+cacheTime).Seconds()+p.capacity) + fallback
}

var testMargin = Margin{Window: 5 * time.Second, Ratio: 0.1, Calls: 20}

// The sum of all that a plan allows in a window must not exceed the limit and its margin.
func TestPlanKeepsWithinTheMargin(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0.5, 4, 20, 100, 500, 5000, 50000} {
		for _, domains := range []int{1, 3, 6, 22} {
			l := testLimit(rate, rate)
			p := NewPlan(l, testMargin, domains)
			w := testMargin.Window
			if most, allowed := p.mostIn(w), testMargin.Allowed(l, w); most > allowed+1e-6 {
				t.Errorf("rate %v, %d domains: %v calls in a window, %v are allowed", rate, domains, most, allowed)
			}
			l = testLimit(rate, 0)
			p = NewPlan(l, testMargin, domains)
			most := p.mostIn(w)
			if allowed := testMargin.Allowed(l, w); most > allowed+1e-6 {
				t.Errorf("rate %v without a burst, %d domains: %v calls in a window, %v are allowed", rate, domains, most, allowed)
			}
			if p.issuers < 1 || p.issuers > domains || p.capacity < 1 {
				t.Errorf("rate %v, %d domains: plan %+v", rate, domains, p)
			}
		}
	}
	if p := NewPlan(testLimit(100, 0), Margin{}, 2); p.capacity*2 != 10 || p.rate != 50 {
		t.Errorf("without a margin the plan is %+v", p)
	}
}

// fleet simulates nodes that take tokens from the issuers of their domains.
type fleet struct {
	*sim.Simulation
	limit    snapshot.Limit
	margin   Margin
	domains  int
	issuers  []*Issuer // by domain
	caches   []*Cache  // by node
	perNode  int
	latency  time.Duration
	isolated map[int]bool // domains cut off from the others
	offline  map[int]bool // nodes that reach no issuer
	// find returns the issuer that a node finds in a domain, and its plan.
	find func(node, domain int) (*Issuer, Plan)

	offered, served, exchanges int
	servedAt                   []time.Duration
}

func newFleet(l snapshot.Limit, domains, perNode int) *fleet {
	f := &fleet{
		Simulation: sim.New(), limit: l, margin: testMargin, domains: domains, perNode: perNode,
		latency: 2 * ms, isolated: map[int]bool{}, offline: map[int]bool{},
	}
	for range domains {
		f.issuers = append(f.issuers, NewIssuer(f.Now()))
	}
	f.find = func(_, domain int) (*Issuer, Plan) { return f.issuers[domain], f.plan() }
	for range domains * perNode {
		f.caches = append(f.caches, NewCache())
	}
	return f
}

func (f *fleet) plan() Plan { return NewPlan(f.limit, f.margin, f.domains) }

// call makes a call at a node.
func (f *fleet) call(node int) {
	f.offered++
	f.decide(node, f.caches[node].Take(f.Now(), f.limit, f.plan()), 3)
}

func (f *fleet) decide(node int, d Decision, fetches int) {
	switch d := d.(type) {
	case Granted:
		f.served++
		f.servedAt = append(f.servedAt, f.Elapsed())
	case Fetch:
		switch {
		case fetches == 0:
			f.caches[node].Forget(f.Now(), f.limit)
		case f.offline[node]:
			f.decide(node, f.caches[node].TakeWithoutIssuer(f.Now(), f.limit, f.plan(), len(f.caches)), 0)
		default:
			f.fetch(node, d.Tokens, fetches)
		}
	}
}

// fetch takes tokens from the issuer of the node's domain, which borrows from the others.
func (f *fleet) fetch(node, n, fetches int) {
	f.exchanges++
	sent, cache, own := f.Now(), f.caches[node], node/f.perNode
	if own >= f.plan().issuers {
		own = 0
	}
	f.After(f.latency, func() {
		issuer, p := f.find(node, own)
		for other := 0; issuer == nil && other < f.plan().issuers; other++ {
			if !f.isolated[own] && !f.isolated[other] {
				issuer, p = f.find(node, other)
			}
		}
		if issuer == nil {
			f.decide(node, f.caches[node].TakeWithoutIssuer(f.Now(), f.limit, p, len(f.caches)), 0)
			return
		}
		got := issuer.Take(f.Now(), f.limit, p, n)
		if got.Borrow > 0 && !f.isolated[own] {
			lent := 0
			for other := range p.issuers {
				if other != own && !f.isolated[other] && lent < got.Borrow {
					f.exchanges++
					if lender, lp := f.find(node, other); lender != nil {
						lent += lender.Lend(f.Now(), f.limit, lp, got.Borrow-lent).Tokens
					}
				}
			}
			issuer.Borrowed(f.Now(), f.limit, p, lent)
			more := issuer.Take(f.Now(), f.limit, p, n-got.Tokens)
			got.Tokens, got.RetryAfter = got.Tokens+more.Tokens, more.RetryAfter
		}
		f.After(f.latency, func() {
			if f.caches[node] != cache {
				return // the node has restarted, and its tokens in transit are lost
			}
			cache.Fetched(sent, f.Now(), f.limit, got.Tokens, got.RetryAfter)
			f.decide(node, cache.Retake(f.Now(), f.limit, f.plan()), fetches-1)
		})
	})
}

// mostInWindow returns the largest number of calls served in any window of length d.
func (f *fleet) mostInWindow(d time.Duration) int {
	most, first := 0, 0
	for i, at := range f.servedAt {
		for f.servedAt[first] <= at-d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// servedBetween returns the calls served per second in a span.
func (f *fleet) servedBetween(from, to time.Duration) float64 {
	n := 0
	for _, at := range f.servedAt {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// Demand of several shapes within or beyond a limit, from one node or all. What lies within
// the limit is served, and no window exceeds what the margin allows.
func TestDemandIsServedUpToTheLimit(t *testing.T) {
	t.Parallel()
	const domains, perNode = 3, 28
	anywhere := func(r *rand.Rand) int { return r.IntN(domains * perNode) }
	for _, tt := range []struct {
		name   string
		rate   float64 // limit
		demand float64
		node   func(r *rand.Rand) int
		least  float64 // served of what lies within the limit
	}{
		{"a large organisation on all nodes", 500, 320, anywhere, 0.99},
		{"a small organisation on all nodes", 4, 2.3, anywhere, 0.98},
		{"a small organisation at one node", 4, 2.3, func(*rand.Rand) int { return 5 }, 0.98},
		{"a large organisation in one domain", 500, 320, func(r *rand.Rand) int { return r.IntN(perNode) }, 0.98},
		{"a large organisation at one node", 500, 320, func(*rand.Rand) int { return 5 }, 0.98},
		{"ten times the limit from all nodes", 500, 5000, anywhere, 0.98},
		{"ten times a small limit from all nodes", 4, 40, anywhere, 0.95},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(testLimit(tt.rate, tt.rate), domains, perNode)
			r := sim.Rand(3)
			const end = 40 * time.Second
			f.Arrivals(sim.Rand(4), tt.demand, 0, end, func() { f.call(tt.node(r)) })
			f.Run()
			want := min(tt.demand, tt.rate)
			if got := f.servedBetween(2*time.Second, end); got < tt.least*want {
				t.Errorf("%.1f calls a second are served of %.1f within the limit, %d exchanges for %d calls", got, want, f.exchanges, f.offered)
			}
			if most, allowed := f.mostInWindow(testMargin.Window), testMargin.Allowed(f.limit, testMargin.Window); float64(most) > allowed {
				t.Errorf("%d calls in a window, %.0f are allowed", most, allowed)
			}
		})
	}
}

// An organisation far beyond its limit must not cost an exchange for each of its calls.
func TestRefusalsCostFewExchanges(t *testing.T) {
	t.Parallel()
	f := newFleet(testLimit(100, 100), 3, 28)
	r := sim.Rand(3)
	f.Arrivals(sim.Rand(4), 10000, 0, 10*time.Second, func() { f.call(r.IntN(84)) })
	f.Run()
	if f.exchanges > f.offered/10 {
		t.Errorf("%d exchanges for %d calls", f.exchanges, f.offered)
	}
}

// Demand that moves to another domain is served there at once by what that domain issues,
// and in full by tokens that others lend.
func TestMovedDemandIsServedWithinASecond(t *testing.T) {
	t.Parallel()
	f := newFleet(testLimit(300, 300), 3, 28)
	r := sim.Rand(3)
	f.Arrivals(sim.Rand(4), 200, 0, 20*time.Second, func() { f.call(r.IntN(28)) })
	f.Arrivals(sim.Rand(5), 200, 20*time.Second, 40*time.Second, func() { f.call(28 + r.IntN(28)) })
	f.Run()
	if got := f.servedBetween(20*time.Second, 21*time.Second); got < 150 {
		t.Errorf("%.0f of 200 calls are served in the second after the move", got)
	}
	if got := f.servedBetween(22*time.Second, 40*time.Second); got < 195 {
		t.Errorf("%.1f of 200 calls a second are served after the move", got)
	}
}

// A domain that is cut off keeps its own part of the limit and no more, and a node without
// any issuer a small one.
func TestACutDomainKeepsItsPart(t *testing.T) {
	t.Parallel()
	f := newFleet(testLimit(300, 300), 3, 28)
	f.isolated[0] = true
	f.offline[83] = true
	r := sim.Rand(3)
	for d := range 3 {
		f.Arrivals(sim.Rand(uint64(d)), 200, 0, 20*time.Second, func() { f.call(d*28 + r.IntN(28)) })
	}
	f.Run()
	want := f.plan().rate * float64(f.plan().issuers)
	if got := f.servedBetween(5*time.Second, 20*time.Second); got < 0.97*want || got > 1.03*want {
		t.Errorf("%.0f calls a second are served, want %.0f", got, want)
	}
	if most, allowed := f.mostInWindow(testMargin.Window), testMargin.Allowed(f.limit, testMargin.Window); float64(most) > allowed {
		t.Errorf("%d calls in a window, %.0f are allowed", most, allowed)
	}
}

// Whatever happens to issuers, nodes and messages, the calls in a window stay within what
// the plan states.
func TestStatefulCallsStayWithinThePlan(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		rate := rapid.SampledFrom([]float64{1, 4, 30, 500}).Draw(t, "rate")
		f := newFleet(testLimit(rate, rate*rapid.Float64Range(0, 2).Draw(t, "burst seconds")), domains, 3)
		nodes := domains * f.perNode
		r := sim.Rand(rapid.Uint64().Draw(t, "seed"))
		demand := rate * rapid.Float64Range(0.2, 20).Draw(t, "demand")
		const end = 12 * time.Second
		f.Arrivals(r, min(demand, 3000), 0, end, func() { f.call(r.IntN(nodes)) })
		events := rapid.IntRange(0, 6).Draw(t, "events")
		for i := range events {
			at := time.Duration(rapid.Int64Range(0, int64(end)).Draw(t, "at"))
			domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
			switch rapid.IntRange(0, 2).Draw(t, fmt.Sprint("event ", i)) {
			case 0: // the issuer is replaced
				f.After(at, func() { f.issuers[domain] = NewIssuer(f.Now()) })
			case 1: // the domain is cut off, or reachable again
				f.After(at, func() { f.isolated[domain] = !f.isolated[domain] })
			case 2: // a node restarts
				node := rapid.IntRange(0, nodes-1).Draw(t, "node")
				f.After(at, func() { f.caches[node] = NewCache() })
			}
		}
		f.Run()
		if over := f.overrun(); over > 0 {
			t.Fatalf("%.1f calls beyond what is allowed", over)
		}
	})
}

// Nodes that reach no issuer use no more than the plan's share together, however many calls
// they get.
func TestNodesWithoutIssuersShareAPartOfTheLimit(t *testing.T) {
	t.Parallel()
	f := newFleet(testLimit(100, 100), 2, 10)
	for n := range 20 {
		f.offline[n] = true
	}
	r := sim.Rand(3)
	f.Arrivals(sim.Rand(4), 1000, 0, 20*time.Second, func() { f.call(r.IntN(20)) })
	f.Run()
	want := 20 * f.plan().fallbackRate(20)
	if got := f.servedBetween(5*time.Second, 20*time.Second); got < want/2 || got > want+20.0/15 {
		t.Errorf("%.1f calls a second are served, want %.1f", got, want)
	}
	if most := f.mostInWindow(testMargin.Window); float64(most) > f.plan().fallback {
		t.Errorf("%d calls in a window, want at most %.0f", most, f.plan().fallback)
	}
}

// The token of a call that was not run serves the next call; that of an expired one does not.
func TestTokensOfCallsNotRunAreReused(t *testing.T) {
	t.Parallel()
	l := testLimit(100, 100)
	p, c, now := NewPlan(l, testMargin, 1), NewCache(), sim.Start
	take := func(at time.Time) Decision { return c.Take(at, l, p) }
	if _, ok := take(now).(Fetch); !ok {
		t.Fatal("a node without tokens does not fetch any")
	}
	c.Fetched(now, now, l, 1, 0)
	if _, ok := c.Retake(now, l, p).(Granted); !ok {
		t.Fatal("no token after one was fetched")
	}
	c.Return(now, now.Add(ms), l)
	if _, ok := take(now.Add(2 * ms)).(Granted); !ok {
		t.Error("the returned token is not used")
	}
	c.Return(now.Add(2*ms), now.Add(time.Second), l)
	if _, ok := take(now.Add(time.Second)).(Granted); ok {
		t.Error("an expired token is used")
	}
	later := now.Add(2 * time.Second)
	c.Fetched(later, later, l, 1, 0)
	if _, ok := take(later).(Granted); !ok {
		t.Fatal("no token after one was fetched")
	}
	c.Return(now.Add(2*ms), later, l)
	if _, ok := take(later).(Granted); ok {
		t.Error("a token of an earlier request is used with later ones")
	}
}
