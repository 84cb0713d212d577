package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/bounded"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/wire/message"
)

// Decoder parses a configuration in the format of the store.
type Decoder func(b []byte) (*snapshot.Snapshot, error)

// Fleet holds one node's copy of the shared configuration, members and rollouts.
type Fleet struct {
	store       platform.PrefixStore
	clk         *timer.Service
	log         *event.Logger
	configKey   string
	decode      Decoder
	rng         *rand.Rand
	oneShotHTTP *http.Client // for probes of single members
	pooledHTTP  *http.Client // for pulls and for fetching versions
	onCrash     func(text string)
	onDeparted  func(text string)
	onRestored  func()
	epoch       uint64 // of the view's change numbers; random for each process

	view            *view
	cachedPosition  cachedPosition
	cachedSource    cachedSource
	rankedNodes     rankedNodes
	freshness       sharedFreshness
	config          atomic.Pointer[activeConfig]
	offered         offeredVersion
	newestKnown     atomic.Uint64 // greatest version that another node has announced
	synced          atomic.Bool
	storeOK         atomic.Bool
	storeLate       atomic.Bool  // a renewal has been without a response for renewalLate
	orphaned        atomic.Bool  // no parent answers with fresh data
	rootSilent      atomic.Bool  // the store does not answer the root, as that has said
	standbyAnswered atomic.Bool  // the store has answered this node since it became a standby
	lastStoreAnswer atomic.Int64 // Unix nanoseconds
	hints           chan hint
	parentsLate     chan struct{} // signals that nodes other than the parents have to be asked
	bootstrapped    chan struct{} // closed once the node knows its position in the tree
	readerChanged   chan struct{} // signals that orphaned or rootSilent has changed

	ownEntryRead atomic.Bool // what an earlier process has left in this node's entry is known
	rereadNeeded atomic.Bool // the store has to be read as a whole
	// recompareNeeded is set if the members have to be compared with all those of a parent.
	recompareNeeded atomic.Bool
	domainKey       domainKey

	mu            sync.Mutex
	own           ownEntry
	entryChanged  chan struct{}
	entryStored   chan struct{} // closed when it is known that the store has another entry of this node
	announced     chan struct{} // closed when the next version is offered or becomes active
	storeChanged  chan struct{} // closed when storeOK or storeLate changes
	syncedChanged chan struct{} // closed when the node knows the members

	rollouts *rolloutSet

	watchSchedule watchSchedule // used only by syncStore
	series        versionSeries

	queries int // to random peers; used only by queryPeers

	startedAt    time.Time
	rootStarting rootStarting
	wholeDomains wholeDomains
}

// hint names a node that has a newer configuration.
type hint struct {
	peer    netip.AddrPort
	version uint64
}

