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
	"banyanlug.example/banyanlug/internal/policy/callerwait"
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/overload"
	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Config provides the active configuration version.
type Config interface {
	Current() *snapshot.Snapshot
}

// AgedConfig is a Config that knows how current it is.
type AgedConfig interface {
	Config
	// ConfigAge returns how long the active version has been active.
	ConfigAge() time.Duration
	// DataAge returns the time since the source of versions last answered, as far as known.
	DataAge() time.Duration
	// NewestKnown returns the greatest version that is known to exist.
	NewestKnown() uint64
}

// Directory provides the ready targets of a pool. It returns the same slice until
// they change, and then a new one.
type Directory interface {
	Targets(pool string) []membership.Record
}

// FallbackDirectory is a Directory with targets of last resort, such as those of a
// failure domain that seems partitioned. They are tried only if no other target of the
// pool is available.
type FallbackDirectory interface {
	Directory
	Fallback(pool string) []membership.Record
}

// RolloutDirectory is a Directory that directs some calls to the candidate version of a
// rollout.
type RolloutDirectory interface {
	Directory
	// TakeCandidates returns the targets of the candidate version if the next call is
	// to go there, and their name in the balancer, which differs from the pool's.
	TakeCandidates(pool string) (name string, targets []membership.Record)
	// RecordResponse records that a target of the pool responded to a call.
	RecordResponse(pool string)
}

// DefaultMaxDepth is the default for WithMaxDepth.
const DefaultMaxDepth = 11

