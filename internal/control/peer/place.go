package peer

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// expireEvery is how often time acts on the members, and bounds how often the
// place in the tree is worked out anew: a rack that goes changes the members
// forty times in a moment, and ranking a whole fleet each time would take the
// processor from the calls.
const expireEvery = 250 * time.Millisecond

// keep finds the node's place in the tree as members change, and lets time act
// on what is known of them.
func (n *Node) keep(ctx context.Context, done chan<- error) {
	tick := n.clock.Subscribe(expireEvery)
	defer tick.Stop()
	// The channel is taken before the members are read: a change in between
	// would else be the last for a long time and leave the node in its old
	// place, below nobody.
	last := n.memberChange()
	n.locate()
	for {
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-tick.C():
		}
		n.take(n.view.Expire(n.clock.Now(), n.isRoot()))
		select {
		case <-last:
			last = n.memberChange()
			n.locate()
		default:
		}
	}
}

// locate works out the node's place and tells the parts that depend on it.
func (n *Node) locate() {
	self := n.Self()
	p := tree.Place(self.Instance(), self.Domain(), n.view.Records())
	n.mu.Lock()
	was := n.position
	n.position = p
	close(n.located)
	n.located = make(chan struct{})
	n.mu.Unlock()
	if was.Rank() != p.Rank() || was.Reader() != p.Reader() {
		n.log.Emit(event.Placed, event.F("rank", p.Rank()), event.F("depth", p.Depth()), event.F("reader", p.Reader()))
	}
}

// place returns the node's place and a channel that is closed at the next.
func (n *Node) place() (tree.Position, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.position, n.located
}

// isRoot reports whether the node judges the silence of its domain's members.
func (n *Node) isRoot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tried && (n.position.Root() || n.alone)
}

// reads reports whether the node watches the store: as a reader, or because
// nobody above it answers.
func (n *Node) reads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tried && (n.position.Reader() || n.alone)
}

// noteParent keeps what the pull loop found out about the node's parent.
func (n *Node) noteParent(name string, alone bool, orphan time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.alone != alone {
		close(n.located)
		n.located = make(chan struct{})
	}
	n.parent, n.alone, n.orphan = name, alone, orphan
}

// noteTried records that the node has asked whoever it could find for the
// mesh; before that, an empty view does not make it a root.
func (n *Node) noteTried() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.tried {
		n.tried = true
		close(n.located)
		n.located = make(chan struct{})
	}
}
