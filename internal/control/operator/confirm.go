package operator

import (
	"context"
	"errors"
	"slices"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
)

// Confirm makes a plan active and returns the version that it created, or 0 if
// the version can't be looked up at the moment. It is idempotent: confirming a
// plan again returns the same version.
func (s *Service) Confirm(ctx context.Context, operator, planID string) (uint64, error) {
	c := confirmation{service: s, operator: operator, planID: planID}
	version, err := c.run(ctx)
	c.logResult(version, err)
	return version, err
}

// confirmation is the state of one call of Confirm.
type confirmation struct {
	service   *Service
	operator  string
	planID    string
	plan      *Plan
	lifecycle lifecycle
}

func (c *confirmation) run(ctx context.Context) (uint64, error) {
	out, err := c.service.versions.Outcome(ctx, c.planID)
	if isError[*PlanNotFoundError](err) {
		return 0, err
	}
	if err != nil {
		// Not "unavailable": an earlier confirm whose response was lost may
		// have made the plan active.
		return 0, &OutcomeUnknownError{PlanID: c.planID, Err: err}
	}
	c.lifecycle = newLifecycle(stateOf(out))
	if published, ok := out.(Published); ok {
		return published.Version, nil
	}
	if c.plan, err = c.service.load(ctx, c.planID); err != nil {
		return 0, err
	}
	if u, ok := out.(Unknown); ok && !u.InProgress {
		// The store was restored from a backup after the plan was made and may
		// have lost its publish: publishing it now could apply it twice.
		return 0, &OutcomeUnknownError{PlanID: c.planID}
	}
	if err := c.lifecycle.fire(ctx, triggerBegin); err != nil {
		return 0, err
	}
	version, err := c.publishOrExpire(ctx, out)
	if lifeErr := c.lifecycle.fire(ctx, triggerOf(err)); lifeErr != nil {
		return 0, lifeErr
	}
	return version, err
}

func (c *confirmation) publishOrExpire(ctx context.Context, out Outcome) (uint64, error) {
	if c.service.clock.Now().After(c.plan.expires) {
		return c.resolveExpired(ctx)
	}
	if n, ok := out.(NotPublished); ok && n.Abandoned {
		return 0, &AbandonedError{PlanID: c.planID}
	}
	return c.publishWithRetries(ctx)
}

// resolveExpired returns an ExpiredError only after it has abandoned the plan:
// another confirm that began before the expiry may still be publishing it, and
// the change would become active after it was reported as expired.
func (c *confirmation) resolveExpired(ctx context.Context) (uint64, error) {
	out, err := c.service.versions.Abandon(ctx, c.planID)
	if err != nil {
		return 0, &OutcomeUnknownError{PlanID: c.planID, Err: err}
	}
	switch out := out.(type) {
	case Published:
		return out.Version, nil
	case NotPublished:
		return 0, &ExpiredError{PlanID: c.planID, At: c.plan.expires}
	default:
		return 0, &OutcomeUnknownError{PlanID: c.planID}
	}
}

func (c *confirmation) publishWithRetries(ctx context.Context) (uint64, error) {
	for range maxPublishAttempts {
		version, err := c.tryPublish(ctx)
		if !isError[*MovedError](err) {
			return version, err
		}
	}
	return 0, &BusyError{PlanID: c.planID, Tries: maxPublishAttempts}
}

// tryPublish applies the plan's change to the newest version and publishes the
// result. It returns a MovedError if another version was published meanwhile.
func (c *confirmation) tryPublish(ctx context.Context) (uint64, error) {
	head, err := c.service.versions.Load(ctx)
	if err != nil {
		return 0, unavailable("load the newest version", err)
	}
	if err := c.service.checkFormat(ctx); err != nil {
		return 0, err
	}
	if stale := c.plan.changedDependencies(head); len(stale) > 0 {
		return c.resolveStale(ctx, head, stale, nil)
	}
	stamp := snapshot.Stamp{PlanID: c.planID, Operator: c.operator, At: c.service.clock.Now()}
	d, next, err := head.Next(c.plan.change, stamp)
	var fault *snapshot.CheckError
	if errors.As(err, &fault) {
		return c.resolveStale(ctx, head, faultyObjects(fault), fault)
	}
	if err != nil {
		return 0, err
	}
	if err := c.service.versions.Publish(ctx, d, next); err != nil {
		return 0, publishFailure(c.planID, err)
	}
	return c.publishedVersion(ctx), nil
}

