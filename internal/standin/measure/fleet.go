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
	// fullDomain is how many nodes a failure domain has at the letter's size,
	// 4,200 in 22; a fleet of one machine has as many domains of this size, and
	// no fewer than two, so that a domain can be cut off.
	fullDomain = 191
	minDomains = 2
	// settleTimeout ends a measurement whose fleet does not come together.
	settleTimeout = 2 * time.Minute
	lookEvery     = 5 * time.Millisecond
)

// fleet is the control side of many nodes in one process, over loopback.
type fleet struct {
	clk     *timer.Service
	rng     *rand.Rand
	stored  *stored
	domains int
	pools   int
	members []*member
	// past is what nodes that have ended moved.
	past uint64
}

// member is one instance; its process comes and goes.
type member struct {
	name, domain, pool string
	address            netip.AddrPort
	node               *peer.Node
	client             *platform.Client
	cancel             context.CancelFunc
	ends               []chan error
}

// startFleet starts a store and a fleet and waits until all know all; the fleet is
// stopped by the one who asked for it.
func startFleet(ctx context.Context, g *group, clk *timer.Service, seed uint64, nodes, domains, services int) (*fleet, error) {
	s, err := startStore(g, clk)
	if err != nil {
		return nil, err
	}
	f := newFleet(clk, s, seed, nodes, domains, services)
	if err := f.ready(ctx, services); err != nil {
		f.stop(f.members...)
		return nil, err
	}
	return f, nil
}

func newFleet(clk *timer.Service, s *stored, seed uint64, nodes, domains, pools int) *fleet {
	if domains == 0 {
		domains = max(minDomains, (nodes+fullDomain-1)/fullDomain)
	}
	f := &fleet{clk: clk, rng: rand.New(rand.NewPCG(seed, 7)), stored: s, domains: domains, pools: pools}
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

// start starts an instance's node; a later one keeps its address, as a process
// that is restarted in its slot does.
func (f *fleet) start(m *member) error {
	listen := "127.0.0.1:0"
	if m.address.IsValid() {
		listen = m.address.String()
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		// Some connection of the machine took the port meanwhile: then it is an
		// instance that was replaced.
		ln, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return &PartError{Part: m.name, Err: err}
	}
	m.address = ln.Addr().(*net.TCPAddr).AddrPort()
	now, seed := f.clk.Now(), f.rng.Uint64()
	self := membership.NewSelf(now, rand.New(rand.NewPCG(seed, 2)), m.name, membership.Domain(m.domain), membership.Pool(m.pool),
		membership.Peer(m.address), membership.Address(m.address), membership.InState(membership.Ready))
	if m.client, err = platform.Dial(f.stored.nodes, platform.WithClock(f.clk)); err != nil {
		return err
	}
	m.node = peer.New(f.clk, event.Discard(), membership.New(m.domain, seed|1), self, []byte(fleetKey),
		peer.WithSeed(seed), peer.WithStore(m.client, publish.New(m.client, f.clk)))
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.ends = []chan error{make(chan error, 1), make(chan error, 1)}
	go m.node.Serve(ctx, ln, m.ends[0])
	go m.node.Run(ctx, m.ends[1])
	return nil
}

func (m *member) running() bool { return m.node != nil }

// stop ends nodes at once, without a word to the others, as a crash does.
func (f *fleet) stop(members ...*member) {
	var wg sync.WaitGroup
	for _, m := range members {
		if !m.running() {
			continue
		}
		m.cancel()
		wg.Go(func() {
			for _, e := range m.ends {
				<-e
			}
			m.client.Close()
		})
	}
	wg.Wait()
	for _, m := range members {
		if m.running() {
			f.past += m.node.Bytes().In()
			m.node = nil
		}
	}
}

// moved returns the bytes that went between nodes, each counted once, where it
// was received.
func (f *fleet) moved() uint64 {
	total := f.past
	for _, m := range f.members {
		if m.running() {
			total += m.node.Bytes().In()
		}
	}
	return total
}

// until waits for a condition.
func (f *fleet) until(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := f.clk.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !ok() {
		if err := f.clk.Sleep(ctx, lookEvery); err != nil {
			return &PartError{Part: what, Err: context.Cause(ctx)}
		}
	}
	return nil
}

// viewed reports whether all nodes that run hold all that run, and no other,
// for ready; flap damping may still keep some of them from new work.
func (f *fleet) viewed() bool {
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

// heldBack counts, over all nodes, the instances that a node knows and sends no
// new work for the time being.
func (f *fleet) heldBack() int {
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

// known reports whether all nodes that run know of all that run, and of no
// other, as targets that get work.
func (f *fleet) known() bool {
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

// inForce reports whether all nodes that run hold the newest version.
func (f *fleet) inForce() bool {
	for _, m := range f.members {
		if m.running() && m.node.Holder().Current().Digest() != f.stored.held.Digest() {
			return false
		}
	}
	return true
}

// ready brings the fleet up on a base configuration.
func (f *fleet) ready(ctx context.Context, services int) error {
	d, next, err := f.stored.next(base(services))
	if err != nil {
		return err
	}
	if err := f.stored.publish(ctx, d, next); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	return f.until(ctx, "all nodes know all", func() bool { return f.inForce() && f.viewed() })
}
