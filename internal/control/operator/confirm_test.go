package operator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Two operators plan to resize the same pool and both confirm. The first is in
// force. The second is told which object changed, in which version and by
// whom: had it been applied, it would have undone the first without a word.
func TestTwoOperatorsOneWins(t *testing.T) {
	t.Parallel()
	b := newBench(t, walls()...)
	first := b.planned("ana", set(pool("maps", "maps", 20, 11)))
	second := b.planned("bo", set(pool("maps", "maps", 15, 11)))
	if _, err := b.Confirm(context.Background(), "ana", first.ID()); err != nil {
		t.Fatal(err)
	}
	_, err := b.Confirm(context.Background(), "bo", second.ID())
	want := []Conflict{{snapshot.Key{Kind: snapshot.KindPool, Name: "maps"}, 2, "ana", first.ID()}}
	if diff := cmp.Diff(want, as[*ConflictError](t, err).Conflicts); diff != "" {
		t.Error(diff)
	}
}

// Many operators confirm plans for one pool at the same moment. Exactly one is
// in force; each of the others gets a conflict and none an unknown outcome.
func TestManyOperatorsAtOnceOneWins(t *testing.T) {
	t.Parallel()
	b := newBench(t, walls()...)
	plans := make([]*Plan, 8)
	for i := range plans {
		plans[i] = b.planned("ana", set(pool("maps", "maps", 20+i, 11)))
	}
	results := make([]string, len(plans))
	var wg sync.WaitGroup
	for i, p := range plans {
		wg.Go(func() { results[i] = b.confirm(p) })
	}
	wg.Wait()
	won := 0
	for _, r := range results {
		if r == "v2" {
			won++
		} else if !strings.HasPrefix(r, "conflict:") {
			t.Error(r)
		}
	}
	if won != 1 || b.store.head.Version() != 2 {
		t.Errorf("%d won, head is version %d", won, b.store.head.Version())
	}
}

func TestWhatAnotherOperatorDidBetween(t *testing.T) {
	t.Parallel()
	resize := set(pool("maps", "maps", 20, 11))
	for _, tt := range []struct {
		name          string
		mine, between Intent
		want          string
	}{
		{"an unrelated service", resize, set(snapshot.NewService("status")), "v3"},
		{"another service's pool", resize, set(pool("ledger", "ledger", 18, 13)), "v3"},
		{"another pool of the service", resize, set(pool("spare", "maps", 11, 0)), "v3"},
		{"the same pool", resize, set(pool("maps", "maps", 19, 11)), "conflict pool/maps"},
		{"a route of the pool changed", resize, set(snapshot.NewRoute("view", "/walls", "maps", "maps")), "conflict route/view"},
		{"a route led to the pool", resize, set(snapshot.NewRoute("status", "/status", "maps", "maps")), "conflict route/status"},
		{"a route led away", resize, set(snapshot.NewRoute("view", "/walls", "maps", "spare")), "conflict route/view"},
		{"the route's pool resized", set(snapshot.NewRoute("view", "/walls", "maps", "maps")), set(pool("maps", "maps", 19, 11)), "conflict pool/maps"},
		{"two routes added to one pool", set(snapshot.NewRoute("a", "/a", "maps", "spare")), set(snapshot.NewRoute("b", "/b", "maps", "spare")), "v3"},
		{"the same calls claimed", set(snapshot.NewRoute("a", "/a", "maps", "spare")), set(snapshot.NewRoute("b", "/a", "maps", "spare")), "conflict route/b"},
		{"the same object added", set(snapshot.NewService("a")), set(snapshot.NewService("a")), "conflict service/a"},
		{"what I add to is removed", set(snapshot.NewRoute("a", "/a", "maps", "spare")), remove(snapshot.KindPool, "spare"), "conflict pool/spare"},
		{"what I remove is removed", remove(snapshot.KindPool, "spare"), remove(snapshot.KindPool, "spare"), "conflict pool/spare"},
		{"what I remove is needed", remove(snapshot.KindPool, "spare"), set(snapshot.NewRoute("a", "/a", "maps", "spare")), "conflict route/a"},
		{"a limit for whom I remove", remove(snapshot.KindOrganisation, "club"), set(snapshot.NewLimit("club", 1, 1)), "conflict limit/club"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, walls()...)
			p := b.planned("bo", tt.mine)
			b.confirmed("ana", tt.between)
			v, err := b.Confirm(context.Background(), "bo", p.ID())
			got := fmt.Sprintf("v%d", v)
			if err != nil {
				c := as[*ConflictError](t, err).Conflicts
				got = "conflict"
				for _, c := range c {
					got += " " + c.Object.String()
					if c.Version != 2 || c.Operator != "ana" {
						t.Errorf("blames version %d by %q", c.Version, c.Operator)
					}
				}
			}
			if got != tt.want {
				t.Errorf("got %s (%v), want %s", got, err, tt.want)
			}
		})
	}
}

