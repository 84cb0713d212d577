package admission

import (
	"math"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// maxRetryAfter bounds what a refused call is told: after this long the
	// load may be another one.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps a refused call from coming back in the same
	// millisecond, where nothing can have changed.
	minRetryAfter = time.Millisecond
	// golden spreads the come-back times of successive refusals evenly.
	golden = 0.6180339887498949
)

// dismiss refuses the waiting call at i at once: holding its answer back would
// keep its caller from trying elsewhere.
func (g *Gate) dismiss(at int64, q *queue, i int, reason Reason, wakes []Wake) []Wake {
	c := q.remove(i)
	w := Wake{ticket: c.ticket(), decision: g.refuse(at, c.class, c.org, reason)}
	g.release(c)
	return append(wakes, w)
}

// refuse names a time to come back. Each refused call of an organisation gets
// a later time than the one before, at the pace the target serves: told one
// time, they would return as the burst that they were.
func (g *Gate) refuse(at int64, class snapshot.Class, o *org, reason Reason) Refused {
	if reason == NoTrialSlots {
		return Refused{reason, maxRetryAfter}
	}
	pace := g.all.mean / float64(g.slotsOf(at, class))
	soonest := at + int64(pace*float64(len(g.queueOf(class).calls)+1))
	o.backAt = max(soonest, o.backAt+int64(pace))
	after := time.Duration(o.backAt - at)
	if after > maxRetryAfter {
		o.backAt = at + int64(maxRetryAfter)
		_, g.turn = math.Modf(g.turn + golden)
		after = maxRetryAfter/2 + time.Duration(g.turn*float64(maxRetryAfter/2))
	}
	return Refused{reason, max(after, minRetryAfter)}
}
