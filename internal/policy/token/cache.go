package token

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/bucket"
)

const (
	// prefetchTime is for how much of a node's demand tokens are taken at once.
	prefetchTime = 100 * time.Millisecond
	// maxRefusalHold is how long a node refuses calls by itself after its issuer had no
	// tokens, so that an organisation far beyond its limit costs few messages.
	maxRefusalHold = 200 * time.Millisecond
	// withoutIssuerRetry is when a caller may retry at a node that has no issuer and may not
	// use tokens of its own.
	withoutIssuerRetry = time.Second
)

// Decision is the result of Cache.Take: Granted, Fetch or Refused.
type Decision interface{ isDecision() }

// Granted admits the call with a token of the node.
type Granted struct{}

// Fetch asks the caller to take tokens from the issuer and then to try again.
type Fetch struct{ Tokens int }

// Refused refuses the call, which may be retried after a delay.
type Refused struct{ RetryAfter time.Duration }

func (Granted) isDecision() {}
func (Fetch) isDecision()   {}
func (Refused) isDecision() {}

// Cache holds a node's tokens. It is safe for concurrent use.
type Cache struct {
	shards [shards]struct {
		mu   sync.Mutex
		orgs map[string]*cached
	}
}

// cached is one organisation's state at a node.
type cached struct {
	tokens  int
	fetched time.Time // when the oldest of the tokens came
	expires time.Time
	waiting int // calls that wait for tokens to be fetched

	demand      demand // of calls
	refuseUntil time.Time
	retryAt     time.Time // when the issuer has the next token
	retries     retryTimes

	level nodeLevel

	// fallback has tokens of the node's own from fallbackFrom on, while no issuer answers.
	fallback     bucket.Bucket
	fallbackFrom time.Time
}

// NewCache returns a cache without tokens.
func NewCache() *Cache {
	c := &Cache{}
	for i := range c.shards {
		c.shards[i].orgs = map[string]*cached{}
	}
	return c
}

// Take takes a token for a new call. After Fetch, the call counts as waiting until Retake
// or TakeWithoutIssuer decides about it.
func (c *Cache) Take(now time.Time, l snapshot.Limit, p Plan) (d Decision) {
	c.with(now, l, func(o *cached) {
		o.demand.add(now, 1)
		o.waiting++
		d = o.take(now, p)
	})
	return d
}

// Retake takes a token for a call after tokens were fetched for it.
func (c *Cache) Retake(now time.Time, l snapshot.Limit, p Plan) (d Decision) {
	c.with(now, l, func(o *cached) { d = o.take(now, p) })
	return d
}

// take decides about a waiting call.
func (o *cached) take(now time.Time, p Plan) Decision {
	switch {
	case o.tokens > 0 && now.Before(o.expires):
		o.tokens--
		o.waiting--
		return Granted{}
	case now.Before(o.refuseUntil):
		o.waiting--
		return Refused{RetryAfter: o.retries.next(now, o.retryAt.Sub(now), time.Duration(float64(time.Second)/p.rate))}
	default:
		return Fetch{Tokens: max(1, o.waiting+int(o.demand.rate*prefetchTime.Seconds()))}
	}
}

// Fetched records the issuer's answer to a request sent at sentAt.
func (c *Cache) Fetched(sentAt, now time.Time, l snapshot.Limit, tokens int, retryAfter time.Duration) {
	c.with(now, l, func(o *cached) {
		o.fallbackFrom = time.Time{}
		if !now.Before(o.expires) {
			o.tokens = 0
		}
		if tokens > 0 {
			// The issuer may have counted them from any time after the request was sent.
			// Tokens left of an earlier request must not last longer for it.
			if o.tokens == 0 {
				o.fetched, o.expires = now, sentAt.Add(cacheTime)
			}
			o.tokens += tokens
		}
		if retryAfter > 0 {
			o.retryAt = now.Add(retryAfter)
			o.refuseUntil = now.Add(min(retryAfter, maxRefusalHold))
		}
	})
}

// TakeWithoutIssuer takes a token of the node's own while no issuer answers, as one of some
// nodes that may be in the same position.
func (c *Cache) TakeWithoutIssuer(now time.Time, l snapshot.Limit, p Plan, nodes int) (d Decision) {
	c.with(now, l, func(o *cached) {
		o.waiting--
		rate := p.fallbackRate(nodes)
		if rate == 0 {
			d = Refused{RetryAfter: o.retries.next(now, withoutIssuerRetry, time.Millisecond)}
			return
		}
		if o.fallbackFrom.IsZero() {
			o.fallbackFrom = now.Add(cacheTime) // tokens of issuers have expired then
			o.fallback = bucket.New(0, o.fallbackFrom)
		}
		if now.After(o.fallbackFrom) {
			o.fallback.Refill(now, rate, 1)
		}
		if o.fallback.Take() {
			d = Granted{}
			return
		}
		until := time.Duration(o.fallback.Missing() / rate * float64(time.Second))
		d = Refused{RetryAfter: o.retries.next(now, min(until, MaxRetryAfter), time.Duration(float64(time.Second)/rate))}
	})
	return d
}

// Forget ends the wait of a call that got no decision.
func (c *Cache) Forget(now time.Time, l snapshot.Limit) {
	c.with(now, l, func(o *cached) { o.waiting-- })
}

// Return gives back the token that a call took at a time, as it certainly was not run. A token
// of an earlier request must not last as long as later ones.
func (c *Cache) Return(takenAt, now time.Time, l snapshot.Limit) {
	c.with(now, l, func(o *cached) {
		if now.Before(o.expires) && !takenAt.Before(o.fetched) {
			o.tokens++
		}
	})
}

func (c *Cache) with(now time.Time, l snapshot.Limit, f func(*cached)) {
	s := &c.shards[xxh3.HashString(l.Organisation())%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orgs[l.Organisation()]
	if o == nil {
		o = &cached{demand: demand{at: now}}
		s.orgs[l.Organisation()] = o
	}
	f(o)
}
