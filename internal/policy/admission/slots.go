package admission

import (
	"math"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Of a class's slots one in shortSlotDivisor is closed to long calls.
const shortSlotDivisor = 4

// capacity returns how many calls may run at once.
func (g *Gate) capacity() int { return max(1, min(g.limit.current, g.connections)) }

// trialSlots returns how many trial calls may run at once: none on promised slots
// nor on those that paying calls recently needed. When the capacity falls, trial
// calls lose slots before paying calls lose promised ones.
func (g *Gate) trialSlots(at int64) int {
	demanded := int(math.Ceil(g.demand.levelAt(at)))
	return max(0, g.sustained()-max(g.promised, demanded))
}

// canRun reports whether c can run at once.
func (g *Gate) canRun(at int64, c *call) bool {
	running := g.runningPaying + g.runningTrial
	if running >= g.limit.current {
		g.limit.grow(at)
	}
	slots := g.capacity()
	if running >= slots || !g.rate.ready(at) {
		return false
	}
	if c.class == snapshot.Paying {
		return !c.long || g.longPaying < longSlots(slots-g.runningTrial)
	}
	trial := g.trialSlots(at)
	return g.runningTrial < trial && (!c.long || g.longTrial < longSlots(trial))
}

// longSlots returns how many of n slots long calls may hold.
func longSlots(n int) int { return max(1, n-max(1, n/shortSlotDivisor)) }

// slotsOf returns how many slots calls of a class may use now, at least 1.
func (g *Gate) slotsOf(at int64, class snapshot.Class) int {
	if class == snapshot.Trial {
		return max(1, g.trialSlots(at))
	}
	return max(1, g.sustained()-g.runningTrial)
}

func (g *Gate) start(at int64, c *call) {
	c.state, c.start = running, at
	g.rate.take()
	c.concurrency = g.runningPaying + g.runningTrial + 1
	c.org.running++
	n, long := &g.runningTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runningPaying, &g.longPaying
	}
	*n++
	if c.long {
		*long++
	}
}

func (g *Gate) stop(c *call) {
	c.org.running--
	n, long := &g.runningTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runningPaying, &g.longPaying
	}
	*n--
	if c.long {
		*long--
	}
}
