package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/play"
)

const (
	domains        = 4
	nodesPerDomain = 6
	nodes          = domains * nodesPerDomain
	limitRate      = 1000
	limitAtOnce    = 60
	ms             = time.Millisecond
)

var (
	byRate   = snapshot.NewLimit("acme", limitRate, 0)
	byAtOnce = snapshot.NewLimit("acme", 0, limitAtOnce)
)

// fleet plays nodes in domains under one ledger. The oracle counts calls let
// in, by the second, and calls at once, by itself.
type fleet struct {
	*play.Play
	rng     *rand.Rand
	top     *Ledger
	relays  []*Relay
	holders []*Holder
	// down marks crashed nodes, cut marks domains that don't reach the top.
	down [nodes]bool
	cut  [domains]bool
	loss float64
	// allow decides at a node; it is replaced for the simpler policies.
	allow func(node int) bool

	asked, allowed map[int]int
	running, most  int
}

func newFleet(limit snapshot.Limit, loss float64) *fleet {
	f := &fleet{
		Play: play.New(), rng: play.Rand(11), loss: loss, asked: map[int]int{}, allowed: map[int]int{},
		top: NewLedger(play.Start, Limited(Of(limit)), Lease(DomainLease), Planned(domains), Expect("0", "1", "2", "3")),
	}
	for d := range domains {
		var below []string
		for n := range nodesPerDomain {
			below = append(below, fmt.Sprint(d*nodesPerDomain+n))
		}
		f.relays = append(f.relays, NewRelay(play.Start, "acme", Planned(nodesPerDomain), Expect(below...)))
		f.beat(time.Duration(d)*100*ms, func() { f.domainBeat(d) })
	}
	for n := range nodes {
		f.holders = append(f.holders, NewHolder())
		f.beat(time.Duration(n)*40*ms, func() { f.nodeBeat(n) })
	}
	f.allow = func(n int) bool {
		_, ok := f.holders[n].Allow(f.Now(), limit).(Allowed)
		return ok
	}
	return f
}

const end = 110 * time.Second

func (f *fleet) beat(phase time.Duration, do func()) {
	f.After(phase, func() { f.Every(time.Second, end, do) })
}

// send delivers a message unless it is lost.
func (f *fleet) send(after time.Duration, do func()) {
	if f.rng.Float64() >= f.loss {
		f.After(after, do)
	}
}

func (f *fleet) nodeBeat(n int) {
	if f.down[n] {
		return
	}
	sent, relay := f.Now(), f.relays[n/nodesPerDomain]
	reports := f.holders[n].Reports(sent, false)
	f.send(5*ms, func() {
		var grants []Grant
		for _, r := range reports {
			if g, ok := relay.Report(f.Now(), fmt.Sprint(n), r); ok {
				grants = append(grants, g)
			}
		}
		relay.Heard(f.Now(), fmt.Sprint(n))
		f.send(5*ms, func() { f.holders[n].Apply(sent, grants) })
	})
}

func (f *fleet) domainBeat(d int) {
	if f.cut[d] {
		return
	}
	sent := f.Now()
	r, ok := f.relays[d].Up(sent)
	if !ok {
		return
	}
	f.send(20*ms, func() {
		if g, ok := f.top.Report(f.Now(), fmt.Sprint(d), r); ok && !f.cut[d] {
			f.send(20*ms, func() { f.relays[d].Down(f.Now(), sent, g) })
		}
	})
}

// demand makes calls at the nodes of a domain, most of them at the first.
func (f *fleet) demand(domain int, rate float64, from, to time.Duration) {
	f.Arrivals(play.Rand(uint64(domain)+uint64(from)), rate, from, to, func() {
		n := domain*nodesPerDomain + max(0, f.rng.IntN(2*nodesPerDomain)-nodesPerDomain)
		if f.down[n] {
			return
		}
		second := int(f.Since() / time.Second)
		f.asked[second]++
		if !f.allow(n) {
			return
		}
		f.allowed[second]++
		f.running++
		f.most = max(f.most, f.running)
		f.After(play.Exp(f.rng, 80*ms), func() {
			f.running--
			f.holders[n].Release(f.Now(), "acme")
		})
	})
}

