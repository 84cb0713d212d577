package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// nodesPerDomain is the size of a failure domain in the full-size fleet,
	// 4,200 instances in 22 domains. By default, a measured fleet has domains of at
	// most this size, and at least minDomains, so that one can fail.
	nodesPerDomain = 191
	minDomains     = 2
	// settleTimeout ends a measurement whose fleet does not converge.
	settleTimeout = 2 * time.Minute
	pollInterval  = 5 * time.Millisecond
)

// fleet runs the control plane of many nodes in one process, over loopback.
type fleet struct {
	clock   *timer.Service
	rng     *rand.Rand
	store   *measuredStore
	domains int
	pools   int
	members []*member
	// stoppedBytes counts the bytes that stopped nodes had received.
	stoppedBytes uint64
}

// member is one instance, whose node may be stopped and restarted.
type member struct {
	name, domain, pool string
	address            netip.AddrPort
	node               *peer.Node
	client             *platform.Client
	cancel             context.CancelFunc
	done               []chan error
}

// startFleet starts a store and a fleet and waits until every node has the
// configuration and sees every other as ready. The caller stops the fleet.
func startFleet(ctx context.Context, g *group, clock *timer.Service, seed uint64, nodes, domains, services int) (*fleet, error) {
	s, err := startStore(g, clock)
	if err != nil {
		return nil, err
	}
	f := newFleet(clock, s, seed, nodes, domains, services)
	if err := f.bringUp(ctx, services); err != nil {
		f.stop(f.members...)
		return nil, err
	}
	return f, nil
}

func newFleet(clock *timer.Service, s *measuredStore, seed uint64, nodes, domains, pools int) *fleet {
	if domains == 0 {
		domains = max(minDomains, (nodes+nodesPerDomain-1)/nodesPerDomain)
	}
	f := &fleet{clock: clock, rng: rand.New(rand.NewPCG(seed, 7)), store: s, domains: domains, pools: pools}
	for i := range nodes {
		f.members = append(f.members, &member{
			name:   fmt.Sprintf("instance-%04d", i),
			domain: fmt.Sprintf("region-%d/domain-%02d", i%domains%6, i%domains),
			pool:   serviceName(i/domains%pools) + "-main",
		})
	}
	return f
}

// startAll starts all instances at once.
func (f *fleet) startAll() error {
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// start starts an instance's node. A restarted one keeps its address, as a
// process that is restarted on its machine does.
func (f *fleet) start(m *member) error {
	listen := "127.0.0.1:0"
	if m.address.IsValid() {
		listen = m.address.String()
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		// Another connection took the port meanwhile.
		ln, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return &PartError{Part: m.name, Err: err}
	}
	m.address = ln.Addr().(*net.TCPAddr).AddrPort()
	now, seed := f.clock.Now(), f.rng.Uint64()
	self := membership.NewSelf(now, rand.New(rand.NewPCG(seed, 2)), m.name, membership.Domain(m.domain), membership.Pool(m.pool),
		membership.ControlAddress(m.address), membership.Address(m.address), membership.InState(membership.Ready))
	if m.client, err = platform.Dial(f.store.nodeAddress, platform.WithClock(f.clock)); err != nil {
		return err
	}
	m.node = peer.New(f.clock, event.Discard(), membership.New(m.domain, seed|1), self, []byte(fleetKey),
		peer.WithRandomSeed(seed), peer.WithStore(m.client, publish.New(m.client, f.clock)))
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = []chan error{make(chan error, 1), make(chan error, 1)}
	go m.node.Serve(ctx, ln, m.done[0])
	go m.node.Run(ctx, m.done[1])
	return nil
}

func (m *member) running() bool { return m.node != nil }

// stop stops nodes at once, without an announcement, as a crash does.
func (f *fleet) stop(members ...*member) {
	var wg sync.WaitGroup
	for _, m := range members {
		if !m.running() {
			continue
		}
		m.cancel()
		wg.Go(func() {
			for _, done := range m.done {
				<-done
			}
			m.client.Close()
		})
	}
	wg.Wait()
	for _, m := range members {
		if m.running() {
			f.stoppedBytes += m.node.Bytes().In()
			m.node = nil
		}
	}
}

// peerBytes returns the bytes sent between nodes, counted once, at the
// receiver.
func (f *fleet) peerBytes() uint64 {
	total := f.stoppedBytes
	for _, m := range f.members {
		if m.running() {
			total += m.node.Bytes().In()
		}
	}
	return total
}

// waitUntil polls a condition until it holds or settleTimeout has passed.
func (f *fleet) waitUntil(ctx context.Context, condition string, met func() bool) error {
	ctx, cancel := f.clock.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !met() {
		if err := f.clock.Sleep(ctx, pollInterval); err != nil {
			return &PartError{Part: condition, Err: context.Cause(ctx)}
		}
	}
	return nil
}

// allReady reports whether all running nodes see exactly the running ones as
// ready; flap damping may still withhold new work from some.
func (f *fleet) allReady() bool {
	want := 0
	for _, m := range f.members {
		if m.running() {
			want++
		}
	}
	for _, m := range f.members {
		if !m.running() {
			continue
		}
		ready := 0
		for _, r := range m.node.View().Records() {
			if r.State() == membership.Ready {
				ready++
			}
		}
		if ready != want {
			return false
		}
	}
	return true
}

// dampedPairs counts the pairs of a running node and a running instance to which
// the node sends no new work because of flap damping.
func (f *fleet) dampedPairs() int {
	pools := map[string]int{}
	for _, m := range f.members {
		if m.running() {
			pools[m.pool]++
		}
	}
	count := 0
	for _, m := range f.members {
		if !m.running() {
			continue
		}
		for p, n := range pools {
			count += max(0, n-len(m.node.View().Pool(p)))
		}
	}
	return count
}

// allRouted reports whether each running node would send new work to exactly
// the instances that run.
func (f *fleet) allRouted() bool {
	want := map[string]int{}
	pools := map[string]bool{}
	for _, m := range f.members {
		pools[m.pool] = true
		if m.running() {
			want[m.pool]++
		}
	}
	for _, m := range f.members {
		if !m.running() {
			continue
		}
		for p := range pools {
			if len(m.node.View().Pool(p)) != want[p] {
				return false
			}
		}
	}
	return true
}

// allCurrent reports whether all running nodes have the newest version.
func (f *fleet) allCurrent() bool {
	for _, m := range f.members {
		if m.running() && m.node.Holder().Current().Digest() != f.store.current.Digest() {
			return false
		}
	}
	return true
}

// bringUp publishes the base configuration, starts all nodes and waits until
// they converge.
func (f *fleet) bringUp(ctx context.Context, services int) error {
	d, next, err := f.store.next(baseConfiguration(services))
	if err != nil {
		return err
	}
	if err := f.store.publish(ctx, d, next); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	return f.waitUntil(ctx, "all nodes have the configuration and see each other as ready", func() bool { return f.allCurrent() && f.allReady() })
}
