package event

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// stalled is a reader of the log that takes nothing until it is let go.
type stalled struct{ free chan struct{} }

func (s *stalled) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

// Whoever reads the log stalls, while calls go on and are written about. If a line
// waited, its call would wait with it, and in the end every call. Lines that don't
// fit are dropped and counted, and the process can still end.
func TestAStalledReaderHoldsNothingUp(t *testing.T) {
	t.Parallel()
	clk, stop := timer.Start()
	defer stop()
	to := &stalled{free: make(chan struct{})}
	a := NewAsync(to, clk)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go a.Run(ctx, done)
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	const lines = 4 * asyncBytes / (1 << 10)
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	if a.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	cancel()
	var late *StalledError
	if err := <-done; !errors.As(err, &late) || late.Dropped == 0 {
		t.Errorf("ended with %v", err)
	}
	close(to.free)
}

// collected is a reader that takes all.
type collected struct {
	mu sync.Mutex
	b  strings.Builder
}

func (c *collected) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.b.Write(p)
}

func TestWhatIsWrittenBeforeAStopIsRead(t *testing.T) {
	t.Parallel()
	clk, stop := timer.Start()
	defer stop()
	to := &collected{}
	a := NewAsync(to, clk)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go a.Run(ctx, done)
	_, _ = io.WriteString(a, "first\n")
	_, _ = io.WriteString(a, "last\n")
	cancel()
	<-done
	if got := to.b.String(); got != "first\nlast\n" {
		t.Errorf("read %q", got)
	}
}

// One kind of event comes in thousands; it must neither fill the log nor keep the
// other kinds out of it, and the next line of it says how many were left out.
func TestOneKindOfEventLeavesRoomForTheOthers(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	b := NewBudget(clk)
	written := 0
	for range 1000 {
		if _, ok := b.allow(SlotRefused); ok {
			written++
		}
	}
	if written != linesAtOnce {
		t.Errorf("%d lines in one moment", written)
	}
	if _, ok := b.allow(NodeStopped); !ok {
		t.Error("another kind was kept out")
	}
	clk.Advance(time.Second)
	if omitted, ok := b.allow(SlotRefused); !ok || omitted != 1000-linesAtOnce {
		t.Errorf("omitted %d, %v", omitted, ok)
	}
}

// A target ends with all its calls, and a thousand callers ask why theirs failed.
// What led there is left out beyond its bound; how each call ended is not.
func TestTheLineThatEndsACallIsLeftOutLast(t *testing.T) {
	t.Parallel()
	b := NewBudget(timer.NewManual(time.Unix(1_800_000_000, 0)))
	written := map[Code]int{}
	for range 1000 {
		for _, c := range []Code{AttemptFailed, SlotRefused, CallFailed, CallLeft} {
			if _, ok := b.allow(c); ok {
				written[c]++
			}
		}
	}
	if written[CallFailed] != 1000 || written[CallLeft] != 1000 || written[AttemptFailed] > 1000/2 || written[SlotRefused] > 1000/2 {
		t.Errorf("written: %v", written)
	}
}
