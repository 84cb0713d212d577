package caller_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/overload"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// If a target's node is overloaded, each call must succeed at another target and run once,
// also on a route without retries, and the node must get no further calls for some seconds.
func TestCallsRefusedAsOverloadedRunAtAnotherTarget(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"must not run twice": "/bind?size=1", "no retries": "/short?size=1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set, slow := metrics.NewSet(), overload.NewController()
			h := newHarness(t, harnessOptions{
				targets: 2,
				slots: func(i int) []target.SlotsOption {
					return []target.SlotsOption{target.WithOverload([]*overload.Controller{slow, nil}[i])}
				},
				target: func(i int) []target.Option {
					return []target.Option{target.WithMetrics([]*metrics.Set{set, metrics.NewSet()}[i])}
				},
			})
			for range 10 {
				slow.Observe(h.clk.Now(), 25*time.Millisecond, 3*time.Second)
			}
			c := h.newHTTPClient()
			for i := range 40 {
				key := fmt.Sprint("k", i)
				got, _, cut := h.do(c, h.newRequest("POST", path, map[string]string{hop.KeyHeader: key}))
				if got.Status != http.StatusOK || cut || h.runs(key) != 1 || h.targets[0].app.Runs()[key] != 0 {
					t.Errorf("%+v, cut off %v, ran %d times", got, cut, h.runs(key))
				}
			}
			refusals := set.GetOrCreateCounter(`banyanlug_target_refusals_total{type="overloaded",outcome="not-run"}`).Get()
			if refusals != 1 {
				t.Errorf("the overloaded node refused %d calls, want only the first", refusals)
			}
		})
	}
}

// A call that its own node has no time to carry must be refused at once and as not run;
// while there is time, its node must carry it although it is overloaded.
func TestNodeRefusesOnlyCallsThatItHasNoTimeToCarry(t *testing.T) {
	t.Parallel()
	slow := overload.NewController()
	h := newHarness(t, harnessOptions{targets: 1, caller: []caller.Option{caller.WithOverload(slow)}})
	for range 10 {
		slow.Observe(h.clk.Now(), 25*time.Millisecond, 500*time.Millisecond)
	}
	c := h.newHTTPClient()
	want := reply{503, hop.KindOverloaded, http1.NotRun}
	if got, _, _ := h.do(c, h.newRequest("POST", "/short", map[string]string{hop.KeyHeader: "k"})); got != want || h.runs("k") != 0 {
		t.Errorf("%+v, want %+v; ran %d times", got, want, h.runs("k"))
	}
	if got, _, _ := h.do(c, h.newRequest("POST", "/bind?size=1", nil)); got.Status != http.StatusOK {
		t.Errorf("%+v with 5 s left", got)
	}
}

// Guards against calls that wait at a target's node and run after the target's version was stopped.
func TestCallsThatWaitDoNotRunOnceTheirTargetsVersionIsStopped(t *testing.T) {
	t.Parallel()
	var stopped atomic.Bool
	admits := func() bool { return !stopped.Load() }
	observe := func(string, time.Duration, bool) {}
	h := newHarness(t, harnessOptions{
		targets: 1,
		target:  func(int) []target.Option { return []target.Option{target.WithRollout(admits, observe)} },
	})
	client, slots := h.newHTTPClient(), h.targets[0].slots
	var calls sync.WaitGroup
	for i := range 18 {
		calls.Go(func() {
			h.do(client, h.newRequest(http.MethodPost, "/bind?sleep=300ms", map[string]string{hop.KeyHeader: fmt.Sprint("k", i)}))
		})
	}
	for slots.Load().Running(snapshot.Paying) < 12 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	stopped.Store(true)
	calls.Wait()
	if n := len(h.targets[0].app.Runs()); n != 12 {
		t.Errorf("%d calls ran, 12 were running when the version was stopped", n)
	}
}
