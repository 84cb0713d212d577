package node

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"banyanlug.example/banyanlug/internal/log/event"
)

// The states of a node's lifecycle and the triggers of its transitions.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
	stateStopped  = "stopped"

	triggerSynced  = "synced"
	triggerStop    = "stopping"
	triggerStopped = "ended"
)

// lifecycle is the state machine of a node. A node that has begun to drain
// never becomes ready again.
type lifecycle struct {
	machine *stateless.StateMachine
	log     *event.Logger
}

func newLifecycle(log *event.Logger) *lifecycle {
	m := stateless.NewStateMachine(stateStarting)
	m.Configure(stateStarting).Permit(triggerSynced, stateReady).Permit(triggerStop, stateDraining)
	m.Configure(stateReady).Permit(triggerStop, stateDraining).
		OnEntry(func(context.Context, ...any) error { log.Emit(event.NodeReady); return nil })
	m.Configure(stateDraining).Ignore(triggerSynced).Ignore(triggerStop).Permit(triggerStopped, stateStopped).
		OnEntry(func(context.Context, ...any) error { log.Emit(event.NodeDraining); return nil })
	m.Configure(stateStopped).Ignore(triggerSynced).Ignore(triggerStop).Ignore(triggerStopped)
	return &lifecycle{machine: m, log: log}
}

// fire applies a trigger. A trigger that the current state does not permit is a
// programming error and is logged.
func (l *lifecycle) fire(trigger string) {
	if err := l.machine.Fire(trigger); err != nil {
		l.log.Emit(event.NodeFailed, event.F("error", err))
	}
}

func (l *lifecycle) markReady() { l.fire(triggerSynced) }

func (l *lifecycle) startDraining() { l.fire(triggerStop) }

func (l *lifecycle) markStopped(err error) {
	l.fire(triggerStopped)
	if err != nil {
		l.log.Emit(event.NodeStopped, event.F("error", err))
		return
	}
	l.log.Emit(event.NodeStopped)
}

func (l *lifecycle) state() string { return fmt.Sprint(l.machine.MustState()) }

func (l *lifecycle) ready() bool { return l.state() == stateReady }

// SupersededError reports that a node stopped because a later process runs
// under its instance's name.
type SupersededError struct{ Instance string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("a later process runs as instance %s", e.Instance)
}
