package admission

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
		g.room.took(c, g.all.mean)
	case Failed, Cancelled:
		c.work.censored(took)
		g.all.censored(took)
		if !c.long {
			g.short.censored(took)
		}
	case Shed:
		g.room.turnedAway(at, c, g.all.mean)
	}
}
