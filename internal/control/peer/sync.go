package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// syncPeers is how many members are asked for their version: one may have
	// been cut off for long, and it is unlikely that five were.
	syncPeers = 5
	// syncPause is how often a starting node looks whether it has caught up.
	syncPause = 50 * time.Millisecond
	// syncAgain is how long a starting node waits for the version it heard of
	// before it asks anew: whoever had it may be gone.
	syncAgain = 10 * time.Second
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// statusFanout bounds the status calls that run at once: at the letter's
	// size all 4,200 nodes are asked in well under a second of round trips.
	statusFanout = 128
)

// Sync waits until the node holds a version that it can start with. A process
// that restarted remembers nothing; to answer calls by an older version than
// its earlier self had would be a step back. So it asks the store for the
// newest version and several peers, and waits until it holds the highest it
// heard of. The store's word alone is not enough, as it may have been restored
// to an older state; while it is out, peers are asked for at least settle.
func (n *Node) Sync(ctx context.Context, settle time.Duration) error {
	start := n.clock.Now()
	asked := start
	want, sure := uint64(0), false
	for {
		if n.clock.Since(asked) >= syncAgain {
			asked, want, sure = n.clock.Now(), 0, false
		}
		if !sure {
			want, sure = n.newest(ctx, want)
		}
		held := n.holder.Current().Version()
		settled := sure || n.hasTried() && n.clock.Since(start) >= settle
		if settled && held >= want {
			return nil
		}
		if err := n.clock.Sleep(ctx, syncPause); err != nil {
			return err
		}
	}
}

func (n *Node) hasTried() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tried
}

// newest returns the highest version heard of, and whether both the store and
// whoever else could be found were asked.
func (n *Node) newest(ctx context.Context, known uint64) (uint64, bool) {
	// Peers are known once the node has tried to join.
	tried, stored := n.hasTried(), false
	if n.versions != nil {
		sctx, cancel := n.clock.WithTimeout(ctx, statusTimeout)
		head, err := n.versions.Head(sctx)
		cancel()
		var older *publish.OlderError
		switch {
		case err == nil:
			known, stored = max(known, head.Version()), true
		case errors.As(err, &older):
			// It answered, and a newer version has come from a peer already.
			known, stored = max(known, older.Held), true
		default:
			n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "read head at start"))
		}
	}
	for _, s := range n.Fleet(ctx, n.syncFrom()) {
		if s.Err() == nil {
			known = max(known, s.Version())
		}
	}
	return known, tried && stored
}

// syncFrom returns members to ask for their version, those of the own failure
// domain first.
func (n *Node) syncFrom() []membership.Record {
	var own, others []membership.Record
	for _, r := range n.view.Records() {
		switch {
		case r.State() != membership.Ready || r.Instance() == n.Self().Instance():
		case r.Domain() == n.view.Domain():
			own = append(own, r)
		default:
			others = append(others, r)
		}
	}
	some := append(own, others...)
	return some[:min(len(some), syncPeers)]
}

// NodeStatus is what one node said of itself, or why it said nothing.
type NodeStatus struct {
	record membership.Record
	answer *peerpb.StatusResponse
	err    error
}

// Record returns the node's announcement.
func (s NodeStatus) Record() membership.Record { return s.record }

// Version returns the version the node holds.
func (s NodeStatus) Version() uint64 { return s.answer.GetVersion() }

// Format returns the format level the node can apply.
func (s NodeStatus) Format() uint32 { return s.answer.GetFormat() }

// Role returns whether the node is a reader.
func (s NodeStatus) Role() string { return s.answer.GetRole() }

// Parent returns the instance that the node pulls from.
func (s NodeStatus) Parent() string { return s.answer.GetParent() }

// Err returns why the node did not answer.
func (s NodeStatus) Err() error { return s.err }

// Fleet asks members for their status, many at once.
func (n *Node) Fleet(ctx context.Context, members []membership.Record) []NodeStatus {
	out := make([]NodeStatus, len(members))
	slots := make(chan struct{}, statusFanout)
	var wg sync.WaitGroup
	for i, r := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			sctx, cancel := n.clock.WithTimeout(ctx, statusTimeout)
			defer cancel()
			resp, err := n.dial(r.Peer()).Status(sctx, &peerpb.StatusRequest{})
			if err != nil {
				err = &UnreachableError{Peer: r.Instance(), Err: err}
			}
			out[i] = NodeStatus{record: r, answer: resp, err: err}
		})
	}
	wg.Wait()
	return out
}
