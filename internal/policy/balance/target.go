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
	// newestLatency is the weight of the newest latency: a target ten times
	// slower costs more than twice as much after two answers.
	newestLatency = 1.0 / 8
	// latencyFade is when half of a latency's difference to the pool's has
	// gone, if no call comes by: a target slow once is tried again within
	// seconds, and one still slow costs a call or so each time.
	latencyFade = 5 * time.Second
	// loadFade is when half of a load that an answer told has gone: some
	// service times, after which most of what ran then has ended.
	loadFade = 500 * time.Millisecond
	// newestFailure is the weight of the newest outcome among failures.
	newestFailure = 1.0 / 4
	// waitCost makes a target dearer whose calls wait: with all slots in use each
	// further call waits for one, while below that it is served at once.
	waitCost = 4
	// muchSlower is how many times longer than its node tells a target's calls
	// take here before that is believed instead.
	muchSlower = 4
	// failureCost makes a target that fails part of its calls dearer before it
	// is ejected: failing fast, it would look idle.
	failureCost = 4
	// firstEjection is long beside a restart of a connection and short beside
	// a restart of a target; each further one doubles it.
	firstEjection = time.Second
	// maxEjection bounds how long a target that is well again stays unused.
	maxEjection = 30 * time.Second
	// maxShed bounds how long a refusal is heeded, as a wrong one could idle
	// a target for good.
	maxShed = 5 * time.Second
	// coldFor is how long a new or returned target ramps up: caches and
	// connections of a service warm up in seconds, and the fleet's callers
	// together reach the full share only at its end.
	coldFor = 10 * time.Second
	// coldShare is the part of its share that a cold target starts with:
	// enough calls to warm it, few enough for their slowness not to show in
	// the p99 of a pool of ten or more.
	coldShare = 0.1
	// connectCost is what a new connection takes, by the users' figures.
	connectCost = float64(time.Millisecond)
	// heeded is how many refused organisations a target remembers; one more
	// only asks and is refused again.
	heeded = 4
)

// target is what this node knows of one target. Its pool's lock guards all but
// the pool and the record, which calls read while they are under way.
type target struct {
	pool        *pool
	record      atomic.Pointer[membership.Record]
	slots       float64
	outstanding int
	warm        int

	latency float64
	seenAt  int64
	pace    pace

	load   float64
	loadAt int64

	failures     float64
	failedAt     int64
	suspicion    suspicion
	absent       bool // refuses connections
	ejected      bool
	ejectedUntil int64
	ejections    int

	coldSince int64
	leaving   bool

	shedAll   int64
	shedClass [2]int64
	shedOrgs  [heeded]shedOrg
	shedNext  int
}

type shedOrg struct {
	org   string
	until int64
}

// cold returns the part of its share that the target gets now.
func (t *target) cold(at int64) float64 {
	if since := at - t.coldSince; since < int64(coldFor) {
		return coldShare + (1-coldShare)*float64(since)/float64(coldFor)
	}
	return 1
}

// latencyNow returns the expected latency beside the pool's usual one.
func (t *target) latencyNow(at int64, usual float64) float64 {
	if t.latency == 0 {
		return usual
	}
	return usual + (t.latency-usual)*fade(at-t.seenAt, latencyFade)
}

// fade falls from 1 to a half at half, and on towards 0.
func fade(since int64, half time.Duration) float64 {
	return float64(half) / float64(int64(half)+max(0, since))
}

// utilisation returns the part of the slots in use with one call more: what
// this node itself has there, or what the target's last answer told if more.
func (t *target) utilisation(at int64) float64 {
	own := float64(t.outstanding) / t.slots
	return max(own, t.load*fade(at-t.loadAt, loadFade)) + 1/t.slots
}

// busy weighs a utilisation. While slots are free a call is served at once, so that
// it counts for little there: just so much that many senders, each of which knows
// the loads of some time ago, don't all take the same one.
func busy(u float64) float64 {
	if u > 1 {
		return u + waitCost*(u-1)
	}
	return math.Sqrt(u)
}

// cost orders targets: the time a call takes, weighed by the work before it.
func (t *target) cost(at int64, usual float64) float64 {
	c := t.expected(at, usual) * busy(t.utilisation(at))
	c *= 1 + failureCost*t.failures*fade(at-t.failedAt, latencyFade)
	if t.warm == 0 && t.cold(at) == 1 {
		// A cold target has no connection yet and must get its few calls all
		// the same; it is drawn rarely enough.
		c += connectCost
	}
	return c
}

// expected returns how a call's time there counts: by its node's word of the target's
// pace, squared, as what is late is mostly long work at slow targets; unless the calls
// made from here take far longer, as over a bad way or by a node that stands still.
func (t *target) expected(at int64, usual float64) float64 {
	measured := t.latencyNow(at, usual)
	if t.pace.ratio == 0 {
		return measured
	}
	told := usual * t.pace.now(at)
	if measured > muchSlower*told {
		return measured
	}
	return told * t.pace.now(at)
}

// shedUntil returns until when the target has asked these callers to wait.
func (t *target) shedUntil(a Ask) int64 {
	until := max(t.shedAll, t.shedClass[a.class&1])
	for i := range t.shedOrgs {
		if s := &t.shedOrgs[i]; s.until > until && s.org == a.org {
			until = s.until
		}
	}
	return until
}

func (t *target) heed(at int64, a Ask, s Scope, after time.Duration) {
	until := at + int64(min(max(after, 0), maxShed))
	switch s {
	case ForClass:
		t.shedClass[a.class&1] = until
		if a.class == snapshot.Paying {
			// Paying calls go first: where they are refused, so are trial calls.
			t.shedClass[snapshot.Trial] = max(until, t.shedClass[snapshot.Trial])
		}
	case ForOrganisation:
		i := slices.IndexFunc(t.shedOrgs[:], func(o shedOrg) bool { return o.org == a.org })
		if i < 0 {
			i = t.shedNext
			t.shedNext = (t.shedNext + 1) % heeded
		}
		t.shedOrgs[i] = shedOrg{a.org, until}
	default:
		t.shedAll = until
	}
}

// outcome takes in whether an answer was a failure.
func (t *target) outcome(failed float64) { t.failures += newestFailure * (failed - t.failures) }

// eject takes the target out for a while. The jitter differs from caller to
// caller, so that they do not all return to it in one moment.
func (t *target) eject(at int64, r *rand.Rand) {
	d := min(maxEjection, firstEjection<<min(t.ejections, 5))
	t.ejections++
	t.ejected = true
	t.ejectedUntil = at + int64((0.5+r.Float64())*float64(d))
}

// back returns an ejected target to use, cold again, once its time is over.
func (t *target) back(at int64) {
	if t.ejected && at >= t.ejectedUntil && t.coldSince < t.ejectedUntil {
		t.coldSince = at
	}
}

// probing reports whether the target has returned and not yet answered: until
// then one call at a time is enough to learn whether it is well.
func (t *target) probing(at int64) bool { return t.ejected && at >= t.ejectedUntil }

// open reports whether the target may be picked at all now.
func (t *target) open(at int64) bool {
	return !t.ejected || (at >= t.ejectedUntil && t.outstanding == 0)
}
