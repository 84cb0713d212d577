package fleet

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Versions arrive concurrently and out of order, and the newest is invalid. The node must
// apply the newest valid one, skip those between and never go back; a version after the
// series must be applied.
func TestSeriesOutOfOrderWithAnInvalidNewest(t *testing.T) {
	t.Parallel()
	clk, stop := timer.Start()
	defer stop()
	var decoded []string
	f := New(newFakeStore(clk), clk, membership.NewRecord("n1", membership.Domain("a")), configKey, func(b []byte) (*snapshot.Snapshot, error) {
		decoded = append(decoded, string(b)) // the race detector reports concurrent calls
		_ = clk.Sleep(context.Background(), 50*time.Millisecond)
		return decodeNumber(b)
	})
	var arrivals sync.WaitGroup
	arrive := func(announced uint64, text string) {
		arrivals.Go(func() {
			before := f.Current().Version()
			f.applyConfig(announced, []byte(text), "a test")
			if after := f.Current().Version(); after < before {
				t.Errorf("went back from %d to %d", before, after)
			}
		})
		_ = clk.Sleep(context.Background(), 5*time.Millisecond)
	}
	arrive(1, "1")
	for _, n := range []uint64{3, 5, 4, 2, 5} {
		arrive(n, strconv.FormatUint(n, 10))
	}
	arrive(6, "invalid")
	arrivals.Wait()
	if v := f.Current().Version(); v != 5 {
		t.Errorf("version %d is active, not 5", v)
	}
	if len(decoded) != 3 {
		t.Errorf("decoded %q, where 1, the invalid one and 5 are needed", decoded)
	}
	if f.ApplyTime() < 50*time.Millisecond {
		t.Errorf("applying took %v, at least 50 ms", f.ApplyTime())
	}
	arrive(7, "7")
	arrivals.Wait()
	if v := f.Current().Version(); v != 7 {
		t.Errorf("version %d is active, not 7", v)
	}
}

// A node that restarts in a series must get the last version, as must all others.
func TestANodeThatRestartsInASeriesIsNotLeftBehind(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2", "n3")
	h.waitForStart("n1", "n2", "n3")
	const last = 30
	for i := 2; i <= last; i++ {
		h.store.put(configKey, []byte(strconv.Itoa(i)))
		switch i {
		case 10:
			h.nodes["n2"].stop()
		case 20:
			h.start("n2", 9)
		}
		_ = h.clk.Sleep(context.Background(), 30*time.Millisecond)
	}
	for _, n := range []string{"n1", "n2", "n3"} {
		h.waitForVersion(n, last)
	}
}
