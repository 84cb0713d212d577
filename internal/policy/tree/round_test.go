package tree

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// The timing of pulls as the nodes of a fleet use it.
const (
	pullHold      = 800 * time.Millisecond
	pullTimeout   = 1200 * time.Millisecond
	firstSlack    = pullTimeout - pullHold
	furtherSlack  = 150 * time.Millisecond
	pullStale     = 2500 * time.Millisecond
	pullHoldDown  = 3 * time.Second
	orphanedPulls = 800 * time.Millisecond
	parallelPulls = 3
	// versionBound is the shortest time in which a version has to be in force everywhere, and
	// seriesBound that for nodes that fall silent in series.
	versionBound = 2 * time.Second
	seriesBound  = 2500 * time.Millisecond
	// hopTime and readTime are what a response of another node and a read of the store take.
	hopTime, readTime = 30 * time.Millisecond, 150 * time.Millisecond
	// othersKnow is when other failure domains have the version, othersAnswer the share of their
	// nodes that answer, and othersTime what a query of one takes.
	othersKnow, othersAnswer, othersTime = 300 * time.Millisecond, 0.7, 60 * time.Millisecond
)

// puller is a node of a simulated failure domain, in which some stand still.
type puller struct {
	name     string
	still    bool
	stillAt  time.Time
	position Position
	selector *Selector
	round    *Round
	pulls    map[string]pull
	others   *rand.Rand // draws which nodes of other failure domains answer; nil if there are none
	version  time.Time  // from when the node has the version; zero if it has not
	readsAt  time.Time  // when it has read the store; zero if it does not
}

type pull struct {
	at   time.Time
	hold time.Duration
}

func (p *puller) silent(now time.Time) bool { return p.still && !now.Before(p.stillAt) }

func (p *puller) has(now time.Time) bool { return !p.version.IsZero() && !now.Before(p.version) }

func (p *puller) ask(now time.Time, parent string, hold, slack time.Duration) {
	p.round.Ask(now, parent, hold, slack)
	p.pulls[parent] = pull{now, hold}
}

// begin begins a round unless the node has to wait for it.
func (p *puller) begin(now time.Time) {
	first, _ := p.selector.Next(now)
	if first.Instance() == "" {
		return
	}
	hold := time.Duration(0)
	if p.selector.MayHold(first.Instance()) {
		hold = pullHold
	}
	p.round, p.pulls = NewRound(p.selector, parallelPulls), map[string]pull{}
	p.ask(now, first.Instance(), hold, firstSlack)
	if beside, fresh := p.selector.Beside(first.Instance()); fresh {
		p.ask(now, beside.Instance(), pullHold, firstSlack)
	}
}

// step advances the node; others are the nodes of the domain by name.
func (p *puller) step(now time.Time, others map[string]*puller) {
	if p.readsAt.IsZero() && (p.position.IsRoot() || p.selector.Orphaned(now)) {
		p.readsAt = now.Add(readTime)
	}
	if !p.readsAt.IsZero() && p.version.IsZero() {
		p.version = p.readsAt
	}
	if p.round == nil {
		p.begin(now)
		return
	}
	for parent, asked := range p.pulls {
		from := others[parent]
		switch {
		case from.silent(now) && now.Sub(asked.at) >= pullTimeout:
			p.round.Failed(now, parent)
			delete(p.pulls, parent)
		case from.silent(now):
		case from.has(now.Add(-hopTime)) && !p.has(now), now.Sub(asked.at) >= asked.hold+hopTime:
			if from.has(now.Add(-hopTime)) && p.version.IsZero() {
				p.version = now.Add(hopTime)
			}
			p.selector.Answered(now, parent, 0)
			p.round = nil
			return
		}
	}
	if p.round.Over() {
		p.round = nil
		return
	}
	if next, ok := p.round.Next(now); ok {
		p.ask(now, next.Instance(), 0, furtherSlack)
	}
	if p.others != nil && p.round.AskOthers(now) {
		for range 2 {
			if p.version.IsZero() && now.Sub(start) >= othersKnow && p.others.Float64() < othersAnswer {
				p.version = now.Add(othersTime)
			}
		}
	}
}

