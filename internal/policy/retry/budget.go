package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// repeatShare is the part of the calls from outside that may be repeated
	// after they may have run. It halves with each level below, since a repeat
	// near the top repeats the most and covers what fails anywhere below it.
	repeatShare = 0.06
	// minRepeatShare is what the halving ends at: a level that fails one call
	// in a hundred mends that itself, at the least cost. Over eleven levels of
	// equal work the repeats cost at most 0.132 of the work offered: the sum of
	// each level's share times the levels it repeats, over eleven.
	minRepeatShare = 0.01
	// refusedShare is the part of the calls that may try another target after
	// its node has refused them. Such an attempt reaches no target, so it costs
	// these nothing; the bound keeps a full pool's refusals from being carried
	// about.
	refusedShare = 0.05
	// rejectedShare is the part of the calls that may try another target after one
	// has turned them away itself. Such an attempt makes no calls of its own, so
	// these do not multiply, and 1.132 times 1.05 stays below 1.2.
	rejectedShare = 0.05
	// maxTokens is what a quiet service can save up: a handful for the moment
	// that a target fails, too few to matter to the others.
	maxTokens = 10
	// firstTokens is what a service starts with, since a herd of new nodes
	// must not bring a herd of retries.
	firstTokens = 1
	// maxMoves bounds the targets that a call may find gone. A rack that has
	// just gone takes some targets of a pool, and three misses in a row are
	// rare while most of it is there.
	maxMoves = 3
	// maxCarried bounds the retries on a path of calls: one that failed so
	// often has failed for no passing reason.
	maxCarried = 3
	// maxPause bounds a wait between attempts. Beyond it the caller is better
	// told when to come back, as it holds a connection and memory here.
	maxPause = 100 * time.Millisecond
	// pause is the first wait after an attempt that broke off; it doubles.
	pause = 5 * time.Millisecond
	// comeBack is what a caller is told if no target named a time: the load or
	// fault that used up the budget is seldom gone sooner.
	comeBack = time.Second

	shards = 64
)

// Budgets decides about retries and holds each service's budget at one node.
type Budgets struct {
	shards [shards]shard
	// refusedShare is the part of the calls that may ask another target after a
	// refusal.
	refusedShare float64
	bounds       func() Bounds
}

type shard struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*budget
}

// budget is what one service has left, in attempts, and how long its answers
// take, in nanoseconds, but for the late ones.
type budget struct{ repeats, rejected, refused, late float64 }

// Option sets one property of budgets.
type Option func(*Budgets)

// RefusedShare sets the part of the calls, from 0 to 1, that may ask another
// target after a refusal.
func RefusedShare(share float64) Option { return func(b *Budgets) { b.refusedShare = share } }

// Bounds are what bounds the arrivals at targets beside the first of each call.
type Bounds struct {
	// Repeated and Rejected are parts of a service's calls, from 0 to 1: those from
	// outside that may be repeated after they may have run, and those that may go
	// to another target after one has rejected them.
	Repeated, Rejected float64
	// Saved is how many of either a service can save up.
	Saved float64
}

// Bounded sets what tells the bounds. Where a platform bounds the repeats of all
// nodes together, each node's part depends on how many there are.
func Bounded(f func() Bounds) Option { return func(b *Budgets) { b.bounds = f } }

// NewBudgets returns budgets whose jitter is drawn from rng.
func NewBudgets(rng *rand.Rand, opts ...Option) *Budgets {
	b := &Budgets{refusedShare: refusedShare, bounds: func() Bounds { return Bounds{repeatShare, rejectedShare, maxTokens} }}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i].rng = rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		b.shards[i].services = map[string]*budget{}
	}
	return b
}

// Fresh takes in the first attempt of a call, which earns part of a retry.
func (b *Budgets) Fresh(c *Call) {
	s := b.shard(c.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.budget(c.service)
	bounds := b.bounds()
	left.repeats = min(bounds.Saved, left.repeats+shareAt(bounds.Repeated, c.depth))
	left.rejected = min(bounds.Saved, left.rejected+bounds.Rejected)
	left.refused = min(maxTokens, left.refused+b.refusedShare)
}

// Left returns how many repeats and how many further targets after refusals the
// budgets of all services hold.
func (b *Budgets) Left() (repeats, refused float64) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, left := range s.services {
			repeats += left.repeats
			refused += left.refused
		}
		s.mu.Unlock()
	}
	return repeats, refused
}

func shareAt(share float64, depth int) float64 {
	return max(min(share, minRepeatShare), math.Ldexp(share, -depth))
}

// After decides what follows an attempt that did not succeed. While another
// attempt of a hedged call is out, there is nothing to decide yet.
func (b *Budgets) After(now time.Time, c *Call, o Outcome) Decision {
	c.attempts++
	c.mayHaveRun = c.mayHaveRun || o.kind == broken || o.kind == erred
	s := b.shard(c.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	after, ok := s.next(c, o)
	if !ok || now.Add(after+c.expected).After(c.deadline) || !s.spend(c, o) {
		return s.giveUp(c, o)
	}
	return Retry{after}
}

// next returns the wait before another attempt, if the call's own state allows
// one.
func (s *shard) next(c *Call, o Outcome) (time.Duration, bool) {
	if c.mayHaveRun && !c.idempotent {
		return 0, false
	}
	if o.kind == moved {
		c.moves++
		return 0, c.moves <= maxMoves
	}
	if (o.kind == refused || o.kind == rejected) && c.refusals < c.elsewhere {
		c.refusals++
		return 0, true
	}
	if c.attempts-c.moves-c.refusals > c.retries || c.Carries() > maxCarried {
		return 0, false
	}
	switch o.kind {
	case refused, rejected:
		// Another target is asked, so there is nothing to wait for.
		return 0, true
	case nowhere:
		after := s.jitter(o.retryAfter)
		return after, after <= maxPause
	case broken, erred:
		// A call that is itself part of a retry above is not repeated here:
		// one level at a time.
		return s.jitter(min(maxPause/2, pause<<min(c.attempts-1, 10))), c.carried == 0
	default:
		return 0, false
	}
}

// spend takes an attempt out of the service's budget, if there is one. A move
// is free: neither target has done any work for it, so however many there are,
// they add no load.
func (s *shard) spend(c *Call, o Outcome) bool {
	left := s.budget(c.service)
	switch o.kind {
	case moved:
		return true
	case refused, nowhere:
		return take(&left.refused)
	case rejected:
		return take(&left.rejected)
	default:
		return take(&left.repeats)
	}
}

func take(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

func (s *shard) giveUp(c *Call, o Outcome) GiveUp {
	g := GiveUp{answer: NotRun, retryAfter: o.retryAfter}
	switch {
	case o.kind == erred:
		g.answer = TargetsOwn
	case c.mayHaveRun:
		g.answer = Unknown
	}
	if g.retryAfter <= 0 {
		g.retryAfter = s.jitter(comeBack)
	}
	if g.answer != NotRun && !c.idempotent {
		g.retryAfter = 0
	}
	return g
}

// jitter spreads a time from itself to half as much again, so that what failed
// in one moment does not return in one.
func (s *shard) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Float64()*float64(d)/2)
}

func (s *shard) budget(service string) *budget {
	left := s.services[service]
	if left == nil {
		left = &budget{repeats: firstTokens, rejected: firstTokens, refused: firstTokens}
		s.services[service] = left
	}
	return left
}

func (b *Budgets) shard(service string) *shard { return &b.shards[xxh3.HashString(service)%shards] }
