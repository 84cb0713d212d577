package publish

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

const (
	// recentLen keeps the head under a kilobyte: each reader gets it with each
	// change, so its length is paid for in control bytes.
	recentLen = 16
	// defaultFullEvery bounds what a load reads besides the full version.
	defaultFullEvery = 32
	// fullEveryBytes makes a full version come sooner after large deltas, which
	// would otherwise make a load longer than the full itself.
	fullEveryBytes = 4 << 20
	// defaultResolveFor is as long as a short outage; an operator who waits
	// longer is better told "unknown", and may ask again.
	defaultResolveFor = 10 * time.Second
	// quickTries are repeated without a pause, since one answer is lost far
	// more often than two.
	quickTries = 3
	// firstPause and lastPause space further tries, so that a store that comes
	// back is not met by a crowd.
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// Log is the chain of versions kept in a store.
type Log struct {
	store      platform.Store
	clock      *timer.Service
	prefix     string
	fullEvery  uint64
	resolveFor time.Duration

	mu       sync.Mutex
	seen     mark
	fulls    *pb.Fulls
	outcomes outcomeLease
}

// mark is a version that was held at one time.
type mark struct {
	version  uint64
	digest   snapshot.Digest
	restores uint64
}

// Option sets one property of a log.
type Option func(*Log)

// Prefix sets what all keys begin with, so that fleets can share a store.
func Prefix(p string) Option { return func(l *Log) { l.prefix = p } }

// FullEvery sets after how many versions a whole one is stored.
func FullEvery(n int) Option { return func(l *Log) { l.fullEvery = uint64(n) } }

// ResolveFor sets how long a lost answer is looked up.
func ResolveFor(d time.Duration) Option { return func(l *Log) { l.resolveFor = d } }

// New returns the log kept in store.
func New(store platform.Store, clock *timer.Service, opts ...Option) *Log {
	l := &Log{
		store: store, clock: clock, prefix: "banyanlug",
		fullEvery: defaultFullEvery, resolveFor: defaultResolveFor,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Saw tells the log of a version that the node holds, from whatever source;
// a store without it is then older than the fleet.
func (l *Log) Saw(s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Version() > l.seen.version {
		l.seen = mark{version: s.Version(), digest: s.Digest(), restores: l.seen.restores}
	}
}

// Head returns the newest published version, or an OlderError where the store
// is behind one that was held.
func (l *Log) Head(ctx context.Context) (Head, error) {
	before := l.marked()
	v, err := l.store.Get(ctx, l.headKey())
	return l.headFrom(before, v, err)
}

// WaitHead returns the head once it differs from the held one, or the held
// one after wait.
func (l *Log) WaitHead(ctx context.Context, held Head, wait time.Duration) (Head, error) {
	before := l.marked()
	v, err := l.store.Watch(ctx, l.headKey(), held.Revision(), wait)
	var unchanged *platform.UnchangedError
	if errors.As(err, &unchanged) {
		return held, nil
	}
	return l.headFrom(before, v, err)
}

func (l *Log) headFrom(before mark, v platform.Value, err error) (Head, error) {
	h := Head{message: &pb.Head{}}
	var notFound *platform.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return Head{}, fmt.Errorf("read head: %w", err)
	}
	if err == nil {
		if h, err = decodeHead(v); err != nil {
			return Head{}, err
		}
	}
	// The mark is the one from before the read: a head that came later, to
	// another goroutine, does not make this answer a step back.
	if err := h.behind(before); err != nil {
		return Head{}, err
	}
	l.marks(h)
	return h, nil
}

// behind returns an OlderError if the store went back after m was held. Only a
// restore since then may give the same version another content.
func (h Head) behind(m mark) error {
	other := h.Version() == m.version && h.Digest() != m.digest && h.message.GetRestores() <= m.restores
	if h.Version() < m.version || other {
		return &OlderError{Held: m.version, Stored: h.Version(), HeldDigest: m.digest, StoredDigest: h.Digest()}
	}
	return nil
}

func (l *Log) marked() mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

func (l *Log) marks(h Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.Version() >= l.seen.version {
		l.seen = mark{version: h.Version(), digest: h.Digest(), restores: h.message.GetRestores()}
	}
}

func (l *Log) headKey() string { return l.prefix + "/head" }

func (l *Log) fullsKey() string { return l.prefix + "/full" }

func (l *Log) deltaKey(version uint64, slot uint32) string {
	return fmt.Sprintf("%s/delta/%d/%d", l.prefix, version, slot)
}

func (l *Log) fullKey(version uint64, slot uint32) string {
	return fmt.Sprintf("%s/full/%d/%d", l.prefix, version, slot)
}

func (l *Log) chunkKey(version uint64, slot, chunk uint32) string {
	return fmt.Sprintf("%s/%d", l.fullKey(version, slot), chunk)
}

func (l *Log) planKey(planID string) string { return l.prefix + "/plan/" + planID }

func (l *Log) outcomeKey(planID string) string { return l.prefix + "/outcome/" + planID }

// create writes an immutable value and reports whether the key now holds it;
// false means that it holds another. Repeating a create is harmless, so a lost
// answer is settled by trying again.
func (l *Log) create(ctx context.Context, key string, value []byte, opts ...platform.WriteOption) (bool, error) {
	var err error
	for range quickTries {
		if _, err = l.store.CompareAndSwap(ctx, key, 0, value, opts...); err == nil {
			return true, nil
		}
		var conflict *platform.ConflictError
		var unknown *platform.UnknownOutcomeError
		switch {
		case errors.As(err, &unknown):
			continue
		case !errors.As(err, &conflict):
			return false, err
		}
		v, gerr := l.store.Get(ctx, key)
		if gerr == nil {
			return bytes.Equal(v.Data(), value), nil
		}
		var notFound *platform.NotFoundError
		if !errors.As(gerr, &notFound) {
			return false, gerr
		}
	}
	return false, err
}

// remove deletes a value unless someone else did.
func (l *Log) remove(ctx context.Context, v platform.Value) error {
	_, err := l.store.CompareAndSwap(ctx, v.Key(), v.Revision(), nil)
	if isConflict(err) {
		return nil
	}
	return err
}

// retry calls f until it reports to be settled. The first tries follow each
// other at once, later ones with pauses, until the log's time for lookups ends.
func (l *Log) retry(ctx context.Context, f func() (settled bool, err error)) error {
	end := l.clock.Now().Add(l.resolveFor)
	pause := firstPause
	for try := 1; ; try++ {
		settled, err := f()
		if settled || ctx.Err() != nil {
			return err
		}
		if try < quickTries {
			continue
		}
		if !l.clock.Now().Before(end) {
			return err
		}
		if serr := l.clock.Sleep(ctx, pause); serr != nil {
			return err
		}
		pause = min(2*pause, lastPause)
	}
}
