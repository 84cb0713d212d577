package admission

import (
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Request is a call that asks to run on the target.
type Request struct {
	org          string
	class        snapshot.Class
	route        string
	deadline     time.Time
	softDeadline time.Time
	rank         int
	level        int
}

// RequestOption sets one property of a request. It is a struct because a closure
// would cost each call an allocation.
type RequestOption struct {
	softDeadline time.Time
	rank         int
	level        int
}

// SoftDeadline sets the soft deadline, after which the answer has lost most of its
// value to the caller. A call normally waits only while it is expected to end by
// then. Of calls of one rank, those that can meet their soft deadline run first.
func SoftDeadline(t time.Time) RequestOption { return RequestOption{softDeadline: t} }

// Rank sets the call's priority within its class: 0 is the highest.
func Rank(n int) RequestOption { return RequestOption{rank: n} }

// Level sets which part of its limit the organisation uses: of calls of one rank, those of
// a lower level go first.
func Level(n int) RequestOption { return RequestOption{level: n} }

// NewRequest returns a request by an organisation of a class, on a route whose
// calls take about equally long. The soft deadline is the deadline unless
// SoftDeadline sets an earlier one.
func NewRequest(org string, class snapshot.Class, route string, deadline time.Time, opts ...RequestOption) Request {
	r := Request{org: org, class: class, route: route, deadline: deadline, softDeadline: deadline}
	for _, opt := range opts {
		if !opt.softDeadline.IsZero() && opt.softDeadline.Before(deadline) {
			r.softDeadline = opt.softDeadline
		}
		r.rank += opt.rank
		r.level += opt.level
	}
	return r
}

// Ticket identifies one call from Enter to Leave; it is comparable.
type Ticket struct {
	c   *call
	gen uint32
}

// Outcome says how a call ended.
type Outcome uint8

// The ways a call can end.
const (
	// Done is a call that the target answered, with any status.
	Done Outcome = iota + 1
	// Failed is a call that broke off or timed out after it began.
	Failed
	// Cancelled is a call whose caller disconnected or cancelled it, waiting or
	// running.
	Cancelled
	// Rejected is a call that the target itself rejected, which may mean that it has
	// fewer slots than declared.
	Rejected
)

// call is the gate's record of one ticket. Records are reused; gen detects a Leave
// with the ticket of an earlier use.
type call struct {
	gen          uint32
	state        callState
	class        snapshot.Class
	long         bool
	org          *org
	stats        *routeStats
	start        int64
	concurrency  int // running calls when it began, itself included
	deadline     int64
	softDeadline int64
	rank         int
	level        int
	late         bool // not expected to end by its soft deadline
	latestStart  int64
}

// before reports whether c goes before other in their queue: by rank, then by
// level, then calls that can still meet their soft deadline, then the earlier soft
// deadline. Rank comes first, since otherwise a flood of calls with early soft
// deadlines would delay higher-ranked calls until these can no longer end in time.
func (c *call) before(other *call) bool {
	switch {
	case c.rank != other.rank:
		return c.rank < other.rank
	case c.level != other.level:
		return c.level < other.level
	case c.late != other.late:
		return other.late
	default:
		return c.softDeadline < other.softDeadline
	}
}

// goesFirst reports whether c is of the rank of other and of a lower level.
func (c *call) goesFirst(other *call) bool { return c.rank == other.rank && c.level < other.level }

type callState uint8

const (
	idle callState = iota
	queued
	running
)

func (c *call) ticket() Ticket { return Ticket{c: c, gen: c.gen} }
