package resident

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alexedwards/flow"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/bounded"
	"banyanlug.example/banyanlug/internal/control/fleet"
	"banyanlug.example/banyanlug/internal/control/issuer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/overload"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/policy/token"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// anonymousOrganisation is the organisation of calls without an API key. The platform
// knows no trial customers.
var anonymousOrganisation = snapshot.NewOrganisation(hop.AnonymousOrganisation, snapshot.Paying)

// Node forwards the calls of its callers to targets, and calls from other nodes to
// the local target.
type Node struct {
	cfg         *Settings
	clk         *timer.Service
	log         *event.Logger
	out         *event.Async
	metrics     *metrics.Set
	headerNames hop.HeaderNames
	listeners   listeners

	fleet         *fleet.Fleet
	budgets       *retry.Budgets
	tokens        *issuer.Agent
	meshClient    *hop.Client
	targetClient  *hop.Client
	callerServer  *caller.Server
	slots         *target.Slots
	targetServer  *target.Server
	targetHandler *target.Handler
	targetAddress netip.AddrPort
	crashes       *crashRegister
	overload      *overload.Controller
	drainGate     *drain.Gate

	reloadable atomic.Pointer[Reloadable]
	stopping   atomic.Bool
	warming    atomic.Bool // the target reports that it is still warming up
	mu         sync.Mutex
	tracker    *lifecycle.Tracker
	lastCrash  string
	// drainAnnounced is set once the node has announced to its peers that its
	// target is draining; refusing is set once it refuses their calls.
	drainAnnounced, refusing bool
	// mayAnnounce is set, and opened closed, once the node knows what an earlier process
	// has announced: an announcement replaces that.
	mayAnnounce bool
	opened      chan struct{}
	// questions signals that a report contradicts what the node knows of its target.
	questions chan struct{}

	fleetOptions []fleet.Option
	domains      []string // all failure domains of the fleet
}

type listeners struct{ callers, mesh, peers, admin net.Listener }

// Option configures a Node.
type Option func(*Node)

// WithHeaderNames sets the header names that callers and the target use.
func WithHeaderNames(names hop.HeaderNames) Option { return func(n *Node) { n.headerNames = names } }

// WithRollouts makes the node carry out rollout orders.
func WithRollouts(codec fleet.RolloutCodec) Option {
	return func(n *Node) {
		share := func() float64 { return n.reloadable.Load().CanaryShare }
		n.fleetOptions = append(n.fleetOptions, fleet.WithRollouts(codec, share))
	}
}

// WithFailureDomains sets the failure domains of the fleet, over which limits are split.
func WithFailureDomains(names ...string) Option { return func(n *Node) { n.domains = names } }

// New opens the node's listeners and creates its servers; Run starts them. It
// returns a SettingError for invalid settings.
func New(cfg *Settings, clk *timer.Service, out io.Writer, store platform.PrefixStore, configKey string, decode fleet.Decoder, opts ...Option) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, clk: clk, out: event.NewAsync(out, clk), metrics: metrics.NewSet(),
		headerNames: hop.NewHeaderNames(), tracker: lifecycle.NewTracker(), opened: make(chan struct{}), questions: make(chan struct{}, 1),
	}
	n.reloadable.Store(&cfg.Reloadable)
	n.log = event.New(n.out, cfg.Instance).WithRateLimiter(event.NewRateLimiter(clk))
	for _, opt := range opts {
		opt(n)
	}
	if err := n.openListeners(); err != nil {
		return nil, err
	}
	n.wire(store, configKey, decode)
	return n, nil
}

func (n *Node) openListeners() error {
	return http1.ListenAll(
		http1.Endpoint{Listener: &n.listeners.callers, Name: "callers", Address: n.cfg.Callers},
		http1.Endpoint{Listener: &n.listeners.mesh, Name: "mesh", Address: n.cfg.Mesh},
		http1.Endpoint{Listener: &n.listeners.peers, Name: "peers", Address: n.cfg.Peers},
		http1.Endpoint{Listener: &n.listeners.admin, Name: "admin", Address: n.cfg.Admin},
	)
}

// targetIdleTimeout is how long an idle connection to the target is kept. It is
// below the targets' own idle timeout of at least ten seconds, since a call sent
// while the target closes the connection is lost.
const targetIdleTimeout = 4 * time.Second

