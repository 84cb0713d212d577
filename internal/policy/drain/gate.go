package drain

import (
	"sync/atomic"
	"time"
)

// Gate decides about the calls of one node. It is safe for concurrent use.
type Gate struct{ stop atomic.Pointer[stop] }

// stop is a planned stop of the node.
type stop struct{ closing, end time.Time }

// NewGate returns the gate of a node that is not stopping.
func NewGate() *Gate { return &Gate{} }

// Begin starts a stop: from closing on calls are refused if they can outlast end, at
// which the node cuts off the running ones.
func (g *Gate) Begin(closing, end time.Time) { g.stop.Store(&stop{closing, end}) }

// Stopping reports whether a stop has started.
func (g *Gate) Stopping() bool { return g.stop.Load() != nil }

// Limit returns the earlier one of a deadline and the end of the process.
func (g *Gate) Limit(deadline time.Time) time.Time {
	if s := g.stop.Load(); s != nil && s.end.Before(deadline) {
		return s.end
	}
	return deadline
}

// Call describes a call by its deadline, how long calls like it usually run (0 if that is
// unknown) and whether one that runs at the node's target may have made it.
type Call struct {
	deadline time.Time
	service  time.Duration
	nested   bool
}

// NewCall returns a call that comes from outside.
func NewCall(deadline time.Time, service time.Duration) Call {
	return Call{deadline: deadline, service: service}
}

// Nested returns the call as one that the node's target may have made.
func (c Call) Nested() Call {
	c.nested = true
	return c
}

// Decision is what a gate decides about an attempt of a call: Passed or Refused.
type Decision interface{ decision() }

// Passed is a call that the node passes on.
type Passed struct{ deadline time.Time }

// Deadline returns the deadline of the attempt, which is not after that of the call.
func (p Passed) Deadline() time.Time { return p.deadline }

// Refused is a call that could outlast the node's process.
type Refused struct{}

func (Passed) decision()  {}
func (Refused) decision() {}

// serviceFactor times the usual service time is the least time left for a call that may
// outlast the process: half of the calls take longer than usual.
const serviceFactor = 2

// Decide decides about an attempt of a call.
func (g *Gate) Decide(now time.Time, c Call) Decision {
	s := g.stop.Load()
	if s == nil || !c.deadline.After(s.end) {
		return Passed{c.deadline}
	}
	accepting := now.Before(s.closing) || c.nested && now.Before(s.end)
	if !accepting || now.Add(serviceFactor*c.service).After(s.end) {
		return Refused{}
	}
	return Passed{s.end}
}
