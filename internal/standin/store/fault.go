package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/bucket"
)

// Fault is the failure injected into one call.
type Fault uint8

// Faults of one call; those after Refuse apply to writes only.
const (
	// Pass lets the call succeed.
	Pass Fault = iota
	// Refuse fails the call with an UnavailableError and without effect.
	Refuse
	// LoseResponse applies the write and loses the response.
	LoseResponse
	// LoseRequest drops the write; the caller gets the same error as for
	// LoseResponse.
	LoseRequest
	// DelayWrite loses the response and applies the write at the next ApplyDelayed.
	DelayWrite
)

// Call describes a call to the store, for which a fault plan chooses the fault.
type Call struct {
	kind platform.Kind
	key  string
}

// Kind returns the call's kind.
func (c Call) Kind() platform.Kind { return c.kind }

// Key returns the call's key, or "" for a call on a lease.
func (c Call) Key() string { return c.key }

type faults struct {
	mu              sync.Mutex
	down            bool
	slow            time.Duration
	plan            func(Call) Fault
	responsesToLose int
	loseFraction    float64
	rand            *rand.Rand
	delayed         []func() error
	writes          limited
	reads           limited
}

// SetDown starts or ends an outage: the store fails every call, pending watches
// included.
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

// SetFaultPlan calls f before each call to choose its fault; nil removes the plan.
func (s *Store) SetFaultPlan(f func(Call) Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.plan = f
}

// LoseResponses applies the next n writes and loses their responses.
func (s *Store) LoseResponses(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.responsesToLose = n
}

// LoseResponsesOf applies the next n writes of a key and loses their responses. If
// down is set, all calls after these are refused. It replaces the fault plan.
func (s *Store) LoseResponsesOf(key string, n int, down bool) {
	var lost atomic.Int64
	s.SetFaultPlan(func(c Call) Fault {
		switch {
		case lost.Load() >= int64(n) && down:
			return Refuse
		case c.key == key && c.kind.IsWrite() && lost.Add(1) <= int64(n):
			return LoseResponse
		default:
			return Pass
		}
	})
}

// LoseFraction loses a fraction, 0 to 1, of the responses to writes, drawn at random
// from seed.
func (s *Store) LoseFraction(fraction float64, seed uint64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseFraction = fraction
	s.faults.rand = rand.New(rand.NewPCG(seed, seed))
}

// SetRates limits writes and reads, in calls per second; 0 is no limit. The
// burst is a tenth of a second's calls, but at least one.
func (s *Store) SetRates(writes, reads float64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	now := s.clock.Now()
	s.faults.writes = newLimited(writes, now)
	s.faults.reads = newLimited(reads, now)
}

// ApplyDelayed applies the writes delayed by DelayWrite, in order, and returns
// their number. A write whose revision is no longer current has no effect.
func (s *Store) ApplyDelayed() int {
	s.faults.mu.Lock()
	delayed := s.faults.delayed
	s.faults.delayed = nil
	s.faults.mu.Unlock()
	for _, apply := range delayed {
		// The caller already got UnknownOutcomeError.
		_ = apply()
	}
	return len(delayed)
}

// startCall counts and delays a call. It returns the call's fault, or an error if
// the call is refused.
func (s *Store) startCall(ctx context.Context, kind platform.Kind, key string) (Fault, error) {
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
	if kind.IsWrite() {
		b = &f.writes
	}
	if !b.take(now) {
		return Refuse, &platform.UnavailableError{Op: kind, Err: &platform.RateLimitedError{RetryAfter: time.Second}}
	}
	if !kind.IsWrite() || fault != Pass {
		return fault, nil
	}
	if f.responsesToLose > 0 {
		f.responsesToLose--
		return LoseResponse, nil
	}
	if f.loseFraction > 0 && f.rand.Float64() < f.loseFraction {
		return LoseResponse, nil
	}
	return Pass, nil
}

// write starts a write call and applies, drops or delays it as its fault
// requires.
func (s *Store) write(ctx context.Context, kind platform.Kind, key string, apply func() error) error {
	fault, err := s.startCall(ctx, kind, key)
	if err != nil {
		return err
	}
	switch fault {
	case LoseResponse:
		_ = apply()
	case LoseRequest:
	case DelayWrite:
		s.faults.mu.Lock()
		s.faults.delayed = append(s.faults.delayed, apply)
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

// limited is a limit in calls per second; the zero value is none.
type limited struct {
	bucket.Bucket
	rate float64
}

func newLimited(rate float64, now time.Time) limited {
	return limited{bucket.New(burst(rate), now), rate}
}

func burst(rate float64) float64 { return max(1, rate/10) }

func (l *limited) take(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.Refill(now, l.rate, burst(l.rate))
	return l.Take()
}
