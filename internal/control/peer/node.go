package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/bounded"
	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// Node takes part in the distribution of configuration and membership for this
// process. It is safe for concurrent use.
type Node struct {
	clock           *timer.Service
	log             *event.Logger
	holder          *Holder
	view            *membership.View
	versions        *publish.Log
	store           platform.Store
	seeds           []netip.AddrPort
	key             []byte
	serverTLS       *tls.Config
	clientTLS       *tls.Config
	client          *http.Client
	bytes           ByteCounts
	rand            *rand.Rand
	resyncAdmission *tree.Admission
	services        []Service

	mu       sync.Mutex
	self     *membership.Self
	position tree.Position
	// orphaned is set while the node has possible parents, but none that answers
	// with a recent report from the root.
	orphaned        bool
	parentLostAt    time.Time
	parentName      string
	membersChanged  chan struct{}
	positionChanged chan struct{}
	joinAttempted   bool
	storeAnsweredAt time.Time

	// announcedToSecond is the record last sent by announceToSecond. Only the
	// goroutine of announce uses it.
	announcedToSecond membership.Record

	children       children
	superseded     chan struct{}
	supersededOnce sync.Once
	stopping       chan struct{}
	stopOnce       sync.Once
}

// Option sets one property of a Node.
type Option func(*Node)

// WithSeedAddresses sets the control addresses to try when joining, after the
// readers that the store lists.
func WithSeedAddresses(addrs ...netip.AddrPort) Option { return func(n *Node) { n.seeds = addrs } }

// WithStore sets the platform's store and the log of versions kept in it. The
// node watches them while it is a reader.
func WithStore(store platform.Store, versions *publish.Log) Option {
	return func(n *Node) { n.store, n.versions = store, versions }
}

// WithTLS sets the TLS configurations for serving and for dialing peers.
func WithTLS(server, client *tls.Config) Option {
	return func(n *Node) { n.serverTLS, n.clientTLS = server, client }
}

// Service is a control service between nodes, such as a server that twirp
// generates.
type Service interface {
	http.Handler
	PathPrefix() string
}

// WithRandomSeed sets the seed of the random source.
func WithRandomSeed(seed uint64) Option { return func(n *Node) { n.rand = newRand(seed) } }

// New returns a node that announces self. All nodes of a mesh share the fleet
// key.
func New(clock *timer.Service, log *event.Logger, view *membership.View, self *membership.Self, key []byte, opts ...Option) *Node {
	n := &Node{
		clock: clock, log: log, holder: NewHolder(), view: view, key: key, self: self,
		rand:            newRand(self.Record().Boot()),
		membersChanged:  make(chan struct{}),
		positionChanged: make(chan struct{}),
		stopping:        make(chan struct{}),
		superseded:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.client = newClient(&n.bytes, n.clientTLS, key)
	n.children.byName = map[string]*child{}
	n.resyncAdmission = tree.NewAdmission(n.splitRand())
	n.mergeFrom(self.Record(), self.Record().Instance())
	return n
}

// newRand returns a seeded random source that is safe for concurrent use.
func newRand(seed uint64) *rand.Rand { return rand.New(&lockedSource{src: rand.NewPCG(seed, 1)}) }

type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 implements rand.Source.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.src.Uint64()
}

// splitRand returns a new random source that is seeded from the node's.
func (n *Node) splitRand() *rand.Rand { return newRand(n.rand.Uint64()) }

// jitter returns a random duration between half of d and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(n.rand.Int64N(int64(d)/2))
}

// Holder returns the holder of the node's active version.
func (n *Node) Holder() *Holder { return n.holder }

// View returns the node's view of all instances.
func (n *Node) View() *membership.View { return n.view }

// Client returns the HTTP client for control calls to peers.
func (n *Node) Client() *http.Client { return n.client }

// BaseURL returns the scheme and authority of the URL of a peer's services.
func (n *Node) BaseURL(a netip.AddrPort) string {
	if n.clientTLS != nil {
		return "https://" + a.String()
	}
	return "http://" + a.String()
}

// Bytes returns the counters of the node's control traffic.
func (n *Node) Bytes() *ByteCounts { return &n.bytes }

// Superseded returns a channel that is closed once a later process is found to
// run under this instance's name. This process then has to drain and exit.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

// Self returns the node's own record.
func (n *Node) Self() membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.Record()
}

// Announce publishes a new state of the node to the mesh.
func (n *Node) Announce(s membership.State) {
	n.mu.Lock()
	r := n.self.Announce(s)
	n.mu.Unlock()
	n.mergeFrom(r, r.Instance())
}

