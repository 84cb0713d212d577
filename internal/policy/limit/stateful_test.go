package limit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/policy/play"
)

// message may be delivered late, twice, out of order or never, but not after a
// node's lease: the requests of heartbeats end sooner.
type message struct {
	sent    time.Time
	deliver func()
}

// network is two domains of two nodes under one ledger, with every message in
// the test's hand.
type network struct {
	now     time.Time
	limit   Amounts
	top     *Ledger
	relays  [2]*Relay
	holders [4]*Holder
	wire    []message
	// answered is the relay that last answered each node.
	answered [4]*Relay
}

func (n *network) send(deliver func()) { n.wire = append(n.wire, message{n.now, deliver}) }

func (n *network) deliver(m message) {
	if n.now.Sub(m.sent) < NodeLease {
		m.deliver()
	}
}

func (n *network) nodeBeat(i int) {
	sent, relay := n.now, n.relays[i/2]
	reports := n.holders[i].Reports(sent, n.answered[i] != relay)
	n.send(func() {
		if n.relays[i/2] != relay {
			// What was said to a relay that has gone, and by it, is gone too.
			return
		}
		var grants []Grant
		for _, r := range reports {
			if g, ok := relay.Report(n.now, fmt.Sprint(i), r); ok {
				grants = append(grants, g)
			}
		}
		relay.Heard(n.now, fmt.Sprint(i))
		n.send(func() {
			if n.relays[i/2] == relay {
				n.answered[i] = relay
				n.holders[i].Apply(sent, grants)
			}
		})
	})
}

func (n *network) relayBeat(d int) {
	sent, relay := n.now, n.relays[d]
	r, ok := relay.Up(sent)
	if !ok {
		return
	}
	n.send(func() {
		if n.relays[d] != relay {
			return
		}
		if g, ok := n.top.Report(n.now, fmt.Sprint(d), r); ok {
			n.send(func() { relay.Down(n.now, sent, g) })
		}
	})
}

// second is one without faults: every node and relay has its heartbeat.
func (n *network) second() {
	n.now = n.now.Add(time.Second)
	for i := range n.holders {
		n.nodeBeat(i)
		n.flush()
	}
	for d := range n.relays {
		n.relayBeat(d)
		n.flush()
	}
}

// flush delivers what was sent last, and its answer, and leaves the older
// messages on the wire.
func (n *network) flush() {
	if len(n.wire) == 0 {
		return
	}
	last := n.wire[len(n.wire)-1]
	n.wire = n.wire[:len(n.wire)-1]
	before := len(n.wire)
	n.deliver(last)
	if len(n.wire) > before {
		n.flush()
	}
}

// inUse sums up what the nodes may let in by a share, which is all but what a
// node takes before its first.
func (n *network) inUse() Amounts {
	var sum Amounts
	for _, h := range n.holders {
		s := h.shard("acme")
		if a := s.orgs["acme"]; a != nil && a.share.seq > 0 {
			sum = sum.plus(a.share.at(n.now))
		}
	}
	return sum
}

func newNetwork() *network {
	n := &network{now: play.Start, limit: Of(byRate).least(Of(byAtOnce))}
	n.top = NewLedger(n.now, Limited(n.limit), Lease(DomainLease), Planned(2), Expect("0", "1"))
	for d := range n.relays {
		n.replace(d)
		n.top.Heard(n.now, fmt.Sprint(d))
	}
	for i := range n.holders {
		n.holders[i] = NewHolder()
		n.relays[i/2].Heard(n.now, fmt.Sprint(i))
	}
	return n
}

func (n *network) replace(d int) {
	n.relays[d] = NewRelay(n.now, "acme", Planned(2), Expect(fmt.Sprint(2*d), fmt.Sprint(2*d+1)))
}

func (n *network) exceeded() error {
	if got := n.inUse(); !got.within(n.limit) || math.IsNaN(got.rate) {
		return &excessError{got, n.limit}
	}
	return nil
}

type excessError struct{ got, limit Amounts }

