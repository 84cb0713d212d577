package target

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// suspectIDs returns the sorted ids of the suspects of a crash of a process.
func suspectIDs(f *inFlightCalls, now time.Time, process string) []string {
	var ids []string
	for _, s := range f.suspects(now, process) {
		ids = append(ids, s.id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against holding back a popular call because it is in flight at each crash of a
// target that completes it all the time.
func TestCallsThatAProcessHasCompletedAreNoSuspectsOfItsCrash(t *testing.T) {
	t.Parallel()
	var f inFlightCalls
	now := time.Unix(1_800_000_000, 0)
	newCall := func(id, process, path string) *call {
		return &call{id: id, r: httptest.NewRequest("GET", path, nil), meta: hop.NewMeta(hop.ToInstance(process))}
	}
	run := func(id, process, path string, result runResult) {
		c := newCall(id, process, path)
		f.begin(c)
		f.end(c, now, result)
	}
	run("popular", "p1", "/wall", runCompleted)
	run("given up", "p1", "/slow", runUnknown)
	for id, path := range map[string]string{"popular again": "/wall", "slow again": "/slow", "new": "/new"} {
		f.begin(newCall(id, "p1", path))
	}
	run("popular, broken", "p1", "/wall", runBroken)
	run("broken", "p1", "/other", runBroken)
	if diff := cmp.Diff([]string{"broken", "new", "slow again"}, suspectIDs(&f, now, "p1")); diff != "" {
		t.Error(diff)
	}
	run("successor's", "p2", "/new", runCompleted)
	if diff := cmp.Diff([]string{"broken", "popular again", "popular, broken", "slow again"}, suspectIDs(&f, now, "p2")); diff != "" {
		t.Errorf("after the successor has completed another call: %s", diff)
	}
}
