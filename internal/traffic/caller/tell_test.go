package caller_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/caller"
)

// lines is a log that a test reads.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// of returns the fields of the first line of an event.
func (l *lines) of(c event.Code) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.buf.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == float64(c) {
			return fields
		}
	}
	return nil
}

// An engineer reads why a call failed. One that no route allows had no time of its
// own to run out; one that no target was there for had.
func TestAFailedCallsLineTellsTheTimeThatItHad(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path   string
		status int
		left   bool
	}{
		{"/nowhere", http.StatusNotFound, false},
		{"/bind?size=1", http.StatusServiceUnavailable, true},
	} {
		log := &lines{}
		r := newRig(t, rigOptions{caller: []caller.Option{caller.WithDecisions(event.New(log, "n"))}})
		got, _, _ := r.do(r.browser(), r.newRequest("GET", c.path, nil))
		line := log.of(event.CallFailed)
		left, has := line["left_ms"].(float64)
		if got.Status != c.status || line == nil || has != c.left || has && left < 0 {
			t.Errorf("%s: status %d, line %v", c.path, got.Status, line)
		}
	}
}
