package quota

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// beatEvery is how often a node looks for reports that are due: shares
	// follow demand by a few heartbeats, and callers notice seconds.
	beatEvery = time.Second
	// callTimeout bounds a heartbeat: many round trips between regions, and well
	// under a node's lease, so that a lost one is made good in time.
	callTimeout = 2 * time.Second
)

// hurryGap follows the first heartbeat that is sent before its time, and doubles
// up to beatEvery while more are asked for: shares come within a few round trips
// of the first need, and an organisation that goes on asking beyond its limit
// costs no more than the usual heartbeats.
const hurryGap = 50 * time.Millisecond

// Mesh is what a node knows of the others and how it reaches them.
type Mesh interface {
	// Self returns the node's own announcement.
	Self() membership.Record
	// Root returns the root of the node's failure domain.
	Root() (membership.Record, bool)
	View() *membership.View
	Client() *http.Client
	BaseURL(netip.AddrPort) string
}

// Declared returns the limit that is declared for an organisation.
type Declared func(organisation string) (snapshot.Limit, bool)

// Part is a node's part in moving shares.
type Part struct {
	clock    *timer.Service
	log      *event.Logger
	mesh     Mesh
	holder   *limit.Holder
	declared Declared
	limited  func() bool
	store    platform.Store
	count    counters

	// need and short ask for a heartbeat before its time: calls came for which
	// the node has no share, or the domain has none to hand out.
	need, short chan struct{}
	// seated asks the seat for its first look.
	seated chan struct{}

	up    upward
	relay relay
	seat  seat
	seek  seek
}

// Option sets one property of a part.
type Option func(*Part)

// WithStore sets the platform's store; without it the node takes no seat and
// finds it only by what others tell.
func WithStore(s platform.Store) Option { return func(p *Part) { p.store = s } }

// Limited sets what tells whether any limit is declared. Then the seat is taken
// before the first calls come, which would else be refused while it is sought
// and the domains are asked what they hold.
func Limited(f func() bool) Option { return func(p *Part) { p.limited = f } }

// New returns a part that moves the shares of holder.
func New(clock *timer.Service, log *event.Logger, holder *limit.Holder, declared Declared, opts ...Option) *Part {
	p := &Part{
		clock: clock, log: log, holder: holder, declared: declared, limited: func() bool { return false },
		need: make(chan struct{}, 1), short: make(chan struct{}, 1), seated: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Need asks for a heartbeat at once; it does not block.
func (p *Part) Need() { hurry(p.need) }

func hurry(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Join sets how the node reaches others. It comes before Run and before the
// service is asked anything; the mesh itself is made with the service in it.
func (p *Part) Join(mesh Mesh) { p.mesh = mesh }

// Run sends heartbeats, and speaks for the failure domain and keeps the seat
// while these are the node's, until ctx ends.
func (p *Part) Run(ctx context.Context, done chan<- error) {
	duties := []struct {
		do    func(context.Context)
		hurry <-chan struct{}
	}{{p.beat, p.need}, {p.lead, p.short}, {p.keep, p.seated}}
	ended := make(chan struct{}, len(duties))
	for _, duty := range duties {
		go func() {
			tick := p.clock.Subscribe(beatEvery)
			defer tick.Stop()
			gap := hurryGap
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
				case <-tick.C():
					duty.do(ctx)
					if len(duty.hurry) == 0 {
						gap = hurryGap
					}
				case <-duty.hurry:
					duty.do(ctx)
					_ = p.clock.Sleep(ctx, gap)
					gap = min(2*gap, beatEvery)
				}
			}
			ended <- struct{}{}
		}()
	}
	for range duties {
		<-ended
	}
	p.leave(context.WithoutCancel(ctx))
	done <- ctx.Err()
}

// leave gives up what the node did for others, so that the next need not wait
// until its silence has lasted a lease.
func (p *Part) leave(ctx context.Context) {
	ctx, cancel := p.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.resign(ctx)
	if lease, ok := p.stand(); ok {
		// A lost answer only lets the lease run out.
		_ = p.store.Revoke(ctx, lease)
	}
}

// dial returns the quota service of a node, its own without the network.
func (p *Part) dial(r place) quotapb.Quota {
	if r.instance == p.mesh.Self().Instance() {
		return server{p}
	}
	return quotapb.NewQuotaProtobufClient(p.mesh.BaseURL(r.peer), p.mesh.Client())
}

// place is a node with its address.
type place struct {
	instance string
	peer     netip.AddrPort
	boot     uint64
}

func placeOf(r membership.Record) place { return place{r.Instance(), r.Peer(), r.Boot()} }
