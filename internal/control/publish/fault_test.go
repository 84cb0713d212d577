package publish

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// publishFunc is Publish, or a broken form of it that a check must catch.
type publishFunc func(context.Context, *Log, *snapshot.Delta, *snapshot.Snapshot) error

func sound(ctx context.Context, l *Log, d *snapshot.Delta, next *snapshot.Snapshot) error {
	return l.Publish(ctx, d, next)
}

// lostIsFailed takes a lost answer for a failure.
func lostIsFailed(ctx context.Context, l *Log, d *snapshot.Delta, next *snapshot.Snapshot) error {
	err := l.Publish(ctx, d, next)
	if is[*OutcomeUnknownError](err) {
		return &StepError{PlanID: d.Stamp().PlanID, Step: "swap head"}
	}
	return err
}

// lostIsDone takes a lost answer for a success.
func lostIsDone(ctx context.Context, l *Log, d *snapshot.Delta, next *snapshot.Snapshot) error {
	err := l.Publish(ctx, d, next)
	if is[*OutcomeUnknownError](err) {
		return nil
	}
	return err
}

// headFirst swaps the head before it writes the delta.
func headFirst(ctx context.Context, l *Log, d *snapshot.Delta, next *snapshot.Snapshot) error {
	p := publisher{log: l, delta: d, planID: d.Stamp().PlanID}
	h, err := l.Head(ctx)
	if err != nil {
		return err
	}
	if _, err := p.swap(ctx, h, 0); err != nil {
		return p.failure(err)
	}
	_, err = l.writeDelta(ctx, h, d)
	return p.failure(err)
}

// nth returns a plan that does f at the nth call and reports if it came.
func nth(n int, came *bool, f func() store.Fault) func(store.Call) store.Fault {
	return func(store.Call) store.Fault {
		n--
		if n != 0 {
			return store.Pass
		}
		*came = true
		return f()
	}
}

// disturb publishes after `before` versions while a fault meets its nth call,
// and returns whether that call was made and what the check then found wrong.
func disturb(t *testing.T, publish publishFunc, before, n int, f store.Fault, dies bool) (came bool, wrong error) {
	t.Helper()
	ctx := context.Background()
	b := newBench(t)
	old := b.publishMany(b.log(), snapshot.Empty(), 1, before)
	l := b.log()
	if err := l.SavePlan(ctx, "x", []byte("plan"), time.Hour); err != nil {
		t.Fatal(err)
	}
	d, next := b.next(old, "x")
	plan := nth(n, &came, func() store.Fault { return f })
	b.store.SetPlan(func(c store.Call) store.Fault {
		if dies && came {
			return store.Refuse
		}
		return plan(c)
	})
	err := publish(ctx, l, d, next)
	b.store.SetPlan(nil)
	wrong = b.consistent(err, old, next)
	b.store.LandLate()
	if wrong != nil {
		return came, wrong
	}
	// What was told stays true once late writes have landed.
	if wrong = b.consistent(err, old, next); wrong != nil {
		return came, fmt.Errorf("after late writes: %w", wrong)
	}
	if err := b.log().Publish(ctx, d, next); err != nil {
		return came, fmt.Errorf("publish again: %w", err)
	}
	b.holds(next)
	last := b.publishMany(b.log(), next, before+2, before+65)
	b.holds(last)
	if got := b.outcome(b.log(), "x"); !cmp.Equal(Outcome(Published{next.Version()}), got, outcomes) {
		return came, fmt.Errorf("64 versions later the outcome is %#v", got)
	}
	if keys, most := b.kept(), 2*8+2*8+2*2+2; keys > most {
		return came, fmt.Errorf("%d keys besides plans and outcomes, at most %d: %v", keys, most, b.store.Keys())
	}
	return came, nil
}

// consistent checks what Publish said of plan x against the store.
func (b *bench) consistent(said error, old, next *snapshot.Snapshot) error {
	b.tb.Helper()
	got, err := b.log().Load(context.Background())
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	out := b.outcome(b.log(), "x")
	published := got.Version() == next.Version() && got.Digest() == next.Digest()
	if !published && name(got) != name(old) {
		return fmt.Errorf("neither the old version nor the next: %w", &snapshot.DigestError{Got: got.Digest()})
	}
	if published != cmp.Equal(Outcome(Published{next.Version()}), out, outcomes) {
		return fmt.Errorf("published %t, but outcome %#v: %w", published, out, errWrong)
	}
	unknown := is[*OutcomeUnknownError](said)
	if !unknown && published != (said == nil) {
		return fmt.Errorf("published %t, but Publish said %w", published, errors.Join(errWrong, said))
	}
	return nil
}

