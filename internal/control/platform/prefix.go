package platform

import (
	"context"
	"fmt"
	"time"
)

// PrefixStore is a store that can also read and watch all keys under a prefix.
type PrefixStore interface {
	Store
	// Range returns all values under a prefix and the store's revision before the
	// first of them was read.
	Range(ctx context.Context, prefix string, opts ...ReadOption) ([]Value, uint64, error)
	// WatchPrefix returns the changes under a prefix after a revision and the
	// revision to continue from. It returns as soon as there is a change, without
	// changes after wait, or with a CompactedError.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}

// Read holds the options of one read.
type Read struct{ stale bool }

// ReadOption sets one property of a read.
type ReadOption func(*Read)

// AllowStale allows values that are some seconds old, which cost the store less.
func AllowStale() ReadOption { return func(r *Read) { r.stale = true } }

// NewRead returns the options of a read.
func NewRead(opts ...ReadOption) Read {
	var r Read
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Stale reports whether values may be some seconds old.
func (r Read) Stale() bool { return r.stale }

// Event is one change of a key.
type Event struct {
	value   Value
	deleted bool
}

// NewEvent returns a change; v has no data if the key was deleted.
func NewEvent(v Value, deleted bool) Event { return Event{value: v, deleted: deleted} }

// Value returns the value after the change.
func (e Event) Value() Value { return e.value }

// Deleted reports whether the key was deleted.
func (e Event) Deleted() bool { return e.deleted }

// CompactedError means that the service has compacted the history after the
// revision that a watch starts from; the keys must be read again.
type CompactedError struct{ After uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after revision %d has been compacted", e.After)
}
