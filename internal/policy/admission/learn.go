package admission

// learn updates the estimates from a running call that ended.
func (g *Gate) learn(at int64, c *call, outcome Outcome) {
	elapsed := float64(at - c.start)
	switch outcome {
	case Done:
		c.stats.observe(elapsed)
		g.all.observe(elapsed)
		if !c.long {
			g.short.observe(elapsed)
		}
		g.limit.served(c, g.all.mean)
	case Failed, Cancelled:
		c.stats.observeCensored(elapsed)
		g.all.observeCensored(elapsed)
		if !c.long {
			g.short.observeCensored(elapsed)
		}
	case Rejected:
		g.limit.rejected(at, c, g.all.mean)
	}
}
