package resident

import (
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
	"banyanlug.example/banyanlug/internal/control/fleet"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// openTo stands for whoever the platform lets in: its calls bear no API key,
// and all of them are for customers who pay.
var openTo = snapshot.NewOrganisation("platform", snapshot.Paying)

// Node is one resident node.
type Node struct {
	cfg     *Settings
	clk     *timer.Service
	log     *event.Logger
	out     *event.Async
	metrics *metrics.Set
	dialect hop.Dialect
	listen  listeners

	fleet   *fleet.Fleet
	budgets *retry.Budgets
	hop     *hop.Client
	local   *hop.Client
	callers *caller.Server
	slots   *target.Slots
	targets *target.Server
	target  *target.Handler
	calls   *register

	bounds    atomic.Pointer[Bounds]
	stopping  atomic.Bool
	warming   atomic.Bool // the target says that it is still slow after its start
	mu        sync.Mutex
	tracker   *lifecycle.Tracker
	lastCrash string
	// leaving is set once the other nodes are told to stay away, closed once
	// their calls are refused.
	leaving, closed bool

	fleetOptions []fleet.Option
}

type listeners struct{ callers, mesh, peers, admin net.Listener }

// Option sets one property of a node.
type Option func(*Node)

// WithDialect sets the headers in which callers and the target speak.
func WithDialect(d hop.Dialect) Option { return func(n *Node) { n.dialect = d } }

// WithOrders makes the node carry out orders of rollouts.
func WithOrders(o fleet.Orders) Option {
	return func(n *Node) {
		share := func() float64 { return n.bounds.Load().CanaryShare }
		n.fleetOptions = append(n.fleetOptions, fleet.WithRollouts(o, share))
	}
}

// New opens the node's addresses and wires its parts; Run starts them.
func New(cfg *Settings, clk *timer.Service, out io.Writer, store platform.Prefixes, configKey string, decode fleet.Decoder, opts ...Option) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, clk: clk, out: event.NewAsync(out, clk), metrics: metrics.NewSet(),
		dialect: hop.NewDialect(), tracker: lifecycle.NewTracker(),
	}
	n.bounds.Store(&cfg.Bounds)
	n.log = event.New(n.out, cfg.Instance).Within(event.NewBudget(clk))
	for _, opt := range opts {
		opt(n)
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.wire(store, configKey, decode)
	return n, nil
}

func (n *Node) open() error {
	return http1.ListenAll(
		http1.Place{To: &n.listen.callers, Name: "callers", Address: n.cfg.Callers},
		http1.Place{To: &n.listen.mesh, Name: "mesh", Address: n.cfg.Mesh},
		http1.Place{To: &n.listen.peers, Name: "peers", Address: n.cfg.Peers},
		http1.Place{To: &n.listen.admin, Name: "admin", Address: n.cfg.Admin},
	)
}

// targetIdle is how long a connection to the target is kept: targets close
// theirs after ten seconds or more, and a call sent as they do is lost.
const targetIdle = 4 * time.Second

// dialWithin is how long a connection to another node may take to open. The ways
// here take some milliseconds, and a kernel answers for a process that stands
// still; what takes longer is a cut or a lost packet, which the kernel sends again
// only after a second, when most calls have no time left to go elsewhere.
const dialWithin = 250 * time.Millisecond

const (
	// elsewhere is how many further targets a call asks that found one full: a
	// third full one tells that the pool is.
	elsewhere = 2
	// refusedShare is the part of the calls that may do so: all, as such a refusal
	// costs a millisecond on the way and reaches no target, while a call that is
	// not let try loses its worth beside a free slot.
	refusedShare = 1
)

const (
	// repeatPart and rejectPart are the parts of the mesh's retry share that
	// repeats use, and calls that a target has rejected. The latter get the most: a
	// rejection has cost nothing yet, and sending that call elsewhere may save a
	// longer one that waits for it, while a repeat also repeats the calls that it
	// leads to, which count one level down as well.
	repeatPart = 0.2
	rejectPart = 0.55
	// sparePart is the part of what the mesh may repeat besides that its nodes may
	// save up between them for either; the other half is for nodes that start.
	sparePart = 0.25
)