// avoidParents has the node avoid some of its first parents, as after earlier failures, while a
// later one answers.
func (p *puller) avoidParents(rng *rand.Rand) {
	parents := p.position.Parents()
	if len(parents) < 2 {
		return
	}
	n := rng.IntN(len(parents))
	for _, parent := range parents[:n] {
		failed := start.Add(-time.Duration(rng.Int64N(int64(2 * pullHoldDown))))
		p.selector.Silent(failed, parent.Instance(), failed)
	}
	p.selector.Answered(start.Add(-pullHold), parents[n].Instance(), 0)
}

// timeToAll returns how long a version that is written at the start takes to all nodes of a failure
// domain that don't stand still; stillAt holds when others begin to, by rank.
func timeToAll(t *testing.T, rng, others *rand.Rand, nodes int, stillAt map[int]time.Duration) time.Duration {
	t.Helper()
	var records []membership.Record
	for i := range nodes {
		records = append(records, ready(fmt.Sprintf("n%d", i), "d"))
	}
	byName := map[string]*puller{}
	for _, r := range records {
		p := &puller{name: r.Instance(), others: others, position: PositionOf(r.Instance(), "d", records)}
		p.selector = NewSelector(rng, StaleAfter(pullStale), HoldDown(pullHoldDown), OrphanedAfter(orphanedPulls))
		p.selector.Update(p.position)
		var after time.Duration
		after, p.still = stillAt[p.position.Rank()]
		p.stillAt = start.Add(after)
		p.avoidParents(rng)
		byName[p.name] = p
	}
	for _, r := range records {
		p := byName[r.Instance()]
		p.begin(start.Add(-time.Duration(rng.Int64N(int64(pullHold)))))
	}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
		left := 0
		for _, r := range records {
			p := byName[r.Instance()]
			if !p.silent(now) {
				p.step(now, byName)
			}
			if !p.still && !p.has(now) {
				left++
			}
		}
		if left == 0 {
			return now.Sub(start)
		}
	}
	t.Fatalf("no end with %d nodes, of which ranks %v stand still", nodes, stillAt)
	return 0
}

// drawStill draws which ranks stand still from the start: some of the first and a share of the others.
func drawStill(rng *rand.Rand, nodes int) map[int]time.Duration {
	still := map[int]time.Duration{}
	for rank := range rng.IntN(min(6, nodes)) {
		still[rank] = 0
	}
	for rank := len(still); rank < nodes; rank++ {
		if rng.Float64() < 0.3 {
			still[rank] = 0
		}
	}
	return still
}

// checkTimeToAll plays failure domains in which some nodes stand still from the start and further
// sets of them, up to 2 s apart, later, and checks how long a version takes to all others.
func checkTimeToAll(t *testing.T, furtherSets int, otherDomains bool, bound time.Duration) {
	t.Helper()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		nodes := 2 + rng.IntN(60)
		still := drawStill(rng, nodes)
		at := time.Duration(0)
		for range furtherSets {
			at += time.Duration(rng.Int64N(int64(2 * time.Second)))
			for rank := range nodes {
				if _, drawn := still[rank]; !drawn && rng.Float64() < 0.15 {
					still[rank] = at
				}
			}
		}
		var others *rand.Rand
		if otherDomains {
			others = rand.New(rand.NewPCG(seed, 4))
		}
		if took := timeToAll(t, rng, others, nodes, still); took > bound {
			t.Errorf("seed %d: %v with %d nodes, of which ranks stand still from %v on", seed, took, nodes, still)
		}
	}
}

// Guards against a version that is late in a whole failure domain because the nodes that read
// the store, or pass it on, have become silent together.
func TestAVersionIsInTimeWhicheverNodesAreSilent(t *testing.T) {
	t.Parallel()
	checkTimeToAll(t, 0, false, versionBound)
}

// Guards against a version that is late because nodes that take the place of silent ones, or pass on
// what those read, fall silent before they have done so.
func TestAVersionIsInTimeWhenNodesFallSilentInSeries(t *testing.T) {
	t.Parallel()
	checkTimeToAll(t, 2, true, seriesBound)
}

