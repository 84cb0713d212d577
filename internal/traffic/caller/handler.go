package caller

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/patience"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Config tells the version of the configuration in force.
type Config interface {
	Current() *snapshot.Snapshot
}

// Directory tells which targets of a pool are ready: the same slice until they
// change, then another one.
type Directory interface {
	Targets(pool string) []membership.Record
}

// Fallback is a Directory that also knows targets to be tried only when those
// of Targets turned the call away, as those of a failure domain that looks cut
// off.
type Fallback interface {
	Directory
	Fallback(pool string) []membership.Record
}

// Staged is a Directory of pools whose next version is rolled out.
type Staged interface {
	Directory
	// Candidates returns the targets of the next version if the next call goes there,
	// and a name that tells them from the pool's other targets.
	Candidates(pool string) (name string, targets []membership.Record)
	// Reached notes that a call reached a target of the pool.
	Reached(pool string)
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

	limits   *limit.Holder
	balancer *balance.Balancer
	budgets  *retry.Budgets
	views    views
	claims   Claims
	patience *patience.Tracker
	maxDepth int
	meters   *meters

	dialect   hop.Dialect
	origin    string
	elsewhere int
	open      *snapshot.Organisation
	newer     func(peer netip.AddrPort, version uint64)

	log      *event.Logger // of single calls, or nil
	register Register
	served   atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// Option sets one property of a handler.
type Option func(*Handler)

// WithLimits sets what holds organisations to their limits; without it nothing
// does.
func WithLimits(l *limit.Holder) Option { return func(h *Handler) { h.limits = l } }

// WithBalancer sets what chooses targets, as by their distance.
func WithBalancer(b *balance.Balancer) Option { return func(h *Handler) { h.balancer = b } }

// WithBudgets sets what decides on further attempts.
func WithBudgets(b *retry.Budgets) Option { return func(h *Handler) { h.budgets = b } }

// WithClaims sets what keeps calls that must not run twice from doing so.
func WithClaims(c Claims) Option { return func(h *Handler) { h.claims = c } }

// WithMaxDepth sets how deep calls may lead to calls, up to hop.MaxDepth.
func WithMaxDepth(n int) Option {
	return func(h *Handler) { h.maxDepth = min(n, hop.MaxDepth) }
}

// WithDialect sets the headers in which callers speak.
func WithDialect(d hop.Dialect) Option { return func(h *Handler) { h.dialect = d } }

// WithOrigin sets the service of this node's own target, which the targets of
// its callers' calls are told.
func WithOrigin(service string) Option { return func(h *Handler) { h.origin = service } }

// OpenTo takes calls without an API key, all for one organisation; for a mesh
// whose platform has let the callers in already.
func OpenTo(o snapshot.Organisation) Option { return func(h *Handler) { h.open = &o } }

// WithElsewhere sets how many further targets a call may ask after refusals, beside
// the retries of its route.
func WithElsewhere(n int) Option { return func(h *Handler) { h.elsewhere = n } }

// WithRegister sets what tells which calls are held back.
func WithRegister(r Register) Option { return func(h *Handler) { h.register = r } }

// WithDecisions sets where what is decided of single calls is written.
func WithDecisions(l *event.Logger) Option { return func(h *Handler) { h.log = l } }

// OnNewer sets what is told of a node that holds a newer configuration than
// this one; f must not block.
func OnNewer(f func(peer netip.AddrPort, version uint64)) Option {
	return func(h *Handler) { h.newer = f }
}

// WithMetrics registers the handler's metrics in set.
func WithMetrics(set *metrics.Set) Option { return func(h *Handler) { h.meters.set = set } }

// WithObserver tells f of each call that has ended; f must not block.
func WithObserver(f func(Observation)) Option { return func(h *Handler) { h.meters.observe = f } }

// New returns a handler that sends calls with client.
func New(config Config, directory Directory, client *hop.Client, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		config: config, directory: directory, hop: client, sealer: sealer, clk: clk,
		claims:   unclaimed{},
		patience: patience.NewTracker(),
		newer:    func(netip.AddrPort, uint64) {},
		dialect:  hop.NewDialect(),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		maxDepth: DefaultMaxDepth, meters: newMeters(),
	}
	for _, opt := range opts {
		opt(h)
	}
	if h.balancer == nil {
		h.balancer = balance.New(clk.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	if h.budgets == nil {
		h.budgets = retry.NewBudgets(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	return h
}

// split leads a call to one share of a route that has several.
func (h *Handler) split(rt snapshot.Route) snapshot.Route {
	if !rt.Shared() {
		return rt
	}
	h.mu.Lock()
	draw := h.rng.Float64()
	h.mu.Unlock()
	return rt.Toward(draw)
}

// call is one caller's call on its way through the stages.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	snap  *snapshot.Snapshot
	began time.Time
	// waited is how long the caller had been waiting when the call came.
	waited time.Duration

	org    snapshot.Organisation
	parent *hop.Parent
	rt     snapshot.Route
	until  time.Time
	// hurried marks a call that has less time than its route allows.
	hurried bool
	meta    hop.Meta
	ask     balance.Ask
	body    hop.Body
	claim   Claim

	attempts   retry.Call
	tried      []balance.Picked
	held       *heldAnswer
	mayHaveRun bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, snap: h.config.Current(), began: h.clk.Now(), id: h.dialect.ID(r.Header)}
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
	if err := c.holdBack(); err != nil {
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