// activeConfig is the active configuration, when it became active, and its encoded form,
// compressed on first use.
type activeConfig struct {
	snap       *snapshot.Snapshot
	since      time.Time
	compressed func() []byte
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLog sets the logger of events.
func WithLog(l *event.Logger) Option { return func(f *Fleet) { f.log = l } }

// WithRandomSeed seeds the random number generator.
func WithRandomSeed(seed uint64) Option {
	return func(f *Fleet) { f.rng = rand.New(rand.NewPCG(seed, 1)) }
}

// OnCrash sets a callback for the target crashes in members' entries, this node's own entry
// of an earlier process included. It may be called more than once for the same crash and
// must not block.
func OnCrash(f func(text string)) Option { return func(fl *Fleet) { fl.onCrash = f } }

// OnDeparted sets a callback for the targets that have left according to this node's own
// entry, as an earlier process has announced them. It may be called more than once, before
// and after that of OnRestored, and must not block.
func OnDeparted(f func(text string)) Option { return func(fl *Fleet) { fl.onDeparted = f } }

// OnRestored sets a callback for when what an earlier process has left in this node's entry
// is known. Announce must not be called before.
func OnRestored(f func()) Option { return func(fl *Fleet) { fl.onRestored = f } }

// dialTimeout bounds connecting to another node. It is well below the kernel's SYN
// retransmission timeout of a second, so that other nodes are tried sooner.
const dialTimeout = 250 * time.Millisecond

// New returns the fleet of the instance described by self; configKey is the store key of
// the configuration.
func New(store platform.PrefixStore, clk *timer.Service, self membership.Record, configKey string, decode Decoder, opts ...Option) *Fleet {
	f := &Fleet{
		store: store, clk: clk, log: event.Discard(), configKey: configKey, decode: decode,
		rng: rand.New(rand.NewPCG(1, 1)), view: newView(), own: ownEntry{base: self, self: self},
		onCrash: func(string) {}, onDeparted: func(string) {}, onRestored: func() {}, entryStored: make(chan struct{}), hints: make(chan hint, 1), parentsLate: make(chan struct{}, 1), entryChanged: make(chan struct{}, 1),
		bootstrapped: make(chan struct{}), readerChanged: make(chan struct{}, 1), announced: make(chan struct{}), storeChanged: make(chan struct{}),
		syncedChanged: make(chan struct{}), startedAt: clk.Now(),
		rollouts: newRolloutSet(),
		series:   versionSeries{done: make(chan struct{})},
	}
	f.view.group = f.rollouts.groups
	f.rankedNodes.byDomain = map[string]rankedDomain{}
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	f.oneShotHTTP = &http.Client{Transport: bounded.Transport(message.Transport(&http.Transport{DialContext: dial, DisableKeepAlives: true}))}
	f.pooledHTTP = &http.Client{Transport: bounded.Transport(message.Transport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}))}
	for _, opt := range opts {
		opt(f)
	}
	f.epoch = max(1, f.rng.Uint64())
	f.rollouts.rng = rand.New(rand.NewPCG(f.rng.Uint64(), 3))
	f.config.Store(&activeConfig{snap: snapshot.Empty(), since: clk.Now()})
	return f
}

// Current returns the active configuration, version 0 if there is none yet.
func (f *Fleet) Current() *snapshot.Snapshot { return f.config.Load().snap }

// Targets returns the ready targets of a pool. The slice stays the same until the
// targets change.
func (f *Fleet) Targets(pool string) []membership.Record { return f.view.targets(pool) }

// Size returns the number of known nodes, including this one.
func (f *Fleet) Size() int { return max(1, int(f.view.size.Load())) }

// Members returns the number of known nodes by state, including this one.
func (f *Fleet) Members() map[membership.State]int {
	out := map[membership.State]int{}
	for _, r := range f.view.records() {
		out[r.State()]++
	}
	return out
}

// ConfigAge returns how long the configuration has been active on this node.
func (f *Fleet) ConfigAge() time.Duration { return f.clk.Since(f.config.Load().since) }

// NewestKnown returns the greatest version that this node knows of. It is above that of
// Current while the node has not received or applied it.
func (f *Fleet) NewestKnown() uint64 { return max(f.newestKnown.Load(), f.Current().Version()) }

// noteVersion records a version that another node has announced.
func (f *Fleet) noteVersion(version uint64) {
	for known := f.newestKnown.Load(); version > known; known = f.newestKnown.Load() {
		if f.newestKnown.CompareAndSwap(known, version) {
			return
		}
	}
}

// Ready reports whether the node has a configuration and the member list.
func (f *Fleet) Ready() bool { return f.synced.Load() && f.Current().Version() > 0 }

// StoreAge returns the time since the store last answered this node.
func (f *Fleet) StoreAge() time.Duration {
	return f.clk.Since(time.Unix(0, f.lastStoreAnswer.Load()))
}

// Hint reports that the node at a peer address has a newer configuration. It never
// blocks, as it is called while calls are served.
func (f *Fleet) Hint(peer netip.AddrPort, version uint64) {
	f.noteVersion(version)
	select {
	case f.hints <- hint{peer, version}:
	default:
	}
}

