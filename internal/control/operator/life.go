package operator

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is where a plan is in its life.
type State string

// The states of a plan.
const (
	Drafted    State = "drafted"
	Planned    State = "planned"
	Confirming State = "confirming"
	Confirmed  State = "confirmed"
	Conflicted State = "conflicted"
	Expired    State = "expired"
	Uncertain  State = "unknown"
)

// trigger is what happens to a plan.
type trigger string

const (
	triggerSave     trigger = "save"
	triggerBegin    trigger = "begin"
	triggerPublish  trigger = "publish"
	triggerConflict trigger = "conflict"
	triggerExpire   trigger = "expire"
	triggerRefuse   trigger = "refuse"
	triggerLose     trigger = "lose"
)

// life holds a plan to the steps that it may take: none leaves Confirmed,
// since a confirmed change never reverts, and nothing but another confirm
// leaves Uncertain, since nothing else finds out. A conflict is final too, as
// it is not kept: a further confirm starts from Planned and judges anew.
type life struct{ machine *stateless.StateMachine }

func newLife(from State) life {
	m := stateless.NewStateMachine(from)
	m.Configure(Drafted).Permit(triggerSave, Planned)
	m.Configure(Planned).Permit(triggerBegin, Confirming)
	m.Configure(Confirming).
		Permit(triggerPublish, Confirmed).Permit(triggerConflict, Conflicted).
		Permit(triggerExpire, Expired).Permit(triggerRefuse, Planned).Permit(triggerLose, Uncertain)
	m.Configure(Uncertain).Permit(triggerBegin, Confirming)
	m.Configure(Expired).Permit(triggerBegin, Confirming)
	m.Configure(Confirmed).Ignore(triggerBegin).Ignore(triggerPublish)
	return life{m}
}

func (l life) fire(ctx context.Context, t trigger) error {
	from := l.state()
	if err := l.machine.FireCtx(ctx, t); err != nil {
		return &LifeError{State: from, Err: err}
	}
	return nil
}

func (l life) state() State {
	s, _ := l.machine.MustState().(State)
	return s
}
