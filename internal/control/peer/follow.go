package peer

import (
	"context"
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

const (
	// reannounceDelay is the upper bound of the delay after an announcement
	// that the parent requested.
	reannounceDelay = 100 * time.Millisecond
	// pollWait is the length of an idle long poll. Each poll is also a
	// heartbeat.
	pollWait = membership.HeartbeatInterval
	// relayPollWait is the length of an idle long poll of a node with children.
	// A heartbeat waits for the next poll of each relay on its path to the root,
	// up to three. With polls of a full heartbeat interval each, the root would
	// repeatedly suspect live members.
	relayPollWait = membership.HeartbeatInterval / 3
	// maxRejoinInterval bounds the interval at which an orphaned node looks for
	// unknown members of its failure domain, so that nodes that could not reach
	// each other at their start join later.
	maxRejoinInterval = 5 * time.Second
	// minRejoinInterval is the first such interval; it doubles up to
	// maxRejoinInterval. When many nodes start at once, the list of readers is
	// empty at first and is filled soon after.
	minRejoinInterval = 250 * time.Millisecond
)

// follow joins the mesh and then pulls from the parent until ctx ends.
func (n *Node) follow(ctx context.Context, done chan<- error) {
	n.join(ctx)
	n.markJoinAttempted()
	f := &follower{n: n, selector: tree.NewSelector(n.splitRand()), lastJoin: n.clock.Now(), rejoinInterval: minRejoinInterval}
	for ctx.Err() == nil {
		f.step(ctx)
	}
	done <- ctx.Err()
}

// follower is the state of the pull loop.
type follower struct {
	n              *Node
	selector       *tree.Selector
	session        *session
	lastJoin       time.Time
	rejoinInterval time.Duration
	parentLostAt   time.Time
}

func (f *follower) step(ctx context.Context) {
	n := f.n
	p, positionChanged := n.treePosition()
	f.selector.Update(p)
	now := n.clock.Now()
	r, wait := f.selector.Next(now)
	orphaned := f.selector.Orphaned(now)
	n.setParent(r.Instance(), orphaned && len(p.Parents()) > 0, f.parentLostAt)
	if orphaned && now.Sub(f.lastJoin) >= f.rejoinInterval {
		f.lastJoin, f.rejoinInterval = now, min(2*f.rejoinInterval, maxRejoinInterval)
		n.join(ctx)
	}
	if r.Instance() == "" {
		f.waitForParent(ctx, positionChanged, wait)
		return
	}
	if f.session == nil || f.session.remote.address != r.ControlAddress() {
		f.session = &session{n: n, remote: endpointOf(r)}
		n.sendRecords(ctx, endpointOf(r), []membership.Record{n.Self()})
	}
	poll := pollWait
	if n.children.anyTracked() {
		poll = relayPollWait
	}
	age, err := f.session.pull(ctx, poll, len(p.Parents()) < 2)
	f.handleResult(ctx, r, age, err)
}

// handleResult reports the result of a pull to the selector.
func (f *follower) handleResult(ctx context.Context, r membership.Record, age time.Duration, err error) {
	n := f.n
	now := n.clock.Now()
	var busy *BusyError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &busy):
		f.selector.Busy(now, r.Instance(), busy.After)
	case err != nil:
		n.log.Emit(event.PeerLost, event.F("peer", r.Instance()), event.F("error", err))
		f.selector.Failed(now, r.Instance())
		f.session = nil
		if f.parentLostAt.IsZero() {
			f.parentLostAt = now
		}
		n.children.scheduleProbe(r.Instance(), now)
	default:
		f.parentLostAt = time.Time{}
		f.selector.Answered(now, r.Instance(), age)
		if f.session.announceNeeded {
			n.sendRecords(ctx, f.session.remote, []membership.Record{n.Self()})
			// Avoid a tight loop with a parent that does not learn this node's
			// record.
			_ = n.clock.Sleep(ctx, n.jitter(reannounceDelay))
		}
	}
}

// waitForParent waits for a new position in the tree or the next attempt to
// find a parent.
func (f *follower) waitForParent(ctx context.Context, positionChanged <-chan struct{}, wait time.Duration) {
	if wait <= 0 || wait > f.rejoinInterval {
		wait = f.n.jitter(f.rejoinInterval)
	}
	t := f.n.clock.After(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-positionChanged:
	case <-t.C():
	}
}

// join looks for nodes of the mesh: first the readers that the store lists,
// then the seeds. Members of the own failure domain are tried before others,
// since only they are authoritative for it.
func (n *Node) join(ctx context.Context) {
	own, other := n.listedReaders(ctx)
	for _, a := range n.seeds {
		if a != n.Self().ControlAddress() {
			own = append(own, endpoint{address: a})
		}
	}
	if n.joinFirst(ctx, own, true) {
		return
	}
	n.joinFirst(ctx, other, false)
}

// joinFirst pulls once from the first node that answers, skipping live members
// that are known already, and reports whether there was one. With ownDomain set,
// only a node of the own failure domain ends the search.
func (n *Node) joinFirst(ctx context.Context, candidates []endpoint, ownDomain bool) bool {
	for _, e := range candidates {
		if ctx.Err() != nil {
			return false
		}
		if n.isLive(e) {
			continue
		}
		s := &session{n: n, remote: e}
		if _, err := s.pull(ctx, 0, true); err != nil {
			n.log.Emit(event.JoinFailed, event.F("address", e.address), event.F("error", err))
			continue
		}
		if s.remote.domain == n.view.Domain() {
			n.sendRecords(ctx, s.remote, n.joinRecords(s.remote))
		} else if ownDomain {
			// A seed may be of another domain, which is not authoritative for
			// this one.
			continue
		}
		return true
	}
	return false
}

// joinRecords returns the records that a joining node sends to the node that
// answered: its own, and that of the other node if it is suspect here. A node
// without children can't deliver the claim in a pull response; if the other node
// did not refute it, this one would remain the root of a domain of one.
func (n *Node) joinRecords(to endpoint) []membership.Record {
	records := []membership.Record{n.Self()}
	if known, ok := n.view.Record(to.domain, to.name); ok && known.State() == membership.Suspect {
		records = append(records, known)
	}
	return records
}

// isLive reports whether e is known as a live member with the same address.
func (n *Node) isLive(e endpoint) bool {
	if e.name == "" {
		return false
	}
	r, ok := n.view.Record(e.domain, e.name)
	return ok && r.ControlAddress() == e.address && (r.State() == membership.Ready || r.State() == membership.Starting)
}

// listedReaders returns the readers that the store lists for the own and for
// other failure domains, or none if the store is not available.
func (n *Node) listedReaders(ctx context.Context) (own, other []endpoint) {
	if n.store == nil {
		return nil, nil
	}
	self := n.Self()
	m, _, err := (&rendezvous{store: n.store, n: n}).read(ctx)
	if err != nil {
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "read rendezvous"))
		return nil, nil
	}
	return readersOf(m, self.Domain(), true, self.Instance()), readersOf(m, self.Domain(), false, self.Instance())
}
