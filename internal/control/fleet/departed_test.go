package fleet

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// heard collects what a fleet reports of departures.
type heard struct {
	mu       sync.Mutex
	departed []string
	restored int
}

func (r *heard) options() []Option {
	return []Option{
		OnDeparted(func(text string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.departed = append(r.departed, text)
		}),
		OnRestored(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.restored++
		}),
	}
}

func (r *heard) state() (departed []string, restored int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.departed...), r.restored
}

var departedAddress = netip.MustParseAddrPort("127.0.0.1:7600")

// departedRecord returns the record of n1, whose target t1 has left.
func departedRecord(opts ...membership.RecordOption) membership.Record {
	return membership.NewRecord("n1", append([]membership.RecordOption{
		membership.Domain("a"), membership.Pool("quotes"), membership.Address(departedAddress), membership.ControlAddress(departedAddress),
		membership.Boot(5), membership.Seq(3), membership.InState(membership.Draining), membership.TargetID("t1"), membership.Slots(12), membership.Departed("t1"),
	}, opts...)...)
}

// Guards against a restarted node that learns of its target's departure too late: from a read
// that is stale, or after it has begun to accept targets.
func TestARestartedNodeKnowsDeparturesBeforeItIsRestored(t *testing.T) {
	t.Parallel()
	for name, record := range map[string]membership.Record{
		"entry of the earlier process":      departedRecord(),
		"entry that was retired meanwhile":  departedRecord().AsGone(),
		"entry of a process elsewhere":      departedRecord(membership.Address(netip.MustParseAddrPort("127.0.0.1:7601"))),
		"entry of a process with no target": departedRecord(membership.InState(membership.Starting), membership.TargetID("")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			stale := departedRecord(membership.Seq(2), membership.InState(membership.Ready), membership.Departed(""))
			h.store.put(entryKey("a", "n1"), encodeEntry(stale))
			staleRevision := h.store.revision
			h.store.put(entryKey("a", "n1"), encodeEntry(record))
			var r heard
			f := New(h.store, h.clk, departedRecord(membership.Boot(9), membership.Departed("")), configKey, decodeNumber, r.options()...)
			f.applyOwnRecord(stale, staleRevision)
			if departed, restored := r.state(); len(departed) > 0 || restored > 0 {
				t.Errorf("after the stale read: %q, restored %d times", departed, restored)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go f.restoreOwnEntry(ctx, done)
			h.eventually("the node is restored", func() bool { _, n := r.state(); return n == 1 })
			cancel()
			<-done
			restored, _ := f.ownRecord()
			f.applyOwnRecord(stale, staleRevision)
			f.applyOwnRecord(stale, 0)
			if after, _ := f.ownRecord(); after != restored {
				t.Errorf("a stale copy changed the record from %+v to %+v", restored, after)
			}
			if departed, _ := r.state(); !cmp.Equal(departed, []string{"t1"}) || f.Departed() != "t1" {
				t.Errorf("the node heard of %q and announces %q", departed, f.Departed())
			}
		})
	}
}

// Guards against an acknowledged departure that is in no other place than the node's memory,
// or is overwritten by a process that has not read it.
func TestADepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.store.put(entryKey("a", "n1"), encodeEntry(departedRecord(membership.Seq(2), membership.InState(membership.Ready), membership.Departed(""))))
	var r heard
	f := New(h.store, h.clk, departedRecord(membership.Boot(9), membership.Departed("")), configKey, decodeNumber, r.options()...)
	w := &entryWriter{f: f}
	readAndAnnounce(t, f, false, func() { f.Announce(membership.Draining, "t1", 12, "", membership.Departed("t1")) })
	// A write of the earlier process was delayed.
	h.store.put(entryKey("a", "n1"), encodeEntry(departedRecord(membership.Seq(3), membership.Departed("t0"))))
	h.store.set(func() { h.store.unavailable = true })
	await := func(d time.Duration) error {
		ctx, cancel := h.clk.WithTimeout(t.Context(), d)
		defer cancel()
		return f.AwaitStored(ctx)
	}
	if err := w.reconcile(t.Context()); err == nil {
		t.Fatal("the store took a write during its outage")
	}
	if err := await(20 * time.Millisecond); err == nil {
		t.Error("acknowledged during the outage")
	}
	h.store.set(func() { h.store.unavailable = false })
	if err := w.reconcile(t.Context()); err == nil {
		t.Error("a write that was not read was overwritten")
	}
	if departed, _ := r.state(); !cmp.Equal(departed, []string{"t0"}) {
		t.Errorf("the node heard of %q", departed)
	}
	f.Announce(membership.Draining, "t1", 12, "", membership.Departed("t0 t1"))
	if err := w.reconcile(t.Context()); err != nil {
		t.Fatal(err)
	}
	v, _ := h.store.get(entryKey("a", "n1"))
	if got, err := decodeEntry(v.Key(), v.Data()); err != nil || got.Departed() != "t0 t1" || await(time.Minute) != nil {
		t.Errorf("the entry is %+v, %v", got, err)
	}
}

