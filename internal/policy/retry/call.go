package retry

import "time"

// Call is one call at the node that carries it, over all its attempts. It is
// not safe for concurrent use.
type Call struct {
	service    string
	deadline   time.Time
	idempotent bool
	retries    int
	depth      int
	carried    int
	expected   time.Duration

	attempts   int
	moves      int
	elsewhere  int // further targets that may be asked after refusals
	refusals   int // those that were
	mayHaveRun bool
	hedged     bool
}

// CallOption sets one property of a call. It is a value and no function, since
// a function would cost each call an allocation.
type CallOption struct {
	property property
	n        int64
}

type property uint8

const (
	idempotent property = iota + 1
	retries
	depth
	carried
	expected
	elsewhere
)

// Idempotent marks a call that may run more than once.
func Idempotent() CallOption { return CallOption{property: idempotent} }

// Retries sets how many further attempts the route allows.
func Retries(n int) CallOption { return CallOption{retries, int64(n)} }

// Depth sets how many calls led to this one: 0 for one from outside.
func Depth(n int) CallOption { return CallOption{depth, int64(max(0, n))} }

// Carried sets how many retries the calls that led to this one have had.
func Carried(n int) CallOption { return CallOption{carried, int64(max(0, n))} }

// Expected sets how long an attempt usually takes.
func Expected(d time.Duration) CallOption { return CallOption{expected, int64(d)} }

// Elsewhere sets how many further targets may be asked after refusals that
// certify that nothing was begun, beside the retries that the route allows.
func Elsewhere(n int) CallOption { return CallOption{elsewhere, int64(n)} }

// NewCall returns a call to a service that is worth nothing after deadline.
func NewCall(service string, deadline time.Time, opts ...CallOption) Call {
	c := Call{service: service, deadline: deadline}
	for _, opt := range opts {
		switch opt.property {
		case idempotent:
			c.idempotent = true
		case retries:
			c.retries = int(opt.n)
		case depth:
			c.depth = int(opt.n)
		case carried:
			c.carried = int(opt.n)
		case expected:
			c.expected = time.Duration(opt.n)
		case elsewhere:
			c.elsewhere = int(opt.n)
		}
	}
	return c
}

// Attempts returns how many attempts have ended.
func (c *Call) Attempts() int { return c.attempts }

// Refusals returns how many targets were asked besides because one had refused.
func (c *Call) Refusals() int { return c.refusals }

// Carries returns the number of retries to pass along with the next attempt.
func (c *Call) Carries() int {
	n := c.carried + c.attempts - c.moves - c.refusals
	if c.hedged && c.attempts == 0 {
		n++
	}
	return n
}

// Outcome says how an attempt ended that did not succeed.
type Outcome struct {
	kind       kind
	retryAfter time.Duration
}

type kind uint8

const (
	moved kind = iota + 1
	refused
	rejected
	nowhere
	broken
	erred
)

// String returns how the attempt ended, in one word.
func (o Outcome) String() string {
	switch o.kind {
	case moved:
		return "moved"
	case refused:
		return "refused"
	case rejected:
		return "rejected"
	case nowhere:
		return "nowhere"
	case broken:
		return "broken"
	default:
		return "erred"
	}
}

// Moved is an attempt at a target that is not there or leaves: certified not
// run, and no sign of load.
func Moved() Outcome { return Outcome{kind: moved} }

// Refused is an attempt that a target's node turned away before it reached the
// target: certified not run.
func Refused(retryAfter time.Duration) Outcome { return Outcome{refused, retryAfter} }

// Rejected is an attempt that the target itself turned away: certified not run, but
// one more arrival at a service that may have no room for it.
func Rejected(retryAfter time.Duration) Outcome { return Outcome{rejected, retryAfter} }

// Nowhere is an attempt for which there was no target to ask before a time.
func Nowhere(retryAfter time.Duration) Outcome { return Outcome{nowhere, retryAfter} }

// Broken is an attempt that was sent and got no whole answer: it may have run.
func Broken() Outcome { return Outcome{kind: broken} }

// Erred is an attempt whose answer says that the target failed.
func Erred() Outcome { return Outcome{kind: erred} }