// publishFailure returns unchanged the errors that say whether the plan is
// active, and wraps all others in an OutcomeUnknownError.
func publishFailure(planID string, err error) error {
	if isError[*MovedError](err) || isError[*UnavailableError](err) || isError[*AbandonedError](err) || isError[*OutcomeUnknownError](err) {
		return err
	}
	return &OutcomeUnknownError{PlanID: planID, Err: err}
}

// publishedVersion looks up the version that the plan created, which is not
// necessarily the one that this call tried to publish: a concurrent confirm of
// the same plan may have published it first. It returns 0 if the look-up fails.
func (c *confirmation) publishedVersion(ctx context.Context) uint64 {
	out, err := c.service.versions.Outcome(ctx, c.planID)
	if err != nil {
		return 0
	}
	published, _ := out.(Published)
	return published.Version
}

// resolveStale decides the outcome of a plan that can't be applied to the newest
// version. If a concurrent confirm has published the same plan, it returns the
// version that the plan created. Otherwise it returns a ConflictError, or an
// OutcomeUnknownError if the store can't determine the outcome.
func (c *confirmation) resolveStale(ctx context.Context, head *snapshot.Snapshot, keys []snapshot.Key, fault error) (uint64, error) {
	out, err := c.service.versions.Outcome(ctx, c.planID)
	if err != nil {
		return 0, &OutcomeUnknownError{PlanID: c.planID, Err: err}
	}
	switch out := out.(type) {
	case Published:
		return out.Version, nil
	case NotPublished:
	default:
		return 0, &OutcomeUnknownError{PlanID: c.planID}
	}
	e := &ConflictError{PlanID: c.planID, Fault: fault}
	records := c.recordsSincePlan(ctx, head)
	for _, k := range keys {
		found := latestChange(records, k)
		// A failed check also names objects that only this plan changes; those
		// are not conflicts.
		if fault == nil || found.Version > 0 {
			e.Conflicts = append(e.Conflicts, found)
		}
	}
	return 0, e
}

// recordsSincePlan returns the versions created after the plan, or nil if the
// history can't be read: a ConflictError then lacks who changed an object.
func (c *confirmation) recordsSincePlan(ctx context.Context, head *snapshot.Snapshot) []Record {
	if head.Version() <= c.plan.base {
		return nil
	}
	n := min(head.Version()-c.plan.base, maxConflictHistory)
	records, err := c.service.versions.History(ctx, int(n))
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(records, func(r Record) bool { return r.version <= c.plan.base })
}

// latestChange returns the newest change of k in records, which are sorted from
// the newest to the oldest. The version is 0 if none changed it.
func latestChange(records []Record, k snapshot.Key) Conflict {
	for _, r := range records {
		if slices.Contains(r.changedKeys, k) {
			return Conflict{Object: k, Version: r.version, Operator: r.stamp.Operator, PlanID: r.stamp.PlanID}
		}
	}
	return Conflict{Object: k}
}

// faultyObjects returns the objects that a check's faults name, sorted.
func faultyObjects(e *snapshot.CheckError) []snapshot.Key {
	var out []snapshot.Key
	for _, f := range e.Faults {
		switch f := f.(type) {
		case *snapshot.ValueError:
			out = append(out, f.Object)
		case *snapshot.DanglingError:
			out = append(out, f.From, f.To)
		case *snapshot.OverlapError:
			out = append(out, f.First, f.Second)
		}
	}
	slices.SortFunc(out, snapshot.CompareKeys)
	return slices.Compact(out)
}

func triggerOf(err error) trigger {
	switch {
	case err == nil:
		return triggerPublish
	case isError[*OutcomeUnknownError](err):
		return triggerOutcomeUnknown
	case isError[*ConflictError](err):
		return triggerConflict
	case isError[*ExpiredError](err), isError[*AbandonedError](err):
		return triggerExpire
	default:
		return triggerRefuse
	}
}

func (c *confirmation) logResult(version uint64, err error) {
	fields := []event.Field{event.F("plan", c.planID), event.F("operator", c.operator)}
	switch triggerOf(err) {
	case triggerPublish:
		c.service.log.Emit(event.PlanConfirmed, append(fields, event.F("version", version))...)
	case triggerOutcomeUnknown:
		c.service.log.Emit(event.PlanUnknown, append(fields, event.F("error", err))...)
	default:
		c.service.log.Emit(event.PlanRefused, append(fields, event.F("error", err))...)
	}
}
