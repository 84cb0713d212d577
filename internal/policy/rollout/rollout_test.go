package rollout

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// ordered is an order for v2, with what was told of it.
func ordered(told Status) Rollout {
	return Rollout{}.WithOrder(NewOrder("pool", "v2", 12*time.Second, 10)).WithStatus(told)
}

// Guards against calls to a version that has no order, was rolled back or was replaced
// before it had proved itself.
func TestWhichTargetsGetCalls(t *testing.T) {
	t.Parallel()
	shifted := NewProgress(10, noon, noon.Add(time.Second), nil, 13)
	for _, tc := range []struct {
		name                string
		r                   Rollout
		versions            string
		current, candidates string
	}{
		{"one version, no order", Rollout{}, "aaa", "012", ""},
		{"two versions, no order", Rollout{}, "aabab", "013", ""},
		{"one that tells no version", Rollout{}, "a-aab", "0123", ""},
		{"an order", ordered(Status{}), "112", "01", "2"},
		{"an order told to run", ordered(NewStatus(Running, "v2", 11)), "1212", "02", "13"},
		{"in the shift", ordered(Status{}).WithProgress(shifted), "12", "0", "1"},
		{"halted", ordered(Status{}).WithHalt(10), "12", "0", ""},
		{"rolled back", ordered(NewStatus(RolledBack, "v2", 11)), "12", "0", ""},
		{"rolled back, and no other left", ordered(NewStatus(RolledBack, "v2", 11)), "22", "", ""},
		{"completed", ordered(NewStatus(Completed, "v2", 11)), "12", "1", ""},
		{"completed, and all of it down", ordered(NewStatus(Completed, "v2", 11)), "11", "01", ""},
		{"what was told of another version", ordered(NewStatus(Completed, "v1", 11)), "12", "0", "1"},
		{"an order that another replaces", ordered(NewStatus(Running, "v2", 11)).WithOrder(NewOrder("pool", "v3", time.Second, 20)), "123", "0", "2"},
		{"a next order after a completed one", ordered(NewStatus(Completed, "v2", 11)).WithOrder(NewOrder("pool", "v3", time.Second, 20)), "223", "01", "2"},
		{"an order for what was rolled back", ordered(NewStatus(RolledBack, "v2", 11)).WithOrder(NewOrder("pool", "v2", time.Second, 20)), "12", "0", ""},
	} {
		var records []membership.Record
		for i, v := range tc.versions {
			version := "v" + string(v)
			if v == '-' {
				version = ""
			}
			records = append(records, membership.NewRecord(string(rune('0'+i)), membership.Version(version)))
		}
		g := tc.r.Groups(records, 0.1)
		if diff := cmp.Diff([]string{tc.current, tc.candidates}, []string{names(g.Current()), names(g.Candidates())}); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

func names(records []membership.Record) string {
	out := ""
	for _, r := range records {
		out += r.Instance()
	}
	return out
}

// Guards against an end that is told and then changed, and against a version that is
// called sound without evidence.
func TestTheNextStep(t *testing.T) {
	t.Parallel()
	began := NewProgress(10, noon, time.Time{}, nil, 12)
	running := ordered(NewStatus(Running, "v2", 11)).WithProgress(began)
	shifting := running.WithProgress(NewProgress(10, noon, noon.Add(time.Second), nil, 13))
	s := func(change func(s *Situation)) Situation {
		out := Situation{Elapsed: time.Second, Limit: 0.1, Candidates: 3, Current: 3, Idle: true, Longest: 2 * time.Second, Verdict: Undecided{}}
		change(&out)
		return out
	}
	late := func(v Verdict, at time.Duration) Situation {
		return s(func(s *Situation) { s.Verdict, s.Elapsed = v, at })
	}
	for _, tc := range []struct {
		name string
		r    Rollout
		s    Situation
		want Step
	}{
		{"no order", Rollout{}, late(Healthy{}, time.Minute), Wait{}},
		{"a new order", ordered(Status{}), late(Undecided{}, 0), Begin{}},
		{"taken on, and not told yet", ordered(Status{}).WithProgress(began), late(Undecided{}, 0), Begin{}},
		{"sound so far", running, late(Healthy{}, time.Second), Wait{}},
		{"sound for long enough", running, late(Healthy{}, 9*time.Second), Shift{}},
		{"nothing is known", running, late(Undecided{}, 9*time.Second), Wait{}},
		{"nothing is known at the deadline", running, late(Undecided{}, 12*time.Second), RollBack{ReasonNoEvidence}},
		{"faulty", running, late(Faulty{"read", ByFailures}, time.Second), RollBack{"failures on route read"}},
		{"faulty in the shift", shifting, late(Faulty{"read", BySlowness}, time.Second), RollBack{"slowness on route read"}},
		{"the shift goes on", shifting, s(func(s *Situation) { s.SinceShift = time.Second }), Wait{}},
		{"the shift goes on past the deadline", shifting, s(func(s *Situation) { s.SinceShift, s.Elapsed = time.Second, time.Minute }), Wait{}},
		{"all has shifted, and calls still run", shifting, s(func(s *Situation) { s.SinceShift, s.Idle = 3*time.Second, false }), Wait{}},
		{"all has shifted", shifting, s(func(s *Situation) { s.SinceShift = 3 * time.Second }), Complete{}},
		{"all has shifted, and none of the calls can run any more", shifting, s(func(s *Situation) { s.SinceShift, s.Idle = 5*time.Second, false }), Complete{}},
		{"only the new version is there", running, s(func(s *Situation) { s.Current, s.Verdict = 0, Healthy{} }), Complete{}},
		{"told to be completed", ordered(NewStatus(Completed, "v2", 11)), late(Faulty{"read", ByFailures}, time.Second), Wait{}},
		{"told to be rolled back", ordered(NewStatus(RolledBack, "v2", 11)), late(Healthy{}, 9*time.Second), Wait{}},
		{"halted and not told yet", running.WithHalt(10), late(Healthy{}, 9*time.Second), RollBack{ReasonBarred}},
	} {
		if diff := cmp.Diff(tc.want, tc.r.Next(tc.s)); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// Guards against nodes that settle on different rollouts as news reach them in another
// order.
func TestRolloutsMergeInAnyOrder(t *testing.T) {
	t.Parallel()
	parts := []Rollout{
		ordered(NewStatus(Running, "v2", 11)),
		ordered(Status{}).WithProgress(NewProgress(10, noon, time.Time{}, []string{"v0"}, 12)),
		Rollout{}.WithOrder(NewOrder("pool", "v3", time.Second, 20)).WithStatus(NewStatus(Running, "v3", 22)),
		Rollout{}.WithHalt(10),
	}
	stages := map[Stage]bool{}
	for i := range parts {
		r := Rollout{}
		for j := range parts {
			r = r.Merge(parts[(i+j)%len(parts)])
		}
		stages[r.Stage()] = true
		for _, p := range parts {
			if !r.Covers(p) {
				t.Errorf("from part %d on, a part is not covered", i)
			}
		}
	}
	if len(stages) != 1 {
		t.Errorf("stages %v", stages)
	}
}

// Guards against more calls to an unproven version than its share of what reached the
// pool, as it has had no room for a while.
func TestExposureKeepsItsShare(t *testing.T) {
	t.Parallel()
	e, taken := NewExposure(0), 0
	share := Share(0.1, StageCanary, 0)
	for range 1000 {
		e.Reached(share)
	}
	for e.Take() {
		taken++
	}
	if taken > maxCredit {
		t.Errorf("%d at once after a while without any", taken)
	}
	for range 1000 {
		if e.Take() {
			taken++
		}
		e.Reached(share)
	}
	if float64(taken) > share*2000 {
		t.Errorf("%d of 2000", taken)
	}
}
