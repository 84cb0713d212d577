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

// inFlightCalls holds the calls that the target's process runs, those whose connections it
// closed within the last brokenCallWindow, and those that it has completed lately.
type inFlightCalls struct {
	mu        sync.Mutex
	running   map[*call]Suspect
	broken    []brokenCall
	process   string // that has completed calls
	completed poison.Completed
}

type brokenCall struct {
	suspect Suspect
	at      time.Time
}

// runResult is how a call ended at the target's process.
type runResult uint8

const (
	runUnknown   runResult = iota
	runCompleted           // it was answered in full
	runBroken              // the process closed the connection
)

func (f *inFlightCalls) begin(c *call) {
	s := Suspect{c.id, c.r.Method, c.r.URL.RawQuery != "", hop.FingerprintOf(c.meta, c.r, c.body)}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*call]Suspect{}
	}
	f.running[c] = s
}

func (f *inFlightCalls) end(c *call, now time.Time, result runResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.running[c]
	delete(f.running, c)
	switch result {
	case runBroken:
		f.broken = append(f.pruneBroken(now), brokenCall{s, now})
	case runCompleted:
		if id := c.meta.Instance(); id != f.process {
			f.process, f.completed = id, poison.Completed{}
		}
		f.completed.Add(s.fingerprint)
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

// suspects returns the calls that may have caused a crash of a process now.
func (f *inFlightCalls) suspects(now time.Time, process string) []Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Suspect
	add := func(s Suspect) {
		if process != f.process || !f.completed.Contains(s.fingerprint) {
			out = append(out, s)
		}
	}
	f.broken = f.pruneBroken(now)
	for _, b := range f.broken {
		add(b.suspect)
	}
	for _, s := range f.running {
		add(s)
	}
	return out
}

// CrashSuspects returns the calls that may have caused a crash of a target process now.
func (h *Handler) CrashSuspects(process string) []Suspect {
	return h.inFlight.suspects(h.clk.Now(), process)
}
