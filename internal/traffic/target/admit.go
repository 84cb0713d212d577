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
	"banyanlug.example/banyanlug/internal/policy/overload"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Config provides the active version of the configuration.
type Config interface {
	Current() *snapshot.Snapshot
}

// Slots admits calls to the target's slots as an admission gate decides, and
// notifies queued calls of the gate's decisions.
type Slots struct {
	config Config
	pool   string
	clk    *timer.Service
	gate   *admission.Gate
	// overload is nil where the scheduling delay is not measured.
	overload *overload.Controller
	// snap is the version that the gate is configured by; configuring is held while it changes.
	snap        atomic.Pointer[snapshot.Snapshot]
	configuring sync.Mutex
	// process is the target process; nil where targets don't report their state.
	process atomic.Pointer[lifecycle.Target]
	// responded is set once the target process has responded to a call.
	responded atomic.Bool

	mu          sync.Mutex
	waiting     map[admission.Ticket]chan admission.Decision
	expiryTimer *timer.Subscription
	expiryAt    time.Time
}

// SlotsOption sets one property of slots.
type SlotsOption func(*Slots)

// WithOverload sets the controller that refuses calls while the node is short of
// processor time.
func WithOverload(c *overload.Controller) SlotsOption { return func(s *Slots) { s.overload = c } }