type wrongError struct{}

func (*wrongError) Error() string { return "wrong" }

var errWrong = &wrongError{}

// kept counts the keys besides plans and outcomes, which leases remove.
func (b *bench) kept() int {
	n := 0
	l := b.log()
	for _, k := range b.store.Keys() {
		if !hasPrefix(k, l.planKey("")) && !hasPrefix(k, l.outcomeKey("")) {
			n++
		}
	}
	return n
}

func hasPrefix(s, prefix string) bool { return len(s) >= len(prefix) && s[:len(prefix)] == prefix }

type disturbance struct {
	name  string
	fault store.Fault
	dies  bool
}

var disturbances = []disturbance{
	{"refused", store.Refuse, false},
	{"answer lost", store.LoseAnswer, false},
	{"request lost", store.LoseRequest, false},
	{"late", store.Late, false},
	{"publisher dies before the call", store.Refuse, true},
	{"publisher dies after the call", store.LoseAnswer, true},
	{"publisher dies, the call is late", store.Late, true},
}

// An operator confirms a plan and any one call to the store goes wrong, or the
// publisher ends there. What Publish says must be so, and stay so; the plan
// can be confirmed again, makes one version, and what is left over is removed.
// The versions before are chosen so that fulls, outcomes and collection fall
// into the publish.
func TestPublishWithAFaultAtEachCall(t *testing.T) {
	t.Parallel()
	for _, before := range []int{0, 7, 16, 23} {
		for _, f := range disturbances {
			t.Run(fmt.Sprintf("%s after %d versions", f.name, before), func(t *testing.T) {
				t.Parallel()
				for n, came := 1, true; came; n++ {
					var wrong error
					if came, wrong = disturb(t, sound, before, n, f.fault, f.dies); wrong != nil {
						t.Errorf("call %d: %v", n, wrong)
					}
				}
			})
		}
	}
}

// The check above proves nothing unless it catches publishers that guess, or
// that write in another order.
func TestFaultCheckCatchesBrokenPublishers(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]publishFunc{
		"lost is failed": lostIsFailed, "lost is done": lostIsDone, "head first": headFirst,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := slices.ContainsFunc(disturbances, func(f disturbance) bool {
				for n := 1; n <= 8; n++ {
					if _, wrong := disturb(t, broken, 0, n, f.fault, f.dies); wrong != nil {
						return true
					}
				}
				return false
			})
			if !caught {
				t.Error("not caught")
			}
		})
	}
}

// Two operators confirm plans for the same version. The second one's publish
// runs whole between any two calls of the first's. One version is made, the
// loser is told who won, and a confirm of the same plan twice is one version.
func TestTwoPublishersRace(t *testing.T) {
	t.Parallel()
	for _, before := range []int{0, 16} {
		for _, rival := range []string{"y", "x"} {
			t.Run(fmt.Sprintf("%s against x after %d versions", rival, before), func(t *testing.T) {
				t.Parallel()
				for n, came := 1, true; came; n++ {
					came = race(t, before, n, rival)
				}
			})
		}
	}
}

func race(t *testing.T, before, n int, rivalID string) (came bool) {
	t.Helper()
	ctx := context.Background()
	b := newBench(t)
	old := b.publishMany(b.log(), snapshot.Empty(), 1, before)
	d, next := b.next(old, "x")
	// A confirm that is sent again is stamped anew, so the deltas differ.
	b.clock.Advance(time.Second)
	rd, rnext := b.next(old, rivalID)
	var rerr error
	b.store.SetPlan(nth(n, &came, func() store.Fault {
		rerr = b.log().Publish(ctx, rd, rnext)
		return store.Pass
	}))
	err := b.log().Publish(ctx, d, next)
	b.store.SetPlan(nil)
	if !came {
		return false
	}
	if rivalID == "x" {
		if err != nil || rerr != nil {
			t.Errorf("call %d: the same plan gave %v and %v", n, err, rerr)
		}
		b.holds(next)
		return true
	}
	winner, loser, lost := next, "y", rerr
	if err != nil {
		winner, loser, lost = rnext, "x", err
	}
	var conflict *ConflictError
	if !errors.As(lost, &conflict) || conflict.Winner != winner.PlanID() || (err == nil) == (rerr == nil) {
		t.Errorf("call %d: x got %v, y got %v", n, err, rerr)
	}
	b.holds(winner)
	if _, ok := b.outcome(b.log(), loser).(Published); ok {
		t.Errorf("call %d: the loser %s counts as published", n, loser)
	}
	return true
}

