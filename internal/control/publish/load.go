package publish

import (
	"context"
	"errors"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
)

// loadTries bounds loads that are overtaken: each time, a full version's worth
// of publishes went by while one was read.
const loadTries = 3

// Load returns the newest version whole: the last full one and the deltas
// since. A value that is missing each time is a DamagedError.
func (l *Log) Load(ctx context.Context) (*snapshot.Snapshot, error) {
	var err error
	for range loadTries {
		var s *snapshot.Snapshot
		if s, err = l.load(ctx); err == nil {
			return s, nil
		}
		var missing *platform.NotFoundError
		var tooOld *TooOldError
		if !errors.As(err, &missing) && !errors.As(err, &tooOld) {
			return nil, err
		}
	}
	return nil, &DamagedError{Key: l.headKey(), Err: err}
}

func (l *Log) load(ctx context.Context) (*snapshot.Snapshot, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	fulls, err := l.readFulls(ctx)
	if err != nil {
		return nil, err
	}
	base := newest(h.Version(), h.message.GetBase(), fulls.GetCurrent(), fulls.GetPrevious())
	s, err := l.readFull(ctx, base)
	if err != nil {
		return nil, err
	}
	deltas, err := l.chain(ctx, h, s.Version())
	if err != nil {
		return nil, err
	}
	for _, d := range deltas {
		if s, err = s.Apply(d); err != nil {
			return nil, &DamagedError{Key: l.deltaKey(d.Version(), 0), Err: err}
		}
	}
	if s.Digest() != h.Digest() {
		return nil, &DamagedError{
			Key: l.headKey(),
			Err: &snapshot.DigestError{Version: h.Version(), Want: h.Digest(), Got: s.Digest()},
		}
	}
	return s, nil
}
