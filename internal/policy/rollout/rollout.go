package rollout

import (
	"slices"
	"time"
)

// Order is an operator's order to move a pool to targets of another version.
type Order struct {
	pool, version string
	duration      time.Duration
	revision      uint64
}

// NewOrder returns an order with its revision in the store; the pool is to be moved
// within the duration.
func NewOrder(pool, version string, duration time.Duration, revision uint64) Order {
	return Order{pool: pool, version: version, duration: duration, revision: revision}
}

// Pool returns the pool to be moved.
func (o Order) Pool() string { return o.pool }

// Version returns the version to move the pool to.
func (o Order) Version() string { return o.version }

// Duration returns how long the rollout may take.
func (o Order) Duration() time.Duration { return o.duration }

// Revision returns the store's revision of the order, 0 for none.
func (o Order) Revision() uint64 { return o.revision }

// State is the state of a rollout as reported to operators.
type State uint8

// The states; Completed and RolledBack are final.
const (
	Pending State = iota
	Running
	Completed
	RolledBack
)

// Final reports whether the rollout has ended.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "pending"
	}
}

// Status is the state of a version's rollout as reported to operators.
type Status struct {
	state    State
	version  string
	revision uint64
}

// NewStatus returns a status with its revision in the store.
func NewStatus(state State, version string, revision uint64) Status {
	return Status{state: state, version: version, revision: revision}
}

// State returns the reported state.
func (s Status) State() State { return s.state }

// Version returns the version whose rollout is in that state.
func (s Status) Version() string { return s.version }

// Revision returns the store's revision of the status, 0 for none.
func (s Status) Revision() uint64 { return s.revision }

// Progress is the progress of an order as nodes record it in the store.
type Progress struct {
	orderRevision  uint64
	began, shifted time.Time
	barred         []string
	revision       uint64
}

// NewProgress returns the progress, with its revision in the store, of the order with
// revision orderRevision. shifted is zero before the shift. The barred versions were
// ordered earlier, did not take over and get no calls.
func NewProgress(orderRevision uint64, began, shifted time.Time, barred []string, revision uint64) Progress {
	return Progress{orderRevision: orderRevision, began: began, shifted: shifted, barred: barred, revision: revision}
}

// OrderRevision returns the revision of the order.
func (p Progress) OrderRevision() uint64 { return p.orderRevision }

// Began returns when nodes began to carry out the order.
func (p Progress) Began() time.Time { return p.began }

// Shifted returns when the shift to the new version began, or zero.
func (p Progress) Shifted() time.Time { return p.shifted }

// Barred returns the versions that were ordered earlier and did not take over.
func (p Progress) Barred() []string { return p.barred }

// Revision returns the store's revision of the progress, 0 for none.
func (p Progress) Revision() uint64 { return p.revision }

// WithRevision returns a copy of the progress at another revision.
func (p Progress) WithRevision(revision uint64) Progress {
	p.revision = revision
	return p
}

// Rollout is a node's view of the last order for a pool. It is an immutable value.
type Rollout struct {
	order       Order
	status      Status
	progress    Progress
	haltedOrder uint64 // revision of an order whose version was found faulty
}

// Order returns the last order.
func (r Rollout) Order() Order { return r.order }

// Status returns the last status.
func (r Rollout) Status() Status { return r.status }

// Progress returns the last progress, which may be that of an earlier order.
func (r Rollout) Progress() Progress { return r.progress }

// HaltedOrder returns the revision of the order whose version was found faulty, or 0 for
// none.
func (r Rollout) HaltedOrder() uint64 { return r.haltedOrder }

// WithOrder returns the rollout updated by an order. If it replaces an order for another
// version that was not completed, that version is barred.
func (r Rollout) WithOrder(o Order) Rollout {
	if o.revision <= r.order.revision {
		return r
	}
	if previous := r.order.version; previous != "" && previous != o.version && r.Stage() != StageCompleted {
		r.progress.barred = withVersion(r.progress.barred, previous)
	}
	r.order = o
	return r
}

// WithStatus returns the rollout updated by a status. A version that was rolled back is
// barred; one that was completed is not, even if its order appeared to be replaced
// earlier.
func (r Rollout) WithStatus(s Status) Rollout {
	if s.revision <= r.status.revision {
		return r
	}
	r.status = s
	switch s.state {
	case RolledBack:
		r.progress.barred = withVersion(r.progress.barred, s.version)
	case Completed:
		r.progress.barred = slices.DeleteFunc(slices.Clone(r.progress.barred), func(v string) bool { return v == s.version })
	}
	return r
}

// WithProgress returns the rollout updated by a progress. Barred versions stay barred.
func (r Rollout) WithProgress(p Progress) Rollout {
	if p.revision <= r.progress.revision {
		return r
	}
	barred := p.barred
	for _, v := range r.progress.barred {
		barred = withVersion(barred, v)
	}
	r.progress = p
	r.progress.barred = barred
	return r
}

// WithHalt returns the rollout after the version of the order with revision
// orderRevision was found faulty.
func (r Rollout) WithHalt(orderRevision uint64) Rollout {
	r.haltedOrder = max(r.haltedOrder, orderRevision)
	return r
}

// Merge returns the rollout with the later parts of both.
func (r Rollout) Merge(other Rollout) Rollout {
	return r.WithOrder(other.order).WithStatus(other.status).WithProgress(other.progress).WithHalt(other.haltedOrder)
}

// Covers reports whether merging other would change nothing.
func (r Rollout) Covers(other Rollout) bool {
	return r.order.revision >= other.order.revision && r.status.revision >= other.status.revision &&
		r.progress.revision >= other.progress.revision && r.haltedOrder >= other.haltedOrder
}

// Stage determines how calls are split between the versions.
type Stage uint8

// The stages.
const (
	// StageNone is the stage of a pool without an order.
	StageNone Stage = iota
	// StageCanary sends a small share of the calls to the new version.
	StageCanary
	// StageShift sends a growing share to the new version, up to all calls.
	StageShift
	// StageCompleted sends all calls to the new version.
	StageCompleted
	// StageRolledBack sends no calls to the new version.
	StageRolledBack
)

// String returns the stage's name in logs.
func (s Stage) String() string {
	switch s {
	case StageCanary:
		return "canary"
	case StageShift:
		return "shift"
	case StageCompleted:
		return "completed"
	case StageRolledBack:
		return "rolled-back"
	default:
		return "none"
	}
}

// Stage returns the stage that follows from the order, status, progress and halt.
func (r Rollout) Stage() Stage {
	decided := r.status.state.Final() && r.status.version == r.order.version
	switch {
	case r.order.revision == 0:
		return StageNone
	case decided && r.status.state == Completed:
		return StageCompleted
	case decided, r.haltedOrder == r.order.revision, slices.Contains(r.progress.barred, r.order.version):
		return StageRolledBack
	case r.progress.orderRevision == r.order.revision && !r.progress.shifted.IsZero():
		return StageShift
	default:
		return StageCanary
	}
}

// Decided reports whether the status of the last order is final.
func (r Rollout) Decided() bool {
	return r.order.revision > 0 && r.status.state.Final() && r.status.version == r.order.version
}

// withVersion returns versions with version added, without changing the argument.
func withVersion(versions []string, version string) []string {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(slices.Clone(versions), version)
}
