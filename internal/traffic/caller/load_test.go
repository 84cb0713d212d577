package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// loadGenerator makes calls on several connections until stopped, each with its own
// idempotency key, and records the replies by key.
type loadGenerator struct {
	r       *harness
	mu      sync.Mutex
	replies map[string]reply
	bodies  map[string]string
	cut     map[string]bool
	n       atomic.Int64
	stop    atomic.Bool
	wg      sync.WaitGroup
}

func (h *harness) startLoad(conns int, path func(n int64) string, apiKey string) *loadGenerator {
	g := &loadGenerator{r: h, replies: map[string]reply{}, bodies: map[string]string{}, cut: map[string]bool{}}
	for range conns {
		g.wg.Go(func() {
			client := h.newHTTPClient()
			for !g.stop.Load() {
				n := g.n.Add(1)
				key := fmt.Sprint("k", n)
				got, body, cut := h.do(client, h.newRequest("POST", path(n), map[string]string{
					hop.KeyHeader: key, "Authorization": "Bearer " + apiKey,
				}))
				g.mu.Lock()
				g.replies[key], g.bodies[key], g.cut[key] = got, body, cut
				g.mu.Unlock()
			}
		})
	}
	return g
}

// waitForCalls waits until n more calls have been started.
func (g *loadGenerator) waitForCalls(n int64) {
	end := g.n.Load() + n
	g.r.eventually("further calls are started", func() bool { return g.n.Load() >= end })
}

func (g *loadGenerator) stopAndWait() {
	g.stop.Store(true)
	g.wg.Wait()
}

// Draining a target's node under load must neither fail a call nor run one twice.
func TestDrainOfATargetsNodeFailsNoCall(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 2})
	load := h.startLoad(8, func(int64) string { return "/bind?size=100&sleep=2ms" }, payingKey)
	load.waitForCalls(100)
	if err := h.targets[0].node.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if running := h.targets[0].app.Running(); running != 0 {
		t.Errorf("%d calls still ran after the drain", running)
	}
	_ = h.targets[0].app.Close()
	load.waitForCalls(100)
	load.stopAndWait()
	for key, got := range load.replies {
		if got.Status != http.StatusOK || load.cut[key] || h.runs(key) != 1 {
			t.Errorf("%s: %+v, cut off %v, ran %d times: %s", key, got, load.cut[key], h.runs(key), load.bodies[key])
		}
	}
}

// Draining the callers' node under load must let running calls complete and refuse
// new ones as not run.
func TestDrainOfTheCallersNodeBreaksNoRunningCall(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 2})
	load := h.startLoad(8, func(int64) string { return "/bind?size=100&sleep=2ms" }, payingKey)
	load.waitForCalls(100)
	if err := h.caller.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	load.stopAndWait()
	refused := 0
	for key, got := range load.replies {
		switch runs := h.runs(key); {
		case got.Status == http.StatusOK && runs == 1:
		case got.Outcome == http1.NotRun && runs == 0:
			refused++
		case load.cut[key] && got.Status == 0 && runs == 0:
			// The node no longer listens, or the connection was still in its backlog.
		default:
			t.Errorf("%s: %+v, cut off %v, ran %d times", key, got, load.cut[key], runs)
		}
	}
	if refused == 0 {
		t.Error("no call was refused by the drain")
	}
}

// While targets fail, a call that must not run twice must run at most once: never if it is
// reported as not run, exactly once if its response is complete.
func TestFaultsUnderLoadNeverRunACallTwice(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 3})
	faults := []string{"", "", "&fault=drop", "&fault=truncate", "", "&fault=unframed", "&status=503"}
	load := h.startLoad(8, func(n int64) string {
		return "/bind?size=100&sleep=1ms" + faults[n%int64(len(faults))]
	}, payingKey)
	load.waitForCalls(100)
	_ = h.targets[0].app.Close()
	load.waitForCalls(100)
	_ = h.targets[1].node.Drain(context.Background())
	load.waitForCalls(100)
	load.stopAndWait()
	for key, got := range load.replies {
		runs := h.runs(key)
		violated := runs > 1 || got.Outcome == http1.NotRun && runs != 0 || got.Status == http.StatusOK && !load.cut[key] && runs != 1
		if violated {
			t.Errorf("%s: %+v, cut off %v, ran %d times", key, got, load.cut[key], runs)
		}
	}
}

// A flood of trial calls must never use more than the slots that are not promised,
// and a paying call must succeed meanwhile.
func TestTrialCallsNeverTakePromisedSlots(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	slots := h.targets[0].slots
	var peak atomic.Int64
	load := h.startLoad(40, func(int64) string { return "/bind?size=1&sleep=5ms" }, trialKey)
	// On a busy machine the calls begin late.
	for i := 0; i < 200 || peak.Load() == 0 && i < 20_000; i++ {
		peak.Store(max(peak.Load(), int64(slots.Load().Running(snapshot.Trial))))
		_ = h.clk.Sleep(h.ctx, 1e6)
	}
	got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", "/bind?size=1", nil))
	load.stopAndWait()
	if got.Status != http.StatusOK {
		t.Errorf("the paying caller got %+v", got)
	}
	if n := peak.Load(); n == 0 || n > 4 {
		t.Errorf("peak of %d concurrent trial calls, want 1 to 4: 4 slots are not promised", n)
	}
	if n := h.targets[0].app.MaxRunning(); n > 5 {
		t.Errorf("peak of %d concurrent calls at the target, want at most 5", n)
	}
	for key, got := range load.replies {
		if got.Outcome == http1.NotRun && h.runs(key) != 0 {
			t.Errorf("%s: %+v, ran %d times", key, got, h.runs(key))
		}
	}
}

// A too-late refusal must apply only to the call that got it: calls with a later
// deadline must still be sent to the same target.
func TestTooLateRefusalAppliesToOneCall(t *testing.T) {
	t.Parallel()
	h := newHarness(t, harnessOptions{targets: 1})
	makeCalls := func(calls int, path string) *sync.WaitGroup {
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				if got, body, _ := h.do(h.newHTTPClient(), h.newRequest("GET", path, nil)); got.Status != http.StatusOK {
					t.Errorf("a call with enough time got %+v: %s", got, body)
				}
			})
		}
		return &wg
	}
	const oneSecondCall = "/read?size=10&sleep=1s"
	makeCalls(12, oneSecondCall).Wait()
	long := makeCalls(12, oneSecondCall)
	h.eventually("all slots are in use", func() bool { return h.targets[0].app.Running() == 12 })
	got, body, _ := h.do(h.newHTTPClient(), h.newRequest("GET", oneSecondCall, map[string]string{hop.DeadlineHeader: "500"}))
	if diff := cmp.Diff(reply{503, "too-late", http1.NotRun}, got); diff != "" {
		t.Errorf("the call with a short deadline: %s: %s", diff, body)
	}
	makeCalls(5, "/read?size=10").Wait()
	long.Wait()
}
