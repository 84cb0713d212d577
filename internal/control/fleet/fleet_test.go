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
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const configKey = "the/configuration"

// decodeNumber reads a configuration that is nothing but its version.
func decodeNumber(b []byte) (*snapshot.Snapshot, error) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return nil, &EntryError{Key: configKey, Reason: "is no number"}
	}
	return snapshot.Assemble(n, nil)
}

// rig is some nodes' fleets at one store, on the machine's clock: what is waited
// for is polled, so that a slow machine makes the test slow and nothing else.
type rig struct {
	t     *testing.T
	clk   *timer.Service
	store *fakeStore
	nodes map[string]*spot
}

type spot struct {
	*Fleet
	stop func()
	// still makes the node answer no other, as one that stands still.
	still atomic.Bool
	// refuse ends the taking of connections; those there are go on.
	refuse func()
}

// reaching is the store as one node reaches it.
type reaching struct {
	*fakeStore
	cut atomic.Bool
}

func (s *reaching) refused(kind platform.Kind) error {
	if s.cut.Load() {
		return &platform.UnavailableError{Op: kind}
	}
	return nil
}

func (s *reaching) Range(ctx context.Context, prefix string) ([]platform.Value, uint64, error) {
	if err := s.refused(platform.KindGet); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.Range(ctx, prefix)
}

func (s *reaching) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if err := s.refused(platform.KindWatch); err != nil {
		return nil, after, err
	}
	events, at, err := s.fakeStore.WatchPrefix(ctx, prefix, after, wait)
	if lost := s.refused(platform.KindWatch); lost != nil {
		return nil, after, lost
	}
	return events, at, err
}

func (s *reaching) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	if err := s.refused(platform.KindKeepAlive); err != nil {
		return err
	}
	return s.fakeStore.KeepAlive(ctx, lease)
}

func newRig(t *testing.T, names ...string) *rig {
	t.Helper()
	clk, stop := timer.Start()
	t.Cleanup(stop)
	r := &rig{t: t, clk: clk, store: newFakeStore(clk), nodes: map[string]*spot{}}
	for i, name := range names {
		r.start(name, uint64(i+1))
	}
	return r
}

// start starts a node that tells of a ready target.
func (r *rig) start(name string, boot uint64) *spot { return r.startIn("a", name, boot, r.store) }

// startIn starts one of a failure domain, with the store as it reaches it.
func (r *rig) startIn(domain, name string, boot uint64, store platform.Prefixes) *spot {
	return r.startLinked(domain, name, boot, store, 0)
}

// startWide starts one whose link is wider than the others', so that it ranks first.
func (r *rig) startWide(domain, name string, boot uint64, store platform.Prefixes) *spot {
	return r.startLinked(domain, name, boot, store, 1000)
}

func (r *rig) startLinked(domain, name string, boot uint64, store platform.Prefixes, link int) *spot {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(ln.Addr().String())
	self := membership.NewRecord(name, membership.Domain(domain), membership.Pool("quotes"),
		membership.Address(peer), membership.Peer(peer), membership.Boot(boot), membership.Link(link))
	f := New(store, r.clk, self, configKey, decodeNumber, WithSeed(boot),
		WithRollouts(plainOrders{}, func() float64 { return 0.1 }))
	s := &spot{Fleet: f}
	answers := f.Handler()
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.still.Load() {
			_, _ = io.Copy(io.Discard, req.Body) // else its end goes unnoticed
			<-req.Context().Done()
			return
		}
		answers.ServeHTTP(w, req)
	})}
	served, ran := make(chan error, 1), make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	s.refuse = func() { _ = ln.Close() }
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, ran)
	f.Announce(membership.Ready, name+"-target", 12, "")
	stopped := false
	s.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-ran
		_ = srv.Close()
		<-served
	}
	r.t.Cleanup(s.stop)
	r.nodes[name] = s
	return s
}

// eventually waits until a condition holds.
func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	deadline := r.clk.Now().Add(20 * time.Second)
	for !ok() {
		if r.clk.Now().After(deadline) {
			r.t.Fatalf("never: %s", what)
		}
		_ = r.clk.Sleep(context.Background(), 5*time.Millisecond)
	}
}

// sees waits until a node knows just these targets of the pool.
func (r *rig) sees(node string, targets ...string) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("%s sees %v", node, targets), func() bool {
		var got []string
		for _, t := range r.nodes[node].Targets("quotes") {
			got = append(got, strings.TrimSuffix(t.Target(), "-target"))
		}
		return cmp.Equal(targets, got)
	})
}

func (r *rig) holds(node string, version uint64) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("%s holds version %d", node, version), func() bool {
		return r.nodes[node].Current().Version() == version
	})
}

// begin waits until nodes know each other and hold version 1.
func (r *rig) begin(names ...string) {
	r.t.Helper()
	r.store.put(configKey, []byte("1"))
	for _, n := range names {
		r.sees(n, names...)
		r.holds(n, 1)
	}
}

