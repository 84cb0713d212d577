package token

import (
	"math"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// cacheTime is how long a node may hold a token before it expires.
	cacheTime = 200 * time.Millisecond
	// handoverTime is how long two issuers of one domain may both be in use, while nodes'
	// member lists differ.
	handoverTime = time.Second
	// replacements is how many issuers of a domain may follow one another in a window;
	// each begins with initial tokens.
	replacements = 2
	// rateShare is the part of what a margin allows beyond the rate that adds to the rate; the
	// rest is for bursts.
	rateShare = 0.5
	// initialPart is the part of its capacity with which a bucket begins.
	initialPart = 0.25
	// fallbackShare is the part of a limit that all nodes together may use while they can't
	// reach an issuer.
	fallbackShare = 0.5
	// minBurstSeconds is the least capacity of all buckets in seconds of the rate.
	minBurstSeconds = 0.1
	// minIssuerTokens is the least capacity of one issuer's bucket when the limit is split.
	minIssuerTokens = 2
)

// Margin is by how much an organisation's calls may exceed its limit: in each window they
// may number (rate x window + burst) x (1 + Ratio) + Calls. The zero value is no margin.
type Margin struct {
	Window time.Duration
	Ratio  float64
	Calls  float64
}

// Allowed returns how many calls a limit and margin allow in a window of length d.
func (m Margin) Allowed(l snapshot.Limit, d time.Duration) float64 {
	return (l.Rate()*d.Seconds()+l.Burst())*(1+m.Ratio) + m.Calls
}

// Plan is how the tokens of one limit are issued.
//
// The rate is that of the limit and a part of its margin: an organisation beyond its limit
// is served as much as the margin allows, and not only in bursts.
// In a window w the calls number at most rate x (w + cacheTime) + the capacity of all
// buckets + the initial tokens of each issuer that replaced another. The margin covers this
// for replacements of every issuer in a window. Two issuers of one domain that are in use
// for handoverTime add rate / domains x handoverTime, which the margin covers too unless
// it is smaller than the least capacity. Nodes without an issuer add fallbackShare x rate x
// w at most, all together.
type Plan struct {
	issuers                 int     // domains in which the limit is issued
	rate, capacity, initial float64 // of each issuer: tokens per second, and tokens
	fallbackRate            float64 // of all nodes without an issuer
}

// NewPlan returns the plan of a limit in a fleet with some failure domains. Without a
// margin the buckets hold the burst, but no less than a tenth of a second's calls.
func NewPlan(l snapshot.Limit, m Margin, domains int) Plan {
	domains = max(1, domains)
	rate, least := l.Rate(), l.Rate()*minBurstSeconds
	capacity := max(l.Burst(), least)
	if m.Window > 0 {
		// An issuer begins with initialPart of its capacity.
		const inUse = 1 + replacements*initialPart
		counted := (m.Window + cacheTime).Seconds()
		handover := handoverTime.Seconds() / float64(domains) // in seconds of the rate
		spare := m.Allowed(l, m.Window) - rate*counted
		if added := (spare - rate*handover) * rateShare / (counted + handover); added > 0 {
			rate += added
			spare -= added * counted
		}
		capacity = max((spare-rate*handover)/inUse, min(spare/inUse, least))
	}
	capacity = max(1, capacity)
	issuers := min(domains, max(1, int(capacity/minIssuerTokens)))
	p := Plan{issuers: issuers, rate: rate / float64(issuers), capacity: capacity / float64(issuers), fallbackRate: l.Rate() * fallbackShare}
	p.initial = p.capacity * initialPart
	return p
}

// Issuers returns the number of domains in which the limit is issued.
func (p Plan) Issuers() int { return p.issuers }

// InitialTokens returns the number of whole tokens with which each issuer begins.
func (p Plan) InitialTokens() int { return int(p.initial) }

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens += rate * d.Seconds()
	}
	// Set even if the clock moved back: otherwise nothing would be added until it had
	// caught up.
	b.refilledAt = now
	b.tokens = min(b.tokens, capacity)
}

// take takes up to n whole tokens and leaves reserve.
func (b *bucket) take(n int, reserve float64) int {
	// The tolerance is far above the rounding errors of refills.
	const tolerance = 1e-9
	taken := min(n, max(0, int(math.Floor(b.tokens-reserve+tolerance))))
	b.tokens -= float64(taken)
	return taken
}

// retryTimes spreads the retries of refused calls, as many a second as there are tokens.
type retryTimes struct{ last time.Time }

// maxRetryAfter bounds the delay before a retry; the demand may have changed by then.
const maxRetryAfter = 5 * time.Second

// next returns the delay before the retry of the next refused call, given the time until
// the next token and between two tokens.
func (t *retryTimes) next(now time.Time, first, step time.Duration) time.Duration {
	t.last = t.last.Add(step)
	if earliest := now.Add(first); t.last.Before(earliest) {
		t.last = earliest
	}
	if latest := now.Add(maxRetryAfter); t.last.After(latest) {
		t.last = now.Add(first + (maxRetryAfter-first)/2)
	}
	return max(time.Millisecond, t.last.Sub(now))
}
