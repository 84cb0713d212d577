package token

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

const (
	candidates  = 4
	avoidedTime = 250 * ms // how long a node avoids an issuer that has stopped
	maxListLag  = 240 * ms // by how long nodes' member lists may lag behind
)

// restarts is a fleet whose nodes are issuers too, chosen from each node's own member list,
// and stop and start in any number.
type restarts struct {
	*fleet
	r      *rand.Rand
	boots  []int // starts of each node; odd while it runs
	own    []*Issuer
	knows  [][]bool // by node: the members of its list
	avoids [][]time.Time
	ranked [][]int
	since  []time.Time
}

func newRestarts(f *fleet, seed uint64) *restarts {
	n := len(f.caches)
	w := &restarts{
		fleet: f, r: sim.Rand(seed), boots: make([]int, n), own: make([]*Issuer, n), knows: make([][]bool, n),
		avoids: make([][]time.Time, n), ranked: make([][]int, n), since: make([]time.Time, n),
	}
	f.find = w.findIssuer
	for i := range n {
		w.start(i)
	}
	for i := range n {
		for j := range n {
			w.knows[i][j] = true
		}
	}
	return w
}

func (w *restarts) up(node int) bool { return w.boots[node]%2 == 1 }

func (w *restarts) start(node int) {
	if w.up(node) {
		return
	}
	w.boots[node]++
	w.own[node], w.caches[node] = NewIssuer(w.Now()), NewCache()
	w.knows[node], w.avoids[node], w.ranked[node] = make([]bool, len(w.boots)), make([]time.Time, len(w.boots)), nil
	w.knows[node][node] = true
	for other := range w.boots {
		w.learn(node, other, w.delay(), true)
	}
	w.tell(node, 0, true)
}

// stop ends a node's process; its record lapses after some time.
func (w *restarts) stop(node int, down time.Duration) {
	if !w.up(node) {
		return
	}
	w.boots[node]++
	w.caches[node] = NewCache()
	w.tell(node, time.Duration(w.r.IntN(2000))*ms, false)
	w.After(down, func() { w.start(node) })
}

// tell has all members' lists follow a change of a node, each with its own delay.
func (w *restarts) tell(node int, after time.Duration, known bool) {
	for other := range w.boots {
		w.learn(other, node, after+w.delay(), known)
	}
}

// learn adds a member to a node's list after a delay, or removes it.
func (w *restarts) learn(node, member int, after time.Duration, known bool) {
	was, boot := w.boots[node], w.boots[member]
	w.After(after, func() {
		if node != member && w.boots[node] == was && w.boots[member] == boot && w.up(member) == known {
			w.knows[node][member] = known
		}
	})
}

func (w *restarts) delay() time.Duration { return time.Duration(w.r.Int64N(int64(maxListLag))) }

// lapse has nodes miss others in their lists for a time, while these run.
func (w *restarts) lapse() {
	for node := range w.boots {
		for member := range w.boots {
			if node != member && w.r.IntN(3) == 0 {
				w.knows[node][member] = false
				w.learn(node, member, w.delay(), true)
			}
		}
	}
}

func (w *restarts) candidates(node, domain int) []int {
	var out []int
	for c := domain * w.perNode; c < (domain+1)*w.perNode && len(out) < candidates; c++ {
		if w.knows[node][c] {
			out = append(out, c)
		}
	}
	return out
}

func (w *restarts) findIssuer(node, domain int) (*Issuer, Plan) {
	for _, c := range w.candidates(node, domain) {
		switch {
		case w.Now().Before(w.avoids[node][c]):
		case !w.up(c):
			w.avoids[node][c] = w.Now().Add(avoidedTime)
		default:
			ranked := w.candidates(c, domain)
			if !slices.Equal(ranked, w.ranked[c]) {
				w.ranked[c], w.since[c] = ranked, w.Now()
			}
			return w.own[c], w.plan().At(w.since[c], ranked[0] != c)
		}
	}
	return nil, w.plan()
}

// offer makes calls at random running nodes.
func (w *restarts) offer(rate float64, end time.Duration, nodes int) {
	w.Arrivals(sim.Rand(w.r.Uint64()), rate, 0, end, func() {
		if node := w.r.IntN(nodes); w.up(node) {
			w.call(node)
		}
	})
}

// roll stops a share of the nodes, some at a time.
func (w *restarts) roll(at time.Duration, share float64, together int, gap, down time.Duration) {
	order := w.r.Perm(len(w.boots))[:int(share*float64(len(w.boots)))]
	for i, node := range order {
		w.After(at+time.Duration(i/together)*gap, func() { w.stop(node, down) })
	}
}

