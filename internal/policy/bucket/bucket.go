package bucket

import (
	"math"
	"time"
)

// tolerance is far above the rounding errors of refills.
const tolerance = 1e-9

// Bucket is a token bucket. It is not safe for concurrent use. The zero value is full
// at its first refill.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a bucket with some tokens that is refilled from a time on.
func New(tokens float64, from time.Time) Bucket { return Bucket{tokens, from} }

// Tokens returns the tokens after the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Refill adds the tokens for the time since the last refill, at a rate per second. The
// rate and the capacity may be infinite.
func (b *Bucket) Refill(now time.Time, rate, capacity float64) {
	// refilledAt is set even if the clock moved back: otherwise nothing would be added until
	// it had caught up.
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens += rate * d.Seconds()
	}
	b.refilledAt = now
	if math.IsInf(rate, 1) {
		b.tokens = capacity
	}
	b.tokens = min(b.tokens, capacity)
}

// Add adds tokens up to the capacity.
func (b *Bucket) Add(tokens, capacity float64) { b.tokens = min(b.tokens+tokens, capacity) }

// Take takes a token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < 1-tolerance {
		return false
	}
	b.tokens--
	return true
}

// TakeUpTo takes up to n tokens, leaves reserve, and returns how many it took.
func (b *Bucket) TakeUpTo(n int, reserve float64) int {
	spare := math.Floor(b.tokens - reserve + tolerance)
	taken := int(max(0, min(float64(n), spare)))
	b.tokens -= float64(taken)
	return taken
}

// Missing returns the part of the next token that is missing, 0 if there is one.
func (b *Bucket) Missing() float64 { return max(0, 1-b.tokens) }
