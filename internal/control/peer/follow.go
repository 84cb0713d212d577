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
	// unknownPause follows an announcement that the parent asked for.
	unknownPause = 100 * time.Millisecond
	// pollWait is the length of an idle long poll, which is also the heartbeat.
	pollWait = membership.Heartbeat
	// relayWait is the same for a node that others pull from. Their heartbeats
	// wait for its next poll, at up to three relays on the way to the root; at a
	// whole heartbeat each, a living member would be claimed silent before it is
	// heard of, over and over.
	relayWait = membership.Heartbeat / 3
	// rejoinEvery is how often a node that nobody is above looks for others of
	// its domain that it does not know: two that started apart must meet.
	rejoinEvery = 5 * time.Second
	// rejoinFirst is the first such wait, doubled up to rejoinEvery: a herd
	// that starts together finds an empty list at first and a full one soon.
	rejoinFirst = 250 * time.Millisecond
)

// follow pulls from the node's relay.
func (n *Node) follow(ctx context.Context, done chan<- error) {
	n.join(ctx)
	n.noteTried()
	f := &follower{n: n, selector: tree.NewSelector(n.split()), joined: n.clock.Now(), rejoin: rejoinFirst}
	for ctx.Err() == nil {
		f.step(ctx)
	}
	done <- ctx.Err()
}

// follower is the state of the pull loop.
type follower struct {
	n        *Node
	selector *tree.Selector
	session  *session
	joined   time.Time
	rejoin   time.Duration
	orphan   time.Time
}

func (f *follower) step(ctx context.Context) {
	n := f.n
	p, moved := n.place()
	f.selector.Update(p)
	now := n.clock.Now()
	r, wait := f.selector.Next(now)
	alone := f.selector.Alone(now)
	n.noteParent(r.Instance(), alone && len(p.Parents()) > 0, f.orphan)
	if alone && now.Sub(f.joined) >= f.rejoin {
		f.joined, f.rejoin = now, min(2*f.rejoin, rejoinEvery)
		n.join(ctx)
	}
	if r.Instance() == "" {
		f.idle(ctx, moved, wait)
		return
	}
	if f.session == nil || f.session.at.address != r.Peer() {
		f.session = &session{n: n, at: parentOf(r)}
		n.sendUp(ctx, parentOf(r), []membership.Record{n.Self()})
	}
	poll := pollWait
	if n.children.any() {
		poll = relayWait
	}
	age, err := f.session.pull(ctx, poll, len(p.Parents()) < 2)
	f.judge(ctx, r, age, err)
}

// judge tells the selector what came of a pull.
func (f *follower) judge(ctx context.Context, r membership.Record, age time.Duration, err error) {
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
		if f.orphan.IsZero() {
			f.orphan = now
		}
		n.children.suspect(r.Instance(), now)
	default:
		f.orphan = time.Time{}
		f.selector.Answered(now, r.Instance(), age)
		if f.session.unknown {
			n.sendUp(ctx, f.session.at, []membership.Record{n.Self()})
			// A parent that goes on not knowing this node must not be asked in
			// a tight loop.
			_ = n.clock.Sleep(ctx, n.jitter(unknownPause))
		}
	}
}

// idle waits for a parent, a new place or the time to try again.
func (f *follower) idle(ctx context.Context, moved <-chan struct{}, wait time.Duration) {
	if wait <= 0 || wait > f.rejoin {
		wait = f.n.jitter(f.rejoin)
	}
	t := f.n.clock.After(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-moved:
	case <-t.C():
	}
}

// join asks whoever can be found for the mesh: the readers that the store
// lists, then the seeds. Members of the own domain go first, since only they
// speak for it.
func (n *Node) join(ctx context.Context) {
	own, others := n.listed(ctx)
	for _, a := range n.seeds {
		if a != n.Self().Peer() {
			own = append(own, parent{address: a})
		}
	}
	if n.joinOne(ctx, own, true) {
		return
	}
	n.joinOne(ctx, others, false)
}

// joinOne pulls once from the first that answers, of those not known already.
func (n *Node) joinOne(ctx context.Context, from []parent, own bool) bool {
	for _, p := range from {
		if ctx.Err() != nil {
			return false
		}
		if n.knows(p) {
			continue
		}
		s := &session{n: n, at: p}
		if _, err := s.pull(ctx, 0, true); err != nil {
			n.log.Emit(event.JoinFailed, event.F("address", p.address), event.F("error", err))
			continue
		}
		if s.at.domain == n.view.Domain() {
			n.sendUp(ctx, s.at, n.introduction(s.at))
		} else if own {
			// A seed of another domain helps, but does not speak for this one.
			continue
		}
		return true
	}
	return false
}

// introduction returns what a node that joins tells who answered: itself, and that it
// holds the other for silent if it does. Nobody may follow this node, and then the
// other would never hear of the claim and could not refute it: this node would go on
// as the root of a failure domain of one.
func (n *Node) introduction(to parent) []membership.Record {
	records := []membership.Record{n.Self()}
	if held, ok := n.view.Record(to.domain, to.name); ok && held.State() == membership.Suspect {
		records = append(records, held)
	}
	return records
}

// knows reports whether a listed node is a live member already.
func (n *Node) knows(p parent) bool {
	if p.name == "" {
		return false
	}
	r, ok := n.view.Record(p.domain, p.name)
	return ok && r.Peer() == p.address && (r.State() == membership.Ready || r.State() == membership.Starting)
}

// listed returns the readers that the store names in the own and in other
// domains; without the store there are none.
func (n *Node) listed(ctx context.Context) (own, others []parent) {
	if n.store == nil {
		return nil, nil
	}
	self := n.Self()
	m, _, err := (&rendezvous{store: n.store, n: n}).read(ctx)
	if err != nil {
		n.log.Emit(event.StoreUnavailable, event.F("error", err), event.F("step", "read rendezvous"))
		return nil, nil
	}
	return found(m, self.Domain(), true, self.Instance()), found(m, self.Domain(), false, self.Instance())
}
