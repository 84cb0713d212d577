package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// repeatRatio is the fraction of calls from outside that may be repeated after
	// they may have run. It halves with each level below, as a repeat near the top
	// covers failures at any level below it.
	repeatRatio = 0.06
	// minRepeatRatio is the lower bound of the halving, so that a level that fails
	// one call in a hundred can repair that itself. Over eleven levels of equal
	// work, repeats cost at most 0.132 of the work offered: the sum of each level's
	// ratio times the number of levels that it repeats, divided by eleven.
	minRepeatRatio = 0.01
	// refusedRatio is the fraction of calls that may try another target after a node
	// has refused them. Such an attempt reaches no target; the ratio bounds the
	// further refusals by a saturated pool.
	refusedRatio = 0.05
	// rejectedRatio is the fraction of calls that may try another target after one
	// has rejected them itself. A rejected attempt makes no calls of its own, so
	// these don't multiply, and 1.132 times 1.05 stays below 1.2.
	rejectedRatio = 0.05
	// maxTokens is the capacity of a token bucket: enough for the calls that fail
	// together with a target, too few to load the other targets.
	maxTokens = 10
	// initialTokens is low, so that many nodes that start together don't cause a
	// burst of retries.
	initialTokens = 1
	// maxTargetsGone bounds the targets that a call may find gone or overloaded. The loss of a rack takes
	// some targets of a pool; three misses in a row are rare while most of the pool is there.
	maxTargetsGone = 3
	// maxPathRetries bounds the retries on a path of calls: after so many, the fault
	// is unlikely to be transient.
	maxPathRetries = 3
	// maxDelay bounds a wait between attempts, as a waiting call holds a connection
	// and memory. For a longer wait the caller gets a Retry-After.
	maxDelay = 100 * time.Millisecond
	// baseDelay is the first delay of the exponential backoff after an attempt that
	// was cut off.
	baseDelay = 5 * time.Millisecond
	// defaultRetryAfter is used if no target gave a time. The load or fault that used up the
	// budget seldom ends sooner.
	defaultRetryAfter = time.Second

	shards = 64
)

// Budgets decides about retries and holds one node's retry budget of each service.
type Budgets struct {
	shards [shards]shard
	// refusedRatio is the fraction of calls that may try another target after a
	// refusal.
	refusedRatio float64
	bounds       func() Bounds
}

type shard struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*budget
	bounds   func() Bounds
}

// budget holds a service's token buckets, with one token for each further attempt,
// and the estimate of its latency at hedgeQuantile, in nanoseconds.
type budget struct{ repeats, rejected, refused, tailLatency float64 }

// Option sets one property of budgets.
type Option func(*Budgets)

// RefusedRatio sets the fraction of calls, from 0 to 1, that may try another target
// after a refusal.
func RefusedRatio(ratio float64) Option { return func(b *Budgets) { b.refusedRatio = ratio } }

// Bounds limits the attempts that reach targets in addition to the first one of a call.
type Bounds struct {
	// RepeatRatio is the fraction, from 0 to 1, of a service's calls from outside that
	// may be repeated after they may have run; RejectedRatio is the fraction of all its
	// calls that may go to another target after one has rejected them.
	RepeatRatio, RejectedRatio float64
	// MaxTokens is the capacity of each of the two buckets that these ratios fill. It may be
	// below 1 where many nodes share few tokens.
	MaxTokens float64
}

// WithBounds sets the function that returns the bounds. Where a platform bounds the
// repeats of all nodes together, each node's part depends on the number of nodes.
func WithBounds(f func() Bounds) Option { return func(b *Budgets) { b.bounds = f } }

// NewBudgets returns budgets that draw the jitter from rng.
func NewBudgets(rng *rand.Rand, opts ...Option) *Budgets {
	b := &Budgets{refusedRatio: refusedRatio, bounds: func() Bounds { return Bounds{repeatRatio, rejectedRatio, maxTokens} }}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i].rng = rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		b.shards[i].services, b.shards[i].bounds = map[string]*budget{}, b.bounds
	}
	return b
}

