package event

import (
	"sync"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/policy/bucket"
)

const (
	// linesPerSecond and linesBurst limit the lines of each event.
	linesPerSecond = 50
	linesBurst     = 200
	// callEndsPerSecond and callEndsBurst limit the events that report how a call ended
	// without a response. They are higher, since operators search for these events by
	// the call's id.
	callEndsPerSecond = 300
	callEndsBurst     = 2000
)

// limits returns the rate limit of an event.
func limits(c Code) (perSecond, burst float64) {
	if c == CallFailed || c == CallerDisconnected {
		return callEndsPerSecond, callEndsBurst
	}
	return linesPerSecond, linesBurst
}

// RateLimiter has a token bucket for each event code and counts the lines that it
// omits. It is safe for concurrent use.
type RateLimiter struct {
	clk *timer.Service

	mu      sync.Mutex
	buckets map[Code]*counted
}

// counted is the bucket of an event code, and how many lines were omitted for lack of tokens.
type counted struct {
	bucket.Bucket
	omitted uint64
}

// NewRateLimiter returns a rate limiter with full buckets.
func NewRateLimiter(clk *timer.Service) *RateLimiter {
	return &RateLimiter{clk: clk, buckets: map[Code]*counted{}}
}

// allow reports whether an event may be written, and how many of its code were omitted
// since the last one that was written. A nil rate limiter allows all.
func (r *RateLimiter) allow(c Code) (omitted uint64, ok bool) {
	if r == nil {
		return 0, true
	}
	now := r.clk.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond, burst := limits(c)
	bkt := r.buckets[c]
	if bkt == nil {
		bkt = &counted{}
		r.buckets[c] = bkt
	}
	bkt.Refill(now, perSecond, burst)
	if !bkt.Take() {
		bkt.omitted++
		return 0, false
	}
	omitted, bkt.omitted = bkt.omitted, 0
	return omitted, true
}
