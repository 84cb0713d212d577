package token

import (
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// cacheTime is how long a node may hold a token before it expires.
	cacheTime = 200 * time.Millisecond
	// handoverTime bounds how long nodes of one domain may use two issuers side by side after
	// a change: those that found an issuer stopped avoid it for less, and members' lists agree
	// again within it.
	handoverTime = 500 * time.Millisecond
	// idleTime is after how long without a request a bucket may be out of use. It exceeds
	// maxRefusalHold, after which nodes of a busy organisation ask again.
	idleTime = 250 * time.Millisecond
	// silentTime is how long a new issuer issues nothing. After handoverTime no node uses its
	// predecessor any more, and after idleTime that one's bucket is given up.
	silentTime = handoverTime + idleTime
	// rateShare is the part of what a margin allows beyond the rate that adds to the rate; the
	// rest is for bursts.
	rateShare = 0.5
	// fallbackPart is the part of what a margin allows beyond the rate that nodes without an
	// issuer may use, all together.
	fallbackPart = 0.2
	// fallbackShare is the part of a limit without a margin that these nodes may use.
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
// buckets + fallback, for any number of restarts: a new issuer begins with no tokens and
// gets none for silentTime, and tokens of a bucket out of use are given up. So no two
// issuers of a domain fill a bucket at the same time, and only one has tokens from before
// the window. It needs handoverTime to hold.
type Plan struct {
	issuers        int     // domains in which the limit is issued
	rate, capacity float64 // of each issuer: tokens per second, and tokens
	fallback       float64 // of all nodes without an issuer: calls in a window, or a second without a margin
	window         time.Duration
	turn           turn
}

// turn is an issuer's position among those of its domain. The zero value is that of one
// that has always been the first.
type turn struct {
	since       time.Time
	replacement bool
}

// NewPlan returns the plan of a limit in a fleet with some failure domains. Without a
// margin the buckets hold the burst, but no less than a tenth of a second's calls.
func NewPlan(l snapshot.Limit, m Margin, domains int) Plan {
	domains = max(1, domains)
	rate, least := l.Rate(), l.Rate()*minBurstSeconds
	capacity := max(l.Burst(), least)
	p := Plan{window: m.Window}
	if m.Window > 0 {
		counted := (m.Window + cacheTime).Seconds()
		spare := max(0, m.Allowed(l, m.Window)-rate*counted)
		p.fallback = spare * fallbackPart
		spare -= p.fallback
		added := spare * rateShare / counted
		rate += added
		capacity = spare - added*counted
	}
	capacity = max(1, capacity)
	p.issuers = min(domains, max(1, int(capacity/minIssuerTokens)))
	p.rate, p.capacity = rate/float64(p.issuers), capacity/float64(p.issuers)
	if m.Window <= 0 {
		p.fallback = l.Rate() * fallbackShare
	}
	return p
}

// At returns the plan for an issuer whose position in its domain has been the same since a
// time, either the first or the replacement of one that others may still reach.
func (p Plan) At(since time.Time, replacement bool) Plan {
	p.turn = turn{since, replacement}
	return p
}

// fallbackRate returns the calls per second of each of some nodes without an issuer. Each
// may have one token from before a window, so there are none unless the sum allows those.
func (p Plan) fallbackRate(nodes int) float64 {
	n := float64(max(1, nodes))
	if p.window <= 0 {
		return p.fallback / n
	}
	return max(0, p.fallback-n) / p.window.Seconds() / n
}

// Issuers returns the number of domains in which the limit is issued.
func (p Plan) Issuers() int { return p.issuers }

// Capacity returns the number of whole tokens that each issuer can hold.
func (p Plan) Capacity() int { return int(p.capacity) }

// retryTimes spreads the retries of refused calls, as many a second as there are tokens.
type retryTimes struct{ last time.Time }

// MaxRetryAfter bounds the delay before a retry; the demand may have changed by then.
const MaxRetryAfter = 5 * time.Second

// next returns the delay before the retry of the next refused call, given the time until
// the next token and between two tokens.
func (t *retryTimes) next(now time.Time, first, step time.Duration) time.Duration {
	t.last = t.last.Add(step)
	if earliest := now.Add(first); t.last.Before(earliest) {
		t.last = earliest
	}
	if latest := now.Add(MaxRetryAfter); t.last.After(latest) {
		t.last = now.Add(first + (MaxRetryAfter-first)/2)
	}
	return max(time.Millisecond, t.last.Sub(now))
}
