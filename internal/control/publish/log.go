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
	// recentVersions is the number of versions that the head lists. It keeps the head,
	// which every reader receives with each change, under a kilobyte.
	recentVersions = 16
	// defaultFullEvery bounds the number of deltas that a load reads after the
	// full version.
	defaultFullEvery = 32
	// fullEveryBytes is the size of the deltas after which a full version is
	// stored, even if they are few. It bounds the delta bytes that a load reads.
	fullEveryBytes = 4 << 20
	// defaultResolveTimeout is how long an unknown outcome is looked up before the
	// operator gets an OutcomeUnknownError. It covers a short outage of the store.
	defaultResolveTimeout = 10 * time.Second
	// immediateAttempts is the number of attempts without a delay.
	immediateAttempts = 3
	// initialBackoff and maxBackoff delay further attempts, so that a
	// recovering store is not overloaded.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Log publishes and reads the chain of versions in a store.
type Log struct {
	store          platform.Store
	clock          *timer.Service
	prefix         string
	fullEvery      uint64
	resolveTimeout time.Duration

	mu    sync.Mutex
	seen  seenVersion
	fulls *pb.Fulls
	lease outcomeLease
}

// seenVersion is a version that the store had, with the number of restores then.
type seenVersion struct {
	version  uint64
	digest   snapshot.Digest
	restores uint64
}

// Option configures a Log.
type Option func(*Log)

// Prefix sets the prefix of all keys, so that fleets can share a store.
func Prefix(p string) Option { return func(l *Log) { l.prefix = p } }

// FullEvery sets after how many versions a full version is stored.
func FullEvery(n int) Option { return func(l *Log) { l.fullEvery = uint64(n) } }

// ResolveTimeout sets for how long an unknown outcome of a write is looked up.
func ResolveTimeout(d time.Duration) Option { return func(l *Log) { l.resolveTimeout = d } }

// New returns the log in store.
func New(store platform.Store, clock *timer.Service, opts ...Option) *Log {
	l := &Log{
		store: store, clock: clock, prefix: "banyanlug",
		fullEvery: defaultFullEvery, resolveTimeout: defaultResolveTimeout,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// RecordVersion records a version that the node got from any source; a store
// without that version is then reported as older.
func (l *Log) RecordVersion(s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Version() > l.seen.version {
		l.seen = seenVersion{version: s.Version(), digest: s.Digest(), restores: l.seen.restores}
	}
}

// Head returns the newest published version, or an OlderError if the store is
// behind a version seen before.
func (l *Log) Head(ctx context.Context) (Head, error) {
	before := l.lastSeen()
	v, err := l.store.Get(ctx, l.headKey())
	return l.headFrom(before, v, err)
}

// WaitHead returns the head as soon as it differs from held, or held after
// wait.
func (l *Log) WaitHead(ctx context.Context, held Head, wait time.Duration) (Head, error) {
	before := l.lastSeen()
	v, err := l.store.Watch(ctx, l.headKey(), held.Revision(), wait)
	var unchanged *platform.UnchangedError
	if errors.As(err, &unchanged) {
		return held, nil
	}
	return l.headFrom(before, v, err)
}

func (l *Log) headFrom(before seenVersion, v platform.Value, err error) (Head, error) {
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
	// Compare with the version seen before the read, since another goroutine may
	// have read a newer head meanwhile.
	if err := h.checkNotOlder(before); err != nil {
		return Head{}, err
	}
	l.recordSeen(h)
	return h, nil
}

// checkNotOlder returns an OlderError if the head has a lower version than the
// one seen before, or the same version with other content and no restore since.
func (h Head) checkNotOlder(seen seenVersion) error {
	diverged := h.Version() == seen.version && h.Digest() != seen.digest && h.message.GetRestores() <= seen.restores
	if h.Version() < seen.version || diverged {
		return &OlderError{Held: seen.version, Stored: h.Version(), HeldDigest: seen.digest, StoredDigest: h.Digest()}
	}
	return nil
}

func (l *Log) lastSeen() seenVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

func (l *Log) recordSeen(h Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.Version() >= l.seen.version {
		l.seen = seenVersion{version: h.Version(), digest: h.Digest(), restores: h.message.GetRestores()}
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
// false means that the key holds another value. Creating is idempotent, so it
// is repeated after a lost response.
func (l *Log) create(ctx context.Context, key string, value []byte, opts ...platform.WriteOption) (bool, error) {
	var err error
	for range immediateAttempts {
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
		v, getErr := l.store.Get(ctx, key)
		if getErr == nil {
			return bytes.Equal(v.Data(), value), nil
		}
		var notFound *platform.NotFoundError
		if !errors.As(getErr, &notFound) {
			return false, getErr
		}
	}
	return false, err
}

// remove deletes a value; a value that changed or is gone already is not an
// error.
func (l *Log) remove(ctx context.Context, v platform.Value) error {
	_, err := l.store.CompareAndSwap(ctx, v.Key(), v.Revision(), nil)
	if isConflict(err) {
		return nil
	}
	return err
}

// retry calls f until it returns settled, ctx ends or the resolve timeout has
// passed. The first attempts follow one another immediately, later ones with
// exponential backoff.
func (l *Log) retry(ctx context.Context, f func() (settled bool, err error)) error {
	deadline := l.clock.Now().Add(l.resolveTimeout)
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		settled, err := f()
		if settled || ctx.Err() != nil {
			return err
		}
		if attempt < immediateAttempts {
			continue
		}
		if !l.clock.Now().Before(deadline) {
			return err
		}
		if sleepErr := l.clock.Sleep(ctx, backoff); sleepErr != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
