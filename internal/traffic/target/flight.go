package target

import (
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// brokenFor is how long a call that broke off counts as in flight at a crash:
// a closed port is found by the next call, or by the next heartbeat at the latest.
const brokenFor = 3 * time.Second

// flights are the calls that the target's process runs, and those that have just
// broken off there.
type flights struct {
	mu      sync.Mutex
	running map[*call]poison.Fingerprint
	broken  []brokenCall
}

type brokenCall struct {
	call poison.Fingerprint
	at   time.Time
}

func (f *flights) begin(c *call) {
	fp := fingerprint(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*call]poison.Fingerprint{}
	}
	f.running[c] = fp
}

func (f *flights) end(c *call, now time.Time, broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fp := f.running[c]
	delete(f.running, c)
	if broke {
		f.broken = append(f.recent(now), brokenCall{fp, now})
	}
}

// recent returns the calls that broke off lately.
func (f *flights) recent(now time.Time) []brokenCall {
	kept := f.broken[:0]
	for _, b := range f.broken {
		if now.Sub(b.at) < brokenFor {
			kept = append(kept, b)
		}
	}
	return kept
}

// suspects returns the calls that a crash of the process now may be due to.
func (f *flights) suspects(now time.Time) []poison.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []poison.Fingerprint
	f.broken = f.recent(now)
	for _, b := range f.broken {
		out = append(out, b.call)
	}
	for _, fp := range f.running {
		out = append(out, fp)
	}
	return out
}

// Suspects returns the calls that a crash of the target's process now may be due
// to.
func (h *Handler) Suspects() []poison.Fingerprint { return h.flights.suspects(h.clk.Now()) }

// fingerprint names what makes two sends the same call: who asks what. A body
// that is streamed is not part of it.
func fingerprint(c *call) poison.Fingerprint {
	var body []byte
	if whole, ok := c.body.(hop.Whole); ok {
		body = whole.Bytes()
	}
	return poison.FingerprintOf(c.meta.Organisation()+"/"+c.meta.Origin(), c.meta.Route(), "", c.r.Method, c.r.URL.RequestURI(), body)
}
