package publish

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// machine drives three nodes' logs against an oracle: the list of plans, in
// the order in which they were decided. Faults are set before an action and
// stay until they are used or cleared, so that they meet together and twice.
type machine struct {
	*bench
	logs []*Log
	// chain is the plan of each version, versions[0] being version 0's.
	chain    []string
	versions []*snapshot.Snapshot
	// refused are plans that were said not to be published, unknown those of
	// which nothing is known, with what they would make.
	refused map[string]bool
	unknown map[string]candidate
	plans   int
	// img is an older copy; restored is the version last put back.
	img      *store.Image
	restored uint64
	// marked are plans that an abandon may have marked.
	marked  map[string]bool
	decided map[string]time.Time
}

type candidate struct {
	delta *snapshot.Delta
	next  *snapshot.Snapshot
}

func newMachine(t *testing.T) *machine {
	b := newBench(t)
	m := &machine{
		bench: b, chain: []string{""}, versions: []*snapshot.Snapshot{snapshot.Empty()},
		refused: map[string]bool{}, unknown: map[string]candidate{}, decided: map[string]time.Time{}, marked: map[string]bool{},
	}
	for range 3 {
		m.logs = append(m.logs, b.log(FullEvery(4)))
	}
	return m
}

func (m *machine) newest() *snapshot.Snapshot { return m.versions[len(m.versions)-1] }

func (m *machine) drawLog(t *rapid.T) *Log { return rapid.SampledFrom(m.logs).Draw(t, "node") }

// publishNew confirms a new plan for the newest version that the node loads.
func (m *machine) publishNew(t *rapid.T) {
	l := m.drawLog(t)
	s, err := l.Load(context.Background())
	if err != nil {
		return
	}
	m.plans++
	id := fmt.Sprintf("p%d", m.plans)
	// A plan that was not saved is one more thing that Outcome can't tell.
	_ = l.SavePlan(context.Background(), id, []byte("plan"), time.Hour)
	d, next := m.next(s, id)
	m.publishOne(t, l, candidate{d, next})
}

// publishAgain confirms a plan of unknown outcome again.
func (m *machine) publishAgain(t *rapid.T) {
	if len(m.unknown) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(sortedKeys(m.unknown)).Draw(t, "plan")
	m.publishOne(t, m.drawLog(t), m.unknown[id])
}

// publishStale confirms a plan made for an earlier version.
func (m *machine) publishStale(t *rapid.T) {
	m.plans++
	s := rapid.SampledFrom(m.versions).Draw(t, "parent")
	d, next := m.next(s, fmt.Sprintf("p%d", m.plans))
	m.publishOne(t, m.drawLog(t), candidate{d, next})
}

func (m *machine) publishOne(t *rapid.T, l *Log, c candidate) {
	id := c.next.PlanID()
	err := l.Publish(context.Background(), c.delta, c.next)
	m.follow(t)
	switch {
	case err == nil:
		delete(m.unknown, id)
		if m.versionOf(id) == 0 {
			t.Fatalf("plan %s was said to be published", id)
		}
	case is[*OutcomeUnknownError](err):
		m.unknown[id] = c
	case is[*StepError](err), is[*ConflictError](err), is[*AbandonedError](err):
		if _, ok := m.unknown[id]; ok && is[*StepError](err) {
			// This try did nothing; an earlier one may still take effect.
			return
		}
		delete(m.unknown, id)
		m.refused[id] = true
	case is[*StalePlanError](err) && (c.next.Version() <= m.restored || m.marked[id] && m.restored > 0):
		delete(m.unknown, id)
	default:
		t.Fatalf("publish %s: %v", id, err)
	}
}

func (m *machine) abandon(t *rapid.T) {
	if len(m.unknown) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(sortedKeys(m.unknown)).Draw(t, "plan")
	m.marked[id] = true
	out, err := m.drawLog(t).Abandon(context.Background(), id)
	m.follow(t)
	if err != nil {
		return
	}
	switch out.(type) {
	case NotPublished:
		if v := m.versionOf(id); v != 0 {
			t.Fatalf("abandon said that plan %s, version %d, was not published", id, v)
		}
		m.refused[id] = true
		delete(m.unknown, id)
	case Unknown:
		if m.restored == 0 {
			t.Fatalf("abandon of %s gave unknown without a restore", id)
		}
	case Published:
		delete(m.unknown, id)
		if m.versionOf(id) == 0 {
			t.Fatalf("abandon said that plan %s was published", id)
		}
	default:
		t.Fatalf("abandon of %s gave %#v", id, out)
	}
}

