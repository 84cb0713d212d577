package operator

import (
	"context"
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
)

// storeLog is the log of versions in the store, with its failures sorted by
// what an operator may be told.
type storeLog struct{ log *publish.Log }

// FromLog returns the versions kept in a log.
func FromLog(l *publish.Log) Versions { return storeLog{l} }

func (l storeLog) Load(ctx context.Context) (*snapshot.Snapshot, error) { return l.log.Load(ctx) }

func (l storeLog) Publish(ctx context.Context, d *snapshot.Delta, next *snapshot.Snapshot) error {
	err := l.log.Publish(ctx, d, next)
	var step *publish.StepError
	switch {
	case err == nil:
		return nil
	case is[*publish.ConflictError](err):
		return &MovedError{Err: err}
	case is[*publish.AbandonedError](err):
		return &AbandonedError{PlanID: d.Stamp().PlanID}
	case errors.As(err, &step) && is[*platform.TooLargeError](err):
		return tooLarge("the change", err)
	case errors.As(err, &step):
		return &UnavailableError{Step: step.Step, Err: step.Err}
	default:
		return &OutcomeUnknownError{PlanID: d.Stamp().PlanID, Err: err}
	}
}

func (l storeLog) Outcome(ctx context.Context, planID string) (Outcome, error) {
	out, err := l.log.Outcome(ctx, planID)
	return outcomeOf(planID, out, err)
}

func (l storeLog) Abandon(ctx context.Context, planID string) (Outcome, error) {
	out, err := l.log.Abandon(ctx, planID)
	return outcomeOf(planID, out, err)
}

func outcomeOf(planID string, out publish.Outcome, err error) (Outcome, error) {
	if err != nil {
		return nil, planFailure(planID, err)
	}
	switch out := out.(type) {
	case publish.Published:
		return Published{Version: out.Version()}, nil
	case publish.NotPublished:
		return NotPublished{Abandoned: out.Abandoned()}, nil
	case publish.Unknown:
		return Unknown{UnderWay: out.UnderWay()}, nil
	default:
		return nil, &OutcomeUnknownError{PlanID: planID}
	}
}

// planFailure tells a plan that is not there, and one from before the store
// was put back, whose outcome went with what was lost.
func planFailure(planID string, err error) error {
	switch {
	case is[*publish.PlanIDError](err), is[*publish.PlanNotFoundError](err):
		return &PlanNotFoundError{PlanID: planID}
	case is[*publish.StalePlanError](err):
		return &OutcomeUnknownError{PlanID: planID, Err: err}
	default:
		return err
	}
}

func (l storeLog) SavePlan(ctx context.Context, planID string, content []byte, ttl time.Duration) error {
	err := l.log.SavePlan(ctx, planID, content, ttl)
	if is[*platform.TooLargeError](err) {
		return tooLarge("the plan", err)
	}
	return err
}

func (l storeLog) LoadPlan(ctx context.Context, planID string) ([]byte, error) {
	b, err := l.log.LoadPlan(ctx, planID)
	if err != nil {
		return nil, planFailure(planID, err)
	}
	return b, nil
}

func (l storeLog) History(ctx context.Context, n int) ([]Record, error) {
	changes, err := l.log.History(ctx, n)
	if err != nil {
		return nil, err
	}
	out := make([]Record, len(changes))
	for i, c := range changes {
		stamp := snapshot.Stamp{PlanID: c.PlanID(), Operator: c.Operator(), At: c.At()}
		out[i] = NewRecord(c.Version(), stamp, c.Touches())
	}
	return out, nil
}

func tooLarge(what string, err error) error {
	var large *platform.TooLargeError
	if errors.As(err, &large) {
		return &TooLargeError{What: what, Most: int64(large.Most)}
	}
	return err
}
