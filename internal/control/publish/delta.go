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
	// compressFrom leaves small deltas, which are most, as they are.
	compressFrom = 1 << 10
	// maxDecodedBytes refuses a value that would unpack to more memory than a
	// node may use, whoever wrote it.
	maxDecodedBytes = 64 << 20
)

// record is a stored delta with what a walk down the chain needs.
type record struct {
	delta *snapshot.Delta
	// parentSlot is the slot plus one of the delta before, 0 where a restore
	// cut the chain.
	parentSlot uint32
}

// writeDelta stores d in the first free slot of its version and returns the
// slot. Slots are filled in order and never emptied before the version is
// collected, so that the collector finds every delta of a version, those of
// publishers that lost or ended included, without a list of keys.
func (l *Log) writeDelta(ctx context.Context, h Head, d *snapshot.Delta) (uint32, error) {
	b, err := encodeRecord(h, d)
	if err != nil {
		return 0, err
	}
	for slot := uint32(0); ; slot++ {
		ours, err := l.create(ctx, l.deltaKey(d.Version(), slot), b)
		if err != nil {
			return 0, err
		}
		if ours {
			return slot, nil
		}
	}
}

func encodeRecord(h Head, d *snapshot.Delta) ([]byte, error) {
	m := &pb.Record{ParentSlotPlusOne: h.tip()}
	m.Delta, m.Compressed = pack(d.Bytes())
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
	b, err := unpack(key, m.GetDelta(), m.GetCompressed())
	if err != nil {
		return record{}, err
	}
	d, err := snapshot.DecodeDelta(b)
	if err != nil {
		return record{}, &DamagedError{Key: key, Err: err}
	}
	return record{delta: d, parentSlot: m.GetParentSlotPlusOne()}, nil
}

// chain returns the deltas from version from to the head, in order. It walks
// down from the head, since only the chosen delta of a version knows which of
// the one before was chosen.
func (l *Log) chain(ctx context.Context, h Head, from uint64) ([]*snapshot.Delta, error) {
	var deltas []*snapshot.Delta
	slot := h.tip()
	for version := h.Version(); version > from; version-- {
		if slot == 0 {
			return nil, &TooOldError{Held: from, Stored: h.Version()}
		}
		r, err := l.readDelta(ctx, version, slot-1)
		var notFound *platform.NotFoundError
		if errors.As(err, &notFound) {
			return nil, &TooOldError{Held: from, Stored: h.Version()}
		}
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, r.delta)
		slot = r.parentSlot
	}
	slices.Reverse(deltas)
	return deltas, nil
}

// Since returns the deltas that lead from the held version to the newest; a
// TooOldError means that Load is needed, an OlderError that the store lacks
// the held version.
func (l *Log) Since(ctx context.Context, held *snapshot.Snapshot) ([]*snapshot.Delta, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	return l.SinceTo(ctx, held, h)
}

// SinceTo is Since for a head that was read before, as by WaitHead; it saves
// each reader one call for each change.
func (l *Log) SinceTo(ctx context.Context, held *snapshot.Snapshot, h Head) ([]*snapshot.Delta, error) {
	if err := h.behind(mark{version: held.Version(), digest: held.Digest(), restores: h.message.GetRestores()}); err != nil {
		return nil, err
	}
	// No more than two fulls' worth is kept, so a longer walk finds its end
	// missing after many reads.
	if h.Version()-held.Version() > 2*l.fullEvery+recentLen {
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

func pack(b []byte) (data []byte, compressed bool) {
	if len(b) < compressFrom {
		return b, false
	}
	return zstd.EncodeTo(nil, b), true
}

func unpack(key string, data []byte, compressed bool) ([]byte, error) {
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
