package target

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Handler serves the calls of other nodes to one target.
type Handler struct {
	local                   netip.AddrPort
	client                  *hop.Client
	credential              *hop.Credential
	sealer                  *hop.Sealer
	slots                   *Slots
	guard                   Guard
	clk                     *timer.Service
	log                     *event.Logger
	callMetrics             *handlerMetrics
	unauthenticatedLoggedAt atomic.Int64
	headerNames             hop.HeaderNames
	onConnRefused           func(instance string)
	onLeaving               func(instance string)
	onMisdirected           func(instance string)
	version                 func() uint64
	callLog                 *event.Logger // per-call events; nil disables them
	responses               atomic.Uint64
	inFlight                inFlightCalls
	versionAdmitted         func() bool
	observe                 func(route string, took time.Duration, failed bool)
	probeMu                 sync.Mutex
	probing                 chan struct{} // closed when the running probe ends; nil without one
	rate                    rateMonitor
	drain                   *drain.Gate
}

// Option sets one property of a handler.
type Option func(*Handler)

// WithGuard sets the guard that checks calls that must not run twice.
func WithGuard(g Guard) Option { return func(h *Handler) { h.guard = g } }

// WithHeaderNames sets the header names that the target uses.
func WithHeaderNames(names hop.HeaderNames) Option { return func(h *Handler) { h.headerNames = names } }

// OnConnRefused sets a function that is called when the address of a target process
// refuses connections; it must not block.
func OnConnRefused(f func(instance string)) Option { return func(h *Handler) { h.onConnRefused = f } }

// OnLeaving sets a function that is called with the id of a target process before a
// response is passed on that says that the process is leaving; it must not block.
func OnLeaving(f func(instance string)) Option { return func(h *Handler) { h.onLeaving = f } }

// OnMisdirected sets a function that is called with the id of a target process that a call was
// meant for if another process answers at its address; it must not block.
func OnMisdirected(f func(instance string)) Option { return func(h *Handler) { h.onMisdirected = f } }

// WithRollout sets a function that reports whether the target's version may
// receive calls, and one that receives the result of each call that the target
// completed or failed.
func WithRollout(admits func() bool, observe func(route string, took time.Duration, failed bool)) Option {
	return func(h *Handler) { h.versionAdmitted, h.observe = admits, observe }
}

// WithDrain gives calls no more time than g leaves to the node's process.
func WithDrain(g *drain.Gate) Option { return func(h *Handler) { h.drain = g } }

// WithCallLog logs per-call events to l.
func WithCallLog(l *event.Logger) Option { return func(h *Handler) { h.callLog = l } }

// WithVersion sets the function that returns the active configuration version,
// which is sent to other nodes in responses.
func WithVersion(f func() uint64) Option { return func(h *Handler) { h.version = f } }

// WithLog sets the event log of the handler and its server.
func WithLog(l *event.Logger) Option { return func(h *Handler) { h.log = l } }

// WithMetrics registers the handler's metrics in set.
func WithMetrics(set *metrics.Set) Option {
	return func(h *Handler) { h.callMetrics = newHandlerMetrics(set, h.slots, &h.rate) }
}

// New returns a handler for the target at a local address, which it calls
// through client.
func New(slots *Slots, local netip.AddrPort, client *hop.Client, credential *hop.Credential, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		slots: slots, local: local, client: client, credential: credential, sealer: sealer, clk: clk,
		versionAdmitted: func() bool { return true }, observe: func(string, time.Duration, bool) {},
		headerNames: hop.NewHeaderNames(), onConnRefused: func(string) {}, onLeaving: func(string) {}, onMisdirected: func(string) {}, guard: noGuard{}, log: event.Discard(),
		drain: drain.NewGate(),
	}
	h.callMetrics = newHandlerMetrics(metrics.NewSet(), slots, &h.rate)
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// call is the state of one call of another node.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	start    time.Time
	meta     hop.Meta
	deadline time.Time
	body     hop.Body
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, start: h.clk.Now(), id: h.headerNames.ID(r.Header)}
	c.finish(c.run())
}

// run takes the call through all stages and reports whether the response's
// head was sent.
func (c *call) run() (headSent bool, err error) {
	if err := c.authenticate(); err != nil {
		return false, err
	}
	if err := c.read(); err != nil {
		return false, err
	}
	queuedAt := c.h.clk.Now()
	ticket, err := c.admit()
	c.h.callMetrics.countDecision(c.meta, err)
	if err != nil {
		return false, err
	}
	c.h.callMetrics.forCall(c.meta).queue.Update(c.h.clk.Since(queuedAt).Seconds())
	status := 0
	defer func() { c.release(ticket, status, err) }()
	if err = c.checkGuard(); err != nil {
		return false, err
	}
	headSent, status, err = c.forward()
	return headSent, err
}
