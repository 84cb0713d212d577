package peer

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// announceBatch gathers changes on their way up, as memberBatch does down.
	announceBatch = 20 * time.Millisecond
	// announceTimeout is many round trips between regions.
	announceTimeout = 2 * time.Second
	// announceRewind is how many changes are sent again to a new parent: the
	// old one may have died with those it had not passed on.
	announceRewind = 256
)

// announce sends what is new below this node to its parent as soon as it
// happens.
func (n *Node) announce(ctx context.Context, done chan<- error) {
	var sent membership.Cursor
	var to string
	for ctx.Err() == nil {
		change := n.memberChange()
		r, ok := n.currentParent()
		if ok && r.Instance() != to {
			sent = rewound(n.view.Cursor(), sent)
		}
		if ok {
			batch := n.view.Since(sent, membership.To(r.Instance()), membership.Only(n.view.Domain()))
			if len(batch.Records()) == 0 || n.sendUp(ctx, parentOf(r), batch.Records()) {
				sent, to = batch.Cursor(), r.Instance()
			}
		}
		n.awaitChange(ctx, change)
	}
	done <- ctx.Err()
}

// rewound returns a cursor some changes back, so that little is sent again and
// nothing is missed.
func rewound(now, sent membership.Cursor) membership.Cursor {
	seq := min(sent.Seq(), now.Seq())
	return membership.NewCursor(now.Epoch(), seq-min(seq, announceRewind))
}

func (n *Node) currentParent() (membership.Record, bool) {
	n.mu.Lock()
	name := n.parent
	n.mu.Unlock()
	if name == "" {
		return membership.Record{}, false
	}
	return n.view.Record(n.view.Domain(), name)
}

func (n *Node) awaitChange(ctx context.Context, change <-chan struct{}) {
	_, moved := n.place()
	// A parent that was busy or has changed without a change of members is
	// looked at again after a while.
	again := n.clock.After(time.Second)
	defer again.Stop()
	select {
	case <-ctx.Done():
		return
	case <-change:
	case <-moved:
	case <-again.C():
		return
	}
	_ = n.clock.Sleep(ctx, announceBatch)
}

// sendUp sends records to a parent and reports whether it took them.
func (n *Node) sendUp(ctx context.Context, to parent, records []membership.Record) bool {
	self := n.Self()
	actx, cancel := n.clock.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := n.dial(to.address).Announce(actx, &peerpb.AnnounceRequest{
		Instance: self.Instance(), Domain: self.Domain(), Records: toMessages(records),
	})
	if err != nil && ctx.Err() == nil {
		n.log.Emit(event.AnnounceFailed, event.F("peer", to.name), event.F("error", err))
	}
	return err == nil
}

// Flush sends the node's own announcement to its parent at once, so that a
// process that ends has told of it.
func (n *Node) Flush(ctx context.Context) {
	if r, ok := n.currentParent(); ok {
		n.sendUp(ctx, parentOf(r), []membership.Record{n.Self()})
		return
	}
	// A root has nobody above; its children and the other reader pull.
	_ = n.clock.Sleep(ctx, memberBatch+announceBatch)
}