// mergeFrom merges a record of the own failure domain that the instance from of
// that domain issued.
func (n *Node) mergeFrom(r membership.Record, from string) {
	n.notifyMembers(n.view.Merge(n.clock.Now(), []membership.Record{r}, membership.FromPeer(from, r.Domain())))
}

// merge merges records received from another node. Malformed records are
// skipped, and the first of their errors is logged.
func (n *Node) merge(ms []*peerpb.Record, ages []*peerpb.DomainAge, from, domain string, fullDomains []string) {
	records, err := fromMessages(ms)
	if err != nil {
		n.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from))
	}
	domainAges := make([]membership.DomainAge, len(ages))
	for i, a := range ages {
		domainAges[i] = membership.DomainAge{Domain: a.GetDomain(), Age: time.Duration(a.GetAgeMs()) * time.Millisecond}
	}
	n.notifyMembers(n.view.Merge(n.clock.Now(), records,
		membership.FromPeer(from, domain), membership.FullDomains(fullDomains...), membership.Ages(domainAges)))
	for _, r := range records {
		n.reconcileSelf(r)
	}
}

// reconcileSelf compares a received record with this instance's own. If the
// record contradicts it, for example by claiming that the instance is gone or
// suspect, the instance is announced again. Such a claim comes from a relay that
// lost contact, or from an earlier boot with a clock ahead of this one. Without
// the refutation the instance would get no calls until it is restarted.
func (n *Node) reconcileSelf(claimed membership.Record) {
	n.mu.Lock()
	verdict := n.self.Reconcile(claimed)
	r := n.self.Record()
	n.mu.Unlock()
	switch verdict {
	case membership.Reannounce:
		n.log.Emit(event.Refuted, event.F("claimed_state", claimed.State()), event.F("claimed_boot", claimed.Boot()))
		n.mergeFrom(r, r.Instance())
	case membership.Superseded:
		n.supersededOnce.Do(func() { close(n.superseded) })
	case membership.Unchanged:
	}
}

// notifyMembers wakes the goroutines that wait for a member change, if there
// are changes.
func (n *Node) notifyMembers(changes []membership.Record) {
	if len(changes) == 0 {
		return
	}
	n.mu.Lock()
	close(n.membersChanged)
	n.membersChanged = make(chan struct{})
	n.mu.Unlock()
}

// memberChange returns a channel that is closed at the next member change.
func (n *Node) memberChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membersChanged
}

// AddService mounts another control service, which shares the address, the
// authentication and the byte counters of the peer service. It must be called
// before Serve.
func (n *Node) AddService(s Service) { n.services = append(n.services, s) }

// ReadsStore reports whether the node reads the store for its failure domain.
func (n *Node) ReadsStore() bool { return n.store != nil && n.isStoreReader() }

// Serve serves peers on ln until ctx ends, then shuts down and sends its result
// to done.
func (n *Node) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	mux := http.NewServeMux()
	for _, s := range append(n.services, peerpb.NewPeerServer(server{n}, pathOption)) {
		mux.Handle(s.PathPrefix(), s)
	}
	srv := newServer(RequireFleetKey(n.key, readSessionHeader(bounded.Handler(mux))), n.serverTLS)
	srv.ErrorLog = event.StdLogger(n.log, event.ServerFault)
	ln = countedListener{ln, &n.bytes}
	ended := make(chan error, 1)
	go serve(srv, ln, n.serverTLS != nil, ended)
	select {
	case err := <-ended:
		done <- err
	case <-ctx.Done():
		n.Stop()
		// Pending polls return once stopping is closed.
		shutdownCtx, cancel := n.clock.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := srv.Shutdown(shutdownCtx); err != nil {
			srv.Close()
		}
		<-ended
		n.client.CloseIdleConnections()
		done <- nil
	}
}

func serve(srv *http.Server, ln net.Listener, secure bool, ended chan<- error) {
	if secure {
		ended <- srv.ServeTLS(ln, "", "")
		return
	}
	ended <- srv.Serve(ln)
}

// Stop ends the pending polls of the children with an error, so that they
// switch to another relay at once.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stopping) }) }

// Run pulls from the node's parent, announces member changes to it, and watches
// the store while the node is a reader. It blocks until ctx ends and then sends
// the context's error to done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	loops := []func(context.Context, chan<- error){n.follow, n.announce, n.watchStore, n.pullOtherDomains, n.watchChildren, n.trackPosition}
	ended := make(chan error, len(loops))
	for _, loop := range loops {
		go loop(ctx, ended)
	}
	for range loops {
		<-ended
	}
	done <- ctx.Err()
}
