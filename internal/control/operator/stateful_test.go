package operator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// drill plays operators over a failing store against an oracle, which holds
// nothing but what each plan sets one pool to, what each confirm said, and the
// pools that ought to be in force. A pool's size is its value.
type drill struct {
	*bench
	plans []*trial
	// inForce reads the history, oldest last, and the newest version.
	inForce func() ([]Record, *snapshot.Snapshot)
}

// trial is a plan with all that was said of it.
type trial struct {
	plan *Plan
	pool string
	size int
	// saw is the pool's size in the plan, 0 if there was none.
	saw int
	// denied tells that an operator was told "not in force" for good.
	denied bool
	// version is what an operator was told the plan made.
	version uint64
}

// TestStatefulPlansAndConfirms holds, whatever fails and in whatever order:
// what was called in force is in the history once and stays; what was called
// not in force for good never comes; versions only grow by one; no plan
// overwrites a pool that is not as the plan showed it; and the head holds
// exactly what the history's plans set, in order.
func TestStatefulPlansAndConfirms(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		objects := []snapshot.Object{snapshot.NewService("s")}
		d := &drill{bench: newBench(t, objects...)}
		d.inForce = func() ([]Record, *snapshot.Snapshot) { return d.store.records, d.store.head }
		t.Repeat(map[string]func(*rapid.T){
			"":        d.invariants,
			"plan":    d.draft,
			"confirm": d.ask,
			"race":    d.race,
			"fault":   d.fail,
			"land":    d.land,
			"time":    func(t *rapid.T) { d.clock.Advance(time.Duration(rapid.IntRange(1, 45).Draw(t, "min")) * time.Minute) },
		})
	})
}

func (d *drill) draft(t *rapid.T) {
	tr := &trial{
		pool: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool"),
		size: rapid.IntRange(2, 9).Draw(t, "size"),
	}
	p, err := d.Plan(context.Background(), "ana", set(pool(tr.pool, "s", tr.size, 1)))
	if err != nil || p.ID() == "" {
		return
	}
	if before, ok := p.Items()[0].Before().(snapshot.Pool); ok {
		tr.saw = before.Slots()
	}
	tr.plan = p
	d.plans = append(d.plans, tr)
}

func (d *drill) pick(t *rapid.T) *trial {
	if len(d.plans) == 0 {
		t.Skip("no plan yet")
	}
	return d.plans[rapid.IntRange(max(0, len(d.plans)-5), len(d.plans)-1).Draw(t, "plan")]
}

func (d *drill) ask(t *rapid.T) { d.hear(t, d.pick(t)) }

// hear confirms a plan and takes down what is said.
func (d *drill) hear(t *rapid.T, tr *trial) {
	v, err := d.Confirm(context.Background(), "bo", tr.plan.ID())
	switch typ := typeOf(err); {
	case err == nil && v == 0, typ == TypeUnavailable, typ == TypeUnknown, typ == TypeNotFound, typ == TypeBusy:
	case err == nil:
		if tr.version != 0 && tr.version != v {
			t.Fatalf("plan of %s is in version %d, was in %d", tr.pool, v, tr.version)
		}
		if tr.denied {
			t.Fatalf("plan of %s is in force after it was refused for good", tr.pool)
		}
		tr.version = v
	case typ == TypeConflict, typ == TypeExpired:
		if tr.version != 0 {
			t.Fatalf("plan of %s is refused after it was in force: %v", tr.pool, err)
		}
		// A conflict may pass if the objects are set back, an expiry may not.
		tr.denied = typ == TypeExpired
		records, _ := d.inForce()
		if slices.ContainsFunc(records, func(r Record) bool { return r.Stamp().PlanID == tr.plan.ID() }) {
			t.Fatalf("plan of %s is in force and was refused: %v", tr.pool, err)
		}
	default:
		t.Fatalf("confirm: %v", err)
	}
}

// race confirms one plan while another confirm is between two of its calls.
func (d *drill) race(t *rapid.T) {
	first, second := d.pick(t), d.pick(t)
	call := rapid.SampledFrom([]string{"outcome", "plan", "load", "publish", "abandon", "history"}).Draw(t, "before")
	d.store.before[call] = func() { d.hear(t, first) }
	d.hear(t, second)
	delete(d.store.before, call)
}

