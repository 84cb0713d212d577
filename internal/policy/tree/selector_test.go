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

// selecting returns a selector with parents p0, p1, … in that order.
func selecting(n int) *Selector {
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

// A parent dies. The node goes to the next at once and stays there, rather than
// try the dead one before each pull; half a minute later it tries it again.
func TestANodeStaysWithItsBackup(t *testing.T) {
	t.Parallel()
	s := selecting(3)
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

// Parents that pull from each other in a loop answer all the time, but what they
// know of the root grows older. Once it is too old the node leaves them; if all
// are like that, it takes the least stale and is not alone.
func TestANodeLeavesAParentThatIsCutOffFromTheRoot(t *testing.T) {
	t.Parallel()
	s := selecting(3)
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
		t.Errorf("next %q, want the least stale, p1", got)
	}
	if s.Alone(at(aloneAfter)) {
		t.Error("alone though parents answer")
	}
}

// All parents are lost. The node asks on with growing pauses, and after one
// heartbeat acts as a root; the first answer ends that.
func TestANodeWithoutParentsActsAsARoot(t *testing.T) {
	t.Parallel()
	s := selecting(2)
	asked, now := 0, start
	for now.Before(at(10 * time.Second)) {
		r, wait := s.Next(now)
		if r.Instance() == "" {
			now = now.Add(wait)
			continue
		}
		asked++
		s.Failed(now, r.Instance())
		now = now.Add(10 * time.Millisecond)
	}
	if asked < 10 || asked > 60 {
		t.Errorf("asked %d times in 10 s", asked)
	}
	if s.Alone(at(aloneAfter-time.Millisecond)) || !s.Alone(at(aloneAfter)) {
		t.Errorf("not alone from %v on", aloneAfter)
	}
	s.Answered(now, "p1", 0)
	if s.Alone(now) || next(s, now) != "p1" {
		t.Error("an answer does not end it")
	}
	if !selecting(0).Alone(start) {
		t.Error("a node without parents is no root")
	}
}

// A relay is busy in a storm. A short wait is waited for; for a long one the
// node tries a backup.
func TestABusyParent(t *testing.T) {
	t.Parallel()
	s := selecting(2)
	s.Busy(start, "p0", worthWaiting)
	if r, wait := s.Next(start); r.Instance() != "" || wait != worthWaiting {
		t.Errorf("next %q, wait %v", r.Instance(), wait)
	}
	if got := next(s, at(worthWaiting)); got != "p0" {
		t.Errorf("after the wait %q, want p0", got)
	}
	s.Busy(at(worthWaiting), "p0", 3*time.Second)
	if got := next(s, at(worthWaiting)); got != "p1" {
		t.Errorf("next %q, want p1", got)
	}
}

// A node loses its parent in a storm of a thousand. Their second attempts must
// not come together: no 100 ms sees more than a quarter of them.
func TestBackoffSpreadsAHerd(t *testing.T) {
	t.Parallel()
	r := random(7)
	const herd = 1000
	var slots [40]int
	for range herd {
		b := NewBackoff(r)
		var wait time.Duration
		for range 4 {
			wait += b.Next()
		}
		slots[min(int(wait/(100*time.Millisecond)), len(slots)-1)]++
	}
	if most := slices.Max(slots[:]); most > herd/4 {
		t.Errorf("%d of %d come within 100 ms", most, herd)
	}
	b := NewBackoff(r)
	for range 100 {
		if wait := b.Next(); wait <= 0 || wait > maxBackoff+time.Millisecond {
			t.Fatalf("a wait of %v", wait)
		}
	}
}

// A thousand pullers come back to one relay in one moment, and each returns when
// it was told to. The relay answers at its rate throughout, and all are served
// in little more time than that rate needs.
func TestAdmissionInAStorm(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		what        Request
		rate, burst float64
		pullers     int
	}{
		{Resume, resumeRate, resumeBurst, 1000},
		{Full, fullRate, fullBurst, 190},
	} {
		a := NewAdmission(random(3))
		due := make([]time.Duration, tt.pullers)
		var served, asked int
		var last time.Duration
		perSecond := map[int]int{}
		for served < tt.pullers {
			i := 0
			for j := range due {
				if due[j] < due[i] {
					i = j
				}
			}
			asked++
			switch d := a.Admit(at(due[i]), tt.what).(type) {
			case Admitted:
				served++
				last = due[i]
				perSecond[int(due[i]/time.Second)]++
				due[i] = 1 << 62
			case ComeBack:
				due[i] += d.After
			}
		}
		if ideal := time.Duration(float64(tt.pullers) / tt.rate * float64(time.Second)); last > ideal*3/2 {
			t.Errorf("request %d: all served after %v, the rate needs %v", tt.what, last, ideal)
		}
		if asked > 6*tt.pullers {
			t.Errorf("request %d: asked %d times for %d pullers", tt.what, asked, tt.pullers)
		}
		for s, n := range perSecond {
			if float64(n) > tt.rate+tt.burst {
				t.Errorf("request %d: %d answers in second %d", tt.what, n, s)
			}
		}
	}
}

