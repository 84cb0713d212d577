package admission

import (
	"math"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// shortShare is the part of a class's slots, one in so many, that long calls
// leave to short ones.
const shortShare = 4

// capacity returns how many calls may run now.
func (g *Gate) capacity() int { return max(1, min(g.room.open, g.connections)) }

// trialSlots returns how many trial calls may run now: none on a promised
// slot, and none where paying calls lately ran. The promise binds first: when
// the target takes fewer calls, trial calls lose slots before any promised one
// is touched.
func (g *Gate) trialSlots(at int64) int {
	used := int(math.Ceil(g.demand.now(at)))
	return max(0, g.capacity()-max(g.promised, used))
}

// may reports whether c can run at once.
func (g *Gate) may(at int64, c *call) bool {
	running := g.runPaying + g.runTrial
	if running >= g.room.open {
		g.room.grow(at)
	}
	slots := g.capacity()
	if running >= slots {
		return false
	}
	if c.class == snapshot.Paying {
		return !c.long || g.longPaying < longSlots(slots-g.runTrial)
	}
	trial := g.trialSlots(at)
	return g.runTrial < trial && (!c.long || g.longTrial < longSlots(trial))
}

// longSlots returns how many of n slots long calls may hold.
func longSlots(n int) int { return max(1, n-max(1, n/shortShare)) }

// slotsOf returns how many slots the calls of a class can have now.
func (g *Gate) slotsOf(at int64, class snapshot.Class) int {
	if class == snapshot.Trial {
		return max(1, g.trialSlots(at))
	}
	return max(1, g.capacity()-g.runTrial)
}

func (g *Gate) start(at int64, c *call) {
	c.state, c.start = running, at
	c.level = g.runPaying + g.runTrial + 1
	c.org.running++
	n, long := &g.runTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runPaying, &g.longPaying
	}
	*n++
	if c.long {
		*long++
	}
}

func (g *Gate) stop(c *call) {
	c.org.running--
	n, long := &g.runTrial, &g.longTrial
	if c.class == snapshot.Paying {
		n, long = &g.runPaying, &g.longPaying
	}
	*n--
	if c.long {
		*long--
	}
}
