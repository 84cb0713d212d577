package target

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Handler takes calls for one target.
type Handler struct {
	local      netip.AddrPort
	client     *hop.Client
	credential *hop.Credential
	sealer     *hop.Sealer
	slots      *Slots
	guard      Guard
	clk        *timer.Service
	log        *event.Logger
	meters     *meters
	strangerAt atomic.Int64
	dialect    hop.Dialect
	onRefused  func(instance string)
	version    func() uint64
	decisions  *event.Logger // of single calls, or nil
	answered   atomic.Uint64
	flights    flights
	admits     func() bool
	observe    func(route string, took time.Duration, failed bool)
	looking    atomic.Bool
}

// Option sets one property of a handler.
type Option func(*Handler)

// WithGuard sets what looks at calls that must not run twice.
func WithGuard(g Guard) Option { return func(h *Handler) { h.guard = g } }

// WithDialect sets the headers in which the target is spoken to.
func WithDialect(d hop.Dialect) Option { return func(h *Handler) { h.dialect = d } }

// OnRefused sets what is told of a target process whose address refuses
// connections; f must not block.
func OnRefused(f func(instance string)) Option { return func(h *Handler) { h.onRefused = f } }

// WithRollout sets what tells whether the version of the target may take calls, and what
// is told of its answers.
func WithRollout(admits func() bool, observe func(route string, took time.Duration, failed bool)) Option {
	return func(h *Handler) { h.admits, h.observe = admits, observe }
}

// WithDecisions sets where what is decided of single calls is written.
func WithDecisions(l *event.Logger) Option { return func(h *Handler) { h.decisions = l } }

// WithVersion sets what tells the version of the configuration held, which
// answers carry to other nodes.
func WithVersion(f func() uint64) Option { return func(h *Handler) { h.version = f } }

// WithLog sets where the handler and its server write events.
func WithLog(l *event.Logger) Option { return func(h *Handler) { h.log = l } }

// WithMetrics registers the handler's metrics in set.
func WithMetrics(set *metrics.Set) Option {
	return func(h *Handler) { h.meters = newMeters(set, h.slots) }
}

// New returns a handler for the target at a local address, which it reaches
// with client.
func New(slots *Slots, local netip.AddrPort, client *hop.Client, credential *hop.Credential, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		slots: slots, local: local, client: client, credential: credential, sealer: sealer, clk: clk,
		admits: func() bool { return true }, observe: func(string, time.Duration, bool) {},
		dialect: hop.NewDialect(), onRefused: func(string) {}, guard: unguarded{}, log: event.Discard(), meters: newMeters(metrics.NewSet(), slots),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// call is one call of another node on its way through the stages.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	began time.Time
	meta  hop.Meta
	until time.Time
	body  hop.Body
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, began: h.clk.Now(), id: h.dialect.ID(r.Header)}
	c.finish(c.run())
}

// run takes the call through the stages and reports whether the answer's head
// was passed on.
func (c *call) run() (began bool, err error) {
	if err := c.authenticate(); err != nil {
		return false, err
	}
	if err := c.read(); err != nil {
		return false, err
	}
	waits := c.h.clk.Now()
	ticket, err := c.admit()
	if err != nil {
		return false, err
	}
	c.h.meters.of(c.meta).queue.Update(c.h.clk.Since(waits).Seconds())
	status := 0
	defer func() { c.leave(ticket, status, err) }()
	if err = c.once(); err != nil {
		return false, err
	}
	began, status, err = c.forward()
	return began, err
}
