package publish

import (
	"context"
	"errors"
	"slices"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

const (
	// compressMinBytes is the size from which a value is compressed; most
	// deltas are smaller.
	compressMinBytes = 1 << 10
	// maxDecodedBytes bounds the memory that decompressing a stored value may
	// use.
	maxDecodedBytes = 64 << 20
)

// record is a stored delta and the slot of its predecessor.
type record struct {
	delta *snapshot.Delta
	// parentSlotPlusOne is the slot of the previous version's delta, plus one;
	// 0 where a restore broke the chain.
	parentSlotPlusOne uint32
}

// writeDelta stores d in the first free slot of its version and returns the
// slot. Slots are filled in order and stay filled until the version is
// collected, so that the collector finds every delta of a version without
// listing keys, including those of publishers that lost the race or crashed.
func (l *Log) writeDelta(ctx context.Context, h Head, d *snapshot.Delta) (uint32, error) {
	b, err := encodeRecord(h, d)
	if err != nil {
		return 0, err
	}
	for slot := uint32(0); ; slot++ {
		stored, err := l.create(ctx, l.deltaKey(d.Version(), slot), b)
		if err != nil {
			return 0, err
		}
		if stored {
			return slot, nil
		}
	}
}

func encodeRecord(h Head, d *snapshot.Delta) ([]byte, error) {
	m := &pb.Record{ParentSlotPlusOne: h.tipSlotPlusOne()}
	m.Delta, m.Compressed = compress(d.Bytes())
	return encode(m)
}

func (l *Log) readDelta(ctx context.Context, version uint64, slot uint32) (record, error) {
	key := l.deltaKey(version, slot)
	v, err := l.store.Get(ctx, key)
	if err != nil {
		return record{}, err
	}
	m := &pb.Record{}
	if err := decode(key, v.Data(), m); err != nil {
		return record{}, err
	}
	b, err := decompress(key, m.GetDelta(), m.GetCompressed())
	if err != nil {
		return record{}, err
	}
	d, err := snapshot.DecodeDelta(b)
	if err != nil {
		return record{}, &DamagedError{Key: key, Err: err}
	}
	return record{delta: d, parentSlotPlusOne: m.GetParentSlotPlusOne()}, nil
}

// chain returns the deltas that follow the version numbered from, in order. It
// reads backwards from the head, because each delta names the slot of its
// predecessor.
func (l *Log) chain(ctx context.Context, h Head, from uint64) ([]*snapshot.Delta, error) {
	var deltas []*snapshot.Delta
	slotPlusOne := h.tipSlotPlusOne()
	for version := h.Version(); version > from; version-- {
		if slotPlusOne == 0 {
			return nil, &TooOldError{Held: from, Stored: h.Version()}
		}
		r, err := l.readDelta(ctx, version, slotPlusOne-1)
		var notFound *platform.NotFoundError
		if errors.As(err, &notFound) {
			return nil, &TooOldError{Held: from, Stored: h.Version()}
		}
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, r.delta)
		slotPlusOne = r.parentSlotPlusOne
	}
	slices.Reverse(deltas)
	return deltas, nil
}

// Since returns the deltas from the held version to the newest. It returns a
// TooOldError if they are no longer stored, so that Load is needed, and an
// OlderError if the store lacks the held version.
func (l *Log) Since(ctx context.Context, held *snapshot.Snapshot) ([]*snapshot.Delta, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	return l.SinceTo(ctx, held, h)
}

// SinceTo is Since for a head that was already read, as by WaitHead; it saves
// one store call per change.
func (l *Log) SinceTo(ctx context.Context, held *snapshot.Snapshot, h Head) ([]*snapshot.Delta, error) {
	if err := h.checkNotOlder(seenVersion{version: held.Version(), digest: held.Digest(), restores: h.message.GetRestores()}); err != nil {
		return nil, err
	}
	// Deltas are kept back to the second newest full version, so a longer range
	// is incomplete; fail before reading it.
	if h.Version()-held.Version() > 2*l.fullEvery+recentVersions {
		return nil, &TooOldError{Held: held.Version(), Stored: h.Version()}
	}
	deltas, err := l.chain(ctx, h, held.Version())
	if err != nil {
		return nil, err
	}
	if len(deltas) > 0 && deltas[0].Parent() != held.Digest() {
		return nil, &OlderError{
			Held: held.Version(), Stored: held.Version(),
			HeldDigest: held.Digest(), StoredDigest: deltas[0].Parent(),
		}
	}
	return deltas, nil
}

func compress(b []byte) (data []byte, compressed bool) {
	if len(b) < compressMinBytes {
		return b, false
	}
	return zstd.EncodeTo(nil, b), true
}

func decompress(key string, data []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return data, nil
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return nil, &DamagedError{Key: key, Err: err}
	}
	defer d.Close()
	b, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, &DamagedError{Key: key, Err: err}
	}
	return b, nil
}
