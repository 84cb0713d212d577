package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/version"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const configKey = "the/configuration"

// decodeNumber decodes a configuration that consists only of its version.
func decodeNumber(b []byte) (*snapshot.Snapshot, error) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return nil, &EntryError{Key: configKey, Reason: "is not a number"}
	}
	return snapshot.Assemble(n, nil)
}

// harness runs the fleets of several nodes with one store on the real clock. Conditions
// are polled, so a slow machine only makes the tests slower.
type harness struct {
	t     *testing.T
	clk   *timer.Service
	store *fakeStore
	nodes map[string]*testNode
	// decode replaces decodeNumber on nodes that start afterwards.
	decode Decoder
}

type testNode struct {
	*Fleet
	stop func()
	// stalled makes requests to the node hang.
	stalled atomic.Bool
	// answersNothing makes the node answer requests with an empty success.
	answersNothing atomic.Bool
	// views counts the node's requests of the method View.
	views atomic.Int64
	// closeListener stops accepting connections; open ones continue.
	closeListener func()
}

// nodeStore is the store as one node reaches it, which may be cut off.
type nodeStore struct {
	*fakeStore
	unreachable atomic.Bool
	// nodesKeysOnly makes reads of other keys than those that nodes write fail.
	nodesKeysOnly atomic.Bool
	refused       atomic.Int64 // calls while unreachable
}

func (s *nodeStore) checkReachable(kind platform.Kind) error {
	if s.unreachable.Load() {
		s.refused.Add(1)
		return &platform.UnavailableError{Op: kind}
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := s.checkReachable(platform.KindGet); err != nil {
		return platform.Value{}, err
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *nodeStore) Range(ctx context.Context, prefix string, opts ...platform.ReadOption) ([]platform.Value, uint64, error) {
	if err := s.checkReachable(platform.KindGet); err != nil {
		return nil, 0, err
	}
	if s.nodesKeysOnly.Load() && !strings.HasPrefix(prefix, nodesPrefix) {
		return nil, 0, &platform.UnavailableError{Op: platform.KindGet}
	}
	return s.fakeStore.Range(ctx, prefix, opts...)
}

func (s *nodeStore) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if err := s.checkReachable(platform.KindWatch); err != nil {
		return nil, after, err
	}
	events, at, err := s.fakeStore.WatchPrefix(ctx, prefix, after, wait)
	if lost := s.checkReachable(platform.KindWatch); lost != nil {
		return nil, after, lost
	}
	return events, at, err
}

func (s *nodeStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	if err := s.checkReachable(platform.KindKeepAlive); err != nil {
		return err
	}
	return s.fakeStore.KeepAlive(ctx, lease)
}

func (s *nodeStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.checkReachable(platform.KindGrant); err != nil {
		return 0, err
	}
	return s.fakeStore.Grant(ctx, ttl)
}

func (s *nodeStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, opts ...platform.WriteOption) (uint64, error) {
	if err := s.checkReachable(platform.KindCompareAndSwap); err != nil {
		return 0, err
	}
	return s.fakeStore.CompareAndSwap(ctx, key, revision, value, opts...)
}

func newHarness(t *testing.T, names ...string) *harness {
	t.Helper()
	clk, stop := timer.Start()
	t.Cleanup(stop)
	h := &harness{t: t, clk: clk, store: newFakeStore(clk), nodes: map[string]*testNode{}, decode: decodeNumber}
	for i, name := range names {
		h.start(name, uint64(i+1))
	}
	return h
}

// start starts a node in domain "a" that announces a ready target.
func (h *harness) start(name string, boot uint64) *testNode {
	return h.startIn("a", name, boot, h.store)
}

// startIn starts a node in a failure domain with its own access to the store.
func (h *harness) startIn(domain, name string, boot uint64, store platform.PrefixStore) *testNode {
	return h.startWithLink(domain, name, boot, store, 0)
}

// startWithWideLink starts a node that ranks first, as its link is the widest.
func (h *harness) startWithWideLink(domain, name string, boot uint64, store platform.PrefixStore) *testNode {
	return h.startWithLink(domain, name, boot, store, 1000)
}

func (h *harness) startWithLink(domain, name string, boot uint64, store platform.PrefixStore, link int) *testNode {
	h.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(ln.Addr().String())
	self := membership.NewRecord(name, membership.Domain(domain), membership.Pool("quotes"),
		membership.Address(peer), membership.ControlAddress(peer), membership.Boot(boot), membership.LinkMbps(link))
	f := New(store, h.clk, self, configKey, h.decode, WithRandomSeed(boot),
		WithRollouts(testRolloutCodec{}, func() float64 { return 0.1 }))
	n := &testNode{Fleet: f}
	handler := f.Handler()
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/View") {
			n.views.Add(1)
		}
		if n.stalled.Load() {
			_, _ = io.Copy(io.Discard, req.Body) // else the server doesn't detect that the client closes
			<-req.Context().Done()
			return
		}
		if n.answersNothing.Load() {
			w.Header().Set("Content-Type", "application/protobuf")
			return
		}
		handler.ServeHTTP(w, req)
	})}
	served, ran := make(chan error, 1), make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	n.closeListener = func() { _ = ln.Close() }
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, ran)
	f.Announce(membership.Ready, name+"-target", 12, "")
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-ran
		_ = srv.Close()
		<-served
	}
	h.t.Cleanup(n.stop)
	h.nodes[name] = n
	return n
}

