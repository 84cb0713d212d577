package admission

import "banyanlug.example/banyanlug/internal/config/snapshot"

const (
	// queuePerSlot bounds the queue of a class: two calls a slot take in a
	// burst of three times the slots; a longer standing queue would only add
	// waiting, since the target serves no faster.
	queuePerSlot = 2
	// maxQueue bounds the scan for the next call on a target with many slots.
	maxQueue = 256
	// mostService is how many times its mean a service time is at most for nine in
	// ten calls, where they vary by about as much as the mean.
	mostService = 2
	// shortPart is up to which part of the usual service time a call is short.
	shortPart = 2.0 / 3
	// refillSlots is how many slots a waiting call may outlast: with one call for
	// each of the next two, a saturated target is hardly ever idle.
	refillSlots = 2
)

// wait estimates how long c would wait: the calls before it of its length, at
// the pace at which slots for them come free.
func (g *Gate) wait(at int64, c *call) int64 {
	slots := g.slotsOf(at, c.class)
	before := g.queueOf(c.class).ahead(c) + 1
	if c.long {
		return int64(float64(before) * c.work.mean / float64(longSlots(slots)))
	}
	if c.class == snapshot.Trial {
		before += g.paying.short
		slots -= g.longTrial
	} else {
		slots -= g.longPaying
	}
	return int64(float64(before) * g.short.mean / float64(max(1, slots)))
}

// roomFor reports whether c finds room to wait. Long calls get half of it:
// they wait longer, and with all of it would leave none to the short ones.
func (g *Gate) roomFor(at int64, c *call) bool {
	slots := g.capacity()
	if c.class == snapshot.Trial {
		slots = g.trialSlots(at)
	}
	room := min(queuePerSlot*slots, maxQueue)
	q := g.queueOf(c.class)
	if c.long {
		return len(q.calls)-q.short < room/2
	}
	return q.short < room-room/2 || len(q.calls) < room
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
			wakes = g.dismiss(at, q, i, TooLate, wakes)
		} else {
			i++
		}
	}
	return wakes
}

// latestStart returns until when a call may wait: as long as most calls of its
// kind would still end by the due time, or until the next slots come free, so
// that none stays empty for want of a call that waits.
//
// A call that is short beside the others waits to its deadline if it must: it
// goes first by its due time, turning it away would free next to nothing, and it
// is mostly part of a longer call elsewhere, all of which would be lost with it.
//
// On a saturated target every call that runs has waited to the end of what it
// may; with the mean service time in place of most, half of them came late.
func (g *Gate) latestStart(at int64, c *call) int64 {
	expected := c.work.expected(&g.all)
	if c.due == c.deadline {
		return c.deadline - expected
	}
	if c.short(&g.all) {
		return c.deadline - mostService*expected
	}
	refill := int64(refillSlots * g.all.mean / float64(g.capacity()))
	return min(max(c.due-mostService*expected, at+refill), c.deadline-expected)
}

// short reports whether a call is short beside the others. It never counts as late:
// behind calls that take many times as long it would wait until its own caller, a
// call half done elsewhere, fails and is lost with all its work, while it delays
// these by next to nothing.
func (c *call) short(all *work) bool { return float64(c.work.expected(all)) < shortPart*all.mean }
