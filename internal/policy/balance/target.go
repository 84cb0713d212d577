package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// latencyWeight is the weight of the newest latency in a target's latency. A target ten
	// times slower costs more than twice as much after two responses.
	latencyWeight = 1.0 / 8
	// latencyDecay is the time in which a latency's difference to the pool's halves
	// without calls, so that a target that was slow is tried again. If it is still slow, each
	// such try costs about one call.
	latencyDecay = 5 * time.Second
	// loadDecay is the time in which a reported load halves: some service times,
	// after which most calls that ran then have ended.
	loadDecay = 500 * time.Millisecond
	// recentFailureWeight is the weight of the newest outcome in recentFailureRate.
	recentFailureWeight = 1.0 / 4
	// queueCostFactor weighs the queue at a target: with all slots in use each
	// further call has to wait.
	queueCostFactor = 4
	// measuredOverrideRatio is how many times longer calls must take here than the
	// target's node reports before the measured latency is used instead.
	measuredOverrideRatio = 4
	// failureCostFactor raises the cost of a target that fails part of its calls and
	// is not ejected yet: one that fails fast would look idle.
	failureCostFactor = 4
	// initialEjection is longer than a reconnect and shorter than a restart of a
	// target. It doubles with each further ejection.
	initialEjection = time.Second
	// maxEjection bounds the ejection time before its jitter of up to half, and so how long
	// a target that has recovered stays unused.
	maxEjection = 30 * time.Second
	// maxShedWait bounds how long a refusal applies, so that a wrong Retry-After
	// cannot idle a target for long.
	maxShedWait = 5 * time.Second
	// rampDuration is how long the share of a new or readmitted target ramps up,
	// while its caches and connections warm up. The callers of a fleet together give it
	// its full share only at the end.
	rampDuration = 10 * time.Second
	// coldShare is the part of its share that a cold target starts with: enough
	// calls to warm it, too few to show in the p99 of a pool of ten or more.
	coldShare = 0.1
	// connectCost is the usual time to open a connection, in nanoseconds.
	connectCost = float64(time.Millisecond)
	// maxShedOrgs is how many refused organisations a target's state holds. A further
	// one replaces the oldest, whose calls are sent there again.
	maxShedOrgs = 4
)

// target is this node's state of one target. The pool's lock guards all fields but
// the pool and the record, which calls read without it.
type target struct {
	pool        *pool
	record      atomic.Pointer[membership.Record]
	slots       float64
	outstanding int
	idleConns   int

	latency   float64
	latencyAt int64
	slowdown  slowdown

	load   float64
	loadAt int64

	recentFailureRate float64
	failedAt          int64
	suspicion         suspicion
	unreachable       bool // refuses connections
	ejected           bool
	ejectedUntil      int64
	ejections         int

	coldSince     int64
	drainingUntil int64

	shedAllUntil   int64
	shedClassUntil [2]int64
	shedOrgs       [maxShedOrgs]shedOrg
	nextShedOrg    int
}

// maxDraining bounds how long a refusal as draining counts without a newer announcement. A
// target whose process was restarted meanwhile may announce the same as before.
const maxDraining = 10 * time.Second

// draining reports whether the target has refused a call as draining.
func (t *target) draining(at int64) bool { return at < t.drainingUntil }

type shedOrg struct {
	org   string
	until int64
}

// rampFraction returns the part of its share that the target gets now, 1 when it is
// warm.
func (t *target) rampFraction(at int64) float64 {
	if since := at - t.coldSince; since < int64(rampDuration) {
		return coldShare + (1-coldShare)*float64(since)/float64(rampDuration)
	}
	return 1
}

// latencyNow returns the target's latency, decayed towards the pool's usual one.
func (t *target) latencyNow(at int64, usual float64) float64 {
	if t.latency == 0 {
		return usual
	}
	return usual + (t.latency-usual)*decay(at-t.latencyAt, latencyDecay)
}

// decay returns a weight that falls from 1 to 1/2 within the time half, and then
// towards 0 (hyperbolic decay).
func decay(since int64, half time.Duration) float64 {
	return float64(half) / float64(int64(half)+max(0, since))
}

