package caller_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// testRegister is a CrashRegister that no other node reports to.
type testRegister struct {
	mu       sync.Mutex
	register *poison.Register
}

func (r *testRegister) Held(c poison.Call) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Held(time.Now(), c)
}

func (r *testRegister) Completed(c poison.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.register.Completed(c)
}

func (r *testRegister) Marked(mark poison.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Marked(time.Now(), mark)
}

func (r *testRegister) Record(crash string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := poison.ParseCrash(crash); ok {
		r.register.Record(time.Now(), c)
	}
}

// Guards against a call whose tries crash one target after another faster than the nodes
// announce the crashes to each other.
func TestTriesInQuickSuccessionCrashAtMostTwoTargets(t *testing.T) {
	t.Parallel()
	const targets = 5
	var h *harness
	var mu sync.Mutex
	var trackers [targets]*lifecycle.Tracker
	refused := func(i int) func(string) {
		return func(id string) {
			mu.Lock()
			defer mu.Unlock()
			trackers[i].HandleConnectionRefused(id)
			h.targets[i].slots.SetProcess(trackers[i].Target())
		}
	}
	h = newHarness(t, harnessOptions{
		targets: targets,
		caller:  []caller.Option{caller.WithCrashRegister(&testRegister{register: poison.NewRegister()})},
		target:  func(i int) []target.Option { return []target.Option{target.OnConnRefused(refused(i))} },
	})
	ready := make([]membership.Record, targets)
	for i, s := range h.targets {
		id := "i-" + strconv.Itoa(i)
		trackers[i] = lifecycle.NewTracker()
		trackers[i].Open()
		trackers[i].HandleHeartbeat(lifecycle.NewHeartbeat(id, lifecycle.Slots(12)), 1)
		s.slots.SetProcess(trackers[i].Target())
		ready[i] = membership.NewRecord(s.record.Instance(), membership.Pool("quotes"), membership.Address(s.record.Address()),
			membership.TargetID(id), membership.InState(membership.Ready))
	}
	h.mu.Lock()
	h.ready = ready
	h.mu.Unlock()
	client := h.newHTTPClient()
	for range 2 * targets {
		h.do(client, h.newRequest(http.MethodGet, "/read?fault=crash", nil))
	}
	refusing := 0
	for _, s := range h.targets {
		if !accepts(s.local) {
			refusing++
		}
	}
	if refusing != 2 {
		t.Errorf("%d targets crashed", refusing)
	}
	got, _, _ := h.do(client, h.newRequest(http.MethodGet, "/read?fault=crash", nil))
	if got.Type != "held-back" {
		t.Errorf("answered %v", got)
	}
}

// markedRegister is a CrashRegister in which all long calls begin like one that was in flight at a crash.
type markedRegister struct{ testRegister }

func (*markedRegister) Marked(poison.Fingerprint) bool { return true }

// Guards against an examined call that ends as one that may have run because its target's node
// refuses it before it has read the body.
func TestExaminedCallsThatATargetsNodeRefusesHaveNotRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{
		targets: 1,
		caller:  []caller.Option{caller.WithCrashRegister(&markedRegister{testRegister{register: poison.NewRegister()}})},
	})
	leaving := lifecycle.NewTracker()
	leaving.Open()
	leaving.HandleHeartbeat(lifecycle.NewHeartbeat("i-0", lifecycle.Slots(12), lifecycle.Draining()), 1)
	h.targets[0].slots.SetProcess(leaving.Target())
	client := h.newHTTPClient()
	for _, size := range []int{48 << 10, 900 << 10, 3 << 20, 16 << 20} {
		for range 10 {
			req := h.newRequest(http.MethodPost, "/bind", nil)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
			if got, _, cut := h.do(client, req); got.Status != http.StatusServiceUnavailable || got.Outcome != http1.NotRun || cut {
				t.Errorf("%d bytes: answered %+v, cut off %v", size, got, cut)
			}
		}
	}
}

// completions is a CrashRegister that keeps which calls were completed.
type completions struct {
	testRegister
	marked bool
	calls  chan poison.Call
}

func (c *completions) Marked(poison.Fingerprint) bool { return c.marked }

func (c *completions) Completed(call poison.Call) { c.calls <- call }

// Guards against long uploads that stay suspected though targets complete them, as the caller's node
// has not examined those.
func TestCompletedLongCallsAreKnownToTheCallersNode(t *testing.T) {
	t.Parallel()
	var got [2][]poison.Call
	for i, marked := range []bool{false, true} {
		register := &completions{testRegister{register: poison.NewRegister()}, marked, make(chan poison.Call, 1)}
		h := newHarness(t, harnessOptions{targets: 1, caller: []caller.Option{caller.WithCrashRegister(register)}})
		client := h.newHTTPClient()
		for _, size := range []int{8 << 10, 48 << 10, 3 << 20} {
			for _, length := range []int{size, -1} {
				req := h.newRequest(http.MethodPost, "/bind", nil)
				req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(length)
				if answer, _, _ := h.do(client, req); answer.Status != http.StatusOK {
					t.Errorf("%d bytes: answered %+v", size, answer)
				}
				select {
				case call := <-register.calls:
					got[i] = append(got[i], call)
				case <-time.After(5 * time.Second):
					t.Errorf("%d bytes: the call is not known as completed", size)
				}
			}
		}
	}
	if diff := cmp.Diff(got[1], got[0], cmp.AllowUnexported(poison.Fingerprint{})); diff != "" {
		t.Errorf("completed calls that were not examined: -want +got %s", diff)
	}
}

func accepts(address netip.AddrPort) bool {
	conn, err := (&net.Dialer{}).Dial("tcp", address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
