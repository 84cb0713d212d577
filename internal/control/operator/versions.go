package operator

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Versions is what planning and confirming ask of the store.
//
// Its failures are typed: a MovedError, UnavailableError or AbandonedError of
// Publish means that the plan certainly is not in force, an
// OutcomeUnknownError that it may be.
type Versions interface {
	// Load returns the newest version.
	Load(ctx context.Context) (*snapshot.Snapshot, error)
	// Publish makes next the newest version, unless that moved meanwhile. It
	// returns nil if d's plan is in force already.
	Publish(ctx context.Context, d *snapshot.Delta, next *snapshot.Snapshot) error
	// Outcome returns what became of a plan.
	Outcome(ctx context.Context, planID string) (Outcome, error)
	// Abandon makes sure that a plan is never published, or returns Published
	// if it was.
	Abandon(ctx context.Context, planID string) (Outcome, error)
	// SavePlan keeps a plan's content until ttl has passed.
	SavePlan(ctx context.Context, planID string, content []byte, ttl time.Duration) error
	// LoadPlan returns a plan's content, or a PlanNotFoundError.
	LoadPlan(ctx context.Context, planID string) ([]byte, error)
	// History returns up to n of the newest versions, the newest first.
	History(ctx context.Context, n int) ([]Record, error)
}

// Outcome is what became of a plan: Published, NotPublished or Unknown.
type Outcome interface{ isOutcome() }

// Published is the outcome of a plan that made a version.
type Published struct{ Version uint64 }

// NotPublished is the outcome of a plan that certainly made no version.
type NotPublished struct{ Abandoned bool }

// Unknown is the outcome of a plan of which the store can't tell; UnderWay if
// publishing it again would settle that.
type Unknown struct{ UnderWay bool }

func (Published) isOutcome()    {}
func (NotPublished) isOutcome() {}
func (Unknown) isOutcome()      {}

// Record is one version in the history.
type Record struct {
	version uint64
	stamp   snapshot.Stamp
	touches []snapshot.Key
}

// NewRecord returns a version with who confirmed it and what it touched.
func NewRecord(version uint64, stamp snapshot.Stamp, touches []snapshot.Key) Record {
	return Record{version: version, stamp: stamp, touches: touches}
}

// Version returns the version number.
func (r Record) Version() uint64 { return r.version }

// Stamp returns who confirmed the version, by which plan and when.
func (r Record) Stamp() snapshot.Stamp { return r.stamp }

// Touches returns the objects that the version set or removed.
func (r Record) Touches() []snapshot.Key { return r.touches }