// peerDialTimeout bounds the opening of a connection to another node. It is below
// the second after which the kernel resends a lost SYN, which would be too late to
// retry most calls on another target.
const peerDialTimeout = 250 * time.Millisecond

const (
	// refusedRetries is how many more targets a call tries after one was full.
	refusedRetries = 2
	// refusedRetryShare is the share of calls that may be retried after a full
	// target: all, since the refusal is cheap and another target may have a free
	// slot.
	refusedRetryShare = 1
)

const (
	// repeatShare and rejectShare are the shares of the mesh's retry budget for
	// calls that may have run and for calls that a target has rejected. Rejected
	// calls get more, since nothing has run yet; a retry of a call that may have run
	// also repeats its nested calls, which count against the budget.
	repeatShare = 0.2
	rejectShare = 0.55
	// maxTokensShare is the share of RetrySpare that all nodes together may
	// accumulate for each of these two kinds of retry; the remaining half is
	// reserved for nodes that start.
	maxTokensShare = 0.25
)

// retryBounds returns this node's share of the mesh's retry budget.
func (n *Node) retryBounds() retry.Bounds {
	b := n.reloadable.Load()
	return retry.Bounds{
		RepeatRatio:   b.RetryShare * repeatShare,
		RejectedRatio: b.RetryShare * rejectShare,
		MaxTokens:     float64(b.RetrySpare) * maxTokensShare / float64(n.fleet.Size()),
	}
}

// quotaMargin returns by how much organisations' calls may exceed their limits.
func (n *Node) quotaMargin() token.Margin {
	b := n.reloadable.Load()
	return token.Margin{Window: b.QuotaWindow, Ratio: b.QuotaOverage, Calls: b.QuotaSlack}
}

func (n *Node) wire(store platform.PrefixStore, configKey string, decode fleet.Decoder) {
	seed := uint64(n.clk.Now().UnixNano())
	// The settings have been checked, so the addresses parse.
	mesh, _ := netip.ParseAddrPort(n.cfg.Mesh)
	peers, _ := netip.ParseAddrPort(n.cfg.Peers)
	n.targetAddress, _ = netip.ParseAddrPort(n.cfg.Target)
	self := membership.NewRecord(n.cfg.Instance, membership.Domain(n.cfg.Domain), membership.Pool(n.cfg.Pool),
		membership.Address(mesh), membership.ControlAddress(peers), membership.Boot(uint64(n.clk.Now().UnixMilli())), membership.LinkMbps(n.cfg.Link))
	n.crashes = newCrashRegister(n.clk, n.log)
	n.overload = overload.NewController()
	n.drainGate = drain.NewGate()
	n.fleet = fleet.New(store, n.clk, self, configKey, decode,
		append([]fleet.Option{
			fleet.WithLog(n.log), fleet.WithRandomSeed(seed), fleet.OnCrash(n.crashes.Record), fleet.WithRunningCalls(n.runningCalls),
			fleet.OnDeparted(n.rememberDepartures), fleet.OnRestored(n.openTracker),
		}, n.fleetOptions...)...)
	n.budgets = retry.NewBudgets(rand.New(rand.NewPCG(seed, 4)), retry.RefusedRatio(refusedRetryShare), retry.WithBounds(n.retryBounds))
	n.meshClient = hop.NewClient(n.clk, hop.ExpectContinue(), hop.WithDialTimeout(peerDialTimeout))
	n.targetClient = hop.NewClient(n.clk, hop.AllowCloseDelimited(), hop.WithIdleTimeout(targetIdleTimeout), hop.WatchIdle())
	n.tokens = issuer.New(n.clk, n.fleet, n.fleet, n.cfg.Instance, n.cfg.Domain, n.domains, issuer.WithLog(n.log),
		issuer.WithMargin(n.quotaMargin))
	n.callerServer = caller.NewServer(caller.New(n.fleet, n.fleet, n.meshClient, nil, n.clk,
		caller.WithHeaderNames(n.headerNames), caller.WithOrigin(n.cfg.Pool), caller.WithAnonymousOrganisation(anonymousOrganisation),
		caller.WithMetrics(n.metrics), caller.OnNewerVersion(n.fleet.Hint),
		caller.WithBalancer(balance.New(n.clk.Now(), rand.New(rand.NewPCG(seed, 3)), balance.Domain(n.cfg.Domain))),
		caller.WithRefusalRetries(refusedRetries), caller.WithCallLog(n.log), caller.WithCrashRegister(n.crashes),
		caller.WithBudgets(n.budgets), caller.WithLimits(n.tokens), caller.WithOverload(n.overload),
		caller.WithDrain(n.drainGate), caller.WithNestedDeadline(n.madeByTarget),
	), n.clk, n.log, http1.WithLimits(n.clientLimits), http1.WithMaxConns(http1.MaxClientConns(n.cfg.Sockets)))
	n.slots = target.NewSlots(n.fleet, n.cfg.Pool, n.clk, target.WithOverload(n.overload))
	n.slots.SetProcess(n.tracker.Target())
	n.targetHandler = target.New(n.slots, n.targetAddress, n.targetClient, nil, nil, n.clk,
		target.WithLog(n.log), target.WithMetrics(n.metrics), target.WithHeaderNames(n.headerNames),
		target.OnConnRefused(n.handleConnRefused), target.OnLeaving(n.noteGoodbye), target.OnMisdirected(n.handleMisdirected), target.WithVersion(n.Version), target.WithCallLog(n.log),
		target.WithRollout(n.fleet.Admits, n.observe), target.WithDrain(n.drainGate))
	n.targetServer = target.NewServer(n.targetHandler, n.clk, http1.WithLimits(n.meshLimits))
	n.registerMetrics()
}

