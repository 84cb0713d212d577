package admission

import (
	"math"
	"time"
)

const (
	// proofLeast and proofServices are for how long a call that the target took
	// speaks for its room: this long, or this many service times. Counted from
	// when it began, the proof of a call that takes a second has to outlast it.
	proofLeast    = time.Second
	proofServices = 3
	// leastIll is the part of its calls that a target which seems well is taken to
	// turn away whatever runs beside them.
	leastIll = 0.04
	// doubt is how likely rejections in a row may be for a target that has room
	// before it counts as full.
	doubt = 0.05
	// newestRejection is the weight of the newest call in the part turned away.
	newestRejection = 1.0 / 16
	// retryAfterCut is how long a target that was full keeps its fewer slots, and
	// growEvery how long each further one is tried for. A target states its slots,
	// so that fewer are the exception: a dozen are back within a second.
	retryAfterCut = 400 * time.Millisecond
	growEvery     = 50 * time.Millisecond
)

// room is how many calls the target is let run at once. That is what it states,
// unless it turns calls away beside as many as it has not taken lately.
//
// A target that is ill turns away part of its calls whatever runs beside them. If
// each rejection lowered the slots, the gate would end at one slot, refuse what the
// target still takes, and hold the fault up past its cause by the calls that come
// back. So a rejection counts only above what the target takes, and only if
// rejections in a row there can't be chance.
type room struct {
	stated int
	open   int
	// proven is the call that the target took beside the most others lately.
	proven struct {
		level int
		began int64
	}
	// ill is the part of the calls that were turned away at levels that the target
	// has been seen to take.
	ill float64
	// above counts the rejections in a row above them.
	above  int
	growAt int64
}

// state sets how many slots the target says that it has.
func (r *room) state(n int) {
	if r.stated != n {
		*r = room{stated: n, open: n, ill: leastIll}
	}
}

// grow lets one call more run where all slots are in use, some time after the
// target turned one away for want of room.
func (r *room) grow(at int64) {
	if r.open < r.stated && at >= r.growAt {
		r.open++
		r.growAt = at + int64(growEvery)
	}
}

// took takes in a call that the target has served.
func (r *room) took(c *call, service float64) {
	if c.level <= r.level(c.start, service) {
		r.ill -= newestRejection * (r.ill - leastIll)
	}
	if c.level >= r.level(c.start, service) {
		r.proven.level, r.proven.began = c.level, c.start
		r.above = 0
	}
}

// turnedAway takes in a call that the target has rejected.
func (r *room) turnedAway(at int64, c *call, service float64) {
	level := r.level(c.start, service)
	if c.level <= level {
		r.ill += newestRejection * (1 - r.ill)
		return
	}
	if c.level > r.open {
		return // began before the last cut, which was for its like
	}
	r.above++
	if c.level > 1 && math.Pow(r.ill, float64(r.above)) < doubt {
		r.open = max(level, c.level-1)
		r.above, r.growAt = 0, at+int64(retryAfterCut)
	}
}

// level returns how many calls at once the target has been seen to take by one
// that began lately.
func (r *room) level(start int64, service float64) int {
	if start-r.proven.began > max(int64(proofLeast), int64(proofServices*service)) {
		return 0
	}
	return r.proven.level
}