// story moves the demand from domain to domain, cuts one off while it is busy,
// and crashes two nodes.
func (f *fleet) story() {
	f.demand(0, 1500, 5*time.Second, 30*time.Second)
	f.demand(1, 1500, 30*time.Second, 80*time.Second)
	f.demand(2, 800, 60*time.Second, 100*time.Second)
	f.demand(3, 100, 5*time.Second, 100*time.Second)
	f.After(50*time.Second, func() { f.cut[1] = true })
	f.After(80*time.Second, func() { f.cut[1] = false })
	f.After(70*time.Second, func() { f.down[12], f.down[13] = true, true })
	f.After(75*time.Second, func() {
		f.relays[2].Remove(f.Now(), "12")
		f.relays[2].Remove(f.Now(), "13")
	})
	f.Run()
}

// worst returns the most calls let in during one second.
func (f *fleet) worst() int {
	n := 0
	for _, a := range f.allowed {
		n = max(n, a)
	}
	return n
}

// served returns the part of the calls let in that a limit of so many calls a
// second allows, over a span of seconds.
func (f *fleet) served(limit, from, to int) float64 {
	got, could := 0, 0
	for s := from; s < to; s++ {
		got += f.allowed[s]
		could += min(f.asked[s], limit)
	}
	return float64(got) / float64(could)
}

// settled are seconds of the story when shares have followed the demand: ten
// seconds after it moves, and while the busy domain is cut off.
var settled = [][2]int{{15, 30}, {42, 50}, {62, 80}, {90, 100}}

// An organisation's demand moves from domain to domain, its busiest domain is
// cut off for half a minute, two nodes crash, and part of all messages is lost.
// No second sees more calls than the limit and the stated bursts, and ten
// seconds after each move the demand is served again.
func TestRateLimitHoldsWhileDemandMoves(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		loss  float64
		least float64
	}{{0, 0.9}, {0.1, 0.85}, {0.3, 0.6}} {
		t.Run(fmt.Sprintf("%.1f of the messages lost", c.loss), func(t *testing.T) {
			t.Parallel()
			f := newFleet(byRate, c.loss)
			f.story()
			if most := limitRate + int(burst*limitRate) + nodes; f.worst() > most {
				t.Errorf("%d calls let in within a second, more than %d", f.worst(), most)
			}
			var served []float64
			for _, span := range settled {
				got := f.served(limitRate, span[0], span[1])
				served = append(served, got)
				if got < c.least {
					t.Errorf("from %d s to %d s %.3f of what the limit allows was let in", span[0], span[1], got)
				}
			}
			t.Logf("most in a second %d, served %.3f", f.worst(), served)
		})
	}
}

// The same with a limit on calls at once: 60 where 120 are wanted. A node may
// take one call before its first share, and no moment sees more than those on
// top of the limit.
func TestConcurrencyLimitHoldsWhileDemandMoves(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		loss  float64
		least float64
	}{{0, 0.75}, {0.1, 0.75}, {0.3, 0.5}} {
		t.Run(fmt.Sprintf("%.1f of the messages lost", c.loss), func(t *testing.T) {
			t.Parallel()
			f := newFleet(byAtOnce, c.loss)
			f.story()
			if f.most > limitAtOnce+nodesPerDomain {
				t.Errorf("%d calls at once", f.most)
			}
			// Calls take 80 ms, so 60 at once are 750 a second.
			var served []float64
			for _, span := range settled {
				got := f.served(750, span[0], span[1])
				served = append(served, got)
				if got < c.least {
					t.Errorf("from %d s to %d s %.3f of what the limit allows was let in", span[0], span[1], got)
				}
			}
			t.Logf("most at once %d, served %.3f", f.most, served)
		})
	}
}

// The whole limit at each node lets in too much, an even split too little.
func TestSimplerLimitsFail(t *testing.T) {
	t.Parallel()
	alone := func(part float64) *fleet {
		f := newFleet(byRate, 1)
		for n := range f.holders {
			f.holders[n] = NewHolder(DefaultShare(part))
		}
		f.story()
		return f
	}
	whole, even := alone(1), alone(1.0/nodes)
	if whole.worst() <= limitRate+int(burst*limitRate)+nodes {
		t.Errorf("the whole limit at each node let in only %d calls in a second", whole.worst())
	}
	if got := even.served(limitRate, 15, 30); got > 0.6 {
		t.Errorf("an even split let in %.3f", got)
	}
	t.Logf("whole limit at each node: %d calls in a second; even split: %.3f served", whole.worst(), even.served(limitRate, 15, 30))
}
