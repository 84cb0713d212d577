package store

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/platform"
)

// shardCount splits the keys to reduce lock contention.
const shardCount = 16

// Store is an in-memory platform.Store with fault injection.
type Store struct {
	clock    *timer.Service
	seed     maphash.Seed
	revision atomic.Uint64
	shards   [shardCount]shard
	leases   leases
	faults   faults
	metrics  *metrics.Set
	counter  *platform.Counter
}

type shard struct {
	mu      sync.Mutex
	entries map[string]entry
	// changed holds a channel for each watched key, closed at the key's next
	// change.
	changed map[string]chan struct{}
}

type entry struct {
	data     []byte
	revision uint64
	lease    platform.LeaseID
}

// Option sets one property of a store.
type Option func(*Store)

// WithRates limits writes and reads, in calls per second; 0 is no limit.
func WithRates(writes, reads float64) Option {
	return func(s *Store) { s.SetRates(writes, reads) }
}

// WithMetrics registers the call counters in set.
func WithMetrics(set *metrics.Set) Option { return func(s *Store) { s.metrics = set } }

// New returns an empty store whose leases, watches and rate limits use clock.
func New(clock *timer.Service, opts ...Option) *Store {
	s := &Store{clock: clock, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].entries = map[string]entry{}
		s.shards[i].changed = map[string]chan struct{}{}
	}
	s.leases.live = map[platform.LeaseID]*lease{}
	for _, opt := range opts {
		opt(s)
	}
	if s.metrics == nil {
		s.metrics = metrics.NewSet()
	}
	s.counter = platform.NewCounter(s.metrics, "standin_store_calls_total")
	return s
}

// Calls returns the number of calls of each kind, refused ones included.
func (s *Store) Calls() platform.Calls { return s.counter.Calls() }

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Value, error) {
	if _, err := s.startCall(ctx, platform.KindGet, key); err != nil {
		return platform.Value{}, err
	}
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.value(key)
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, opts ...platform.WriteOption) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, &platform.TooLargeError{Key: key, Bytes: len(value), Limit: platform.MaxValueBytes}
	}
	id := platform.NewWrite(opts...).Lease()
	var next uint64
	err := s.write(ctx, platform.KindCompareAndSwap, key, func() (err error) {
		next, err = s.swap(key, revision, value, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return next, nil
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var id platform.LeaseID
	err := s.write(ctx, platform.KindGrant, "", func() error {
		id = s.grant(ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, platform.KindKeepAlive, "", func() error { return s.renew(id) })
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, platform.KindRevoke, "", func() error {
		if !s.ExpireLease(id) {
			return &platform.LeaseExpiredError{Lease: id}
		}
		return nil
	})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (platform.Value, error) {
	if _, err := s.startCall(ctx, platform.KindWatch, key); err != nil {
		return platform.Value{}, err
	}
	end := s.clock.After(wait)
	defer end.Stop()
	sh := s.shard(key)
	for {
		sh.mu.Lock()
		v, err := sh.value(key)
		changed := sh.watch(key)
		sh.mu.Unlock()
		if s.faults.isDown() {
			return platform.Value{}, &platform.UnavailableError{Op: platform.KindWatch}
		}
		if v.Revision() != revision {
			return v, err
		}
		if wait <= 0 {
			return platform.Value{}, &platform.UnchangedError{Key: key, Revision: revision}
		}
		select {
		case <-changed:
		case <-end.C():
			return platform.Value{}, &platform.UnchangedError{Key: key, Revision: revision}
		case <-ctx.Done():
			return platform.Value{}, &platform.UnavailableError{Op: platform.KindWatch, Err: ctx.Err()}
		}
	}
}

// Len returns the number of keys and the total size of their values in bytes.
func (s *Store) Len() (keys, size int) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		keys += len(sh.entries)
		for _, e := range sh.entries {
			size += len(e.data)
		}
		sh.mu.Unlock()
	}
	return keys, size
}

// Keys returns all keys in no particular order. The real service has no such
// call.
func (s *Store) Keys() []string {
	var keys []string
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k := range sh.entries {
			keys = append(keys, k)
		}
		sh.mu.Unlock()
	}
	return keys
}

func (s *Store) shard(key string) *shard {
	return &s.shards[maphash.String(s.seed, key)%shardCount]
}

func (s *Store) swap(key string, revision uint64, value []byte, id platform.LeaseID) (uint64, error) {
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.entries[key]
	if old.revision != revision {
		return 0, &platform.ConflictError{Key: key, Want: revision, Current: old.revision}
	}
	// The key is attached under its shard's lock. A lease that expires meanwhile
	// then either fails the attach or removes the key after this write.
	if id != 0 && !s.leases.attach(id, key) {
		return 0, &platform.LeaseExpiredError{Lease: id}
	}
	next := s.revision.Add(1)
	if value == nil {
		delete(sh.entries, key)
	} else {
		sh.entries[key] = entry{data: append([]byte{}, value...), revision: next, lease: id}
	}
	sh.wake(key)
	return next, nil
}

func (sh *shard) value(key string) (platform.Value, error) {
	e, ok := sh.entries[key]
	if !ok {
		return platform.Value{}, &platform.NotFoundError{Key: key}
	}
	return platform.NewValue(key, e.data, e.revision), nil
}

func (sh *shard) watch(key string) chan struct{} {
	c, ok := sh.changed[key]
	if !ok {
		c = make(chan struct{})
		sh.changed[key] = c
	}
	return c
}

func (sh *shard) wake(key string) {
	if c, ok := sh.changed[key]; ok {
		close(c)
		delete(sh.changed, key)
	}
}

func (sh *shard) wakeAll() {
	for key := range sh.changed {
		sh.wake(key)
	}
}
