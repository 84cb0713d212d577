package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

var (
	begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	seven = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
)

// reader waits until just one of some nodes reads the store, and returns it.
func (r *rig) reader(names ...string) string {
	r.t.Helper()
	found := ""
	r.eventually("one node reads", func() bool {
		read := 0
		for _, n := range names {
			if r.nodes[n].reads() {
				read++
				found = n
			}
		}
		return read == 1
	})
	return found
}

func (r *rig) allHold(version uint64, names ...string) {
	r.t.Helper()
	for _, n := range names {
		r.holds(n, version)
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

// One node of a failure domain reads the store and the others follow it, directly
// or through one another: store calls grow with failure domains and changes and
// not with the nodes. A version, a member that joins and one that leaves reach all.
func TestOneNodeOfAFailureDomainReadsForAll(t *testing.T) {
	t.Parallel()
	r := newRig(t, seven...)
	r.begin(seven...)
	r.reader(seven...)
	r.store.put(configKey, []byte("2"))
	r.allHold(2, seven...)
	r.start("n8", 8)
	for _, n := range seven {
		r.sees(n, append(append([]string(nil), seven...), "n8")...)
	}
	r.nodes["n8"].stop()
	for _, n := range seven {
		r.sees(n, seven...)
	}
}

// The node that reads for the others fails in one of three ways. The others, which
// the store would serve, must have the version that comes then: they leave it, and
// the next in rank reads in its place.
func TestAReaderThatFailsIsReplaced(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		fail func(r *rig, reader *spot, store *reaching)
	}{
		{"it is killed", func(_ *rig, reader *spot, _ *reaching) { reader.stop() }},
		{"it stands still", func(_ *rig, reader *spot, store *reaching) {
			reader.still.Store(true)
			store.cut.Store(true)
		}},
		{"it is cut off from the store alone", func(_ *rig, _ *spot, store *reaching) { store.cut.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			stores := map[string]*reaching{}
			for i, n := range seven {
				stores[n] = &reaching{fakeStore: r.store}
				r.startIn("a", n, uint64(i+1), stores[n])
			}
			r.begin(seven...)
			reader := r.reader(seven...)
			tc.fail(r, r.nodes[reader], stores[reader])
			r.store.put(configKey, []byte("2"))
			r.allHold(2, without(seven, reader)...)
			r.store.put(configKey, []byte("3"))
			r.allHold(3, without(seven, reader)...)
		})
	}
}

// The store turns away all nodes of one failure domain and serves the other. What
// it holds comes from there, so that nobody lags while the domains reach each other.
func TestAFailureDomainWithoutTheStoreHearsFromAnother(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	lost := &reaching{fakeStore: r.store}
	for i := range 3 {
		r.startIn("a", fmt.Sprintf("a%d", i), uint64(i+1), lost)
		r.startIn("b", fmt.Sprintf("b%d", i), uint64(i+1), r.store)
	}
	names := []string{"a0", "a1", "a2", "b0", "b1", "b2"}
	r.begin(names...)
	r.reader("a0", "a1", "a2")
	r.reader("b0", "b1", "b2")
	lost.cut.Store(true)
	r.store.put(configKey, []byte("2"))
	r.allHold(2, names...)
}

// While the store is out for all, only the node that reads for a failure domain
// knocks there; if each did, an outage of a large fleet would end in a storm.
func TestInAnOutageOneNodeOfAFailureDomainKnocks(t *testing.T) {
	t.Parallel()
	r := newRig(t, seven...)
	r.begin(seven...)
	r.reader(seven...)
	r.store.set(func() { r.store.out = true })
	r.eventually("all miss the store", func() bool {
		for _, n := range seven {
			if r.nodes[n].storeOK.Load() {
				return false
			}
		}
		return true
	})
	r.reader(seven...)
	r.store.set(func() { r.store.out = false })
	r.store.put(configKey, []byte("2"))
	r.allHold(2, seven...)
}

// A node tells of a version and can't hand it out, as it ends in between. Who hears
// of it asks further up and goes on; it must neither wait for that version for ever
// nor miss the next one.
func TestAVersionThatItsTellerCantHandOutIsFoundElsewhere(t *testing.T) {
	t.Parallel()
	r := newRig(t, seven...)
	r.begin(seven...)
	f := r.nodes["n3"].Fleet
	f.Hint(membership.NewRecord("gone").Peer(), 1000)
	r.store.put(configKey, []byte("2"))
	r.allHold(2, seven...)
}

// An answer says what has changed since the one before, all of it to whom it has
// lost sight of: whoever missed that a member has gone would send calls to it.
func TestChangesOfMembersSinceAPlace(t *testing.T) {
	t.Parallel()
	ready := func(name string, seq uint64) membership.Record {
		return membership.NewRecord(name, membership.Domain("a"), membership.Boot(1), membership.Seq(seq), membership.InState(membership.Draining))
	}
	v := newView()
	v.put(ready("n1", 1), 5)
	v.put(ready("n2", 1), 6)
	begun := v.changesSince(0).until
	v.put(ready("n2", 2), 7)
	v.put(ready("n3", 1), 8)
	moved := v.changesSince(begun).until
	v.drop("n1", begin)
	v.drop("n3", begin)
	v.put(ready("n3", 2), 9)
	for _, tc := range []struct {
		name  string
		after uint64
		want  []string
		whole bool
	}{
		{"all to a newcomer", 0, []string{"n2 draining", "n3 draining"}, true},
		{"what has changed, and what has gone for good", begun, []string{"n1 gone", "n2 draining", "n3 draining"}, false},
		{"the last changes", moved, []string{"n1 gone", "n3 draining"}, false},
		{"nothing new", v.changesSince(0).until, nil, false},
		{"all to one that followed another process", 999, []string{"n2 draining", "n3 draining"}, true},
	} {
		set := v.changesSince(tc.after)
		got := map[string]bool{}
		for _, m := range set.members {
			got[m.record.Instance()+" "+m.record.State().String()] = true
		}
		want := map[string]bool{}
		for _, w := range tc.want {
			want[w] = true
		}
		if diff := cmp.Diff(want, got); diff != "" || set.whole != tc.whole {
			t.Errorf("%s: whole %v, %s", tc.name, set.whole, diff)
		}
	}
	for n := range maxBuried + 1 {
		name := fmt.Sprint("short-", n)
		v.put(ready(name, 1), 1)
		v.drop(name, begin)
	}
	if set := v.changesSince(begun); !set.whole {
		t.Error("one that is far behind is told of changes alone, and misses what has been forgotten")
	}
}

// Guards against a version that a node hears of by its pulls and can't fetch, as no new
// connection opens to anybody: at a node with a full processor or link that takes long.
func TestAVersionIsFetchedWithoutANewConnection(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	stores := map[string]*reaching{}
	for i, n := range []string{"n1", "n2"} {
		stores[n] = &reaching{fakeStore: r.store}
		r.startIn("a", n, uint64(i+1), stores[n])
	}
	r.begin("n1", "n2")
	reader := r.reader("n1", "n2")
	other := without([]string{"n1", "n2"}, reader)[0]
	r.eventually("it follows the reader", r.nodes[other].age.known)
	stores[other].cut.Store(true)
	r.nodes[reader].refuse()
	r.store.put(configKey, []byte("2"))
	r.allHold(2, "n1", "n2")
}

// Guards against a node that waits for the store for good, though another one has told
// of itself: the store went out between its two readings of the members.
func TestANodeThatHearsOfAnotherEntersWithoutTheStore(t *testing.T) {
	t.Parallel()
	r := newRig(t, "n1")
	f := r.nodes["n1"].Fleet
	r.eventually("it has read the store", f.synced.Load)
	r.store.set(func() { r.store.out = true })
	f.put(membership.NewRecord("n2", membership.Domain("a"), membership.Boot(1)), 0)
	r.eventually("it knows its place", func() bool {
		select {
		case <-f.entered:
			return true
		default:
			return false
		}
	})
}

// A node that starts tells nobody of members before it knows them: its first
// followers would take all the others for gone.
func TestANodeThatKnowsNobodyIsNotFollowed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.store.set(func() { r.store.out = true })
	s := r.start("n1", 1)
	if _, err := s.Pull(t.Context(), &fleetpb.PullRequest{Members: true}); err == nil {
		t.Error("it answers")
	}
}

