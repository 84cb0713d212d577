package target

import (
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// rateMonitor counts the calls passed to the target, and records the limit that the target
// names for their rate.
type rateMonitor struct {
	mu    sync.Mutex
	total uint64
	limit float64 // calls per second; 0 is none
	// recent counts the calls since recentFrom, while there is a limit.
	recent     int
	recentFrom time.Time
}

// rateLogInterval is the time between two lines on the rate of calls.
const rateLogInterval = time.Second

// passed counts a call. It returns the recent rate if a line on it is due.
func (m *rateMonitor) passed(now time.Time) (perSecond, limit float64, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total++
	if m.limit == 0 {
		return 0, 0, false
	}
	m.recent++
	elapsed := now.Sub(m.recentFrom)
	if elapsed < rateLogInterval {
		return 0, 0, false
	}
	perSecond = float64(m.recent) / elapsed.Seconds()
	m.recent, m.recentFrom = 0, now
	return perSecond, m.limit, true
}

// named records the limit of a response, 0 if it names none, and returns the one before.
func (m *rateMonitor) named(now time.Time, limit float64) (before float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, m.limit = m.limit, limit
	if before == 0 {
		m.recent, m.recentFrom = 0, now
	}
	return before
}

func (m *rateMonitor) passedTotal() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

func (m *rateMonitor) namedLimit() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// countPassed counts a call that is about to be passed to the target.
func (c *call) countPassed() {
	perSecond, limit, due := c.h.rate.passed(c.h.clk.Now())
	if due {
		c.h.log.Emit(event.TargetRate, event.F("target", c.meta.Instance()), event.F("per_second", perSecond), event.F("limit", limit))
	}
}

// readRateLimit reads the limit that a response of the target names. Of the responses that
// name none only those of calls that ran end a limit.
func (c *call) readRateLimit(resp *hop.Response) {
	names := c.h.headerNames
	limit, ok := names.RateLimit(resp)
	if !ok && (names.NotRun(resp) || !names.Signed(resp)) {
		return
	}
	c.h.slots.observeRate(c.meta.Instance(), limit, ok)
	if before := c.h.rate.named(c.h.clk.Now(), limit); before != limit {
		c.h.log.Emit(event.TargetRateLimit, event.F("target", c.meta.Instance()), event.F("limit", limit), event.F("before", before))
	}
}