// eventually polls until a condition holds.
func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	deadline := h.clk.Now().Add(20 * time.Second)
	for !ok() {
		if h.clk.Now().After(deadline) {
			h.t.Fatalf("condition not reached: %s", what)
		}
		_ = h.clk.Sleep(context.Background(), 5*time.Millisecond)
	}
}

// waitForTargets waits until a node knows exactly these targets of the pool.
func (h *harness) waitForTargets(node string, targets ...string) {
	h.t.Helper()
	h.eventually(fmt.Sprintf("%s knows targets %v", node, targets), func() bool {
		var got []string
		for _, t := range h.nodes[node].Targets("quotes") {
			got = append(got, strings.TrimSuffix(t.TargetID(), "-target"))
		}
		return cmp.Equal(targets, got)
	})
}

func (h *harness) waitForVersion(node string, version uint64) {
	h.t.Helper()
	h.eventually(fmt.Sprintf("%s has version %d", node, version), func() bool {
		return h.nodes[node].Current().Version() == version
	})
}

// waitForStart waits until the nodes know each other and have version 1.
func (h *harness) waitForStart(names ...string) {
	h.t.Helper()
	h.store.put(configKey, []byte("1"))
	for _, n := range names {
		h.waitForTargets(n, names...)
		h.waitForVersion(n, 1)
	}
}

func TestNodesFindEachOtherAndTheConfiguration(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2")
	h.store.put(configKey, []byte("3"))
	for _, n := range []string{"n1", "n2"} {
		h.waitForTargets(n, "n1", "n2")
		h.waitForVersion(n, 3)
	}
	h.nodes["n2"].stop()
	h.waitForTargets("n1", "n1")
}

// Guards against a newer version that is replaced by an older or invalid one, from a lagging
// store or node or from another writer.
func TestOlderAndInvalidVersionsAreIgnored(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	h.store.put(configKey, []byte("7"))
	h.waitForVersion("n1", 7)
	h.store.put(configKey, []byte("4"))
	h.store.put(configKey, []byte("none"))
	h.store.put(configKey, []byte("8"))
	h.waitForVersion("n1", 8)
	f := h.nodes["n1"].Fleet
	f.applyConfig(5, []byte("5"), "another node")
	if v := f.Current().Version(); v != 8 {
		t.Errorf("version went back from 8 to %d", v)
	}
}

// Guards against a version missed because the store compacted its history during a watch.
// The watch returns no events but a later revision, which must not count as "no change".
func TestAChangeMissedByAWatchIsFound(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	h.store.put(configKey, []byte("1"))
	h.waitForVersion("n1", 1)
	h.store.set(func() { h.store.historyDropped = true })
	h.store.put(configKey, []byte("2"))
	h.waitForVersion("n1", 2)
}

// The store loses the entries of running nodes. They must write them again.
func TestRunningNodesRewriteLostEntries(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2", "n3")
	h.waitForStart("n1", "n2", "n3")
	h.waitForReader("n1", "n2", "n3")
	h.store.set(func() {
		for _, n := range []string{"n1", "n2", "n3"} {
			h.store.write(entryKey("a", n), nil)
		}
	})
	h.eventually("all entries are in the store", func() bool {
		for _, n := range []string{"n1", "n2", "n3"} {
			if _, ok := h.store.get(entryKey("a", n)); !ok {
				return false
			}
		}
		return true
	})
	for _, n := range []string{"n1", "n2", "n3"} {
		h.waitForTargets(n, "n1", "n2", "n3")
	}
}

func deadMember(name, domain string) membership.Record {
	nowhere := netip.MustParseAddrPort("127.0.0.1:1")
	return membership.NewRecord(name, membership.Domain(domain), membership.Pool("quotes"), membership.Boot(1),
		membership.Address(nowhere), membership.ControlAddress(nowhere), membership.InState(membership.Ready), membership.TargetID(name+"-target"))
}

