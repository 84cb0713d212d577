package publish

import (
	"context"
	"errors"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

// chunkBytes is half of the store's limit for a value, since some stores count
// the key or encode the value.
const chunkBytes = 512 << 10

// maintain stores a full version when one is due and removes values that no
// node needs any more. It runs after the swap that decided the version, so its
// errors are ignored: the next publisher finds the same work due.
func (l *Log) maintain(ctx context.Context, next *snapshot.Snapshot, h *pb.Head) {
	fulls := l.cachedFulls()
	if l.fullDue(fulls, h) {
		var err error
		if fulls, err = l.readFulls(ctx); err != nil {
			return
		}
		if l.fullDue(fulls, h) {
			l.addFull(ctx, next, h)
		}
	}
	if h.GetVersion()%collectEvery == 0 {
		// A failed collection is repeated collectEvery versions later and does
		// not get larger meanwhile.
		_ = l.collect(ctx)
	}
}

func (l *Log) fullDue(fulls *pb.Fulls, h *pb.Head) bool {
	last := newestFull(h.GetVersion(), h.GetBase(), fulls.GetCurrent())
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
	var superseded *supersededError
	if errors.As(err, &superseded) {
		l.discardFull(ctx, f)
	}
}

// discardFull removes a full version that a newer one superseded while it was
// written, since the collector may have passed its version already.
func (l *Log) discardFull(ctx context.Context, f *pb.Full) {
	if manifest, err := l.store.Get(ctx, l.fullKey(f.GetVersion(), f.GetSlot())); err == nil {
		_ = l.removeFull(ctx, manifest)
	}
}

// writeFull stores a full version in chunks, in the first free slot up to
// lastSlot, and returns its manifest. The manifest is written first, so that
// the collector finds the chunks of a publisher that crashed in between.
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
	if err := l.writeManifest(ctx, f, lastSlot); err != nil {
		return nil, err
	}
	for i := range f.GetChunks() {
		chunk := b[i*chunkBytes : min(int(i+1)*chunkBytes, len(b))]
		key := l.chunkKey(f.GetVersion(), f.GetSlot(), i)
		stored, err := l.create(ctx, key, chunk)
		if err != nil {
			return nil, err
		}
		if !stored {
			return nil, &platform.ConflictError{Key: key}
		}
	}
	return f, nil
}

// writeManifest writes the manifest to the first free slot. It doesn't reuse a
// manifest with the same content: another publisher may still be writing its
// chunks, and a different version of the compressor may give other bytes.
func (l *Log) writeManifest(ctx context.Context, f *pb.Full, lastSlot uint32) error {
	for ; ; f.Slot++ {
		b, err := encode(f)
		if err != nil {
			return err
		}
		_, err = l.store.CompareAndSwap(ctx, l.fullKey(f.GetVersion(), f.GetSlot()), 0, b)
		if err == nil {
			return nil
		}
		// After a lost response the slot may hold a manifest without chunks; the
		// collector removes it.
		var unknown *platform.UnknownOutcomeError
		if f.GetSlot() == lastSlot || !isConflict(err) && !errors.As(err, &unknown) {
			return err
		}
	}
}

// readFull returns the full version that f describes, or the empty snapshot if
// f is nil.
func (l *Log) readFull(ctx context.Context, f *pb.Full) (*snapshot.Snapshot, error) {
	if f == nil {
		return snapshot.Empty(), nil
	}
	var compressed []byte
	for i := range f.GetChunks() {
		v, err := l.store.Get(ctx, l.chunkKey(f.GetVersion(), f.GetSlot(), i))
		if err != nil {
			return nil, err
		}
		compressed = append(compressed, v.Data()...)
	}
	key := l.fullKey(f.GetVersion(), f.GetSlot())
	b, err := decompress(key, compressed, true)
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

// newestFull returns the newest of fulls up to version, the first one of equals,
// or nil.
func newestFull(version uint64, fulls ...*pb.Full) *pb.Full {
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
	m, _, err := l.readFullsWithRevision(ctx)
	return m, err
}

func (l *Log) readFullsWithRevision(ctx context.Context) (*pb.Fulls, uint64, error) {
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

// supersededError reports an update that another publisher made unnecessary.
type supersededError struct{}

func (e *supersededError) Error() string { return "superseded by another publisher" }

// updateFulls applies change to the stored list of full versions. change
// returns false if the update is no longer needed, which gives a
// supersededError, and must be idempotent, since it may run again after a
// conflict or a lost response.
func (l *Log) updateFulls(ctx context.Context, change func(*pb.Fulls) bool) error {
	var err error
	for range immediateAttempts {
		var m *pb.Fulls
		var revision uint64
		if m, revision, err = l.readFullsWithRevision(ctx); err != nil {
			return err
		}
		m = cloneFulls(m)
		if !change(m) {
			return &supersededError{}
		}
		b, encodeErr := encode(m)
		if encodeErr != nil {
			return encodeErr
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
