package main

import (
	"errors"
	"time"
)

const demandsBounds = "seedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 5\ncatchUpS = 6\ndrainS = 2.5\ngraceS = 6\nlossSlackS = 0.2\nconfigApplyS = 2.5\nrollbackSlackS = 0.25\nmaxStretchS = 5\nstrictRevoke = false\nrevokeS = 5\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 204\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20\ncanaryShare = 0.1\ncanarySlack = 50\nrollbackS = 5\nrecoveryS = 15\n"

const mallBounds = "seedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 4\ncatchUpS = 4\ndrainS = 2\ngraceS = 6\nlossSlackS = 0.2\nconfigApplyS = 2\nrollbackSlackS = 0.25\nmaxStretchS = 5\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 60\nrecoveryS = 15\n"

// tally counts requests on the first route and on the later one, before the disruption and in
// steady time after it.
type tally struct {
	before, beforeServed, steady, steadyServed [2]int
	answers                                    map[int]int // on the later route, in steady time
}

func newTally(clients []*client, disruption, steady time.Time) *tally {
	t := &tally{answers: map[int]int{}}
	for _, cl := range clients {
		for _, s := range cl.results() {
			k, served := 0, 0
			if s.kind == "later" {
				k = 1
			}
			if s.served {
				served = 1
			}
			switch {
			case s.at.Before(disruption):
				t.before[k]++
				t.beforeServed[k] += served
			case s.at.After(steady):
				t.steady[k]++
				t.steadyServed[k] += served
				if k == 1 {
					t.answers[s.status]++
				}
			}
		}
	}
	return t
}

// laterLess reports whether the later route was served less than a quarter as often as the
// first one.
func (t *tally) laterLess(c *caseRun, disruption string) (bool, error) {
	c.rec.say("before %s: first route %d of %d served, later route %d of %d", disruption, t.beforeServed[0], t.before[0], t.beforeServed[1], t.before[1])
	c.rec.say("in steady time after it: first route %d of %d served, later route %d of %d", t.steadyServed[0], t.steady[0], t.steadyServed[1], t.steady[1])
	c.rec.say("answers on the later route in that time: %v", t.answers)
	for k := range 2 {
		if t.before[k] < 20 || t.beforeServed[k] < t.before[k]*9/10 || t.steady[k] < 20 {
			return false, errors.New("the calm time was not served")
		}
	}
	first := float64(t.steadyServed[0]) / float64(t.steady[0])
	return float64(t.steadyServed[1])/float64(t.steady[1]) < first/4, nil
}
