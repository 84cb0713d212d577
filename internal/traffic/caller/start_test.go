package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// emptyMesh is a directory without targets and a configuration without a version.
type emptyMesh struct{}

func (emptyMesh) Current() *snapshot.Snapshot        { return snapshot.Empty() }
func (emptyMesh) Targets(string) []membership.Record { return nil }

// Guards against callers who come back at once while all nodes start, and so use up their
// retries before any node has a configuration.
func TestCallersOfAStartingNodeAreToldWhenToComeBack(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	h := caller.New(emptyMesh{}, emptyMesh{}, hop.NewClient(clk), nil, clk,
		caller.WithHeaderNames(hop.NewHeaderNames(hop.FractionalRetryAfter())))
	started := clk.Now()
	for _, tc := range []struct{ uptime, least, most time.Duration }{
		{50 * time.Millisecond, 150 * time.Millisecond, 225 * time.Millisecond},
		{600 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond},
		{time.Minute, time.Second, 1500 * time.Millisecond},
	} {
		clk.Advance(tc.uptime - clk.Since(started))
		times := map[string]bool{}
		for range 20 {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/read", nil))
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			after := time.Duration(seconds * float64(time.Second))
			if w.Code != http.StatusServiceUnavailable || err != nil || after < tc.least || after > tc.most+time.Millisecond {
				t.Fatalf("%v after the start: status %d, Retry-After %q, want %v to %v", tc.uptime, w.Code, w.Header().Get("Retry-After"), tc.least, tc.most)
			}
			times[w.Header().Get("Retry-After")] = true
		}
		if len(times) < 5 {
			t.Errorf("%v after the start: 20 callers come back at %d times", tc.uptime, len(times))
		}
	}
}
