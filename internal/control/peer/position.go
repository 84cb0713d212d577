package peer

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// expireInterval is how often members are checked for expiry. It also bounds
// how often the position in the tree is computed: ranking the fleet for each of
// many simultaneous changes would take CPU time from calls.
const expireInterval = 250 * time.Millisecond

// trackPosition expires members and updates the node's position in the tree
// when members change.
func (n *Node) trackPosition(ctx context.Context, done chan<- error) {
	tick := n.clock.Subscribe(expireInterval)
	defer tick.Stop()
	// Take the channel before reading the members. Otherwise a change in
	// between is missed, and the node may keep an outdated position without a
	// parent until the next change.
	membersChanged := n.memberChange()
	n.updatePosition()
	for {
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-tick.C():
		}
		n.notifyMembers(n.view.Expire(n.clock.Now(), n.actsAsRoot()))
		select {
		case <-membersChanged:
			membersChanged = n.memberChange()
			n.updatePosition()
		default:
		}
	}
}

// updatePosition computes the node's position and notifies the goroutines that
// depend on it.
func (n *Node) updatePosition() {
	self := n.Self()
	p := tree.PositionOf(self.Instance(), self.Domain(), n.view.Records())
	n.mu.Lock()
	previous := n.position
	n.position = p
	close(n.positionChanged)
	n.positionChanged = make(chan struct{})
	n.mu.Unlock()
	if previous.Rank() != p.Rank() || previous.IsReader() != p.IsReader() {
		n.log.Emit(event.PositionChanged, event.F("rank", p.Rank()), event.F("depth", p.Depth()), event.F("reader", p.IsReader()))
	}
}

// treePosition returns the node's position and a channel that is closed at the
// next update.
func (n *Node) treePosition() (tree.Position, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.position, n.positionChanged
}

// actsAsRoot reports whether the node detects unresponsive members of its
// failure domain.
func (n *Node) actsAsRoot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joinAttempted && (n.position.IsRoot() || n.orphaned)
}

// Root returns the root of the node's failure domain; false until the node has
// tried to join the mesh. An orphaned node does not count as the root, since
// the domain would then have two that allocate the same quota share.
func (n *Node) Root() (membership.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	root := n.position.DomainRoot()
	if n.position.IsRoot() && root.Instance() == n.self.Record().Instance() {
		root = n.self.Record()
	}
	return root, n.joinAttempted && root.Instance() != ""
}

// isStoreReader reports whether the node has to watch the store, either as a
// reader or because it is orphaned.
func (n *Node) isStoreReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joinAttempted && (n.position.IsReader() || n.orphaned)
}

// setParent records the parent and the orphan state that the pull loop found.
func (n *Node) setParent(name string, orphaned bool, lostAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.orphaned != orphaned {
		close(n.positionChanged)
		n.positionChanged = make(chan struct{})
	}
	n.parentName, n.orphaned, n.parentLostAt = name, orphaned, lostAt
}

// markJoinAttempted records that the node has tried to join the mesh. Before
// that, an empty view does not make it a root.
func (n *Node) markJoinAttempted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.joinAttempted {
		n.joinAttempted = true
		close(n.positionChanged)
		n.positionChanged = make(chan struct{})
	}
}
