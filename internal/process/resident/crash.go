package resident

import (
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/poison"
)

// register remembers the crashes that the nodes tell each other of.
type register struct {
	clk *timer.Service
	log *event.Logger

	mu    sync.Mutex
	calls *poison.Register
}

// Held implements caller.Register.
func (r *register) Held(f poison.Fingerprint) (until time.Time, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls.Held(r.clk.Now(), f)
}

// crashed takes in a crash; one that is told again changes nothing.
func (r *register) crashed(text string) {
	c, ok := poison.ParseCrash(text)
	if !ok {
		r.log.Emit(event.RecordRefused, event.F("crash", text))
		return
	}
	r.mu.Lock()
	held := r.calls.Crashed(r.clk.Now(), c.Process, c.InFlight)
	r.mu.Unlock()
	if len(held) > 0 {
		r.log.Emit(event.CallsHeld, event.F("process", c.Process.Instance), event.F("calls", len(held)))
	}
}

// crash tells of a target's end that it had not announced, with the calls that
// were in flight; "" if it has not crashed.
func (n *Node) crash(before, now lifecycle.Target) string {
	down := before.Phase() == lifecycle.Serving && now.Phase() == lifecycle.Down
	replaced := before.Phase() == lifecycle.Serving && (now.ID() != before.ID() || now.Born() != before.Born())
	if !down && !replaced {
		return ""
	}
	c := poison.Crash{Process: poison.Process{Instance: before.ID(), Boot: before.Born()}, InFlight: n.target.Suspects()}
	if len(c.InFlight) == 0 {
		return ""
	}
	return c.String()
}
