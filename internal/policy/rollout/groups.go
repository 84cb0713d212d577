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

// Groups holds a pool's ready targets, grouped by the calls that they may get.
type Groups struct {
	current, candidates, canaries []membership.Record
}

// Current returns the targets of the current version.
func (g Groups) Current() []membership.Record { return g.current }

// Candidates returns the targets of the version that is being rolled out.
func (g Groups) Candidates() []membership.Record { return g.candidates }

// Canaries returns the candidates that get most of the new version's calls before the
// shift.
func (g Groups) Canaries() []membership.Record { return g.canaries }

// minCanaries is the minimum number of canaries; with fewer, a fault of one target looks
// like a fault of its version.
const minCanaries = 2

// Groups groups the ready targets of the pool; limit, from 0 to 1, bounds the new
// version's share of calls. Targets that report no version count as targets of the
// current one.
func (r Rollout) Groups(records []membership.Record, limit float64) Groups {
	var g Groups
	switch r.Stage() {
	case StageNone:
		g.current = filterByMostCommonVersion(records)
	case StageCompleted:
		g.current = filterByVersion(records, func(v string) bool { return v == r.order.version })
		if len(g.current) == 0 {
			g.current = filterByVersion(records, r.permits)
		}
	case StageRolledBack:
		_, g.current = r.ByVersion(records)
	case StageCanary, StageShift:
		g.candidates, g.current = r.ByVersion(records)
		g.canaries = r.canaries(g, limit)
	}
	return g
}

// ByVersion returns the targets of the order's version and the other ones that may get calls.
func (r Rollout) ByVersion(records []membership.Record) (candidates, current []membership.Record) {
	return filterByVersion(records, func(v string) bool { return v == r.order.version }),
		filterByVersion(records, func(v string) bool { return v != r.order.version && r.permits(v) })
}

func (r Rollout) permits(version string) bool {
	return version == "" || !slices.Contains(r.progress.barred, version)
}

// canaries returns as many candidates as give each about the load of a current target,
// since a version may fail only under load. They are chosen by a hash of the instance,
// so that all nodes choose the same ones.
func (r Rollout) canaries(g Groups, limit float64) []membership.Record {
	n := max(minCanaries, int(math.Round(limit*canaryFraction*float64(len(g.current)))))
	if len(g.candidates) <= n {
		return g.candidates
	}
	sorted := slices.Clone(g.candidates)
	slices.SortFunc(sorted, func(a, b membership.Record) int {
		return cmp.Compare(xxh3.HashString(a.Instance()), xxh3.HashString(b.Instance()))
	})
	return sorted[:n]
}

// filterByMostCommonVersion returns the targets of the version that most targets run,
// and those that report no version. Targets of other versions get no calls, as an order
// for their version may not have been received yet.
func filterByMostCommonVersion(records []membership.Record) []membership.Record {
	counts := map[string]int{}
	for _, r := range records {
		if v := r.Version(); v != "" {
			counts[v]++
		}
	}
	if len(counts) < 2 {
		return records
	}
	most := ""
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		if counts[v] > counts[most] {
			most = v
		}
	}
	return filterByVersion(records, func(v string) bool { return v == most || v == "" })
}

func filterByVersion(records []membership.Record, keep func(version string) bool) []membership.Record {
	var out []membership.Record
	for _, r := range records {
		if keep(r.Version()) {
			out = append(out, r)
		}
	}
	return out
}

// AllCurrent returns groups in which all targets count as current.
func AllCurrent(records []membership.Record) Groups { return Groups{current: records} }

// Admits reports whether a target of a version accepts calls, whatever state of the
// rollout the senders have. sinceShift is the time since the shift began; replaced says
// that targets of the order's version are ready, as Groups falls back to others if none is.
func (r Rollout) Admits(version string, limit float64, sinceShift time.Duration, replaced bool) bool {
	switch {
	case version == "":
		return true
	case !r.permits(version):
		return false
	case version == r.order.version:
		return r.Stage() != StageRolledBack
	case r.Stage() == StageCompleted:
		return !replaced
	default:
		return !r.CurrentClosed(limit, sinceShift)
	}
}
