package ledger

import (
	"context"
	"math/rand/v2"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/once"
)

// take adopts rows; whole says that they hold all changes up to their version
// since the node's own.
func (n *Node) take(t *ledgerpb.Table, whole bool) error {
	if len(t.GetRows()) == 0 && t.GetVersion() == 0 {
		return nil
	}
	entries := make([]entry, len(t.GetRows()))
	for i, m := range t.GetRows() {
		if _, err := row(m.GetRow()); err != nil {
			return &TableError{Err: err}
		}
		var err error
		if entries[i], err = toEntry(m); err != nil {
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range entries {
		r := int(t.GetRows()[i].GetRow())
		if e.row.Epoch() > n.table[r].row.Epoch() {
			n.table[r] = e
		}
		n.held.Adopt(n.clock.Now(), r, e.row)
	}
	if whole && t.GetVersion() > n.version {
		n.version = t.GetVersion()
	}
	close(n.news)
	n.news = make(chan struct{})
	return nil
}

// since returns the rows that are newer than a version of the table.
func (n *Node) since(version uint64) *ledgerpb.Table {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.version <= version {
		return nil
	}
	t := &ledgerpb.Table{Version: n.version}
	for i, e := range n.table {
		if e.row.Epoch() > 0 && e.changed > version {
			t.Rows = append(t.Rows, fromEntry(i, e))
		}
	}
	return t
}

// row returns a row of the table.
func (n *Node) row(i int) once.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table[i].row
}

// refreshPeers is how many nodes are asked at once for news of the table: one
// of them lives and has it, but for the first moments after a change.
const refreshPeers = 3

// refresh asks some nodes for news of the table.
func (n *Node) refresh(ctx context.Context) {
	self := n.mesh.Self()
	var others []membership.Record
	for _, r := range n.mesh.Records() {
		if r.Instance() != self.Instance() && r.State() != membership.Gone && r.State() != membership.Suspect {
			others = append(others, r)
		}
	}
	for range min(refreshPeers, len(others)) {
		i := rand.IntN(len(others))
		r := others[i]
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
		if n.ask(ctx, r) {
			return
		}
	}
}

// ask reports whether a node had news of the table.
func (n *Node) ask(ctx context.Context, r membership.Record) bool {
	n.mu.Lock()
	version := n.version
	n.mu.Unlock()
	actx, cancel := n.clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := n.at(r.Peer()).Table(actx, &ledgerpb.TableRequest{Version: version})
	return err == nil && resp.GetNews() != nil && n.take(resp.GetNews(), true) == nil
}
