package publish

import (
	"context"
	"errors"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	pb "banyanlug.example/banyanlug/internal/control/publishpb"
)

const (
	// outcomeTTL is how long a plan's outcome is answered for after it left
	// the head's recent list: twice a plan's longest life, so that no plan that
	// can still be confirmed outlives its outcome. It sets the number of keys
	// in the store, two days' changes.
	outcomeTTL = 2 * maxPlanTTL
	// leaseShare is how long one lease serves the outcomes that are written;
	// one lease per outcome would double the writes.
	leaseShare = time.Hour
	// maxPlanTTL is a day: an older plan tells of a fleet that has changed.
	maxPlanTTL     = 24 * time.Hour
	maxPlanIDBytes = 64
)

// Outcome is what became of a plan: Published, NotPublished or Unknown.
type Outcome interface{ isOutcome() }

// Published is the outcome of a plan that made a version.
type Published struct{ version uint64 }

// NotPublished is the outcome of a plan that made no version so far; from
// Abandon it means that the plan never will.
type NotPublished struct{}

// Unknown is the outcome of a plan of which the store can't tell: a publish of
// it was under way, it expired, or the store was restored since it was saved.
type Unknown struct{ underWay bool }

// Version returns the version that the plan made.
func (p Published) Version() uint64 { return p.version }

// UnderWay reports whether a publish was begun that may yet succeed; Publish
// of the same plan or Abandon settles it.
func (u Unknown) UnderWay() bool { return u.underWay }

func (Published) isOutcome()    {}
func (NotPublished) isOutcome() {}
func (Unknown) isOutcome()      {}

// Outcome returns what became of a plan. It can answer for two days after the
// plan's confirm, and for a plan that was never confirmed until it expires.
func (l *Log) Outcome(ctx context.Context, planID string) (Outcome, error) {
	if err := checkPlanID(planID); err != nil {
		return nil, err
	}
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	if version, ok := h.published(planID); ok {
		return Published{version}, nil
	}
	m, err := l.readOutcome(ctx, planID)
	if err != nil {
		return nil, err
	}
	// The mark of an abandon does not tell whether its second step was taken.
	if m != nil && !m.GetAbandoned() {
		return outcomeOf(m), nil
	}
	underWay, err := l.underWay(ctx, h, planID)
	if err != nil || underWay {
		return Unknown{underWay: underWay}, err
	}
	known, expired, err := l.knows(ctx, h, planID)
	if err != nil {
		return nil, err
	}
	if !known || expired {
		return Unknown{}, nil
	}
	return NotPublished{}, nil
}

// knows reports whether a publish of the plan must have left a trace in the
// store, which it need not where the store was restored since: the part with
// the trace may be lost. expired is set for a plan that is gone.
func (l *Log) knows(ctx context.Context, h Head, planID string) (known, expired bool, err error) {
	restores := h.message.GetRestores()
	plan, err := l.readPlan(ctx, planID)
	var gone *PlanNotFoundError
	if errors.As(err, &gone) {
		return restores == 0, true, nil
	}
	return plan.GetRestores() == restores, false, err
}

// Abandon makes sure that a plan is never published and returns NotPublished,
// or Published if it was, or Unknown if the store was restored since. The mark comes first and the head's new revision second: a swap that
// is still on its way meets another revision, and any later one the mark.
func (l *Log) Abandon(ctx context.Context, planID string) (Outcome, error) {
	if err := checkPlanID(planID); err != nil {
		return nil, err
	}
	err := l.keepMark(ctx, planID, &pb.Outcome{Abandoned: true})
	var published *publishedError
	if errors.As(err, &published) {
		return outcomeOf(published.outcome), nil
	}
	if err != nil {
		return nil, err
	}
	var out Outcome
	err = l.retry(ctx, func() (settled bool, err error) {
		out, settled, err = l.fence(ctx, planID)
		return settled, err
	})
	if err != nil {
		return nil, &OutcomeUnknownError{PlanID: planID, Err: err}
	}
	return out, nil
}

// fence gives the head a new revision with the same content, unless the plan
// is in the chain.
func (l *Log) fence(ctx context.Context, planID string) (out Outcome, settled bool, err error) {
	h, err := l.Head(ctx)
	if err != nil {
		var older *OlderError
		return nil, errors.As(err, &older), err
	}
	if version, ok := h.published(planID); ok {
		return Published{version}, true, nil
	}
	// The plan may have been published and have left the recent list since the
	// mark was written; its version then stands in the mark's place.
	m, err := l.readOutcome(ctx, planID)
	if err != nil {
		return nil, false, err
	}
	if m != nil && !m.GetAbandoned() {
		return outcomeOf(m), true, nil
	}
	known, _, err := l.knows(ctx, h, planID)
	if err != nil {
		return nil, false, err
	}
	b, err := encode(h.message)
	if err != nil {
		return nil, true, err
	}
	if _, err := l.store.CompareAndSwap(ctx, l.headKey(), h.Revision(), b); err != nil {
		return nil, false, err
	}
	if !known {
		return Unknown{}, true, nil
	}
	return NotPublished{}, true, nil
}

