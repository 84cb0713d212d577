package publish

import (
	"context"
	"errors"
	"fmt"
	"math"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

// Restore puts the fleet's version back into a store that was restored from an
// older copy. The whole version is written aside and one swap of the head
// leads to it, so a restore that ends halfway changes nothing. A NewerError
// means that the store is ahead of s.
func (l *Log) Restore(ctx context.Context, s *snapshot.Snapshot) error {
	var full *pb.Full
	return l.retry(ctx, func() (bool, error) {
		h, err := l.anyHead(ctx)
		if err != nil {
			return false, err
		}
		if h.Version() == s.Version() && h.Digest() == s.Digest() {
			l.marks(h)
			return true, nil
		}
		if h.Version() > s.Version() {
			return true, &NewerError{Stored: h.Version(), Restored: s.Version()}
		}
		if full == nil {
			full, err = l.writeFull(ctx, s, h.message.GetDeltaBytes(), math.MaxUint32)
			if err != nil {
				return false, fmt.Errorf("store version %d whole: %w", s.Version(), err)
			}
		}
		if err := l.keepRecent(ctx, h); err != nil {
			return false, err
		}
		return l.swapRestored(ctx, h, s, full)
	})
}

// keepRecent marks the plans that the restored head's list no longer tells, or
// a confirm that is sent again would publish its plan twice. They are marked
// as unknown, since the store can't tell whether the fleet's version contains
// them: it may have gone another way since it became older.
func (l *Log) keepRecent(ctx context.Context, h Head) error {
	for _, e := range h.Recent() {
		err := l.keepMark(ctx, e.PlanID(), &pb.Outcome{Restored: true})
		var published *publishedError
		if err != nil && !errors.As(err, &published) {
			return fmt.Errorf("keep the outcome of plan %s: %w", e.PlanID(), err)
		}
	}
	return nil
}

func (l *Log) swapRestored(ctx context.Context, h Head, s *snapshot.Snapshot, full *pb.Full) (bool, error) {
	digest := s.Digest()
	m := &pb.Head{
		Format: snapshot.FormatLevel, Version: s.Version(), Digest: digest[:],
		Restores: h.message.GetRestores() + 1, DeltaBytes: h.message.GetDeltaBytes(), Base: full,
		Recent: []*pb.Entry{{PlanId: s.PlanID(), Digest: digest[:]}},
	}
	b, err := encode(m)
	if err != nil {
		return true, err
	}
	revision, err := l.store.CompareAndSwap(ctx, l.headKey(), h.Revision(), b)
	if err != nil {
		return false, fmt.Errorf("swap head: %w", err)
	}
	l.marks(Head{message: m, revision: revision})
	return true, nil
}

// anyHead returns the head however old it is.
func (l *Log) anyHead(ctx context.Context) (Head, error) {
	v, err := l.store.Get(ctx, l.headKey())
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return Head{message: &pb.Head{}}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read head: %w", err)
	}
	return decodeHead(v)
}
