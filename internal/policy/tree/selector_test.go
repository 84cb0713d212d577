package tree

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// selectorWithParents returns a selector with parents p0, p1, … in that order.
func selectorWithParents(n int) *Selector {
	s := NewSelector(random(1))
	var p Position
	for i := range n {
		p.parents = append(p.parents, ready(fmt.Sprintf("p%d", i), "d"))
	}
	s.Update(p)
	return s
}

func next(s *Selector, now time.Time) string {
	r, _ := s.Next(now)
	return r.Instance()
}

func at(d time.Duration) time.Time { return start.Add(d) }

// After its parent fails, a node must switch at once and not try the failed parent
// again until the hold-down is over.
func TestNodeStaysWithBackupParentDuringHoldDown(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(3)
	s.Answered(start, "p0", 0)
	s.Failed(start, "p0")
	if got := next(s, start); got != "p1" {
		t.Fatalf("next %q, want p1", got)
	}
	s.Answered(start, "p1", 0)
	for d := time.Duration(0); d < holdDown; d += time.Second {
		if got := next(s, at(d)); got != "p1" {
			t.Fatalf("after %v %q, want p1", d, got)
		}
	}
	if got := next(s, at(2*holdDown)); got != "p0" {
		t.Errorf("after the hold-down %q, want p0", got)
	}
}

// Parents in a loop answer, but their reports from the root grow older. The node
// must leave a stale parent, and take the least stale one if all are stale.
func TestNodeLeavesParentCutOffFromRoot(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(3)
	s.Answered(start, "p0", staleAfter-time.Second)
	if got := next(s, start); got != "p0" {
		t.Fatalf("next %q, want p0", got)
	}
	s.Answered(start, "p0", staleAfter+3*time.Second)
	if got := next(s, start); got != "p1" {
		t.Fatalf("next %q, want p1", got)
	}
	s.Answered(start, "p1", staleAfter+time.Second)
	s.Answered(start, "p2", staleAfter+2*time.Second)
	if got := next(s, start); got != "p1" {
		t.Errorf("next %q, want the least stale parent, p1", got)
	}
	if s.Orphaned(at(orphanedAfter)) {
		t.Error("orphaned although parents answer")
	}
}

// The node must keep trying its parents with backoff and act as a root from one
// heartbeat on, until a parent answers.
func TestNodeActsAsRootWhileAllParentsFail(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(2)
	attempts, now := 0, start
	for now.Before(at(10 * time.Second)) {
		r, wait := s.Next(now)
		if r.Instance() == "" {
			now = now.Add(wait)
			continue
		}
		attempts++
		s.Failed(now, r.Instance())
		now = now.Add(10 * time.Millisecond)
	}
	if attempts < 10 || attempts > 60 {
		t.Errorf("%d attempts in 10 s", attempts)
	}
	if s.Orphaned(at(orphanedAfter-time.Millisecond)) || !s.Orphaned(at(orphanedAfter)) {
		t.Errorf("not orphaned exactly from %v on", orphanedAfter)
	}
	s.Answered(now, "p1", 0)
	if s.Orphaned(now) || next(s, now) != "p1" {
		t.Error("still orphaned after an answer")
	}
	if !selectorWithParents(0).Orphaned(start) {
		t.Error("a node without parents is not orphaned")
	}
}

// A node waits for a busy parent if the delay is short and tries a backup if it
// is long.
func TestLongBusyWaitSelectsBackupParent(t *testing.T) {
	t.Parallel()
	s := selectorWithParents(2)
	s.Busy(start, "p0", maxBusyWait)
	if r, wait := s.Next(start); r.Instance() != "" || wait != maxBusyWait {
		t.Errorf("next %q, wait %v", r.Instance(), wait)
	}
	if got := next(s, at(maxBusyWait)); got != "p0" {
		t.Errorf("after the wait %q, want p0", got)
	}
	s.Busy(at(maxBusyWait), "p0", 3*time.Second)
	if got := next(s, at(maxBusyWait)); got != "p1" {
		t.Errorf("next %q, want p1", got)
	}
}

// Nodes that fail together must not retry together: no 100 ms may contain more
// than a quarter of the fourth retries.
func TestBackoffSpreadsRetries(t *testing.T) {
	t.Parallel()
	r := random(7)
	const nodes = 1000
	var slots [40]int
	for range nodes {
		b := NewBackoff(r)
		var wait time.Duration
		for range 4 {
			wait += b.Next()
		}
		slots[min(int(wait/(100*time.Millisecond)), len(slots)-1)]++
	}
	if most := slices.Max(slots[:]); most > nodes/4 {
		t.Errorf("%d of %d nodes retry within 100 ms", most, nodes)
	}
	b := NewBackoff(r)
	for range 100 {
		if wait := b.Next(); wait <= 0 || wait > maxBackoff+time.Millisecond {
			t.Fatalf("delay %v is out of range", wait)
		}
	}
}