func TestNodesFindEachOtherAndTheConfiguration(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1", "n2")
	r.store.put(configKey, []byte("3"))
	for _, n := range []string{"n1", "n2"} {
		r.sees(n, "n1", "n2")
		r.holds(n, 3)
	}
	r.nodes["n2"].stop()
	r.sees("n1", "n1")
}

// A store that lags, another writer or a node that was away for long brings an
// older version, or bytes that are none. Callers must never see a version after a
// newer one, so neither changes anything.
func TestAVersionNeverGoesBack(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	r.store.put(configKey, []byte("7"))
	r.holds("n1", 7)
	r.store.put(configKey, []byte("4"))
	r.store.put(configKey, []byte("none"))
	r.store.put(configKey, []byte("8"))
	r.holds("n1", 8)
	f := r.nodes["n1"].Fleet
	f.take([]byte("5"), "a node")
	if v := f.Current().Version(); v != 8 {
		t.Errorf("version %d after 8", v)
	}
}

// The store drops its history while watches hear nothing, and a version comes
// meanwhile. The watch ends without events but at a later revision: taken for "no
// change", the version would stay unseen for good.
func TestAChangeThatTheStoreHidesIsFound(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	r.store.put(configKey, []byte("1"))
	r.holds("n1", 1)
	r.store.set(func() { r.store.deaf = true })
	r.store.put(configKey, []byte("2"))
	r.holds("n1", 2)
}

// The store is out, its leases run out meanwhile, and it comes back without the
// entries of nodes that serve as before. The nodes write them again; until then
// the others keep them, as they answer when asked.
func TestEntriesThatLapsedAreKeptAndWrittenAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1", "n2")
	r.sees("n1", "n1", "n2")
	r.store.set(func() { r.store.out = true })
	r.store.set(func() { r.store.out = false; r.store.lapse() })
	r.eventually("both entries are back", func() bool {
		_, one := r.store.held(MembersPrefix + "n1")
		_, two := r.store.held(MembersPrefix + "n2")
		return one && two
	})
	r.sees("n1", "n1", "n2")
	r.sees("n2", "n1", "n2")
}

// A node dies for good and the store drops its entry with the lease. It does not
// answer when asked, so it is taken for gone and gets no more calls.
func TestAMemberThatNeitherTheStoreNorItselfVouchesForGoes(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	dead := membership.NewRecord("n9", membership.Domain("a"), membership.Pool("quotes"), membership.Boot(1),
		membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.Peer(netip.MustParseAddrPort("127.0.0.1:1")),
		membership.InState(membership.Ready), membership.Target("n9-target"))
	r.store.put(MembersPrefix+"n9", encode(dead))
	r.sees("n1", "n1", "n9")
	r.store.put(MembersPrefix+"n9", nil)
	r.sees("n1", "n1")
}

// The store turns one node away and goes on serving the others. It learns of the
// version that comes then from one of them.
func TestANodeThatTheStoreTurnsAwayLearnsFromOthers(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1", "n2")
	r.store.put(configKey, []byte("1"))
	r.holds("n1", 1)
	r.holds("n2", 1)
	r.sees("n1", "n1", "n2")
	r.store.set(func() { r.store.out = true })
	r.nodes["n2"].take([]byte("2"), "the store, which still serves this node")
	r.holds("n1", 2)
}

// A write's answer is lost, so the node writes again; the store answers that the
// key has another revision. The node must end with its own entry there, and not
// write for ever.
func TestALostAnswerToAWriteIsSettled(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.store.loseWrite = true
	r.start("n1", 1)
	r.sees("n1", "n1")
	r.eventually("the entry stands", func() bool {
		v, ok := r.store.held(MembersPrefix + "n1")
		return ok && strings.Contains(string(v.Data()), "n1-target")
	})
}

// A process is killed and starts again beside the same target while its entry
// still stands, on a machine whose clock has been set back. Its new entry must
// win over the one that it left.
func TestARestartedNodesEntryWinsOverTheOneItLeft(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n2")
	old := membership.NewRecord("n1", membership.Domain("a"), membership.Pool("quotes"), membership.Boot(900), membership.Seq(9),
		membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.Peer(netip.MustParseAddrPort("127.0.0.1:1")),
		membership.InState(membership.Ready), membership.Target("old-target"))
	r.store.put(MembersPrefix+"n1", encode(old))
	r.sees("n2", "old", "n2")
	r.start("n1", 5)
	r.sees("n2", "n1", "n2")
	r.sees("n1", "n1", "n2")
}

