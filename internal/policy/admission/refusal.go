package admission

import (
	"math"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// maxRetryAfter bounds the retry delay of a refused call: later than this the
	// load may have changed.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the least retry delay: sooner than this the load cannot have
	// changed.
	minRetryAfter = time.Millisecond
	// goldenRatio is the fractional part of the golden ratio; its multiples modulo
	// 1 spread the retry times of successive refusals evenly.
	goldenRatio = 0.6180339887498949
)

// refuseQueued refuses the waiting call at index i at once, so that its caller
// can retry on another target.
func (g *Gate) refuseQueued(at int64, q *queue, i int, reason Reason, wakes []Wake) []Wake {
	c := q.remove(i)
	w := Wake{ticket: c.ticket(), decision: g.refuse(at, c.class, c.org, reason)}
	g.release(c)
	return append(wakes, w)
}

// refuse returns a refusal with a retry delay. The retry times of an organisation's
// refused calls are spaced by the interval at which calls start on the target, and
// beyond maxRetryAfter they are spread over its second half; with equal times the
// calls would return as one burst.
func (g *Gate) refuse(at int64, class snapshot.Class, o *org, reason Reason) Refused {
	if reason == NoTrialSlots {
		return Refused{reason, maxRetryAfter}
	}
	interval := g.startInterval(g.slotsOf(at, class))
	earliest := at + int64(interval*float64(len(g.queueOf(class).calls)+1))
	o.lastRetryAt = max(earliest, o.lastRetryAt+int64(interval))
	after := time.Duration(o.lastRetryAt - at)
	if after > maxRetryAfter {
		o.lastRetryAt = at + int64(maxRetryAfter)
		_, g.spreadFraction = math.Modf(g.spreadFraction + goldenRatio)
		after = maxRetryAfter/2 + time.Duration(g.spreadFraction*float64(maxRetryAfter/2))
	}
	return Refused{reason, max(after, minRetryAfter)}
}