var _ platform.Prefixes = (*reaching)(nil)

// Guards against a version that only a newcomer has read: it ranks first by what it
// knows, so it follows nobody, and the others don't know it yet.
func TestAVersionThatOnlyAnUnknownNewcomerHasReadReachesAll(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	old := &reaching{fakeStore: r.store}
	for i, n := range seven {
		r.startIn("a", n, uint64(i+1), old)
	}
	r.begin(seven...)
	r.reader(seven...)
	old.cut.Store(true)
	r.store.put(configKey, []byte("2"))
	r.startWide("a", "n8", 8, r.store)
	r.allHold(2, append(append([]string(nil), seven...), "n8")...)
}

// Guards against waiting for one parent after the other, each for a whole time-out:
// two of them stand still, and the first answer has to be another one's.
func TestParentsAreAskedSideBySide(t *testing.T) {
	t.Parallel()
	r := newRig(t, seven...)
	r.begin(seven...)
	r.reader(seven...)
	var f *Fleet
	for _, n := range seven {
		if n := r.nodes[n].Fleet; f == nil || n.position().Rank() > f.position().Rank() {
			f = n
		}
	}
	parents := f.position().Parents()
	p := &puller{f: f, selector: tree.NewSelector(rand.New(rand.NewPCG(1, 1)))}
	p.selector.Update(f.position())
	for _, parent := range parents[:2] {
		r.nodes[parent.Instance()].still.Store(true)
	}
	a := p.ask(t.Context(), parents[0])
	if a.err != nil || a.from.Instance() == parents[0].Instance() || a.from.Instance() == parents[1].Instance() {
		t.Errorf("one of the others is to answer, got %s: %v", a.from.Instance(), a.err)
	}
}
