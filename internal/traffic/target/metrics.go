package target

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// meters tells what runs and waits at the target and for how long, and counts what
// is refused.
type meters struct {
	set    *metrics.Set
	stages map[snapshot.Class]map[bool]stages // by whether a call may run again
}

// stages are the parts of a call's time at this node.
type stages struct{ queue, work *metrics.Histogram }

func newMeters(set *metrics.Set, s *Slots) *meters {
	gauge := func(name, labels string, f func() int) {
		set.GetOrCreateGauge("banyanlug_target_"+name+labels, func() float64 { return float64(f()) })
	}
	gauge("slots", "", func() int { return s.Load().Slots() })
	gauge("trial_slots", "", func() int { return s.Load().TrialSlots() })
	for _, class := range []snapshot.Class{snapshot.Trial, snapshot.Paying} {
		labels := fmt.Sprintf("{class=%q}", class)
		gauge("running", labels, func() int { return s.Load().Running(class) })
		gauge("waiting", labels, func() int { return s.Load().Waiting(class) })
	}
	m := &meters{set: set, stages: map[snapshot.Class]map[bool]stages{}}
	for _, class := range []snapshot.Class{snapshot.Trial, snapshot.Paying} {
		m.stages[class] = map[bool]stages{}
		for repeat, kind := range map[bool]string{true: "idempotent", false: "once"} {
			histogram := func(name string) *metrics.Histogram {
				return set.GetOrCreateHistogram(fmt.Sprintf("banyanlug_target_%s_seconds{class=%q,kind=%q}", name, class, kind))
			}
			m.stages[class][repeat] = stages{queue: histogram("queue"), work: histogram("work")}
		}
	}
	return m
}

// of returns the stages of a call's kind.
func (m *meters) of(meta hop.Meta) stages { return m.stages[meta.Class()][meta.Idempotent()] }

// refused counts a call that got no answer of the target. Its types are few and
// of this program's own making.
func (m *meters) refused(r *http1.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`banyanlug_target_refusals_total{type=%q,outcome=%q}`, r.Type, r.Outcome)).Inc()
}
