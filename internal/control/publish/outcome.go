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
	// outcomeTTL is how long a plan's outcome is stored after the plan leaves
	// the head's recent versions: twice a plan's maximum lifetime, so that no
	// plan that can still be confirmed outlives its outcome.
	outcomeTTL = 2 * maxPlanTTL
	// leaseReuse is how long new outcomes share one lease; a lease per outcome
	// would double the writes.
	leaseReuse = time.Hour
	// maxPlanTTL limits how outdated a plan can be when it is confirmed.
	maxPlanTTL     = 24 * time.Hour
	maxPlanIDBytes = 64
)

// Outcome is the result of a plan: Published, NotPublished or Unknown.
type Outcome interface{ isOutcome() }

// Published is the outcome of a plan that made a version.
type Published struct{ version uint64 }

// NotPublished is the outcome of a plan that has made no version so far;
// returned by Abandon, it means that the plan never will.
type NotPublished struct{}

// Unknown is the outcome of a plan that the store can't determine: a publish is
// in progress, the plan expired, or the store was restored since the plan was
// saved.
type Unknown struct{ inProgress bool }

// Version returns the version that the plan made.
func (p Published) Version() uint64 { return p.version }

// InProgress reports whether a publish was started that may still succeed;
// Publish of the same plan, or Abandon, settles it.
func (u Unknown) InProgress() bool { return u.inProgress }

func (Published) isOutcome()    {}
func (NotPublished) isOutcome() {}
func (Unknown) isOutcome()      {}

// Outcome returns the outcome of a plan: for two days after the plan was
// confirmed or, if it never was, until it expires.
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
	// An abandon record alone doesn't show whether the head was fenced.
	if m != nil && !m.GetAbandoned() {
		return outcomeOf(m), nil
	}
	inProgress, err := l.deltaWritten(ctx, h, planID)
	if err != nil || inProgress {
		return Unknown{inProgress: inProgress}, err
	}
	intact, expired, err := l.historyIntact(ctx, h, planID)
	if err != nil {
		return nil, err
	}
	if !intact || expired {
		return Unknown{}, nil
	}
	return NotPublished{}, nil
}

// historyIntact reports whether the store was not restored since the plan was
// saved: a restore may have lost a version that the plan made. expired is true if
// the plan is not in the store.
func (l *Log) historyIntact(ctx context.Context, h Head, planID string) (intact, expired bool, err error) {
	restores := h.message.GetRestores()
	plan, err := l.readPlan(ctx, planID)
	var gone *PlanNotFoundError
	if errors.As(err, &gone) {
		return restores == 0, true, nil
	}
	return plan.GetRestores() == restores, false, err
}

