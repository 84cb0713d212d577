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
	// watchWait is the length of a watch on the store's head. Each counts as a
	// call; two readers a domain at this length cost the store 9 calls a second
	// at 22 domains.
	watchWait = 5 * time.Second
	// readPause bounds the pause after the store failed: it comes back within
	// the 4 s of a change for all readers together, without a crowd.
	readPause = 2 * time.Second
)

// storeName is what events call the store as the source of a version.
const storeName = "store"

// read watches the store for the failure domain while the node is a reader.
func (n *Node) read(ctx context.Context, done chan<- error) {
	r := &reader{n: n}
	for ctx.Err() == nil {
		_, moved := n.place()
		if n.store == nil || !n.reads() {
			r.leave(ctx)
			select {
			case <-ctx.Done():
			case <-moved:
			}
			continue
		}
		r.enter(ctx)
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.failed(ctx, err)
		}
	}
	// The entry is left for the collector: a store that is slow must not hold
	// up a stop, and a newcomer that finds a dead reader tries the next.
	done <- ctx.Err()
}

// reader is the state of the watch.
type reader struct {
	n          *Node
	head       publish.Head
	behind     bool
	registered bool
	checked    time.Time
}

// step waits for the next head and takes the versions up to it.
func (r *reader) step(ctx context.Context) error {
	n := r.n
	head, err := n.versions.WaitHead(ctx, r.head, watchWait)
	if err != nil {
		return err
	}
	r.head = head
	n.noteStore()
	r.behind = false
	held := n.holder.Current()
	if head.Version() <= held.Version() {
		return nil
	}
	deltas, err := n.versions.SinceTo(ctx, held, head)
	var old *publish.TooOldError
	if errors.As(err, &old) {
		return r.load(ctx)
	}
	if err != nil {
		return err
	}
	for _, d := range deltas {
		full, err := n.offer(ctx, version.Store, version.Delta{Delta: d}, storeName)
		if err != nil {
			return err
		}
		if full {
			return r.load(ctx)
		}
	}
	return nil
}

func (r *reader) load(ctx context.Context) error {
	s, err := r.n.versions.Load(ctx)
	if err != nil {
		return err
	}
	_, err = r.n.offer(ctx, version.Store, version.Full{Snapshot: s}, storeName)
	return err
}

func (r *reader) failed(ctx context.Context, err error) {
	n := r.n
	var older *publish.OlderError
	switch {
	case errors.As(err, &older):
		// Said once for each time the store goes back, not at each watch.
		if !r.behind {
			n.log.Emit(event.StoreIsOlder, event.F("error", err))
		}
		r.behind = true
		n.noteStore()
	default:
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "watch head"))
	}
	r.head = publish.Head{}
	_ = n.clock.Sleep(ctx, n.jitter(readPause))
}

// enter lists the node among the readers and looks now and then that it still
// is.
func (r *reader) enter(ctx context.Context) {
	n := r.n
	if r.registered && n.clock.Since(r.checked) < registerAgain {
		return
	}
	err := (&rendezvous{store: n.store, n: n}).register(ctx, n.Self(), true)
	if err != nil {
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "register reader"))
		return
	}
	r.registered, r.checked = true, n.clock.Now()
}

func (r *reader) leave(ctx context.Context) {
	if !r.registered {
		return
	}
	r.registered = false
	if err := (&rendezvous{store: r.n.store, n: r.n}).register(ctx, r.n.Self(), false); err != nil {
		r.n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "leave readers"))
	}
}

// noteStore keeps when the store last answered.
func (n *Node) noteStore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeOK = n.clock.Now()
}
