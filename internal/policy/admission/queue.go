package admission

import (
	"slices"
	"sort"
)

// queue holds the waiting calls of one class in the order of call.before.
type queue struct {
	calls []*call
	// short counts the calls that are not long.
	short int
}

// position returns the index at which to insert c.
func (q *queue) position(c *call) int {
	return sort.Search(len(q.calls), func(i int) bool { return c.before(q.calls[i]) })
}

// ahead returns how many waiting calls of the newcomer's kind, long or short, go
// before it.
func (q *queue) ahead(newcomer *call) int {
	n := 0
	for _, c := range q.calls[:q.position(newcomer)] {
		if c.long == newcomer.long {
			n++
		}
	}
	return n
}

func (q *queue) push(c *call) {
	c.state = queued
	c.org.queued++
	q.calls = slices.Insert(q.calls, q.position(c), c)
	if !c.long {
		q.short++
	}
}

func (q *queue) remove(i int) *call {
	c := q.calls[i]
	q.calls = slices.Delete(q.calls, i, i+1)
	c.org.queued--
	if !c.long {
		q.short--
	}
	return c
}

func (q *queue) removeCall(c *call) {
	if i := slices.Index(q.calls, c); i >= 0 {
		q.remove(i)
	}
}

// next returns the index of the call to run next, or -1: the first call of the
// organisation with the fewest running calls, among the calls that may run. Within a rank
// only those of the lowest level count: the organisations of higher levels, which use more
// of their limits, may have no call running here.
func (q *queue) next(canRun func(*call) bool) int {
	best := -1
	var lowest *call // of the current rank, the first that may run
	for i, c := range q.calls {
		if lowest != nil && c.rank == lowest.rank && c.level > lowest.level {
			continue
		}
		fewer := best < 0 || c.org.running < q.calls[best].org.running
		if !fewer && !c.long {
			// A short call may run wherever best may.
			lowest = c
		}
		if fewer && canRun(c) {
			best, lowest = i, c
			if c.org.running == 0 {
				break
			}
		}
	}
	return best
}

// displaceable returns the index of the call to refuse in favour of a newcomer, or
// -1. Among the calls of the newcomer's kind, long or short, it is the last one of
// the organisation with the most waiting calls, if that organisation has at least
// two more than the newcomer's. With a difference of one the two organisations
// would displace each other in turn. Calls of the newcomer's rank and a lower level are
// kept.
func (q *queue) displaceable(newcomer *call) int {
	best := -1
	for i, c := range q.calls {
		if c.long == newcomer.long && !c.goesFirst(newcomer) && (best < 0 || c.org.queued >= q.calls[best].org.queued) {
			best = i
		}
	}
	if best < 0 || q.calls[best].org.queued < newcomer.org.queued+2 {
		return -1
	}
	return best
}

// higherLevel returns the index of the call to refuse in favour of a newcomer of a lower
// level, or -1: the last one of the same rank whose removal gives the newcomer space.
func (q *queue) higherLevel(newcomer *call) int {
	for i := len(q.calls) - 1; i >= 0 && q.calls[i].rank >= newcomer.rank; i-- {
		if c := q.calls[i]; newcomer.goesFirst(c) && (c.long || !newcomer.long) {
			return i
		}
	}
	return -1
}

// outranked returns the index of the call to refuse in favour of a newcomer of a
// higher rank, or -1: the last one whose removal gives the newcomer space.
//
// Otherwise calls that can wait would fill the queue and an urgent one would be
// refused; if that is a nested call, its caller's work would be lost with it.
func (q *queue) outranked(newcomer *call) int {
	for i := len(q.calls) - 1; i >= 0 && q.calls[i].rank > newcomer.rank; i-- {
		if q.calls[i].long || !newcomer.long {
			return i
		}
	}
	return -1
}
