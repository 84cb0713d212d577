package drain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a stopping node that passes on a call which its end would cut off, and
// against one that refuses calls which it has time for or which its own target depends on.
func TestStoppingNodePassesOnOnlyWhatEndsInTime(t *testing.T) {
	t.Parallel()
	const closing, end = 25, 56
	at := func(tenths int) time.Time { return time.Unix(1_800_000_000, int64(tenths)*int64(100*time.Millisecond)) }
	for _, tc := range []struct {
		name          string
		now, deadline int // in tenths of a second after the start of the stop
		service       int // in tenths of a second
		nested        bool
		want          int // the deadline of the attempt, or refused
	}{
		{"ends before the process, early", 1, 30, 6, false, 30},
		{"ends before the process, late", 50, 54, 6, false, 54},
		{"ends with the process", 50, end, 6, false, end},
		{"may outlast the process, before the node closes", 24, 74, 6, false, end},
		{"may outlast the process, as the node closes", 25, 57, 6, false, refused},
		{"has little more than its usual time, before the node closes", 24, 74, 30, false, refused},
		{"of an unknown service time, before the node closes", 24, 74, 0, false, end},
		{"may outlast the process, late", 52, 72, 6, false, refused},
		{"made by the node's target, may outlast the process", 43, 72, 6, true, end},
		{"made by the node's target, has little more than its usual time", 49, 72, 6, true, refused},
		{"made by the node's target, ends in time", 52, 55, 6, true, 55},
		{"after the end", 57, 77, 6, false, refused},
		{"made by the node's target, after the end", 57, 77, 6, true, refused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			call := NewCall(at(tc.deadline), time.Duration(tc.service)*100*time.Millisecond)
			if tc.nested {
				call = call.Nested()
			}
			g := NewGate()
			if got := g.Decide(at(tc.now), call); g.Stopping() || got != (Passed{at(tc.deadline)}) {
				t.Errorf("before the stop: %v", got)
			}
			g.Begin(at(closing), at(end))
			want := Decision(Refused{})
			if tc.want != refused {
				want = Passed{at(tc.want)}
			}
			if diff := cmp.Diff(want, g.Decide(at(tc.now), call), cmp.AllowUnexported(Passed{})); diff != "" {
				t.Error(diff)
			}
			if got, want := g.Limit(at(tc.deadline)), at(min(tc.deadline, end)); !got.Equal(want) {
				t.Errorf("limit %v, want %v", got, want)
			}
		})
	}
}

const refused = -1
