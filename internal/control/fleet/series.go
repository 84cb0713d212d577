package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/policy/version"
)

// versionSeries is the rule for series of versions, for concurrent use.
type versionSeries struct {
	mu   sync.Mutex
	rule version.Series
	done chan struct{} // closed when applying a version ends
	took atomic.Int64  // nanoseconds
}

// awaitTurn waits until a version may be applied and reports whether it is still needed. The
// caller then applies it and calls endTurn. It waits without a context, as the rule bounds
// its wait.
func (f *Fleet) awaitTurn(number uint64) bool {
	s := &f.series
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule.Offer(number)
	for {
		turn, wait := s.rule.Next(f.clk.Now(), number, f.Current().Version())
		if turn != version.Await {
			return turn == version.Start
		}
		done := s.done
		s.mu.Unlock()
		if wait > 0 {
			t := f.clk.After(wait)
			<-t.C()
			t.Stop()
		} else {
			<-done
		}
		s.mu.Lock()
	}
}

// endTurn ends the turn of a version, whether it has become active or not.
func (f *Fleet) endTurn(number uint64, began time.Time) {
	s := &f.series
	now := f.clk.Now()
	s.took.Store(int64(now.Sub(began)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule.Done(now, number, now.Sub(began))
	close(s.done)
	s.done = make(chan struct{})
}

// seriesPause returns how long a version that arrives now waits before it is applied.
func (f *Fleet) seriesPause() time.Duration {
	f.series.mu.Lock()
	defer f.series.mu.Unlock()
	return f.series.rule.Wait(f.clk.Now())
}

// ApplyTime returns how long decoding, checking and activating the last version took.
func (f *Fleet) ApplyTime() time.Duration { return time.Duration(f.series.took.Load()) }
