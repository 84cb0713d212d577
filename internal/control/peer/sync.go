package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// syncPause is how often a starting node looks whether it has caught up.
	syncPause = 50 * time.Millisecond
	// syncAsked is how many members are asked for their version in one round.
	syncAsked = 8
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// askFanout bounds the members that are asked at once: at the letter's
	// size all 4,200 nodes are asked in well under a second of round trips.
	askFanout = 128
)

// Sync waits until the node holds a version that it can start with. A process
// that restarted remembers nothing; to answer calls by an older version than
// its earlier self had would be a step back. So it asks the store and peers,
// and waits until it holds the highest version it heard of.
func (n *Node) Sync(ctx context.Context) error {
	r := version.NewRecovery()
	for pause := syncPause; ; pause = min(2*pause, time.Second) {
		if n.hasTried() {
			n.askStore(ctx, r)
			n.askPeers(ctx, r)
			for range 20 {
				if r.Done(n.holder.Current().Version()) {
					return nil
				}
				if r.Least() <= n.holder.Current().Version() {
					break
				}
				// What leads to the highest version heard of is on its way.
				if err := n.clock.Sleep(ctx, syncPause); err != nil {
					return err
				}
			}
		}
		if err := n.clock.Sleep(ctx, n.jitter(pause)); err != nil {
			return err
		}
	}
}

func (n *Node) hasTried() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tried
}

func (n *Node) askStore(ctx context.Context, r *version.Recovery) {
	if n.versions == nil {
		r.StoreFailed()
		return
	}
	sctx, cancel := n.clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	head, err := n.versions.Head(sctx)
	var older *publish.OlderError
	switch {
	case errors.As(err, &older):
		// It answers, and what this node has heard from its peers is newer.
		r.StoreSaid(older.Stored)
	case err != nil:
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "read head at start"))
		r.StoreFailed()
	default:
		r.StoreSaid(head.Version())
	}
}

// askPeers asks the parents that the tree names first: what an earlier process
// of this instance held came through one of them.
func (n *Node) askPeers(ctx context.Context, r *version.Recovery) {
	self := n.Self()
	place, _ := n.place()
	asked := place.Parents()
	known := 0
	for _, m := range n.view.Members(n.view.Domain()) {
		if m.Instance() == self.Instance() || m.State() == membership.Gone {
			continue
		}
		known++
		if len(asked) < syncAsked && !slices.ContainsFunc(asked, func(o membership.Record) bool { return o.Instance() == m.Instance() }) {
			asked = append(asked, m)
		}
	}
	r.Knows(known)
	if !slices.ContainsFunc(asked, isReady) {
		// The whole domain restarted, or it is this node alone: with the store
		// out, only other domains can say what was in force.
		asked = append(asked, n.abroad()...)
	}
	for _, s := range n.Fleet(ctx, asked) {
		if s.Err() != nil {
			r.PeerFailed(s.Record().Instance())
			continue
		}
		r.PeerSaid(s.Record().Instance(), s.Version(), s.Record().State() == membership.Ready)
	}
}

// abroad returns ready members of other failure domains, one of each first, as
// one domain may be cut off and behind.
func (n *Node) abroad() []membership.Record {
	var first, more []membership.Record
	seen := map[string]bool{n.view.Domain(): true}
	for _, r := range n.view.Records() {
		switch {
		case !isReady(r) || r.Domain() == n.view.Domain():
		case seen[r.Domain()]:
			more = append(more, r)
		default:
			seen[r.Domain()] = true
			first = append(first, r)
		}
	}
	all := append(first, more...)
	return all[:min(len(all), syncAsked)]
}

func isReady(r membership.Record) bool { return r.State() == membership.Ready }

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
	n.AskEach(ctx, members, statusTimeout, func(ctx context.Context, i int, r membership.Record) {
		resp, err := n.dial(r.Peer()).Status(ctx, &peerpb.StatusRequest{})
		if err != nil {
			err = &UnreachableError{Peer: r.Instance(), Err: err}
		}
		out[i] = NodeStatus{record: r, answer: resp, err: err}
	})
	return out
}

// AskEach calls ask for each member, many at once, each with a timeout of its
// own, and returns when all have ended.
func (n *Node) AskEach(ctx context.Context, members []membership.Record, timeout time.Duration, ask func(ctx context.Context, i int, r membership.Record)) {
	slots := make(chan struct{}, askFanout)
	var wg sync.WaitGroup
	for i, r := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			actx, cancel := n.clock.WithTimeout(ctx, timeout)
			defer cancel()
			ask(actx, i, r)
		})
	}
	wg.Wait()
}
