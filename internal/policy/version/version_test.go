package version

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// chain is a line of versions, from the empty one, with the deltas between.
type chain struct {
	versions []*snapshot.Snapshot
	deltas   []*snapshot.Delta
}

// newChain returns n versions after the empty one; chains of other names hold
// other services.
func newChain(tb interface{ Fatal(...any) }, name string, n int) chain {
	c := chain{versions: []*snapshot.Snapshot{snapshot.Empty()}}
	for i := range n {
		c.extend(tb, fmt.Sprintf("%s-%d", name, i))
	}
	return c
}

func (c *chain) extend(tb interface{ Fatal(...any) }, service string) {
	last := c.versions[len(c.versions)-1]
	change := snapshot.NewChange([]snapshot.Object{snapshot.NewService(service)}, nil)
	d, next, err := last.Next(change, snapshot.Stamp{PlanID: service})
	if err != nil {
		tb.Fatal(err)
	}
	c.versions, c.deltas = append(c.versions, next), append(c.deltas, d)
}

func verdict(a Action) string {
	switch a := a.(type) {
	case Apply:
		return fmt.Sprint("apply ", a.Next.Version())
	case Ignore:
		return "ignore"
	case Ask:
		return fmt.Sprint("ask from ", a.From.Version)
	case Refuse:
		return "refuse"
	case Alarm:
		var fork *ForkError
		if errors.As(a.Err, &fork) {
			return "alarm: fork"
		}
		return "alarm: older"
	default:
		return fmt.Sprintf("%T", a)
	}
}