// clientLimits returns what callers may send by the active configuration.
func (n *Node) clientLimits() http1.Limits {
	l := n.fleet.Current().ClientLimits()
	return http1.Limits{HeadBytes: l.HeadBytes(), BodyBytes: l.BodyBytes(), HeadTimeout: l.HeadTimeout(), IdleTimeout: l.IdleTimeout()}
}

// metaBytes is the part of a head that nodes may add to that of a caller.
const metaBytes = 8 << 10

// meshLimits returns what other nodes may send: what their callers may, which their
// configuration may state earlier, and what they add to it.
func (n *Node) meshLimits() http1.Limits {
	l := n.clientLimits()
	l.HeadBytes = max(http1.MaxHeadBytes, l.HeadBytes) + metaBytes
	return l
}

// Members returns how many nodes are known, this one included.
func (n *Node) Members() int { return n.fleet.Size() }

// runningCalls returns the number of calls that run on the local target.
func (n *Node) runningCalls() int {
	l := n.slots.Load()
	return l.Running(snapshot.Paying) + l.Running(snapshot.Trial)
}

// observe records a response of the target for the statistics of a rollout.
func (n *Node) observe(route string, duration time.Duration, failed bool) {
	n.fleet.Observe(route, duration, failed, !n.warming.Load())
}

// Version returns the version of the active configuration, 0 if there is none.
func (n *Node) Version() uint64 { return n.fleet.Current().Version() }

// Reload applies the reloadable settings of cfg. The others take effect only at a
// restart; Reload logs whether any of them changed. Invalid settings are logged and
// change nothing.
func (n *Node) Reload(cfg *Settings) {
	if err := cfg.Check(); err != nil {
		n.log.Emit(event.SettingsRefused, event.F("error", err))
		return
	}
	after, before := cfg.Reloadable, *n.reloadable.Load()
	fixed := *cfg
	fixed.Reloadable = n.cfg.Reloadable
	n.reloadable.Store(&after)
	n.log.Emit(event.SettingsReloaded, event.F("bounds_changed", after != before), event.F("start_needed", fixed != *n.cfg))
}

// LogSettingsError logs that the settings could not be read; the active ones stay.
func (n *Node) LogSettingsError(err error) { n.log.Emit(event.SettingsRefused, event.F("error", err)) }

// Targets returns the ready targets of a pool in this node's view.
func (n *Node) Targets(pool string) []membership.Record { return n.fleet.Targets(pool) }

// Ready reports whether the node has a configuration and the member list and
// is not stopping.
func (n *Node) Ready() bool { return n.fleet.Ready() && !n.stopping.Load() }

