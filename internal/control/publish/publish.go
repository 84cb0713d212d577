package publish

import (
	"context"
	"errors"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

// Publish makes next, which d leads to, the newest version. It returns nil
// once the plan is in the chain, also if an earlier call put it there. A
// ConflictError means that d never will be published, an AbandonedError that
// the plan never will, a StepError that this call did not publish it, an
// OutcomeUnknownError that it may have, a StalePlanError that the plan may
// have been published before a restore.
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
		return p.failure(err)
	}
	if p.swapped {
		l.keep(ctx, p.record, d, p.slot)
		l.maintain(ctx, next, p.next)
	}
	return nil
}

// publisher is one Publish under way.
type publisher struct {
	log    *Log
	delta  *snapshot.Delta
	planID string
	slot   uint32
	record Head
	next   *pb.Head
	// sent is set once a swap of the head may have taken effect: from then on
	// no failure may be called "not published".
	sent    bool
	swapped bool
	stage   string
}

// step reads the head and, unless it settles the matter, swaps it. It is
// repeated only while the outcome of a swap is unknown.
func (p *publisher) step(ctx context.Context) (settled bool, err error) {
	p.stage = "read head"
	h, err := p.log.Head(ctx)
	if err != nil {
		return !p.sent, err
	}
	p.stage = "look up plan"
	done, err := p.log.decided(ctx, h, p.planID)
	var given *AbandonedError
	if errors.As(err, &given) {
		return p.abandoned(ctx)
	}
	if err != nil {
		return !p.sent || final(err), err
	}
	if done {
		return true, nil
	}
	// A plan made before a restore may have been published in what was lost.
	if h.message.GetBase().GetVersion() >= p.delta.Version() {
		return true, &StalePlanError{PlanID: p.planID}
	}
	if !h.follows(p.delta) {
		return true, &ConflictError{
			PlanID: p.planID, Wanted: p.delta.Version(), Published: h.Version(), Winner: h.PlanID(),
		}
	}
	p.stage = "write delta"
	slot, err := p.log.writeDelta(ctx, h, p.delta)
	if err != nil {
		return !p.sent, unsent(err)
	}
	return p.swap(ctx, h, slot)
}

// abandoned makes sure of an abandon whose operator may have ended before its
// second step, since an earlier swap of the plan may still be on its way.
func (p *publisher) abandoned(ctx context.Context) (settled bool, err error) {
	p.sent = true
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
	p.stage = "keep an earlier outcome"
	if evicted != nil {
		version := h.Version() - recentLen + 1
		if err := p.log.keepOutcome(ctx, evicted.GetPlanId(), version); err != nil {
			return !p.sent, unsent(err)
		}
	}
	b, err := encode(next)
	if err != nil {
		return true, err
	}
	p.stage = "swap head"
	revision, err := p.log.store.CompareAndSwap(ctx, p.log.headKey(), h.Revision(), b)
	var conflict *platform.ConflictError
	var unknown *platform.UnknownOutcomeError
	switch {
	case err == nil:
		p.swapped, p.slot, p.record, p.next = true, slot, h, next
		p.log.marks(Head{message: next, revision: revision})
		return true, nil
	case errors.As(err, &conflict):
		// Whoever moved the head decided; the next step reads who.
		return false, err
	case errors.As(err, &unknown):
		p.sent = true
		return false, err
	default:
		return !p.sent, err
	}
}

// failure says of an error whether the plan was certainly not published.
func (p *publisher) failure(err error) error {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		return err
	case final(err):
		return err
	case p.sent:
		return &OutcomeUnknownError{PlanID: p.planID, Err: err}
	default:
		return &StepError{PlanID: p.planID, Step: p.stage, Err: err}
	}
}

// final tells the errors that no further look changes.
func final(err error) bool {
	var abandoned *AbandonedError
	var stale *StalePlanError
	return errors.As(err, &abandoned) || errors.As(err, &stale)
}

// unsent turns the unknown outcome of a write that decides nothing into a
// plain failure: with the head not swapped, the plan was not published.
func unsent(err error) error {
	var unknown *platform.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &platform.UnavailableError{Op: unknown.Op}
	}
	return err
}

// keep writes the delta again should it have gone. A store that is restored
// from a copy between the two writes holds the head it had, so that the swap
// succeeds, and not the delta, without which no node could load the version.
func (l *Log) keep(ctx context.Context, h Head, d *snapshot.Delta, slot uint32) {
	_, err := l.readDelta(ctx, d.Version(), slot)
	var notFound *platform.NotFoundError
	if !errors.As(err, &notFound) {
		return
	}
	// Best effort: the version is decided, and a load tells of what is missing.
	if b, err := encodeRecord(h, d); err == nil {
		_, _ = l.create(ctx, l.deltaKey(d.Version(), slot), b)
	}
}
