package target

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// handlerMetrics holds gauges of running and waiting calls, histograms of their
// times and counters of refusals.
type handlerMetrics struct {
	set    *metrics.Set
	levels [maxLevel + 1]levelCounters
	stages map[snapshot.Class]map[bool]stageHistograms // by class and idempotence
}

// stageHistograms holds the time that calls wait for a slot and the time that
// the target takes to respond.
type stageHistograms struct{ queue, work *metrics.Histogram }

// maxLevel is the highest level that a call can carry.
const maxLevel = 3

// levelCounters count the calls of one level that were admitted, and those that were refused.
type levelCounters struct{ served, refused *metrics.Counter }

func newHandlerMetrics(set *metrics.Set, s *Slots, rate *rateMonitor) *handlerMetrics {
	gauge := func(name, labels string, f func() int) {
		set.GetOrCreateGauge("banyanlug_target_"+name+labels, func() float64 { return float64(f()) })
	}
	gauge("slots", "", func() int { return s.Load().Slots() })
	set.GetOrCreateGauge("banyanlug_target_rate_limit", rate.namedLimit)
	set.GetOrCreateGauge("banyanlug_target_calls_passed_total", func() float64 { return float64(rate.passedTotal()) })
	gauge("trial_slots", "", func() int { return s.Load().TrialSlots() })
	for _, class := range []snapshot.Class{snapshot.Trial, snapshot.Paying} {
		labels := fmt.Sprintf("{class=%q}", class)
		gauge("running", labels, func() int { return s.Load().Running(class) })
		gauge("waiting", labels, func() int { return s.Load().Waiting(class) })
	}
	m := &handlerMetrics{set: set, stages: map[snapshot.Class]map[bool]stageHistograms{}}
	for _, class := range []snapshot.Class{snapshot.Trial, snapshot.Paying} {
		m.stages[class] = map[bool]stageHistograms{}
		for idempotent, kind := range map[bool]string{true: "idempotent", false: "once"} {
			histogram := func(name string) *metrics.Histogram {
				return set.GetOrCreateHistogram(fmt.Sprintf("banyanlug_target_%s_seconds{class=%q,kind=%q}", name, class, kind))
			}
			m.stages[class][idempotent] = stageHistograms{queue: histogram("queue"), work: histogram("work")}
		}
	}
	for level := range m.levels {
		counter := func(outcome string) *metrics.Counter {
			return set.GetOrCreateCounter(fmt.Sprintf(`banyanlug_target_level_calls_total{level="%d",outcome=%q}`, level, outcome))
		}
		m.levels[level] = levelCounters{served: counter("served"), refused: counter("refused")}
	}
	return m
}

// countDecision counts a call by its level and whether the gate admitted it. Calls whose
// callers disconnected while they waited are not counted.
func (m *handlerMetrics) countDecision(meta hop.Meta, err error) {
	if err == nil {
		m.levels[meta.Level()].served.Inc()
		return
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		m.levels[meta.Level()].refused.Inc()
	}
}

// forCall returns the histograms for a call's class and idempotence.
func (m *handlerMetrics) forCall(meta hop.Meta) stageHistograms {
	return m.stages[meta.Class()][meta.Idempotent()]
}

// countRefusal counts a refusal. The set of types is fixed, which bounds the
// number of series.
func (m *handlerMetrics) countRefusal(r *http1.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`banyanlug_target_refusals_total{type=%q,outcome=%q}`, r.Type, r.Outcome)).Inc()
}
