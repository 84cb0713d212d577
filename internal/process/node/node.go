package node

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/ledger"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/control/quota"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/policy/tree"
	"banyanlug.example/banyanlug/internal/report/burn"
	"banyanlug.example/banyanlug/internal/report/burnpb"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// Node is one node: the control side, the traffic side and the life that
// both share.
type Node struct {
	cfg     *Settings
	clock   *timer.Service
	log     *event.Logger
	metrics *metrics.Set
	life    *life
	seed    uint64

	listeners listeners
	store     platform.Store
	versions  *publish.Log
	view      *membership.View
	peer      *peer.Node
	burn      *burn.Recorder
	ledger    *ledger.Node
	limits    *limit.Holder
	quota     *quota.Part
	hop       *hop.Client
	gate      *gate
	callers   *caller.Server
	slots     *target.Slots
	targets   *target.Server
	local     netip.AddrPort
}

// listeners are the addresses that the node serves on; all are open before
// anything runs, so that a taken port ends the start and not a running node.
type listeners struct{ callers, mesh, peers, operators, admin net.Listener }

// New opens the node's addresses and wires its parts; Run starts them.
func New(cfg *Settings, clock *timer.Service, out io.Writer) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, clock: clock, log: event.New(out, cfg.instance), metrics: metrics.NewSet(),
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if err := n.wire(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		to         *net.Listener
		name, addr string
	}{
		{&n.listeners.callers, "callers", n.cfg.callers},
		{&n.listeners.mesh, "mesh", n.cfg.mesh},
		{&n.listeners.peers, "peers", n.cfg.peers},
		{&n.listeners.operators, "operators", n.cfg.operators},
		{&n.listeners.admin, "admin", n.cfg.admin},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := listen(l.name, l.addr)
		if err != nil {
			return err
		}
		*l.to = ln
	}
	return nil
}

func (n *Node) closeListeners() {
	l := n.listeners
	for _, ln := range []net.Listener{l.callers, l.mesh, l.peers, l.operators, l.admin} {
		if ln != nil {
			ln.Close()
		}
	}
}

// wire builds the parts in the order in which they depend on each other.
func (n *Node) wire() error {
	key, err := n.cfg.key()
	if err != nil {
		return err
	}
	secure, err := n.cfg.tls()
	if err != nil {
		return err
	}
	if secure != nil && n.listeners.operators != nil {
		// A token must not cross the network in the clear.
		n.listeners.operators = tls.NewListener(n.listeners.operators, secure.operators)
	}
	if n.cfg.store != "" {
		client, err := platform.Dial(n.cfg.store, platform.WithMetrics(n.metrics))
		if err != nil {
			return &SettingError{"store", err.Error()}
		}
		n.store = client
		n.versions = publish.New(n.store, n.clock)
	}
	n.wireControl(key, secure)
	n.wireTraffic(string(key), secure)
	n.life = newLife(n.log)
	n.registerMetrics()
	return nil
}

func (n *Node) wireControl(key []byte, secure *tlsPair) {
	now := n.clock.Now()
	if n.seed = n.cfg.seed; n.seed == 0 {
		n.seed = uint64(now.UnixNano())
	}
	self := membership.NewSelf(now, rand.New(rand.NewPCG(n.seed, 2)), n.cfg.instance,
		membership.Domain(n.cfg.domain), membership.Pool(n.cfg.pool), membership.InState(membership.Starting),
		membership.Address(told(n.cfg.advertiseMesh, n.listeners.mesh)),
		membership.Peer(told(n.cfg.advertisePeers, n.listeners.peers)))
	n.burn = burn.NewRecorder(n.objective)
	n.view = membership.New(n.cfg.domain, n.seed|1)
	// The settings have been checked, so the seeds can be read.
	seeds, _ := n.cfg.seedAddrs()
	opts := []peer.Option{
		peer.WithSeeds(seeds...), peer.WithSeed(n.seed),
		peer.WithService(burnpb.NewBurnServer(counts{n})), peer.WithService(n.wireLimits()),
	}
	if n.store != nil {
		opts = append(opts, peer.WithStore(n.store, n.versions))
	}
	if secure != nil {
		opts = append(opts, peer.WithTLS(secure.serving, secure.dialing))
	}
	n.peer = peer.New(n.clock, n.log, n.view, self, key, opts...)
	n.quota.Join(n.peer)
	n.wireLedger()
}