// retryBounds returns this node's part of what the platform lets the mesh repeat.
func (n *Node) retryBounds() retry.Bounds {
	b := n.bounds.Load()
	return retry.Bounds{
		Repeated: b.RetryShare * repeatPart,
		Rejected: b.RetryShare * rejectPart,
		Saved:    max(1, float64(b.RetrySpare)*sparePart/float64(n.fleet.Size())),
	}
}

func (n *Node) wire(store platform.Prefixes, configKey string, decode fleet.Decoder) {
	seed := uint64(n.clk.Now().UnixNano())
	// The settings have been checked, so the addresses can be read.
	mesh, _ := netip.ParseAddrPort(n.cfg.Mesh)
	peers, _ := netip.ParseAddrPort(n.cfg.Peers)
	local, _ := netip.ParseAddrPort(n.cfg.Target)
	self := membership.NewRecord(n.cfg.Instance, membership.Domain(n.cfg.Domain), membership.Pool(n.cfg.Pool),
		membership.Address(mesh), membership.Peer(peers), membership.Boot(uint64(n.clk.Now().UnixMilli())), membership.Link(n.cfg.Link))
	n.calls = &register{clk: n.clk, log: n.log, calls: poison.NewRegister()}
	n.fleet = fleet.New(store, n.clk, self, configKey, decode,
		append([]fleet.Option{
			fleet.WithLog(n.log), fleet.WithSeed(seed), fleet.OnCrash(n.calls.crashed), fleet.WithRunning(n.runningCalls),
		}, n.fleetOptions...)...)
	n.budgets = retry.NewBudgets(rand.New(rand.NewPCG(seed, 4)), retry.RefusedShare(refusedShare), retry.Bounded(n.retryBounds))
	n.hop = hop.NewClient(n.clk, hop.AskFirst(), hop.DialWithin(dialWithin))
	n.local = hop.NewClient(n.clk, hop.UntilClosed(), hop.WithIdle(targetIdle))
	n.callers = caller.NewServer(caller.New(n.fleet, n.fleet, n.hop, nil, n.clk,
		caller.WithDialect(n.dialect), caller.WithOrigin(n.cfg.Pool), caller.OpenTo(openTo),
		caller.WithMetrics(n.metrics), caller.OnNewer(n.fleet.Hint),
		caller.WithBalancer(balance.New(n.clk.Now(), rand.New(rand.NewPCG(seed, 3)), balance.Domain(n.cfg.Domain))),
		caller.WithElsewhere(elsewhere), caller.WithDecisions(n.log), caller.WithRegister(n.calls),
		caller.WithBudgets(n.budgets),
	), n.clk, n.log)
	n.slots = target.NewSlots(n.fleet, n.cfg.Pool, n.clk)
	n.slots.Beside(n.tracker.Target())
	n.target = target.New(n.slots, local, n.local, nil, nil, n.clk,
		target.WithLog(n.log), target.WithMetrics(n.metrics), target.WithDialect(n.dialect),
		target.OnRefused(n.refused), target.WithVersion(n.version), target.WithDecisions(n.log),
		target.WithRollout(n.fleet.Admits, n.observe))
	n.targets = target.NewServer(n.target, n.clk)
	n.registerMetrics()
}

// Members returns how many nodes are known, this one included.
func (n *Node) Members() int { return n.fleet.Size() }

// runningCalls returns how many calls the target beside this node runs.
func (n *Node) runningCalls() int {
	l := n.slots.Load()
	return l.Running(snapshot.Paying) + l.Running(snapshot.Trial)
}

// observe takes in an answer of the target beside this node.
func (n *Node) observe(route string, took time.Duration, failed bool) {
	n.fleet.Observe(route, took, failed, !n.warming.Load())
}

func (n *Node) version() uint64 { return n.fleet.Current().Version() }

