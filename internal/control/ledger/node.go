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
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/once"
)

// Mesh tells what this package needs to know of the other nodes.
type Mesh interface {
	// Self returns the node's own announcement.
	Self() membership.Record
	// Reads reports whether the node reads the store for its failure domain.
	Reads() bool
	// Records returns all instances that the node knows.
	Records() []membership.Record
	// Client returns the client whose connections carry all control calls.
	Client() *http.Client
	// BaseURL returns what the address of a node's services begins with.
	BaseURL(netip.AddrPort) string
}

// Node is this process's part in claims.
type Node struct {
	clock *timer.Service
	log   *event.Logger
	mesh  Mesh
	store platform.Store

	number  atomic.Uint64
	boot    uint64
	clients sync.Map // of netip.AddrPort to ledgerpb.Ledger
	working sync.WaitGroup

	mu      sync.Mutex
	held    *once.Ledger
	table   [once.Rows]entry
	version uint64
	news    chan struct{}

	manager manager
}

// Option sets one property of a Node.
type Option func(*Node)

// WithStore sets the store that keeps the table of holders.
func WithStore(s platform.Store) Option { return func(n *Node) { n.store = s } }

// New returns a node without rows.
func New(clock *timer.Service, log *event.Logger, mesh Mesh, opts ...Option) *Node {
	n := &Node{
		clock: clock, log: log, mesh: mesh,
		// A number that no earlier process of this instance had: were it
		// repeated, a re-send might pass for the first send.
		boot: rand.Uint64(), news: make(chan struct{}),
	}
	n.held = once.NewLedger(memberOf(mesh.Self()))
	for _, opt := range opts {
		opt(n)
	}
	n.manager = manager{n: n, began: clock.Now(), silent: map[string]int{}}
	return n
}

func memberOf(r membership.Record) once.Member {
	return once.NewMember(r.Instance(), r.Boot(), r.Peer())
}

const (
	// upkeepEvery is how often a holder asks for what it lacks to serve.
	upkeepEvery = 200 * time.Millisecond
	// sweepTicks and refreshTicks are so many upkeeps long: forgetting late
	// costs a little memory, and an old table is noticed at the first claim.
	sweepTicks   = 50
	refreshTicks = 50
	// askTimeout bounds a question to another node; one that is frozen must
	// not hold back the others.
	askTimeout = time.Second
)

// Run keeps the node's rows and the table until ctx ends.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	managed := make(chan error, 1)
	go n.manager.run(ctx, managed)
	tick := n.clock.Subscribe(upkeepEvery)
	defer tick.Stop()
	for i := 1; ctx.Err() == nil; {
		n.mu.Lock()
		news := n.news
		n.mu.Unlock()
		n.upkeep(ctx, i)
		waits := n.clock.Now()
		select {
		case <-ctx.Done():
		case <-news:
			// A row that is handed over takes no claims: no time is lost.
		case <-tick.C():
			i++
		}
		n.stood(n.clock.Since(waits) - upkeepEvery)
	}
	<-managed
	n.working.Wait()
	done <- ctx.Err()
}

func (n *Node) upkeep(ctx context.Context, tick int) {
	n.mu.Lock()
	n.held.Renumber(memberOf(n.mesh.Self()))
	if tick%sweepTicks == 0 {
		n.held.Sweep(n.clock.Now())
	}
	blank := n.held.Settle(n.clock.Now())
	wanted, none := n.held.Wanted(), n.version == 0
	n.mu.Unlock()
	if len(blank) > 0 {
		n.log.Emit(event.RowBlank, event.F("rows", len(blank)))
	}
	var sealing sync.WaitGroup
	began, within := n.clock.Now(), time.Duration(0)
	for _, w := range wanted {
		within = max(within, time.Duration(len(w.From))*askTimeout)
		// One dead holder must not keep the rows of others waiting.
		sealing.Go(func() {
			for _, m := range w.From {
				n.seal(ctx, w, m)
			}
		})
	}
	if len(wanted) > 0 {
		sealing.Wait()
		n.stood(n.clock.Since(began) - within)
	}
	if none || tick%refreshTicks == 0 {
		n.refresh(ctx)
	}
}

// stood tells the ledger of time that passed beyond what a wait may take: this
// process did not run then.
func (n *Node) stood(late time.Duration) {
	if late <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held.Stood(late)
}

// seal stops a holder of the epoch before and takes over its records.
func (n *Node) seal(ctx context.Context, w once.Wanted, m once.Member) {
	n.mu.Lock()
	e := n.table[w.Row]
	n.mu.Unlock()
	if e.row.Epoch() != w.Epoch {
		// A later epoch waits until this one is served; its own row says less.
		e = entry{row: once.NewRow(w.Epoch, nil, nil)}
	}
	actx, cancel := n.clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := n.at(m.Peer()).Seal(actx, &ledgerpb.SealRequest{Row: fromEntry(w.Row, e), Asked: fromMember(m)})
	if err != nil || !resp.GetOk() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.held.Merge(now, w.Row, w.Epoch, m, toSealed(now, resp))
}

// Stop ends all grants for good; it goes before the node's address closes, at
// which a later process may then prove that this one has ended.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held.Stop()
}

// Serves returns how many rows the node answers claims for.
func (n *Node) Serves() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held.Serves()
}

// Bytes returns about how much memory the claims take that the node holds.
func (n *Node) Bytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held.Bytes()
}

// at returns the service of the node at an address.
func (n *Node) at(addr netip.AddrPort) ledgerpb.Ledger {
	if addr == n.mesh.Self().Peer() {
		return server{n}
	}
	if c, ok := n.clients.Load(addr); ok {
		return c.(ledgerpb.Ledger)
	}
	c := ledgerpb.NewLedgerProtobufClient(n.mesh.BaseURL(addr), n.mesh.Client(), twirp.WithClientPathPrefix(pathPrefix))
	n.clients.Store(addr, c)
	return c
}
