package target

import (
	"fmt"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// brokenCallWindow is how long a call whose connection broke remains a suspect
// for a crash. It must last until the crash is detected: by the next call, which finds
// the port closed, or at the latest by the next heartbeat.
const brokenCallWindow = 3 * time.Second

// Suspect is a call that may have caused a crash of the target's process.
type Suspect struct {
	id          string
	method      string
	hasQuery    bool
	fingerprint poison.Fingerprint
}

// Fingerprint returns the fingerprint of the call.
func (s Suspect) Fingerprint() poison.Fingerprint { return s.fingerprint }

// String describes the call in log events.
func (s Suspect) String() string {
	query := ""
	if s.hasQuery {
		query = "?"
	}
	return fmt.Sprintf("%s %s%s %s", s.id, s.method, query, s.fingerprint)
}

// inFlightCalls holds the calls that the target's process runs, and those whose
// connections it closed within the last brokenCallWindow.
type inFlightCalls struct {
	mu      sync.Mutex
	running map[*call]Suspect
	broken  []brokenCall
}

type brokenCall struct {
	suspect Suspect
	at      time.Time
}

func (f *inFlightCalls) begin(c *call) {
	s := Suspect{c.id, c.r.Method, c.r.URL.RawQuery != "", hop.FingerprintOf(c.meta, c.r, c.body)}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*call]Suspect{}
	}
	f.running[c] = s
}

func (f *inFlightCalls) end(c *call, now time.Time, broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.running[c]
	delete(f.running, c)
	if broke {
		f.broken = append(f.pruneBroken(now), brokenCall{s, now})
	}
}

// pruneBroken drops the broken calls older than brokenCallWindow and returns
// the others.
func (f *inFlightCalls) pruneBroken(now time.Time) []brokenCall {
	kept := f.broken[:0]
	for _, b := range f.broken {
		if now.Sub(b.at) < brokenCallWindow {
			kept = append(kept, b)
		}
	}
	return kept
}

// suspects returns the calls that may have caused a crash of the process now.
func (f *inFlightCalls) suspects(now time.Time) []Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Suspect
	f.broken = f.pruneBroken(now)
	for _, b := range f.broken {
		out = append(out, b.suspect)
	}
	for _, s := range f.running {
		out = append(out, s)
	}
	return out
}

// CrashSuspects returns the calls that may have caused a crash of the target's
// process now.
func (h *Handler) CrashSuspects() []Suspect { return h.inFlight.suspects(h.clk.Now()) }