// Guards against departures that are removed with the entry of a node that is down for long.
func TestDeparturesOutlastTheRemovalOfTheirNode(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n2")
	h.store.put(entryKey("a", "n1"), encodeEntry(departedRecord()))
	f := h.nodes["n2"].Fleet
	h.eventually("n2 knows n1", func() bool { r, revision := f.view.member("n1"); return revision > 0 && r.Departed() == "t1" })
	known, _ := f.view.member("n1")
	(&auditor{f: f, silent: map[string]silentSince{}}).remove(t.Context(), known, &platform.UnavailableError{})
	if r, _ := f.view.member("n1"); r.Instance() != "" {
		t.Errorf("n1 is still a member: %+v", r)
	}
	v, ok := h.store.get(entryKey("a", "n1"))
	got, err := decodeEntry(v.Key(), v.Data())
	if !ok || err != nil || got.State() != membership.Gone || got.Departed() != "t1" {
		t.Fatalf("the entry is %+v, %v", got, err)
	}
	h.store.mu.Lock()
	leased := h.store.leases[v.Key()] != 0
	h.store.mu.Unlock()
	if !leased {
		t.Error("the entry stays for good")
	}
	h.start("n3", 3)
	h.waitForTargets("n3", "n2", "n3")
}

// Guards against a node that never accepts its target because the store refuses this node
// alone, and against one that forgets departures then: its peers know them.
func TestANodeThatTheStoreRefusesIsRestoredByItsPeers(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n2", "n3")
	h.waitForStart("n2", "n3")
	h.store.put(entryKey("a", "n1"), encodeEntry(departedRecord()))
	h.eventually("n2 and n3 know n1", func() bool {
		a, _ := h.nodes["n2"].view.member("n1")
		b, _ := h.nodes["n3"].view.member("n1")
		return a.Departed() == "t1" && b.Departed() == "t1"
	})
	var r heard
	store := &nodeStore{fakeStore: h.store}
	store.unreachable.Store(true)
	f := New(store, h.clk, departedRecord(membership.Boot(9), membership.Departed("")), configKey, decodeNumber, r.options()...)
	for _, n := range []string{"n2", "n3"} {
		self, _ := h.nodes[n].ownRecord()
		f.view.put(self, 0)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go f.Run(ctx, done)
	h.eventually("the node is restored", func() bool { _, n := r.state(); return n == 1 })
	cancel()
	<-done
	if departed, _ := r.state(); len(departed) == 0 || departed[0] != "t1" {
		t.Errorf("the node heard of %q", departed)
	}
}

// Guards against departures that vanish from the store while the node that has announced them
// lives, as when the store goes back to an earlier copy.
func TestAnEntryThatWasReplacedIsWrittenAgain(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	f := New(h.store, h.clk, departedRecord(membership.Departed("")), configKey, decodeNumber)
	w := &entryWriter{f: f}
	readAndAnnounce(t, f, false, func() { f.Announce(membership.Draining, "t1", 12, "", membership.Departed("t1")) })
	if err := w.reconcile(t.Context()); err != nil {
		t.Fatal(err)
	}
	older := departedRecord(membership.Seq(1), membership.InState(membership.Ready), membership.Departed(""))
	h.store.put(entryKey("a", "n1"), encodeEntry(older))
	f.applyOwnRecord(older, h.store.revision)
	if err := w.reconcile(t.Context()); err != nil {
		t.Fatal(err)
	}
	v, _ := h.store.get(entryKey("a", "n1"))
	if got, err := decodeEntry(v.Key(), v.Data()); err != nil || got.Departed() != "t1" {
		t.Errorf("the entry is %+v, %v", got, err)
	}
}

// Guards against a departure that is never acknowledged because the response to its write was
// lost.
func TestADepartureWhoseWriteWasNotAnsweredIsAcknowledged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	f := New(h.store, h.clk, departedRecord(membership.Departed("")), configKey, decodeNumber)
	w := &entryWriter{f: f}
	readAndAnnounce(t, f, false, func() { f.Announce(membership.Draining, "t1", 12, "", membership.Departed("t1")) })
	h.store.set(func() { h.store.loseWriteResponse = true })
	saved := make(chan error, 1)
	ctx, cancel := h.clk.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() { saved <- f.AwaitStored(ctx) }()
	if err := w.reconcile(t.Context()); err == nil {
		t.Fatal("the response was not lost")
	}
	_ = w.reconcile(t.Context())
	if err := <-saved; err != nil {
		t.Error(err)
	}
}
