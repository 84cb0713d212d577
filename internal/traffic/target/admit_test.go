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
	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testConfig struct{ snap *snapshot.Snapshot }

func (c *testConfig) Current() *snapshot.Snapshot { return c.snap }

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

// A waiting call that is not notified of the gate's decision would never return.
func TestWaitingCallReturnsAsSoonAsItIsDecided(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		trigger func(s *Slots, clk *timer.Service, first admission.Ticket, cancel func(), cfg *testConfig)
		reason  string // "" if admitted
	}{
		{"the first call ends", func(s *Slots, _ *timer.Service, first admission.Ticket, _ func(), _ *testConfig) {
			s.release(first, admission.Done)
		}, ""},
		{"the node drains", func(s *Slots, _ *timer.Service, _ admission.Ticket, _ func(), _ *testConfig) { s.Drain() }, "draining"},
		{"its deadline passes", func(_ *Slots, clk *timer.Service, _ admission.Ticket, _ func(), _ *testConfig) {
			clk.Advance(2 * time.Second)
		}, "too-late"},
		{"its caller disconnects", func(_ *Slots, _ *timer.Service, _ admission.Ticket, cancel func(), _ *testConfig) { cancel() }, "cancelled"},
		{"the target gets another slot", func(s *Slots, _ *timer.Service, _ admission.Ticket, _ func(), cfg *testConfig) {
			cfg.snap = withSlots(t, cfg.snap, 2)
			s.configure()
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clk := timer.NewManual(time.Unix(1_800_000_000, 0))
			cfg := &testConfig{withSlots(t, snapshot.Empty(), 1)}
			s := NewSlots(cfg, "p", clk)
			meta := hop.NewMeta(hop.ForOrganisation("harbour", snapshot.Paying))
			until := clk.Now().Add(time.Second)
			first, err := s.acquire(context.Background(), meta, until)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := s.acquire(ctx, meta, until)
				result <- err
			}()
			for s.Load().Waiting(snapshot.Paying) == 0 {
				select {
				case err := <-result:
					t.Fatalf("the second call did not wait: %v", err)
				default:
				}
			}
			s.waitForExpiryTimer()
			tc.trigger(s, clk, first, cancel, cfg)
			if got := reasonOf(<-result); got != tc.reason {
				t.Errorf("the second call ended with %q, want %q", got, tc.reason)
			}
			if n := s.Load().Waiting(snapshot.Paying); n != 0 {
				t.Errorf("%d calls still wait", n)
			}
		})
	}
}

// Guards against calls that wait for the target's rate until their deadline although it
// allows them, because no other call ends.
func TestCallsWaitingForTheTargetsRateStartWhenItAllowsThem(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	s := NewSlots(&testConfig{withSlots(t, snapshot.Empty(), 8)}, "p", clk)
	const perSecond = 2
	s.observeRate("", perSecond, true)
	meta := hop.NewMeta(hop.ForOrganisation("harbour", snapshot.Paying))
	const calls = 2
	result := make(chan error, calls)
	for i := range calls {
		go func() {
			_, err := s.acquire(t.Context(), meta, clk.Now().Add(10*time.Second))
			result <- err
		}()
		for s.Load().Waiting(snapshot.Paying) <= i {
			select {
			case err := <-result:
				t.Fatalf("call %d did not wait: %v", i, err)
			default:
			}
		}
	}
	s.waitForExpiryTimer()
	for i := range calls {
		clk.Advance(time.Second/perSecond + time.Millisecond)
		if err := <-result; err != nil {
			t.Errorf("call %d: %v", i, err)
		}
		if n := s.Load().Waiting(snapshot.Paying); n != calls-1-i {
			t.Errorf("%d calls wait after call %d", n, i)
		}
	}
}

// A limit is that of one process.
func TestAnotherTargetProcessStartsWithoutARateLimit(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	s := NewSlots(&testConfig{withSlots(t, snapshot.Empty(), 8)}, "p", clk)
	tracker := lifecycle.NewTracker()
	tracker.Open()
	meta := hop.NewMeta(hop.ForOrganisation("harbour", snapshot.Paying))
	admitted := func() bool {
		_, err := s.acquire(t.Context(), meta, clk.Now().Add(time.Second))
		return err == nil
	}
	report := func(id string, startMs, sequence uint64) {
		tracker.HandleHeartbeat(lifecycle.NewHeartbeat(id, lifecycle.StartMs(startMs), lifecycle.Sequence(sequence), lifecycle.Slots(8)), startMs)
		s.SetProcess(tracker.Target())
	}
	const tooFew = 0.5 // a call would wait longer than its deadline
	report("i-1", 1, 1)
	s.observeRate("i-1", tooFew, true)
	if admitted() {
		t.Error("a call beyond the limit is admitted")
	}
	report("i-1", 1, 2)
	if admitted() {
		t.Error("a heartbeat of the same process ends the limit")
	}
	for _, next := range []struct {
		id      string
		startMs uint64
	}{{"i-1", 2}, {"i-2", 3}} {
		s.observeRate(tracker.Target().ID(), tooFew, true)
		report(next.id, next.startMs, 1)
		if !admitted() {
			t.Errorf("process %s of start %d has the limit of the one before", next.id, next.startMs)
		}
		s.observeRate("i-0", tooFew, true)
		if !admitted() {
			t.Error("a late response of an earlier process sets a limit")
		}
	}
}

