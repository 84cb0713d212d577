package publish

import (
	"context"
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
)

// Change is one version in the history.
type Change struct {
	version uint64
	stamp   snapshot.Stamp
}

// Version returns the version number.
func (c Change) Version() uint64 { return c.version }

// PlanID returns the plan that made the version.
func (c Change) PlanID() string { return c.stamp.PlanID }

// Operator returns who confirmed the plan.
func (c Change) Operator() string { return c.stamp.Operator }

// At returns when the plan was confirmed.
func (c Change) At() time.Time { return c.stamp.At }

// History returns up to n of the newest versions, the newest first; it ends
// earlier where deltas are no longer kept.
func (l *Log) History(ctx context.Context, n int) ([]Change, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	var changes []Change
	slot := h.tip()
	for version := h.Version(); version > 0 && slot > 0 && len(changes) < n; version-- {
		r, err := l.readDelta(ctx, version, slot-1)
		var notFound *platform.NotFoundError
		if errors.As(err, &notFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		changes = append(changes, Change{version: version, stamp: r.delta.Stamp()})
		slot = r.parentSlot
	}
	return changes, nil
}
