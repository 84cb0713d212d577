package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// applyBound is the time within which a version must become active.
const applyBound = 2 * time.Second

// simulateReader runs a reader's watches, none of which receives an event, and returns the
// end of the first one that ends after the version was written.
func simulateReader(s *watchSchedule, from, silentFrom, written time.Time, index, domains int) time.Time {
	at := from
	for {
		end := at.Add(s.wait(at, index, domains))
		if end.After(written) {
			return end
		}
		at = end
	}
}

// Guards against a version written while the store compacts its history and all watches
// receive nothing: the staggered ends of the watches must find it in time.
func TestAVersionWrittenWhileWatchesAreSilentIsFoundInTime(t *testing.T) {
	t.Parallel()
	const propagation = hintDelay + 200*time.Millisecond // to the other failure domains and down the tree
	for _, domains := range []int{2, 3, 4, 6, 22} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				rng := rand.New(rand.NewPCG(seed, 1))
				from := startTime.Add(time.Duration(rng.Int64N(int64(time.Minute))))
				silentFrom := from.Add(time.Duration(rng.Int64N(int64(10 * time.Second))))
				written := silentFrom.Add(time.Duration(rng.Int64N(int64(time.Second))))
				found := written.Add(time.Hour)
				for d := range domains {
					// Clocks differ between nodes, and readers start at different times.
					skew := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
					end := simulateReader(&watchSchedule{}, from.Add(skew), silentFrom.Add(skew), written.Add(skew), d, domains).Add(-skew)
					if end.Before(found) {
						found = end
					}
				}
				if late := found.Add(propagation).Sub(written); late > applyBound {
					t.Fatalf("seed %d: active %v after it was written", seed, late)
				}
			}
		})
	}
}

// Guards against a reader that receives nothing during a burst of versions and that no other
// domain informs: its watches must be short then.
func TestAReaderInABurstOfVersionsChecksSoon(t *testing.T) {
	t.Parallel()
	s := &watchSchedule{}
	s.versionArrived(startTime)
	s.versionArrived(startTime.Add(time.Second))
	now := startTime.Add(1500 * time.Millisecond)
	if end := simulateReader(s, now, now, now, 0, 4); end.Sub(now) > time.Second {
		t.Errorf("the watch ends after %v, want at most 1s", end.Sub(now))
	}
}

// Guards against more idle watch calls than the checks need.
func TestIdleWatchesEndOncePerPeriod(t *testing.T) {
	t.Parallel()
	for _, domains := range []int{1, 3, 4, 6} {
		calls, at := 0, startTime
		for at.Before(startTime.Add(time.Minute)) {
			at = at.Add((&watchSchedule{}).wait(at, 0, domains))
			calls++
		}
		if limit := int(time.Minute/min(max(time.Duration(domains)*checkInterval, minPeriod), maxPeriod)) + 1; calls > limit {
			t.Errorf("%d domains: %d calls a minute, want %d at most", domains, calls, limit)
		}
	}
}

// Guards against roots that all notice late that the store does not answer them, as machines
// that start together renew at the same moment.
func TestFailureDomainsRenewByTurns(t *testing.T) {
	t.Parallel()
	const interval, domains = 1500 * time.Millisecond, 4
	for offset := range 300 {
		now := time.Unix(1_800_000_000, 0).Add(time.Duration(offset) * 5 * time.Millisecond)
		first := 2 * interval
		for index := range domains {
			wait := untilTurn(now, interval, interval/10, index, domains)
			if wait <= 0 || wait > interval+interval/10 {
				t.Fatalf("at %v domain %d waits %v", now, index, wait)
			}
			first = min(first, wait)
		}
		if first > interval/domains+interval/10 {
			t.Errorf("at %v the first renewal is in %v", now, first)
		}
	}
}
