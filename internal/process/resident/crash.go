package resident

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// crashRegister records target crashes announced by any node. It is safe for
// concurrent use.
type crashRegister struct {
	clk *timer.Service
	log *event.Logger

	mu       sync.Mutex
	register *poison.Register
	seen     map[poison.Process]bool

	detected atomic.Uint64 // crashes of the local target under calls that are suspected
	recorded atomic.Uint64 // such crashes of any target
}

// maxSeen bounds crashRegister.seen, which is cleared when full; crashes that are reported
// again are then counted again.
const maxSeen = 1 << 12

func newCrashRegister(clk *timer.Service, log *event.Logger) *crashRegister {
	return &crashRegister{clk: clk, log: log, register: poison.NewRegister(), seen: map[poison.Process]bool{}}
}

// Held implements caller.CrashRegister.
func (r *crashRegister) Held(c poison.Call) (until time.Time, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Held(r.clk.Now(), c)
}

// Completed implements caller.CrashRegister.
func (r *crashRegister) Completed(c poison.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.register.Completed(c)
}

// Marked implements caller.CrashRegister.
func (r *crashRegister) Marked(mark poison.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Marked(r.clk.Now(), mark)
}

// Record implements caller.CrashRegister; a crash reported again has no effect.
func (r *crashRegister) Record(text string) {
	c, ok := poison.ParseCrash(text)
	if !ok {
		r.log.Emit(event.RecordRefused, event.F("crash", text))
		return
	}
	r.mu.Lock()
	rec := r.register.Record(r.clk.Now(), c)
	if !r.seen[c.Process] {
		if len(r.seen) >= maxSeen {
			clear(r.seen)
		}
		r.seen[c.Process] = true
		r.recorded.Add(1)
	}
	r.mu.Unlock()
	if rec.Counted > 0 {
		r.log.Emit(event.CrashRecorded, event.F("process", c.Process.Instance), event.F("calls", rec.Counted))
	}
	if len(rec.Held) > 0 {
		r.log.Emit(event.CallsHeld, event.F("process", c.Process.Instance), event.F("calls", len(rec.Held)), event.F("fingerprints", fmt.Sprint(rec.Held)))
	}
}

// sizes returns the number of calls that are recorded, and how many of them are held back.
func (r *crashRegister) sizes() (recorded, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Sizes(r.clk.Now())
}

// detectCrash returns the text form of a crash with the calls that were in
// flight, or "". A serving target has crashed if it is down or another process
// has replaced it; an earlier start of the same id has not. If it was doubted, calls that still
// run do so at a process that lives.
func (n *Node) detectCrash(before, now lifecycle.Target, doubted bool) string {
	down := before.Phase() == lifecycle.Serving && now.Phase() == lifecycle.Down
	replaced := before.Phase() == lifecycle.Serving && (now.ID() != before.ID() || now.StartMs() > before.StartMs())
	if !down && !replaced {
		return ""
	}
	suspects := n.targetHandler.CrashSuspects(down || !doubted)
	n.log.Emit(event.TargetCrashed, event.F("target", before.ID()), event.F("calls", len(suspects)), event.F("suspects", fmt.Sprint(suspects)))
	if len(suspects) == 0 {
		return ""
	}
	n.crashes.detected.Add(1)
	return target.CrashReport(poison.Process{Instance: before.ID(), Boot: before.StartMs()}, n.clk.Now(), suspects).String()
}
