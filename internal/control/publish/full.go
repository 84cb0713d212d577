package publish

import (
	"context"
	"errors"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

// chunkBytes is half of what the store holds in one value, which leaves room
// for stores that count the key, or encode the value.
const chunkBytes = 512 << 10

// maintain stores a whole version when one is due and removes what no node
// needs any more. It runs after the swap that decided, so its failures are
// left to the next publisher, who finds the same work due.
func (l *Log) maintain(ctx context.Context, next *snapshot.Snapshot, h *pb.Head) {
	fulls := l.cachedFulls()
	if l.due(fulls, h) {
		var err error
		if fulls, err = l.readFulls(ctx); err != nil {
			return
		}
		if l.due(fulls, h) {
			l.addFull(ctx, next, h)
		}
	}
	if h.GetVersion()%collectEvery == 0 {
		// The next time is soon, and the work does not grow meanwhile.
		_ = l.collect(ctx)
	}
}

func (l *Log) due(fulls *pb.Fulls, h *pb.Head) bool {
	last := newest(h.GetVersion(), h.GetBase(), fulls.GetCurrent())
	return h.GetVersion() >= last.GetVersion()+l.fullEvery ||
		h.GetDeltaBytes() >= last.GetDeltaBytes()+fullEveryBytes
}

func (l *Log) addFull(ctx context.Context, s *snapshot.Snapshot, h *pb.Head) {
	f, err := l.writeFull(ctx, s, h.GetDeltaBytes(), 0)
	if err != nil {
		return
	}
	err = l.updateFulls(ctx, func(m *pb.Fulls) bool {
		if m.GetCurrent().GetVersion() >= f.GetVersion() {
			return false
		}
		m.Previous, m.Current = m.GetCurrent(), f
		return true
	})
	var stale *staleError
	if errors.As(err, &stale) {
		l.discardFull(ctx, f)
	}
}

// discardFull removes a whole version that came too late to be of use, since
// the collector may have passed it by.
func (l *Log) discardFull(ctx context.Context, f *pb.Full) {
	if manifest, err := l.store.Get(ctx, l.fullKey(f.GetVersion(), f.GetSlot())); err == nil {
		_ = l.removeFull(ctx, manifest)
	}
}

// writeFull stores a whole version in chunks, at most at slot lastSlot, and
// returns where. The manifest is written first: by it the collector finds the
// chunks of a publisher that ended before it was done.
func (l *Log) writeFull(ctx context.Context, s *snapshot.Snapshot, deltaBytes uint64, lastSlot uint32) (*pb.Full, error) {
	b, err := s.EncodeFull()
	if err != nil {
		return nil, err
	}
	b = zstd.EncodeTo(nil, b)
	digest := s.Digest()
	f := &pb.Full{
		Version: s.Version(), Digest: digest[:], DeltaBytes: deltaBytes,
		Chunks: uint32((len(b) + chunkBytes - 1) / chunkBytes),
	}
	if err := l.claimFull(ctx, f, lastSlot); err != nil {
		return nil, err
	}
	for i := range f.GetChunks() {
		chunk := b[i*chunkBytes : min(int(i+1)*chunkBytes, len(b))]
		key := l.chunkKey(f.GetVersion(), f.GetSlot(), i)
		ours, err := l.create(ctx, key, chunk)
		if err != nil {
			return nil, err
		}
		if !ours {
			return nil, &platform.ConflictError{Key: key}
		}
	}
	return f, nil
}

// claimFull writes the manifest to the first free slot. It does not take up a
// manifest with the same content: another publisher may be writing its chunks
// with another program's compressor.
func (l *Log) claimFull(ctx context.Context, f *pb.Full, lastSlot uint32) error {
	for ; ; f.Slot++ {
		b, err := encode(f)
		if err != nil {
			return err
		}
		_, err = l.store.CompareAndSwap(ctx, l.fullKey(f.GetVersion(), f.GetSlot()), 0, b)
		if err == nil {
			return nil
		}
		// A lost answer leaves a manifest without chunks, which is collected.
		var unknown *platform.UnknownOutcomeError
		if f.GetSlot() == lastSlot || !isConflict(err) && !errors.As(err, &unknown) {
			return err
		}
	}
}

// readFull returns the whole version that f names.
func (l *Log) readFull(ctx context.Context, f *pb.Full) (*snapshot.Snapshot, error) {
	if f == nil {
		return snapshot.Empty(), nil
	}
	var packed []byte
	for i := range f.GetChunks() {
		v, err := l.store.Get(ctx, l.chunkKey(f.GetVersion(), f.GetSlot(), i))
		if err != nil {
			return nil, err
		}
		packed = append(packed, v.Data()...)
	}
	key := l.fullKey(f.GetVersion(), f.GetSlot())
	b, err := unpack(key, packed, true)
	if err != nil {
		return nil, err
	}
	s, err := snapshot.DecodeFull(b)
	if err != nil {
		return nil, &DamagedError{Key: key, Err: err}
	}
	if s.Version() != f.GetVersion() || !sameDigest(f.GetDigest(), s.Digest()) {
		return nil, &DamagedError{Key: key, Err: &MismatchError{Delta: f.GetVersion(), Snapshot: s.Version()}}
	}
	return s, nil
}

// newest returns the newest of the fulls that is not beyond a version, the
// first of equals, or nil.
func newest(version uint64, fulls ...*pb.Full) *pb.Full {
	var best *pb.Full
	for _, f := range fulls {
		if f != nil && f.GetVersion() <= version && (best == nil || f.GetVersion() > best.GetVersion()) {
			best = f
		}
	}
	return best
}

func (l *Log) cachedFulls() *pb.Fulls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fulls
}

func (l *Log) readFulls(ctx context.Context) (*pb.Fulls, error) {
	m, _, err := l.loadFulls(ctx)
	return m, err
}

func (l *Log) loadFulls(ctx context.Context) (*pb.Fulls, uint64, error) {
	m := &pb.Fulls{}
	v, err := l.store.Get(ctx, l.fullsKey())
	var notFound *platform.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return nil, 0, err
	}
	if err == nil {
		if err := decode(l.fullsKey(), v.Data(), m); err != nil {
			return nil, 0, err
		}
	}
	l.mu.Lock()
	l.fulls = m
	l.mu.Unlock()
	return m, v.Revision(), nil
}

// staleError ends an update that has nothing to change any more.
type staleError struct{}

func (e *staleError) Error() string { return "overtaken by another publisher" }

// updateFulls changes the record of fulls, or returns a staleError where
// change finds itself overtaken. change must be idempotent, as a lost answer
// makes it run again.
func (l *Log) updateFulls(ctx context.Context, change func(*pb.Fulls) bool) error {
	var err error
	for range quickTries {
		var m *pb.Fulls
		var revision uint64
		if m, revision, err = l.loadFulls(ctx); err != nil {
			return err
		}
		m = cloneFulls(m)
		if !change(m) {
			return &staleError{}
		}
		b, eerr := encode(m)
		if eerr != nil {
			return eerr
		}
		if _, err = l.store.CompareAndSwap(ctx, l.fullsKey(), revision, b); err == nil {
			l.mu.Lock()
			l.fulls = m
			l.mu.Unlock()
			return nil
		}
		if !isConflict(err) {
			return err
		}
	}
	return err
}

func cloneFulls(m *pb.Fulls) *pb.Fulls {
	return &pb.Fulls{Current: m.GetCurrent(), Previous: m.GetPrevious(), Collected: m.GetCollected()}
}