// Handler is an http.Handler that forwards callers' calls to targets.
type Handler struct {
	config    Config
	directory Directory
	client    *hop.Client
	sealer    *hop.Sealer
	clk       *timer.Service

	limits      Limits
	balancer    *balance.Balancer
	budgets     *retry.Budgets
	updates     balancerUpdates
	claims      Claims
	waitTracker *callerwait.Tracker
	maxDepth    int
	callMetrics *handlerMetrics

	headerNames    hop.HeaderNames
	origin         string
	refusalRetries int
	startedAt      time.Time
	anonymous      *snapshot.Organisation
	onNewerVersion func(peer netip.AddrPort, version uint64)
	// overload is nil where the scheduling delay is not measured.
	overload *overload.Controller
	// drain is nil where the node's stop refuses no call by its deadline.
	drain *drain.Gate
	// madeByTarget reports whether the node's target may have made a call.
	madeByTarget func(*call) bool

	callLog       *event.Logger // per-call events; nil disables them
	crashRegister CrashRegister
	examined      atomic.Int64 // bytes of bodies that examine keeps in memory
	successes     atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// Option configures a Handler.
type Option func(*Handler)

// Limits decides whether an organisation's limit admits a call.
type Limits interface {
	// Allow decides about a new call; it may wait shortly for a share of the limit.
	Allow(now time.Time, l snapshot.Limit) limit.Decision
	// Done records the end of an allowed call; notRun is set if it certainly was not run.
	Done(allowedAt, now time.Time, l snapshot.Limit, notRun bool)
}

// LevelLimits is a Limits that knows which part of their limits organisations use.
type LevelLimits interface {
	Limits
	// Level returns the level that the organisation's next call carries, from 0 to 3.
	Level(now time.Time, l snapshot.Limit) int
}

// WithLimits enforces organisations' limits with l. Without it none are enforced.
func WithLimits(l Limits) Option { return func(h *Handler) { h.limits = l } }

// WithBalancer sets the balancer that chooses targets.
func WithBalancer(b *balance.Balancer) Option { return func(h *Handler) { h.balancer = b } }

// WithBudgets sets the retry budgets.
func WithBudgets(b *retry.Budgets) Option { return func(h *Handler) { h.budgets = b } }

// WithClaims sets the store of idempotency claims for calls that must not run twice.
func WithClaims(c Claims) Option { return func(h *Handler) { h.claims = c } }

// WithMaxDepth limits how deeply calls may be nested, up to hop.MaxDepth.
func WithMaxDepth(n int) Option {
	return func(h *Handler) { h.maxDepth = min(n, hop.MaxDepth) }
}

// WithHeaderNames sets the header names that callers use.
func WithHeaderNames(names hop.HeaderNames) Option { return func(h *Handler) { h.headerNames = names } }

// WithOrigin sets the service of this node's own target. It is sent with each call
// as the service that the call comes from.
func WithOrigin(service string) Option { return func(h *Handler) { h.origin = service } }

// WithAnonymousOrganisation accepts calls without an API key on behalf of organisation
// o: those on anonymous routes and, while no organisation is declared, all calls.
func WithAnonymousOrganisation(o snapshot.Organisation) Option {
	return func(h *Handler) { h.anonymous = &o }
}

// WithRefusalRetries sets how many times a refused call may be retried on another
// target, in addition to the retries of its route.
func WithRefusalRetries(n int) Option { return func(h *Handler) { h.refusalRetries = n } }

// WithCrashRegister sets the register of calls that are held back.
func WithCrashRegister(r CrashRegister) Option { return func(h *Handler) { h.crashRegister = r } }

// WithCallLog logs per-call events to l.
func WithCallLog(l *event.Logger) Option { return func(h *Handler) { h.callLog = l } }

// OnNewerVersion calls f when a peer has a newer configuration version than this node.
// f must not block.
func OnNewerVersion(f func(peer netip.AddrPort, version uint64)) Option {
	return func(h *Handler) { h.onNewerVersion = f }
}

// WithOverload sets the controller that measures the node's scheduling delay. Calls with
// less time left than it adds to them are refused.
func WithOverload(c *overload.Controller) Option { return func(h *Handler) { h.overload = c } }

// WithDrain refuses the calls that could outlast the node's process, as g decides.
func WithDrain(g *drain.Gate) Option { return func(h *Handler) { h.drain = g } }

// WithNestedDeadline sets the function that reports whether a call that runs at the
// node's target may have made a call with some deadline. It is for targets whose calls
// carry no credential of the call that made them.
func WithNestedDeadline(f func(deadline time.Time) bool) Option {
	return func(h *Handler) { h.madeByTarget = func(c *call) bool { return f(c.deadline) } }
}

// WithMetrics registers the handler's metrics in set.
func WithMetrics(set *metrics.Set) Option { return func(h *Handler) { h.callMetrics.set = set } }

// WithObserver calls f for each call that has ended. f must not block.
func WithObserver(f func(Observation)) Option { return func(h *Handler) { h.callMetrics.observe = f } }

// New returns a Handler that sends calls through client.
func New(config Config, directory Directory, client *hop.Client, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		config: config, directory: directory, client: client, sealer: sealer, clk: clk,
		claims: noClaims{}, startedAt: clk.Now(),
		waitTracker:    callerwait.NewTracker(),
		onNewerVersion: func(netip.AddrPort, uint64) {},
		madeByTarget:   func(c *call) bool { return c.parent != nil },
		headerNames:    hop.NewHeaderNames(),
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		maxDepth:       DefaultMaxDepth, callMetrics: newHandlerMetrics(),
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

// chooseShare picks, by weight, one share of a route that splits its traffic.
func (h *Handler) chooseShare(rt snapshot.Route) snapshot.Route {
	if !rt.HasSplit() {
		return rt
	}
	h.mu.Lock()
	draw := h.rng.Float64()
	h.mu.Unlock()
	return rt.WithShare(draw)
}

// call is the state of one call.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	snap  *snapshot.Snapshot
	start time.Time
	// waitedBefore estimates how long the caller had waited before this call, in
	// earlier attempts of its own.
	waitedBefore time.Duration

	org      snapshot.Organisation
	parent   *hop.Parent
	rt       snapshot.Route
	deadline time.Time
	// deadlineShortened is set if the caller or the parent call allows less time
	// than the route.
	deadlineShortened bool
	meta              hop.Meta
	callInfo          balance.CallInfo
	body              hop.Body
	examined          int         // bytes that the body has taken; see examine
	suspect           poison.Call // zero if not enough of the body is known
	claim             Claim

	attempts   retry.Call
	tried      []balance.Picked
	pending    *pendingResponse
	mayHaveRun bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, snap: h.config.Current(), start: h.clk.Now(), id: h.headerNames.ID(r.Header)}
	c.finish(c.run())
}

// run takes the call through all stages.
func (c *call) run() (res result, err error) {
	if err := c.identify(); err != nil {
		return result{}, err
	}
	if err := c.route(); err != nil {
		return result{}, err
	}
	if err := c.refuseOverloaded(); err != nil {
		return result{}, err
	}
	if _, err := c.attemptDeadline(); err != nil {
		return result{}, err
	}
	release, err := c.admit()
	if err != nil {
		return result{}, err
	}
	defer func() { release(err != nil && !res.headSent && refusalOf(err).Outcome == http1.NotRun) }()
	if err := c.readBody(); err != nil {
		return result{}, err
	}
	defer c.endExamination()
	if err := c.refuseHeldBack(); err != nil {
		return result{}, err
	}
	recorded, err := c.claimCall()
	if err != nil {
		return result{}, err
	}
	if recorded != nil {
		return c.replay(recorded)
	}
	if res, err = c.send(); err == nil {
		c.recordCompletion()
	}
	c.endClaim(res, err)
	return res, err
}
