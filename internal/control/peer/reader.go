package peer

import (
	"context"
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// storeWatchTimeout is the length of a watch on the store's head. Each
	// watch is one call to the store.
	storeWatchTimeout = 5 * time.Second
	// maxStoreRetryDelay bounds the delay after a failed read of the store. It
	// is under the 4 s in which a change has to be active.
	maxStoreRetryDelay = 2 * time.Second
)

// storeSource names the store as the source of a version in log events.
const storeSource = "store"

// watchStore watches the store for the failure domain while the node is a
// reader.
func (n *Node) watchStore(ctx context.Context, done chan<- error) {
	r := &reader{n: n}
	for ctx.Err() == nil {
		_, positionChanged := n.treePosition()
		if n.store == nil || !n.isStoreReader() {
			r.unregister(ctx)
			select {
			case <-ctx.Done():
			case <-positionChanged:
			}
			continue
		}
		r.register(ctx)
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.handleError(ctx, err)
		}
	}
	// Leave the entry in the store: a slow store must not delay the shutdown,
	// and a joining node skips readers that do not answer.
	done <- ctx.Err()
}

// reader is the state of the watch.
type reader struct {
	n             *Node
	head          publish.Head
	olderReported bool
	registered    bool
	checkedAt     time.Time
}

// step waits for the next head and applies the versions up to it.
func (r *reader) step(ctx context.Context) error {
	n := r.n
	head, err := n.versions.WaitHead(ctx, r.head, storeWatchTimeout)
	if err != nil {
		return err
	}
	r.head = head
	n.markStoreAnswered()
	r.olderReported = false
	current := n.holder.Current()
	if head.Version() <= current.Version() {
		return nil
	}
	deltas, err := n.versions.SinceTo(ctx, current, head)
	var tooOld *publish.TooOldError
	if errors.As(err, &tooOld) {
		return r.loadFull(ctx)
	}
	if err != nil {
		return err
	}
	for _, d := range deltas {
		full, err := n.offerVersion(ctx, version.Store, version.Delta{Delta: d}, storeSource)
		if err != nil {
			return err
		}
		if full {
			return r.loadFull(ctx)
		}
	}
	return nil
}

func (r *reader) loadFull(ctx context.Context) error {
	s, err := r.n.versions.Load(ctx)
	if err != nil {
		return err
	}
	_, err = r.n.offerVersion(ctx, version.Store, version.Full{Snapshot: s}, storeSource)
	return err
}

func (r *reader) handleError(ctx context.Context, err error) {
	n := r.n
	var older *publish.OlderError
	switch {
	case errors.As(err, &older):
		// Log once when the store turns out to be older, not for each watch.
		if !r.olderReported {
			n.log.Emit(event.StoreIsOlder, event.F("error", err))
		}
		r.olderReported = true
		n.markStoreAnswered()
	default:
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "watch head"))
	}
	r.head = publish.Head{}
	_ = n.clock.Sleep(ctx, n.jitter(maxStoreRetryDelay))
}

// register lists the node among the store's readers and checks the entry every
// registrationCheckInterval.
func (r *reader) register(ctx context.Context) {
	n := r.n
	if r.registered && n.clock.Since(r.checkedAt) < registrationCheckInterval {
		return
	}
	err := (&rendezvous{store: n.store, n: n}).register(ctx, n.Self(), true)
	if err != nil {
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "register reader"))
		return
	}
	r.registered, r.checkedAt = true, n.clock.Now()
}

func (r *reader) unregister(ctx context.Context) {
	if !r.registered {
		return
	}
	r.registered = false
	if err := (&rendezvous{store: r.n.store, n: r.n}).register(ctx, r.n.Self(), false); err != nil {
		r.n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "leave readers"))
	}
}

// markStoreAnswered records when the store last answered.
func (n *Node) markStoreAnswered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeAnsweredAt = n.clock.Now()
}

// StoreAge returns the time since the store last answered this node's watch;
// false if the node has not watched it.
func (n *Node) StoreAge() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Since(n.storeAnsweredAt), !n.storeAnsweredAt.IsZero()
}