// decided reports whether the plan is in the chain, or returns an
// AbandonedError. A plan that left the recent list has its outcome stored, as
// that is written before the swap which drops it.
func (l *Log) decided(ctx context.Context, h Head, planID string) (bool, error) {
	if _, ok := h.published(planID); ok {
		return true, nil
	}
	m, err := l.readOutcome(ctx, planID)
	if err != nil {
		return false, err
	}
	switch {
	case m.GetAbandoned():
		return false, &AbandonedError{PlanID: planID}
	case m.GetRestored():
		return false, &StalePlanError{PlanID: planID}
	}
	return m != nil, nil
}

// outcomeOf returns what a mark other than an abandon's means.
func outcomeOf(m *pb.Outcome) Outcome {
	if m.GetRestored() {
		return Unknown{}
	}
	return Published{m.GetVersion()}
}

// readOutcome returns the stored outcome of a plan, or nil.
func (l *Log) readOutcome(ctx context.Context, planID string) (*pb.Outcome, error) {
	key := l.outcomeKey(planID)
	v, err := l.store.Get(ctx, key)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	m := &pb.Outcome{}
	if err := decode(key, v.Data(), m); err != nil {
		return nil, err
	}
	return m, nil
}

// keepOutcome stores the version a plan made, over an abandon that came after.
func (l *Log) keepOutcome(ctx context.Context, planID string, version uint64) error {
	err := l.keepMark(ctx, planID, &pb.Outcome{Version: version})
	var published *publishedError
	if errors.As(err, &published) {
		return nil
	}
	return err
}

// publishedError stops a mark from replacing the outcome of a published plan.
type publishedError struct{ outcome *pb.Outcome }

func (e *publishedError) Error() string { return "published already" }

func (l *Log) keepMark(ctx context.Context, planID string, want *pb.Outcome) error {
	b, err := encode(want)
	if err != nil {
		return err
	}
	for range quickTries {
		var lease platform.LeaseID
		if lease, err = l.outcomeLease(ctx); err != nil {
			return err
		}
		err = l.tryMark(ctx, l.outcomeKey(planID), b, want, lease)
		if !isConflict(err) && !l.dropLease(lease, err) {
			return err
		}
	}
	return err
}

func (l *Log) tryMark(ctx context.Context, key string, b []byte, want *pb.Outcome, lease platform.LeaseID) error {
	ours, err := l.create(ctx, key, b, platform.WithLease(lease))
	if err != nil || ours {
		return err
	}
	return l.replaceMark(ctx, key, b, want, lease)
}

// replaceMark puts a published version over the mark of an abandon, which came
// too late to stop it, and nothing over a version.
func (l *Log) replaceMark(ctx context.Context, key string, b []byte, want *pb.Outcome, lease platform.LeaseID) error {
	v, err := l.store.Get(ctx, key)
	if err != nil {
		return err
	}
	held := &pb.Outcome{}
	if err := decode(key, v.Data(), held); err != nil {
		return err
	}
	if !held.GetAbandoned() {
		return &publishedError{outcome: held}
	}
	if want.GetAbandoned() {
		return nil
	}
	_, err = l.store.CompareAndSwap(ctx, key, v.Revision(), b, platform.WithLease(lease))
	return err
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// underWay reports whether a publish of the plan wrote its delta to the next
// version, whose swap may still be on its way.
func (l *Log) underWay(ctx context.Context, h Head, planID string) (bool, error) {
	for slot := uint32(0); ; slot++ {
		r, err := l.readDelta(ctx, h.Version()+1, slot)
		var notFound *platform.NotFoundError
		if errors.As(err, &notFound) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if r.delta.Stamp().PlanID == planID {
			return true, nil
		}
	}
}

// outcomeLease is the lease that the outcomes of the present hour share.
type outcomeLease struct {
	id    platform.LeaseID
	until time.Time
}

func (l *Log) outcomeLease(ctx context.Context) (platform.LeaseID, error) {
	now := l.clock.Now()
	l.mu.Lock()
	held := l.outcomes
	l.mu.Unlock()
	if held.id != 0 && now.Before(held.until) {
		return held.id, nil
	}
	id, err := l.store.Grant(ctx, outcomeTTL+leaseShare)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = outcomeLease{id: id, until: now.Add(leaseShare)}
	return id, nil
}

// dropLease forgets the shared lease if err says that the store has ended it,
// as after a restore, so that the next write gets a new one.
func (l *Log) dropLease(id platform.LeaseID, err error) bool {
	var expired *platform.LeaseExpiredError
	if !errors.As(err, &expired) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes.id == id {
		l.outcomes = outcomeLease{}
	}
	return true
}

func checkPlanID(planID string) error {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	if planID == "" || len(planID) > maxPlanIDBytes || strings.Trim(planID, allowed) != "" {
		return &PlanIDError{PlanID: planID}
	}
	return nil
}