// FirstAttempt counts the first attempt of a call, which adds fractions of tokens to
// the service's buckets.
func (b *Budgets) FirstAttempt(c *Call) {
	s := b.shard(c.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	bounds := b.bounds()
	budget := s.budget(c.service)
	budget.repeats = save(budget.repeats, ratioAtDepth(bounds.RepeatRatio, c.depth), bounds.MaxTokens)
	budget.rejected = save(budget.rejected, bounds.RejectedRatio, bounds.MaxTokens)
	budget.refused = save(budget.refused, b.refusedRatio, maxTokens)
}

// save adds earned tokens to those of a bucket. With a capacity below one token, a whole
// token lapses after a time, so that the bucket has one for that part of the time on
// average: many nodes together then hold no more than the sum of their capacities.
func save(tokens, earned, capacity float64) float64 {
	if capacity >= 1 {
		return min(capacity, tokens+earned)
	}
	// A token serves one call at least.
	if lapses := 1 + capacity; tokens >= 1 && tokens+earned >= lapses {
		tokens -= lapses
	}
	return tokens + earned
}

// Remaining returns the tokens that all services together hold: those for repeats, and
// those for further targets after refusals.
func (b *Budgets) Remaining() (repeats, refused float64) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, budget := range s.services {
			repeats += budget.repeats
			refused += budget.refused
		}
		s.mu.Unlock()
	}
	return repeats, refused
}

// ratioAtDepth returns the ratio halved for each level, down to minRepeatRatio.
func ratioAtDepth(ratio float64, depth int) float64 {
	return max(min(ratio, minRepeatRatio), math.Ldexp(ratio, -depth))
}

// After decides whether a failed attempt is retried. While another attempt of a
// hedged call is running, the caller must wait for it before calling After.
func (b *Budgets) After(now time.Time, c *Call, o Outcome) Decision {
	c.attempts++
	c.mayHaveRun = c.mayHaveRun || o.kind == incomplete || o.kind == errorResponse
	s := b.shard(c.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	after, ok := s.next(c, o)
	if !ok || now.Add(after+c.expected).After(c.deadline) || !s.spend(c, o) {
		return s.giveUp(c, o)
	}
	return Retry{after}
}

// next returns the delay before another attempt, if the call's own state allows one.
func (s *shard) next(c *Call, o Outcome) (time.Duration, bool) {
	if c.mayHaveRun && !c.idempotent {
		return 0, false
	}
	if o.kind == targetGone || o.kind == overloaded {
		c.targetsGone++
		return 0, c.targetsGone <= maxTargetsGone
	}
	if (o.kind == refused || o.kind == rejected) && c.refusalRetriesUsed < c.refusalRetries {
		c.refusalRetriesUsed++
		return 0, true
	}
	if c.attempts-c.targetsGone-c.refusalRetriesUsed > c.retries || c.PathRetries() > maxPathRetries {
		return 0, false
	}
	switch o.kind {
	case refused, rejected:
		// The next attempt goes to another target, so no delay is needed.
		return 0, true
	case noTarget:
		after := s.jitter(o.retryAfter)
		return after, after <= maxDelay
	case incomplete, errorResponse:
		// A call that is part of a retry further up is not repeated here:
		// one level repeats at a time.
		return s.jitter(min(maxDelay/2, baseDelay<<min(c.attempts-1, 10))), c.priorRetries == 0
	default:
		return 0, false
	}
}

// spend takes a token from the service's budget and reports whether there was one.
// After a target that is gone none is needed, as that attempt added no load.
func (s *shard) spend(c *Call, o Outcome) bool {
	budget := s.budget(c.service)
	switch o.kind {
	case targetGone, overloaded:
		return true
	case refused, noTarget:
		return spendToken(&budget.refused)
	case rejected:
		return spendToken(&budget.rejected)
	default:
		return spendToken(&budget.repeats)
	}
}

func spendToken(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

func (s *shard) giveUp(c *Call, o Outcome) GiveUp {
	g := GiveUp{answer: NotRun, retryAfter: o.retryAfter}
	switch {
	case o.kind == errorResponse:
		g.answer = TargetFailed
	case c.mayHaveRun:
		g.answer = Unknown
	}
	if g.retryAfter <= 0 {
		g.retryAfter = s.jitter(defaultRetryAfter)
	}
	if g.answer != NotRun && !c.idempotent {
		g.retryAfter = 0
	}
	return g
}

// jitter returns a random duration between d and 1.5 d, so that calls that failed
// together are not retried together.
func (s *shard) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Float64()*float64(d)/2)
}

// budget returns a service's budget. With a capacity below one token, nodes begin at
// different points between two tokens.
func (s *shard) budget(service string) *budget {
	b := s.services[service]
	if b == nil {
		b = &budget{repeats: initialTokens, rejected: initialTokens, refused: initialTokens}
		if capacity := s.bounds().MaxTokens; capacity < 1 {
			b.repeats, b.rejected = s.rng.Float64()*(1+capacity), s.rng.Float64()*(1+capacity)
		}
		s.services[service] = b
	}
	return b
}

func (b *Budgets) shard(service string) *shard { return &b.shards[xxh3.HashString(service)%shards] }