// LogHeartbeatError logs that a heartbeat can't be used; it changes nothing.
func (n *Node) LogHeartbeatError(err error) {
	n.log.Emit(event.HeartbeatRefused, event.F("error", err))
}

// HandleHeartbeat handles a heartbeat of the target. Once it returns, no call is
// forwarded to a target that has reported that it is draining. Its error is an
// UnsavedDepartureError: the target must not take the report for acknowledged.
func (n *Node) HandleHeartbeat(ctx context.Context, h lifecycle.Heartbeat) error {
	n.updateTarget(func() bool {
		changed := n.tracker.HandleHeartbeat(h, uint64(n.clk.Now().UnixMilli()))
		n.warming.Store(n.tracker.Warming())
		return changed
	})
	if !h.Draining() {
		return nil
	}
	return n.saveDeparture(ctx, h.ID())
}

// HandleGoodbye handles a call by which a target reports that its process is stopping. Its
// error is that of HandleHeartbeat.
func (n *Node) HandleGoodbye(ctx context.Context, id string) error {
	n.noteGoodbye(id)
	return n.saveDeparture(ctx, id)
}

// noteGoodbye handles a target's report that its process is stopping, by a call of its own
// or in a response.
func (n *Node) noteGoodbye(id string) {
	n.updateTarget(func() bool { return n.tracker.HandleGoodbye(id, uint64(n.clk.Now().UnixMilli())) })
}

// saveTimeout bounds the wait for the store to take a departure. Targets wait for an
// acknowledgement for a second.
const saveTimeout = 800 * time.Millisecond

// saveDeparture waits until a departure outlasts this process: a process that is started after
// it has to refuse the target's delayed heartbeats.
func (n *Node) saveDeparture(ctx context.Context, id string) error {
	ctx, cancel := n.clk.WithTimeout(ctx, saveTimeout)
	defer cancel()
	select {
	case <-n.opened:
	case <-ctx.Done():
		return n.logUnsaved(&UnsavedDepartureError{Target: id, Err: ctx.Err()})
	}
	if err := n.fleet.AwaitStored(ctx); err != nil {
		return n.logUnsaved(&UnsavedDepartureError{Target: id, Err: err})
	}
	return nil
}

func (n *Node) logUnsaved(err *UnsavedDepartureError) error {
	n.log.Emit(event.DepartureUnsaved, event.F("target", err.Target), event.F("error", err.Err))
	return err
}

// rememberDepartures adds the departures in this node's entry that an earlier process has
// announced.
func (n *Node) rememberDepartures(text string) {
	n.updateTarget(func() bool { return n.tracker.Remember(text) })
}

// openTracker makes the node accept its target, since it knows what an earlier process has
// announced.
func (n *Node) openTracker() {
	n.mu.Lock()
	n.mayAnnounce = true
	reported := n.tracker.Target() != (lifecycle.Target{}) || n.tracker.Departures() != n.fleet.Departed()
	n.mu.Unlock()
	n.updateTarget(func() bool { return n.tracker.Open() || reported })
	// Departures that were reported before are announced by now, so that saveDeparture waits
	// for them to be stored.
	close(n.opened)
}

func (n *Node) handleConnRefused(id string) {
	n.updateTarget(func() bool { return n.tracker.HandleConnectionRefused(id) })
}

func (n *Node) handleMisdirected(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tracker.HandleMisdirected(id) {
		n.log.Emit(event.TargetDoubted, event.F("target", id))
	}
}

// updateTarget runs update and, if that changed the target's state, applies the
// new state to the slots and announces it to the other nodes.
func (n *Node) updateTarget(update func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before, doubted := n.tracker.Target(), n.tracker.Doubted()
	changed := update()
	n.signalQuestion()
	if !changed {
		return
	}
	t := n.tracker.Target()
	if crash := n.detectCrash(before, t, doubted); crash != "" {
		n.lastCrash = crash
		n.crashes.Record(crash)
	}
	if t.Version() != before.Version() {
		n.targetHandler.ForgetCompleted()
	}
	if t != before {
		n.log.Emit(event.TargetChanged, event.F("target", t.ID()), event.F("phase", t.Phase()),
			event.F("born_ms", t.StartMs()), event.F("slots", t.Slots()))
		if !n.refusing {
			n.slots.SetProcess(t)
		}
	}
	n.announce(t)
}

