package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// plainOrders are orders and statuses as these tests write them.
type plainOrders struct{}

type plainOrder struct {
	Version string
	Millis  int
}

type plainStatus struct {
	State   rollout.State
	Version string
}

func (plainOrders) Order(v platform.Value) (rollout.Order, bool, error) {
	pool, ok := strings.CutPrefix(v.Key(), "order/")
	if !ok {
		return rollout.Order{}, false, nil
	}
	var o plainOrder
	if err := json.Unmarshal(v.Data(), &o); err != nil {
		return rollout.Order{}, true, &EntryError{Key: v.Key(), Reason: "can't be read"}
	}
	return rollout.NewOrder(pool, o.Version, time.Duration(o.Millis)*time.Millisecond, v.Revision()), true, nil
}

func (plainOrders) Status(v platform.Value) (string, rollout.Status, bool, error) {
	pool, ok := strings.CutPrefix(v.Key(), "status/")
	if !ok {
		return "", rollout.Status{}, false, nil
	}
	var s plainStatus
	if err := json.Unmarshal(v.Data(), &s); err != nil {
		return pool, rollout.Status{}, true, &EntryError{Key: v.Key(), Reason: "can't be read"}
	}
	return pool, rollout.NewStatus(s.State, s.Version, v.Revision()), true, nil
}

func (plainOrders) EncodeStatus(pool string, state rollout.State, version string) (string, []byte) {
	b, _ := json.Marshal(plainStatus{state, version})
	return "status/" + pool, b
}

// stageRig is some nodes, half of whose targets run the next version.
type stageRig struct {
	*rig
	names  []string
	stores map[string]*reaching
}

var versionsOf = map[string]string{"n1": "v1", "n2": "v1", "n3": "v1", "n4": "v2", "n5": "v2", "n6": "v2"}

func newStageRig(t *testing.T) *stageRig {
	t.Helper()
	s := &stageRig{rig: newRig(t), names: []string{"n1", "n2", "n3", "n4", "n5", "n6"}, stores: map[string]*reaching{}}
	for i, n := range s.names {
		s.restart(n, uint64(i+1))
	}
	s.store.put(configKey, []byte("1"))
	for _, n := range s.names {
		s.holds(n, 1)
		s.eventually(n+" knows all", func() bool { return s.nodes[n].Size() == len(s.names) })
	}
	return s
}

// restart starts a node's process, anew if it has run before.
func (s *stageRig) restart(name string, boot uint64) {
	if before := s.nodes[name]; before != nil {
		before.stop()
	}
	s.stores[name] = &reaching{fakeStore: s.store}
	n := s.startIn("a", name, boot, s.stores[name])
	n.Announce(membership.Ready, name+"-target", 12, "", membership.Version(versionsOf[name]))
}

func (s *stageRig) order(version string, within time.Duration) {
	s.store.put("order/quotes", fmt.Appendf(nil, `{"Version":%q,"Millis":%d}`, version, within.Milliseconds()))
}

func (s *stageRig) told() plainStatus {
	var out plainStatus
	v, _ := s.store.held("status/quotes")
	_ = json.Unmarshal(v.Data(), &out)
	return out
}

// answer has each target answer some calls, those of the next version badly or not.
func (s *stageRig) answer(bad bool) {
	for _, n := range s.names {
		for range 40 {
			s.nodes[n].Observe("read", 10*time.Millisecond, bad && versionsOf[n] == "v2", true)
		}
	}
}

func (s *stageRig) targetsAre(names []string, want ...string) {
	s.t.Helper()
	for _, n := range names {
		s.sees(n, want...)
	}
}

