package target

import (
	"fmt"
	"slices"
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
	id       string
	method   string
	hasQuery bool
	call     poison.Call        // zero as long as not enough of a long body is known
	mark     poison.Fingerprint // of a long body; zero for others
}

// newSuspect returns a call as a suspect, by what is known of its body by now.
func newSuspect(c *call) Suspect {
	s := Suspect{id: c.id, method: c.r.Method, hasQuery: c.r.URL.RawQuery != ""}
	s.call, _ = hop.Identify(c.meta, c.r, c.body)
	s.mark, _ = hop.Mark(c.meta, c.r, c.body)
	return s
}

// identified returns the suspect with what is known of the call's body by now.
func (s Suspect) identified(c *call) Suspect {
	if s.call == (poison.Call{}) {
		s.call, _ = hop.Identify(c.meta, c.r, c.body)
	}
	return s
}

// without returns the suspect without the fingerprints of calls that the target has completed,
// and false if none is left. One that is not known by its body stays: what was completed may only
// begin like it.
func (s Suspect) without(completed *poison.Completed) (Suspect, bool) {
	if s.call == (poison.Call{}) {
		return s, s.mark != (poison.Fingerprint{})
	}
	s.call = s.call.Without(completed.Contains)
	return s, s.call != (poison.Call{})
}

// CrashReport returns the report of a crash of a target's process.
func CrashReport(p poison.Process, at time.Time, suspects []Suspect) poison.Crash {
	c := poison.Crash{Process: p, At: at}
	for _, s := range suspects {
		if s.call != (poison.Call{}) {
			c.InFlight = append(c.InFlight, s.call)
		}
		if s.mark != (poison.Fingerprint{}) && !slices.Contains(c.Marks, s.mark) {
			c.Marks = append(c.Marks, s.mark)
		}
	}
	return c
}

// String describes the call in log events.
func (s Suspect) String() string {
	query := ""
	if s.hasQuery {
		query = "?"
	}
	return fmt.Sprintf("%s %s%s %s", s.id, s.method, query, s.call)
}

// inFlightCalls holds the calls that the target's process runs, those whose connections it
// closed within the last brokenCallWindow, and those that it or an earlier process of the same
// version has completed lately.
type inFlightCalls struct {
	mu        sync.Mutex
	running   map[*call]Suspect
	broken    []brokenCall
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
	s := newSuspect(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*call]Suspect{}
	}
	f.running[c] = s
}

// end records the end of a call. It returns a broken call as a suspect if the process has
// crashed, and false if it is none.
func (f *inFlightCalls) end(c *call, now time.Time, result runResult) (s Suspect, suspected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s = f.running[c].identified(c)
	delete(f.running, c)
	switch {
	case result == runBroken:
		f.broken = append(f.pruneBroken(now), brokenCall{s, now})
		return s.without(&f.completed)
	case result == runCompleted && s.call != (poison.Call{}):
		f.completed.Add(s.call)
	}
	return Suspect{}, false
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

// suspects returns the calls that may have caused a crash of the target's process now, those
// that run, if these count, before those that broke, and these latest first: a report may hold
// only the first.
func (f *inFlightCalls) suspects(now time.Time, running bool) []Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Suspect
	add := func(s Suspect) {
		if s, ok := s.without(&f.completed); ok {
			out = append(out, s)
		}
	}
	if running {
		for c, s := range f.running {
			add(s.identified(c))
		}
	}
	f.broken = f.pruneBroken(now)
	for _, b := range slices.Backward(f.broken) {
		add(b.suspect)
	}
	return out
}

// latestDeadline returns the latest deadline of the calls that run at the target's process;
// the zero time if none does.
func (f *inFlightCalls) latestDeadline() (latest time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.running {
		if c.deadline.After(latest) {
			latest = c.deadline
		}
	}
	return latest
}

// LatestDeadline returns the latest deadline of the calls that run at the target's process;
// the zero time if none does. A nested call that one of them makes has no later one.
func (h *Handler) LatestDeadline() time.Time { return h.inFlight.latestDeadline() }

// CrashSuspects returns the calls that may have caused a crash of the target's process now:
// those whose connections it has closed and, if running is set, those that it runs.
func (h *Handler) CrashSuspects(running bool) []Suspect {
	return h.inFlight.suspects(h.clk.Now(), running)
}

// ForgetCompleted forgets which calls the target has completed, as another version of its
// software may fail on them.
func (h *Handler) ForgetCompleted() {
	h.inFlight.mu.Lock()
	defer h.inFlight.mu.Unlock()
	h.inFlight.completed = poison.Completed{}
}