// Guards against a stopped node that stays a member: entries have no leases, so the root of
// its failure domain must remove its entry.
func TestTheEntryOfAStoppedNodeIsRemoved(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2", "n3")
	h.waitForStart("n1", "n2", "n3")
	h.store.put(entryKey("a", "n9"), encodeEntry(deadMember("n9", "a")))
	for _, n := range []string{"n1", "n2", "n3"} {
		h.waitForTargets(n, "n1", "n2", "n3", "n9")
	}
	for _, n := range []string{"n1", "n2", "n3"} {
		h.waitForTargets(n, "n1", "n2", "n3")
	}
	if _, ok := h.store.get(entryKey("a", "n9")); ok {
		t.Error("its entry is still in the store")
	}
}

// Guards against a root that takes all other members for stopped because it is cut off
// itself: it must not remove most of them.
func TestARootThatFewMembersAnswerRemovesNone(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	h.store.set(func() {
		for i := range 5 {
			r := deadMember(fmt.Sprint("z", i), "a")
			h.store.write(entryKey("a", r.Instance()), encodeEntry(r))
		}
	})
	h.waitForTargets("n1", "n1", "z0", "z1", "z2", "z3", "z4")
	a := &auditor{f: h.nodes["n1"].Fleet, silent: map[string]silentSince{}}
	for range 3 {
		for i := range 5 {
			a.check(t.Context(), deadMember(fmt.Sprint("z", i), "a"), 6)
		}
		for name, s := range a.silent {
			s.first = s.first.Add(-time.Minute)
			a.silent[name] = s
		}
	}
	if got := h.nodes["n1"].Size(); got != 6 {
		t.Errorf("%d of 6 members are left", got)
	}
}

// A failure domain whose key the store has dropped is lost, or its nodes still run. The
// members must be removed only if they don't answer, and return with the key.
func TestMembersOfALostFailureDomain(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startIn("a", "a1", 1, h.store)
	h.startIn("b", "b1", 2, h.store)
	h.waitForStart("a1", "b1")
	h.store.put(entryKey("c", "c1"), encodeEntry(deadMember("c1", "c")))
	h.store.put(domainsPrefix+"c", []byte(`{"lease":7}`))
	h.waitForTargets("a1", "a1", "b1", "c1")
	h.eventually("the domains have keys", func() bool {
		_, a := h.store.get(domainsPrefix + "a")
		_, b := h.store.get(domainsPrefix + "b")
		return a && b
	})
	h.store.set(func() {
		h.store.write(domainsPrefix+"b", nil)
		h.store.write(domainsPrefix+"c", nil)
	})
	h.waitForTargets("a1", "a1", "b1")
	if _, ok := h.store.get(entryKey("c", "c1")); !ok {
		t.Error("the entry of a member of another domain was removed")
	}
	h.store.put(domainsPrefix+"c", []byte(`{"lease":8}`))
	h.waitForTargets("a1", "a1", "b1", "c1")
	h.eventually("the running domain has written its key again", func() bool {
		_, ok := h.store.get(domainsPrefix + "b")
		return ok
	})
}

// readAndAnnounce has a node read its entry, and announce its target before or after that.
func readAndAnnounce(t *testing.T, f *Fleet, early bool, announce func()) {
	t.Helper()
	if early {
		announce()
	}
	if err := f.readOwnEntry(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.setOwnEntryRead()
	if !early {
		announce()
	}
}

// Guards against a write for each process that is restarted: the entry of the earlier one is
// still right.
func TestARestartedProcessWritesNothingIfItsEntryIsRight(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2")
	h.waitForStart("n1", "n2")
	h.eventually("the entry is in the store", func() bool { _, ok := h.store.get(entryKey("a", "n2")); return ok })
	before, _ := h.store.get(entryKey("a", "n2"))
	record, err := decodeEntry(before.Key(), before.Data())
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name    string
		early   bool // the announcement comes before the store is read
		target  string
		writes  bool
		wantSeq uint64
	}{
		{"the same target", false, "n2-target", false, record.Seq()},
		{"the same target, announced early", true, "n2-target", false, record.Seq()},
		{"another target", false, "other", true, record.Seq() + 1},
	} {
		base := membership.NewRecord("n2", membership.Domain("a"), membership.Pool("quotes"), membership.Address(record.Address()),
			membership.ControlAddress(record.ControlAddress()), membership.Boot(99))
		f := New(h.store, h.clk, base, configKey, decodeNumber)
		if view, err := f.View(t.Context(), &fleetpb.ViewRequest{}); err != nil || len(view.GetEntry()) > 0 {
			t.Errorf("%s: the node announces %q before it has read its entry, error %v", tt.name, view.GetEntry(), err)
		}
		w := &entryWriter{f: f}
		readAndAnnounce(t, f, tt.early, func() { f.Announce(membership.Ready, tt.target, 12, "") })
		h.store.mu.Lock()
		calls := h.store.calls
		h.store.mu.Unlock()
		if err := w.reconcile(t.Context()); err != nil {
			t.Fatal(err)
		}
		h.store.mu.Lock()
		written := h.store.calls > calls
		h.store.mu.Unlock()
		self, _ := f.ownRecord()
		if written != tt.writes || self.Seq() != tt.wantSeq {
			t.Errorf("%s: written %v, record %+v", tt.name, written, self)
		}
	}
}

