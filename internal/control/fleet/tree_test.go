package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

var (
	startTime  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	sevenNodes = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
)

// waitForReader waits until exactly one of the nodes reads the store, and returns it.
func (h *harness) waitForReader(names ...string) string {
	h.t.Helper()
	found := ""
	h.eventually("exactly one node reads the store", func() bool {
		readers := 0
		for _, n := range names {
			if h.nodes[n].readsStore() {
				readers++
				found = n
			}
		}
		return readers == 1
	})
	return found
}

func (h *harness) waitForVersionOn(version uint64, names ...string) {
	h.t.Helper()
	for _, n := range names {
		h.waitForVersion(n, version)
	}
}

func without(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Guards against store calls that grow with the number of nodes. A version, a new member and
// a removed one must still reach all nodes.
func TestOnlyTheRootOfAFailureDomainReadsTheStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t, sevenNodes...)
	h.waitForStart(sevenNodes...)
	h.waitForReader(sevenNodes...)
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, sevenNodes...)
	h.start("n8", 8)
	for _, n := range sevenNodes {
		h.waitForTargets(n, append(append([]string(nil), sevenNodes...), "n8")...)
	}
	h.nodes["n8"].stop()
	for _, n := range sevenNodes {
		h.waitForTargets(n, sevenNodes...)
	}
}

// After the reader fails, the other nodes must stop pulling from it, and the next in rank
// must read the store.
func TestAReaderThatFailsIsReplaced(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		fail func(r *harness, reader *testNode, store *nodeStore)
	}{
		{"it is killed", func(_ *harness, reader *testNode, _ *nodeStore) { reader.stop() }},
		{"it stalls", func(_ *harness, reader *testNode, store *nodeStore) {
			reader.stalled.Store(true)
			store.unreachable.Store(true)
		}},
		{"another program answers at its address", func(_ *harness, reader *testNode, store *nodeStore) {
			reader.answersNothing.Store(true)
			store.unreachable.Store(true)
		}},
		{"only its access to the store fails", func(_ *harness, _ *testNode, store *nodeStore) { store.unreachable.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			stores := map[string]*nodeStore{}
			for i, n := range sevenNodes {
				stores[n] = &nodeStore{fakeStore: h.store}
				h.startIn("a", n, uint64(i+1), stores[n])
			}
			h.waitForStart(sevenNodes...)
			reader := h.waitForReader(sevenNodes...)
			tc.fail(h, h.nodes[reader], stores[reader])
			h.store.put(configKey, []byte("2"))
			h.waitForVersionOn(2, without(sevenNodes, reader)...)
			h.store.put(configKey, []byte("3"))
			h.waitForVersionOn(3, without(sevenNodes, reader)...)
		})
	}
}

// Guards against a stopped root that stays the root in all member lists: no other node's
// position makes it responsible for removing the root's entry.
func TestTheEntryOfAStoppedRootIsRemoved(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	stores := map[string]*nodeStore{}
	for i, n := range sevenNodes {
		stores[n] = &nodeStore{fakeStore: h.store}
		h.startIn("a", n, uint64(i+1), stores[n])
	}
	h.waitForStart(sevenNodes...)
	root := h.waitForReader(sevenNodes...)
	h.eventually("its entry is in the store", func() bool { _, ok := h.store.get(entryKey("a", root)); return ok })
	stores[root].unreachable.Store(true)
	h.nodes[root].stalled.Store(true)
	others := without(sevenNodes, root)
	for _, n := range others {
		h.waitForTargets(n, others...)
	}
	h.waitForReader(others...)
	if _, ok := h.store.get(entryKey("a", root)); ok {
		t.Error("its entry is still in the store")
	}
}

// The store refuses all nodes of one failure domain; versions must arrive from the other.
func TestAFailureDomainWithoutTheStoreGetsVersionsFromAnother(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	domainStore := &nodeStore{fakeStore: h.store}
	for i := range 3 {
		h.startIn("a", fmt.Sprintf("a%d", i), uint64(i+1), domainStore)
		h.startIn("b", fmt.Sprintf("b%d", i), uint64(i+1), h.store)
	}
	names := []string{"a0", "a1", "a2", "b0", "b1", "b2"}
	h.waitForStart(names...)
	h.waitForReader("a0", "a1", "a2")
	h.waitForReader("b0", "b1", "b2")
	domainStore.unreachable.Store(true)
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, names...)
}