// Many pullers connect to one relay at once and retry after the requested delays.
// The relay must neither exceed its rate nor take much longer than the rate allows.
func TestAdmissionServesAllPullersAtItsRate(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		request     Request
		rate, burst float64
		pullers     int
	}{
		{Resume, resumeRate, resumeBurst, 1000},
		{Full, fullRate, fullBurst, 190},
	} {
		a := NewAdmission(random(3))
		retryAt := make([]time.Duration, tt.pullers)
		var served, attempts int
		var last time.Duration
		perSecond := map[int]int{}
		for served < tt.pullers {
			i := 0
			for j := range retryAt {
				if retryAt[j] < retryAt[i] {
					i = j
				}
			}
			attempts++
			switch d := a.Admit(at(retryAt[i]), tt.request).(type) {
			case Admitted:
				served++
				last = retryAt[i]
				perSecond[int(retryAt[i]/time.Second)]++
				retryAt[i] = 1 << 62
			case Busy:
				retryAt[i] += d.After
			}
		}
		if ideal := time.Duration(float64(tt.pullers) / tt.rate * float64(time.Second)); last > ideal*3/2 {
			t.Errorf("request %d: all pullers served after %v, the rate needs %v", tt.request, last, ideal)
		}
		if attempts > 6*tt.pullers {
			t.Errorf("request %d: %d attempts for %d pullers", tt.request, attempts, tt.pullers)
		}
		for s, n := range perSecond {
			if float64(n) > tt.rate+tt.burst {
				t.Errorf("request %d: %d pullers served in second %d", tt.request, n, s)
			}
		}
	}
}

func TestClockMovingBackDoesNotStopAdmission(t *testing.T) {
	t.Parallel()
	a := NewAdmission(random(3))
	for range 10 * int(fullBurst) {
		a.Admit(start, Full)
	}
	back := start.Add(-time.Hour)
	a.Admit(back, Full)
	if _, ok := a.Admit(back.Add(time.Second), Full).(Admitted); !ok {
		t.Error("no request is admitted a second after the clock moved back")
	}
}

// While members change and parents fail, are stale or are busy, a node must always have
// a parent that its own view allows, or a bounded delay before the next attempt.
func TestStatefulSelectorAlwaysHasParentOrWait(t *testing.T) {
	t.Parallel()
	const d, self = "d", "n3"
	rapid.Check(t, func(t *rapid.T) {
		records := map[string]membership.Record{}
		s, now := NewSelector(random(1)), start
		var position Position
		member := rapid.IntRange(0, 9)
		t.Repeat(map[string]func(*rapid.T){
			"member": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", member.Draw(t, "member"))
				state := membership.State(rapid.IntRange(int(membership.Starting), int(membership.Suspect)).Draw(t, "state"))
				records[name] = inState(name, d, state)
				var all []membership.Record
				for _, r := range records {
					all = append(all, r)
				}
				position = PositionOf(self, d, all)
				s.Update(position)
			},
			"pull": func(t *rapid.T) {
				r, wait := s.Next(now)
				if r.Instance() == "" {
					now = now.Add(wait)
					return
				}
				switch rapid.IntRange(0, 3).Draw(t, "answer") {
				case 0:
					s.Failed(now, r.Instance())
				case 1:
					s.Busy(now, r.Instance(), time.Duration(rapid.Int64Range(0, int64(maxRetryDelay)).Draw(t, "after")))
				default:
					s.Answered(now, r.Instance(), time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")))
				}
			},
			"jump": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "by")))
			},
			"": func(t *rapid.T) {
				for _, p := range position.Parents() {
					r := records[p.Instance()]
					if p.Instance() == self || r.State() != membership.Ready && r.State() != membership.Starting {
						t.Fatalf("record %v is no valid parent", r)
					}
				}
				r, wait := s.Next(now)
				if len(position.Parents()) > 0 && r.Instance() == "" && (wait <= 0 || wait > 2*holdDown) {
					t.Fatalf("no parent to pull from, wait %v", wait)
				}
				if len(position.Parents()) == 0 && !s.Orphaned(now) {
					t.Fatal("no parents and not orphaned")
				}
			},
		})
	})
}

// The nodes of a domain have the same view of the members. From each of them the
// path of first parents must end at a root after a few hops.
func TestStatefulEqualViewsHaveNoLoops(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var all []membership.Record
		for i := range rapid.IntRange(1, 120).Draw(t, "members") {
			state := rapid.SampledFrom([]membership.State{membership.Ready, membership.Ready, membership.Starting, membership.Draining}).Draw(t, "state")
			all = append(all, inState(fmt.Sprintf("n%d", i), "d", state))
		}
		for _, r := range all {
			instance, hops := r.Instance(), 0
			for {
				p := PositionOf(instance, "d", all)
				if len(p.Parents()) == 0 {
					break
				}
				if hops++; hops > 5 {
					t.Fatalf("%s is more than %d hops from a root", r.Instance(), hops)
				}
				instance = p.Parents()[0].Instance()
			}
		}
	})
}
