package tree

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// fetch is the state of one node in a simulation of a version's transfers.
type fetch struct {
	self    membership.Record
	sources []string
	hedges  []time.Duration // after which the next source is tried
	tried   int
	began   time.Duration
	left    float64 // Mbit
	has     time.Duration
}

// spread simulates how a version gets to all nodes of a failure domain. Links are shared
// evenly by the transfers on them. A node begins once its first parent announces the version,
// which takes passOn after its bytes are there. The node named down never sends a byte. It
// returns the time at which the last node has the version.
func spread(records []membership.Record, bytes int, passOn time.Duration, down string, plan func(self, announcer string, p Position) ([]string, []time.Duration)) time.Duration {
	const (
		hop   = time.Millisecond
		never = time.Hour
	)
	step := 2 * time.Millisecond
	if len(records) >= 100 {
		step = 5 * time.Millisecond // many nodes make the simulation slow
	}
	nodes := map[string]*fetch{}
	parent := map[string]string{}
	for _, r := range records {
		p := PositionOf(r.Instance(), "d", records)
		f := &fetch{self: r, left: float64(bytes) * bitsPerByte / bitsPerMbit, has: never}
		if p.IsRoot() {
			f.has = 0
		} else {
			announcer := p.Parents()[0].Instance()
			if announcer == down {
				announcer = p.Parents()[1].Instance() // pulled from after the first failed
			}
			parent[r.Instance()] = announcer
			f.sources, f.hedges = plan(r.Instance(), announcer, p)
		}
		nodes[r.Instance()] = f
	}
	delete(nodes, down)
	for now := time.Duration(0); now < never; now += step {
		sending := map[string]int{}
		var active []*fetch
		waiting := false
		for name, f := range nodes {
			if f.has < never {
				continue
			}
			waiting = true
			if p := nodes[parent[name]]; p.has == never || now < p.has+passOn+hop {
				continue
			}
			if f.tried == 0 || now-f.began > f.hedges[f.tried-1] && f.tried < len(f.sources) {
				f.tried, f.began = f.tried+1, now
			}
			source := f.sources[f.tried-1]
			if s := nodes[source]; s == nil {
				continue
			} else if now < s.has+passOn {
				f.began = now - never // responds that it has no such version
				continue
			}
			sending[source]++
			active = append(active, f)
		}
		if !waiting {
			return now
		}
		for _, f := range active {
			source := f.sources[f.tried-1]
			mbps := min(float64(f.self.LinkMbps()), float64(nodes[source].self.LinkMbps())/float64(sending[source]))
			// The conversion rounds the product, which some processors would not.
			if f.left -= float64(mbps * step.Seconds()); f.left <= 0 {
				f.has = now
			}
		}
	}
	return never
}

// Guards against versions that take seconds to start a failure domain: relays behind narrow
// links send them to all their children, or all nodes crowd the few wide links.
func TestLargeVersionsAreFetchedFromWhereTheyComeSoonest(t *testing.T) {
	t.Parallel()
	const narrow, wide, hedge = 10, 200, 150 * time.Millisecond
	// decode is the time that a node with a small share of a core needs for 3,000 routes.
	const decode = 160 * time.Millisecond
	for _, tc := range []struct {
		nodes, wide, kb int
		down            bool
		max             time.Duration
	}{
		{22, 2, 60, false, 150 * time.Millisecond},
		{22, 2, 150, false, 300 * time.Millisecond},
		{22, 2, 150, true, 700 * time.Millisecond},
		{20, 0, 150, false, 1300 * time.Millisecond},
		{100, 2, 150, false, 600 * time.Millisecond},
		{100, 0, 150, false, 2100 * time.Millisecond},
		{191, 2, 150, false, 650 * time.Millisecond},
		{191, 8, 150, false, 500 * time.Millisecond},
		{191, 0, 150, false, 2500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d wide, %d KB, down %v", tc.nodes, tc.wide, tc.kb, tc.down), func(t *testing.T) {
			t.Parallel()
			var records []membership.Record
			for i := range tc.nodes {
				link := narrow
				if i < tc.wide {
					link = wide
				}
				records = append(records, membership.NewRecord(fmt.Sprint("n", i), membership.Domain("d"), membership.Boot(1),
					membership.InState(membership.Ready), membership.LinkMbps(link)))
			}
			bytes, down := tc.kb*1000, ""
			if tc.down {
				root, _ := Root("d", records)
				down = records[slices.IndexFunc(records, func(r membership.Record) bool { return r.Instance() != root.Instance() })].Instance()
			}
			fromParents := func(_, announcer string, p Position) (names []string, hedges []time.Duration) {
				names = append(names, announcer)
				for _, r := range p.Parents() {
					if r.Instance() != announcer {
						names = append(names, r.Instance())
					}
				}
				seconds := float64(bytes*bitsPerByte*Fanout) / (narrow * bitsPerMbit)
				for range names {
					hedges = append(hedges, hedge+min(time.Second, time.Duration(seconds*float64(time.Second))))
				}
				return names, hedges
			}
			soonest := func(self, announcer string, p Position) (names []string, hedges []time.Duration) {
				source, _ := SourceOf(self, "d", records)
				names, hedges = fromParents(self, announcer, p)
				names = slices.DeleteFunc(names, func(n string) bool { return n == source.Record().Instance() })
				return append([]string{source.Record().Instance()}, names...), append([]time.Duration{hedge + source.Time(bytes)}, hedges...)
			}
			before := spread(records, bytes, decode, down, fromParents)
			undecoded := spread(records, bytes, 0, down, fromParents)
			got := spread(records, bytes, 0, down, soonest)
			t.Logf("%s: last node: by parents %v, without decoding at each level %v, soonest sources %v", t.Name(), before, undecoded, got)
			if got > tc.max || got > undecoded {
				t.Errorf("the last node has the version after %v, want at most %v; from parents %v", got, tc.max, undecoded)
			}
		})
	}
}