// Guards against a large fleet whose nodes all retry the store during an outage and overload
// it when it recovers.
func TestOnlyOneNodePerFailureDomainRetriesTheStoreInAnOutage(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	stores := map[string]*nodeStore{}
	for i, n := range sevenNodes {
		stores[n] = &nodeStore{fakeStore: h.store}
		h.startIn("a", n, uint64(i+1), stores[n])
	}
	h.waitForStart(sevenNodes...)
	reader := h.waitForReader(sevenNodes...)
	h.eventually("all entries are written", func() bool {
		for _, n := range sevenNodes {
			if _, ok := h.store.get(entryKey("a", n)); !ok {
				return false
			}
		}
		return true
	})
	for _, s := range stores {
		s.unreachable.Store(true)
		s.refused.Store(0)
	}
	h.eventually("the reader has retried", func() bool { return stores[reader].refused.Load() > 3 })
	calls := int64(0)
	for _, n := range without(sevenNodes, reader) {
		got := stores[n].refused.Load()
		calls += got
		if got > 0 && h.nodes[n].position().Rank() != 1 {
			t.Errorf("%s has made %d calls in the outage", n, got)
		}
	}
	if calls > 1 {
		t.Errorf("the nodes other than the reader have made %d calls in the outage", calls)
	}
	for _, s := range stores {
		s.unreachable.Store(false)
	}
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, sevenNodes...)
}

// A node announces a version and stops before it can serve it. A node with this hint must
// neither wait forever nor miss the next version.
func TestAHintToAnUnreachableNodeDoesNotBlockLaterVersions(t *testing.T) {
	t.Parallel()
	h := newHarness(t, sevenNodes...)
	h.waitForStart(sevenNodes...)
	f := h.nodes["n3"].Fleet
	f.Hint(membership.NewRecord("gone").ControlAddress(), 1000)
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, sevenNodes...)
}

// Guards against a removed member that keeps getting calls because a pull response omits its
// removal.
func TestMemberChangesSinceACursor(t *testing.T) {
	t.Parallel()
	newMember := func(name string, seq uint64) membership.Record {
		return membership.NewRecord(name, membership.Domain("a"), membership.Boot(1), membership.Seq(seq), membership.InState(membership.Draining))
	}
	v := newView()
	v.put(newMember("n1", 1), 5)
	v.put(newMember("n2", 1), 6)
	firstCursor := v.changesSince(0, nil).until
	v.put(newMember("n2", 2), 7)
	v.put(newMember("n3", 1), 8)
	secondCursor := v.changesSince(firstCursor, nil).until
	drop := func(name string) { v.update(func(b *batch) { b.entryDropped(name, startTime) }) }
	drop("n1")
	drop("n3")
	v.put(newMember("n3", 2), 9)
	for _, tc := range []struct {
		name     string
		after    uint64
		want     []string
		complete bool
	}{
		{"all members and those that left without a cursor", 0, []string{"n1 gone", "n2 draining", "n3 draining"}, true},
		{"changes and removals since a cursor", firstCursor, []string{"n1 gone", "n2 draining", "n3 draining"}, false},
		{"the last changes", secondCursor, []string{"n1 gone", "n3 draining"}, false},
		{"no change", v.changesSince(0, nil).until, nil, false},
		{"the same for the cursor of another process", 999, []string{"n1 gone", "n2 draining", "n3 draining"}, true},
	} {
		set := v.changesSince(tc.after, nil)
		got := map[string]bool{}
		for _, m := range set.members {
			got[m.record.Instance()+" "+m.record.State().String()] = true
		}
		want := map[string]bool{}
		for _, w := range tc.want {
			want[w] = true
		}
		if diff := cmp.Diff(want, got); diff != "" || (set.complete != nil) != tc.complete {
			t.Errorf("%s: complete %v, %s", tc.name, set.complete, diff)
		}
	}
	for n := range minDepartures + 1 {
		name := fmt.Sprint("short-", n)
		v.put(newMember(name, 1), 1)
		drop(name)
	}
	if set := v.changesSince(firstCursor, nil); set.complete == nil {
		t.Error("a cursor older than the kept departures gets changes only and misses removals")
	}
}

