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
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Decoder reads a configuration as the store holds it.
type Decoder func(b []byte) (*snapshot.Snapshot, error)

// Fleet is one node's part in what the nodes share.
type Fleet struct {
	store     platform.Prefixes
	clk       *timer.Service
	log       *event.Logger
	configKey string
	decode    Decoder
	rng       *rand.Rand
	http      *http.Client // for single questions
	kept      *http.Client // for pulls and the versions that they tell of
	onCrash   func(text string)
	epoch     uint64 // of the view's changes, another one for each process

	view    *view
	place   place
	age     age
	config  atomic.Pointer[held]
	synced  atomic.Bool
	storeOK atomic.Bool
	alone   atomic.Bool  // nobody above this node answers
	heard   atomic.Int64 // when the store last answered, in Unix nanoseconds
	hints   chan hint
	entered chan struct{} // closed once the node knows its place
	turned  chan struct{} // the node may have to read the store now, or no longer

	mu      sync.Mutex
	self    membership.Record
	told    bool // self has been announced
	change  chan struct{}
	applied chan struct{} // closed when the next version is in force

	deliveries *deliveries

	rhythm rhythm // only follow uses it

	asks int // questions to other nodes; only ask uses it
}

// hint tells of a node that holds a newer configuration.
type hint struct {
	peer    netip.AddrPort
	version uint64
}

// held is the configuration in force, since when, and the bytes that it came as,
// squeezed when first asked for.
type held struct {
	snap     *snapshot.Snapshot
	since    time.Time
	squeezed func() []byte
}

// Option sets one property of a fleet.
type Option func(*Fleet)

// WithLog sets where events go.
func WithLog(l *event.Logger) Option { return func(f *Fleet) { f.log = l } }

// WithSeed sets the source of random choices.
func WithSeed(seed uint64) Option {
	return func(f *Fleet) { f.rng = rand.New(rand.NewPCG(seed, 1)) }
}

// OnCrash sets what is told of each crash of a target, more than once of some; f
// must not block.
func OnCrash(f func(text string)) Option { return func(fl *Fleet) { fl.onCrash = f } }

// dialTimeout bounds the opening of a connection to another node. To one that has no
// power yet, as when all start at once, the kernel tries again only after a second,
// when others have long been able to answer.
const dialTimeout = 250 * time.Millisecond

// New returns the part of the instance that self names; configKey is where the
// store holds the configuration.
func New(store platform.Prefixes, clk *timer.Service, self membership.Record, configKey string, decode Decoder, opts ...Option) *Fleet {
	f := &Fleet{
		store: store, clk: clk, log: event.Discard(), configKey: configKey, decode: decode,
		rng: rand.New(rand.NewPCG(1, 1)), view: newView(), self: self,
		onCrash: func(string) {}, hints: make(chan hint, 1), change: make(chan struct{}, 1),
		entered: make(chan struct{}), turned: make(chan struct{}, 1), applied: make(chan struct{}),
		deliveries: newDeliveries(),
	}
	f.view.group = f.deliveries.groups
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	f.http = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	f.kept = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}}
	for _, opt := range opts {
		opt(f)
	}
	f.epoch = f.rng.Uint64()
	f.deliveries.rng = rand.New(rand.NewPCG(f.rng.Uint64(), 3))
	f.config.Store(&held{snap: snapshot.Empty(), since: clk.Now()})
	return f
}

// Current returns the configuration in force, version 0 before there is one.
func (f *Fleet) Current() *snapshot.Snapshot { return f.config.Load().snap }

// Targets returns the ready targets of a pool, the same slice until they
// change.
func (f *Fleet) Targets(pool string) []membership.Record { return f.view.targets(pool) }

// Size returns how many nodes are known, this one included.
func (f *Fleet) Size() int { return max(1, int(f.view.size.Load())) }

// Members returns how many nodes are known in each state, this one included.
func (f *Fleet) Members() map[membership.State]int {
	out := map[membership.State]int{}
	for _, r := range f.view.records() {
		out[r.State()]++
	}
	return out
}

// ConfigAge returns how long the configuration has been in force here.
func (f *Fleet) ConfigAge() time.Duration { return f.clk.Since(f.config.Load().since) }

// Ready reports whether the node knows a configuration and the members.
func (f *Fleet) Ready() bool { return f.synced.Load() && f.Current().Version() > 0 }

