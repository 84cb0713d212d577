package target

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/poison"
)

// suspectIDs returns the sorted ids of the suspects of a crash.
func suspectIDs(f *inFlightCalls, now time.Time) []string {
	var ids []string
	for _, s := range f.suspects(now, true) {
		ids = append(ids, s.id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against holding back a popular call because it is in flight at each crash of a
// target that completes it all the time.
func TestCallsThatATargetHasCompletedAreNoSuspectsOfItsCrash(t *testing.T) {
	t.Parallel()
	var h Handler
	f := &h.inFlight
	now := time.Unix(1_800_000_000, 0)
	newCall := func(id, path string) *call { return &call{id: id, r: httptest.NewRequest("GET", path, nil)} }
	run := func(id, path string, result runResult) {
		c := newCall(id, path)
		f.begin(c)
		f.end(c, now, result)
	}
	run("popular", "/wall?page=1", runCompleted)
	run("given up", "/slow", runUnknown)
	for id, path := range map[string]string{"popular again": "/wall?page=1", "another query": "/wall?page=2", "slow again": "/slow", "new": "/new"} {
		f.begin(newCall(id, path))
	}
	run("popular, broken", "/wall?page=1", runBroken)
	run("broken", "/other", runBroken)
	if diff := cmp.Diff([]string{"another query", "broken", "new", "slow again"}, suspectIDs(f, now)); diff != "" {
		t.Error(diff)
	}
	for _, s := range f.suspects(now, true) {
		if content := s.call.Content != (poison.Fingerprint{}); content == (s.id == "another query") {
			t.Errorf("%s: its content is suspected: %v", s.id, content)
		}
	}
	h.ForgetCompleted()
	if diff := cmp.Diff([]string{"another query", "broken", "new", "popular again", "popular, broken", "slow again"}, suspectIDs(f, now)); diff != "" {
		t.Errorf("another version: %s", diff)
	}
}

// Guards against a report that lacks the call that caused the crash, because calls that broke
// before fill it.
func TestTheLatestSuspectsComeFirst(t *testing.T) {
	t.Parallel()
	var f inFlightCalls
	now := time.Unix(1_800_000_000, 0)
	begin := func(id string) *call {
		c := &call{id: id, r: httptest.NewRequest("GET", "/"+id, nil)}
		f.begin(c)
		return c
	}
	for _, id := range []string{"oldest", "older", "newest"} {
		f.end(begin(id), now, runBroken)
	}
	begin("running")
	var ids []string
	for _, s := range f.suspects(now, true) {
		ids = append(ids, s.id)
	}
	if diff := cmp.Diff([]string{"running", "newest", "older", "oldest"}, ids); diff != "" {
		t.Error(diff)
	}
}

// Guards against holding back calls that go on at a target which was taken for replaced.
func TestRunningCallsAreNoSuspectsIfTheTargetLives(t *testing.T) {
	t.Parallel()
	var f inFlightCalls
	now := time.Unix(1_800_000_000, 0)
	f.begin(&call{id: "running", r: httptest.NewRequest("GET", "/running", nil)})
	broken := &call{id: "broken", r: httptest.NewRequest("GET", "/broken", nil)}
	f.begin(broken)
	f.end(broken, now, runBroken)
	if got := f.suspects(now, false); len(got) != 1 || got[0].id != "broken" {
		t.Errorf("suspects: %v", got)
	}
}
