package fleet

import (
	"context"
	"strings"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/platform"
)

// fakeStore is an in-memory platform store with fault injection.
type fakeStore struct {
	clk *timer.Service

	mu       sync.Mutex
	revision uint64
	values   map[string]platform.Value
	leases   map[string]platform.LeaseID
	events   []platform.Event
	changed  chan struct{}
	lease    platform.LeaseID
	expired  map[platform.LeaseID]bool

	unavailable       bool // calls fail
	historyDropped    bool // watches return no events, as after a compaction
	loseWriteResponse bool // the next write is applied but its response is lost
	calls             int  // without reads that may be stale
	staleReads        int
	watchesHang       bool // watches are never answered, like those requested during an outage
	// maxWatchEvents, if not 0, is the number of events above which a watch response
	// exceeds its timeout; the last key is then written again.
	maxWatchEvents int
	onSwap         func(key string, value []byte) // called before each CompareAndSwap, if not nil
}

func newFakeStore(clk *timer.Service) *fakeStore {
	return &fakeStore{
		clk: clk, revision: 1, values: map[string]platform.Value{}, leases: map[string]platform.LeaseID{},
		changed: make(chan struct{}), expired: map[platform.LeaseID]bool{},
	}
}

// set changes the store under its lock and notifies watches.
func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.notify()
}

func (s *fakeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as an external writer would.
func (s *fakeStore) put(key string, value []byte) {
	s.set(func() { s.write(key, value) })
}

func (s *fakeStore) write(key string, value []byte) {
	s.revision++
	v := platform.NewValue(key, value, s.revision)
	if value == nil {
		delete(s.values, key)
	} else {
		s.values[key] = v
	}
	s.events = append(s.events, platform.NewEvent(v, value == nil))
}

func (s *fakeStore) get(key string) (platform.Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

func (s *fakeStore) call(kind platform.Kind) error {
	s.calls++
	if s.unavailable {
		return &platform.UnavailableError{Op: kind}
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(platform.KindGet); err != nil {
		return platform.Value{}, err
	}
	v, ok := s.values[key]
	if !ok {
		return platform.Value{}, &platform.NotFoundError{Key: key}
	}
	return v, nil
}

func (s *fakeStore) Range(_ context.Context, prefix string, opts ...platform.ReadOption) ([]platform.Value, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(platform.KindGet); err != nil {
		return nil, 0, err
	}
	if platform.NewRead(opts...).Stale() {
		s.calls--
		s.staleReads++
	}
	var out []platform.Value
	for _, v := range s.values {
		if strings.HasPrefix(v.Key(), prefix) {
			out = append(out, v)
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	timeout := s.clk.After(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if err := s.call(platform.KindWatch); err != nil {
			s.mu.Unlock()
			return nil, after, err
		}
		var out []platform.Event
		for _, e := range s.events {
			if e.Value().Revision() > after && !s.historyDropped && strings.HasPrefix(e.Value().Key(), prefix) {
				out = append(out, e)
			}
		}
		if s.watchesHang {
			s.mu.Unlock()
			<-ctx.Done()
			return nil, after, &platform.UnavailableError{Op: platform.KindWatch, Err: ctx.Err()}
		}
		if s.maxWatchEvents > 0 && len(out) > s.maxWatchEvents {
			last := out[len(out)-1].Value()
			s.write(last.Key(), last.Data())
			s.mu.Unlock()
			return nil, after, &platform.UnavailableError{Op: platform.KindWatch, Err: context.DeadlineExceeded}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, &platform.UnavailableError{Op: platform.KindWatch, Err: ctx.Err()}
		case <-timeout.C():
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte, opts ...platform.WriteOption) (uint64, error) {
	if s.onSwap != nil {
		s.onSwap(key, value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(platform.KindCompareAndSwap); err != nil {
		return 0, err
	}
	if current := s.values[key].Revision(); current != revision {
		return 0, &platform.ConflictError{Key: key, Want: revision, Current: current}
	}
	for _, e := range platform.NewWrite(opts...).Expected() {
		if current := s.values[e.Key()].Revision(); current != e.Revision() {
			return 0, &platform.ConflictError{Key: e.Key(), Want: e.Revision(), Current: current}
		}
	}
	lease := platform.NewWrite(opts...).Lease()
	if s.expired[lease] {
		return 0, &platform.LeaseExpiredError{Lease: lease}
	}
	s.write(key, value)
	s.leases[key] = lease
	s.notify()
	if s.loseWriteResponse {
		s.loseWriteResponse = false
		return 0, &platform.UnknownOutcomeError{Op: platform.KindCompareAndSwap}
	}
	return s.revision, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(platform.KindGrant); err != nil {
		return 0, err
	}
	s.lease++
	return s.lease, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(platform.KindKeepAlive); err != nil {
		return err
	}
	if s.expired[lease] {
		return &platform.LeaseExpiredError{Lease: lease}
	}
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range s.leases {
		if l == lease {
			delete(s.leases, key)
			s.write(key, nil)
		}
	}
	s.notify()
	return s.call(platform.KindRevoke)
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) (platform.Value, error) {
	return platform.Value{}, &platform.UnavailableError{Op: platform.KindWatch}
}