func (n *Node) wireLedger() {
	var opts []ledger.Option
	if n.store != nil {
		opts = append(opts, ledger.WithStore(n.store))
	}
	n.ledger = ledger.New(n.clock, n.log, mesh{n.peer}, opts...)
	n.peer.Add(n.ledger.Service())
}

// wireLimits makes what holds organisations to their limits and returns the
// service by which nodes share them.
func (n *Node) wireLimits() peer.Service {
	n.limits = limit.NewHolder(limit.OnNeed(func() { n.quota.Need() }))
	opts := []quota.Option{quota.Limited(func() bool { return n.cfg.limits && n.peer.Holder().Current().Limited() })}
	if n.store != nil {
		opts = append(opts, quota.WithStore(n.store))
	}
	declared := func(organisation string) (snapshot.Limit, bool) {
		return n.peer.Holder().Current().Limit(organisation)
	}
	n.quota = quota.New(n.clock, n.log, n.limits, declared, opts...)
	return n.quota.Service()
}

func (n *Node) wireTraffic(key string, secure *tlsPair) {
	var serving, dialing *tls.Config
	if secure != nil {
		serving, dialing = secure.serving, secure.dialing
	}
	credential, sealer := hop.NewCredential(key), hop.NewSealer(key)
	n.hop = hop.NewClient(n.clock, hop.WithCredential(credential), hop.WithTLS(dialing), hop.AskFirst())
	choice := balance.New(n.clock.Now(), rand.New(rand.NewPCG(n.seed, 3)),
		balance.Domain(n.cfg.domain), balance.Tiers(regionTier(n.cfg.domain)))
	n.gate = newGate(n.peer.Holder())
	opts := []caller.Option{
		caller.WithMetrics(n.metrics), caller.WithObserver(n.observe), caller.WithClaims(claims{n.ledger}),
		caller.WithBalancer(choice), caller.WithBudgets(retry.NewBudgets(rand.New(rand.NewPCG(n.seed, 4)))),
	}
	if n.cfg.limits {
		opts = append(opts, caller.WithLimits(n.limits))
	}
	calls := caller.New(n.gate, directory{n.view}, n.hop, sealer, n.clock, opts...)
	n.callers = caller.NewServer(calls, n.clock, n.log)
	if n.cfg.pool == "" {
		return
	}
	// The settings have been checked, so the address can be read.
	n.local, _ = netip.ParseAddrPort(n.cfg.target)
	n.slots = target.NewSlots(n.peer.Holder(), n.cfg.pool, n.clock)
	h := target.New(n.slots, n.local, hop.NewClient(n.clock), credential, sealer, n.clock,
		target.WithLog(n.log), target.WithMetrics(n.metrics))
	n.targets = target.NewServer(h, n.clock, http1.WithTLS(serving))
}

// addrOf returns where others reach a listener.
func addrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// told returns the address that others are told for a listener. The settings
// have been checked, so an advertised one can be read.
func told(advertised string, ln net.Listener) netip.AddrPort {
	if a, err := netip.ParseAddrPort(advertised); err == nil {
		return a
	}
	return addrOf(ln)
}

// directory tells the traffic side which targets get new work.
type directory struct{ view *membership.View }

var _ caller.Fallback = directory{}

// Targets implements caller.Directory.
func (d directory) Targets(pool string) []membership.Record { return d.view.Pool(pool) }

// Fallback implements caller.Fallback.
func (d directory) Fallback(pool string) []membership.Record { return d.view.Fallback(pool) }

// regionTier tells how far a failure domain is: the own one, the own region,
// the rest.
func regionTier(home string) func(domain string) int {
	return func(domain string) int {
		switch {
		case domain == home:
			return 0
		case tree.Region(domain) == tree.Region(home):
			return 1
		default:
			return 2
		}
	}
}