// Abandon ensures that a plan is never published and returns NotPublished; or
// Published if it was published, or Unknown if the store was restored since. It
// writes the abandon record first and then gives the head a new revision: a
// swap still in flight fails on the revision, and any later publish finds the
// record.
func (l *Log) Abandon(ctx context.Context, planID string) (Outcome, error) {
	if err := checkPlanID(planID); err != nil {
		return nil, err
	}
	err := l.storeOutcome(ctx, planID, &pb.Outcome{Abandoned: true})
	var stored *outcomeStoredError
	if errors.As(err, &stored) {
		return outcomeOf(stored.outcome), nil
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

// fence gives the head a new revision with the same content, unless the plan is
// in the chain.
func (l *Log) fence(ctx context.Context, planID string) (out Outcome, settled bool, err error) {
	h, err := l.Head(ctx)
	if err != nil {
		var older *OlderError
		return nil, errors.As(err, &older), err
	}
	if version, ok := h.published(planID); ok {
		return Published{version}, true, nil
	}
	// The plan may have been published and dropped from the recent versions
	// since the abandon record was written; its version has then replaced the
	// record.
	m, err := l.readOutcome(ctx, planID)
	if err != nil {
		return nil, false, err
	}
	if m != nil && !m.GetAbandoned() {
		return outcomeOf(m), true, nil
	}
	intact, _, err := l.historyIntact(ctx, h, planID)
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
	if !intact {
		return Unknown{}, true, nil
	}
	return NotPublished{}, true, nil
}

// isPublished reports whether the plan is in the chain, or returns an
// AbandonedError or StalePlanError. The outcome of a plan that is no longer
// among the recent versions is stored, because it is written before the swap
// that drops the plan.
func (l *Log) isPublished(ctx context.Context, h Head, planID string) (bool, error) {
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

// outcomeOf converts a stored outcome that is not an abandon record.
func outcomeOf(m *pb.Outcome) Outcome {
	if m.GetRestored() {
		return Unknown{}
	}
	return Published{m.GetVersion()}
}

// readOutcome returns the stored outcome of a plan, or nil if there is none.
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

// storePublished stores the version that a plan made, replacing an abandon
// record that came later.
func (l *Log) storePublished(ctx context.Context, planID string, version uint64) error {
	err := l.storeOutcome(ctx, planID, &pb.Outcome{Version: version})
	var stored *outcomeStoredError
	if errors.As(err, &stored) {
		return nil
	}
	return err
}

// outcomeStoredError reports that the plan has a stored outcome that must not be
// replaced.
type outcomeStoredError struct{ outcome *pb.Outcome }

func (e *outcomeStoredError) Error() string { return "an outcome is stored already" }

func (l *Log) storeOutcome(ctx context.Context, planID string, want *pb.Outcome) error {
	b, err := encode(want)
	if err != nil {
		return err
	}
	for range immediateAttempts {
		var lease platform.LeaseID
		if lease, err = l.outcomeLease(ctx); err != nil {
			return err
		}
		err = l.tryStoreOutcome(ctx, l.outcomeKey(planID), b, want, lease)
		if !isConflict(err) && !l.dropExpiredLease(lease, err) {
			return err
		}
	}
	return err
}

func (l *Log) tryStoreOutcome(ctx context.Context, key string, b []byte, want *pb.Outcome, lease platform.LeaseID) error {
	stored, err := l.create(ctx, key, b, platform.WithLease(lease))
	if err != nil || stored {
		return err
	}
	return l.replaceAbandoned(ctx, key, b, want, lease)
}

// replaceAbandoned replaces an abandon record by want, unless want is one as
// well, since a published plan can't be abandoned. Any other stored outcome stays
// and gives an outcomeStoredError.
func (l *Log) replaceAbandoned(ctx context.Context, key string, b []byte, want *pb.Outcome, lease platform.LeaseID) error {
	v, err := l.store.Get(ctx, key)
	if err != nil {
		return err
	}
	existing := &pb.Outcome{}
	if err := decode(key, v.Data(), existing); err != nil {
		return err
	}
	if !existing.GetAbandoned() {
		return &outcomeStoredError{outcome: existing}
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

// deltaWritten reports whether a publish of the plan wrote a delta for the next
// version; its swap of the head may still be in flight.
func (l *Log) deltaWritten(ctx context.Context, h Head, planID string) (bool, error) {
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

// outcomeLease is the lease that outcomes share for the duration of leaseReuse.
type outcomeLease struct {
	id    platform.LeaseID
	until time.Time
}

func (l *Log) outcomeLease(ctx context.Context) (platform.LeaseID, error) {
	now := l.clock.Now()
	l.mu.Lock()
	current := l.lease
	l.mu.Unlock()
	if current.id != 0 && now.Before(current.until) {
		return current.id, nil
	}
	id, err := l.store.Grant(ctx, outcomeTTL+leaseReuse)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = outcomeLease{id: id, until: now.Add(leaseReuse)}
	return id, nil
}

// dropExpiredLease clears the shared lease if err reports that it has expired,
// as after a restore of the store, so that the next write requests a new one.
// It reports whether the lease had expired.
func (l *Log) dropExpiredLease(id platform.LeaseID, err error) bool {
	var expired *platform.LeaseExpiredError
	if !errors.As(err, &expired) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.id == id {
		l.lease = outcomeLease{}
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
