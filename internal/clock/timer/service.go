package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service tells the time and wakes its subscribers.
type Service struct {
	mu     sync.Mutex
	queue  subscriptions
	seq    uint64
	now    func() time.Time
	manual time.Time
	wake   chan struct{}
}

// New returns a service on the machine's clock; Run must be started for
// subscriptions to fire.
func New() *Service {
	return &Service{now: time.Now, wake: make(chan struct{}, 1)}
}

// Start returns a running service on the machine's clock, and what stops it and
// waits for its end.
func Start() (s *Service, stop func()) {
	s = New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, done)
	return s, func() {
		cancel()
		<-done
	}
}

// NewManual returns a service whose time moves only by Advance.
func NewManual(start time.Time) *Service {
	return &Service{manual: start}
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	if s.now != nil {
		return s.now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manual
}

// Since returns the time passed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Run wakes subscribers until ctx ends and then reports on done.
func (s *Service) Run(ctx context.Context, done chan<- error) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(s.fire(s.now()))
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-s.wake:
		case <-t.C:
		}
	}
}

// Advance moves a manual clock forward and fires what falls due, in order.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.manual.Add(d)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].due.After(end) {
			s.manual = end
			s.mu.Unlock()
			return
		}
		if due := s.queue[0].due; due.After(s.manual) {
			s.manual = due
		}
		at := s.manual
		s.mu.Unlock()
		s.fire(at)
	}
}

// Subscribe returns a subscription that ticks every period until stopped; a
// subscriber that lags misses ticks rather than queueing them.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	return s.add(period, period, nil)
}

// After returns a subscription that fires once after d.
func (s *Service) After(d time.Duration) *Subscription {
	return s.add(d, 0, nil)
}

// AfterFunc calls f once after d on the service's goroutine, so f must not
// block.
func (s *Service) AfterFunc(d time.Duration, f func()) *Subscription {
	return s.add(d, 0, f)
}

// Sleep waits for d or until ctx ends, whose error it then returns.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	sub := s.After(d)
	defer sub.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sub.C():
		return nil
	}
}

// WithTimeout returns a context that ends with context.DeadlineExceeded as its
// cause once d has passed on this clock.
func (s *Service) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	sub := s.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		sub.Stop()
		cancel(context.Canceled)
	}
}

func (s *Service) add(d, period time.Duration, f func()) *Subscription {
	sub := &Subscription{service: s, period: period, f: f, c: make(chan time.Time, 1)}
	s.mu.Lock()
	now := s.manual
	if s.now != nil {
		now = s.now()
	}
	s.seq++
	sub.seq = s.seq
	sub.due = now.Add(d)
	heap.Push(&s.queue, sub)
	first := s.queue[0] == sub
	s.mu.Unlock()
	if first {
		s.nudge()
	}
	return sub
}

func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fire delivers all that is due at now and returns the time until the next.
func (s *Service) fire(now time.Time) time.Duration {
	var calls []func()
	s.mu.Lock()
	for len(s.queue) > 0 && !s.queue[0].due.After(now) {
		sub := s.queue[0]
		if sub.f != nil {
			calls = append(calls, sub.f)
		} else {
			select {
			case sub.c <- now:
			default:
			}
		}
		if sub.period > 0 {
			sub.due = sub.due.Add(sub.period)
			if !sub.due.After(now) {
				sub.due = now.Add(sub.period)
			}
			heap.Fix(&s.queue, 0)
		} else {
			heap.Pop(&s.queue)
		}
	}
	next := time.Hour
	if len(s.queue) > 0 {
		next = s.queue[0].due.Sub(now)
	}
	s.mu.Unlock()
	// No lock is held across a callback, which may subscribe again.
	for _, f := range calls {
		f()
	}
	return next
}

// Subscription is one part's interest in the time.
type Subscription struct {
	service *Service
	c       chan time.Time
	f       func()
	due     time.Time
	period  time.Duration
	seq     uint64
	index   int
}

// C returns the channel on which ticks arrive.
func (sub *Subscription) C() <-chan time.Time { return sub.c }

// Stop ends the subscription and reports whether it was still live.
func (sub *Subscription) Stop() bool {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index < 0 {
		return false
	}
	heap.Remove(&s.queue, sub.index)
	return true
}

type subscriptions []*Subscription

func (q subscriptions) Len() int { return len(q) }

func (q subscriptions) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].seq < q[j].seq
	}
	return q[i].due.Before(q[j].due)
}

func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *subscriptions) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

func (q *subscriptions) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	sub.index = -1
	return sub
}
