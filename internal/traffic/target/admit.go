package target

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/admission"
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Config tells the version of the configuration in force.
type Config interface {
	Current() *snapshot.Snapshot
}

// Slots lets calls to the target's slots by the decisions of an admission
// gate, whose waiting calls it wakes.
type Slots struct {
	config Config
	pool   string
	clk    *timer.Service
	gate   *admission.Gate
	snap   atomic.Pointer[snapshot.Snapshot]
	// beside is the target process, where it tells of itself.
	beside atomic.Pointer[lifecycle.Target]

	mu      sync.Mutex
	waiting map[admission.Ticket]chan admission.Decision
	alarm   *timer.Subscription
	alarmAt time.Time
}

// NewSlots returns the slots of a target of a pool, as configured.
func NewSlots(config Config, pool string, clk *timer.Service) *Slots {
	s := &Slots{
		config: config, pool: pool, clk: clk, gate: admission.NewGate(clk.Now()),
		waiting: map[admission.Ticket]chan admission.Decision{},
	}
	s.configure()
	return s
}

// Beside tells of the target process, on a platform where targets tell of
// themselves; before the first word of one no call is let in.
func (s *Slots) Beside(t lifecycle.Target) {
	s.beside.Store(&t)
	now := s.clk.Now()
	if !t.Open() {
		s.deliver(s.gate.Drain(now, nil))
		return
	}
	s.deliver(s.gate.Configure(now, nil, admission.Slots(t.Slots()), admission.Leaving(false)))
}

// Load returns what runs and waits now.
func (s *Slots) Load() admission.Load { return s.gate.Load(s.clk.Now()) }

// load returns the calls that run and wait over the slots, and how long those of a
// route usually run, as answers tell it.
func (s *Slots) load(route string) string {
	l := s.Load()
	n := l.Running(snapshot.Paying) + l.Running(snapshot.Trial) + l.Waiting(snapshot.Paying) + l.Waiting(snapshot.Trial)
	return hop.FormatLoad(float64(n)/float64(max(1, l.Slots())), s.gate.ServiceOf(route))
}

// Drain refuses the calls that wait, and all that come from now on.
func (s *Slots) Drain() { s.deliver(s.gate.Drain(s.clk.Now(), nil)) }

// configure takes over the slots of a new version.
func (s *Slots) configure() {
	snap := s.config.Current()
	if s.snap.Load() == snap {
		return
	}
	s.snap.Store(snap)
	// A pool that is no longer configured keeps its last slots: the calls that
	// began with the version before still come.
	if p, ok := snap.Pool(s.pool); ok && s.beside.Load() == nil {
		s.deliver(s.gate.Configure(s.clk.Now(), nil,
			admission.Slots(p.Slots()), admission.Promised(p.Promised()), admission.Connections(p.Connections())))
	}
}

// enter waits until a call may run, or returns a RefusedError as soon as it is
// known that it is not going to.
func (s *Slots) enter(ctx context.Context, meta hop.Meta, until time.Time) (admission.Ticket, error) {
	s.configure()
	var due admission.RequestOption
	if meta.Due() > 0 {
		due = admission.Due(s.clk.Now().Add(meta.Due()))
	}
	r := admission.NewRequest(meta.Organisation(), meta.Class(), meta.Route(), until, due, admission.Rank(meta.Priority()))
	// Held until the ticket is in the map: another call's end may wake it the
	// moment that the gate knows it.
	s.mu.Lock()
	d, wakes := s.gate.Enter(s.clk.Now(), r, nil)
	q, waits := d.(admission.Queued)
	if !waits {
		s.mu.Unlock()
		s.deliver(wakes)
		return decided(d)
	}
	ticket := q.Ticket()
	wake := make(chan admission.Decision, 1)
	s.waiting[ticket] = wake
	s.mu.Unlock()
	s.deliver(wakes)
	s.setAlarm()
	return s.wait(ctx, ticket, wake)
}

func (s *Slots) wait(ctx context.Context, ticket admission.Ticket, wake <-chan admission.Decision) (admission.Ticket, error) {
	select {
	case d := <-wake:
		return decided(d)
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiting, ticket)
		s.mu.Unlock()
		s.leave(ticket, admission.Cancelled)
		return admission.Ticket{}, &hop.CancelledError{Err: context.Cause(ctx)}
	}
}

func decided(d admission.Decision) (admission.Ticket, error) {
	switch d := d.(type) {
	case admission.Admitted:
		return d.Ticket(), nil
	case admission.Refused:
		return admission.Ticket{}, &RefusedError{
			Reason: kindOf(d.Reason()), RetryAfter: d.RetryAfter(),
		}
	default:
		return admission.Ticket{}, &DecisionError{Decision: d}
	}
}

// kindOf returns the kind of refusal by which a gate's reason is told.
func kindOf(r admission.Reason) string { return strings.ReplaceAll(r.String(), "_", "-") }

func (s *Slots) leave(t admission.Ticket, how admission.Outcome) {
	s.deliver(s.gate.Leave(s.clk.Now(), t, how, nil))
}

// deliver tells waiting calls what became of them.
func (s *Slots) deliver(wakes []admission.Wake) {
	if len(wakes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range wakes {
		if wake, ok := s.waiting[w.Ticket()]; ok {
			delete(s.waiting, w.Ticket())
			wake <- w.Decision()
		}
	}
}

// setAlarm has the calls dismissed that wait in vain, the moment they do.
func (s *Slots) setAlarm() {
	next, ok := s.gate.NextExpiry()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alarm != nil && !next.Before(s.alarmAt) {
		return
	}
	if s.alarm != nil {
		s.alarm.Stop()
	}
	s.alarmAt = next
	s.alarm = s.clk.AfterFunc(next.Sub(s.clk.Now()), s.expire)
}

func (s *Slots) expire() {
	s.mu.Lock()
	s.alarm = nil
	s.mu.Unlock()
	s.deliver(s.gate.Expire(s.clk.Now(), nil))
	s.setAlarm()
}

func (c *call) admit() (admission.Ticket, error) {
	if !c.h.admits() {
		return admission.Ticket{}, &RefusedError{Reason: hop.KindSuperseded}
	}
	return c.h.slots.enter(c.r.Context(), c.meta, c.until)
}

// leave says how a call left its slot.
func (c *call) leave(t admission.Ticket, status int, err error) {
	how := admission.Done
	var own *TargetRefusedError
	switch {
	case errors.As(err, &own):
		how = admission.Shed
	case err != nil && c.r.Context().Err() != nil:
		how = admission.Cancelled
	case err != nil:
		how = admission.Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		how = admission.Shed
	}
	c.h.slots.leave(t, how)
}