// Run syncs with the store and maintains the node's entry until ctx ends, then removes
// the entry and sends ctx's error on done.
func (f *Fleet) Run(ctx context.Context, done chan<- error) {
	tasks := []func(context.Context, chan<- error){
		f.bootstrap, f.afterBootstrap(f.syncStore), f.afterBootstrap(f.pull), f.afterBootstrap(f.pullFromDomains), f.afterBootstrap(f.controlRollouts),
		f.afterBootstrap(f.maintainDomainKey), f.afterBootstrap(f.audit), f.restoreOwnEntry, f.maintainEntry, f.queryPeers, f.askOthers, f.checkMissing,
	}
	ended := make(chan error, len(tasks))
	for _, task := range tasks {
		go task(ctx, ended)
	}
	for range tasks {
		<-ended
	}
	f.oneShotHTTP.CloseIdleConnections()
	f.pooledHTTP.CloseIdleConnections()
	done <- ctx.Err()
}

// fromStore is the logged source of configurations read from the store.
const fromStore = "store"

// applyConfig activates a configuration if its version is greater than the active one.
// A lagging store or node thus can't replace a newer version. announced is the version as its
// source says, or version.Unknown.
func (f *Fleet) applyConfig(announced uint64, b []byte, from string) {
	f.activate(announced, b, sync.OnceValue(func() []byte { return compress(b) }), from)
}

// activate is applyConfig for a configuration whose compressed form is known. It waits while
// versions come in a series, and returns false if the configuration was skipped meanwhile.
func (f *Fleet) activate(announced uint64, b []byte, compressed func() []byte, from string) (decided bool) {
	if !f.awaitTurn(announced) {
		return false
	}
	began := f.clk.Now()
	defer func() { f.endTurn(announced, began) }()
	snap, err := f.decode(b)
	if err != nil {
		f.log.Emit(event.VersionRefused, event.F("error", err), event.F("from", from))
		return true
	}
	for {
		active := f.config.Load()
		if snap.Version() <= active.snap.Version() {
			return true
		}
		if f.config.CompareAndSwap(active, &activeConfig{snap: snap, since: f.clk.Now(), compressed: compressed}) {
			f.log.Emit(event.VersionApplied, event.F("version", snap.Version()),
				event.F("before", active.snap.Version()), event.F("from", from), event.F("bytes", len(b)))
			f.logFaults(snap)
			f.signalAnnounced()
			return true
		}
	}
}

// maxLoggedFaults bounds the faults of one version that are logged.
const maxLoggedFaults = 8

// logFaults logs the parts of a version that can't be used as they are.
func (f *Fleet) logFaults(s *snapshot.Snapshot) {
	faults := s.Faults()
	for _, fault := range faults[:min(len(faults), maxLoggedFaults)] {
		f.log.Emit(event.VersionFault, event.F("version", s.Version()), event.F("faults", len(faults)), event.F("error", fault))
	}
}

// View implements fleetpb.Fleet.
func (f *Fleet) View(_ context.Context, r *fleetpb.ViewRequest) (*fleetpb.ViewResponse, error) {
	self, _ := f.ownRecord()
	out := &fleetpb.ViewResponse{Epoch: f.epoch}
	out.Rollouts, out.RolloutsUnknown = f.rollouts.answer(nil)
	// Before that, an earlier process's entry may turn out to be right, with lower numbers.
	if f.ownEntryRead.Load() {
		out.Entry = encodeEntry(self)
	}
	if r.GetMembers() {
		for _, m := range f.view.records() {
			out.Members = append(out.Members, encodeEntry(m))
		}
	}
	if version, compressed := f.newest(); version > r.GetVersion() {
		out.Version, out.Configuration = version, compressed()
	}
	return out, nil
}

// compressor compresses configurations sent between nodes.
var compressor, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(compressWindowBytes))

// compressWindowBytes bounds the compressor's memory.
const compressWindowBytes = 128 << 10

func compress(b []byte) []byte { return compressor.EncodeAll(b, nil) }

// maxConfigBytes bounds the size of a decompressed configuration.
const maxConfigBytes = 64 << 20

func decompress(b []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxConfigBytes))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(b, nil)
}

// Handler returns the HTTP handler of the fleet service for other nodes.
func (f *Fleet) Handler() http.Handler { return fleetpb.NewFleetServer(f) }
