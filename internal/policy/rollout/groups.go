package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Groups are a pool's ready targets, parted by what they may get.
type Groups struct {
	current, candidates, canaries []membership.Record
}

// Current returns the targets of the version in force.
func (g Groups) Current() []membership.Record { return g.current }

// Candidates returns the targets of the version that is rolled out.
func (g Groups) Candidates() []membership.Record { return g.candidates }

// Canaries returns the candidates that get most of the calls before the shift.
func (g Groups) Canaries() []membership.Record { return g.canaries }

// leastCanaries lets the fault of one target be told from that of its version.
const leastCanaries = 2

// Groups parts the ready targets of the pool; limit bounds the share of the new
// version. Targets that tell no version count as of the one in force.
func (r Rollout) Groups(records []membership.Record, limit float64) Groups {
	var g Groups
	switch r.Stage() {
	case StageNone:
		g.current = prevailing(records)
	case StageCompleted:
		g.current = only(records, func(v string) bool { return v == r.order.version })
		if len(g.current) == 0 {
			g.current = only(records, r.unbarred)
		}
	case StageRolledBack:
		g.current = only(records, func(v string) bool { return v != r.order.version && r.unbarred(v) })
	case StageCanary, StageShift:
		g.current = only(records, func(v string) bool { return v != r.order.version && r.unbarred(v) })
		g.candidates = only(records, func(v string) bool { return v == r.order.version })
		g.canaries = r.canaries(g, limit)
	}
	return g
}

func (r Rollout) unbarred(version string) bool {
	return version == "" || !slices.Contains(r.progress.barred, version)
}

// canaries returns so many of the candidates that each of them carries about as much
// as a target in force does: a version may fail only under load. All nodes choose the
// same ones.
func (r Rollout) canaries(g Groups, limit float64) []membership.Record {
	n := max(leastCanaries, int(math.Round(limit*canaryPart*float64(len(g.current)))))
	if len(g.candidates) <= n {
		return g.candidates
	}
	sorted := slices.Clone(g.candidates)
	slices.SortFunc(sorted, func(a, b membership.Record) int {
		return cmp.Compare(xxh3.HashString(a.Instance()), xxh3.HashString(b.Instance()))
	})
	return sorted[:n]
}

// prevailing returns the targets of the version that most run. Without an order the
// others get nothing: their order may not have been heard of yet.
func prevailing(records []membership.Record) []membership.Record {
	n := map[string]int{}
	for _, r := range records {
		if v := r.Version(); v != "" {
			n[v]++
		}
	}
	if len(n) < 2 {
		return records
	}
	most := ""
	for _, v := range slices.Sorted(maps.Keys(n)) {
		if n[v] > n[most] {
			most = v
		}
	}
	return only(records, func(v string) bool { return v == most || v == "" })
}

func only(records []membership.Record, in func(version string) bool) []membership.Record {
	var out []membership.Record
	for _, r := range records {
		if in(r.Version()) {
			out = append(out, r)
		}
	}
	return out
}

// Ungrouped returns the groups of a pool whose targets all get calls.
func Ungrouped(records []membership.Record) Groups { return Groups{current: records} }

// Admits reports whether a target of a version takes calls so long after the shift has
// begun, whatever their senders know.
func (r Rollout) Admits(version string, limit float64, sinceShift time.Duration) bool {
	switch {
	case version == "":
		return true
	case !r.unbarred(version):
		return false
	case version == r.order.version:
		return r.Stage() != StageRolledBack
	default:
		return !r.Closed(limit, sinceShift)
	}
}
