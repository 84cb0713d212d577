package operator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// onStore returns a service over the log in a stand-in of the platform's
// store, which gives up at once on what it can't look up.
func onStore(t *testing.T) (*Service, *store.Store, *timer.Service) {
	t.Helper()
	clock := timer.NewManual(start)
	st := store.New(clock)
	log := publish.New(st, clock, publish.ResolveFor(0))
	s := New(FromLog(log), &fleet{lowest: snapshot.FormatLevel}, Clock(clock), Random(seeded(1)))
	p, err := s.Plan(context.Background(), "setup", NewWhole(walls()))
	if err != nil {
		t.Fatal(err)
	}
	if v, err := s.Confirm(context.Background(), "setup", p.ID()); v != 1 || err != nil {
		t.Fatalf("version %d, %v", v, err)
	}
	return s, st, clock
}

// headWrites befalls the swap of the head, which decides a version.
func headWrites(f store.Fault) func(store.Call) store.Fault {
	return func(c store.Call) store.Fault {
		if c.Kind() == platform.KindSwap && strings.HasSuffix(c.Key(), "head") {
			return f
		}
		return store.Pass
	}
}

// The store loses the answer of a swap that took effect, loses the swap
// itself, is late with it, or is out, in a confirm over the real log. The
// operator reads "unknown" where it is, and the next confirm settles it.
func TestConfirmOverTheLog(t *testing.T) {
	t.Parallel()
	const unknown, expired = "outcome_unknown", "expired"
	for _, tt := range []struct {
		name  string
		steps []string
		want  []string
	}{
		{"nothing fails", []string{"confirm", "confirm"}, []string{"v2", "v2"}},
		{"the answer lost", []string{"lose answers", "confirm", "mend", "confirm"}, []string{"v2", "v2"}},
		{"the swap lost", []string{"lose swaps", "confirm", "mend", "confirm"}, []string{unknown, "v2"}},
		{"the swap late", []string{"late swaps", "confirm", "mend", "land", "confirm"}, []string{unknown, "v2"}},
		{"the swap late, another confirm first", []string{"late swaps", "confirm", "mend", "confirm", "land", "confirm"}, []string{unknown, "v2", "v2"}},
		{"the swap late, then expired", []string{"late swaps", "confirm", "mend", "hour", "confirm", "land", "confirm"}, []string{unknown, expired, expired}},
		{"the swap late, then a rival", []string{"late swaps", "confirm", "mend", "rival", "confirm", "land", "confirm"}, []string{unknown, "conflict", "conflict"}},
		{"the store out", []string{"out", "confirm", "back", "confirm"}, []string{unknown, "v2"}},
		{"writes refused", []string{"refuse swaps", "confirm", "mend", "confirm"}, []string{"unavailable", "v2"}},
		{"a rival first", []string{"rival", "confirm"}, []string{"conflict"}},
		{"another plan first", []string{"other", "confirm", "other2", "confirm"}, []string{"v3", "v3"}},
		{"expired", []string{"hour", "confirm", "confirm"}, []string{expired, expired}},
		{"confirmed, expired", []string{"confirm", "hour", "confirm"}, []string{"v2", "v2"}},
		{"long expired", []string{"hour", "hour", "confirm"}, []string{"not_found"}},
		{"the store put back to before the confirm", []string{"image", "confirm", "rollback", "confirm"}, []string{"v2", unknown}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s, st, clock := onStore(t)
			b := &bench{tb: t, Service: s}
			p := b.planned("ana", set(pool("maps", "maps", 20, 11)))
			var image *store.Image
			steps := map[string]func(){
				"lose answers": func() { st.SetPlan(headWrites(store.LoseAnswer)) },
				"lose swaps":   func() { st.SetPlan(headWrites(store.LoseRequest)) },
				"late swaps":   func() { st.SetPlan(headWrites(store.Late)) },
				"refuse swaps": func() { st.SetPlan(headWrites(store.Refuse)) },
				"mend":         func() { st.SetPlan(nil) },
				"land":         func() { st.LandLate() },
				"out":          func() { st.SetDown(true) },
				"back":         func() { st.SetDown(false) },
				"image":        func() { image = st.Image() },
				"rollback":     func() { st.Rollback(image) },
				"hour":         func() { clock.Advance(time.Hour + time.Second) },
				"rival":        func() { b.confirmed("bo", set(pool("maps", "maps", 19, 11))) },
				"other":        func() { b.confirmed("bo", set(snapshot.NewService("other"))) },
				"other2":       func() { b.confirmed("bo", set(snapshot.NewService("other2"))) },
			}
			var got []string
			for _, step := range tt.steps {
				if step == "confirm" {
					kind, _, _ := strings.Cut(b.confirm(p), ":")
					got = append(got, kind)
					continue
				}
				steps[step]()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestConflictOverTheLogNamesTheRival(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	s, _, _ := onStore(t)
	first, err := s.Plan(ctx, "ana", set(pool("maps", "maps", 20, 11)))
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.Plan(ctx, "bo", set(pool("maps", "maps", 15, 11)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Confirm(ctx, "ana", first.ID()); err != nil {
		t.Fatal(err)
	}
	_, err = s.Confirm(ctx, "bo", second.ID())
	want := []Conflict{{snapshot.Key{Kind: snapshot.KindPool, Name: "maps"}, 2, "ana", first.ID()}}
	if diff := cmp.Diff(want, as[*ConflictError](t, err).Conflicts); diff != "" {
		t.Error(diff)
	}
	if _, err := s.Confirm(ctx, "bo", "no such plan!"); typeOf(err) != TypeNotFound {
		t.Error(err)
	}
}
