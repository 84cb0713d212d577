package tree

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// Readers is how many nodes of a failure domain watch the store: two, so
	// that one may be lost, and no more, since each watch counts as a call.
	Readers = 2

	// Fanout is by how much each level of the tree is larger than the one
	// above. A relay has this many children on average and rarely more than
	// twice as many; at a pull of 300 bytes each heartbeat of 4 s, sixteen cost
	// 1.2 KB/s, under half of what a node may spend. A domain of 190 then has
	// four levels, and a level costs one round trip of a millisecond.
	Fanout = 8
)

// node is a member with the place that its hash gives it.
type node struct {
	record membership.Record
	class  class
	hash   uint64
}

// class puts nodes that may hold nothing yet below those that serve: a node
// that has just started would feed nobody.
type class uint8

const (
	serving class = iota
	starting
	leaving
)

func classOf(s membership.State) class {
	switch s {
	case membership.Ready:
		return serving
	case membership.Starting, membership.Suspect:
		return starting
	default:
		return leaving
	}
}

// ranked returns the members of a failure domain that others may pull from, and
// self, in the order of their ranks.
func ranked(self, domain string, records []membership.Record) []node {
	var nodes []node
	found := false
	for _, r := range records {
		if r.Domain() != domain {
			continue
		}
		n := node{record: r, class: classOf(r.State()), hash: xxh3.HashString(r.Instance())}
		switch {
		case r.Instance() == self:
			found = true
		case n.class == leaving || r.State() == membership.Suspect:
			continue
		}
		nodes = append(nodes, n)
	}
	if self != "" && !found {
		r := membership.NewRecord(self, membership.Domain(domain))
		nodes = append(nodes, node{record: r, class: starting, hash: xxh3.HashString(self)})
	}
	slices.SortFunc(nodes, compareNodes)
	return nodes
}

func compareNodes(a, b node) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.hash, b.hash),
		cmp.Compare(a.record.Instance(), b.record.Instance()),
	)
}

// level returns the level of a rank and where the level above begins and ends.
func level(rank int) (depth, from, to int) {
	end, size := Readers, Readers
	for rank >= end {
		depth++
		from, to = end-size, end
		if depth == 1 {
			size = Fanout
		} else {
			size *= Fanout
		}
		end += size
	}
	return depth, from, to
}

// byWeight orders candidates by their rendezvous weight for a key: each key has
// its own order, so that the children of a lost relay spread over all others,
// and a member that comes or goes moves only the keys it was first for.
func byWeight(key string, nodes []node) []membership.Record {
	type weighted struct {
		node   node
		weight uint64
	}
	ws := make([]weighted, len(nodes))
	for i, n := range nodes {
		ws[i] = weighted{n, xxh3.HashStringSeed(key, n.hash)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), compareNodes(a.node, b.node))
	})
	out := make([]membership.Record, len(ws))
	for i := range ws {
		out[i] = ws[i].node.record
	}
	return out
}
