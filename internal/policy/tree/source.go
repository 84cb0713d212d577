package tree

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// minGain is the fraction of the time from its first parent below which a node uses
	// another source.
	minGain = 0.8

	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// Source is a node that a version can be fetched from, with the estimated time of that.
type Source struct {
	record membership.Record
	// perMbit are the seconds from the announcement of a version to its end, per Mbit.
	perMbit float64
}

// Record returns the member to fetch from.
func (s Source) Record() membership.Record { return s.record }

// Time returns the estimated time until a version of some bytes is there.
func (s Source) Time(bytes int) time.Duration {
	return time.Duration(s.perMbit * float64(bytes) * bitsPerByte / bitsPerMbit * float64(time.Second))
}

// SourceOf returns the parent from which a large version gets to a node soonest, and false if
// a link of the failure domain is not known or the node is its root.
//
// Each node plans the transfers of the whole domain from its own view, so that no messages
// are needed and wide links are shared: by rank, each node gets the source that is soonest
// given the transfers planned before. A node can fetch once its first parent has the version
// and announces it. The link of a source counts as carrying its transfers one after the other, which
// ends at the same time as side by side. All times are proportional to the version's size.
// Views that differ cost time only.
func SourceOf(self, domain string, records []membership.Record) (Source, bool) {
	nodes := ranked(self, domain, records)
	index := make(map[string]int, len(nodes))
	for i, n := range nodes {
		if n.record.LinkMbps() <= 0 {
			return Source{}, false
		}
		index[n.record.Instance()] = i
	}
	// In seconds per Mbit: when a node has the version, and when its link is free again.
	has, free := make([]float64, len(nodes)), make([]float64, len(nodes))
	for i := 1; i < len(has); i++ {
		has[i] = math.Inf(1) // not planned yet; another parent of the same level is no source
	}
	end := 1 // of the level
	for at := 1; at < len(nodes); at = end {
		_, from, to := level(at)
		for end = at; end < len(nodes); end++ {
			if _, f, t := level(end); f != from || t != to {
				break
			}
		}
		choices := make([]choice, 0, end-at)
		for rank := at; rank < end; rank++ {
			c := choice{rank: rank}
			for _, r := range parents(nodes[rank].record.Instance(), nodes, rank, from, to) {
				c.parents = append(c.parents, index[r.Instance()])
			}
			c.announced = has[c.parents[0]]
			choices = append(choices, c)
		}
		slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.announced, b.announced) })
		for _, c := range choices {
			own := 1 / float64(nodes[c.rank].record.LinkMbps())
			sources := make([]Source, len(c.parents))
			for i, p := range c.parents {
				link := 1 / float64(nodes[p].record.LinkMbps())
				start := max(c.announced, has[p])
				sources[i] = Source{nodes[p].record, max(start+own, max(start, free[p])+link) - c.announced}
			}
			slices.SortStableFunc(sources[1:], func(a, b Source) int { return cmp.Compare(a.perMbit, b.perMbit) })
			best := sources[0]
			if len(sources) > 1 && sources[1].perMbit < minGain*best.perMbit {
				best = sources[1]
			}
			p := index[best.record.Instance()]
			free[p] = max(free[p], c.announced, has[p]) + 1/float64(nodes[p].record.LinkMbps())
			has[c.rank] = c.announced + best.perMbit
			if nodes[c.rank].record.Instance() == self {
				return best, true
			}
		}
	}
	return Source{}, false
}

// choice is a node that needs a source, by ranks, and when it learns of the version.
type choice struct {
	rank      int
	parents   []int
	announced float64
}