// Callers returns the address on which callers reach the node.
func (n *Node) Callers() netip.AddrPort { return addrOf(n.listeners.callers) }

// Peers returns the address on which other nodes reach it for control.
func (n *Node) Peers() netip.AddrPort { return addrOf(n.listeners.peers) }

// Admin returns the address of metrics and health.
func (n *Node) Admin() netip.AddrPort { return addrOf(n.listeners.admin) }

// Operators returns the address of the operators' API, or false without one.
func (n *Node) Operators() (netip.AddrPort, bool) {
	if n.listeners.operators == nil {
		return netip.AddrPort{}, false
	}
	return addrOf(n.listeners.operators), true
}

// Holder returns the versions that the node holds.
func (n *Node) Holder() *peer.Holder { return n.peer.Holder() }

// Quota returns the node's part in moving the shares of limits.
func (n *Node) Quota() *quota.Part { return n.quota }

// Ready reports whether the node takes calls.
func (n *Node) Ready() bool { return n.life.ready() }

// drainNotice is how long a stopping node goes on taking calls after it has
// announced that it drains. Callers' views lag by the depth of the tree; what
// still comes after it is refused as not run and sent elsewhere.
const drainNotice = 300 * time.Millisecond

// Run serves until ctx ends, then drains, tells the mesh and returns.
func (n *Node) Run(ctx context.Context) error {
	n.started()
	// What serves outlives ctx, which only asks for the stop.
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	parts := n.start(serving)
	err := n.untilStop(ctx, parts)
	n.drain(serving)
	n.ledger.Stop()
	end()
	parts.wait()
	n.life.stopped(err)
	return err
}

// started logs where the node serves.
func (n *Node) started() {
	fields := []event.Field{
		event.F("callers", n.Callers()), event.F("peers", n.Peers()), event.F("mesh", addrOf(n.listeners.mesh)),
		event.F("admin", n.Admin()), event.F("failure_domain", n.cfg.domain),
	}
	if a, ok := n.Operators(); ok {
		fields = append(fields, event.F("operators", a))
	}
	n.log.Emit(event.NodeStarted, fields...)
}

// untilStop watches the target and the parts until the node has to stop.
func (n *Node) untilStop(ctx context.Context, parts *parts) error {
	watched := make(chan error, 1)
	wctx, cancel := context.WithCancel(ctx)
	go n.watchTarget(wctx, watched)
	defer func() {
		cancel()
		<-watched
	}()
	select {
	case <-ctx.Done():
		return nil
	case <-n.peer.Superseded():
		n.log.Emit(event.Superseded)
		return &SupersededError{Instance: n.cfg.instance}
	case err := <-parts.failed:
		n.log.Emit(event.NodeFailed, event.F("error", err))
		return err
	}
}

// drain lets the calls in flight end. New work goes elsewhere first: the mesh
// is told, then what comes is refused as not run, then the node closes.
func (n *Node) drain(ctx context.Context) {
	n.life.drains()
	n.peer.Announce(membership.Draining)
	fctx, cancel := n.clock.WithTimeout(ctx, 2*time.Second)
	n.peer.Flush(fctx)
	cancel()
	_ = n.clock.Sleep(ctx, drainNotice)
	dctx, cancel := n.clock.WithTimeout(ctx, n.cfg.drainTimeout)
	defer cancel()
	if n.targets != nil {
		// What a drain cut off is in the log; the stop goes on all the same.
		_ = n.targets.Drain(dctx)
	}
	_ = n.callers.Drain(dctx)
	n.peer.Announce(membership.Gone)
	fctx, cancel = n.clock.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	n.peer.Flush(fctx)
}

// Targets returns how many targets the node knows that get new work.
func (n *Node) Targets() int {
	count := 0
	for _, r := range n.view.Records() {
		if r.Pool() != "" && r.State() == membership.Ready {
			count++
		}
	}
	return count
}
