package event

import (
	"context"
	"io"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	// asyncBytes is how much waits for a reader that stalls: some 800 lines, a
	// few seconds of the heaviest load.
	asyncBytes = 256 << 10
	// asyncBatch gathers lines before one write: each wake-up and write is paid
	// for, and no reader needs a line sooner.
	asyncBatch = 50 * time.Millisecond
	// asyncLast is what a stop waits for a reader that stalls.
	asyncLast = 200 * time.Millisecond
)

// Async passes lines on to a writer that may stall. Writing to it never waits:
// what does not fit is dropped and counted, since a call must not wait for
// whoever reads its log.
type Async struct {
	to   io.Writer
	clk  *timer.Service
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped uint64
}

// NewAsync returns a writer in front of to; Run does the writing.
func NewAsync(to io.Writer, clk *timer.Service) *Async {
	return &Async{to: to, clk: clk, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer; p is one line.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(p) > asyncBytes {
		a.dropped++
	} else {
		a.pending = append(a.pending, p...)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns how many lines did not fit.
func (a *Async) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Run writes until ctx ends, then what is left unless the reader stalls, and
// reports on done.
func (a *Async) Run(ctx context.Context, done chan<- error) {
	ended := make(chan error, 1)
	go a.write(ctx, ended)
	<-ctx.Done()
	last, cancel := a.clk.WithTimeout(context.WithoutCancel(ctx), asyncLast)
	defer cancel()
	select {
	case err := <-ended:
		done <- err
	case <-last.Done():
		done <- &StalledError{Dropped: a.Dropped()}
	}
}

// write may wait for its reader for ever, which is why Run does not wait for it.
func (a *Async) write(ctx context.Context, ended chan<- error) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-a.wake:
			_ = a.clk.Sleep(ctx, asyncBatch)
			a.flush()
		}
	}
	a.flush()
	ended <- ctx.Err()
}

func (a *Async) flush() {
	a.mu.Lock()
	out := a.pending
	a.pending, a.spare = a.spare[:0], nil
	a.mu.Unlock()
	// A log that can't be written has nowhere to say so.
	_, _ = a.to.Write(out)
	a.mu.Lock()
	a.spare = out
	a.mu.Unlock()
}
