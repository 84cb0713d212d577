package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// reply is the response that a caller gets to a call.
type reply struct {
	Status  int
	Type    string
	Outcome http1.Outcome
}

// do makes a call and returns the caller's reply and its body; cut reports that the
// response was incomplete.
func (h *harness) do(c *http.Client, req *http.Request) (got reply, body string, cut bool) {
	resp, err := c.Do(req)
	if err != nil {
		return reply{}, "", true
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	got = reply{Status: resp.StatusCode, Outcome: http1.Outcome(resp.Header.Get(http1.OutcomeHeader))}
	if got.Outcome != "" {
		var refusal struct {
			Error   struct{ Type string }
			Outcome http1.Outcome
		}
		if json.Unmarshal(b, &refusal) != nil || refusal.Outcome != got.Outcome {
			h.t.Errorf("body %q does not match the outcome %s of the header", b, got.Outcome)
		}
		got.Type = refusal.Error.Type
	}
	return got, string(b), err != nil
}

func (h *harness) runs(key string) int {
	n := 0
	for _, s := range h.targets {
		n += s.app.Runs()[key]
	}
	return n
}

// If the target fails while it runs a call, the caller must get a typed refusal with an
// unknown outcome or a broken connection. Only a read may run twice.
func TestTargetFailuresAreReportedWithTypeAndOutcome(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, path string
		want       reply
		cut        bool
		runs       int
	}{
		{name: "closes the connection on a write", path: "/bind?fault=drop", want: reply{502, "no-answer", http1.Unknown}, runs: 1},
		{name: "closes the connection on a read", path: "/read?fault=drop", want: reply{502, "no-answer", http1.Unknown}, runs: 2},
		{name: "crashes in a write", path: "/bind?fault=crash", want: reply{502, "no-answer", http1.Unknown}, runs: 1},
		{name: "truncates a short answer", path: "/bind?fault=truncate&size=100", want: reply{502, "cut-off", http1.Unknown}, runs: 1},
		{name: "truncates a long answer", path: "/bind?fault=truncate&size=1000000", want: reply{Status: 200}, cut: true, runs: 1},
		{name: "sends an answer without length or chunks", path: "/bind?fault=unframed", want: reply{502, "bad-answer", http1.Unknown}, runs: 1},
		{name: "misses the deadline", path: "/short?sleep=10s", want: reply{504, "deadline", http1.Unknown}, runs: 1},
		{name: "answers with a server error", path: "/bind?size=0&status=500", want: reply{Status: 500}, runs: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, harnessOptions{targets: 3})
			got, _, cut := h.do(h.newHTTPClient(), h.newRequest("POST", tc.path, map[string]string{hop.KeyHeader: "k"}))
			if diff := cmp.Diff(tc.want, got); diff != "" || cut != tc.cut {
				t.Errorf("cut off %v\n%s", cut, diff)
			}
			if n := h.runs("k"); n != tc.runs {
				t.Errorf("ran %d times, want %d", n, tc.runs)
			}
		})
	}
}

// If a target's process or whole instance has stopped before a call, nothing was sent
// to it, so even a call that must not run twice must succeed on another target.
func TestUnsentCallsAreRetriedOnAnotherTarget(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(*testTarget){
		"the target's process": func(s *testTarget) { _ = s.app.Close() },
		"the whole instance":   func(s *testTarget) { _ = s.app.Close(); _ = s.node.Drain(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, harnessOptions{targets: 2})
			c := h.newHTTPClient()
			// Open connections to both, so that the stop closes some.
			for i := range 10 {
				h.do(c, h.newRequest("POST", "/bind?size=1", map[string]string{hop.KeyHeader: fmt.Sprint("warm", i)}))
			}
			stop(h.targets[0])
			for i := range 10 {
				key := fmt.Sprint("k", i)
				got, _, cut := h.do(c, h.newRequest("POST", "/bind?size=1", map[string]string{hop.KeyHeader: key}))
				if got.Status != http.StatusOK || cut || h.targets[1].app.Runs()[key] != 1 {
					t.Errorf("%+v, ran %d times", got, h.runs(key))
				}
			}
		})
	}
}

func TestUnsentCallsAreReportedAsNotRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	// Until the target has served a call, its listener may still accept connections
	// that are never served.
	if got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind?size=1", nil)); got.Status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	_ = h.targets[0].app.Close()
	want := reply{503, "unreachable", http1.NotRun}
	if got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind", nil)); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	h.mu.Lock()
	h.ready = nil
	h.mu.Unlock()
	want = reply{503, "no-target", http1.NotRun}
	if got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind", nil)); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestCallsThatCanNotBeServedAreRefusedByType(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	sealer := hop.NewSealer(fleetKey)
	parent := func(depth int) string {
		return sealer.Seal(hop.NewParent(hop.NewMeta(hop.ForOrganisation("visitor", snapshot.Trial), hop.Depth(depth)), h.clk.Now().Add(time.Minute)))
	}
	for _, tc := range []struct {
		name, path string
		header     map[string]string
		want       reply
	}{
		{"no key", "/read", map[string]string{"Authorization": ""}, reply{401, "unauthenticated", http1.NotRun}},
		{"another scheme", "/read", map[string]string{"Authorization": "Basic eDp5"}, reply{401, "unauthenticated", http1.NotRun}},
		{"an unknown key", "/read", map[string]string{"Authorization": "Bearer x"}, reply{401, "unauthenticated", http1.NotRun}},
		{"no route", "/elsewhere", nil, reply{404, "no-route", http1.NotRun}},
		{"a path with dots", "/read/../bind", nil, reply{400, "ambiguous-path", http1.NotRun}},
		{"a path with escaped dots", "/read/%2e%2e/bind", nil, reply{400, "ambiguous-path", http1.NotRun}},
		{"a path with an empty segment", "/read//x", nil, reply{400, "ambiguous-path", http1.NotRun}},
		{"an invalid deadline", "/read", map[string]string{hop.DeadlineHeader: "soon"}, reply{400, "bad-header", http1.NotRun}},
		{"a forged parent call", "/read", map[string]string{hop.CallHeader: "x"}, reply{401, "unknown-parent-call", http1.NotRun}},
		{"a call too deep", "/read", map[string]string{hop.CallHeader: parent(11)}, reply{508, "too-deep", http1.NotRun}},
		{"the deepest call", "/read?size=1", map[string]string{hop.CallHeader: parent(10)}, reply{Status: 200}},
		{"a key in its own header", "/read?size=1", map[string]string{"Authorization": "", "X-Api-Key": trialKey}, reply{Status: 200}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if got, _, _ := h.do(h.newHTTPClient(), h.newRequest("GET", tc.path, tc.header)); got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
		})
	}
}

// A trial caller sends the internal headers of another, paying organisation. The
// target must see the organisation and class of the API key.
func TestCallersCannotOverrideTheirClass(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	resp, err := h.newHTTPClient().Do(h.newRequest("GET", "/read?size=1", map[string]string{
		"Authorization": "Bearer " + trialKey, hop.ClassHeader: "paying", hop.OrganisationHeader: "harbour",
		hop.MetaHeader: "ms=1000 n=1 d=1 c=paying o=harbour p=quotes r=read x=once", "Connection": "X-Api-Key, Banyanlug-Class",
	}))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	got := resp.Header.Get("Seen-"+hop.OrganisationHeader) + " " + resp.Header.Get("Seen-"+hop.ClassHeader)
	if got != "visitor trial" {
		t.Errorf("the target saw %q", got)
	}
	if resp.Header.Get(hop.CallHeader) != "" {
		t.Error("the sealed call context was passed to the caller")
	}
}

// Nested calls, up to depth 11, must keep the organisation and class of the outermost
// call; the twelfth is refused.
func TestNestedCallsInheritOrganisationAndClass(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 2})
	for _, s := range h.targets {
		s.app.SetNextNode(h.url)
	}
	for _, tc := range []struct {
		key         string
		nestedCalls int
		status      int
		seen        string
	}{
		{payingKey, 10, http.StatusOK, "harbour paying"},
		{payingKey, 11, http.StatusLoopDetected, " "},
		{trialKey, 2, http.StatusOK, "visitor trial"},
	} {
		resp, err := h.newHTTPClient().Do(h.newRequest("GET", fmt.Sprintf("/read?size=4&deep=%d", tc.nestedCalls), map[string]string{"Authorization": "Bearer " + tc.key}))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		seen := resp.Header.Get("Seen-"+hop.OrganisationHeader) + " " + resp.Header.Get("Seen-"+hop.ClassHeader)
		if resp.StatusCode != tc.status || seen != tc.seen {
			t.Errorf("%d deep: status %d, the last target saw %q", tc.nestedCalls+1, resp.StatusCode, seen)
		}
	}
}