// Guards against a version that can't be fetched because an overloaded node accepts no new
// connections.
func TestAVersionIsFetchedWithoutANewConnection(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	stores := map[string]*nodeStore{}
	for i, n := range []string{"n1", "n2"} {
		stores[n] = &nodeStore{fakeStore: h.store}
		h.startIn("a", n, uint64(i+1), stores[n])
	}
	h.waitForStart("n1", "n2")
	reader := h.waitForReader("n1", "n2")
	other := without([]string{"n1", "n2"}, reader)[0]
	h.eventually("it pulls from the reader", h.nodes[other].freshness.known)
	stores[other].unreachable.Store(true)
	h.nodes[reader].closeListener()
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, "n1", "n2")
}

// Guards against a node that waits for the store forever, although it knows another member:
// the store became unavailable between the two reads of the members.
func TestANodeThatKnowsAnotherMemberStartsWithoutTheStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1")
	f := h.nodes["n1"].Fleet
	h.eventually("it has read the store", f.ownEntryRead.Load)
	h.store.set(func() { h.store.unavailable = true })
	f.view.put(membership.NewRecord("n2", membership.Domain("a"), membership.Boot(1)), 0)
	h.eventually("it knows its position", func() bool {
		select {
		case <-f.bootstrapped:
			return true
		default:
			return false
		}
	})
}

// A starting node must not serve members before it knows them: its children would remove all
// the others. It must say for how long its root has been starting, so that they wait.
func TestANodeThatHasNotReadTheStoreServesNoMembers(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.store.set(func() { h.store.unavailable = true })
	s := h.start("n1", 1)
	resp, err := s.Pull(t.Context(), &fleetpb.PullRequest{Members: true})
	if err != nil || resp.GetWhole() != nil || len(resp.GetMembers()) > 0 || resp.GetStartingMs() == 0 {
		t.Errorf("a node that has not read the store answers %v, error %v", resp, err)
	}
}

var _ platform.PrefixStore = (*nodeStore)(nil)

// Guards against a version that only a new node has read: it ranks itself first, so it has
// no parent, and the other nodes don't have it in their member lists yet.
func TestAVersionReadOnlyByANewNodeReachesAllNodes(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	sharedStore := &nodeStore{fakeStore: h.store}
	for i, n := range sevenNodes {
		h.startIn("a", n, uint64(i+1), sharedStore)
	}
	h.waitForStart(sevenNodes...)
	h.waitForReader(sevenNodes...)
	sharedStore.unreachable.Store(true)
	h.store.put(configKey, []byte("2"))
	h.startWithWideLink("a", "n8", 8, h.store)
	h.waitForVersionOn(2, append(append([]string(nil), sevenNodes...), "n8")...)
}

// Guards against querying stalled parents one after the other, each for a full timeout.
func TestStalledParentsAreQueriedInParallel(t *testing.T) {
	t.Parallel()
	h := newHarness(t, sevenNodes...)
	h.waitForStart(sevenNodes...)
	h.waitForReader(sevenNodes...)
	var f *Fleet
	for _, n := range sevenNodes {
		if n := h.nodes[n].Fleet; f == nil || n.position().Rank() > f.position().Rank() {
			f = n
		}
	}
	parents := f.position().Parents()
	p := &puller{f: f, selector: tree.NewSelector(rand.New(rand.NewPCG(1, 1)))}
	p.selector.Update(f.position())
	for _, parent := range parents[:2] {
		h.nodes[parent.Instance()].stalled.Store(true)
	}
	result := p.pullFirst(t.Context(), parents[0])
	if result.err != nil || result.from.Instance() == parents[0].Instance() || result.from.Instance() == parents[1].Instance() {
		t.Errorf("got a response from %s (error %v), want one from a parent that is not stalled", result.from.Instance(), result.err)
	}
}

