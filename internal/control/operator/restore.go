package operator

import (
	"context"
	"errors"
	"fmt"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
)

// Held sets where the version that this node has in force is read.
func Held(f func() *snapshot.Snapshot) Option { return func(s *Service) { s.held = f } }

// Restoration is the answer to a restore. Unasked counts the nodes that did
// not say which version they hold.
type Restoration struct {
	Version uint64 `json:"version"`
	Plan    string `json:"plan"`
	Unasked int    `json:"unasked"`
}

// Restore puts the version that this node holds back into a store that was
// restored from an older copy. To do it again is harmless.
func (s *Service) Restore(ctx context.Context, operator string) (Restoration, error) {
	done, err := s.restore(ctx)
	if err != nil {
		s.log.Emit(event.RestoreRefused, event.F("operator", operator), event.F("error", err))
		return Restoration{}, err
	}
	s.log.Emit(event.VersionRestored, event.F("version", done.Version), event.F("operator", operator))
	return done, nil
}

func (s *Service) restore(ctx context.Context) (Restoration, error) {
	held := s.held()
	if held.Version() == 0 {
		return Restoration{}, &NothingHeldError{}
	}
	unasked, err := s.newest(ctx, held.Version())
	if err != nil {
		return Restoration{}, err
	}
	if err := s.versions.Restore(ctx, held); err != nil {
		return Restoration{}, err
	}
	return Restoration{Version: held.Version(), Plan: held.PlanID(), Unasked: unasked}, nil
}

// newest refuses a restore at a node that lags: the fleet's next version would
// get the number of one that other nodes hold already, and those would refuse
// it for good. It returns how many nodes did not answer.
func (s *Service) newest(ctx context.Context, held uint64) (unasked int, err error) {
	nodes, err := s.fleet.Nodes(ctx)
	if err != nil {
		return 0, unavailable("ask for the fleet's nodes", err)
	}
	for _, n := range nodes {
		switch {
		case n.Format == 0:
			// A node that answers tells a format level; this one did not.
			unasked++
		case n.Version > held:
			return 0, &LaggingError{Node: n.Name, Version: n.Version, Held: held}
		}
	}
	return unasked, nil
}

func (l storeLog) Restore(ctx context.Context, s *snapshot.Snapshot) error {
	err := l.log.Restore(ctx, s)
	var newer *publish.NewerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &newer):
		return &StoreNewerError{Stored: newer.Stored, Held: newer.Restored}
	case is[*publish.OutcomeUnknownError](err):
		return &StepUnknownError{Step: "restore", Err: err}
	default:
		return &UnavailableError{Step: "restore", Err: err}
	}
}

// Abandonment is the answer to an abandon.
type Abandonment struct {
	Plan  string `json:"plan"`
	State State  `json:"state"`
}

// Abandon makes sure that a plan is never put in force, or says that it is in
// force already.
func (s *Service) Abandon(ctx context.Context, operator, planID string) error {
	// An operator who mistypes an id would else take the plan for given up.
	if _, err := s.load(ctx, planID); err != nil {
		return err
	}
	out, err := s.versions.Abandon(ctx, planID)
	if err != nil {
		return &StepUnknownError{Step: "abandon of plan " + planID, Err: err}
	}
	if err := abandoned(planID, out); err != nil {
		return err
	}
	s.log.Emit(event.PlanAbandoned, event.F("plan", planID), event.F("operator", operator))
	return nil
}

func abandoned(planID string, out Outcome) error {
	switch out := out.(type) {
	case Published:
		return &AlreadyConfirmedError{PlanID: planID, Version: out.Version}
	case NotPublished:
		return nil
	default:
		// The store was put back since: it can't tell what was lost.
		return &OutcomeUnknownError{PlanID: planID}
	}
}

// NothingHeldError tells of a restore at a node without a version.
type NothingHeldError struct{}

func (e *NothingHeldError) Error() string { return "this node holds no version; ask one that does" }

// LaggingError tells of a restore at a node that is behind another.
type LaggingError struct {
	Node          string
	Version, Held uint64
}

func (e *LaggingError) Error() string {
	return fmt.Sprintf("node %s holds version %d, this node version %d: restore from that node", e.Node, e.Version, e.Held)
}

// StoreNewerError tells of a store that is not behind the fleet.
type StoreNewerError struct{ Stored, Held uint64 }

func (e *StoreNewerError) Error() string {
	return fmt.Sprintf("the store has version %d, which is not older than version %d that this node holds", e.Stored, e.Held)
}

// AlreadyConfirmedError tells of a plan that was abandoned too late.
type AlreadyConfirmedError struct {
	PlanID  string
	Version uint64
}

func (e *AlreadyConfirmedError) Error() string {
	return fmt.Sprintf("plan %s is in force as version %d and can't be abandoned; undo it by a new plan", e.PlanID, e.Version)
}

// StepUnknownError tells of a step that may have taken effect or may not, and
// that can be done again without harm.
type StepUnknownError struct {
	Step string
	Err  error
}

func (e *StepUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the %s took effect; do it again to find out: %v", e.Step, e.Err)
}

// Unwrap returns why it is not known.
func (e *StepUnknownError) Unwrap() error { return e.Err }
