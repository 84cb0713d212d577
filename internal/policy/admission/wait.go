package admission

import "banyanlug.example/banyanlug/internal/config/snapshot"

const (
	// queuePerSlot bounds the queue of a class, in calls per slot: with two, a burst
	// of three times the slots is served. A longer standing queue would only add waiting,
	// since the target serves no faster.
	queuePerSlot = 2
	// maxQueue bounds the queue of a class, and so the scan for the next call, on a
	// target with many slots.
	maxQueue = 256
	// highServiceFactor times the mean exceeds about nine in ten service times,
	// where their standard deviation is about the mean.
	highServiceFactor = 2
	// wellBelowMeanFraction is the fraction of the mean service time below which a
	// call counts as well below the mean.
	wellBelowMeanFraction = 2.0 / 3
	// refillSlots is how many slots have to come free before a waiting call may
	// expire, so that a saturated target is hardly ever idle.
	refillSlots = 2
)

// expectedWait estimates how long c would wait, in nanoseconds: the number of calls
// of its kind, long or short, ahead of it, times the mean interval at which slots
// for them come free, and no less than the target's rate allows.
func (g *Gate) expectedWait(at int64, c *call) int64 {
	first := g.queueOf(c.class).position(c) + 1
	if c.class == snapshot.Trial {
		first += len(g.paying.calls)
	}
	return max(g.expectedSlotWait(at, c), g.rate.wait(at, first))
}

func (g *Gate) expectedSlotWait(at int64, c *call) int64 {
	slots := g.slotsOf(at, c.class)
	ahead := g.queueOf(c.class).ahead(c) + 1
	if c.long {
		return int64(float64(ahead) * c.stats.mean / float64(longSlots(slots)))
	}
	if c.class == snapshot.Trial {
		ahead += g.paying.short
		slots -= g.longTrial
	} else {
		slots -= g.longPaying
	}
	return int64(float64(ahead) * g.short.mean / float64(max(1, slots)))
}

// hasQueueSpace reports whether the queue has space for c. Long calls get at most
// half of it: they wait longer and would otherwise crowd out the short ones.
func (g *Gate) hasQueueSpace(at int64, c *call) bool {
	slots := g.capacity()
	if c.class == snapshot.Trial {
		slots = g.trialSlots(at)
	}
	maxWaiting := min(queuePerSlot*slots, maxQueue)
	if !g.rate.ready(at) {
		maxWaiting = min(maxWaiting, maxWaitingForRate)
	}
	q := g.queueOf(c.class)
	if c.long {
		return len(q.calls)-q.short < maxWaiting/2
	}
	return q.short < maxWaiting-maxWaiting/2 || len(q.calls) < maxWaiting
}

func (g *Gate) queueOf(class snapshot.Class) *queue {
	if class == snapshot.Paying {
		return &g.paying
	}
	return &g.trial
}

func (g *Gate) expire(at int64, q *queue, wakes []Wake) []Wake {
	for i := 0; i < len(q.calls); {
		if q.calls[i].latestStart < at {
			wakes = g.refuseQueued(at, q, i, TooLate, wakes)
		} else {
			i++
		}
	}
	return wakes
}

// latestStart returns the latest time at which c may start and is still expected to end
// by its deadline. With an earlier soft deadline, c may wait only while most calls of its
// route would still end by that, or until the next refillSlots slots come free, so that
// no slot stays empty for want of a waiting call.
//
// A call well below the mean service time may wait while most such calls would
// still end by the deadline: refusing it would free little, and it is usually
// nested in a longer call, whose work would be lost with it.
//
// The service time is taken as highServiceFactor times the mean, since on a
// saturated target calls start close to their latest start; with the mean itself
// many would end late.
func (g *Gate) latestStart(at int64, c *call) int64 {
	expected := c.stats.expected(&g.all)
	if c.softDeadline == c.deadline {
		return c.deadline - expected
	}
	if c.wellBelowMean(&g.all) {
		return c.deadline - highServiceFactor*expected
	}
	refill := int64(refillSlots * g.all.mean / float64(g.capacity()))
	return min(max(c.softDeadline-highServiceFactor*expected, at+refill), c.deadline-expected)
}

// wellBelowMean reports whether c is expected to take much less time than the mean
// call. Such a call never counts as late: it barely delays longer calls, and behind
// them it could wait so long that the call in which it is usually nested fails and
// that call's work is lost.
func (c *call) wellBelowMean(all *routeStats) bool {
	return float64(c.stats.expected(all)) < wellBelowMeanFraction*all.mean
}