// play is the day deploy/days/quota-stops.toml: half of all nodes are killed, then nodes stop
// three at a time while members' lists differ.
func (w *restarts) play() {
	w.roll(12*time.Second, 0.5, len(w.boots), 0, time.Second)
	w.roll(17*time.Second, 0.4, 3, 800*ms, 800*ms)
	w.After(18*time.Second, w.lapse)
}

const playEnd = 30 * time.Second

// overrun returns by how many calls the fullest window exceeds what is allowed, and the bound
// of the plan for windows of other lengths.
func (f *fleet) overrun() float64 {
	p := f.plan()
	worst := float64(f.mostInWindow(testMargin.Window)) - testMargin.Allowed(f.limit, testMargin.Window)
	for _, d := range []time.Duration{time.Second, 2 * time.Second, testMargin.Window, 10 * time.Second} {
		worst = max(worst, float64(f.mostInWindow(d))-p.mostIn(d))
	}
	return worst
}

// Guards against calls beyond the bound when issuers follow one another more often than a
// constant number of times in a window, each with tokens of its own.
func TestRestartsKeepToTheBound(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{4, 250} {
		for seed := range uint64(5) {
			w := newRestarts(newFleet(testLimit(rate, rate/5), 3, 28), seed)
			w.play()
			w.offer(6*rate, playEnd, len(w.boots))
			w.Run()
			if over := w.overrun(); over > 0 {
				t.Errorf("rate %v, seed %d: %.0f calls beyond what is allowed", rate, seed, over)
			}
		}
	}
}

// Guards against a bound that is kept at the cost of organisations below their limit.
func TestRestartsRefuseFewCallsBelowTheLimit(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name        string
		rate, share float64
		nodes       int
		restarts    bool
		most        float64
	}{
		{"calm, large", 250, 0.6, 84, false, 0.001},
		{"calm, near the limit", 250, 0.95, 84, false, 0.005},
		{"calm, small", 4, 0.6, 84, false, 0.01},
		{"calm, small, at two nodes", 4, 0.6, 2, false, 0.01},
		{"play, large", 250, 0.6, 84, true, 0.06},
		{"play, small", 4, 0.6, 84, true, 0.15},
	} {
		offered, refused := 0, 0
		for seed := range uint64(4) {
			w := newRestarts(newFleet(testLimit(tt.rate, tt.rate/5), 3, 28), seed)
			if tt.restarts {
				w.play()
			}
			w.offer(tt.rate*tt.share, playEnd, tt.nodes)
			w.After(3*time.Second, func() { w.offered, w.served = 0, 0 })
			w.Run()
			offered, refused = offered+w.offered, refused+w.offered-w.served
		}
		got := float64(refused) / float64(offered)
		t.Logf("%s: %.4f of %d calls are refused", tt.name, got, offered)
		if got > tt.most {
			t.Errorf("%s: %.4f of the calls are refused, want at most %v", tt.name, got, tt.most)
		}
	}
}

// Whatever order nodes stop, start and are cut off in, the calls in a window stay within the bound.
func TestStatefulRestartsStayWithinTheBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		rate := rapid.SampledFrom([]float64{1, 4, 30, 300}).Draw(t, "rate")
		l := testLimit(rate, rate*rapid.Float64Range(0, 2).Draw(t, "burst seconds"))
		w := newRestarts(newFleet(l, domains, 6), rapid.Uint64().Draw(t, "seed"))
		const end = 12 * time.Second
		w.offer(min(1500, rate*rapid.Float64Range(0.2, 20).Draw(t, "demand")), end, len(w.boots))
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			at := time.Duration(rapid.Int64Range(0, int64(end)).Draw(t, "at"))
			node := rapid.IntRange(0, len(w.boots)-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, fmt.Sprint("event ", i)) {
			case 0:
				w.After(at, func() { w.isolated[node%domains] = !w.isolated[node%domains] })
			case 1:
				w.After(at, func() { w.offline[node] = !w.offline[node] })
			default:
				down := time.Duration(rapid.IntRange(1, 3000).Draw(t, "down ms")) * ms
				w.After(at, func() { w.stop(node, down) })
			}
		}
		w.Run()
		if over := w.overrun(); over > 0 {
			t.Fatalf("%.1f calls beyond what is allowed", over)
		}
	})
}
