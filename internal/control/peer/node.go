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
	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// Node is this process's part in distribution and membership.
type Node struct {
	clock    *timer.Service
	log      *event.Logger
	holder   *Holder
	view     *membership.View
	versions *publish.Log
	store    platform.Store
	seeds    []netip.AddrPort
	key      []byte
	serving  *tls.Config
	dialing  *tls.Config
	client   *http.Client
	bytes    Bytes
	rand     *rand.Rand
	fulls    *tree.Admission
	services []Service

	mu       sync.Mutex
	self     *membership.Self
	position tree.Position
	alone    bool
	orphan   time.Time
	parent   string
	changed  chan struct{}
	located  chan struct{}
	tried    bool
	storeOK  time.Time

	// toldSecond is what announce alone has told the second in rank.
	toldSecond membership.Record

	children   children
	superseded chan struct{}
	superOnce  sync.Once
	stopping   chan struct{}
	stopOnce   sync.Once
}

// Option sets one property of a Node.
type Option func(*Node)

// WithSeeds sets control addresses to ask when the store names nobody.
func WithSeeds(addrs ...netip.AddrPort) Option { return func(n *Node) { n.seeds = addrs } }

// WithStore sets the platform's store and the versions kept in it, which the
// node watches while it is a reader.
func WithStore(store platform.Store, versions *publish.Log) Option {
	return func(n *Node) { n.store, n.versions = store, versions }
}

// WithTLS sets the TLS configurations for serving and for dialing peers.
func WithTLS(serving, dialing *tls.Config) Option {
	return func(n *Node) { n.serving, n.dialing = serving, dialing }
}

// Service is a control service between nodes, such as twirp generates.
type Service interface {
	http.Handler
	PathPrefix() string
}

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option { return func(n *Node) { n.rand = newRand(seed) } }

// New returns a node that announces self and shares the fleet key with its
// peers.
func New(clock *timer.Service, log *event.Logger, view *membership.View, self *membership.Self, key []byte, opts ...Option) *Node {
	n := &Node{
		clock: clock, log: log, holder: NewHolder(), view: view, key: key, self: self,
		rand:       newRand(self.Record().Boot()),
		changed:    make(chan struct{}),
		located:    make(chan struct{}),
		stopping:   make(chan struct{}),
		superseded: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.client = newClient(&n.bytes, n.dialing, key)
	n.children.byName = map[string]*child{}
	n.fulls = tree.NewAdmission(n.split())
	n.mergeFrom(self.Record(), self.Record().Instance())
	return n
}

// newRand returns a seeded source that several goroutines may share.
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

// split returns a source of its own for one part.
func (n *Node) split() *rand.Rand { return newRand(n.rand.Uint64()) }

// jitter returns a duration between half of d and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(n.rand.Int64N(int64(d)/2))
}

// Holder returns the versions the node holds.
func (n *Node) Holder() *Holder { return n.holder }

// View returns what the node knows of all instances.
func (n *Node) View() *membership.View { return n.view }

// Client returns the HTTP client for control calls to peers.
func (n *Node) Client() *http.Client { return n.client }

// BaseURL returns what the address of a peer's services begins with.
func (n *Node) BaseURL(a netip.AddrPort) string {
	if n.dialing != nil {
		return "https://" + a.String()
	}
	return "http://" + a.String()
}

// Bytes returns the count of the node's control traffic.
func (n *Node) Bytes() *Bytes { return &n.bytes }

// Superseded returns a channel that is closed once a later process is found to
// run under this instance's name; this one then has to drain and end.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

// Self returns the node's own announcement.
func (n *Node) Self() membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.Record()
}

// Announce tells the mesh of the node's new state.
func (n *Node) Announce(s membership.State) {
	n.mu.Lock()
	r := n.self.Announce(s)
	n.mu.Unlock()
	n.mergeFrom(r, r.Instance())
}

// mergeFrom takes a record of the own failure domain that a node of it made.
func (n *Node) mergeFrom(r membership.Record, from string) {
	n.take(n.view.Merge(n.clock.Now(), []membership.Record{r}, membership.From(from, r.Domain())))
}

// merge takes records heard from a neighbour.
func (n *Node) merge(ms []*peerpb.Record, ages []*peerpb.DomainAge, from, domain string, whole []string) {
	records, err := fromMessages(ms)
	if err != nil {
		n.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from))
	}
	told := make([]membership.DomainAge, len(ages))
	for i, a := range ages {
		told[i] = membership.DomainAge{Domain: a.GetDomain(), Age: time.Duration(a.GetAgeMs()) * time.Millisecond}
	}
	n.take(n.view.Merge(n.clock.Now(), records,
		membership.From(from, domain), membership.Whole(whole...), membership.Ages(told)))
	for _, r := range records {
		n.learn(r)
	}
}

// learn answers what peers hold of this instance. A relay that lost contact,
// or a record of an earlier boot whose clock ran ahead, may say that it has
// gone; without the answer it would get no work until restarted.
func (n *Node) learn(held membership.Record) {
	n.mu.Lock()
	verdict := n.self.Learn(held)
	r := n.self.Record()
	n.mu.Unlock()
	switch verdict {
	case membership.Again:
		n.log.Emit(event.Refuted, event.F("claimed_state", held.State()), event.F("claimed_boot", held.Boot()))
		n.mergeFrom(r, r.Instance())
	case membership.Superseded:
		n.superOnce.Do(func() { close(n.superseded) })
	case membership.Stands:
	}
}

// take wakes those who wait for member changes and finds the node's place anew.
func (n *Node) take(news []membership.Record) {
	if len(news) == 0 {
		return
	}
	n.mu.Lock()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
}

// memberChange returns a channel that is closed at the next member change.
func (n *Node) memberChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Add mounts a further control service, which then shares the address, the
// authentication and the byte count of the peers' own. It comes before Serve.
func (n *Node) Add(s Service) { n.services = append(n.services, s) }

// Reads reports whether the node reads the store for its failure domain.
func (n *Node) Reads() bool { return n.store != nil && n.reads() }

// Serve answers peers on ln until ctx ends and then reports on done.
func (n *Node) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	mux := http.NewServeMux()
	for _, s := range append(n.services, peerpb.NewPeerServer(server{n}, pathOption)) {
		mux.Handle(s.PathPrefix(), s)
	}
	srv := newServer(Authenticated(n.key, readStanding(mux)), n.serving)
	srv.ErrorLog = event.Standard(n.log, event.ServerFault)
	ln = countedListener{ln, &n.bytes}
	ended := make(chan error, 1)
	go serve(srv, ln, n.serving != nil, ended)
	select {
	case err := <-ended:
		done <- err
	case <-ctx.Done():
		n.Stop()
		// Pending polls end by themselves once stopping is closed.
		closing, cancel := n.clock.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := srv.Shutdown(closing); err != nil {
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

// Stop makes the node answer its children that it stops, so that they go to
// another relay at once.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stopping) }) }

// Run pulls from the node's relay, announces what is new below it and watches
// the store while the node is a reader, until ctx ends.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	parts := []func(context.Context, chan<- error){n.follow, n.announce, n.read, n.cross, n.watchChildren, n.keep}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go part(ctx, ended)
	}
	for range parts {
		<-ended
	}
	done <- ctx.Err()
}
