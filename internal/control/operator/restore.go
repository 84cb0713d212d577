package operator

import (
	"context"
	"errors"
	"fmt"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
)

// ActiveVersion sets the function that returns the version active on this node.
func ActiveVersion(f func() *snapshot.Snapshot) Option {
	return func(s *Service) { s.activeVersion = f }
}

// Restoration is the response to a restore. Unresponsive is the number of nodes
// that did not report which version they have active.
type Restoration struct {
	Version      uint64 `json:"version"`
	Plan         string `json:"plan"`
	Unresponsive int    `json:"unasked"`
}

// Restore writes the version active on this node back to a store that was
// restored from an older backup. It is idempotent.
func (s *Service) Restore(ctx context.Context, operator string) (Restoration, error) {
	result, err := s.restore(ctx)
	if err != nil {
		s.log.Emit(event.RestoreRefused, event.F("operator", operator), event.F("error", err))
		return Restoration{}, err
	}
	s.log.Emit(event.VersionRestored, event.F("version", result.Version), event.F("operator", operator))
	return result, nil
}

func (s *Service) restore(ctx context.Context) (Restoration, error) {
	active := s.activeVersion()
	if active.Version() == 0 {
		return Restoration{}, &NothingHeldError{}
	}
	unresponsive, err := s.checkNotLagging(ctx, active.Version())
	if err != nil {
		return Restoration{}, err
	}
	if err := s.versions.Restore(ctx, active); err != nil {
		return Restoration{}, err
	}
	return Restoration{Version: active.Version(), Plan: active.PlanID(), Unresponsive: unresponsive}, nil
}

// checkNotLagging refuses a restore on a node that is behind another: the fleet's
// next version would reuse a number that other nodes already have, and they would
// reject it permanently. It returns how many nodes did not respond.
func (s *Service) checkNotLagging(ctx context.Context, active uint64) (unresponsive int, err error) {
	nodes, err := s.fleet.Nodes(ctx)
	if err != nil {
		return 0, unavailable("ask for the fleet's nodes", err)
	}
	for _, n := range nodes {
		switch {
		case n.Format == 0:
			// Each node that responds reports a format level above 0.
			unresponsive++
		case n.Version > active:
			return 0, &LaggingError{Node: n.Name, Version: n.Version, ActiveVersion: active}
		}
	}
	return unresponsive, nil
}

func (l storeLog) Restore(ctx context.Context, s *snapshot.Snapshot) error {
	err := l.log.Restore(ctx, s)
	var newer *publish.NewerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &newer):
		return &StoreNewerError{Stored: newer.Stored, ActiveVersion: newer.Restored}
	case isError[*publish.OutcomeUnknownError](err):
		return &StepUnknownError{Step: "restore", Err: err}
	default:
		return &UnavailableError{Step: "restore", Err: err}
	}
}

// Abandonment is the response to an abandon.
type Abandonment struct {
	Plan  string `json:"plan"`
	State State  `json:"state"`
}

// Abandon ensures that a plan never becomes active, or returns an
// AlreadyConfirmedError if it is.
func (s *Service) Abandon(ctx context.Context, operator, planID string) error {
	// Without this check, a mistyped ID would be reported as abandoned.
	if _, err := s.load(ctx, planID); err != nil {
		return err
	}
	out, err := s.versions.Abandon(ctx, planID)
	if err != nil {
		return &StepUnknownError{Step: "abandon of plan " + planID, Err: err}
	}
	if err := abandonError(planID, out); err != nil {
		return err
	}
	s.log.Emit(event.PlanAbandoned, event.F("plan", planID), event.F("operator", operator))
	return nil
}

func abandonError(planID string, out Outcome) error {
	switch out := out.(type) {
	case Published:
		return &AlreadyConfirmedError{PlanID: planID, Version: out.Version}
	case NotPublished:
		return nil
	default:
		// The store was restored from a backup and may have lost the publish.
		return &OutcomeUnknownError{PlanID: planID}
	}
}

// NothingHeldError reports a restore on a node without a version.
type NothingHeldError struct{}

func (e *NothingHeldError) Error() string { return "this node holds no version; ask one that does" }

// LaggingError reports a restore on a node that is behind another.
type LaggingError struct {
	Node                   string
	Version, ActiveVersion uint64
}

func (e *LaggingError) Error() string {
	return fmt.Sprintf("node %s holds version %d, this node version %d: restore from that node", e.Node, e.Version, e.ActiveVersion)
}

// StoreNewerError reports a restore to a store that is not behind the node.
type StoreNewerError struct{ Stored, ActiveVersion uint64 }

func (e *StoreNewerError) Error() string {
	return fmt.Sprintf("the store has version %d, which is not older than version %d that this node holds", e.Stored, e.ActiveVersion)
}

// AlreadyConfirmedError reports an abandon of a plan that is already active.
type AlreadyConfirmedError struct {
	PlanID  string
	Version uint64
}

func (e *AlreadyConfirmedError) Error() string {
	return fmt.Sprintf("plan %s is in force as version %d and can't be abandoned; undo it by a new plan", e.PlanID, e.Version)
}

// StepUnknownError reports an idempotent step that may or may not have taken
// effect.
type StepUnknownError struct {
	Step string
	Err  error
}

func (e *StepUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the %s took effect; do it again to find out: %v", e.Step, e.Err)
}

// Unwrap returns why the outcome is not known.
func (e *StepUnknownError) Unwrap() error { return e.Err }
