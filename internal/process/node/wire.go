package node

import (
	"crypto/tls"
	"math/rand/v2"
	"net/netip"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/ledger"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/control/quota"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/report/burn"
	"banyanlug.example/banyanlug/internal/report/burnpb"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// wire builds the components in the order of their dependencies.
func (n *Node) wire() error {
	key, err := n.cfg.loadFleetKey()
	if err != nil {
		return err
	}
	tlsConf, err := n.cfg.loadTLS()
	if err != nil {
		return err
	}
	if tlsConf != nil && n.listeners.operators != nil {
		// Tokens must not cross the network unencrypted.
		n.listeners.operators = tls.NewListener(n.listeners.operators, tlsConf.operators)
	}
	if n.cfg.store != "" {
		client, err := platform.Dial(n.cfg.store, platform.WithMetrics(n.metrics))
		if err != nil {
			return &SettingError{"store", err.Error()}
		}
		n.store = client
		n.versions = publish.New(n.store, n.clock)
	}
	n.wireControl(key, tlsConf)
	n.wireTraffic(string(key), tlsConf)
	n.lifecycle = newLifecycle(n.log)
	n.registerMetrics()
	return nil
}

func (n *Node) wireControl(key []byte, tlsConf *tlsConfigs) {
	now := n.clock.Now()
	if n.seed = n.cfg.seed; n.seed == 0 {
		n.seed = uint64(now.UnixNano())
	}
	self := membership.NewSelf(now, rand.New(rand.NewPCG(n.seed, 2)), n.cfg.instance,
		membership.Domain(n.cfg.domain), membership.Pool(n.cfg.pool), membership.InState(membership.Starting),
		membership.Address(advertisedAddr(n.cfg.advertiseMesh, n.listeners.mesh)),
		membership.ControlAddress(advertisedAddr(n.cfg.advertisePeers, n.listeners.peers)))
	n.burn = burn.NewRecorder(n.latencyObjective)
	n.view = membership.New(n.cfg.domain, n.seed|1)
	// Check has already rejected settings that do not parse.
	seeds, _ := n.cfg.parseSeeds()
	opts := []peer.Option{peer.WithSeedAddresses(seeds...), peer.WithRandomSeed(n.seed)}
	if n.store != nil {
		opts = append(opts, peer.WithStore(n.store, n.versions))
	}
	if tlsConf != nil {
		opts = append(opts, peer.WithTLS(tlsConf.serving, tlsConf.dialing))
	}
	n.peer = peer.New(n.clock, n.log, n.view, self, key, opts...)
	n.peer.AddService(burnpb.NewBurnServer(burnService{n}))
	n.wireLimits()
	n.wireLedger()
}

// wireLedger builds the ledger of claims, which keeps calls that are not
// idempotent from running twice, and mounts its service for other nodes.
func (n *Node) wireLedger() {
	var opts []ledger.Option
	if n.store != nil {
		opts = append(opts, ledger.WithStore(n.store))
	}
	n.ledger = ledger.New(n.clock, n.log, ledgerMesh{n.peer}, opts...)
	n.peer.AddService(n.ledger.Service())
}

// wireLimits builds the enforcement of organisations' limits and mounts the
// service through which nodes exchange quota shares.
func (n *Node) wireLimits() {
	n.limits = limit.NewLimiter(limit.OnShareNeeded(func() { n.quota.RequestHeartbeat() }))
	opts := []quota.Option{quota.WithLimitCheck(func() bool { return n.cfg.limits && n.peer.Holder().Current().HasLimits() })}
	if n.store != nil {
		opts = append(opts, quota.WithStore(n.store))
	}
	declared := func(organisation string) (snapshot.Limit, bool) {
		return n.peer.Holder().Current().Limit(organisation)
	}
	n.quota = quota.New(n.clock, n.log, n.limits, declared, opts...)
	n.quota.SetMesh(n.peer)
	n.peer.AddService(n.quota.Service())
}

func (n *Node) wireTraffic(key string, tlsConf *tlsConfigs) {
	var serving, dialing *tls.Config
	if tlsConf != nil {
		serving, dialing = tlsConf.serving, tlsConf.dialing
	}
	credential, sealer := hop.NewCredential(key), hop.NewSealer(key)
	n.hop = hop.NewClient(n.clock, hop.WithCredential(credential), hop.WithTLS(dialing), hop.ExpectContinue())
	balancer := balance.New(n.clock.Now(), rand.New(rand.NewPCG(n.seed, 3)),
		balance.Domain(n.cfg.domain), balance.Tiers(regionTier(n.cfg.domain)))
	n.gate = newConfigGate(n.peer.Holder())
	opts := []caller.Option{
		caller.WithMetrics(n.metrics), caller.WithObserver(n.observe), caller.WithClaims(claims{n.ledger}),
		caller.WithBalancer(balancer), caller.WithBudgets(retry.NewBudgets(rand.New(rand.NewPCG(n.seed, 4)))),
		caller.WithDrain(n.drainGate),
	}
	if n.cfg.limits {
		opts = append(opts, caller.WithLimits(n.limits))
	}
	calls := caller.New(n.gate, directory{n.view}, n.hop, sealer, n.clock, opts...)
	n.callers = caller.NewServer(calls, n.clock, n.log, http1.WithMaxConns(http1.MaxClientConns(0)))
	if n.cfg.pool == "" {
		return
	}
	// Check has already rejected settings that do not parse.
	n.targetAddr, _ = netip.ParseAddrPort(n.cfg.target)
	n.slots = target.NewSlots(n.peer.Holder(), n.cfg.pool, n.clock)
	h := target.New(n.slots, n.targetAddr, hop.NewClient(n.clock), credential, sealer, n.clock,
		target.WithLog(n.log), target.WithMetrics(n.metrics), target.WithDrain(n.drainGate))
	n.targets = target.NewServer(h, n.clock, http1.WithTLS(serving))
}