// The store is restored from a copy between any two calls of a publish. Where
// Publish said done, the version can be loaded or the store is reported as
// older; the fleet's version is then put back and the next plan follows it.
func TestStoreGoesBackDuringPublish(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ copied, before int }{{0, 5}, {3, 5}, {5, 5}, {0, 7}, {7, 7}} {
		t.Run(fmt.Sprintf("to version %d from %d", tt.copied, tt.before), func(t *testing.T) {
			t.Parallel()
			for n, came := 1, true; came; n++ {
				came = goBack(t, tt.copied, tt.before, n)
			}
		})
	}
}

func goBack(t *testing.T, copied, before, n int) (came bool) {
	t.Helper()
	ctx := context.Background()
	b := newBench(t)
	l := b.log()
	old := b.publishMany(l, snapshot.Empty(), 1, copied)
	img := b.store.Image()
	old = b.publishMany(l, old, copied+1, before)
	d, next := b.next(old, "x")
	b.store.SetPlan(nth(n, &came, func() store.Fault {
		b.store.Rollback(img)
		return store.Pass
	}))
	err := l.Publish(ctx, d, next)
	b.store.SetPlan(nil)
	fleet := old
	if err == nil {
		fleet = next
	}
	l.Saw(fleet)
	if _, herr := l.Head(ctx); is[*OlderError](herr) {
		if rerr := l.Restore(ctx, fleet); rerr != nil {
			t.Fatalf("call %d: restore: %v", n, rerr)
		}
	} else if herr != nil {
		t.Fatalf("call %d: %v", n, herr)
	}
	b.holds(fleet)
	b.holds(b.publishMany(l, fleet, before+2, before+34))
	return came
}

