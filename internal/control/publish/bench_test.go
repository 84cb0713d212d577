package publish

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// bench is a store with a manual clock; its logs give up at once on what they
// can't look up, as no time passes by itself.
type bench struct {
	tb    testing.TB
	clock *timer.Service
	store *store.Store
}

func newBench(tb testing.TB) *bench {
	clock := timer.NewManual(start)
	return &bench{tb: tb, clock: clock, store: store.New(clock)}
}

func (b *bench) log(opts ...Option) *Log {
	return New(b.store, b.clock, append([]Option{ResolveFor(0), FullEvery(8)}, opts...)...)
}

// next returns a version after s that adds or renames one service.
func (b *bench) next(s *snapshot.Snapshot, planID string) (*snapshot.Delta, *snapshot.Snapshot) {
	b.tb.Helper()
	c := snapshot.NewChange([]snapshot.Object{
		snapshot.NewService(fmt.Sprintf("s%d", s.Version()%20)),
		snapshot.NewOrganisation("last", snapshot.Trial, fmt.Sprintf("%064x", fnv(planID))),
	}, nil)
	d, next, err := s.Next(c, snapshot.Stamp{PlanID: planID, Operator: "ana", At: b.clock.Now()})
	if err != nil {
		b.tb.Fatal(err)
	}
	return d, next
}

func fnv(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func (b *bench) publish(l *Log, s *snapshot.Snapshot, planID string) *snapshot.Snapshot {
	b.tb.Helper()
	d, next := b.next(s, planID)
	if err := l.Publish(context.Background(), d, next); err != nil {
		b.tb.Fatalf("publish %s: %v", planID, err)
	}
	return next
}

// publishMany publishes plans p<from> to p<to>.
func (b *bench) publishMany(l *Log, s *snapshot.Snapshot, from, to int) *snapshot.Snapshot {
	b.tb.Helper()
	for i := from; i <= to; i++ {
		s = b.publish(l, s, fmt.Sprintf("p%d", i))
	}
	return s
}

// holds checks that a fresh log loads exactly want.
func (b *bench) holds(want *snapshot.Snapshot) {
	b.tb.Helper()
	got, err := b.log().Load(context.Background())
	if err != nil {
		b.tb.Fatalf("load: %v", err)
	}
	if diff := cmp.Diff(name(want), name(got)); diff != "" {
		b.tb.Fatalf("loaded another version:\n%s", diff)
	}
}

func name(s *snapshot.Snapshot) string { return fmt.Sprintf("%d %s", s.Version(), s.Digest()) }
