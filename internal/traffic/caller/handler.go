package caller

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Config tells the version of the configuration in force.
type Config interface {
	Current() *snapshot.Snapshot
}

// Directory tells which targets of a pool are ready.
type Directory interface {
	Targets(pool string) []membership.Record
}

// DefaultMaxDepth is the deepest that the users' services call each other.
const DefaultMaxDepth = 11

// Handler carries callers' calls.
type Handler struct {
	config    Config
	directory Directory
	hop       *hop.Client
	sealer    *hop.Sealer
	clk       *timer.Service

	limiter  Limiter
	picker   Picker
	claims   Claims
	maxDepth int
	meters   *meters
}

// Option sets one property of a handler.
type Option func(*Handler)

// WithLimiter sets what holds organisations to their limits.
func WithLimiter(l Limiter) Option { return func(h *Handler) { h.limiter = l } }

// WithPicker sets what chooses targets and decides on further attempts.
func WithPicker(p Picker) Option { return func(h *Handler) { h.picker = p } }

// WithClaims sets what keeps calls that must not run twice from doing so.
func WithClaims(c Claims) Option { return func(h *Handler) { h.claims = c } }

// WithMaxDepth sets how deep calls may lead to calls, up to hop.MaxDepth.
func WithMaxDepth(n int) Option {
	return func(h *Handler) { h.maxDepth = min(n, hop.MaxDepth) }
}

// WithMetrics registers the handler's metrics in set.
func WithMetrics(set *metrics.Set) Option { return func(h *Handler) { h.meters.set = set } }

// WithObserver tells f of each call that has ended; f must not block.
func WithObserver(f func(Observation)) Option { return func(h *Handler) { h.meters.observe = f } }

// New returns a handler that sends calls with client.
func New(config Config, directory Directory, client *hop.Client, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		config: config, directory: directory, hop: client, sealer: sealer, clk: clk,
		limiter: unlimited{}, picker: newPicker(), claims: unclaimed{},
		maxDepth: DefaultMaxDepth, meters: newMeters(),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// call is one caller's call on its way through the stages.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	snap  *snapshot.Snapshot
	began time.Time

	org    snapshot.Organisation
	parent *hop.Parent
	rt     snapshot.Route
	until  time.Time
	meta   hop.Meta
	body   hop.Body
	claim  Claim
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, snap: h.config.Current(), began: h.clk.Now()}
	c.finish(c.run())
}

// run takes the call through the stages up to its answer's head and body.
func (c *call) run() (result, error) {
	if err := c.identify(); err != nil {
		return result{}, err
	}
	if err := c.route(); err != nil {
		return result{}, err
	}
	release, err := c.admit()
	if err != nil {
		return result{}, err
	}
	defer release()
	if err := c.readBody(); err != nil {
		return result{}, err
	}
	recorded, err := c.claimRun()
	if err != nil {
		return result{}, err
	}
	if recorded != nil {
		return c.replay(recorded)
	}
	res, err := c.send()
	c.endClaim(res, err)
	return res, err
}