// A target's node must refuse peers that are not of its fleet, and calls for another
// pool, as after an address was reused; nothing may reach the target.
func TestTargetNodeRefusesUnknownPeersAndOtherPools(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	to := h.targets[0].record.Address()
	rt := snapshot.NewRoute("r", "/", "quoting", "others")
	meta := hop.NewMeta(hop.Remaining(time.Second), hop.ForOrganisation("harbour", snapshot.Paying), hop.ForRoute(rt))
	for _, tc := range []struct {
		name   string
		opts   []hop.Option
		status int
		kind   string
	}{
		{"an unauthenticated peer", nil, 401, "not-of-the-fleet"},
		{"a node of another fleet", []hop.Option{hop.WithCredential(hop.NewCredential("other"))}, 401, "not-of-the-fleet"},
		{"a call for another pool", []hop.Option{hop.WithCredential(hop.NewCredential(fleetKey))}, 421, "wrong-pool"},
	} {
		a, err := h.newHopClient(tc.opts...).Do(h.ctx, to,
			hop.NewRequest("GET", "/", "a", http.Header{}, hop.None{}, hop.WithMeta(meta)), h.clk.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		refusal, err := hop.ReadRefusal(a)
		a.Close()
		if err != nil || a.Status() != tc.status || refusal.Type != tc.kind || refusal.Outcome != http1.NotRun {
			t.Errorf("%s: %d %+v %v", tc.name, a.Status(), refusal, err)
		}
	}
	if n := h.targets[0].app.Total(); n != 0 {
		t.Errorf("%d calls reached the target", n)
	}
}

// If the caller disconnects while its call runs, the connection to the target must
// be closed and the slot freed.
func TestCancellationReachesTheTarget(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	ctx, cancel := context.WithCancel(h.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.do(h.newHTTPClient(), h.newRequest("GET", "/read?sleep=1h", nil).WithContext(ctx))
	}()
	app := h.targets[0].app
	h.eventually("the call runs", func() bool { return app.Running() == 1 })
	cancel()
	<-ended
	h.eventually("the call has ended at the target", func() bool { return app.Running() == 0 })
	h.eventually("its slot is free", func() bool { return h.targets[0].slots.Load().Running(snapshot.Paying) == 0 })
}

// eventually polls f, for about ten seconds at most, until it returns true.
func (h *harness) eventually(what string, f func() bool) {
	h.t.Helper()
	for range 10_000 {
		if f() {
			return
		}
		_ = h.clk.Sleep(h.ctx, time.Millisecond)
	}
	h.t.Fatalf("condition was never true: %s", what)
}

// If a caller disconnects in the middle of a long body, the target must not treat the
// part that it got as a complete body.
func TestTruncatedRequestBodyIsNotReadAsComplete(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /bind HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\nContent-Length: 200000\r\n\r\n%s", payingKey, strings.Repeat("x", 100000))
	app := h.targets[0].app
	h.eventually("the call runs", func() bool { return app.Running() == 1 })
	_ = conn.Close()
	h.eventually("the call has ended", func() bool { return app.Running() == 0 })
	if got := app.BodiesRead(); got != 0 {
		t.Errorf("the target read %d truncated bodies as complete", got)
	}
}

// If the caller does not read a long response, the nodes must buffer a bounded part of
// it and block the target's writes.
func TestSlowReaderAppliesBackpressureToTheTarget(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const size = 64 << 20
	fmt.Fprintf(conn, "GET /long?size=%d HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\n\r\n", size, payingKey)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	app := h.targets[0].app
	for range 50 {
		_ = h.clk.Sleep(h.ctx, time.Millisecond)
	}
	if app.Running() != 1 {
		t.Error("the target has written all 64 MiB though the caller has read none")
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A deadline that the caller sets below its route's must end the call, and the target
// must get no later one.
func TestACallersDeadlineIsPassedOn(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	want := reply{504, "deadline", http1.Unknown}
	if got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind?sleep=1h", map[string]string{hop.DeadlineHeader: "300"})); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	resp, err := h.newHTTPClient().Do(h.newRequest("GET", "/read?size=1", map[string]string{hop.DeadlineHeader: "2000"}))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	var ms int
	if _, err := fmt.Sscan(resp.Header.Get("Seen-"+hop.DeadlineHeader), &ms); err != nil || ms > 2000 || ms < 1 {
		t.Errorf("the target got a deadline of %d ms, %v", ms, err)
	}
}

// Fallback targets, such as those of a failure domain that seems partitioned, must be
// tried only when no regular target can take the call.
func TestFallbackTargetsAreTriedLast(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 2})
	h.mu.Lock()
	h.fallback = h.ready[1:]
	h.ready = h.ready[:1:1]
	h.mu.Unlock()
	for _, want := range []int{0, 1} {
		got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind?size=1", map[string]string{hop.KeyHeader: fmt.Sprint(want)}))
		if got.Status != http.StatusOK || h.targets[want].app.Runs()[fmt.Sprint(want)] != 1 {
			t.Errorf("%+v, not run by target %d", got, want)
		}
		_ = h.targets[0].app.Close()
	}
}

// With a limit of one concurrent call, a second call must be refused with Retry-After
// and must not run; once the first has ended, a new call is admitted.
func TestOrganisationLimitsAreEnforced(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1, caller: []caller.Option{caller.WithLimits(limit.NewLimiter(limit.InitialShare(1)))}})
	_, limited, err := h.config.Current().Next(snapshot.NewChange([]snapshot.Object{snapshot.NewLimit("harbour", 0, 1)}, nil), snapshot.Stamp{})
	if err != nil {
		t.Fatal(err)
	}
	h.config.snap.Store(limited)
	app := h.targets[0].app
	ctx, cancel := context.WithCancel(h.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.do(h.newHTTPClient(), h.newRequest("GET", "/read?sleep=1h", nil).WithContext(ctx))
	}()
	h.eventually("the first call runs", func() bool { return app.Running() == 1 })
	resp, err := h.newHTTPClient().Do(h.newRequest("POST", "/bind", map[string]string{hop.KeyHeader: "second"}))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" || h.runs("second") != 0 {
		t.Errorf("%d, Retry-After %q, ran %d times", resp.StatusCode, resp.Header.Get("Retry-After"), h.runs("second"))
	}
	cancel()
	<-ended
	h.eventually("a call is admitted again", func() bool {
		got, _, _ := h.do(h.newHTTPClient(), h.newRequest("GET", "/read?size=1", nil))
		return got.Status == http.StatusOK
	})
}