// Six versions are lost with the store's state. A node that holds the newest
// sees an older store, no plan is published into it, and plans made before are
// refused, since they may have been published in the part that was lost.
func TestOlderStoreIsReportedAndMended(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	b := newBench(t)
	l := b.log()
	s := b.publishMany(l, snapshot.Empty(), 1, 10)
	for _, id := range []string{"p13", "pending"} {
		if err := l.SavePlan(ctx, id, []byte("plan"), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	img := b.store.Image()
	s = b.publishMany(l, s, 11, 16)
	b.store.Rollback(img)

	d, next := b.next(s, "p17")
	if err := l.Publish(ctx, d, next); !is[*OlderError](err) {
		t.Errorf("publish into an older store: %v", err)
	}
	if _, err := l.Since(ctx, s); !is[*OlderError](err) {
		t.Errorf("since: %v", err)
	}
	if _, err := b.log().Since(ctx, s); !is[*OlderError](err) {
		t.Errorf("since, of a log that saw nothing: %v", err)
	}
	if err := l.Restore(ctx, s); err != nil {
		t.Fatal(err)
	}
	b.holds(s)
	if err := l.Restore(ctx, s); err != nil {
		t.Errorf("a second restore: %v", err)
	}
	old := snapshot.Empty()
	if err := l.Restore(ctx, old); !is[*NewerError](err) {
		t.Errorf("restore of version 0: %v", err)
	}
	for _, id := range []string{"p10", "p13", "pending"} {
		if diff := cmp.Diff(Outcome(Unknown{}), b.outcome(l, id), outcomes); diff != "" {
			t.Errorf("outcome of %s: %s", id, diff)
		}
	}
	if _, err := l.LoadPlan(ctx, "p13"); !is[*StalePlanError](err) {
		t.Errorf("a plan of before: %v", err)
	}
	if d, next := b.next(s, "p10"); !is[*StalePlanError](l.Publish(ctx, d, next)) {
		t.Error("a plan of before was published again")
	}
	s2 := b.publishMany(l, s, 17, 60)
	b.holds(s2)
	if _, err := l.Since(ctx, s); !is[*TooOldError](err) {
		t.Errorf("since a collected version: %v", err)
	}
}

// The same version number with another content is a store that went another
// way; it is refused until the fleet's content is put back.
func TestSameVersionWithOtherContent(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	b := newBench(t)
	l := b.log()
	base := b.publishMany(l, snapshot.Empty(), 1, 3)
	img := b.store.Image()
	fleet := b.publish(l, base, "ours")
	b.store.Rollback(img)
	b.publish(b.log(), base, "theirs")
	if _, err := l.Head(ctx); !is[*OlderError](err) {
		t.Errorf("head: %v", err)
	}
	if _, err := b.log().Since(ctx, fleet); !is[*OlderError](err) {
		t.Errorf("since: %v", err)
	}
	if err := l.Restore(ctx, fleet); err != nil {
		t.Fatal(err)
	}
	b.holds(b.publishMany(l, fleet, 5, 30))
}

// The answer to the head's swap is late: the publisher gives up, an operator
// abandons the plan, and then the swap arrives. It must not take effect.
func TestAbandonedPlanIsNeverPublished(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	b := newBench(t)
	l := b.log()
	old := b.publishMany(l, snapshot.Empty(), 1, 3)
	d, next := b.next(old, "x")
	b.store.SetPlan(func(c store.Call) store.Fault {
		if c.Kind() == platform.KindSwap && c.Key() == l.headKey() {
			return store.Late
		}
		return store.Pass
	})
	if err := l.Publish(ctx, d, next); !is[*OutcomeUnknownError](err) {
		t.Fatalf("publish: %v", err)
	}
	b.store.SetPlan(nil)
	if diff := cmp.Diff(Outcome(Unknown{underWay: true}), b.outcome(l, "x"), outcomes); diff != "" {
		t.Error(diff)
	}
	out, err := l.Abandon(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Outcome(NotPublished{}), out, outcomes); diff != "" {
		t.Error(diff)
	}
	if n := b.store.LandLate(); n == 0 {
		t.Error("no swap was late")
	}
	b.holds(old)
	if err := l.Publish(ctx, d, next); !is[*AbandonedError](err) {
		t.Errorf("publish again: %v", err)
	}
	done := b.publish(l, old, "y")
	if out, err = l.Abandon(ctx, "y"); err != nil || !cmp.Equal(Outcome(Published{done.Version()}), out, outcomes) {
		t.Errorf("abandon of a published plan: %#v, %v", out, err)
	}
	b.publishMany(l, done, 5, 30)
	if got := b.outcome(l, "y"); !cmp.Equal(Outcome(Published{done.Version()}), got, outcomes) {
		t.Errorf("the mark of a late abandon hides the version: %#v", got)
	}
}

// The operator's node ends between an abandon's two steps, with the plan's
// swap still on its way. Nobody is told that the plan is gone until a later
// publish of it has made sure; then the swap arrives and must not take effect.
func TestAbandonEndsHalfway(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	b := newBench(t)
	l := b.log()
	old := b.publishMany(l, snapshot.Empty(), 1, 3)
	d, next := b.next(old, "x")
	onHead := func(f store.Fault) func(store.Call) store.Fault {
		return func(c store.Call) store.Fault {
			if c.Kind() == platform.KindSwap && c.Key() == l.headKey() {
				return f
			}
			return store.Pass
		}
	}
	b.store.SetPlan(onHead(store.Late))
	if err := l.Publish(ctx, d, next); !is[*OutcomeUnknownError](err) {
		t.Fatalf("publish: %v", err)
	}
	b.store.SetPlan(onHead(store.Refuse))
	if _, err := l.Abandon(ctx, "x"); !is[*OutcomeUnknownError](err) {
		t.Errorf("abandon without its second step: %v", err)
	}
	if err := l.Publish(ctx, d, next); !is[*OutcomeUnknownError](err) {
		t.Errorf("publish of a marked plan, without the second step: %v", err)
	}
	b.store.SetPlan(nil)
	if diff := cmp.Diff(Outcome(Unknown{underWay: true}), b.outcome(l, "x"), outcomes); diff != "" {
		t.Error(diff)
	}
	if err := l.Publish(ctx, d, next); !is[*AbandonedError](err) {
		t.Errorf("publish of a marked plan: %v", err)
	}
	if n := b.store.LandLate(); n == 0 {
		t.Error("no swap was late")
	}
	b.holds(old)
}

// The store ends the lease that outcomes share, as a restored one may. The
// next publish asks for another, and no operator sees an error.
func TestLeaseOfOutcomesLapses(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	l := b.log()
	s := b.publishMany(l, snapshot.Empty(), 1, 20)
	b.store.LapseAll()
	s = b.publishMany(l, s, 21, 40)
	b.holds(s)
	want := Outcome(Published{22})
	if diff := cmp.Diff(want, b.outcome(l, "p22"), outcomes); diff != "" {
		t.Error(diff)
	}
}