// Reload takes over settings that have changed: the bounds at once, while
// addresses and names hold until the next start.
func (n *Node) Reload(cfg *Settings) {
	if err := cfg.Check(); err != nil {
		n.log.Emit(event.SettingsRefused, event.F("error", err))
		return
	}
	after, before := cfg.Bounds, *n.bounds.Load()
	fixed := *cfg
	fixed.Bounds = n.cfg.Bounds
	n.bounds.Store(&after)
	n.log.Emit(event.SettingsRead, event.F("bounds_changed", after != before), event.F("start_needed", fixed != *n.cfg))
}

// Refuse tells of settings that can't be read; those in force hold.
func (n *Node) Refuse(err error) { n.log.Emit(event.SettingsRefused, event.F("error", err)) }

// Targets returns the ready targets of a pool, as this node knows them.
func (n *Node) Targets(pool string) []membership.Record { return n.fleet.Targets(pool) }

// Ready reports whether the node takes callers' calls: it knows a configuration
// and the members, and does not stop.
func (n *Node) Ready() bool { return n.fleet.Ready() && !n.stopping.Load() }

// Hear takes in a heartbeat of the target. Once it returns, no call is passed
// on to a target that has said that it drains.
func (n *Node) Hear(h lifecycle.Heartbeat) {
	n.follow(func() bool {
		changed := n.tracker.Hear(h)
		n.warming.Store(n.tracker.Warming())
		return changed
	})
}

// Goodbye takes in that a target's process leaves.
func (n *Node) Goodbye(id string) { n.follow(func() bool { return n.tracker.Leave(id) }) }

func (n *Node) refused(id string) { n.follow(func() bool { return n.tracker.Refused(id) }) }

// follow lets the slots and the members know what a word has changed.
func (n *Node) follow(word func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.tracker.Target()
	if !word() {
		return
	}
	t := n.tracker.Target()
	if crash := n.crash(before, t); crash != "" {
		n.lastCrash = crash
		n.calls.crashed(crash)
	}
	n.log.Emit(event.TargetChanged, event.F("target", t.ID()), event.F("phase", t.Phase()),
		event.F("born_ms", t.Born()), event.F("slots", t.Slots()))
	if !n.closed {
		n.slots.Beside(t)
	}
	if !n.leaving {
		n.announce(t)
	}
}

func (n *Node) announce(t lifecycle.Target) {
	state := membership.Starting
	switch t.Phase() {
	case lifecycle.Serving:
		state = membership.Ready
	case lifecycle.Leaving:
		state = membership.Draining
	}
	n.fleet.Announce(state, t.ID(), t.Slots(), n.lastCrash, membership.Version(t.Version()))
}

// leave lets the other nodes know that this one is about to take no further call
// for its target.
func (n *Node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	t := n.tracker.Target()
	n.fleet.Announce(membership.Draining, t.ID(), t.Slots(), n.lastCrash, membership.Version(t.Version()))
}

// close refuses the calls that wait for the target and all that come from now on;
// they go elsewhere.
func (n *Node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.slots.Drain()
	n.log.Emit(event.NodeDrains)
}

// registerMetrics adds what is read from the parts when somebody asks.
func (n *Node) registerMetrics() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("banyanlug_config_version", func() float64 { return float64(n.version()) })
	gauge("banyanlug_config_age_seconds", func() float64 { return n.fleet.ConfigAge().Seconds() })
	for _, state := range []membership.State{membership.Starting, membership.Ready, membership.Draining, membership.Gone} {
		gauge(fmt.Sprintf("banyanlug_members{state=%q}", state), func() float64 { return float64(n.fleet.Members()[state]) })
	}
	gauge(`banyanlug_retry_budget{for="repeats"}`, func() float64 { repeats, _ := n.budgets.Left(); return repeats })
	gauge(`banyanlug_retry_budget{for="refused"}`, func() float64 { _, refused := n.budgets.Left(); return refused })
	gauge("banyanlug_store_silent_seconds", func() float64 { return n.fleet.StoreAge().Seconds() })
	gauge("banyanlug_log_dropped_lines", func() float64 { return float64(n.out.Dropped()) })
	gauge("banyanlug_ready", func() float64 {
		if n.Ready() {
			return 1
		}
		return 0
	})
}

func (n *Node) adminHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}, http.MethodGet)
	return mux
}