// The store refuses one node and serves the others, from which that node must get the next
// version.
func TestANodeThatTheStoreRefusesGetsVersionsFromOtherNodes(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2")
	h.store.put(configKey, []byte("1"))
	h.waitForVersion("n1", 1)
	h.waitForVersion("n2", 1)
	h.waitForTargets("n1", "n1", "n2")
	h.store.set(func() { h.store.unavailable = true })
	h.nodes["n2"].applyConfig(version.Unknown, []byte("2"), "the store, available to this node")
	h.waitForVersion("n1", 2)
}

// The response to a write is lost, and the retry fails because the key has a new revision.
// The node must end with its own entry in the store and not retry forever.
func TestALostWriteResponseIsRecovered(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.store.loseWriteResponse = true
	h.start("n1", 1)
	h.waitForTargets("n1", "n1")
	h.eventually("the entry is in the store", func() bool {
		v, ok := h.store.get(entryKey("a", "n1"))
		return ok && strings.Contains(string(v.Data()), "n1-target")
	})
}

// A process is killed and restarts while its old entry is still in the store, on a machine
// whose clock was set back. The new entry must replace the old one.
func TestARestartedNodeReplacesItsOldEntry(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n2")
	old := membership.NewRecord("n1", membership.Domain("a"), membership.Pool("quotes"), membership.Boot(900), membership.Seq(9),
		membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.ControlAddress(netip.MustParseAddrPort("127.0.0.1:1")),
		membership.InState(membership.Ready), membership.TargetID("old-target"))
	h.store.put(entryKey("a", "n1"), encodeEntry(old))
	h.waitForTargets("n2", "old", "n2")
	h.start("n1", 5)
	h.waitForTargets("n2", "n1", "n2")
	h.waitForTargets("n1", "n1", "n2")
}

func TestEntryRoundTrip(t *testing.T) {
	t.Parallel()
	here := netip.MustParseAddrPort("127.0.0.1:7600")
	want := membership.NewRecord("n1", membership.Domain("a"), membership.Pool("quotes"), membership.Boot(900), membership.Seq(9),
		membership.Address(here), membership.ControlAddress(here), membership.InState(membership.Ready), membership.TargetID("n1-target"),
		membership.Slots(11), membership.Crash("a crash"), membership.LinkMbps(100))
	got, err := decodeEntry(entryKey("a", "n1"), encodeEntry(want))
	if err != nil || got != want {
		t.Errorf("entry %+v is decoded as %+v, error %v", want, got, err)
	}
}

