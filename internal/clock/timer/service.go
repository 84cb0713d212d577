package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service is a clock with timers and tickers. Its methods but Advance are safe for
// concurrent use.
type Service struct {
	mu        sync.Mutex
	queue     subscriptions
	seq       uint64
	now       func() time.Time
	manualNow time.Time
	wake      chan struct{}
}

// New returns a service on the system clock. Subscriptions fire only during Run.
func New() *Service {
	return &Service{now: time.Now, wake: make(chan struct{}, 1)}
}

// Start returns a service on the system clock with Run in progress, and a function
// that stops Run and waits for its return.
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

// NewManual returns a service whose time changes only by Advance.
func NewManual(start time.Time) *Service {
	return &Service{manualNow: start}
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	if s.now != nil {
		return s.now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manualNow
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Run fires due subscriptions until ctx ends, and then sends the error of ctx to
// done. It is only for services on the system clock.
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

// Advance moves a manual clock forward by d and fires the subscriptions that fall
// due, in order of due time.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.manualNow.Add(d)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].due.After(end) {
			s.manualNow = end
			s.mu.Unlock()
			return
		}
		if due := s.queue[0].due; due.After(s.manualNow) {
			s.manualNow = due
		}
		at := s.manualNow
		s.mu.Unlock()
		s.fire(at)
	}
}

// Subscribe returns a subscription that ticks every period until stopped. Like
// time.Ticker, it drops ticks for a slow receiver.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	return s.add(period, period, nil)
}

// After returns a subscription that fires once after d.
func (s *Service) After(d time.Duration) *Subscription {
	return s.add(d, 0, nil)
}

// AfterFunc calls f once after d, on the goroutine of Run or Advance, so f must
// not block.
func (s *Service) AfterFunc(d time.Duration, f func()) *Subscription {
	return s.add(d, 0, f)
}

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
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

// WithTimeout returns a context that ends with the cause context.DeadlineExceeded
// once d has passed on this clock.
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
	now := s.manualNow
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
		s.wakeRun()
	}
	return sub
}

// wakeRun makes Run recompute the time of its next wake-up.
func (s *Service) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fire fires all subscriptions due at now and returns the time until the next is
// due, or an hour if there is none.
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
	// Called without the lock, since a callback may subscribe or stop a subscription.
	for _, f := range calls {
		f()
	}
	return next
}

// Subscription is a timer or a ticker of a service.
type Subscription struct {
	service *Service
	c       chan time.Time
	f       func()
	due     time.Time
	period  time.Duration
	seq     uint64
	index   int
}

// C returns the channel on which ticks are delivered.
func (sub *Subscription) C() <-chan time.Time { return sub.c }

// Stop cancels the subscription and reports whether it was still active.
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

// subscriptions is a heap by due time, then by order of creation.
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