// Guards against a slow parent that is left during a rollout, as it is asked for a shorter hold,
// and against a silent parent that is waited for like one that answers.
func TestPullTiming(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                    string
		hold                    time.Duration
		mayHold, failing, known bool
		want                    pullTiming
	}{
		{"calm", pullWait, true, false, true, pullTiming{pullWait, pullWait, parallelPullSlack}},
		{"a rollout", rolloutInterval, true, false, true, pullTiming{rolloutInterval, pullWait, parallelPullSlack}},
		{"another parent than the last", pullWait, false, false, true, pullTiming{0, 0, parallelPullSlack}},
		{"no parent answers", pullWait, false, true, true, pullTiming{0, 0, parallelPullSlack}},
		{"no parent answers and the first is new", pullWait, false, true, false, pullTiming{0, 0, parallelPullSlack}},
		{"a parent without a cursor", pullWait, false, false, false, pullTiming{0, 0, pullSlack}},
	} {
		if got := timingOf(tc.hold, tc.mayHold, tc.failing, tc.known); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a version that is late at all nodes because the store turns away just the
// one that reads it for them.
func TestTheNextNodeReadsTheStoreOnceItDoesNotAnswerTheRoot(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	store := &nodeStore{fakeStore: h.store}
	h.store.put(configKey, []byte("1"))
	root := h.startWithWideLink("a", "n1", 1, store)
	h.start("n2", 2)
	h.start("n3", 3)
	h.waitForStart("n1", "n2", "n3")
	var next, last *testNode
	h.eventually("the nodes have ranks", func() bool {
		for _, n := range []*testNode{h.nodes["n2"], h.nodes["n3"]} {
			switch n.position().Rank() {
			case 1:
				next = n
			case 2:
				last = n
			}
		}
		return root.position().IsRoot() && next != nil && last != nil
	})
	store.unreachable.Store(true)
	root.storeFailed(t.Context(), &platform.UnavailableError{Op: platform.KindKeepAlive})
	h.eventually("the next node reads the store while its data is fresh", func() bool {
		if next.orphaned.Load() {
			t.Fatal("the next node is orphaned before it reads the store")
		}
		return next.readsStore()
	})
	h.store.put(configKey, []byte("2"))
	for _, name := range []string{"n1", "n2", "n3"} {
		h.waitForVersion(name, 2)
	}
	if last.isStandby() {
		t.Error("a third node is a standby")
	}
	store.unreachable.Store(false)
	h.eventually("the root alone reads the store", func() bool { return !next.readsStore() && root.storeOK.Load() })
}

// Guards against a node that takes a store for unreachable which declines a write of its entry,
// as another node has written the same, and so never reads for a root that the store turns away.
func TestADeclinedWriteIsAnAnswerOfTheStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	var decline, declined atomic.Bool
	h.store.onSwap = func(key string, value []byte) {
		if key == entryKey("a", "n2") && decline.Swap(false) {
			h.store.put(key, value)
			declined.Store(true)
		}
	}
	h.startWithWideLink("a", "n1", 1, h.store)
	n2 := h.start("n2", 2)
	h.waitForStart("n1", "n2")
	decline.Store(true)
	n2.Announce(membership.Ready, "n2-target", 13, "")
	h.eventually("the store has declined a write and n2 knows the entry", func() bool {
		return declined.Load() && n2.AwaitStored(t.Context()) == nil
	})
	for until := h.clk.Now().Add(500 * time.Millisecond); h.clk.Now().Before(until); _ = h.clk.Sleep(t.Context(), 5*time.Millisecond) {
		if !n2.storeOK.Load() {
			t.Fatal("the store counts as unreachable")
		}
	}
}

// Guards against a node below silent readers that learns of a version only once it has become a reader
// itself, which may fall silent in turn.
func TestANodeWhoseParentsAreLateAsksAnotherFailureDomain(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "n1", "n2", "n3")
	other := h.startIn("b", "m1", 9, h.store)
	h.waitForStart("m1", "n1", "n2", "n3")
	var last *testNode
	h.eventually("the third node by rank has parents", func() bool {
		for _, n := range []string{"n1", "n2", "n3"} {
			if h.nodes[n].position().Rank() == 2 {
				last = h.nodes[n]
			}
		}
		return last != nil && !last.orphaned.Load() && last.freshness.known()
	})
	for _, parent := range last.position().Parents() {
		h.nodes[parent.Instance()].stalled.Store(true)
	}
	before := other.views.Load()
	h.eventually("another failure domain is asked", func() bool { return other.views.Load() > before })
}
