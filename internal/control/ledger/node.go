package ledger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/idempotency"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Mesh gives access to the other nodes.
type Mesh interface {
	// Self returns the node's membership record.
	Self() membership.Record
	// ReadsStore reports whether the node reads the store for its failure domain.
	ReadsStore() bool
	// Records returns the records of all known instances.
	Records() []membership.Record
	// Client returns the client whose connections carry all control calls.
	Client() *http.Client
	// BaseURL returns the URL prefix of the services at a node's address.
	BaseURL(netip.AddrPort) string
}

// Node makes this process's claims and serves those of other nodes.
type Node struct {
	clock *timer.Service
	log   *event.Logger
	mesh  Mesh
	store platform.Store

	number     atomic.Uint64
	boot       uint64
	clients    sync.Map // of netip.AddrPort to ledgerpb.Ledger
	background sync.WaitGroup

	mu      sync.Mutex
	ledger  *idempotency.Ledger
	table   [idempotency.Partitions]entry
	version uint64
	// tableUpdated is closed and replaced at each change of table or version.
	tableUpdated chan struct{}

	manager manager
}

// Option sets one property of a Node.
type Option func(*Node)

// WithStore sets the store that keeps the table of replicas.
func WithStore(s platform.Store) Option { return func(n *Node) { n.store = s } }

// New returns a node without partitions.
func New(clock *timer.Service, log *event.Logger, mesh Mesh, opts ...Option) *Node {
	n := &Node{
		clock: clock, log: log, mesh: mesh,
		// A random boot keeps the tokens of this process different from those of
		// earlier processes of the instance.
		boot: rand.Uint64(), tableUpdated: make(chan struct{}),
	}
	n.ledger = idempotency.NewLedger(memberOf(mesh.Self()))
	for _, opt := range opts {
		opt(n)
	}
	n.manager = manager{n: n, started: clock.Now(), suspectChecks: map[string]int{}}
	return n
}

func memberOf(r membership.Record) idempotency.Member {
	return idempotency.NewMember(r.Instance(), r.Boot(), r.ControlAddress())
}

const (
	// upkeepInterval is how often a new replica requests the records that it lacks.
	upkeepInterval = 200 * time.Millisecond
	// sweepTicks, refreshTicks and lateSealTicks are the numbers of upkeep intervals between
	// removals of expired records, refreshes of the table, and requests for late records.
	sweepTicks    = 50
	refreshTicks  = 50
	lateSealTicks = 5
	// requestTimeout bounds a request to another node, so that a paused one does not
	// delay the others.
	requestTimeout = time.Second
)

// Run maintains the node's partitions and the table until ctx ends.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	managed := make(chan error, 1)
	go n.manager.run(ctx, managed)
	tick := n.clock.Subscribe(upkeepInterval)
	defer tick.Stop()
	for i := 1; ctx.Err() == nil; {
		n.mu.Lock()
		updated := n.tableUpdated
		n.mu.Unlock()
		n.upkeep(ctx, i)
		waitStart := n.clock.Now()
		select {
		case <-ctx.Done():
		case <-updated:
			// A partition accepts no claims during its hand-over: start at once.
		case <-tick.C():
			i++
		}
		n.excludeStall(n.clock.Since(waitStart) - upkeepInterval)
	}
	<-managed
	n.background.Wait()
	done <- ctx.Err()
}

func (n *Node) upkeep(ctx context.Context, tick int) {
	n.mu.Lock()
	n.ledger.AddIdentity(memberOf(n.mesh.Self()))
	if tick%sweepTicks == 0 {
		n.ledger.RemoveExpired(n.clock.Now())
	}
	blank := n.ledger.ServeOverdue(n.clock.Now())
	pending, noTable := n.ledger.PendingSeals(), n.version == 0
	var late []idempotency.PendingSeal
	if tick%lateSealTicks == 0 {
		late = n.ledger.LateSeals(n.clock.Now())
	}
	n.mu.Unlock()
	n.sealLate(ctx, late)
	if len(blank) > 0 {
		n.log.Emit(event.PartitionLost, event.F("rows", len(blank)))
	}
	var sealing sync.WaitGroup
	started, longest := n.clock.Now(), time.Duration(0)
	for _, p := range pending {
		longest = max(longest, time.Duration(len(p.From))*requestTimeout)
		// One failed replica must not delay the other partitions.
		sealing.Go(func() {
			for _, m := range p.From {
				n.seal(ctx, p, m)
			}
		})
	}
	if len(pending) > 0 {
		sealing.Wait()
		n.excludeStall(n.clock.Since(started) - longest)
	}
	if noTable || tick%refreshTicks == 0 {
		n.refresh(ctx)
	}
}

// sealLate requests late records in the background.
func (n *Node) sealLate(ctx context.Context, late []idempotency.PendingSeal) {
	if len(late) == 0 {
		return
	}
	reachable := map[string]bool{}
	for _, r := range n.reachable() {
		reachable[r.Instance()] = true
	}
	for _, p := range late {
		for _, m := range p.From {
			if reachable[m.Instance()] {
				n.background.Go(func() { n.seal(ctx, p, m) })
			}
		}
	}
}

// excludeStall reports to the ledger a time in which this process did not run: the
// part of a wait beyond its maximum.
func (n *Node) excludeStall(stall time.Duration) {
	if stall <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.ExcludeStall(stall)
}

// seal seals a replica of the previous epoch and takes over its records.
func (n *Node) seal(ctx context.Context, p idempotency.PendingSeal, m idempotency.Member) {
	n.mu.Lock()
	e := n.table[p.Partition]
	n.mu.Unlock()
	if e.assignment.Epoch() != p.Epoch {
		// The table has a later epoch, but the ledger completes this one first. The
		// table no longer has its assignment, so only its number is sent.
		e = entry{assignment: idempotency.NewAssignment(p.Epoch, nil, nil)}
	}
	actx, cancel := n.clock.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := n.client(m.Peer()).Seal(actx, &ledgerpb.SealRequest{Row: entryToProto(p.Partition, e), Asked: memberToProto(m)})
	if err != nil || !resp.GetOk() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.ledger.Merge(now, p.Partition, p.Epoch, m, sealFromProto(now, resp))
}

// Stop refuses all later claims. It must be called before the node's listener is
// closed: a later process at that address proves that this one has ended.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.Stop()
}

// ServedPartitions returns the number of partitions for which the node accepts
// claims.
func (n *Node) ServedPartitions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.ServedPartitions()
}

// Bytes returns the approximate memory of the claim records.
func (n *Node) Bytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Bytes()
}

// client returns the claim service of the node at an address.
func (n *Node) client(addr netip.AddrPort) ledgerpb.Ledger {
	if addr == n.mesh.Self().ControlAddress() {
		return server{n}
	}
	if c, ok := n.clients.Load(addr); ok {
		return c.(ledgerpb.Ledger)
	}
	c := ledgerpb.NewLedgerProtobufClient(n.mesh.BaseURL(addr), n.mesh.Client(), twirp.WithClientPathPrefix(pathPrefix))
	n.clients.Store(addr, c)
	return c
}