// NewSlots returns the slots of a target that belongs to a pool, with the
// number of slots that the active configuration gives that pool.
func NewSlots(config Config, pool string, clk *timer.Service, opts ...SlotsOption) *Slots {
	s := &Slots{
		config: config, pool: pool, clk: clk, gate: admission.NewGate(clk.Now()),
		waiting: map[admission.Ticket]chan admission.Decision{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.configure()
	return s
}

// SetProcess sets the state that the target process reports, on platforms where
// targets do so. Until the first report all calls are refused.
func (s *Slots) SetProcess(t lifecycle.Target) {
	before := s.process.Swap(&t)
	now := s.clk.Now()
	if before != nil && (before.ID() != t.ID() || before.StartMs() != t.StartMs()) {
		s.responded.Store(false)
		s.deliver(s.gate.Configure(now, nil, admission.NoRate()))
	}
	if !t.AcceptsCalls() {
		s.deliver(s.gate.Drain(now, nil))
		return
	}
	s.deliver(s.gate.Configure(now, nil, admission.Slots(t.Slots()), admission.SetDraining(false)))
}

// observeRate records the limit of the rate that a response of a target process names.
func (s *Slots) observeRate(id string, perSecond float64, ok bool) {
	if t := s.process.Load(); t != nil && t.ID() != id {
		return
	}
	s.responded.Store(true)
	s.deliver(s.gate.ObserveRate(s.clk.Now(), perSecond, ok, nil))
	if ok {
		s.scheduleExpiry()
	}
}

// assumeRate takes over the limit that the target process has named to the sender of a
// call, until the process itself responds to this node.
func (s *Slots) assumeRate(meta hop.Meta) {
	if perSecond, named := meta.TargetRate(); named && !s.responded.Load() {
		s.deliver(s.gate.ObserveRate(s.clk.Now(), perSecond, true, nil))
	}
}

// Load returns the calls that run or wait now, and the slots.
func (s *Slots) Load() admission.Load { return s.gate.Load(s.clk.Now()) }

// loadHeader returns the value of the load header in responses: the utilization, and the
// usual service time of a route with the node's scheduling delay.
func (s *Slots) loadHeader(route string) string {
	service := s.gate.RouteServiceTime(route)
	if s.overload != nil && service > 0 {
		service += s.overload.Delay()
	}
	return hop.FormatLoad(s.Load().Utilization(), service)
}

// Drain refuses the waiting calls and all later ones.
func (s *Slots) Drain() { s.deliver(s.gate.Drain(s.clk.Now(), nil)) }

// configure applies the slots of a new configuration version. Calls that arrive meanwhile wait
// for it.
func (s *Slots) configure() {
	if s.snap.Load() == s.config.Current() {
		return
	}
	s.configuring.Lock()
	defer s.configuring.Unlock()
	snap := s.config.Current()
	if s.snap.Load() == snap {
		return
	}
	defer s.snap.Store(snap)
	// A pool that was removed from the configuration keeps its last slots: calls
	// sent under the previous version still arrive.
	if p, ok := snap.Pool(s.pool); ok && s.process.Load() == nil {
		s.deliver(s.gate.Configure(s.clk.Now(), nil,
			admission.Slots(p.Slots()), admission.Promised(p.Promised()), admission.Connections(p.Connections())))
	}
}

// acquire waits until the call may run. It returns a RefusedError as soon as the gate
// refuses the call.
func (s *Slots) acquire(ctx context.Context, meta hop.Meta, deadline time.Time) (admission.Ticket, error) {
	s.configure()
	s.assumeRate(meta)
	var softDeadline admission.RequestOption
	if meta.SoftDeadline() > 0 {
		softDeadline = admission.SoftDeadline(s.clk.Now().Add(meta.SoftDeadline()))
	}
	r := admission.NewRequest(meta.Organisation(), meta.Class(), meta.Route(), deadline, softDeadline, admission.Rank(meta.Priority()), admission.Level(meta.Level()))
	// Hold s.mu until the ticket is in the map: as soon as the gate has queued it,
	// the end of another call may lead to a decision on it.
	s.mu.Lock()
	d, wakes := s.gate.Enter(s.clk.Now(), r, nil)
	q, waits := d.(admission.Queued)
	if !waits {
		s.mu.Unlock()
		s.deliver(wakes)
		return ticketOrError(d)
	}
	ticket := q.Ticket()
	decided := make(chan admission.Decision, 1)
	s.waiting[ticket] = decided
	s.mu.Unlock()
	s.deliver(wakes)
	s.scheduleExpiry()
	return s.wait(ctx, ticket, decided)
}

// startingRetryAfter is when a call may be tried again at a target that has not reported to
// its node since that was started.
const startingRetryAfter = 200 * time.Millisecond

// checkProcess returns the error of a call for the target process with the given id if it is
// not the current one, or if that is not known yet.
func (s *Slots) checkProcess(id string) error {
	t := s.process.Load()
	switch {
	case t == nil:
		return nil
	case t.Phase() == lifecycle.Unknown:
		return &RefusedError{Reason: hop.KindStarting, RetryAfter: startingRetryAfter}
	case id != t.ID():
		return &WrongInstanceError{Requested: id, Current: t.ID()}
	default:
		return nil
	}
}

func (s *Slots) wait(ctx context.Context, ticket admission.Ticket, decided <-chan admission.Decision) (admission.Ticket, error) {
	select {
	case d := <-decided:
		return ticketOrError(d)
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiting, ticket)
		s.mu.Unlock()
		s.release(ticket, admission.Cancelled)
		return admission.Ticket{}, &hop.CancelledError{Err: context.Cause(ctx)}
	}
}

func ticketOrError(d admission.Decision) (admission.Ticket, error) {
	switch d := d.(type) {
	case admission.Admitted:
		return d.Ticket(), nil
	case admission.Refused:
		return admission.Ticket{}, &RefusedError{
			Reason: refusalKind(d.Reason()), RetryAfter: d.RetryAfter(),
		}
	default:
		return admission.Ticket{}, &DecisionError{Decision: d}
	}
}

// refusalKind returns the refusal kind on the wire for a gate's reason.
func refusalKind(r admission.Reason) string { return strings.ReplaceAll(r.String(), "_", "-") }

func (s *Slots) release(t admission.Ticket, outcome admission.Outcome) {
	s.deliver(s.gate.Leave(s.clk.Now(), t, outcome, nil))
	// The next waiting call may now wait for the target's rate, not for a slot.
	s.scheduleExpiry()
}

// deliver passes the gate's decisions to the waiting calls.
func (s *Slots) deliver(wakes []admission.Wake) {
	if len(wakes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range wakes {
		if decided, ok := s.waiting[w.Ticket()]; ok {
			delete(s.waiting, w.Ticket())
			decided <- w.Decision()
		}
	}
}

// scheduleExpiry sets the timer to the time when the next waiting call can no longer
// run in time and is refused.
func (s *Slots) scheduleExpiry() {
	next, ok := s.gate.NextExpiry()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiryTimer != nil && !next.Before(s.expiryAt) {
		return
	}
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	s.expiryAt = next
	s.expiryTimer = s.clk.AfterFunc(next.Sub(s.clk.Now()), s.expire)
}

func (s *Slots) expire() {
	s.mu.Lock()
	s.expiryTimer = nil
	s.mu.Unlock()
	s.deliver(s.gate.Expire(s.clk.Now(), nil))
	s.scheduleExpiry()
}

func (c *call) admit() (admission.Ticket, error) {
	if !c.h.versionAdmitted() {
		return admission.Ticket{}, &RefusedError{Reason: hop.KindSuperseded}
	}
	if err := c.refuseOverloaded(); err != nil {
		return admission.Ticket{}, err
	}
	ticket, err := c.h.slots.acquire(c.r.Context(), c.meta, c.deadline)
	if err == nil && !c.h.versionAdmitted() {
		// It was stopped while the call waited. A node that refuses calls and counts none as
		// running runs none from then on.
		c.h.slots.release(ticket, admission.Cancelled)
		return admission.Ticket{}, &RefusedError{Reason: hop.KindSuperseded}
	}
	return ticket, err
}

// refuseOverloaded refuses a call that this node is too short of processor time to serve.
func (c *call) refuseOverloaded() error {
	o := c.h.slots.overload
	if o == nil || !o.Overloaded() {
		return nil
	}
	now := c.h.clk.Now()
	call := overload.NewCall(c.h.slots.gate.RouteServiceTime(c.meta.Route()), c.meta.SoftDeadline(), c.deadline.Sub(now))
	if c.meta.FromOverloaded() {
		call = call.FromOverloaded()
	}
	if after, refused := o.Refuse(now, call); refused {
		return &RefusedError{Reason: hop.KindOverloaded, RetryAfter: after}
	}
	return nil
}

// release frees the call's slot and reports the outcome to the gate.
func (c *call) release(t admission.Ticket, status int, err error) {
	outcome := admission.Done
	var rejected *TargetRejectedError
	switch {
	case errors.As(err, &rejected):
		outcome = admission.Rejected
	case err != nil && c.r.Context().Err() != nil:
		outcome = admission.Cancelled
	case err != nil:
		outcome = admission.Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		outcome = admission.Rejected
	}
	c.h.slots.release(t, outcome)
}
