package rollout

import (
	"time"

	"github.com/qmuntal/stateless"
)

const (
	// propagationTime is how long the start of the shift may take to reach all nodes.
	propagationTime = time.Second
	// closeTime is how long after the shift the current targets take calls of nodes that
	// learn of it late. It leaves time for the report that they take none.
	closeTime = propagationTime * 3 / 4
	// deadlineMargin is the time before the deadline reserved for delays of the store
	// and the nodes.
	deadlineMargin = time.Second
)

// Situation is the input to the decision on the next step of a rollout.
type Situation struct {
	// Elapsed is the time since the order, SinceShift that since the shift began.
	Elapsed, SinceShift time.Duration
	// Limit bounds the new version's share of calls, from 0 to 1, until it takes over.
	Limit float64
	// Candidates and Current are the numbers of targets of the new version and of
	// others.
	Candidates, Current int
	// SinceStop is the time since calls to the new version were stopped.
	SinceStop time.Duration
	// CurrentClosed and CandidatesClosed say that the targets of that version refuse further
	// calls and run none; MaxCallTime is the longest time that a call can take.
	CurrentClosed, CandidatesClosed bool
	MaxCallTime                     time.Duration
	Verdict                         Verdict
}

// Step is Wait, Begin, Shift, Complete, Stop or RollBack.
type Step interface{ isStep() }

// Wait changes nothing.
type Wait struct{}

// Begin reports to operators that the order is being carried out.
type Begin struct{}

// Shift starts moving all calls to the new version.
type Shift struct{}

// Complete reports to operators that the new version has taken over.
type Complete struct{}

// Stop stops calls to the new version, for a reason.
type Stop struct{ Reason string }

// RollBack reports to operators that the new version gets no more calls.
type RollBack struct{}

func (Wait) isStep()     {}
func (Begin) isStep()    {}
func (Shift) isStep()    {}
func (Complete) isStep() {}
func (Stop) isStep()     {}
func (RollBack) isStep() {}

// Reasons for a rollback other than a fault.
const (
	ReasonNoEvidence = "too little was known at the deadline"
	ReasonBarred     = "the version was rolled back before"
)

// trigger is an event that moves a rollout from one stage to another.
type trigger string

const (
	triggerHealthy   trigger = "healthy"
	triggerFaulty    trigger = "faulty"
	triggerDeadline  trigger = "deadline"
	triggerTakenOver trigger = "taken over"
	triggerNone      trigger = "none"
)

// stageMachine returns the state machine of a rollout's stages. Final stages have no
// transitions.
func stageMachine(from Stage) *stateless.StateMachine {
	m := stateless.NewStateMachine(from)
	m.Configure(StageCanary).
		Permit(triggerHealthy, StageShift).
		Permit(triggerFaulty, StageRolledBack).
		Permit(triggerDeadline, StageRolledBack).
		Permit(triggerTakenOver, StageCompleted)
	m.Configure(StageShift).
		Permit(triggerFaulty, StageRolledBack).
		Permit(triggerTakenOver, StageCompleted)
	return m
}

// Next decides the next step of a rollout; it is Wait once the status is final.
func (r Rollout) Next(s Situation) Step {
	if r.Stage() == StageNone || r.Decided() {
		return Wait{}
	}
	if r.Stage() == StageRolledBack {
		if s.CandidatesClosed || s.SinceStop >= propagationTime+s.MaxCallTime {
			return RollBack{}
		}
		return Stop{r.stopReason(s)}
	}
	if r.progress.orderRevision != r.order.revision || r.status.state == Pending || r.status.version != r.order.version {
		return Begin{}
	}
	t, reason := r.trigger(s)
	m := stageMachine(r.Stage())
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
		return Stop{reason}
	default:
		return Wait{}
	}
}

func (r Rollout) stopReason(s Situation) string {
	if f, ok := s.Verdict.(Faulty); ok {
		return f.reason()
	}
	return ReasonBarred
}

func (f Faulty) reason() string { return f.By + " on route " + f.Route }

// trigger returns the event that follows from a situation, and the reason if it is a
// rollback.
func (r Rollout) trigger(s Situation) (trigger, string) {
	if f, ok := s.Verdict.(Faulty); ok {
		return triggerFaulty, f.reason()
	}
	_, healthy := s.Verdict.(Healthy)
	switch {
	case r.Stage() == StageShift && r.takenOver(s):
		return triggerTakenOver, ""
	case r.Stage() == StageShift:
		return triggerNone, ""
	case s.Current == 0 && s.Candidates > 0 && healthy:
		return triggerTakenOver, ""
	case healthy && s.Elapsed >= r.shiftAfter(s):
		return triggerHealthy, ""
	case s.Elapsed >= r.order.duration:
		return triggerDeadline, ReasonNoEvidence
	default:
		return triggerNone, ""
	}
}

// shiftAfter returns the time from the order to the shift to a healthy version: as late
// as the deadline permits, since a version may begin to fail late, but at least half of
// the order's duration.
func (r Rollout) shiftAfter(s Situation) time.Duration {
	timeNeeded := ShiftTime(s.Limit) + propagationTime + s.MaxCallTime + deadlineMargin
	return max(r.order.duration-timeNeeded, r.order.duration/2)
}

// takenOver reports whether the shift has ended and the current targets get and run no more
// calls, according to the last reports or because MaxCallTime has passed. The current
// targets are stopped afterwards.
func (r Rollout) takenOver(s Situation) bool {
	sinceEnd := s.SinceShift - ShiftTime(s.Limit) - propagationTime
	return sinceEnd >= 0 && s.CurrentClosed || sinceEnd >= s.MaxCallTime
}

// CurrentClosed reports whether the current targets refuse further calls, as the shift
// has ended at the senders.
func (r Rollout) CurrentClosed(limit float64, sinceShift time.Duration) bool {
	return r.Stage() == StageShift && sinceShift >= ShiftTime(limit)+closeTime
}
