package admission

import (
	"slices"
	"sort"
)

// queue holds the waiting calls of one class, by rank and then by due time.
type queue struct {
	calls []*call
	// short counts the calls that are not long.
	short int
}

// place returns where a call stands.
func (q *queue) place(c *call) int {
	return sort.Search(len(q.calls), func(i int) bool { return c.before(q.calls[i]) })
}

// ahead returns how many waiting calls of its length go before a call.
func (q *queue) ahead(newcomer *call) int {
	n := 0
	for _, c := range q.calls[:q.place(newcomer)] {
		if c.long == newcomer.long {
			n++
		}
	}
	return n
}

func (q *queue) push(c *call) {
	c.state = queued
	c.org.queued++
	q.calls = slices.Insert(q.calls, q.place(c), c)
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

// next returns the index of the call to run next among those that may: of the
// organisation with the fewest running calls, the first.
func (q *queue) next(may func(*call) bool) int {
	best := -1
	for i, c := range q.calls {
		if (best < 0 || c.org.running < q.calls[best].org.running) && may(c) {
			best = i
			if c.org.running == 0 {
				break
			}
		}
	}
	return best
}

// displaceable returns the index of the call that makes room for a newcomer of
// the same length: the last one of the organisation with the most
// waiting, if that is at least two more than the newcomer's has, else -1. With
// a difference of one the two would take turns in displacing each other.
func (q *queue) displaceable(newcomer *call) int {
	best := -1
	for i, c := range q.calls {
		if c.long == newcomer.long && (best < 0 || c.org.queued >= q.calls[best].org.queued) {
			best = i
		}
	}
	if best < 0 || q.calls[best].org.queued < newcomer.org.queued+2 {
		return -1
	}
	return best
}

// outranked returns the index of the call that makes room for a newcomer of a
// higher rank, the last of those whose leaving does, or -1.
//
// Without it an urgent call would be refused beside a full queue of others that
// may wait. Where it is part of a call that runs elsewhere, all of that is lost.
func (q *queue) outranked(newcomer *call) int {
	for i := len(q.calls) - 1; i >= 0 && q.calls[i].rank > newcomer.rank; i-- {
		if q.calls[i].long || !newcomer.long {
			return i
		}
	}
	return -1
}
