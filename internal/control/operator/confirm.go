package operator

import (
	"context"
	"errors"
	"slices"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
)

// Confirm puts a plan in force and returns the version that it made, or 0 if
// that can't be looked up at the moment. To confirm a plan again is harmless
// and returns the same version.
func (s *Service) Confirm(ctx context.Context, operator, planID string) (uint64, error) {
	c := confirmation{s: s, operator: operator, planID: planID}
	version, err := c.run(ctx)
	c.report(version, err)
	return version, err
}

// confirmation is one confirm under way.
type confirmation struct {
	s        *Service
	operator string
	planID   string
	plan     *Plan
	life     life
}

func (c *confirmation) run(ctx context.Context) (uint64, error) {
	out, err := c.s.versions.Outcome(ctx, c.planID)
	if is[*PlanNotFoundError](err) {
		return 0, err
	}
	if err != nil {
		// Not "unavailable": this may be the second confirm after a first
		// whose answer was lost, and then the plan may be in force.
		return 0, &OutcomeUnknownError{PlanID: c.planID, Err: err}
	}
	c.life = newLife(stateOf(out))
	if done, ok := out.(Published); ok {
		return done.Version, nil
	}
	if c.plan, err = c.s.load(ctx, c.planID); err != nil {
		return 0, err
	}
	if u, ok := out.(Unknown); ok && !u.UnderWay {
		// The store was put back since the plan was made, and the plan may have
		// been in the part that was lost: to publish it now could do it twice.
		return 0, &OutcomeUnknownError{PlanID: c.planID}
	}
	if err := c.life.fire(ctx, triggerBegin); err != nil {
		return 0, err
	}
	version, err := c.settle(ctx, out)
	if lifeErr := c.life.fire(ctx, triggerOf(err)); lifeErr != nil {
		return 0, lifeErr
	}
	return version, err
}

func (c *confirmation) settle(ctx context.Context, out Outcome) (uint64, error) {
	if c.s.clock.Now().After(c.plan.expires) {
		return c.expired(ctx)
	}
	if n, ok := out.(NotPublished); ok && n.Abandoned {
		return 0, &AbandonedError{PlanID: c.planID}
	}
	return c.attempts(ctx)
}

// expired says that a plan expired only once it is abandoned. Another confirm
// that began in time may still be publishing it, and an operator who was told
// "not in force" would find the change in force a moment later.
func (c *confirmation) expired(ctx context.Context) (uint64, error) {
	out, err := c.s.versions.Abandon(ctx, c.planID)
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

func (c *confirmation) attempts(ctx context.Context) (uint64, error) {
	for range maxTries {
		version, err := c.attempt(ctx)
		if !is[*MovedError](err) {
			return version, err
		}
	}
	return 0, &BusyError{PlanID: c.planID, Tries: maxTries}
}

// attempt builds the plan's change on the newest version and publishes it.
func (c *confirmation) attempt(ctx context.Context) (uint64, error) {
	head, err := c.s.versions.Load(ctx)
	if err != nil {
		return 0, unavailable("load the newest version", err)
	}
	if err := c.s.applicable(ctx); err != nil {
		return 0, err
	}
	if stale := c.plan.stale(head); len(stale) > 0 {
		return c.lost(ctx, head, stale, nil)
	}
	stamp := snapshot.Stamp{PlanID: c.planID, Operator: c.operator, At: c.s.clock.Now()}
	d, next, err := head.Next(c.plan.change, stamp)
	var fault *snapshot.CheckError
	if errors.As(err, &fault) {
		return c.lost(ctx, head, named(fault), fault)
	}
	if err != nil {
		return 0, err
	}
	if err := c.s.versions.Publish(ctx, d, next); err != nil {
		return 0, publishFailure(c.planID, err)
	}
	return c.version(ctx), nil
}

// publishFailure passes on what says whether the plan is in force, and calls
// unknown all that does not.
func publishFailure(planID string, err error) error {
	if is[*MovedError](err) || is[*UnavailableError](err) || is[*AbandonedError](err) || is[*OutcomeUnknownError](err) {
		return err
	}
	return &OutcomeUnknownError{PlanID: planID, Err: err}
}

// version looks up which version the plan made: where two confirm the same
// plan at once, the other may have made it.
func (c *confirmation) version(ctx context.Context) uint64 {
	out, err := c.s.versions.Outcome(ctx, c.planID)
	if err != nil {
		return 0
	}
	done, _ := out.(Published)
	return done.Version
}

// lost settles a plan that no longer fits the newest version. Its own change
// may be what makes it unfit, if another confirm of it came first.
func (c *confirmation) lost(ctx context.Context, head *snapshot.Snapshot, keys []snapshot.Key, fault error) (uint64, error) {
	out, err := c.s.versions.Outcome(ctx, c.planID)
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
	since := c.since(ctx, head)
	for _, k := range keys {
		found := latest(since, k)
		// A fault names objects of the plan itself too; those are no conflict.
		if fault == nil || found.Version > 0 {
			e.Conflicts = append(e.Conflicts, found)
		}
	}
	return 0, e
}

// since returns the versions after the plan was made, as far as they can be
// read: to name who changed an object is a help, to refuse the plan a duty.
func (c *confirmation) since(ctx context.Context, head *snapshot.Snapshot) []Record {
	if head.Version() <= c.plan.base {
		return nil
	}
	n := min(head.Version()-c.plan.base, maxHistory)
	records, err := c.s.versions.History(ctx, int(n))
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(records, func(r Record) bool { return r.version <= c.plan.base })
}

func latest(records []Record, k snapshot.Key) Conflict {
	for _, r := range records {
		if slices.Contains(r.touches, k) {
			return Conflict{Object: k, Version: r.version, Operator: r.stamp.Operator, PlanID: r.stamp.PlanID}
		}
	}
	return Conflict{Object: k}
}

// named returns the objects that a check's faults name.
func named(e *snapshot.CheckError) []snapshot.Key {
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
	case is[*OutcomeUnknownError](err):
		return triggerLose
	case is[*ConflictError](err):
		return triggerConflict
	case is[*ExpiredError](err), is[*AbandonedError](err):
		return triggerExpire
	default:
		return triggerRefuse
	}
}

func (c *confirmation) report(version uint64, err error) {
	fields := []event.Field{event.F("plan", c.planID), event.F("operator", c.operator)}
	switch triggerOf(err) {
	case triggerPublish:
		c.s.log.Emit(event.PlanConfirmed, append(fields, event.F("version", version))...)
	case triggerLose:
		c.s.log.Emit(event.PlanUnknown, append(fields, event.F("error", err))...)
	default:
		c.s.log.Emit(event.PlanRefused, append(fields, event.F("error", err))...)
	}
}
