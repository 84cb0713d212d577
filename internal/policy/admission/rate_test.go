package admission_test

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

// mostIn returns the highest number of times within any window between from and to; the
// times are sorted.
func mostIn(window time.Duration, times []time.Duration, from, to time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] < max(from, at-window) {
			first++
		}
		if at < to {
			most = max(most, i+1-first)
		}
	}
	return most
}

// Guards against targets that get more calls than the limit that they name, and against
// calls that fail while the pool's other targets have room for them.
func TestTargetsRateLimitsHoldForAllSendersTogether(t *testing.T) {
	t.Parallel()
	const (
		needFrom, needTo = 5 * time.Second, 15 * time.Second
		window           = 4 * time.Second
		// A target is allowed half more than its limit in a window, and a few calls.
		allowedRatio, allowedCalls = 1.5, 5
		// Of the calls that the limits let through, most are answered, and in time.
		minAnswered, minInTime = 0.9, 0.8
		poolSize               = 5
	)
	for _, tc := range []struct {
		name    string
		rate    float64 // calls per second
		limited int     // of five targets
		limit   float64
	}{
		{"two of five, the others have room", 530, 2, 60},
		{"one of five, very low", 530, 1, 2},
		{"one of five, none at all", 530, 1, 0.001},
		{"all, a little above the load", 530, 5, 110},
		{"all, at the load", 530, 5, 106},
		{"all, below the load", 530, 5, 60},
		{"all, low and above the load", 60, 5, 15},
		{"all, low and below the load", 60, 5, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seeds := 1.0
			if tc.rate < 100 {
				// One run of so few calls varies by 0.025, too much to tell a fault from the seed.
				seeds = 10
			}
			var answered, inTime, attempts float64 // means over the seeds
			for seed := range uint64(seeds) {
				lookups := &callKind{
					name: "lookup", pool: "lookups", rate: tc.rate, work: 60 * ms, softDeadline: 200 * ms, timeout: 1200 * ms, callerRetries: 2, idempotent: true,
				}
				m := newMesh(13, lookups)
				m.rng = sim.Rand(41 + seed)
				targets := m.pool("lookups", poolSize, 12, 1)
				for _, target := range targets[:tc.limited] {
					target.rate = func() float64 {
						if m.Elapsed() < needFrom || m.Elapsed() >= needTo {
							return 0
						}
						return tc.limit
					}
				}
				m.run(20 * time.Second)
				allowed := int(allowedRatio*tc.limit*window.Seconds()) + allowedCalls
				for _, target := range targets[:tc.limited] {
					// The platform gives a second until a limit has to hold.
					if most := mostIn(window, target.starts, needFrom+time.Second, needTo); most > allowed {
						t.Errorf("%s got %d calls in %v, want at most %d", target.name, most, window, allowed)
					}
					if n := mostIn(time.Second, target.starts, needTo+2*time.Second, 20*time.Second); n == 0 {
						t.Errorf("%s got no calls after its limit had ended", target.name)
					}
				}
				a, i := lookups.share(6, 15)
				answered, inTime, attempts = answered+a/seeds, inTime+i/seeds, attempts+float64(lookups.attempts)/seeds
			}
			possible := 1.0
			if tc.limited == poolSize {
				possible = min(1, tc.limit*float64(tc.limited)/tc.rate)
			}
			if answered < minAnswered*possible || inTime < minInTime*possible {
				t.Errorf("answered %.4f, in time %.4f; want at least %.2f, %.2f", answered, inTime, minAnswered*possible, minInTime*possible)
			}
			t.Logf("%s: answered %.4f, in time %.4f, attempts per call %.2f", tc.name, answered, inTime, attempts/(20*tc.rate))
		})
	}
}