func TestAClockThatGoesBackDoesNotStopARelay(t *testing.T) {
	t.Parallel()
	a := NewAdmission(random(3))
	for range 10 * int(fullBurst) {
		a.Admit(start, Full)
	}
	back := start.Add(-time.Hour)
	a.Admit(back, Full)
	if _, ok := a.Admit(back.Add(time.Second), Full).(Admitted); !ok {
		t.Error("nobody is admitted a second after the jump")
	}
}

// Views of the members differ, members change, parents fail, stall and are
// busy. Whatever happens, a node's parents come before it in its own view, and
// it asks somebody or knows when it will.
func TestStatefulSelectorAlwaysGoesOn(t *testing.T) {
	t.Parallel()
	const d, self = "d", "n3"
	rapid.Check(t, func(t *rapid.T) {
		records := map[string]membership.Record{}
		s, now := NewSelector(random(1)), start
		var place Position
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
				place = Place(self, d, all)
				s.Update(place)
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
					s.Busy(now, r.Instance(), time.Duration(rapid.Int64Range(0, int64(maxWait)).Draw(t, "after")))
				default:
					s.Answered(now, r.Instance(), time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")))
				}
			},
			"jump": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "by")))
			},
			"": func(t *rapid.T) {
				for _, p := range place.Parents() {
					r := records[p.Instance()]
					if p.Instance() == self || r.State() != membership.Ready && r.State() != membership.Starting {
						t.Fatalf("parent %v", r)
					}
				}
				r, wait := s.Next(now)
				if len(place.Parents()) > 0 && r.Instance() == "" && (wait <= 0 || wait > 2*holdDown) {
					t.Fatalf("nobody to ask, wait %v", wait)
				}
				if len(place.Parents()) == 0 && !s.Alone(now) {
					t.Fatal("no parents and not alone")
				}
			},
		})
	})
}

// Nodes of a domain know different members and disagree about their states, so
// that some pull from each other in a loop, and some are down. Nobody may wait
// for good for word of a root: each that is up hears, or reads the store itself.
func TestStatefulDifferingViewsHearOfARoot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "members")
		r := random(rapid.Uint64().Draw(t, "seed"))
		knows, starts, isDown := rapid.IntRange(2, 10).Draw(t, "known of 10"), rapid.IntRange(0, 5).Draw(t, "starting of 10"), rapid.IntRange(0, 4).Draw(t, "down of 10")
		down := make([]bool, n)
		selectors := make([]*Selector, n)
		fresh := make([]time.Time, n)
		index := map[string]int{}
		for i := range n {
			index[fmt.Sprint("n", i)] = i
			down[i] = r.IntN(10) < isDown
			fresh[i] = start
		}
		for i := range n {
			var view []membership.Record
			for j := range n {
				state := membership.Ready
				if r.IntN(10) < starts {
					state = membership.Starting
				}
				if r.IntN(10) < knows {
					view = append(view, inState(fmt.Sprint("n", j), "d", state))
				}
			}
			selectors[i] = NewSelector(r)
			selectors[i].Update(Place(fmt.Sprint("n", i), "d", view))
		}
		now := start
		for range 60 {
			now = now.Add(membership.Heartbeat)
			for i, s := range selectors {
				// A node that finds a parent down asks the next at once.
				for range n {
					parent, _ := s.Next(now)
					if parent.Instance() == "" {
						break
					}
					if p := index[parent.Instance()]; !down[p] {
						s.Answered(now, parent.Instance(), now.Sub(fresh[p]))
						fresh[i] = fresh[p]
						break
					}
					s.Failed(now, parent.Instance())
				}
				if s.Alone(now) {
					fresh[i] = now
				}
			}
		}
		// Stale after staleAfter, patient for up to twice that, and then a few
		// hops: in a loop, the word of the one that lost patience goes round and
		// has to grow old again.
		for i := range n {
			if age := now.Sub(fresh[i]); !down[i] && age > 4*staleAfter {
				t.Fatalf("node %d of %d has heard nothing of a root for %v", i, n, age)
			}
		}
	})
}

// All nodes of a domain know the same members, in any states. Following the
// parents up from any of them ends at a root after a few hops, and never loops.
func TestStatefulEqualViewsHaveNoLoops(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var all []membership.Record
		for i := range rapid.IntRange(1, 120).Draw(t, "members") {
			state := rapid.SampledFrom([]membership.State{membership.Ready, membership.Ready, membership.Starting, membership.Draining}).Draw(t, "state")
			all = append(all, inState(fmt.Sprintf("n%d", i), "d", state))
		}
		for _, r := range all {
			at, hops := r.Instance(), 0
			for {
				p := Place(at, "d", all)
				if len(p.Parents()) == 0 {
					break
				}
				if hops++; hops > 5 {
					t.Fatalf("%s is more than %d hops from a root", r.Instance(), hops)
				}
				at = p.Parents()[0].Instance()
			}
		}
	})
}
