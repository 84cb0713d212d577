package token

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/bucket"
)

const (
	// reserveTime is how much of its own demand an issuer keeps when it lends tokens, and
	// for how much of its unmet demand it borrows.
	reserveTime = 250 * time.Millisecond
	// borrowPause is the pause after other issuers had no tokens to lend.
	borrowPause = 250 * time.Millisecond

	shards = 16
)

// Issuer issues the tokens of the organisations whose buckets a node holds for its failure
// domain. It is safe for concurrent use.
type Issuer struct {
	startedAt time.Time
	typical   atomic.Uint64 // the typical part of a limit in use, as bits of a float64
	shards    [shards]issuerShard
}

type issuerShard struct {
	mu      sync.Mutex
	buckets map[string]*issued
}

// bucketOf returns the bucket of an organisation. The caller must hold the lock.
func (s *issuerShard) bucketOf(now time.Time, organisation string) *issued {
	b := s.buckets[organisation]
	if b == nil {
		b = &issued{demand: demand{at: now}}
		s.buckets[organisation] = b
	}
	return b
}

// issued is the bucket of one organisation and the demand for its tokens.
type issued struct {
	bucket.Bucket
	demand      demand // for tokens
	usage       usage
	noLendersAt time.Time
	askedAt     time.Time
	readyAt     time.Time // when the bucket begins to be filled
}

// NewIssuer returns an issuer without buckets, of a process that starts now.
func NewIssuer(now time.Time) *Issuer {
	s := &Issuer{startedAt: now}
	for i := range s.shards {
		s.shards[i].buckets = map[string]*issued{}
	}
	return s
}

// Issue is what an issuer answers to a request for tokens.
type Issue struct {
	// Tokens is the number of tokens issued, and Borrow how many could be taken from other
	// issuers at once because the bucket is empty.
	Tokens, Borrow int
	// RetryAfter is the time until a further request may get a token if fewer were issued
	// than requested.
	RetryAfter time.Duration
}

// Take issues up to n tokens to a node.
func (s *Issuer) Take(now time.Time, l snapshot.Limit, p Plan, n int) Issue {
	return s.withBucket(now, l, p, func(b *issued) Issue {
		b.demand.add(now, n)
		out := Issue{Tokens: b.TakeUpTo(n, 0)}
		if out.Tokens < n {
			// Each token has several takers if the demand exceeds the rate.
			next := max(0, b.readyAt.Sub(now).Seconds()) + b.Missing()/p.rate*max(1, b.demand.rate/p.rate)
			out.RetryAfter = time.Duration(min(MaxRetryAfter.Seconds(), next) * float64(time.Second))
			if p.issuers > 1 && now.Sub(b.noLendersAt) >= borrowPause {
				missing := float64(n-out.Tokens) + max(0, b.demand.rate-p.rate)*reserveTime.Seconds()
				out.Borrow = int(math.Ceil(min(missing, p.capacity-b.Tokens())))
			}
		}
		return out
	})
}

// Lend issues up to n tokens to the issuer of another domain. It keeps what its own demand
// needs at present.
func (s *Issuer) Lend(now time.Time, l snapshot.Limit, p Plan, n int) Issue {
	return s.withBucket(now, l, p, func(b *issued) Issue {
		b.demand.add(now, 0)
		return Issue{Tokens: b.TakeUpTo(n, b.demand.rate*reserveTime.Seconds())}
	})
}

// Borrowed adds tokens that another issuer has lent; with none, no others are asked for
// some time.
func (s *Issuer) Borrowed(now time.Time, l snapshot.Limit, p Plan, n int) {
	s.withBucket(now, l, p, func(b *issued) Issue {
		if n == 0 {
			b.noLendersAt = now
		}
		b.Add(float64(n), p.capacity)
		return Issue{}
	})
}

func (s *Issuer) withBucket(now time.Time, l snapshot.Limit, p Plan, f func(*issued) Issue) Issue {
	shard := &s.shards[xxh3.HashString(l.Organisation())%shards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b := shard.bucketOf(now, l.Organisation())
	s.begin(b, now, p.turn)
	b.askedAt = now
	if !now.Before(b.readyAt) {
		b.Refill(now, p.rate, p.capacity)
	}
	return f(b)
}

// withUsage calls f with the usage of an organisation. It doesn't count as a request for
// tokens: a bucket that nobody asks must be given up.
func (s *Issuer) withUsage(now time.Time, organisation string, f func(*usage)) {
	shard := &s.shards[xxh3.HashString(organisation)%shards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f(&shard.bucketOf(now, organisation).usage)
}

// begin gives up the tokens of a bucket that may have been out of use, as another issuer may
// have been asked meanwhile. The first issuer of a domain keeps the bucket of an organisation
// that calls rarely: nobody else issues while the members stay the same.
func (s *Issuer) begin(b *issued, now time.Time, t turn) {
	since := s.startedAt
	if t.since.After(since) {
		since = t.since
	}
	switch {
	case t.replacement && now.Sub(b.askedAt) > idleTime:
		since = now
	case b.askedAt.IsZero() || since.Sub(b.askedAt) > idleTime:
	case b.readyAt.Sub(now) > silentTime: // the clock moved back
		since = now
	default:
		return
	}
	b.readyAt = since.Add(silentTime)
	b.Bucket = bucket.New(0, b.readyAt)
}
