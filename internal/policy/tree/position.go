package tree

import (
	"slices"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// backups is how many parents of the level above a node tries in all; with
	// the readers and the lowest ranks behind them, a node is without a parent
	// only if most of the domain's upper levels died in one moment.
	backups = 3
	// heirs is how many ranks below the readers are tried when both are lost:
	// all who lost them then meet at the same next root.
	heirs = 3
)

// Position is a node's place in the tree as its own view shows it.
type Position struct {
	rank, depth int
	parents     []membership.Record
	peers       []Peer
}

// Peer is another failure domain that a reader pulls from, with the members to
// try in order.
type Peer struct {
	domain  string
	members []membership.Record
}

// Domain returns the failure domain to pull from.
func (p Peer) Domain() string { return p.domain }

// Members returns whom to try, in order.
func (p Peer) Members() []membership.Record { return p.members }

// Place returns the position of a node of a failure domain among the records
// that it knows.
func Place(self, domain string, records []membership.Record) Position {
	nodes := ranked(self, domain, records)
	rank := slices.IndexFunc(nodes, func(n node) bool { return n.record.Instance() == self })
	depth, from, to := level(rank)
	p := Position{rank: rank, depth: depth, parents: parents(self, nodes, rank, from, to)}
	if p.Reader() {
		p.peers = peers(self, domain, rank, nodes, records)
	}
	return p
}

// Rank returns the node's rank in its failure domain, from 0.
func (p Position) Rank() int { return p.rank }

// Depth returns the node's level, 0 for readers.
func (p Position) Depth() int { return p.depth }

// Reader reports whether the node watches the store for its failure domain.
func (p Position) Reader() bool { return p.rank < Readers }

// Root reports whether the node pulls from no one in its failure domain and so
// judges the silence of its members.
func (p Position) Root() bool { return p.rank == 0 }

// Parents returns whom to pull from, best first; all have a smaller rank.
func (p Position) Parents() []membership.Record { return p.parents }

// Peers returns what a reader pulls besides, so that its failure domain learns
// of the others' members, and of versions while it can't reach the store.
func (p Position) Peers() []Peer { return p.peers }

func parents(self string, nodes []node, rank, from, to int) []membership.Record {
	if rank == 0 {
		return nil
	}
	var out []membership.Record
	add := func(r membership.Record) {
		if !slices.ContainsFunc(out, func(o membership.Record) bool { return o.Instance() == r.Instance() }) {
			out = append(out, r)
		}
	}
	above := byWeight(self, nodes[from:to])
	for _, r := range above[:min(backups, len(above))] {
		add(r)
	}
	for _, n := range nodes[:min(rank, Readers+heirs)] {
		add(n.record)
	}
	return out
}
