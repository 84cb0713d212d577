package resident

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

// measureDelay observes the scheduling delay of the process until ctx ends, and sends the
// error of ctx on done.
func (n *Node) measureDelay(ctx context.Context, done chan<- error) {
	var latencies schedulingLatencies
	latencies.mean()
	var stops stopFilter
	for {
		start, period := n.clk.Now(), n.overload.Period()
		if err := n.clk.Sleep(ctx, period); err != nil {
			done <- err
			return
		}
		latency := stops.filter(n.clk.Since(start)-period, latencies.mean())
		n.observeDelay(start, period, latency)
	}
}

// stopTime is how late a timer is at least if the process as a whole was stopped. One that
// is merely short of processor time runs a ready timer sooner.
const stopTime = 500 * time.Millisecond

// stopFilter leaves out the latencies that include a stop of the process. Goroutines that
// were ready when it stopped count with the whole stop, in that reading or the next.
type stopFilter struct{ stopped bool }

// filter returns the latency of a reading whose timer was late by some time.
func (f *stopFilter) filter(late, latency time.Duration) time.Duration {
	before := f.stopped
	f.stopped = late >= stopTime
	if f.stopped || before {
		return 0
	}
	return latency
}

// observeDelay observes a period that began at start and was to last for period, in which
// goroutines waited for latency on average before they ran. Both times have monotonic
// readings, so a step of the system clock doesn't count.
func (n *Node) observeDelay(start time.Time, period, latency time.Duration) {
	now := n.clk.Now()
	// A goroutine whose timer has fired runs before those that wait, so that the timer is late
	// only where the process as a whole does not run.
	late := max(latency, now.Sub(start)-period)
	if !n.overload.Observe(now, period, late) {
		return
	}
	state := "ended"
	if n.overload.Overloaded() {
		state = "started"
	}
	n.log.Emit(event.Overload, event.F("state", state), event.F("delay_ms", n.overload.Delay().Milliseconds()))
}

// schedulingLatencies reads how long goroutines that were ready waited until they ran, from
// the runtime's histogram of a sample of them.
type schedulingLatencies struct {
	sample  [1]metrics.Sample
	earlier []uint64 // the counts of the call before
}

// mean returns the mean latency since the call before; 0 if there was no sample.
func (s *schedulingLatencies) mean() time.Duration {
	s.sample[0].Name = "/sched/latencies:seconds"
	metrics.Read(s.sample[:])
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.sample[0].Value.Float64Histogram()
	if s.earlier == nil {
		s.earlier = make([]uint64, len(h.Counts))
	}
	d := meanLatency(h.Buckets, h.Counts, s.earlier)
	copy(s.earlier, h.Counts)
	return d
}

// meanLatency returns the mean of what has been counted since earlier, in buckets whose
// bounds are in seconds.
func meanLatency(buckets []float64, counts, earlier []uint64) time.Duration {
	n, sum := uint64(0), 0.0
	for i, c := range counts {
		added := c - earlier[i]
		if added == 0 {
			continue
		}
		from, to := max(0, buckets[i]), buckets[i+1]
		if math.IsInf(to, 1) {
			to = from
		}
		n += added
		sum += float64(added) * (from + max(from, to)) / 2
	}
	if n == 0 {
		return 0
	}
	return time.Duration(math.Round(sum / float64(n) * float64(time.Second)))
}
