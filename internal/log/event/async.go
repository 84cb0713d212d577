package event

import (
	"context"
	"io"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	// asyncBufferBytes bounds the lines that wait to be written.
	asyncBufferBytes = 256 << 10
	// asyncFlushDelay is the wait before a write, so that it holds several lines.
	asyncFlushDelay = 50 * time.Millisecond
	// asyncStopTimeout is how long a stop waits for a stalled reader.
	asyncStopTimeout = 200 * time.Millisecond
)

// Async buffers the lines of a log whose reader may stall. Write never blocks: a line
// that does not fit into the buffer is dropped and counted.
type Async struct {
	dst  io.Writer
	clk  *timer.Service
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped uint64
}

// NewAsync returns a buffer in front of dst. Run writes its lines to dst and must be
// started.
func NewAsync(dst io.Writer, clk *timer.Service) *Async {
	return &Async{dst: dst, clk: clk, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer; p is one line. It always reports success.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(p) > asyncBufferBytes {
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

// Dropped returns how many lines were dropped.
func (a *Async) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Run writes lines until ctx ends and then flushes the rest. It sends ctx's error on
// done, or a *StalledError if the last flush does not end in time.
func (a *Async) Run(ctx context.Context, done chan<- error) {
	ended := make(chan error, 1)
	go a.writeLoop(ctx, ended)
	<-ctx.Done()
	stopCtx, cancel := a.clk.WithTimeout(context.WithoutCancel(ctx), asyncStopTimeout)
	defer cancel()
	select {
	case err := <-ended:
		done <- err
	case <-stopCtx.Done():
		done <- &StalledError{Dropped: a.Dropped()}
	}
}

// writeLoop may block forever on a stalled reader, so Run does not wait for it to end.
func (a *Async) writeLoop(ctx context.Context, ended chan<- error) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-a.wake:
			_ = a.clk.Sleep(ctx, asyncFlushDelay)
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
	// There is nowhere to report that the log cannot be written.
	_, _ = a.dst.Write(out)
	a.mu.Lock()
	a.spare = out
	a.mu.Unlock()
}