func TestDecide(t *testing.T) {
	t.Parallel()
	c, fork := newChain(t, "a", 5), newChain(t, "b", 5)
	head := func(c chain, v int) Offer { return Head{ID: IDOf(c.versions[v])} }
	delta := func(c chain, v int) Offer { return Delta{Delta: c.deltas[v-1]} }
	full := func(c chain, v int) Offer { return Full{Snapshot: c.versions[v]} }
	for _, tt := range []struct {
		name   string
		held   int
		source Source
		offer  Offer
		want   string
	}{
		{"a head that is the same", 3, Store, head(c, 3), "ignore"},
		{"a later head", 3, Store, head(c, 5), "ask from 3"},
		{"a peer that lags", 3, Peer, head(c, 2), "ignore"},
		{"a store that lags was restored", 3, Store, head(c, 2), "alarm: older"},
		{"a head under the same number that differs", 3, Peer, head(fork, 3), "alarm: fork"},
		{"the next delta", 3, Peer, delta(c, 4), "apply 4"},
		{"the delta held", 3, Peer, delta(c, 3), "ignore"},
		{"a delta that comes late", 3, Peer, delta(c, 2), "ignore"},
		{"a delta with a gap", 3, Peer, delta(c, 5), "ask from 3"},
		{"the next delta of another chain", 3, Peer, delta(fork, 4), "alarm: fork"},
		{"the delta held of another chain", 3, Peer, delta(fork, 3), "alarm: fork"},
		{"a later whole version", 3, Peer, full(c, 5), "apply 5"},
		{"the whole version held", 3, Peer, full(c, 3), "ignore"},
		{"a whole version that comes late", 3, Peer, full(c, 2), "ignore"},
		{"an older whole version from the store", 3, Store, full(c, 2), "alarm: older"},
		{"a whole version that differs", 3, Peer, full(fork, 3), "alarm: fork"},
		{"the first version", 0, Store, full(c, 1), "apply 1"},
		{"no offer", 3, Peer, nil, "refuse"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if got := verdict(Decide(c.versions[tt.held], tt.source, tt.offer)); got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}

// A delta is damaged on the way, so that a service gets another name. The node
// applies none of it and keeps serving what it holds.
func TestADamagedDeltaIsRefusedWhole(t *testing.T) {
	t.Parallel()
	c := newChain(t, "claims", 3)
	damaged := bytes.ReplaceAll(c.deltas[2].Bytes(), []byte("claims-2"), []byte("claims-9"))
	d, err := snapshot.DecodeDelta(damaged)
	if err != nil {
		t.Fatal(err)
	}
	a, ok := Decide(c.versions[2], Peer, Delta{Delta: d}).(Refuse)
	var digest *snapshot.DigestError
	if !ok || !errors.As(a.Err, &digest) {
		t.Errorf("decided %#v", a)
	}
}

func TestLogAnswers(t *testing.T) {
	t.Parallel()
	c, fork := newChain(t, "a", 6), newChain(t, "b", 6)
	l := NewLog(IDOf(c.versions[2]))
	for _, d := range c.deltas[2:5] {
		l.Append(d)
	}
	for _, tt := range []struct {
		name string
		from ID
		want string
	}{
		{"the same", IDOf(c.versions[5]), "version.UpToDate"},
		{"one behind", IDOf(c.versions[4]), "1 deltas"},
		{"as far as the log goes", IDOf(c.versions[2]), "3 deltas"},
		{"further than the log goes", IDOf(c.versions[1]), "version.Whole"},
		{"ahead", IDOf(c.versions[6]), "version.Behind"},
		{"forked at the head", IDOf(fork.versions[5]), "version.Forked"},
		{"forked before", IDOf(fork.versions[3]), "version.Forked"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := fmt.Sprintf("%T", l.Answer(tt.from))
			if d, ok := l.Answer(tt.from).(Deltas); ok {
				got = fmt.Sprint(len(d.Deltas), " deltas")
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLogStaysSmall(t *testing.T) {
	t.Parallel()
	c := newChain(t, "a", logDeltas+40)
	l := NewLog(IDOf(c.versions[0]))
	for _, d := range c.deltas {
		l.Append(d)
	}
	if len(l.deltas) != logDeltas || l.bytes > logBytes {
		t.Errorf("%d deltas, %d bytes", len(l.deltas), l.bytes)
	}
	if _, ok := l.Answer(IDOf(c.versions[39])).(Whole); !ok {
		t.Error("a version that fell out is not answered with the whole")
	}
	l.Append(c.deltas[0])
	if l.Head() != (ID{c.deltas[0].Version(), c.deltas[0].Digest()}) || len(l.deltas) != 0 {
		t.Error("a delta that does not follow does not start the log anew")
	}
}

// A node restarts and has forgotten what it held. It serves only once it holds
// what whoever may know better holds.
func TestRecovery(t *testing.T) {
	t.Parallel()
	storeSays := func(v uint64) func(*Recovery) { return func(r *Recovery) { r.StoreSaid(v) } }
	storeFails := func(r *Recovery) { r.StoreFailed() }
	peer := func(name string, v uint64) func(*Recovery) { return func(r *Recovery) { r.PeerSaid(name, v, true) } }
	recovering := func(name string, v uint64) func(*Recovery) { return func(r *Recovery) { r.PeerSaid(name, v, false) } }
	fails := func(name string) func(*Recovery) { return func(r *Recovery) { r.PeerFailed(name) } }
	for _, tt := range []struct {
		name  string
		known int
		held  uint64
		heard []func(*Recovery)
		want  bool
	}{
		{"nothing asked", 5, 7, nil, false},
		{"the first node of all", 0, 0, []func(*Recovery){storeSays(0)}, true},
		{"the store alone, peers not asked", 5, 7, []func(*Recovery){storeSays(7)}, false},
		{"the store and a peer", 5, 7, []func(*Recovery){storeSays(7), peer("a", 7)}, true},
		{"less than the store holds", 5, 6, []func(*Recovery){storeSays(7), peer("a", 6)}, false},
		{"a store restored to an older state", 5, 6, []func(*Recovery){storeSays(6), peer("a", 7)}, false},
		{"the store, all peers restarting as well", 2, 7, []func(*Recovery){storeSays(7), recovering("a", 0), fails("b")}, true},
		{"the store out, one peer of many", 5, 7, []func(*Recovery){storeFails, peer("a", 7)}, false},
		{"the store out, three peers", 5, 7, []func(*Recovery){storeFails, peer("a", 7), peer("b", 6), peer("c", 7)}, true},
		{"the store out, less than the highest", 5, 6, []func(*Recovery){storeFails, peer("a", 7), peer("b", 6), peer("c", 6)}, false},
		{"the store out, the only peer", 1, 7, []func(*Recovery){storeFails, peer("a", 7)}, true},
		{"the store out, nobody serves", 2, 7, []func(*Recovery){storeFails, recovering("a", 7), recovering("b", 7)}, false},
		{"the store out, the rest is lost", 3, 7, []func(*Recovery){storeFails, peer("a", 7), fails("b"), fails("c")}, true},
		{"the store out, no peers known", 0, 0, []func(*Recovery){storeFails}, false},
		{"peers heard, store not asked yet", 5, 7, []func(*Recovery){peer("a", 7), peer("b", 7), peer("c", 7)}, false},
		{"a store that failed and then answered", 5, 7, []func(*Recovery){storeFails, storeSays(8), peer("a", 7)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := NewRecovery()
			r.Knows(tt.known)
			for _, hear := range tt.heard {
				hear(r)
			}
			if got := r.Done(tt.held); got != tt.want {
				t.Errorf("done %v, want %v", got, tt.want)
			}
		})
	}
}

// node is a node of the state machine, with what the oracle remembers of it.
type node struct {
	held     *snapshot.Snapshot
	log      *Log
	recovery *Recovery // nil while it serves
	// most is the highest version served so far, which the node may forget.
	most uint64
}

func newNode(s *snapshot.Snapshot) *node {
	return &node{held: s, log: NewLog(IDOf(s))}
}

func (n *node) take(t *rapid.T, source Source, o Offer) {
	before := n.held.Version()
	switch a := Decide(n.held, source, o).(type) {
	case Apply:
		n.held = a.Next
		if d, ok := o.(Delta); ok {
			n.log.Append(d.Delta)
		} else {
			n.log.Restart(IDOf(a.Next))
		}
	case Refuse:
		t.Fatalf("a good version is refused: %v", a.Err)
	case Alarm:
		var older *OlderError
		if !errors.As(a.Err, &older) {
			t.Fatalf("one chain looks forked: %v", a.Err)
		}
	case Ignore, Ask:
	}
	if n.held.Version() < before {
		t.Fatalf("from version %d to %d", before, n.held.Version())
	}
}

// recover asks the store, unless it is out, and the others, and serves if that
// is enough.
func (n *node) recover(nodes []*node, stored uint64, out bool) {
	if n.recovery == nil {
		return
	}
	if out {
		n.recovery.StoreFailed()
	} else {
		n.recovery.StoreSaid(stored)
	}
	n.recovery.Knows(len(nodes) - 1)
	for i, peer := range nodes {
		if peer != n {
			n.recovery.PeerSaid(fmt.Sprint(i), peer.held.Version(), peer.recovery == nil)
		}
	}
	if n.recovery.Done(n.held.Version()) {
		n.recovery = nil
	}
}

func serving(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		if n.recovery == nil {
			count++
		}
	}
	return count
}

// Versions are published while nodes pull from the store and from each other.
// Answers wait, and are then taken in any order and more than once; nodes
// restart without memory, the store is out or restored to an older state. No
// node ever serves a lower version than it did, every version it holds is the
// one of that number, and in the end all hold the latest.
//
// Left out is what nobody could know of: as in the model, a node with a version
// that has not reached all others does not restart while the store is out or
// older than the fleet; and while it is older, the last node that serves does
// not restart either.
func TestStatefulVersionsOnlyRise(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newChain(t, "a", 1)
		nodes := []*node{newNode(c.versions[1]), newNode(c.versions[1]), newNode(c.versions[1]), newNode(c.versions[1])}
		out, stored := false, 1
		type letter struct {
			to     *node
			source Source
			offer  Offer
		}
		var mail []letter
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(nodes).Draw(t, "node") }
		latest := func() int { return len(c.versions) - 1 }
		settled := func(v uint64) bool {
			for _, n := range nodes {
				if n.most < v {
					return false
				}
			}
			return true
		}
		answer := func(to, from *node) {
			switch a := from.log.Answer(IDOf(to.held)).(type) {
			case Deltas:
				for _, d := range a.Deltas {
					mail = append(mail, letter{to, Peer, Delta{d}})
				}
			case Whole:
				mail = append(mail, letter{to, Peer, Full{from.held}})
			case UpToDate, Behind:
				mail = append(mail, letter{to, Peer, Head{IDOf(from.held)}})
			case Forked:
				t.Fatalf("one chain looks forked: %v", a.Err)
			}
		}
		deliver := func(i int) { mail[i].to.take(t, mail[i].source, mail[i].offer) }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				if !out && stored == latest() {
					c.extend(t, fmt.Sprint("s", latest()))
					stored++
				}
			},
			"read the store": func(t *rapid.T) {
				if n := pick(t); !out {
					mail = append(mail, letter{n, Store, Full{c.versions[stored]}})
				}
			},
			"pull": func(t *rapid.T) { answer(pick(t), pick(t)) },
			"deliver": func(t *rapid.T) {
				if len(mail) > 0 {
					deliver(rapid.IntRange(0, len(mail)-1).Draw(t, "letter"))
				}
			},
			"restart": func(t *rapid.T) {
				n := pick(t)
				older := stored < latest()
				if (out || older) && !settled(n.most) || older && serving(nodes) == 1 {
					t.Skip("nobody could know what it held")
				}
				n.held, n.log, n.recovery = snapshot.Empty(), NewLog(IDOf(snapshot.Empty())), NewRecovery()
				// Its connections end with it.
				kept := mail[:0]
				for _, l := range mail {
					if l.to != n {
						kept = append(kept, l)
					}
				}
				mail = kept
			},
			"recover": func(t *rapid.T) { pick(t).recover(nodes, uint64(stored), out) },
			"store out": func(t *rapid.T) {
				for _, n := range nodes {
					if n.recovery != nil && !settled(n.most) {
						t.Skip("nobody could know what it held")
					}
				}
				out = true
			},
			"store back": func(t *rapid.T) { out = false },
			"store restored to an older state": func(t *rapid.T) {
				for _, n := range nodes {
					if n.recovery != nil || !settled(uint64(latest())) {
						t.Skip("nobody could know what it held")
					}
				}
				stored = rapid.IntRange(0, latest()).Draw(t, "version")
			},
			"operator puts the fleet's version back": func(t *rapid.T) { stored = latest() },
			"": func(t *rapid.T) {
				for i, n := range nodes {
					v := n.held.Version()
					if IDOf(n.held) != IDOf(c.versions[v]) {
						t.Fatalf("node %d holds another version %d", i, v)
					}
					if n.recovery == nil && v < n.most {
						t.Fatalf("node %d serves version %d after %d", i, v, n.most)
					}
					if n.recovery == nil {
						n.most = v
					}
				}
			},
		})
		out, stored = false, latest()
		for range 3 {
			for _, n := range nodes {
				n.take(t, Store, Full{c.versions[stored]})
				n.recover(nodes, uint64(stored), false)
			}
		}
		for i, n := range nodes {
			if n.recovery != nil || int(n.held.Version()) != latest() {
				t.Fatalf("node %d ends with version %d of %d", i, n.held.Version(), latest())
			}
		}
	})
}