// Guards against a node that takes over an older limit from a call although its target has
// responded since.
func TestSendersLimitCountsOnlyUntilTheTargetResponds(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	s := NewSlots(&testConfig{withSlots(t, snapshot.Empty(), 8)}, "p", clk)
	const tooFew = 0.5 // a call would wait longer than its deadline
	meta := hop.NewMeta(hop.ForOrganisation("harbour", snapshot.Paying), hop.TargetRate(tooFew, true))
	admitted := func() bool {
		_, err := s.acquire(t.Context(), meta, clk.Now().Add(time.Second))
		return err == nil
	}
	if admitted() {
		t.Error("before a response: a call beyond the sender's limit is admitted")
	}
	clk.Advance(time.Second)
	s.observeRate("", 0, false)
	if !admitted() {
		t.Error("after a response without a limit: a call is refused by the sender's limit")
	}
}

// Guards against calls that are decided by the slots of the version before while the first call
// of a new one configures the gate.
func TestFirstCallsOfAVersionAreDecidedByItsSlots(t *testing.T) {
	t.Parallel()
	const rounds, calls = 500, 12
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	meta := hop.NewMeta(hop.ForOrganisation("harbour", snapshot.Paying))
	cfg := withSlots(t, snapshot.Empty(), calls)
	for range rounds {
		current := &testConfig{snapshot.Empty()}
		s := NewSlots(current, "p", clk)
		current.snap = cfg
		begin, results := make(chan struct{}), make(chan error, calls)
		for range calls {
			go func() {
				<-begin
				_, err := s.acquire(t.Context(), meta, clk.Now().Add(time.Second))
				results <- err
			}()
		}
		close(begin)
		for range calls {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
	}
}

// waitForExpiryTimer waits until the queued call has scheduled its expiry.
func (s *Slots) waitForExpiryTimer() {
	for {
		s.mu.Lock()
		set := s.expiryTimer != nil
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

// Guards against a restarted node that refuses calls as draining until its target's first
// heartbeat: if it then announces the same as before, senders would avoid it for long.
func TestCallsBeforeTheTargetsFirstReportAreRefusedAsStarting(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	s := NewSlots(&testConfig{withSlots(t, snapshot.Empty(), 1)}, "p", clk)
	tracker := lifecycle.NewTracker()
	tracker.Open()
	s.SetProcess(tracker.Target())
	var (
		refused  *RefusedError
		replaced *WrongInstanceError
	)
	if err := s.checkProcess("i-1"); !errors.As(err, &refused) || refused.Reason != hop.KindStarting || refused.RetryAfter <= 0 {
		t.Errorf("before the first heartbeat: %v", err)
	}
	tracker.HandleHeartbeat(lifecycle.NewHeartbeat("i-1", lifecycle.Sequence(1), lifecycle.Slots(1)), 1)
	s.SetProcess(tracker.Target())
	if err := s.checkProcess("i-1"); err != nil {
		t.Errorf("after the first heartbeat: %v", err)
	}
	if err := s.checkProcess("i-0"); !errors.As(err, &replaced) {
		t.Errorf("for an earlier process: %v", err)
	}
	tracker.HandleGoodbye("i-1", 0)
	s.SetProcess(tracker.Target())
	meta := hop.NewMeta(hop.ForOrganisation("o", snapshot.Paying))
	if _, err := s.acquire(t.Context(), meta, clk.Now().Add(time.Second)); !errors.As(err, &refused) || refused.Reason != hop.KindDraining {
		t.Errorf("after the target left: %v", err)
	}
}

// The sending node treats a refusal of an unknown kind as a failure of the target and
// may eject it.
func TestEveryGateReasonHasAKnownRefusalKind(t *testing.T) {
	t.Parallel()
	want := map[admission.Reason]string{
		admission.TooLate: hop.KindTooLate, admission.QueueFull: hop.KindQueueFull,
		admission.Displaced: hop.KindDisplaced, admission.Outranked: hop.KindOutranked,
		admission.Draining: hop.KindDraining, admission.NoTrialSlots: hop.KindNoTrialSlots,
	}
	for reason := admission.TooLate; !strings.HasPrefix(reason.String(), "reason_"); reason++ {
		if got := refusalKind(reason); got != want[reason] {
			t.Errorf("%v: %q, want %q", reason, got, want[reason])
		}
	}
}
