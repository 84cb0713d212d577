package membership

import (
	"sync"
	"time"
)

// maxStep is the most that one call can move a timeline forward. A process
// that was paused, or whose clock jumped, was deaf in between: counted in full,
// the gap would look like the silence of every other instance at once. It is
// several times the interval at which Expire is called.
const maxStep = 2 * time.Second

// timeline turns a clock that may jump into a count that never goes back.
type timeline struct {
	mu   sync.Mutex
	last time.Time
	at   time.Duration
}

func (t *timeline) advance(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.last.IsZero() {
		t.at += min(max(now.Sub(t.last), 0), maxStep)
	}
	t.last = now
	return t.at
}