func (d *drill) fail(t *rapid.T) {
	call := rapid.SampledFrom([]string{"load", "publish", "outcome", "save", "plan", "history", "abandon"}).Draw(t, "call")
	faults := []fault{down}
	if call == "publish" {
		faults = []fault{down, lostBefore, lostAfter, late}
	}
	d.store.next[call] = rapid.SampledFrom(faults).Draw(t, "fault")
}

func (d *drill) land(t *rapid.T) { d.store.land(d.pick(t).plan.ID()) }

func (d *drill) invariants(t *rapid.T) {
	records, head := d.inForce()
	versions, pools := map[string]uint64{}, map[string]int{}
	for i, r := range slices.Backward(records) {
		if want := uint64(len(records) - i); r.Version() != want {
			t.Fatalf("version %d follows %d", r.Version(), want-1)
		}
		if versions[r.Stamp().PlanID] != 0 {
			t.Fatalf("plan %s is in force twice", r.Stamp().PlanID)
		}
		versions[r.Stamp().PlanID] = r.Version()
		for _, tr := range d.plans {
			if tr.plan.ID() != r.Stamp().PlanID {
				continue
			}
			if pools[tr.pool] != tr.saw {
				t.Fatalf("version %d overwrites size %d of pool %s, shown as %d", r.Version(), pools[tr.pool], tr.pool, tr.saw)
			}
			pools[tr.pool] = tr.size
		}
	}
	for _, tr := range d.plans {
		got := versions[tr.plan.ID()]
		if tr.version != 0 && got != tr.version || tr.denied && got != 0 {
			t.Fatalf("plan of %s: told version %d, refused %v, in the history as %d", tr.pool, tr.version, tr.denied, got)
		}
	}
	held := map[string]int{}
	for _, o := range head.Objects() {
		if p, ok := o.(snapshot.Pool); ok {
			held[p.Name()] = p.Slots()
		}
	}
	if diff := cmp.Diff(fmt.Sprint(pools), fmt.Sprint(held)); diff != "" {
		t.Fatalf("the head holds other pools than the history's plans set:\n%s", diff)
	}
}

// TestStatefulPlansAndConfirmsOverTheLog is the same drill over the real log
// in a stand-in of the platform's store, where any call may be refused, lose
// its answer or itself, or take effect late.
func TestStatefulPlansAndConfirmsOverTheLog(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(start)
		st := store.New(clock)
		newLog := func() *publish.Log { return publish.New(st, clock, publish.ResolveFor(0), publish.FullEvery(1000)) }
		service := New(FromLog(newLog()), &fleet{lowest: snapshot.FormatLevel}, Clock(clock), Random(seeded(1)))
		d := &drill{bench: &bench{tb: t, clock: clock, Service: service}}
		d.confirmed("setup", set(snapshot.NewService("s")))
		var plan func(store.Call) store.Fault
		d.inForce = func() ([]Record, *snapshot.Snapshot) {
			st.SetPlan(nil)
			defer func() { st.SetPlan(plan) }()
			log := FromLog(newLog())
			records, err := log.History(context.Background(), 1000)
			if err != nil {
				t.Fatal(err)
			}
			head, err := log.Load(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			return records, head
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        d.invariants,
			"plan":    d.draft,
			"confirm": d.ask,
			"again":   d.ask,
			"fault": func(t *rapid.T) {
				plan = drawFaults(t)
				st.SetPlan(plan)
			},
			"mend": func(*rapid.T) {
				plan = nil
				st.SetPlan(nil)
			},
			"land": func(*rapid.T) { st.LandLate() },
			"time": func(t *rapid.T) { clock.Advance(time.Duration(rapid.IntRange(1, 45).Draw(t, "min")) * time.Minute) },
		})
	})
}

// drawFaults draws what befalls one of the next calls of one kind.
func drawFaults(t *rapid.T) func(store.Call) store.Fault {
	kind := rapid.SampledFrom([]platform.Kind{platform.KindGet, platform.KindSwap, platform.KindSwap, platform.KindGrant}).Draw(t, "kind")
	f := store.Refuse
	if kind != platform.KindGet {
		f = rapid.SampledFrom([]store.Fault{store.Refuse, store.LoseAnswer, store.LoseRequest, store.Late}).Draw(t, "fault")
	}
	skip, last := rapid.IntRange(0, 6).Draw(t, "skip"), rapid.IntRange(1, 4).Draw(t, "last")
	return func(c store.Call) store.Fault {
		if c.Kind() != kind {
			return store.Pass
		}
		skip--
		if skip >= 0 || skip < -last {
			return store.Pass
		}
		return f
	}
}