func (e *excessError) Error() string {
	return fmt.Sprintf("the shares in use are %v of %v", e.got, e.limit)
}

// These orders of events once let shares exceed the limit.
func TestSharesOnceExceededTheLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, steps string }{
		{
			"a new relay acknowledged before it had heard all nodes",
			"call 0, call 2, second, second, call 1, second, replace 0, beat 0, flush, relay 0, flush, relay 0, flush, beat 1, flush, second",
		},
		{
			"a new relay without a share forgot what nodes reported",
			"call 2, call 3, second, second, replace 1, second, second",
		},
		{
			"nodes kept more after their leases than their domain did",
			"call 0, call 1, call 3, relay 1, flush, beat 3, flush, relay 0, flush, relay 0, flush, beat 0, flush, lease, relay 1, flush, beat 3, flush, domain lease, relay 0, flush, beat 1, flush, second",
		},
		{
			"a late report brought a forgotten node back",
			"call 0, end 2, second, end 2, call 3, second, second, second, second, beat 2, second, second, flush, flush",
		},
		{
			"an idle organisation's last report made a share of no children",
			"end 0, domain lease, relay 0, flush, beat 0, flush, lease, beat 0, lease, flush",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork()
			for _, step := range strings.Split(c.steps, ", ") {
				n.step(step)
				if err := n.exceeded(); err != nil {
					t.Fatalf("after %q: %v", step, err)
				}
			}
		})
	}
}

func (n *network) step(step string) {
	what, which, _ := strings.Cut(step, " ")
	i, _ := strconv.Atoi(which)
	switch what {
	case "call", "end":
		if _, ok := n.holders[i].Allow(n.now, byRate).(Allowed); ok && what == "end" {
			n.holders[i].Release(n.now, "acme")
		}
	case "beat":
		n.nodeBeat(i)
	case "relay":
		n.relayBeat(i)
	case "flush":
		n.flush()
	case "replace":
		n.replace(i)
	case "second":
		n.second()
	case "lease":
		n.now = n.now.Add(NodeLease)
	case "domain":
		n.now = n.now.Add(DomainLease)
	}
}

// Messages are lost, doubled, late and out of order, nodes fall silent and
// restart, and demand moves at will: what all nodes together may let in by their
// shares never exceeds the limit.
func TestStatefulSharesNeverExceedTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		node := rapid.IntRange(0, len(n.holders)-1)
		t.Repeat(map[string]func(*rapid.T){
			"calls": func(t *rapid.T) {
				h := n.holders[node.Draw(t, "node")]
				for range rapid.IntRange(1, 400).Draw(t, "calls") {
					if _, ok := h.Allow(n.now, byRate).(Allowed); ok && rapid.Bool().Draw(t, "ends") {
						h.Release(n.now, "acme")
					}
				}
			},
			"node beats":  func(t *rapid.T) { n.nodeBeat(node.Draw(t, "node")) },
			"relay beats": func(t *rapid.T) { n.relayBeat(rapid.IntRange(0, 1).Draw(t, "relay")) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					if len(n.wire) == 0 {
						return
					}
					i := rapid.IntRange(0, len(n.wire)-1).Draw(t, "which")
					m := n.wire[i]
					if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
						n.wire = append(n.wire[:i:i], n.wire[i+1:]...)
					}
					n.deliver(m)
				}
			},
			"lose": func(t *rapid.T) {
				if len(n.wire) > 0 {
					n.wire = n.wire[1:]
				}
			},
			"seconds": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "seconds") {
					n.second()
				}
			},
			"relay is replaced": func(t *rapid.T) {
				n.replace(rapid.IntRange(0, 1).Draw(t, "relay"))
			},
			"pass": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms)
			},
			"pass long": func(t *rapid.T) {
				n.now = n.now.Add(rapid.SampledFrom([]time.Duration{NodeLease, DomainLease}).Draw(t, "time"))
			},
			"": func(t *rapid.T) {
				if err := n.exceeded(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}