// announce announces the state of the target, and which ones have left, to the other nodes.
func (n *Node) announce(t lifecycle.Target) {
	if !n.mayAnnounce {
		return
	}
	state := membership.Starting
	switch t.Phase() {
	case lifecycle.Serving:
		state = membership.Ready
	case lifecycle.Leaving:
		state = membership.Draining
	}
	if n.drainAnnounced {
		state = membership.Draining
	}
	n.fleet.Announce(state, t.ID(), t.Slots(), n.lastCrash, membership.Version(t.Version()), membership.Departed(n.tracker.Departures()))
}

// announceDraining announces to the other nodes that this one will soon refuse
// calls for its target.
func (n *Node) announceDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drainAnnounced = true
	n.announce(n.tracker.Target())
}

// refuseCalls refuses the calls that wait for the target and all later ones; the
// nodes that sent them retry on another target.
func (n *Node) refuseCalls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing = true
	n.slots.Drain()
	n.log.Emit(event.NodeDraining)
}

// registerMetrics adds the gauges that are computed at each scrape.
func (n *Node) registerMetrics() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("banyanlug_config_version", func() float64 { return float64(n.Version()) })
	gauge("banyanlug_config_age_seconds", func() float64 { return n.fleet.ConfigAge().Seconds() })
	gauge("banyanlug_config_apply_seconds", func() float64 { return n.fleet.ApplyTime().Seconds() })
	for _, state := range []membership.State{membership.Starting, membership.Ready, membership.Draining, membership.Gone} {
		gauge(fmt.Sprintf("banyanlug_members{state=%q}", state), func() float64 { return float64(n.fleet.Members()[state]) })
	}
	gauge(`banyanlug_retry_budget{for="repeats"}`, func() float64 { repeats, _ := n.budgets.Remaining(); return repeats })
	gauge(`banyanlug_retry_budget{for="refused"}`, func() float64 { _, refused := n.budgets.Remaining(); return refused })
	gauge(`banyanlug_target_crashes_total{of="local"}`, func() float64 { return float64(n.crashes.detected.Load()) })
	gauge(`banyanlug_target_crashes_total{of="any"}`, func() float64 { return float64(n.crashes.recorded.Load()) })
	gauge(`banyanlug_crash_suspects{state="recorded"}`, func() float64 { recorded, _ := n.crashes.sizes(); return float64(recorded) })
	gauge(`banyanlug_crash_suspects{state="held"}`, func() float64 { _, held := n.crashes.sizes(); return float64(held) })
	gauge("banyanlug_limit_requests_total", func() float64 { return float64(n.tokens.Requests()) })
	gauge("banyanlug_limit_tokens_issued_total", func() float64 { return float64(n.tokens.Issued()) })
	n.metrics.RegisterMetricsWriter(n.tokens.WriteMetrics)
	gauge("banyanlug_store_silent_seconds", func() float64 { return n.fleet.StoreAge().Seconds() })
	gauge(`banyanlug_client_connections{of="open"}`, func() float64 { return float64(n.callerServer.ConnStats().Open) })
	gauge(`banyanlug_client_connections{of="max"}`, func() float64 { return float64(n.callerServer.ConnStats().Max) })
	gauge(`banyanlug_client_connections{of="closed"}`, func() float64 { return float64(n.callerServer.ConnStats().Closed) })
	gauge(`banyanlug_client_connections{of="refused"}`, func() float64 { return float64(n.callerServer.ConnStats().Refused) })
	gauge("banyanlug_log_dropped_lines", func() float64 { return float64(n.out.Dropped()) })
	gauge("banyanlug_scheduling_delay_seconds", func() float64 { return n.overload.Delay().Seconds() })
	gauge("banyanlug_overloaded", func() float64 {
		if n.overload.Overloaded() {
			return 1
		}
		return 0
	})
	gauge("banyanlug_ready", func() float64 {
		if n.Ready() {
			return 1
		}
		return 0
	})
}

// peersHandler serves the requests of other nodes.
func (n *Node) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(n.tokens.Service().PathPrefix(), n.tokens.Service())
	mux.Handle("/", n.fleet.Handler())
	return bounded.Handler(mux)
}

func (n *Node) adminHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}, http.MethodGet)
	return mux
}
