package publish

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

func TestPublishedVersionsAreLoadedWhole(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 1, 7, 8, 9, 16, 17, 40} {
		t.Run(fmt.Sprintf("%d versions", n), func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			l := b.log()
			s := b.publishMany(l, snapshot.Empty(), 1, n)
			b.holds(s)
			h, err := l.Head(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			want := fmt.Sprintf("%d %s %s", s.Version(), s.Digest(), s.PlanID())
			if got := fmt.Sprintf("%d %s %s", h.Version(), h.Digest(), h.PlanID()); got != want {
				t.Errorf("head %s, want %s", got, want)
			}
		})
	}
}

func TestHistoryTellsTheNewestFirst(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	l := b.log()
	s := snapshot.Empty()
	for i := 1; i <= 20; i++ {
		s = b.publish(l, s, fmt.Sprintf("p%d", i))
		b.clock.Advance(time.Minute)
	}
	got, err := l.History(context.Background(), 2)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range got {
		lines = append(lines, fmt.Sprintf("%d %s %s %s", c.Version(), c.PlanID(), c.Operator(), c.At().Sub(start)))
	}
	if diff := cmp.Diff([]string{"20 p20 ana 19m0s", "19 p19 ana 18m0s"}, lines); diff != "" {
		t.Error(diff)
	}
}