// Guards against a rollout that hangs as the node which decides has ended, at each of
// its steps: another one takes them up from what the store holds.
func TestARolloutGoesOnWithoutTheNodeThatDecided(t *testing.T) {
	t.Parallel()
	for _, bad := range []bool{false, true} {
		t.Run(fmt.Sprint("bad ", bad), func(t *testing.T) {
			t.Parallel()
			s := newStageRig(t)
			s.order("v2", 3*time.Second)
			s.eventually("it is told to run", func() bool { return s.told() == plainStatus{rollout.Running, "v2"} })
			s.nodes[s.reader(s.names...)].stop()
			s.eventually("it is decided", func() bool {
				for _, n := range s.names {
					for range 20 {
						s.nodes[n].Observe("read", 10*time.Millisecond, bad && versionsOf[n] == "v2", true)
					}
				}
				return s.told().State.Final()
			})
			want := plainStatus{rollout.Completed, "v2"}
			if bad {
				want.State = rollout.RolledBack
			}
			if diff := cmp.Diff(want, s.told()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a version that gets calls again as all nodes have started anew: they
// know of the order and of its end from the store alone.
func TestARolledBackVersionGetsNothingAfterARestartOfAll(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v2", time.Minute)
	s.answer(true)
	s.eventually("it is rolled back", func() bool { s.answer(true); return s.told().State == rollout.RolledBack })
	for i, n := range s.names {
		s.restart(n, uint64(i+101))
	}
	s.targetsAre(s.names, "n1", "n2", "n3")
	for _, n := range []string{"n4", "n5", "n6"} {
		if s.nodes[n].Admits() {
			t.Errorf("%s lets a call to its target", n)
		}
	}
	// A later order bars it as well, though its status has been replaced.
	s.order("v3", time.Minute)
	s.eventually("the next order runs", func() bool { return s.told() == plainStatus{rollout.Running, "v3"} })
	s.targetsAre(s.names, "n1", "n2", "n3")
	s.order("v2", time.Minute)
	s.eventually("it is rolled back at once", func() bool { return s.told() == plainStatus{rollout.RolledBack, "v2"} })
}

// Guards against nodes that wait for the store to say what they have seen: a faulty
// version gets no more calls though the store is out, and operators are told later.
func TestAFaultyVersionIsHaltedWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v2", time.Minute)
	s.eventually("it is told to run", func() bool { return s.told().State == rollout.Running })
	s.store.set(func() { s.store.out = true })
	s.eventually("all stay away from it", func() bool {
		s.answer(true)
		for _, n := range []string{"n4", "n5", "n6"} {
			if s.nodes[n].Admits() {
				return false
			}
		}
		return true
	})
	s.store.set(func() { s.store.out = false })
	s.eventually("it is told", func() bool { return s.told().State == rollout.RolledBack })
}

// Guards against a node of an old view that overwrites a decision: what it writes names
// the status that it knew.
func TestADecisionIsNotOverwritten(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v2", time.Minute)
	s.eventually("it is told to run", func() bool { return s.told().State == rollout.Running })
	f := s.nodes["n2"].Fleet
	var old rollout.Rollout
	s.eventually("the other knows", func() bool {
		old = f.deliveries.all()["quotes"]
		return old.Status().State() == rollout.Running
	})
	s.eventually("it is rolled back", func() bool { s.answer(true); return s.told().State == rollout.RolledBack })
	if err := f.carryOut(t.Context(), "quotes", old, rollout.Complete{}); err == nil {
		t.Error("a node with an old view has completed it")
	}
	if diff := cmp.Diff(plainStatus{rollout.RolledBack, "v2"}, s.told()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a node that tells the end of an order which another one has replaced,
// after which the old targets would stop while the next version has just begun.
func TestAnOrderThatWasReplacedIsNotCompleted(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v2", time.Minute)
	s.eventually("it is told to run", func() bool { return s.told().State == rollout.Running })
	f := s.nodes["n2"].Fleet
	var old rollout.Rollout
	s.eventually("the other knows", func() bool {
		old = f.deliveries.all()["quotes"]
		return old.Status().State() == rollout.Running && old.Progress().Order() == old.Order().Revision()
	})
	// The next order is taken on, and operators have not been told yet.
	p, _ := s.store.held(progressPrefix + "quotes")
	s.store.put(progressPrefix+"quotes", p.Data())
	if err := f.carryOut(t.Context(), "quotes", old, rollout.Complete{}); err == nil {
		t.Error("it is completed by an old view")
	}
	if told := s.told(); told.State.Final() {
		t.Errorf("told %+v", told)
	}
}

// Guards against an order that is never answered, as nobody runs its version, or that is
// taken for another one, as it can't be read.
func TestOrdersThatCanNotBeCarriedOut(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v9", time.Second)
	s.eventually("it is rolled back at its end", func() bool { return s.told() == plainStatus{rollout.RolledBack, "v9"} })
	s.store.put("order/quotes", []byte("no order"))
	s.order("v2", time.Minute)
	s.eventually("the next one runs", func() bool { return s.told() == plainStatus{rollout.Running, "v2"} })
	s.store.put("order/quotes", []byte("no order"))
	s.eventually("it goes on", func() bool { s.answer(true); return s.told() == plainStatus{rollout.RolledBack, "v2"} })
}

// Guards against a status that somebody else has written over, which no swap would match
// any more.
func TestAStatusThatCanNotBeReadIsReplaced(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.store.put("status/quotes", []byte("no status"))
	s.order("v2", time.Minute)
	s.eventually("it is told to run", func() bool { return s.told() == plainStatus{rollout.Running, "v2"} })
}

// Guards against a failure domain that is cut off from the others and the store and lets
// its calls to a faulty version: it judges by what its own targets answer.
func TestACutOffDomainStaysAwayFromAFaultyVersion(t *testing.T) {
	t.Parallel()
	s := newStageRig(t)
	s.order("v2", time.Minute)
	s.eventually("all know of it", func() bool {
		for _, n := range s.names {
			if s.nodes[n].deliveries.all()["quotes"].Status().State() != rollout.Running {
				return false
			}
		}
		return true
	})
	for _, n := range s.names {
		s.stores[n].cut.Store(true)
	}
	s.eventually("nobody sends there", func() bool {
		s.answer(true)
		for _, n := range s.names {
			if len(s.nodes[n].view.groups("quotes").Candidates()) > 0 {
				return false
			}
		}
		return true
	})
}
