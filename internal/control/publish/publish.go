package publish

import (
	"context"
	"errors"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

// Publish makes next, the result of applying d, the newest version. It returns
// nil once the plan is in the chain, also if an earlier call published it. The
// errors are a ConflictError if another plan was published first, an
// AbandonedError if the plan was abandoned, a StepError if this call did not
// publish it, an OutcomeUnknownError if it may have, and a StalePlanError if the
// plan may have been published before a restore.
func (l *Log) Publish(ctx context.Context, d *snapshot.Delta, next *snapshot.Snapshot) error {
	planID := d.Stamp().PlanID
	if err := checkPlanID(planID); err != nil {
		return err
	}
	if next.Version() != d.Version() || next.Digest() != d.Digest() {
		return &MismatchError{Delta: d.Version(), Snapshot: next.Version()}
	}
	p := publisher{log: l, delta: d, planID: planID}
	err := l.retry(ctx, func() (bool, error) { return p.step(ctx) })
	if err != nil {
		return p.classifyError(err)
	}
	if p.swapped {
		l.rewriteMissingDelta(ctx, p.previous, d, p.slot)
		l.maintain(ctx, next, p.nextHead)
	}
	return nil
}

// publisher is the state of one call of Publish.
type publisher struct {
	log      *Log
	delta    *snapshot.Delta
	planID   string
	slot     uint32
	previous Head
	nextHead *pb.Head
	// maybeSwapped is set once a swap of the head may have taken effect; from
	// then on an error must not be reported as "not published".
	maybeSwapped bool
	swapped      bool
	currentStep  string
}

// step reads the head and swaps it unless the outcome is decided already. It is
// repeated only while the outcome of a swap is unknown.
func (p *publisher) step(ctx context.Context) (settled bool, err error) {
	p.currentStep = "read head"
	h, err := p.log.Head(ctx)
	if err != nil {
		return !p.maybeSwapped, err
	}
	p.currentStep = "look up plan"
	published, err := p.log.isPublished(ctx, h, p.planID)
	var abandoned *AbandonedError
	if errors.As(err, &abandoned) {
		return p.completeAbandon(ctx)
	}
	if err != nil {
		return !p.maybeSwapped || isFinal(err), err
	}
	if published {
		return true, nil
	}
	// A plan made before a restore may have been published in a version that
	// was lost.
	if h.message.GetBase().GetVersion() >= p.delta.Version() {
		return true, &StalePlanError{PlanID: p.planID}
	}
	if !h.follows(p.delta) {
		return true, &ConflictError{
			PlanID: p.planID, Wanted: p.delta.Version(), Published: h.Version(), Winner: h.PlanID(),
		}
	}
	p.currentStep = "write delta"
	slot, err := p.log.writeDelta(ctx, h, p.delta)
	if err != nil {
		return !p.maybeSwapped, asUnavailable(err)
	}
	return p.swap(ctx, h, slot)
}

// completeAbandon fences the head again, since the abandon may have been
// interrupted before it did so and an earlier swap of the plan may still be in
// flight.
func (p *publisher) completeAbandon(ctx context.Context) (settled bool, err error) {
	p.maybeSwapped = true
	out, settled, err := p.log.fence(ctx, p.planID)
	if err != nil {
		return settled, err
	}
	switch out.(type) {
	case Published:
		return true, nil
	case NotPublished:
		return true, &AbandonedError{PlanID: p.planID}
	default:
		return true, &StalePlanError{PlanID: p.planID}
	}
}

func (p *publisher) swap(ctx context.Context, h Head, slot uint32) (settled bool, err error) {
	next, evicted := h.next(p.delta, slot)
	p.currentStep = "keep an earlier outcome"
	if evicted != nil {
		version := h.Version() - recentVersions + 1
		if err := p.log.storePublished(ctx, evicted.GetPlanId(), version); err != nil {
			return !p.maybeSwapped, asUnavailable(err)
		}
	}
	b, err := encode(next)
	if err != nil {
		return true, err
	}
	p.currentStep = "swap head"
	revision, err := p.log.store.CompareAndSwap(ctx, p.log.headKey(), h.Revision(), b)
	var conflict *platform.ConflictError
	var unknown *platform.UnknownOutcomeError
	switch {
	case err == nil:
		p.swapped, p.slot, p.previous, p.nextHead = true, slot, h, next
		p.log.recordSeen(Head{message: next, revision: revision})
		return true, nil
	case errors.As(err, &conflict):
		// Another publisher changed the head; the next step reads its plan.
		return false, err
	case errors.As(err, &unknown):
		p.maybeSwapped = true
		return false, err
	default:
		return !p.maybeSwapped, err
	}
}

// classifyError returns an OutcomeUnknownError if the plan may have been
// published, and a StepError if it certainly was not; errors that are already
// definite are returned unchanged.
func (p *publisher) classifyError(err error) error {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		return err
	case isFinal(err):
		return err
	case p.maybeSwapped:
		return &OutcomeUnknownError{PlanID: p.planID, Err: err}
	default:
		return &StepError{PlanID: p.planID, Step: p.currentStep, Err: err}
	}
}

// isFinal reports whether reading the store again would give the same error.
func isFinal(err error) bool {
	var abandoned *AbandonedError
	var stale *StalePlanError
	return errors.As(err, &abandoned) || errors.As(err, &stale)
}

// asUnavailable turns the unknown outcome of a write other than the head's swap
// into an UnavailableError: while the head is not swapped, the plan is not
// published.
func asUnavailable(err error) error {
	var unknown *platform.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &platform.UnavailableError{Op: unknown.Op}
	}
	return err
}

// rewriteMissingDelta writes the delta again if it is missing. When the store
// is restored from a copy between the write of the delta and the swap, the head
// may be unchanged, so that the swap succeeds, while the delta is lost and no
// node could load the version.
func (l *Log) rewriteMissingDelta(ctx context.Context, h Head, d *snapshot.Delta, slot uint32) {
	_, err := l.readDelta(ctx, d.Version(), slot)
	var notFound *platform.NotFoundError
	if !errors.As(err, &notFound) {
		return
	}
	// Best effort: the version is published, and Load reports a missing delta.
	if b, err := encodeRecord(h, d); err == nil {
		_, _ = l.create(ctx, l.deltaKey(d.Version(), slot), b)
	}
}
