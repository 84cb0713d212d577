package bucket

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more tokens in some window than the capacity and the window's refill, whatever the
// order of refills and takes, and against tokens that are lost.
func TestTokensAreBoundedInAnyWindow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		capacity := rapid.Float64Range(1, 100).Draw(t, "capacity")
		start := time.Unix(1_700_000_000, 0)
		now, b := start, New(capacity, start)
		var takenAt []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b.Refill(now, rate, capacity)
			n := b.TakeUpTo(rapid.IntRange(0, 20).Draw(t, "n"), rapid.Float64Range(0, 5).Draw(t, "reserve"))
			if rapid.Bool().Draw(t, "one") && b.Take() {
				n++
			}
			for range n {
				takenAt = append(takenAt, now)
			}
		}
		for i := range takenAt {
			for j := i; j < len(takenAt); j++ {
				if bound := capacity + rate*takenAt[j].Sub(takenAt[i]).Seconds(); float64(j-i+1) > bound+1e-6 {
					t.Fatalf("%d tokens in %v, %v allowed", j-i+1, takenAt[j].Sub(takenAt[i]), bound)
				}
			}
		}
		if full := time.Duration(capacity/rate*float64(time.Second)) + time.Millisecond; !filled(&b, now.Add(full), rate, capacity) {
			t.Fatalf("not full after %v", full)
		}
	})
}

func filled(b *Bucket, at time.Time, rate, capacity float64) bool {
	b.Refill(at, rate, capacity)
	return b.Tokens() == capacity
}

// Guards against a bucket that stays empty until a clock that moved back has caught up.
func TestABucketIsRefilledAfterTheClockMovedBack(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	b := New(0, now)
	b.Refill(now.Add(-time.Hour), 10, 1)
	if b.Take() {
		t.Error("a token for time that has not passed")
	}
	if b.Refill(now.Add(-time.Hour+time.Second), 10, 1); !b.Take() {
		t.Error("no token a second later")
	}
}

func TestInfiniteRatesAndCapacities(t *testing.T) {
	t.Parallel()
	var b Bucket
	now := time.Unix(1_700_000_000, 0)
	for range 2 {
		b.Refill(now, math.Inf(1), math.Inf(1))
		if got := b.TakeUpTo(7, 0); got != 7 || !b.Take() || b.Missing() != 0 {
			t.Errorf("%d tokens of 7, %v missing", got, b.Missing())
		}
	}
	if b.Refill(now, 1, 2); b.Tokens() != 2 {
		t.Errorf("%v tokens in a bucket for 2", b.Tokens())
	}
}