// StoreAge returns how long ago the store last answered.
func (f *Fleet) StoreAge() time.Duration {
	return f.clk.Since(time.Unix(0, f.heard.Load()))
}

// Announce changes what the node tells of itself; the entry is written by Run.
// crash tells of the target's last crash, if there was one; opts add what else is told.
func (f *Fleet) Announce(state membership.State, target string, slots int, crash string, opts ...membership.RecordOption) {
	f.mu.Lock()
	r := f.self
	f.self = membership.NewRecord(r.Instance(), append([]membership.RecordOption{
		membership.Domain(r.Domain()), membership.Pool(r.Pool()), membership.Address(r.Address()), membership.Peer(r.Peer()),
		membership.Boot(r.Boot()), membership.Seq(r.Seq() + 1), membership.InState(state),
		membership.Target(target), membership.Slots(slots), membership.Crash(crash), membership.Link(r.Link()),
	}, opts...)...)
	f.told = true
	self := f.self
	f.mu.Unlock()
	f.view.put(self, 0)
	f.nudge()
}

// Hint tells that the node at a peer's address holds a newer configuration; it
// must not block, as calls tell it.
func (f *Fleet) Hint(peer netip.AddrPort, version uint64) {
	select {
	case f.hints <- hint{peer, version}:
	default:
	}
}

// Run follows the store and keeps the node's own entry there until ctx ends,
// then removes the entry and reports on done.
func (f *Fleet) Run(ctx context.Context, done chan<- error) {
	parts := []func(context.Context, chan<- error){
		f.enter, f.afterEntry(f.follow), f.afterEntry(f.pull), f.afterEntry(f.cross), f.afterEntry(f.steer), f.keep, f.ask, f.vouch,
	}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go part(ctx, ended)
	}
	for range parts {
		<-ended
	}
	f.http.CloseIdleConnections()
	f.kept.CloseIdleConnections()
	done <- ctx.Err()
}

// own returns the node's own entry and whether there is one to write.
func (f *Fleet) own() (membership.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self, f.told
}

// fromStore names the store as where a configuration came from.
const fromStore = "store"

// take puts a configuration in force if it is newer than the one held.
//
// Versions only grow here, whichever way one came: a store or a node that lags
// changes nothing, so no caller sees an older version after a newer one.
func (f *Fleet) take(b []byte, from string) {
	snap, err := f.decode(b)
	if err != nil {
		f.log.Emit(event.VersionRefused, event.F("error", err), event.F("from", from))
		return
	}
	for {
		now := f.config.Load()
		if snap.Version() <= now.snap.Version() {
			return
		}
		if f.config.CompareAndSwap(now, &held{snap: snap, since: f.clk.Now(), squeezed: sync.OnceValue(func() []byte { return squeeze(b) })}) {
			f.log.Emit(event.VersionApplied, event.F("version", snap.Version()),
				event.F("before", now.snap.Version()), event.F("from", from), event.F("bytes", len(b)))
			f.mu.Lock()
			close(f.applied)
			f.applied = make(chan struct{})
			f.mu.Unlock()
			return
		}
	}
}

// View implements fleetpb.Fleet.
func (f *Fleet) View(_ context.Context, r *fleetpb.ViewRequest) (*fleetpb.ViewResponse, error) {
	self, _ := f.own()
	out := &fleetpb.ViewResponse{Entry: encode(self), Rollouts: f.deliveries.unknownTo(nil)}
	if r.GetMembers() {
		for _, m := range f.view.records() {
			out.Members = append(out.Members, encode(m))
		}
	}
	if c := f.config.Load(); c.snap.Version() > r.GetVersion() {
		out.Version, out.Configuration = c.snap.Version(), c.squeezed()
	}
	return out, nil
}

// squeezer makes a configuration, which repeats itself much, about a tenth as
// long on its way between failure domains.
var squeezer, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(squeezeWindow))

// squeezeWindow bounds the memory of a compressor and holds a usual
// configuration.
const squeezeWindow = 128 << 10

func squeeze(b []byte) []byte { return squeezer.EncodeAll(b, nil) }

// maxConfiguration bounds what a squeezed configuration may become.
const maxConfiguration = 64 << 20

func unsqueeze(b []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxConfiguration))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(b, nil)
}

// Handler returns the service by which other nodes ask.
func (f *Fleet) Handler() http.Handler { return fleetpb.NewFleetServer(f) }