func TestAnEntryIsReadAsItWasWritten(t *testing.T) {
	t.Parallel()
	here := netip.MustParseAddrPort("127.0.0.1:7600")
	want := membership.NewRecord("n1", membership.Domain("a"), membership.Pool("quotes"), membership.Boot(900), membership.Seq(9),
		membership.Address(here), membership.Peer(here), membership.InState(membership.Ready), membership.Target("n1-target"),
		membership.Slots(11), membership.Crash("a crash"), membership.Link(100))
	got, err := decode(MembersPrefix+"n1", encode(want))
	if err != nil || got != want {
		t.Errorf("%+v is read as %+v, %v", want, got, err)
	}
}

func TestEntriesOfOthersAreNoEntries(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		``, `[]`, `{"instance":7}`, `{}`,
		`{"instance":"n2","failure_domain":"a","pool":"q","address":"127.0.0.1:1","peer":"127.0.0.1:1","state":"ready","target":"t"}`,
		`{"instance":"n1","failure_domain":"a","pool":"q","address":"here","peer":"127.0.0.1:1","state":"ready","target":"t"}`,
		`{"instance":"n1","failure_domain":"a","pool":"q","address":"127.0.0.1:1","peer":"127.0.0.1:1","state":"asleep","target":"t"}`,
		`{"instance":"n1","failure_domain":"a","pool":"","address":"127.0.0.1:1","peer":"127.0.0.1:1","state":"ready","target":"t"}`,
		`{"instance":"n1","failure_domain":"a","pool":"q","address":"127.0.0.1:1","peer":"127.0.0.1:1","state":"ready"}`,
	} {
		if r, err := decode(MembersPrefix+"n1", []byte(text)); err == nil {
			t.Errorf("%s is read as %+v", text, r)
		}
	}
}

// An operator writes version after version, and the node's link carries fewer
// than come. Each answer of a watch outlasts it and more is written meanwhile;
// asked again from the same change it never would come to an end. The node reads
// the newest instead, and hears of single changes again afterwards.
func TestARowOfVersionsOnANarrowLinkEndsInTheNewest(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	r.store.put(configKey, []byte("1"))
	r.holds("n1", 1)
	r.store.set(func() {
		r.store.narrow = 3
		for version := range 5 {
			r.store.write(configKey, fmt.Append(nil, 2+version))
		}
	})
	r.eventually("the newest is in force", func() bool {
		v, _ := r.store.held(configKey)
		return string(v.Data()) == fmt.Sprint(r.nodes["n1"].Current().Version())
	})
	r.store.put(configKey, []byte("14"))
	r.holds("n1", 14)
}

// A whole failure domain is cut off and the store drops its sixty entries. Each of
// its nodes is asked whether it lives, and none answers; a version that comes
// meanwhile reaches the nodes that fetch it all the same.
func TestAVersionIsFetchedWhileManyMembersAreMissing(t *testing.T) {
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	r := newRig(t, names...)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections wait there for ever
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	peer := netip.MustParseAddrPort(silent.Addr().String())
	r.begin(names...)
	cut := func(n int) membership.Record {
		return membership.NewRecord(fmt.Sprintf("cut-%d", n), membership.Domain("b"), membership.Pool("other"),
			membership.Address(peer), membership.Peer(peer), membership.Boot(1), membership.InState(membership.Ready), membership.Target("cut"))
	}
	r.store.set(func() {
		for n := range 60 {
			r.store.write(MembersPrefix+cut(n).Instance(), encode(cut(n)))
		}
	})
	r.eventually("they are known", func() bool { return r.nodes["n1"].Size() == len(names)+60 && r.nodes["n6"].Size() == len(names)+60 })
	r.store.set(func() {
		for n := range 60 {
			r.store.write(MembersPrefix+cut(n).Instance(), nil)
		}
	})
	r.eventually("some are gone", func() bool { return r.nodes["n1"].Size() < len(names)+60 })
	r.store.put(configKey, []byte("2"))
	for _, n := range names {
		r.holds(n, 2)
	}
}

// A target leaves, and the node beside it goes on taking its callers' calls. It
// follows the versions as the others do, few as they are.
func TestANodeWhoseTargetLeavesFollowsTheVersions(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1", "n2")
	r.store.put(configKey, []byte("1"))
	r.nodes["n2"].Announce(membership.Draining, "n2-target", 12, "")
	r.sees("n1", "n1")
	r.holds("n2", 1)
	r.store.put(configKey, []byte("2"))
	r.holds("n2", 2)
}

// The store is out for a moment. A node that asks to watch while it is silent gets
// no answer to that, also when the store is back; it reads what is there instead,
// which it can give up and ask again soon.
func TestAVersionIsFoundWhereAWatchWouldNeverBeAnswered(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	r.begin("n1")
	r.store.set(func() { r.store.out = true })
	r.eventually("the store is missed", func() bool { return !r.nodes["n1"].storeOK.Load() })
	r.store.set(func() {
		r.store.out, r.store.hangs = false, true
		r.store.write(configKey, []byte("2"))
	})
	r.holds("n1", 2)
}
