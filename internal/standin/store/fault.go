package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
)

// Fault is what goes wrong with one call.
type Fault uint8

// The faults of one call; the ones after Refuse concern writes alone.
const (
	// Pass lets the call succeed.
	Pass Fault = iota
	// Refuse turns the call away; it has no effect and the caller knows.
	Refuse
	// LoseAnswer lets the write take effect and loses the answer.
	LoseAnswer
	// LoseRequest loses the write itself; the caller can't tell from LoseAnswer.
	LoseRequest
	// Late loses the answer and lets the write take effect at LandLate.
	Late
)

// Call is one call as a fault plan sees it.
type Call struct {
	kind platform.Kind
	key  string
}

// Kind returns the call's kind.
func (c Call) Kind() platform.Kind { return c.kind }

// Key returns the call's key, or "" for a call on a lease.
func (c Call) Key() string { return c.key }

type faults struct {
	mu        sync.Mutex
	down      bool
	slow      time.Duration
	plan      func(Call) Fault
	loseNext  int
	loseShare float64
	rand      *rand.Rand
	late      []func() error
	writes    bucket
	reads     bucket
}

// SetDown makes the store refuse every call, waiting watches included, or ends
// that.
func (s *Store) SetDown(down bool) {
	s.faults.mu.Lock()
	s.faults.down = down
	s.faults.mu.Unlock()
	s.wakeAll()
}

// SetSlow delays every call by d.
func (s *Store) SetSlow(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.slow = d
}

// SetPlan asks f what goes wrong with each call, before the call; nil ends it.
func (s *Store) SetPlan(f func(Call) Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.plan = f
}

// LoseAnswers loses the answers of the next n writes, which take effect.
func (s *Store) LoseAnswers(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseNext = n
}

// LoseAnswersOf loses the answers of the next n writes of a key, in place of any
// other fault plan, and then refuses every call if down is set.
func (s *Store) LoseAnswersOf(key string, n int, down bool) {
	var lost atomic.Int64
	s.SetPlan(func(c Call) Fault {
		switch {
		case lost.Load() >= int64(n) && down:
			return Refuse
		case c.key == key && c.kind.Write() && lost.Add(1) <= int64(n):
			return LoseAnswer
		default:
			return Pass
		}
	})
}

// LoseShare loses that share of the answers to writes, chosen by seed.
func (s *Store) LoseShare(share float64, seed uint64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseShare = share
	s.faults.rand = rand.New(rand.NewPCG(seed, seed))
}

// SetRates caps the calls a second of each kind; 0 is no cap. A burst of a
// tenth of a second's calls passes, as in a server with a short queue.
func (s *Store) SetRates(writes, reads float64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	now := s.clock.Now()
	s.faults.writes = newBucket(writes, now)
	s.faults.reads = newBucket(reads, now)
}

// LandLate lets the writes that were late take effect, in order, where their
// revision still holds, and returns how many there were.
func (s *Store) LandLate() int {
	s.faults.mu.Lock()
	late := s.faults.late
	s.faults.late = nil
	s.faults.mu.Unlock()
	for _, apply := range late {
		// Nobody waits for the answer any more.
		_ = apply()
	}
	return len(late)
}

// enter counts a call and lets it in, or returns why not.
func (s *Store) enter(ctx context.Context, kind platform.Kind, key string) (Fault, error) {
	s.counter.Add(kind)
	s.faults.mu.Lock()
	slow, plan := s.faults.slow, s.faults.plan
	s.faults.mu.Unlock()
	if slow > 0 {
		if err := s.clock.Sleep(ctx, slow); err != nil {
			return Refuse, &platform.UnavailableError{Op: kind, Err: err}
		}
	}
	if err := ctx.Err(); err != nil {
		return Refuse, &platform.UnavailableError{Op: kind, Err: err}
	}
	fault := Pass
	if plan != nil {
		fault = plan(Call{kind, key})
	}
	return s.faults.admit(kind, fault, s.clock.Now())
}

func (f *faults) admit(kind platform.Kind, fault Fault, now time.Time) (Fault, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || fault == Refuse {
		return Refuse, &platform.UnavailableError{Op: kind}
	}
	b := &f.reads
	if kind.Write() {
		b = &f.writes
	}
	if !b.take(now) {
		return Refuse, &platform.UnavailableError{Op: kind, Err: &platform.RateLimitedError{RetryAfter: time.Second}}
	}
	if !kind.Write() || fault != Pass {
		return fault, nil
	}
	if f.loseNext > 0 {
		f.loseNext--
		return LoseAnswer, nil
	}
	if f.loseShare > 0 && f.rand.Float64() < f.loseShare {
		return LoseAnswer, nil
	}
	return Pass, nil
}

// write lets a write in, applies it and loses its answer, as the faults ask.
func (s *Store) write(ctx context.Context, kind platform.Kind, key string, apply func() error) error {
	fault, err := s.enter(ctx, kind, key)
	if err != nil {
		return err
	}
	switch fault {
	case LoseAnswer:
		_ = apply()
	case LoseRequest:
	case Late:
		s.faults.mu.Lock()
		s.faults.late = append(s.faults.late, apply)
		s.faults.mu.Unlock()
	default:
		return apply()
	}
	return &platform.UnknownOutcomeError{Op: kind}
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// bucket is a token bucket; the zero value lets everything in.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

func newBucket(rate float64, now time.Time) bucket {
	return bucket{rate: rate, tokens: burst(rate), at: now}
}

func burst(rate float64) float64 { return max(1, rate/10) }

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(burst(b.rate), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