// An unrelated plan comes first between this confirm's read of the newest
// version and its publish. The confirm starts again on the newer version, and
// the operator sees no more than a moment's delay.
func TestOvertakenConfirmStartsAgain(t *testing.T) {
	t.Parallel()
	b := newBench(t, walls()...)
	p := b.planned("bo", set(snapshot.NewService("mine")))
	b.store.before["publish"] = func() { b.confirmed("ana", set(snapshot.NewService("theirs"))) }
	if got := b.confirm(p); got != "v3" {
		t.Error(got)
	}
}

// Unrelated plans come first every time. The operator is told to confirm
// again, that the plan is not in force, and the next confirm succeeds.
func TestConfirmOvertakenForEver(t *testing.T) {
	t.Parallel()
	b := newBench(t, walls()...)
	p := b.planned("bo", set(snapshot.NewService("mine")))
	n := 0
	var overtake func()
	overtake = func() {
		n++
		b.confirmed("ana", set(snapshot.NewService(fmt.Sprintf("s%d", n))))
		if n < maxTries {
			b.store.before["publish"] = overtake
		}
	}
	b.store.before["publish"] = overtake
	if got := b.confirm(p); !strings.HasPrefix(got, "busy:") {
		t.Error(got)
	}
	if got, want := b.confirm(p), fmt.Sprintf("v%d", maxTries+2); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// The steps of one plan's life: faults befall the store's next call, and each
// confirm's answer must hold for good. What an operator reads as "not in force"
// must never come into force later.
func TestConfirmStories(t *testing.T) {
	t.Parallel()
	const expired, unknown = "expired", "outcome_unknown"
	for _, tt := range []struct {
		name  string
		steps []string
		want  []string
		head  uint64
	}{
		{"twice", []string{"confirm", "confirm"}, []string{"v2", "v2"}, 2},
		{"twice, with a later version", []string{"confirm", "other", "confirm"}, []string{"v2", "v2"}, 3},
		{"after expiry", []string{"hour", "confirm", "confirm"}, []string{expired, expired}, 1},
		{"again after expiry", []string{"confirm", "hour", "confirm"}, []string{"v2", "v2"}, 2},
		{"long after expiry", []string{"hour", "hour", "confirm"}, []string{"not_found"}, 1},
		{"again long after", []string{"confirm", "hour", "hour", "confirm"}, []string{"v2", "v2"}, 2},
		{"the answer lost", []string{"publish lostAfter", "confirm", "confirm"}, []string{unknown, "v2"}, 2},
		{"the request lost", []string{"publish lostBefore", "confirm", "confirm"}, []string{unknown, "v2"}, 2},
		{"the request lost, then another plan", []string{"publish lostBefore", "confirm", "rival", "confirm"}, []string{unknown, "conflict"}, 2},
		{"the answer lost, then another plan", []string{"publish lostAfter", "confirm", "other", "confirm"}, []string{unknown, "v2"}, 3},
		{"the answer lost, then expiry", []string{"publish lostAfter", "confirm", "hour", "confirm"}, []string{unknown, "v2"}, 2},
		{"the request late, then expiry", []string{"publish late", "confirm", "hour", "confirm", "land", "confirm"}, []string{unknown, expired, expired}, 1},
		{"the request late and landed", []string{"publish late", "confirm", "land", "confirm"}, []string{unknown, "v2"}, 2},
		{"the request late, confirmed, then landed", []string{"publish late", "confirm", "confirm", "land", "confirm"}, []string{unknown, "v2", "v2"}, 2},
		{"the store down at the look-up", []string{"outcome down", "confirm", "confirm"}, []string{unknown, "v2"}, 2},
		{"the store down at the look-up of a plan in force", []string{"confirm", "outcome down", "confirm", "confirm"}, []string{"v2", unknown, "v2"}, 2},
		{"the store down at the plan", []string{"plan down", "confirm", "confirm"}, []string{"unavailable", "v2"}, 2},
		{"the store down at the newest version", []string{"load down", "confirm", "confirm"}, []string{"unavailable", "v2"}, 2},
		{"the store down at publish", []string{"publish down", "confirm", "confirm"}, []string{"unavailable", "v2"}, 2},
		{"the store down when it expired", []string{"hour", "abandon down", "confirm", "confirm"}, []string{unknown, expired}, 1},
		{"the history unreadable", []string{"rival", "history down", "confirm"}, []string{"conflict"}, 2},
		{"changed and set back by others", []string{"rival", "back", "confirm"}, []string{"v4"}, 4},
		{"abandoned", []string{"abandon", "confirm"}, []string{"abandoned"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, walls()...)
			p := b.planned("ana", set(pool("maps", "maps", 20, 11)))
			var got []string
			for _, step := range tt.steps {
				if answer := b.step(p, step); answer != "" {
					kind, _, _ := strings.Cut(answer, ":")
					got = append(got, kind)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
			if v := b.store.head.Version(); v != tt.head {
				t.Errorf("head is version %d, want %d", v, tt.head)
			}
		})
	}
}

// step plays one word of a story and returns the answer of a confirm.
func (b *bench) step(p *Plan, word string) string {
	b.tb.Helper()
	faults := map[string]fault{"down": down, "lostBefore": lostBefore, "lostAfter": lostAfter, "late": late}
	switch call, f, _ := strings.Cut(word, " "); {
	case f != "":
		b.store.next[call] = faults[f]
	case word == "confirm":
		return b.confirm(p)
	case word == "hour":
		b.clock.Advance(time.Hour + time.Millisecond)
	case word == "land":
		b.store.land(p.ID())
	case word == "abandon":
		if _, err := b.store.Abandon(context.Background(), p.ID()); err != nil {
			b.tb.Fatal(err)
		}
	case word == "other":
		b.confirmed("bo", set(snapshot.NewService("status")))
	case word == "rival":
		b.confirmed("bo", set(pool("maps", "maps", 19, 11)))
	case word == "back":
		b.confirmed("bo", set(pool("maps", "maps", 17, 11)))
	default:
		b.tb.Fatalf("no step %q", word)
	}
	return ""
}

// Two nodes confirm the same plan at the same moment, as when a client whose
// answer was late asks another node. Both say the same version; neither takes
// the other's write for a rival's.
func TestOnePlanConfirmedTwiceAtOnce(t *testing.T) {
	t.Parallel()
	for _, call := range []string{"plan", "load", "publish"} {
		b := newBench(t, walls()...)
		p := b.planned("ana", set(pool("maps", "maps", 20, 11)))
		b.store.before[call] = func() {
			if got := b.confirm(p); got != "v2" {
				t.Errorf("the first, ahead of the second's %s: %s", call, got)
			}
		}
		if got := b.confirm(p); got != "v2" {
			t.Errorf("the second, overtaken before %s: %s", call, got)
		}
	}
}

// The publish succeeds and the look-up of the version after it fails. The
// operator reads "confirmed", without a version rather than with a wrong one:
// another node may have published the plan as an earlier version.
func TestConfirmedWithoutAVersion(t *testing.T) {
	t.Parallel()
	b := newBench(t, walls()...)
	p := b.planned("ana", set(pool("maps", "maps", 20, 11)))
	b.store.before["publish"] = func() { b.store.next["outcome"] = down }
	if v, err := b.Confirm(context.Background(), "ana", p.ID()); v != 0 || err != nil {
		t.Errorf("version %d, %v", v, err)
	}
	if got := b.confirm(p); got != "v2" {
		t.Error(got)
	}
}

func TestPlanStatusFollowsItsLife(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		steps []string
		want  State
	}{
		{nil, Planned},
		{[]string{"confirm"}, Confirmed},
		{[]string{"hour"}, Expired},
		{[]string{"abandon"}, Expired},
		{[]string{"publish late", "confirm"}, Uncertain},
	} {
		b := newBench(t, walls()...)
		p := b.planned("ana", set(pool("maps", "maps", 20, 11)))
		for _, s := range tt.steps {
			b.step(p, s)
		}
		st, err := b.Status(context.Background(), p.ID())
		if err != nil || st.State() != tt.want || st.Plan().ID() != p.ID() {
			t.Errorf("after %v: %s, %v", tt.steps, st.State(), err)
		}
	}
}

func TestLifeRefusesWrongSteps(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		from State
		t    trigger
	}{
		{Confirmed, triggerExpire},
		{Confirmed, triggerConflict},
		{Confirmed, triggerLose},
		{Conflicted, triggerPublish},
		{Uncertain, triggerExpire},
		{Planned, triggerPublish},
		{Drafted, triggerBegin},
	} {
		l := newLife(tt.from)
		if e := as[*LifeError](t, l.fire(context.Background(), tt.t)); e.State != tt.from || l.state() != tt.from {
			t.Errorf("%s left %s for %s", tt.t, tt.from, l.state())
		}
	}
}
