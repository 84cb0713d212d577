package retry

import "time"

// Call is one call at the caller's node, over all its attempts. It is not safe for
// concurrent use.
type Call struct {
	service      string
	deadline     time.Time
	idempotent   bool
	retries      int
	depth        int
	priorRetries int
	expected     time.Duration

	attempts           int
	targetsGone        int
	refusalRetries     int
	refusalRetriesUsed int
	mayHaveRun         bool
	hedged             bool
}

// CallOption sets one property of a call. It is a value, not a function, to save an
// allocation for each call.
type CallOption struct {
	property property
	n        int64
}

type property uint8

const (
	idempotent property = iota + 1
	retries
	depth
	priorRetries
	expected
	refusalRetries
)

// Idempotent marks a call that may run more than once.
func Idempotent() CallOption { return CallOption{property: idempotent} }

// Retries sets how many further attempts the route allows.
func Retries(n int) CallOption { return CallOption{retries, int64(n)} }

// Depth sets how many calls led to this one: 0 for a call from outside.
func Depth(n int) CallOption { return CallOption{depth, int64(max(0, n))} }

// PriorRetries sets how many retries the calls that led to this one have had in all.
func PriorRetries(n int) CallOption { return CallOption{priorRetries, int64(max(0, n))} }

// ExpectedLatency sets how long an attempt usually takes: no retry starts that would
// end after the deadline.
func ExpectedLatency(d time.Duration) CallOption { return CallOption{expected, int64(d)} }

// RefusalRetries sets how many further targets may be tried after refusals that
// certify that nothing ran, in addition to the retries that the route allows.
func RefusalRetries(n int) CallOption { return CallOption{refusalRetries, int64(n)} }

// NewCall returns a call to a service.
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
		case priorRetries:
			c.priorRetries = int(opt.n)
		case expected:
			c.expected = time.Duration(opt.n)
		case refusalRetries:
			c.refusalRetries = int(opt.n)
		}
	}
	return c
}

// Attempts returns how many attempts have ended.
func (c *Call) Attempts() int { return c.attempts }

// RefusalRetriesUsed returns how many retries have been counted against
// RefusalRetries.
func (c *Call) RefusalRetriesUsed() int { return c.refusalRetriesUsed }

// PathRetries returns the number of retries on the path of calls so far, which the
// next attempt passes on to the target.
func (c *Call) PathRetries() int {
	n := c.priorRetries + c.attempts - c.targetsGone - c.refusalRetriesUsed
	if c.hedged && c.attempts == 0 {
		n++
	}
	return n
}

// Outcome is how a failed attempt ended.
type Outcome struct {
	kind       kind
	retryAfter time.Duration
}

type kind uint8

const (
	targetGone kind = iota + 1
	refused
	rejected
	noTarget
	incomplete
	errorResponse
	overloaded
)

// String returns the outcome as metrics show it.
func (o Outcome) String() string {
	switch o.kind {
	case targetGone:
		return "moved"
	case refused:
		return "refused"
	case rejected:
		return "rejected"
	case overloaded:
		return "overloaded"
	case noTarget:
		return "nowhere"
	case incomplete:
		return "broken"
	default:
		return "erred"
	}
}

// TargetGone is an attempt at a target that is gone or draining: certified not run,
// and no sign of load.
func TargetGone() Outcome { return Outcome{kind: targetGone} }

// Overloaded is an attempt that a node short of processor time has refused: certified not
// run, and no sign of load at the targets. It counts as a target that is gone.
func Overloaded(retryAfter time.Duration) Outcome { return Outcome{overloaded, retryAfter} }

// Refused is an attempt that the target's node refused before it reached the target:
// certified not run.
func Refused(retryAfter time.Duration) Outcome { return Outcome{refused, retryAfter} }

// Rejected is an attempt that the target itself rejected: certified not run, but one
// more request to a service that may be at capacity.
func Rejected(retryAfter time.Duration) Outcome { return Outcome{rejected, retryAfter} }

// NoTarget is an attempt for which no target may be picked before retryAfter.
func NoTarget(retryAfter time.Duration) Outcome { return Outcome{noTarget, retryAfter} }

// Incomplete is an attempt that was sent and got no complete response: it may have
// run.
func Incomplete() Outcome { return Outcome{kind: incomplete} }

// ErrorResponse is an attempt whose response reports an error of the target.
func ErrorResponse() Outcome { return Outcome{kind: errorResponse} }
