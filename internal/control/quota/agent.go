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
	// heartbeatInterval is how often a node checks for due reports. Shares follow
	// demand within a few heartbeats.
	heartbeatInterval = time.Second
	// rpcTimeout bounds a heartbeat. It is well below a node's lease, so that a lost
	// heartbeat can be repeated in time.
	rpcTimeout = 2 * time.Second
)

// minEarlyGap is the delay after the first early heartbeat. It doubles, up to
// heartbeatInterval, while more are requested, as they are while an organisation's
// demand exceeds its limit.
const minEarlyGap = 50 * time.Millisecond

// Mesh gives access to the other nodes of the fleet.
type Mesh interface {
	// Self returns the node's membership record.
	Self() membership.Record
	// Root returns the root of the node's failure domain.
	Root() (membership.Record, bool)
	View() *membership.View
	Client() *http.Client
	BaseURL(netip.AddrPort) string
}

// LimitLookup returns the limit declared for an organisation, or false without one.
type LimitLookup func(organisation string) (snapshot.Limit, bool)

// Agent takes part in the allocation of limits for one node.
type Agent struct {
	clock      *timer.Service
	log        *event.Logger
	mesh       Mesh
	limiter    *limit.Limiter
	declared   LimitLookup
	anyLimited func() bool
	store      platform.Store
	counters   counters

	// shareNeeded requests an early heartbeat of the node when it has calls without a
	// share, domainShareNeeded one of the domain when it has no share left to grant.
	shareNeeded, domainShareNeeded chan struct{}
	// leaderStarted requests the first run of maintainLeadership.
	leaderStarted chan struct{}

	relayClient relayClient
	relay       relay
	leader      leader
	locator     leaderLocator
}

// Option configures an Agent.
type Option func(*Agent)

// WithStore sets the platform's store. Without it the node can't become the leader,
// and learns the leader only from other nodes.
func WithStore(s platform.Store) Option { return func(a *Agent) { a.store = s } }

// WithLimitCheck sets a function that reports whether any limit is declared. If one
// is, a leader is elected before the first calls, which would otherwise be refused
// until the domains have reported what they hold.
func WithLimitCheck(f func() bool) Option { return func(a *Agent) { a.anyLimited = f } }

// New returns an Agent that exchanges the shares of limiter.
func New(clock *timer.Service, log *event.Logger, limiter *limit.Limiter, declared LimitLookup, opts ...Option) *Agent {
	a := &Agent{
		clock: clock, log: log, limiter: limiter, declared: declared, anyLimited: func() bool { return false },
		shareNeeded: make(chan struct{}, 1), domainShareNeeded: make(chan struct{}, 1), leaderStarted: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// RequestHeartbeat requests an early heartbeat; it doesn't block.
func (a *Agent) RequestHeartbeat() { signal(a.shareNeeded) }

// signal wakes the receiver of c, unless a signal is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetMesh sets the mesh. It must be called before Run and before the service gets
// requests; the mesh itself is built with the service, so New can't take it.
func (a *Agent) SetMesh(mesh Mesh) { a.mesh = mesh }

// Run sends the node's heartbeats, and those of the domain while the node is the
// relay, and maintains its leadership while it is the leader. When ctx ends it
// resigns from both and sends ctx's error to done.
func (a *Agent) Run(ctx context.Context, done chan<- error) {
	tasks := []struct {
		run     func(context.Context)
		trigger <-chan struct{}
	}{{a.sendNodeHeartbeat, a.shareNeeded}, {a.sendDomainHeartbeat, a.domainShareNeeded}, {a.maintainLeadership, a.leaderStarted}}
	ended := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			tick := a.clock.Subscribe(heartbeatInterval)
			defer tick.Stop()
			gap := minEarlyGap
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
				case <-tick.C():
					task.run(ctx)
					if len(task.trigger) == 0 {
						gap = minEarlyGap
					}
				case <-task.trigger:
					task.run(ctx)
					_ = a.clock.Sleep(ctx, gap)
					gap = min(2*gap, heartbeatInterval)
				}
			}
			ended <- struct{}{}
		}()
	}
	for range tasks {
		<-ended
	}
	a.stepDown(context.WithoutCancel(ctx))
	done <- ctx.Err()
}

// stepDown resigns as relay and as leader, so that the successors need not wait for
// a lease to expire.
func (a *Agent) stepDown(ctx context.Context) {
	ctx, cancel := a.clock.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	a.resignAsRelay(ctx)
	if lease, ok := a.endLeadership(); ok {
		// If this fails the lease expires by itself.
		_ = a.store.Revoke(ctx, lease)
	}
}

// client returns the quota service of a node; its own is called in process.
func (a *Agent) client(node endpoint) quotapb.Quota {
	if node.instance == a.mesh.Self().Instance() {
		return server{a}
	}
	return quotapb.NewQuotaProtobufClient(a.mesh.BaseURL(node.peer), a.mesh.Client())
}

// endpoint is a node with its address and boot.
type endpoint struct {
	instance string
	peer     netip.AddrPort
	boot     uint64
}

func endpointOf(r membership.Record) endpoint {
	return endpoint{r.Instance(), r.ControlAddress(), r.Boot()}
}
