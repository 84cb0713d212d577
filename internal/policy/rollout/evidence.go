package rollout

import (
	"math"
	"sync"
	"time"
)

// buckets of times grow by the square root of two from a millisecond on.
const buckets = 28

// bucketOf returns the bucket that a time counts in.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Round(2*math.Log2(ms))), buckets-1)
}

// Answers are what came of the calls of a route at one target, counted from the
// target's first one of an order on.
type Answers struct {
	calls, failed uint64
	times         [buckets]uint32
}

// NewAnswers returns answers as another node has counted them.
func NewAnswers(calls, failed uint64, times []uint32) Answers {
	a := Answers{calls: calls, failed: failed}
	copy(a.times[:], times)
	return a
}

// Calls returns how many calls have ended.
func (a Answers) Calls() uint64 { return a.calls }

// Failed returns how many of them failed.
func (a Answers) Failed() uint64 { return a.failed }

// Times returns how many answers took how long, by buckets.
func (a Answers) Times() []uint32 { return a.times[:] }

func (a Answers) plus(b Answers) Answers {
	a.calls += b.calls
	a.failed += b.failed
	for i := range a.times {
		a.times[i] += b.times[i]
	}
	return a
}

// minus returns what has come since b.
func (a Answers) minus(b Answers) Answers {
	if b.calls > a.calls {
		return a // another process of the target's node, which counts anew
	}
	a.calls -= b.calls
	a.failed -= b.failed
	for i := range a.times {
		a.times[i] -= min(b.times[i], a.times[i])
	}
	return a
}

func (a Answers) timed() (n uint64) {
	for _, t := range a.times {
		n += uint64(t)
	}
	return n
}

// Report is what the node beside a target has counted since an order.
type Report struct {
	instance, version string
	boot, order, seq  uint64
	running           int
	routes            map[string]Answers
}

// NewReport returns the report with a number of one start of an instance.
func NewReport(instance, version string, boot, order, seq uint64, running int, routes map[string]Answers) Report {
	return Report{instance: instance, version: version, boot: boot, order: order, seq: seq, running: running, routes: routes}
}

// Instance returns the instance that reports.
func (r Report) Instance() string { return r.instance }

// Version returns the version of its target.
func (r Report) Version() string { return r.version }

// Boot returns the number of the process's start.
func (r Report) Boot() uint64 { return r.boot }

// Order returns the revision of the order that it counts from.
func (r Report) Order() uint64 { return r.order }

// Seq returns the number of the report.
func (r Report) Seq() uint64 { return r.seq }

// Running returns how many calls the target runs.
func (r Report) Running() int { return r.running }

// Routes returns the answers by route.
func (r Report) Routes() map[string]Answers { return r.routes }

// Newer reports whether r is a later report than other of the same instance.
func (r Report) Newer(other Report) bool {
	if r.boot != other.boot {
		return r.boot > other.boot
	}
	return r.seq > other.seq
}

// Recorder counts the answers of the target beside a node. It is safe for concurrent
// use.
type Recorder struct {
	mu     sync.Mutex
	routes map[string]*Answers
}

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder() *Recorder { return &Recorder{routes: map[string]*Answers{}} }

// maxRoutes bounds the routes that are told apart; later ones count as one.
const maxRoutes = 32

// otherRoutes is the name under which the routes beyond maxRoutes are counted.
const otherRoutes = ""

// coldFactor is how many times longer a target that warms up may take.
const coldFactor = 2.5

// Record counts an answer of a target that is warm or not.
func (c *Recorder) Record(route string, took time.Duration, failed, warm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.routes[route]
	if a == nil && len(c.routes) >= maxRoutes {
		route = otherRoutes
		a = c.routes[route]
	}
	if a == nil {
		a = &Answers{}
		c.routes[route] = a
	}
	a.calls++
	switch {
	case failed:
		a.failed++
	case warm:
		a.times[bucketOf(took)]++
	default:
		a.times[bucketOf(time.Duration(float64(took)/coldFactor))]++
	}
}

// Routes returns the answers so far.
func (c *Recorder) Routes() map[string]Answers {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Answers, len(c.routes))
	for route, a := range c.routes {
		out[route] = *a
	}
	return out
}

// quantile returns the bucket in which a part of the times ends.
func (a Answers) quantile(q float64) int {
	left := q * float64(a.timed())
	for i, n := range a.times {
		left -= float64(n)
		if left <= 0 {
			return i
		}
	}
	return buckets - 1
}

// above returns the share of times above a bucket.
func (a Answers) above(bucket int) float64 {
	n := 0.0
	for _, t := range a.times[bucket+1:] {
		n += float64(t)
	}
	return n / max(1, float64(a.timed()))
}
