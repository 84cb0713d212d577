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
	// syncPollInterval is how often a starting node checks whether it has
	// caught up.
	syncPollInterval = 50 * time.Millisecond
	// maxSyncPeers bounds the members queried for their version in one round.
	maxSyncPeers = 8
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// maxConcurrentQueries bounds the members queried at once.
	maxConcurrentQueries = 128
)

// Sync waits until the node holds a version that it can start with, or ctx
// ends. A restarted process has no record of the version it last used and must
// not serve an older one, so it queries the store and peers and waits until it
// holds the highest version reported.
func (n *Node) Sync(ctx context.Context) error {
	r := version.NewRecovery()
	for pause := syncPollInterval; ; pause = min(2*pause, time.Second) {
		if n.hasAttemptedJoin() {
			n.queryStore(ctx, r)
			n.queryPeers(ctx, r)
			for range 20 {
				if r.MayServe(n.holder.Current().Version()) {
					return nil
				}
				if r.MinVersion() <= n.holder.Current().Version() {
					break
				}
				// Wait for the updates up to the highest reported version.
				if err := n.clock.Sleep(ctx, syncPollInterval); err != nil {
					return err
				}
			}
		}
		if err := n.clock.Sleep(ctx, n.jitter(pause)); err != nil {
			return err
		}
	}
}

func (n *Node) hasAttemptedJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joinAttempted
}

func (n *Node) queryStore(ctx context.Context, r *version.Recovery) {
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
		// The store is available, but peers have reported a newer version.
		r.StoreAnswered(older.Stored)
	case err != nil:
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "read head at start"))
		r.StoreFailed()
	default:
		r.StoreAnswered(head.Version())
	}
}

// queryPeers queries the possible parents first: the version that an earlier
// process of this instance used came through one of them.
func (n *Node) queryPeers(ctx context.Context, r *version.Recovery) {
	self := n.Self()
	position, _ := n.treePosition()
	queried := position.Parents()
	known := 0
	for _, m := range n.view.Members(n.view.Domain()) {
		if m.Instance() == self.Instance() || m.State() == membership.Gone {
			continue
		}
		known++
		if len(queried) < maxSyncPeers && !slices.ContainsFunc(queried, func(o membership.Record) bool { return o.Instance() == m.Instance() }) {
			queried = append(queried, m)
		}
	}
	r.SetKnownPeers(known)
	if !slices.ContainsFunc(queried, isReady) {
		// No peer of the domain is ready: either all restarted, or there is
		// only this node. If the store is unavailable as well, only other
		// domains can report the active version.
		queried = append(queried, n.readyInOtherDomains()...)
	}
	for _, s := range n.QueryStatus(ctx, queried) {
		if s.Err() != nil {
			r.PeerFailed(s.Record().Instance())
			continue
		}
		r.PeerAnswered(s.Record().Instance(), s.Version(), s.Record().State() == membership.Ready)
	}
}

// readyInOtherDomains returns up to maxSyncPeers ready members of other failure
// domains. One of each domain comes first, as a single domain may be cut off
// and outdated.
func (n *Node) readyInOtherDomains() []membership.Record {
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
	return all[:min(len(all), maxSyncPeers)]
}

func isReady(r membership.Record) bool { return r.State() == membership.Ready }

// NodeStatus is the status that a node reported, or the error of the query.
type NodeStatus struct {
	record   membership.Record
	response *peerpb.StatusResponse
	err      error
}

// Record returns the node's record.
func (s NodeStatus) Record() membership.Record { return s.record }

// Version returns the number of the node's active version.
func (s NodeStatus) Version() uint64 { return s.response.GetVersion() }

// Format returns the highest format level that the node can apply.
func (s NodeStatus) Format() uint32 { return s.response.GetFormat() }

// Role returns "reader" for a node that reads the store, otherwise "node".
func (s NodeStatus) Role() string { return s.response.GetRole() }

// Parent returns the name of the instance that the node pulls from.
func (s NodeStatus) Parent() string { return s.response.GetParent() }

// Err returns the error of the query, or nil if the node answered.
func (s NodeStatus) Err() error { return s.err }

// QueryStatus queries the status of members concurrently. The results are in the
// order of members.
func (n *Node) QueryStatus(ctx context.Context, members []membership.Record) []NodeStatus {
	out := make([]NodeStatus, len(members))
	n.QueryEach(ctx, members, statusTimeout, func(ctx context.Context, i int, r membership.Record) {
		resp, err := n.peerClient(r.ControlAddress()).Status(ctx, &peerpb.StatusRequest{})
		if err != nil {
			err = &UnreachableError{Peer: r.Instance(), Err: err}
		}
		out[i] = NodeStatus{record: r, response: resp, err: err}
	})
	return out
}

// QueryEach calls query for each member concurrently, with a timeout for each
// call, and returns when all calls have returned.
func (n *Node) QueryEach(ctx context.Context, members []membership.Record, timeout time.Duration, query func(ctx context.Context, i int, r membership.Record)) {
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, r := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			actx, cancel := n.clock.WithTimeout(ctx, timeout)
			defer cancel()
			query(actx, i, r)
		})
	}
	wg.Wait()
}
