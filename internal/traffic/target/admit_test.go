package target

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/admission"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixed struct{ snap *snapshot.Snapshot }

func (f *fixed) Current() *snapshot.Snapshot { return f.snap }

func withSlots(t *testing.T, from *snapshot.Snapshot, n int) *snapshot.Snapshot {
	t.Helper()
	_, next, err := from.Next(snapshot.NewChange([]snapshot.Object{
		snapshot.NewService("s"), snapshot.NewPool("p", "s", snapshot.Slots(n), snapshot.Connections(n)),
	}, nil), snapshot.Stamp{})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Two calls come to a target with one slot, so that the second waits. Then
// something happens, and the second must hear of it at once.
func TestAWaitingCallHearsAtOnceWhatBecomesOfIt(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		happens func(s *Slots, clk *timer.Service, first admission.Ticket, cancel func(), cfg *fixed)
		reason  string // "" if it is let in
	}{
		{"the first ends", func(s *Slots, _ *timer.Service, first admission.Ticket, _ func(), _ *fixed) {
			s.leave(first, admission.Done)
		}, ""},
		{"the node stops", func(s *Slots, _ *timer.Service, _ admission.Ticket, _ func(), _ *fixed) { s.Drain() }, "draining"},
		{"its time runs out", func(_ *Slots, clk *timer.Service, _ admission.Ticket, _ func(), _ *fixed) {
			clk.Advance(2 * time.Second)
		}, "too-late"},
		{"its caller leaves", func(_ *Slots, _ *timer.Service, _ admission.Ticket, cancel func(), _ *fixed) { cancel() }, "cancelled"},
		{"the target gets another slot", func(s *Slots, _ *timer.Service, _ admission.Ticket, _ func(), cfg *fixed) {
			cfg.snap = withSlots(t, cfg.snap, 2)
			s.configure()
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clk := timer.NewManual(time.Unix(1_800_000_000, 0))
			cfg := &fixed{withSlots(t, snapshot.Empty(), 1)}
			s := NewSlots(cfg, "p", clk)
			meta := hop.NewMeta(hop.For("harbour", snapshot.Paying))
			until := clk.Now().Add(time.Second)
			first, err := s.enter(context.Background(), meta, until)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			heard := make(chan error, 1)
			go func() {
				_, err := s.enter(ctx, meta, until)
				heard <- err
			}()
			for s.Load().Waiting(snapshot.Paying) == 0 {
				select {
				case err := <-heard:
					t.Fatalf("it did not wait: %v", err)
				default:
				}
			}
			s.untilAlarm()
			tc.happens(s, clk, first, cancel, cfg)
			if got := reasonOf(<-heard); got != tc.reason {
				t.Errorf("it heard %q, want %q", got, tc.reason)
			}
			if n := s.Load().Waiting(snapshot.Paying); n != 0 {
				t.Errorf("%d calls wait", n)
			}
		})
	}
}

// untilAlarm waits until the queued call has set the alarm that dismisses it.
func (s *Slots) untilAlarm() {
	for {
		s.mu.Lock()
		set := s.alarm != nil
		s.mu.Unlock()
		if set {
			return
		}
	}
}

func reasonOf(err error) string {
	var (
		refused   *RefusedError
		cancelled *hop.CancelledError
	)
	switch {
	case errors.As(err, &refused):
		return refused.Reason
	case errors.As(err, &cancelled):
		return "cancelled"
	case err != nil:
		return err.Error()
	default:
		return ""
	}
}

// A sender reads from the kind of a refusal whether the target is full, leaves or
// is ill. A reason of the gate that it does not know would pass for a failure, and
// the target would be left out.
func TestEachReasonOfTheGateIsAKindThatSendersKnow(t *testing.T) {
	t.Parallel()
	want := map[admission.Reason]string{
		admission.TooLate: hop.KindTooLate, admission.QueueFull: hop.KindQueueFull,
		admission.Displaced: hop.KindDisplaced, admission.Outranked: hop.KindOutranked,
		admission.Draining: hop.KindDraining, admission.NoTrialSlots: hop.KindNoTrialSlots,
	}
	for reason := admission.TooLate; !strings.HasPrefix(reason.String(), "reason_"); reason++ {
		if got := kindOf(reason); got != want[reason] {
			t.Errorf("%v: %q, want %q", reason, got, want[reason])
		}
	}
}
