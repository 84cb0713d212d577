package rollout

import (
	"time"

	"github.com/qmuntal/stateless"
)

const (
	// settleTime is what word of the shift takes to all nodes, after the share has
	// grown to all.
	settleTime = time.Second
	// spareTime is kept before the deadline for the store and the nodes to be late.
	spareTime = time.Second
)

// Situation is what is known when the next step of a rollout is decided.
type Situation struct {
	// Elapsed is the time since the order, SinceShift since the shift has begun.
	Elapsed, SinceShift time.Duration
	// Limit bounds the new version's share of the calls until it has taken over.
	Limit float64
	// Candidates and Current are how many targets run the new version and others.
	Candidates, Current int
	// Idle says that no target in force runs a call; Longest is how long one can.
	Idle    bool
	Longest time.Duration
	Verdict Verdict
}

// Step is Wait, Begin, Shift, Complete or RollBack.
type Step interface{ isStep() }

// Wait leaves all as it is.
type Wait struct{}

// Begin tells operators that the order is carried out.
type Begin struct{}

// Shift lets the new version take over the calls.
type Shift struct{}

// Complete tells operators that the new version is in force.
type Complete struct{}

// RollBack tells operators that the new version gets no more calls, and why.
type RollBack struct{ Reason string }

func (Wait) isStep()     {}
func (Begin) isStep()    {}
func (Shift) isStep()    {}
func (Complete) isStep() {}
func (RollBack) isStep() {}

// Reasons of a rollback besides a fault.
const (
	ReasonNoEvidence = "too little was known at the deadline"
	ReasonBarred     = "the version was rolled back before"
)

// trigger is what moves a rollout from one stage to another.
type trigger string

const (
	triggerSound    trigger = "sound"
	triggerFaulty   trigger = "faulty"
	triggerDeadline trigger = "deadline"
	triggerTaken    trigger = "taken over"
	triggerNone     trigger = "none"
)

// life is the machine of a rollout's stages; what is final has no way out.
func life(from Stage) *stateless.StateMachine {
	m := stateless.NewStateMachine(from)
	m.Configure(StageCanary).
		Permit(triggerSound, StageShift).
		Permit(triggerFaulty, StageRolledBack).
		Permit(triggerDeadline, StageRolledBack).
		Permit(triggerTaken, StageCompleted)
	m.Configure(StageShift).
		Permit(triggerFaulty, StageRolledBack).
		Permit(triggerTaken, StageCompleted)
	return m
}

// Next decides the next step of a rollout that operators have not been told the end of.
func (r Rollout) Next(s Situation) Step {
	if r.Stage() == StageNone || r.Decided() {
		return Wait{}
	}
	if r.Stage() == StageRolledBack {
		return RollBack{r.rolledBackBy(s)}
	}
	if r.progress.order != r.order.revision || r.status.state == Pending || r.status.version != r.order.version {
		return Begin{}
	}
	t, reason := r.trigger(s)
	m := life(r.Stage())
	if ok, err := m.CanFire(t); err != nil || !ok {
		return Wait{}
	}
	if err := m.Fire(t); err != nil {
		return Wait{}
	}
	switch m.MustState() {
	case StageShift:
		return Shift{}
	case StageCompleted:
		return Complete{}
	case StageRolledBack:
		return RollBack{reason}
	default:
		return Wait{}
	}
}

func (r Rollout) rolledBackBy(s Situation) string {
	if f, ok := s.Verdict.(Faulty); ok {
		return f.reason()
	}
	return ReasonBarred
}

func (f Faulty) reason() string { return f.By + " on route " + f.Route }

// trigger returns what has come about, and why where it ends the rollout.
func (r Rollout) trigger(s Situation) (trigger, string) {
	if f, ok := s.Verdict.(Faulty); ok {
		return triggerFaulty, f.reason()
	}
	_, healthy := s.Verdict.(Healthy)
	switch {
	case r.Stage() == StageShift && r.takenOver(s):
		return triggerTaken, ""
	case r.Stage() == StageShift:
		return triggerNone, ""
	case s.Current == 0 && s.Candidates > 0 && healthy:
		return triggerTaken, ""
	case healthy && s.Elapsed >= r.shiftAfter(s):
		return triggerSound, ""
	case s.Elapsed >= r.order.duration:
		return triggerDeadline, ReasonNoEvidence
	default:
		return triggerNone, ""
	}
}

// shiftAfter returns when a sound version takes over: as late as the rest of the order
// can be carried out in time, as a version may turn bad later.
func (r Rollout) shiftAfter(s Situation) time.Duration {
	rest := ShiftTime(s.Limit) + settleTime + s.Longest + spareTime
	return max(r.order.duration-rest, r.order.duration/2)
}

// takenOver reports whether no call runs at the targets that stop at the end, or can
// run there any more.
func (r Rollout) takenOver(s Situation) bool {
	over := s.SinceShift - ShiftTime(s.Limit) - settleTime
	return over >= 0 && s.Idle || over >= s.Longest
}

// Closed reports whether the targets in force take no further call, as all senders
// have heard that the new version has taken over.
func (r Rollout) Closed(limit float64, sinceShift time.Duration) bool {
	return r.Stage() == StageShift && sinceShift >= ShiftTime(limit)+settleTime
}
