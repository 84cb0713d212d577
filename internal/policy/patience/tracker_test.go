package patience

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func TestWaited(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		allowed func(i int) time.Duration
		asked   time.Duration
		want    time.Duration
	}{
		{"a fresh call has not waited", func(int) time.Duration { return 1200 * ms }, 1200 * ms, 0},
		{"nor has one that lost a little on its way", func(int) time.Duration { return 1200 * ms }, 1185 * ms, 0},
		{"one that came back has", func(int) time.Duration { return 1200 * ms }, 800 * ms, 400 * ms},
		{"one patient caller in sixteen moves nothing", func(i int) time.Duration {
			if i%16 == 0 {
				return 3000 * ms
			}
			return 1200 * ms
		}, 1200 * ms, 0},
		{"two calls in three that came back move nothing", func(i int) time.Duration {
			return time.Duration(1200-400*(i%3)) * ms
		}, 400 * ms, 800 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := NewTracker()
			for i := range 200 {
				tr.Waited("read", tc.allowed(i), false)
			}
			if diff := cmp.Diff(tc.want, tr.Waited("read", tc.asked, false)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Before enough calls are known, each looks fresh: a wrong guess would turn the
// first callers of a route away.
func TestTheFirstCallsOfARouteAreFresh(t *testing.T) {
	t.Parallel()
	tr := NewTracker()
	for i := range window - 1 {
		if got := tr.Waited("read", time.Duration(1000-i*10)*ms, false); got != 0 {
			t.Fatalf("call %d has waited %v", i, got)
		}
	}
}

func TestRoutesAreBounded(t *testing.T) {
	t.Parallel()
	tr := NewTracker()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 10 * maxRoutes {
		tr.Waited(string(rune(rng.IntN(1<<20))), 100*ms, false)
	}
	if len(tr.routes) > maxRoutes {
		t.Errorf("%d routes are held", len(tr.routes))
	}
}

// Callers of one route allow 850 to 1000 ms. Most keep their connections; those
// that were refused come back on new ones with 600 ms less. By what they allow
// alone a fresh call of an impatient caller looks like one that came back, would be
// placed behind the others and refused.
func TestCallersThatDifferAreToldFromThoseThatCameBack(t *testing.T) {
	t.Parallel()
	tr := NewTracker()
	rng := rand.New(rand.NewPCG(3, 4))
	allows := func() time.Duration { return time.Duration(850+rng.IntN(150)) * ms }
	late, missed := 0, 0
	const calls = 1000
	for range calls {
		if tr.Waited("read", allows(), true) > 0 {
			t.Fatal("a call on a kept connection has waited")
		}
		if tr.Waited("read", allows(), false) > 0 {
			late++
		}
		if got := tr.Waited("read", allows()-600*ms, false); got < 500*ms || got > 700*ms {
			missed++
		}
	}
	if late > calls/10 {
		t.Errorf("%d of %d fresh calls on new connections pass for ones that came back", late, calls)
	}
	if missed > window {
		t.Errorf("%d of %d that came back are not seen", missed, calls)
	}
}