func (m *machine) askOutcome(t *rapid.T) {
	if m.plans == 0 {
		t.Skip("none")
	}
	id := fmt.Sprintf("p%d", rapid.IntRange(1, m.plans).Draw(t, "plan"))
	out, err := m.drawLog(t).Outcome(context.Background(), id)
	if err != nil {
		return
	}
	want := m.versionOf(id)
	switch out := out.(type) {
	case Published:
		if out.Version() == want {
			return
		}
	case NotPublished:
		if want == 0 {
			return
		}
	case Unknown:
		lapsed := m.clock.Since(m.decided[id]) >= outcomeTTL
		if want == 0 || want <= m.restored || lapsed {
			return
		}
	}
	t.Fatalf("outcome of %s is %#v, its version %d", id, out, want)
}

func (m *machine) copy(*rapid.T) { m.img = m.store.Image() }

// goBack loses what was written since the copy; the fleet's version is put
// back before anything else, as nodes refuse the older store.
func (m *machine) goBack(t *rapid.T) {
	if m.img == nil {
		t.Skip("no copy")
	}
	m.store.SetPlan(nil)
	m.store.Rollback(m.img)
	l := m.drawLog(t)
	l.Saw(m.newest())
	if err := l.Restore(context.Background(), m.newest()); err != nil {
		t.Fatalf("restore: %v", err)
	}
	m.restored = m.newest().Version()
	m.follow(t)
}

func (m *machine) fault(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "call")
	f := rapid.SampledFrom([]store.Fault{store.Refuse, store.LoseAnswer, store.LoseRequest, store.Late}).Draw(t, "fault")
	span := rapid.SampledFrom([]int{1, 1, 2, 5, 40}).Draw(t, "calls")
	m.store.SetPlan(func(store.Call) store.Fault {
		n--
		if n <= 0 && n > -span {
			return f
		}
		return store.Pass
	})
}

func (m *machine) mend(*rapid.T) { m.store.SetPlan(nil) }

func (m *machine) land(t *rapid.T) {
	m.store.LandLate()
	m.follow(t)
}

func (m *machine) pass(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
}

func (m *machine) restart(t *rapid.T) {
	m.logs[rapid.IntRange(0, len(m.logs)-1).Draw(t, "node")] = m.log(FullEvery(4))
}

// follow reads the store as it is, past all faults, and lets the oracle learn
// which candidate was decided; a version once decided never changes.
func (m *machine) follow(t *rapid.T) {
	img := m.store.Image()
	clean := store.New(m.clock)
	clean.Rollback(img)
	l := New(clean, m.clock, ResolveFor(0), FullEvery(4))
	s, err := l.Load(context.Background())
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	history, err := l.History(context.Background(), 1000)
	if err != nil {
		t.Fatalf("history: %v", err)
	}
	have := uint64(len(m.chain) - 1)
	if s.Version() < have || s.Version() > have+1 {
		t.Fatalf("version %d after %d", s.Version(), have)
	}
	if s.Version() == have+1 {
		m.decide(t, s)
	}
	if name(s) != name(m.newest()) {
		t.Fatalf("version is %s, was %s", name(s), name(m.newest()))
	}
	for _, c := range history {
		if m.chain[c.Version()] != c.PlanID() {
			t.Fatalf("version %d is by %s, was by %s", c.Version(), c.PlanID(), m.chain[c.Version()])
		}
	}
}

func (m *machine) decide(t *rapid.T, s *snapshot.Snapshot) {
	if m.refused[s.PlanID()] {
		t.Fatalf("plan %s was said not to be published", s.PlanID())
	}
	if v := m.versionOf(s.PlanID()); v != 0 {
		t.Fatalf("plan %s made version %d before", s.PlanID(), v)
	}
	m.chain = append(m.chain, s.PlanID())
	m.versions = append(m.versions, s)
	m.decided[s.PlanID()] = m.clock.Now()
}

func (m *machine) versionOf(planID string) uint64 {
	for v, id := range m.chain {
		if v > 0 && id == planID {
			return uint64(v)
		}
	}
	return 0
}

func sortedKeys(m map[string]candidate) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Nodes publish, ask and abandon in any order while calls are refused, lost or
// late, leases lapse, time passes and nodes restart. A version once decided
// never changes, no plan makes two, what was said to be published is, and what
// was said not to be never becomes so.
func TestLogStateful(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		rt.Repeat(map[string]func(*rapid.T){
			"publish":       m.publishNew,
			"publish more":  m.publishNew,
			"publish again": m.publishAgain,
			"publish stale": m.publishStale,
			"abandon":       m.abandon,
			"outcome":       m.askOutcome,
			"fault":         m.fault,
			"mend":          m.mend,
			"land late":     m.land,
			"time passes":   m.pass,
			"restart":       m.restart,
			"copy":          m.copy,
			"go back":       m.goBack,
		})
	})
}
