package rollout

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// orderedRollout returns the rollout of an order for v2 with a status.
func orderedRollout(reported Status) Rollout {
	return Rollout{}.WithOrder(NewOrder("pool", "v2", 12*time.Second, 10)).WithStatus(reported)
}

// Guards against calls to a version that was not ordered, was rolled back, or was
// replaced before it took over.
func TestUnorderedAndBarredVersionsGetNoCalls(t *testing.T) {
	t.Parallel()
	shifted := NewProgress(10, noon, noon.Add(time.Second), nil, 13)
	for _, tc := range []struct {
		name                string
		r                   Rollout
		versions            string // a character for the version of each target, "-" for none
		current, candidates string // indexes of the targets
	}{
		{"one version, no order", Rollout{}, "aaa", "012", ""},
		{"two versions, no order", Rollout{}, "aabab", "013", ""},
		{"a target that reports no version", Rollout{}, "a-aab", "0123", ""},
		{"an order", orderedRollout(Status{}), "112", "01", "2"},
		{"an order reported as running", orderedRollout(NewStatus(Running, "v2", 11)), "1212", "02", "13"},
		{"in the shift", orderedRollout(Status{}).WithProgress(shifted), "12", "0", "1"},
		{"halted", orderedRollout(Status{}).WithHalt(10), "12", "0", ""},
		{"rolled back", orderedRollout(NewStatus(RolledBack, "v2", 11)), "12", "0", ""},
		{"rolled back, and no other left", orderedRollout(NewStatus(RolledBack, "v2", 11)), "22", "", ""},
		{"completed", orderedRollout(NewStatus(Completed, "v2", 11)), "12", "1", ""},
		{"completed, and none of its targets ready", orderedRollout(NewStatus(Completed, "v2", 11)), "11", "01", ""},
		{"the status of another version", orderedRollout(NewStatus(Completed, "v1", 11)), "12", "0", "1"},
		{"an order that replaces another", orderedRollout(NewStatus(Running, "v2", 11)).WithOrder(NewOrder("pool", "v3", time.Second, 20)), "123", "0", "2"},
		{"an order after a completed one", orderedRollout(NewStatus(Completed, "v2", 11)).WithOrder(NewOrder("pool", "v3", time.Second, 20)), "223", "01", "2"},
		{"an order for a version that was rolled back", orderedRollout(NewStatus(RolledBack, "v2", 11)).WithOrder(NewOrder("pool", "v2", time.Second, 20)), "12", "0", ""},
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
		if diff := cmp.Diff([]string{tc.current, tc.candidates}, []string{instances(g.Current()), instances(g.Candidates())}); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

func instances(records []membership.Record) string {
	out := ""
	for _, r := range records {
		out += r.Instance()
	}
	return out
}

// Guards against a final state that changes, and against a version that is called
// healthy without evidence.
func TestNextStepNeedsEvidenceAndKeepsAFinalState(t *testing.T) {
	t.Parallel()
	began := NewProgress(10, noon, time.Time{}, nil, 12)
	running := orderedRollout(NewStatus(Running, "v2", 11)).WithProgress(began)
	shifting := running.WithProgress(NewProgress(10, noon, noon.Add(time.Second), nil, 13))
	situation := func(change func(s *Situation)) Situation {
		out := Situation{Elapsed: time.Second, Limit: 0.1, Candidates: 3, Current: 3, CurrentClosed: true, MaxCallTime: 2 * time.Second, Verdict: Undecided{}}
		change(&out)
		return out
	}
	verdictAt := func(v Verdict, at time.Duration) Situation {
		return situation(func(s *Situation) { s.Verdict, s.Elapsed = v, at })
	}
	for _, tc := range []struct {
		name string
		r    Rollout
		s    Situation
		want Step
	}{
		{"no order", Rollout{}, verdictAt(Healthy{}, time.Minute), Wait{}},
		{"a new order", orderedRollout(Status{}), verdictAt(Undecided{}, 0), Begin{}},
		{"begun but not reported yet", orderedRollout(Status{}).WithProgress(began), verdictAt(Undecided{}, 0), Begin{}},
		{"healthy so far", running, verdictAt(Healthy{}, time.Second), Wait{}},
		{"healthy for long enough", running, verdictAt(Healthy{}, 9*time.Second), Shift{}},
		{"no evidence", running, verdictAt(Undecided{}, 9*time.Second), Wait{}},
		{"no evidence at the deadline", running, verdictAt(Undecided{}, 12*time.Second), Stop{ReasonNoEvidence}},
		{"faulty", running, verdictAt(Faulty{"read", ByFailures}, time.Second), Stop{"failures on route read"}},
		{"faulty in the shift", shifting, verdictAt(Faulty{"read", BySlowness}, time.Second), Stop{"slowness on route read"}},
		{"the shift goes on", shifting, situation(func(s *Situation) { s.SinceShift = time.Second }), Wait{}},
		{"the shift goes on past the deadline", shifting, situation(func(s *Situation) { s.SinceShift, s.Elapsed = time.Second, time.Minute }), Wait{}},
		{"the shift has ended, but calls are in flight", shifting, situation(func(s *Situation) { s.SinceShift, s.CurrentClosed = 3*time.Second, false }), Wait{}},
		{"the shift has ended", shifting, situation(func(s *Situation) { s.SinceShift = 3 * time.Second }), Complete{}},
		{"the shift has ended, and the longest call must have", shifting, situation(func(s *Situation) { s.SinceShift, s.CurrentClosed = 5*time.Second, false }), Complete{}},
		{"only the new version has targets", running, situation(func(s *Situation) { s.Current, s.Verdict = 0, Healthy{} }), Complete{}},
		{"reported as completed", orderedRollout(NewStatus(Completed, "v2", 11)), verdictAt(Faulty{"read", ByFailures}, time.Second), Wait{}},
		{"reported as rolled back", orderedRollout(NewStatus(RolledBack, "v2", 11)), verdictAt(Healthy{}, 9*time.Second), Wait{}},
		{"stopped, but a target may take calls", running.WithHalt(10), situation(func(s *Situation) { s.SinceStop = 2 * time.Second }), Stop{ReasonBarred}},
		{"stopped, and no target takes calls", running.WithHalt(10), situation(func(s *Situation) { s.CandidatesClosed = true }), RollBack{}},
		{"stopped, and the longest call must have ended", running.WithHalt(10), situation(func(s *Situation) { s.SinceStop = 3 * time.Second }), RollBack{}},
	} {
		if diff := cmp.Diff(tc.want, tc.r.Next(tc.s)); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// Guards against nodes that disagree on a rollout because they received its parts in
// different orders.
func TestRolloutsMergeInAnyOrder(t *testing.T) {
	t.Parallel()
	parts := []Rollout{
		orderedRollout(NewStatus(Running, "v2", 11)),
		orderedRollout(Status{}).WithProgress(NewProgress(10, noon, time.Time{}, []string{"v0"}, 12)),
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
				t.Errorf("merged from part %d on, a part is not covered", i)
			}
		}
	}
	if len(stages) != 1 {
		t.Errorf("the stage depends on the order of merging: %v", stages)
	}
}

// Guards against a burst of calls to the new version, beyond its share, after a time
// without capacity.
func TestExposureKeepsItsShare(t *testing.T) {
	t.Parallel()
	e, taken := NewExposure(0), 0
	share := Share(0.1, StageCanary, 0)
	for range 1000 {
		e.Credit(share)
	}
	for e.Take() {
		taken++
	}
	if taken > maxCredit {
		t.Errorf("%d calls at once after a time without capacity", taken)
	}
	for range 1000 {
		if e.Take() {
			taken++
		}
		e.Credit(share)
	}
	if float64(taken) > share*2000 {
		t.Errorf("%d of 2000 calls went to the new version, more than its share", taken)
	}
}
