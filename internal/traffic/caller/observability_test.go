package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// first returns the fields of the first line with an event code, or nil.
func (l *logBuffer) first(code event.Code) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.buf.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == float64(code) {
			return fields
		}
	}
	return nil
}

// A call without a route has no deadline, so its log line must not have left_ms.
func TestFailedCallLogHasTimeLeftOnlyIfARouteMatched(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path   string
		status int
		left   bool
	}{
		{"/nowhere", http.StatusNotFound, false},
		{"/bind?size=1", http.StatusServiceUnavailable, true},
	} {
		log := &logBuffer{}
		h := newHarness(t, harnessOptions{caller: []caller.Option{caller.WithCallLog(event.New(log, "n"))}})
		got, _, _ := h.do(h.newHTTPClient(), h.newRequest("GET", c.path, nil))
		line := log.first(event.CallFailed)
		left, has := line["left_ms"].(float64)
		if got.Status != c.status || line == nil || has != c.left || has && left < 0 {
			t.Errorf("%s: status %d, line %v", c.path, got.Status, line)
		}
	}
}

// Guards against refusals by an old configuration whose log lines don't show that it is old.
func TestRefusalByTheConfigurationTellsHowCurrentItIs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path string
		key  bool
	}{{"/nowhere", true}, {"/bind", false}} {
		log := &logBuffer{}
		h := newHarness(t, harnessOptions{caller: []caller.Option{caller.WithCallLog(event.New(log, "n"))}})
		r := h.newRequest("GET", c.path, nil)
		if !c.key {
			r.Header.Del("Authorization")
		}
		h.do(h.newHTTPClient(), r)
		line := log.first(event.CallFailed)
		got := []any{line["newest_known"], line["config_age_ms"], line["data_age_ms"]}
		if diff := cmp.Diff([]any{77.0, 4000.0, 3000.0}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.path, diff)
		}
	}
}

// Each stage of a call needs a histogram, and each failed attempt must be counted.
func TestMetricsCoverStageTimesAndFailedAttempts(t *testing.T) {
	t.Parallel()
	set, targets := metrics.NewSet(), metrics.NewSet()
	h := newHarness(t, harnessOptions{
		targets: 1, caller: []caller.Option{caller.WithMetrics(set)},
		target: func(int) []target.Option { return []target.Option{target.WithMetrics(targets)} },
	})
	c := h.newHTTPClient()
	h.do(c, h.newRequest("GET", "/bind?size=1", nil))
	_ = h.targets[0].node.Drain(context.Background())
	h.do(c, h.newRequest("GET", "/bind?size=1", nil))
	var out bytes.Buffer
	set.WritePrometheus(&out)
	targets.WritePrometheus(&out)
	for _, want := range []string{
		`banyanlug_hop_seconds_count{service=`, `banyanlug_target_queue_seconds_count{class="paying",kind="once"} 1`,
		`banyanlug_target_work_seconds_count{class="paying",kind="once"} 1`, `banyanlug_attempts_failed_total{how="`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, out.String())
		}
	}
}
