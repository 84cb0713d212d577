package target

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/hop"
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

// Guards against harmless calls that are suspected of a crash by a first part which they share
// with others, and against a deadly one that is cleared by it.
func TestLongCallsAreSuspectedByWhatTellsThemApart(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	begin := func(f *inFlightCalls, id, body string, examined, read bool) *call {
		r := httptest.NewRequest("POST", "/up", strings.NewReader(body))
		w := httptest.NewRecorder()
		first, err := hop.ReadBody(w, httptest.NewRequest("POST", "/up", strings.NewReader(body)), now)
		if err != nil {
			t.Fatal(err)
		}
		readAll := func(b hop.Body) {
			if err := b.(*hop.Stream).Examine(func(int) bool { return true }); err != nil {
				t.Fatal(err)
			}
		}
		if examined {
			readAll(first)
		}
		c := &call{id: id, r: r, meta: hop.NewMeta(hop.ForBody(first))}
		if c.body, err = hop.ReceiveBody(w, r, c.meta, now); err != nil {
			t.Fatal(err)
		}
		f.begin(c)
		if read {
			readAll(c.body)
		}
		return c
	}
	alike := strings.Repeat("=", hop.ReplayBytes)
	for _, tc := range []struct {
		name           string
		completed      string
		examined, read bool
		calls, marks   int // of the report
	}{
		{"others were completed", "x" + alike, false, true, 1, 1},
		{"others were completed, not read to its end", "x" + alike, false, false, 0, 1},
		{"one that begins alike was completed", alike + "2", false, true, 1, 1},
		{"one that begins alike was completed, not read to its end", alike + "2", false, false, 0, 1},
		{"one that begins alike was completed, examined", alike + "2", true, false, 1, 1},
		{"itself was completed", alike + "1", false, true, 0, 0},
		{"itself was completed, examined", alike + "1", true, false, 0, 0},
		{"itself was completed, not read to its end", alike + "1", false, false, 0, 1},
	} {
		var f inFlightCalls
		f.end(begin(&f, "completed", tc.completed, false, true), now, runCompleted)
		c := begin(&f, "suspect", alike+"1", tc.examined, tc.read)
		check := func(state string, suspects []Suspect) {
			report := CrashReport(poison.Process{}, now, suspects)
			if len(report.InFlight) != tc.calls || len(report.Marks) != tc.marks {
				t.Errorf("%s, %s: %d calls and %d marks, want %d and %d", tc.name, state, len(report.InFlight), len(report.Marks), tc.calls, tc.marks)
			}
		}
		check("while it runs", f.suspects(now, true))
		if s, ok := f.end(c, now, runBroken); ok {
			check("once it broke", []Suspect{s})
		} else {
			check("once it broke", nil)
		}
	}
}

// Guards against a report that is filled by the marks of calls that begin alike.
func TestCallsThatBeginAlikeHaveOneMark(t *testing.T) {
	t.Parallel()
	mark := poison.Description{Path: "/up"}.Mark()
	report := CrashReport(poison.Process{}, time.Time{}, []Suspect{{mark: mark}, {mark: mark}})
	if len(report.Marks) != 1 || len(report.InFlight) != 0 {
		t.Errorf("report: %v", report)
	}
}