// levelLimits limits nothing and gives all organisations the same level.
type levelLimits struct {
	*limit.Limiter
	level int
}

func (l levelLimits) Level(time.Time, snapshot.Limit) int { return l.level }

// Guards against a level that does not reach the target's node, or that is sent for
// organisations without a limit.
func TestCallsCarryTheLevelOfTheirOrganisation(t *testing.T) {
	t.Parallel()
	set := metrics.NewSet()
	limits := levelLimits{limit.NewLimiter(limit.InitialShare(1)), 3}
	h := newHarness(t, harnessOptions{
		targets: 1, caller: []caller.Option{caller.WithLimits(limits)},
		target: func(int) []target.Option { return []target.Option{target.WithMetrics(set)} },
	})
	served := func(level int) uint64 {
		return set.GetOrCreateCounter(fmt.Sprintf(`banyanlug_target_level_calls_total{level="%d",outcome="served"}`, level)).Get()
	}
	h.do(h.newHTTPClient(), h.newRequest("GET", "/read?size=1", nil))
	if served(0) != 1 || served(3) != 0 {
		t.Errorf("without a limit %d calls have level 0, %d level 3", served(0), served(3))
	}
	_, limited, err := h.config.Current().Next(snapshot.NewChange([]snapshot.Object{snapshot.NewLimit("harbour", 0, 10)}, nil), snapshot.Stamp{})
	if err != nil {
		t.Fatal(err)
	}
	h.config.snap.Store(limited)
	h.do(h.newHTTPClient(), h.newRequest("GET", "/read?size=1", nil))
	if served(0) != 1 || served(3) != 1 {
		t.Errorf("with a limit %d calls have level 0, %d level 3", served(0), served(3))
	}
}

func TestEachEndedCallIsObserved(t *testing.T) {
	t.Parallel()
	seen := make(chan caller.Observation, 10)
	h := newHarness(t, harnessOptions{targets: 1, caller: []caller.Option{caller.WithObserver(func(o caller.Observation) { seen <- o })}})
	for _, tc := range []struct {
		path, want string
	}{
		{"/read?size=1", "quoting paying ok "},
		{"/read?size=1&status=503", "quoting paying target_error "},
		{"/bind?fault=drop", "quoting paying unknown no-answer"},
		{"/read//x", " paying not_run ambiguous-path"},
	} {
		h.do(h.newHTTPClient(), h.newRequest("GET", tc.path, nil))
		o := <-seen
		if got := fmt.Sprintf("%s %s %s %s", o.Service(), o.Class(), o.Ending(), o.Cause()); got != tc.want {
			t.Errorf("%s: observed %q, want %q", tc.path, got, tc.want)
		}
	}
}