// utilisation returns the fraction of the slots in use with one more call: by this
// node's own calls there, or by the load last reported, whichever is more.
func (t *target) utilisation(at int64) float64 {
	own := float64(t.outstanding) / t.slots
	return max(own, t.load*decay(at-t.loadAt, loadDecay)) + 1/t.slots
}

// utilisationCost weighs a utilisation. Below 1 a call is served at once, so the
// cost grows slowly: just enough that callers with outdated loads don't all pick the
// same target.
func utilisationCost(u float64) float64 {
	if u > 1 {
		return u + queueCostFactor*(u-1)
	}
	return math.Sqrt(u)
}

// cost orders targets: the expected time of a call, weighed by utilisation and
// failures.
func (t *target) cost(at int64, usual float64) float64 {
	c := t.weightedLatency(at, usual) * utilisationCost(t.utilisation(at))
	c *= 1 + failureCostFactor*t.recentFailureRate*decay(at-t.failedAt, latencyDecay)
	if t.idleConns == 0 && t.rampFraction(at) == 1 {
		// A cold target has no connection yet, but must get its few calls:
		// acceptDraw limits these already.
		c += connectCost
	}
	return c
}

// weightedLatency returns the usual latency times the slowdown that the target's node
// reported, squared since most late calls are long ones at slow targets. Without a
// report, or if calls from this node take far longer than reported because of a bad
// network path or a stalled node, it returns the measured latency.
func (t *target) weightedLatency(at int64, usual float64) float64 {
	measured := t.latencyNow(at, usual)
	if t.slowdown.factor == 0 {
		return measured
	}
	reported := usual * t.slowdown.current(at)
	if measured > measuredOverrideRatio*reported {
		return measured
	}
	return reported * t.slowdown.current(at)
}

// shedUntil returns until when the target has asked callers like this one to wait.
func (t *target) shedUntil(info CallInfo) int64 {
	until := max(t.shedAllUntil, t.shedClassUntil[info.class&1])
	for i := range t.shedOrgs {
		if s := &t.shedOrgs[i]; s.until > until && s.org == info.org {
			until = s.until
		}
	}
	return until
}

func (t *target) recordShed(at int64, info CallInfo, s Scope, after time.Duration) {
	until := at + int64(min(max(after, 0), maxShedWait))
	switch s {
	case ForClass:
		t.shedClassUntil[info.class&1] = until
		if info.class == snapshot.Paying {
			// Paying calls have priority: where they are refused, so are trial calls.
			t.shedClassUntil[snapshot.Trial] = max(until, t.shedClassUntil[snapshot.Trial])
		}
	case ForOrganisation:
		i := slices.IndexFunc(t.shedOrgs[:], func(o shedOrg) bool { return o.org == info.org })
		if i < 0 {
			i = t.nextShedOrg
			t.nextShedOrg = (t.nextShedOrg + 1) % maxShedOrgs
		}
		t.shedOrgs[i] = shedOrg{info.org, until}
	default:
		t.shedAllUntil = until
	}
}

// observeOutcome updates recentFailureRate; failure is 1 for a failure, else 0.
func (t *target) observeOutcome(failure float64) {
	t.recentFailureRate += recentFailureWeight * (failure - t.recentFailureRate)
}

// eject excludes the target for a random time around the current ejection time, so
// that callers don't all return at once.
func (t *target) eject(at int64, r *rand.Rand) {
	d := min(maxEjection, initialEjection<<min(t.ejections, 5))
	t.ejections++
	t.ejected = true
	t.ejectedUntil = at + int64((0.5+r.Float64())*float64(d))
}

// readmit restarts the ramp of a target whose ejection has ended.
func (t *target) readmit(at int64) {
	if t.ejected && at >= t.ejectedUntil && t.coldSince < t.ejectedUntil {
		t.coldSince = at
	}
}

// probing reports whether an ejection has ended without a response since: until then
// the target gets one call at a time.
func (t *target) probing(at int64) bool { return t.ejected && at >= t.ejectedUntil }

// available reports whether the target is not ejected, or may be probed now.
func (t *target) available(at int64) bool {
	return !t.ejected || (at >= t.ejectedUntil && t.outstanding == 0)
}