// playSilentRound plays a round in which no parent answers until it is stopped. It returns the
// further parents that are asked and when, and when other nodes are.
func playSilentRound(r *Round, stop func(time.Duration) bool) (parents []string, others []time.Duration) {
	for d := time.Duration(0); !stop(d); d += r.Wake(at(d)) {
		if next, ok := r.Next(at(d)); ok {
			parents = append(parents, fmt.Sprintf("%s after %v", next.Instance(), d))
			r.Ask(at(d), next.Instance(), 0, furtherSlack)
		}
		if r.AskOthers(at(d)) {
			others = append(others, d)
		}
	}
	return parents, others
}

// Guards against nodes of other failure domains that are asked at a start, when all answers are slow,
// while parents answer in time, or without end while none does.
func TestOthersAreAskedWhileAllParentsAreLate(t *testing.T) {
	t.Parallel()
	asked := func(s *Selector, until time.Duration) []time.Duration {
		r := NewRound(s, parallelPulls)
		r.Ask(start, "p0", pullHold, firstSlack)
		_, others := playSilentRound(r, func(d time.Duration) bool { return d >= until })
		return others
	}
	s := selectorWithParents(5)
	if got := asked(s, 5*time.Second); got != nil {
		t.Errorf("asked at a start after %v", got)
	}
	s.Answered(start, "p0", 0)
	if got := asked(s, 940*time.Millisecond); got != nil {
		t.Errorf("asked while the parent is not late after %v", got)
	}
	if got := asked(s, 10*time.Second); len(got) != maxOthers || got[0] != 950*time.Millisecond || got[maxOthers-1] > 3500*time.Millisecond {
		t.Errorf("asked while no parent answers after %v", got)
	}
	if got := asked(s, 10*time.Second); got != nil {
		t.Errorf("asked again, though no parent has answered, after %v", got)
	}
}

// Guards against parents that are asked one after the other, each for a full timeout, and
// against an orphan that goes on waiting for them.
func TestASilentRoundAsksFurtherParentsAndEndsWithAnOrphan(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(5)
	s.orphanedAfter = orphanedPulls
	s.Answered(start, "p0", 0)
	r := NewRound(s, parallelPulls)
	r.Ask(start, "p0", pullHold, firstSlack)
	checkSilentRound(t, r, 1600*time.Millisecond, "p1 after 1.2s", "p2 after 1.35s")
}

// checkSilentRound plays a round in which no parent answers, and checks which further ones are
// asked and when the node becomes an orphan.
func checkSilentRound(t *testing.T, r *Round, orphaned time.Duration, want ...string) {
	t.Helper()
	asked, _ := playSilentRound(r, func(d time.Duration) bool { return d >= 3*time.Second || r.s.Orphaned(at(d)) })
	if diff := cmp.Diff(want, asked); diff != "" {
		t.Errorf("parents asked (-want +got):\n%s", diff)
	}
	if r.s.Orphaned(at(orphaned-time.Millisecond)) || !r.s.Orphaned(at(orphaned)) {
		t.Errorf("the node is not an orphan from %v on", orphaned)
	}
}

// Guards against a node that no longer asks the parent that is about to learn of a version, as its
// data has become stale, while others are silent.
func TestAParentWithStaleDataIsAskedBesideOthersAndNotWaitedFor(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(5)
	s.orphanedAfter = orphanedPulls
	s.Answered(start, "p4", s.staleAfter)
	first, _ := s.Next(start)
	beside, fresh := s.Beside(first.Instance())
	if first.Instance() != "p0" || beside.Instance() != "p4" || fresh {
		t.Fatalf("first %s, beside it %q, fresh %v", first.Instance(), beside.Instance(), fresh)
	}
	r := NewRound(s, parallelPulls)
	r.Ask(start, "p0", 0, firstSlack)
	r.AskStale("p4")
	checkSilentRound(t, r, 800*time.Millisecond, "p1 after 400ms", "p2 after 550ms")
}