// Guards against an entry of another writer, incomplete or of another instance, that names a
// target to use.
func TestInvalidEntriesAreRejected(t *testing.T) {
	t.Parallel()
	const whole = `{"instance":"n1","failure_domain":"a","pool":"q","address":"127.0.0.1:1","peer":"127.0.0.1:1","boot":1,"seq":1,"state":"ready","target":"t"}`
	if r, err := decodeEntry(entryKey("a", "n1"), []byte(whole)); err != nil || r.State() != membership.Ready {
		t.Errorf("a whole entry is decoded as %+v, error %v", r, err)
	}
	texts := []string{``, `[]`, `null`, `{"instance":7}`, `{}`}
	for end := range len(whole) {
		texts = append(texts, whole[:end])
	}
	for _, wrong := range []struct{ part, instead string }{
		{`"n1"`, `"n2"`},
		{`"failure_domain":"a",`, ``},
		{`"failure_domain":"a"`, `"failure_domain":"b"`},
		{`"pool":"q"`, `"pool":""`},
		{`"pool":"q",`, ``},
		{`"address":"127.0.0.1:1"`, `"address":"here"`},
		{`"address":"127.0.0.1:1",`, ``},
		{`"peer":"127.0.0.1:1"`, `"peer":"127.0.0.1"`},
		{`"peer":"127.0.0.1:1"`, `"peer":"127.0.0.1:0"`},
		{`"address":"127.0.0.1:1"`, `"address":"127.0.0.1:0"`},
		{`"address":"127.0.0.1:1"`, `"address":"127.0.0.1:70000"`},
		{`"address":"127.0.0.1:1"`, `"address":"0.0.0.0:1"`},
		{`"boot":1`, `"boot":18446744073709551616`},
		{`"seq":1`, `"seq":1e3`},
		{`"peer":"127.0.0.1:1",`, ``},
		{`"boot":1,`, ``},
		{`"boot":1`, `"boot":null`},
		{`"boot":1`, `"boot":-1`},
		{`"seq":1,`, ``},
		{`"seq":1`, `"seq":"1"`},
		{`"ready"`, `"asleep"`},
		{`"state":"ready",`, ``},
		{`,"target":"t"`, ``},
		{`"target":"t"`, `"target":{}`},
	} {
		text := strings.Replace(whole, wrong.part, wrong.instead, 1)
		if text == whole {
			t.Errorf("%s is not in the entry", wrong.part)
		}
		texts = append(texts, text)
	}
	for _, text := range texts {
		if r, err := decodeEntry(entryKey("a", "n1"), []byte(text)); err == nil {
			t.Errorf("invalid entry %s is decoded as %+v", text, r)
		}
	}
}

// Versions are written faster than the node's link carries them, so watch responses exceed
// their timeout. The node must read the newest version instead, and watch again afterwards.
func TestABurstOfVersionsOnANarrowLinkEndsAtTheNewest(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	h.store.put(configKey, []byte("1"))
	h.waitForVersion("n1", 1)
	h.store.set(func() {
		h.store.maxWatchEvents = 3
		for version := range 5 {
			h.store.write(configKey, fmt.Append(nil, 2+version))
		}
	})
	h.eventually("the newest version is active", func() bool {
		v, _ := h.store.get(configKey)
		return string(v.Data()) == fmt.Sprint(h.nodes["n1"].Current().Version())
	})
	h.store.put(configKey, []byte("14"))
	h.waitForVersion("n1", 14)
}

// A failure domain is isolated and the store drops its sixty entries. The probes of these
// nodes time out, which must not delay a version on the other nodes.
func TestAVersionIsFetchedWhileManyMembersAreMissing(t *testing.T) {
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	h := newHarness(t, names...)
	blackhole, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connections
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = blackhole.Close() })
	peer := netip.MustParseAddrPort(blackhole.Addr().String())
	h.waitForStart(names...)
	isolatedMember := func(n int) membership.Record {
		return membership.NewRecord(fmt.Sprintf("cut-%d", n), membership.Domain("b"), membership.Pool("other"),
			membership.Address(peer), membership.ControlAddress(peer), membership.Boot(1), membership.InState(membership.Ready), membership.TargetID("cut"))
	}
	h.store.set(func() {
		for n := range 60 {
			h.store.write(entryKey("b", isolatedMember(n).Instance()), encodeEntry(isolatedMember(n)))
		}
	})
	h.eventually("the members of the isolated domain are known", func() bool { return h.nodes["n1"].Size() == len(names)+60 && h.nodes["n6"].Size() == len(names)+60 })
	h.store.set(func() {
		for n := range 60 {
			h.store.write(entryKey("b", isolatedMember(n).Instance()), nil)
		}
	})
	h.eventually("some members have been removed", func() bool { return h.nodes["n1"].Size() < len(names)+60 })
	h.store.put(configKey, []byte("2"))
	for _, n := range names {
		h.waitForVersion(n, 2)
	}
}

// A node whose target drains still serves its callers, so it must receive new versions.
func TestANodeWithADrainingTargetStillReceivesVersions(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2")
	h.store.put(configKey, []byte("1"))
	h.nodes["n2"].Announce(membership.Draining, "n2-target", 12, "")
	h.waitForTargets("n1", "n1")
	h.waitForVersion("n2", 1)
	h.store.put(configKey, []byte("2"))
	h.waitForVersion("n2", 2)
}

// A watch requested during an outage is never answered, even after the store recovers. The
// node must read instead, as a read times out and is retried soon.
func TestAVersionIsReadWhenWatchesHang(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	h.waitForStart("n1")
	h.store.set(func() { h.store.unavailable = true })
	h.eventually("the node notices the outage", func() bool { return !h.nodes["n1"].storeOK.Load() })
	h.store.set(func() {
		h.store.unavailable, h.store.watchesHang = false, true
		h.store.write(configKey, []byte("2"))
	})
	h.waitForVersion("n1", 2)
}
