package admission

const (
	// shedKeep is what a target's own refusal leaves of the calls that run
	// besides: it could not take them and one more, and a tenth below reaches
	// any lower level within some service times.
	shedKeep = 0.9
	// regrow is how many answers it takes, for each slot, to try one slot more:
	// a try that fails costs one call, so at most about one call in a hundred
	// is spent on trying, and a target of 12 slots that recovers has all of
	// them back after about a second of full load.
	regrow = 8
)

// learn takes in what a call's end tells of the target.
func (g *Gate) learn(at int64, c *call, how Outcome) {
	took := float64(at - c.start)
	switch how {
	case Done:
		c.work.observe(took)
		g.all.observe(took)
		if !c.long {
			g.short.observe(took)
		}
		g.open = min(float64(g.slots), g.open+1/float64(regrow*g.capacity()))
		g.proof.took(c)
	case Failed, Cancelled:
		c.work.censored(took)
		g.all.censored(took)
		if !c.long {
			g.short.censored(took)
		}
	case Shed:
		// Calls that began before the last cut were judged by the target
		// before it; counting each would close the gate for one event.
		if c.start >= g.shrunkAt && !g.proof.contradicts(c) {
			g.open = max(1, float64(g.runPaying+g.runTrial)*shedKeep)
			g.shrunkAt = at
		}
	}
}
