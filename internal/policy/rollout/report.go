package rollout

import (
	"math"
	"sync"
	"time"
)

// latencyBuckets is the number of latency buckets. Their bounds start at a millisecond
// and grow by a factor of the square root of two.
const latencyBuckets = 28

// latencyBucket returns the index of the bucket that a latency falls into.
func latencyBucket(latency time.Duration) int {
	ms := float64(latency) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Round(2*math.Log2(ms))), latencyBuckets-1)
}

// RouteStats holds the statistics of a route's calls at one target since the target's
// first call under an order: calls, failures and a histogram of the latencies of
// successful calls.
type RouteStats struct {
	calls, failed uint64
	latencies     [latencyBuckets]uint32
}

// NewRouteStats returns statistics as another node reported them.
func NewRouteStats(calls, failed uint64, latencies []uint32) RouteStats {
	s := RouteStats{calls: calls, failed: failed}
	copy(s.latencies[:], latencies)
	return s
}

// Calls returns how many calls have ended.
func (s RouteStats) Calls() uint64 { return s.calls }

// Failed returns how many calls failed.
func (s RouteStats) Failed() uint64 { return s.failed }

// Latencies returns the number of successful calls in each latency bucket.
func (s RouteStats) Latencies() []uint32 { return s.latencies[:] }

func (s RouteStats) plus(other RouteStats) RouteStats {
	s.calls += other.calls
	s.failed += other.failed
	for i := range s.latencies {
		s.latencies[i] += other.latencies[i]
	}
	return s
}

// minus returns what was counted since other.
func (s RouteStats) minus(other RouteStats) RouteStats {
	if other.calls > s.calls {
		return s // the target's node has restarted and counts from zero
	}
	s.calls -= other.calls
	s.failed -= other.failed
	for i := range s.latencies {
		s.latencies[i] -= min(other.latencies[i], s.latencies[i])
	}
	return s
}

func (s RouteStats) latencyCount() (n uint64) {
	for _, t := range s.latencies {
		n += uint64(t)
	}
	return n
}

// Report holds the statistics that a target's node has recorded since an order.
type Report struct {
	instance, version        string
	boot, orderRevision, seq uint64
	running                  int
	closed                   bool
	routes                   map[string]RouteStats
}

// NewReport returns the report with sequence number seq of an instance's boot, under the
// order with revision orderRevision. running is the number of calls in flight.
func NewReport(instance, version string, boot, orderRevision, seq uint64, running int, routes map[string]RouteStats) Report {
	return Report{instance: instance, version: version, boot: boot, orderRevision: orderRevision, seq: seq, running: running, routes: routes}
}

// Instance returns the reporting instance.
func (r Report) Instance() string { return r.instance }

// Version returns the version of the instance's target.
func (r Report) Version() string { return r.version }

// Boot returns the instance's boot number.
func (r Report) Boot() uint64 { return r.boot }

// OrderRevision returns the revision of the order since which calls are counted.
func (r Report) OrderRevision() uint64 { return r.orderRevision }

// Seq returns the sequence number of the report within a boot.
func (r Report) Seq() uint64 { return r.seq }

// Running returns how many calls are in flight at the target.
func (r Report) Running() int { return r.running }

// WithClosed returns a copy of a report that says whether the target's node refuses further
// calls. It must have begun to before it counted the running ones.
func (r Report) WithClosed(closed bool) Report {
	r.closed = closed
	return r
}

// Closed reports whether the target's node refuses further calls.
func (r Report) Closed() bool { return r.closed }

// Routes returns the statistics by route.
func (r Report) Routes() map[string]RouteStats { return r.routes }

// Newer reports whether r is a later report than other of the same instance.
func (r Report) Newer(other Report) bool {
	if r.boot != other.boot {
		return r.boot > other.boot
	}
	return r.seq > other.seq
}

// Recorder counts the calls of a node's target. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	routes map[string]*RouteStats
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{routes: map[string]*RouteStats{}} }

// maxRoutes is how many routes are counted separately.
const maxRoutes = 32

// otherRoutes is the key under which further routes are counted together.
const otherRoutes = ""

// warmUpSlowdown is the factor by which a target may be slower while it warms up.
const warmUpSlowdown = 2.5

// Record counts a call that has ended. The latency of a target that is not warm is
// divided by warmUpSlowdown.
func (r *Recorder) Record(route string, latency time.Duration, failed, warm bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.routes[route]
	if s == nil && len(r.routes) >= maxRoutes {
		route = otherRoutes
		s = r.routes[route]
	}
	if s == nil {
		s = &RouteStats{}
		r.routes[route] = s
	}
	s.calls++
	switch {
	case failed:
		s.failed++
	case warm:
		s.latencies[latencyBucket(latency)]++
	default:
		s.latencies[latencyBucket(time.Duration(float64(latency)/warmUpSlowdown))]++
	}
}

// Routes returns a copy of the statistics by route.
func (r *Recorder) Routes() map[string]RouteStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]RouteStats, len(r.routes))
	for route, s := range r.routes {
		out[route] = *s
	}
	return out
}

// quantile returns the bucket of the quantile q, from 0 to 1, of the latencies.
func (s RouteStats) quantile(q float64) int {
	remaining := q * float64(s.latencyCount())
	for i, n := range s.latencies {
		remaining -= float64(n)
		if remaining <= 0 {
			return i
		}
	}
	return latencyBuckets - 1
}

// shareAbove returns the share of latencies above a bucket.
func (s RouteStats) shareAbove(bucket int) float64 {
	n := 0.0
	for _, t := range s.latencies[bucket+1:] {
		n += float64(t)
	}
	return n / max(1, float64(s.latencyCount()))
}
