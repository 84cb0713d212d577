package quota

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
	"banyanlug.example/banyanlug/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	allowed = 1000
	// most is the limit with the stated error: a tenth of a second's calls, and
	// the first calls at six nodes.
	most = allowed + allowed/10 + 6*allowed/100
)

var acme = snapshot.NewLimit("acme", allowed, 0)

// rig runs the parts of two domains of three nodes on loopback sockets. Each
// second of its clock all heartbeats are made one after the other.
type rig struct {
	t      *testing.T
	clock  *timer.Service
	store  *store.Store
	views  map[string]*membership.View
	nodes  []*testNode
	client *http.Client
	// let holds the calls let in, by the second.
	let []int
}

type testNode struct {
	rig    *rig
	record membership.Record
	server *httptest.Server
	holder *limit.Holder
	part   *Part
	down   bool
	// mute keeps a node from sending anything, and its calls going.
	mute bool
	// rival believes itself the root.
	rival bool
	// cut is a domain that does not reach the others.
	cut bool
}

func (n *testNode) Self() membership.Record { return n.record }

func (n *testNode) Root() (membership.Record, bool) {
	if n.rival {
		return n.record, true
	}
	return tree.Root(n.record.Domain(), n.View().Records())
}
func (n *testNode) View() *membership.View { return n.rig.views[n.record.Domain()] }
func (n *testNode) Client() *http.Client   { return n.rig.client }
func (n *testNode) BaseURL(a netip.AddrPort) string {
	for _, o := range n.rig.nodes {
		if o.record.Peer() == a && (o.down || o.record.Domain() != n.record.Domain() && (o.cut || n.cut)) {
			return "http://127.0.0.1:1"
		}
	}
	return "http://" + a.String()
}

func newRig(t *testing.T) *rig {
	return newRigOn(t, timer.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
}

func newRigOn(t *testing.T, clock *timer.Service) *rig {
	r := &rig{t: t, clock: clock, store: store.New(clock), views: map[string]*membership.View{}, client: &http.Client{Transport: &http.Transport{}}}
	for d := range 2 {
		domain := fmt.Sprintf("region/%d", d)
		r.views[domain] = membership.New(domain, uint64(d)+1)
		for k := range 3 {
			n := &testNode{rig: r, holder: limit.NewHolder()}
			n.part = New(clock, event.Discard(), n.holder, func(string) (snapshot.Limit, bool) { return acme, true }, WithStore(r.store))
			n.part.Join(n)
			n.server = httptest.NewServer(n.part.Service())
			addr := netip.MustParseAddrPort(strings.TrimPrefix(n.server.URL, "http://"))
			n.record = membership.NewRecord(fmt.Sprintf("node-%d-%d", d, k), membership.Domain(domain), membership.Pool("p"),
				membership.Peer(addr), membership.Address(addr), membership.Boot(1), membership.Seq(1), membership.InState(membership.Ready))
			r.nodes = append(r.nodes, n)
		}
	}
	for _, n := range r.nodes {
		r.tell(n.record)
	}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		for _, n := range r.nodes {
			n.server.Close()
		}
	})
	return r
}

func (r *rig) tell(m membership.Record) {
	for _, v := range r.views {
		v.Merge(r.clock.Now(), []membership.Record{m}, membership.From(m.Instance(), m.Domain()))
	}
}

// crash ends a node without a word; the others find out.
func (r *rig) crash(n *testNode) {
	n.down = true
	r.tell(membership.NewRecord(n.record.Instance(), membership.Domain(n.record.Domain()), membership.Pool("p"),
		membership.Peer(n.record.Peer()), membership.Address(n.record.Peer()), membership.Boot(1), membership.Seq(2), membership.InState(membership.Gone)))
}

// run makes calls at nodes, rate a second at each, for some seconds.
func (r *rig) run(seconds, rate int, at ...*testNode) {
	r.t.Helper()
	ctx := context.Background()
	for range seconds {
		let := 0
		for range 100 {
			r.clock.Advance(10 * time.Millisecond)
			for _, n := range at {
				for range rate / 100 {
					if _, ok := n.holder.Allow(r.clock.Now(), acme).(limit.Allowed); ok {
						let++
						n.holder.Release(r.clock.Now(), "acme")
					}
				}
			}
		}
		r.let = append(r.let, let)
		if let > most {
			r.t.Errorf("second %d: %d calls let in, more than %d", len(r.let), let, most)
		}
		for _, duty := range []func(*Part, context.Context){(*Part).beat, (*Part).lead, (*Part).keep} {
			for _, n := range r.nodes {
				if !n.down && !n.mute {
					duty(n.part, ctx)
				}
			}
		}
	}
}

// least returns the fewest calls let in during one of the last seconds.
func (r *rig) least(seconds int) int {
	low := r.let[len(r.let)-seconds]
	for _, n := range r.let[len(r.let)-seconds:] {
		low = min(low, n)
	}
	return low
}

// served fails unless nearly the whole limit was let in, in each of the last
// seconds.
func (r *rig) served(seconds int) {
	r.t.Helper()
	if got := r.least(seconds); got < allowed*9/10 {
		r.t.Errorf("only %d of %d calls let in within a second; all seconds: %v", got, allowed, r.let)
	}
}

func (r *rig) root(domain int) *testNode {
	root, _ := tree.Root(fmt.Sprintf("region/%d", domain), r.nodes[3*domain].View().Records())
	return r.named(root.Instance())
}

func (r *rig) named(name string) *testNode {
	for _, n := range r.nodes {
		if n.record.Instance() == name {
			return n
		}
	}
	r.t.Fatalf("no node %q", name)
	return nil
}

// other returns a node of a domain that is not its root.
func (r *rig) other(domain int) *testNode {
	for _, n := range r.nodes[3*domain : 3*domain+3] {
		if n != r.root(domain) && !n.down {
			return n
		}
	}
	r.t.Fatal("no node left")
	return nil
}

// heir returns the node that is the root next.
func (r *rig) heir(domain int) *testNode {
	records := slices.DeleteFunc(r.root(domain).View().Records(), func(m membership.Record) bool {
		return m.Instance() == r.root(domain).record.Instance()
	})
	heir, _ := tree.Root(fmt.Sprintf("region/%d", domain), records)
	return r.named(heir.Instance())
}

// third returns the node that is neither the root nor next.
func (r *rig) third(domain int) *testNode {
	for _, n := range r.nodes[3*domain : 3*domain+3] {
		if n != r.root(domain) && n != r.heir(domain) {
			return n
		}
	}
	return nil
}

func (r *rig) seat() *testNode {
	for _, n := range r.nodes {
		if n.part.seat.desk != nil && !n.down {
			return n
		}
	}
	r.t.Fatal("nobody has the seat")
	return nil
}

// All demand is at one node of six, half as much again as is allowed. It gets
// nearly the whole limit after some heartbeats, then loses it to a node of the
// other domain to which the demand moves.
func TestShareFollowsDemand(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.run(25, 1500, r.other(0))
	r.served(5)
	r.run(25, 1500, r.other(1))
	r.served(5)
	r.run(25, 1500, r.other(0), r.other(1))
	r.served(5)
}

// The root of the busy domain dies, which is also the seat or not. Its nodes
// tell the next root what they hold; nothing is granted twice, and when the dead
// one's leases are over the demand is served again.
func TestAnotherRootTakesOver(t *testing.T) {
	t.Parallel()
	for domain := range 2 {
		t.Run(fmt.Sprintf("of domain %d", domain), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			busy := r.other(domain)
			r.run(25, 1500, busy)
			r.served(5)
			r.crash(r.root(domain))
			r.run(60, 1500, busy)
			r.served(10)
			r.run(25, 1500, r.other(1-domain))
			r.served(5)
		})
	}
}

// A root with a smaller rank comes while the one before lives. The one before
// resigns, its nodes move with what they hold, and the seat hears the new one
// at once.
func TestRootMovesToALivingNode(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	busy := r.other(0)
	r.run(25, 1500, busy)
	was := r.root(0)
	r.tell(membership.NewRecord(was.record.Instance(), membership.Domain("region/0"), membership.Pool("p"), membership.Peer(was.record.Peer()),
		membership.Address(was.record.Peer()), membership.Boot(1), membership.Seq(2), membership.InState(membership.Draining)))
	r.run(40, 1500, busy)
	if r.root(0) == was {
		t.Fatal("the root did not move")
	}
	r.served(10)
}

// The root dies while another node of its domain uses most of the limit,
// and then demand begins at the next root. What the other holds has to be known
// before it is handed out again: though the other is mute for a while, and though
// it has no reason to report because its demand is within its share.
func TestNextRootLearnsWhatNodesHold(t *testing.T) {
	t.Parallel()
	for k := range 10 {
		// A node reports each five seconds at least, so the root dies at each
		// time since the last report.
		mute, more := k%2 == 0, k/2
		t.Run(fmt.Sprintf("mute %v, %d s later", mute, more), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			// The seat is in the other domain, so that it outlives the root.
			r.run(10, 100, r.other(1))
			next := r.heir(0)
			holding := r.third(0)
			r.run(25+more, 600, holding)
			r.crash(r.root(0))
			holding.mute = mute
			r.run(12, 600, holding, next, next)
			holding.mute = false
			r.run(30, 600, holding, next, next)
			r.served(10)
		})
	}
}

// The busy domain is cut off, and then the seat dies. The next one does not know
// what that domain holds, and until it is told or the domain's lease is over,
// hands nothing new out.
func TestNextSeatLearnsWhatDomainsHold(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	// The seat is in domain 0, where calls come first.
	r.run(10, 100, r.other(0))
	busy := r.other(1)
	r.run(25, 1500, busy)
	for _, n := range r.nodes[3:] {
		n.cut = true
	}
	r.crash(r.seat())
	r.run(10, 1500, busy)
	r.served(10)
	r.run(60, 1500, busy, r.other(0))
}

// A seat that is heard of late does not hide a later one.
func TestLaterSeatStands(t *testing.T) {
	t.Parallel()
	var s seek
	for _, c := range []struct{ heard, want uint64 }{{5, 5}, {9, 9}, {5, 9}, {9, 9}, {12, 12}} {
		s.hear(seatAt{place{instance: "seat"}, c.heard})
		if got := s.known().term; got != c.want {
			t.Errorf("after term %d: %d, want %d", c.heard, got, c.want)
		}
	}
}

// A node believes that it is the root while another one is, and both have calls.
// Once its wait for the others is over it asks the seat for the domain's share;
// granted to both, it would be used twice.
func TestRivalRootGetsNoShare(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	busy, rival := r.other(0), (*testNode)(nil)
	for _, n := range r.nodes[:3] {
		if n != busy && n != r.root(0) {
			rival = n
		}
	}
	r.run(25, 1500, busy)
	// It has found no other relay, as after a start while it was cut off.
	rival.rival, rival.part.up.link = true, link{}
	r.run(40, 1500, busy, rival)
	r.served(40)
	rival.rival = false
	r.run(30, 1500, rival)
	r.served(5)
}

// The store is out for a minute. The seat ends when its lease does, and the
// domains keep their last shares; when the store is back the seat goes on.
func TestStoreOut(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	busy := r.other(0)
	r.run(25, 1500, busy)
	r.store.SetDown(true)
	r.run(60, 1500, busy)
	r.served(60)
	seat := r.seat().part
	seat.seat.mu.Lock()
	if seat.seat.held(r.clock.Now()) {
		t.Error("the seat is held though its lease ran out")
	}
	seat.seat.mu.Unlock()
	r.store.SetDown(false)
	r.run(40, 1500, r.other(1))
	r.served(5)
}

// The busy domain is cut off from the others. It keeps its last share, the
// other domain gets what is left, and both together stay within the limit; when
// the link is back, the share moves.
func TestDomainCutOffKeepsItsShare(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	busy := r.other(0)
	r.run(25, 1500, busy)
	for _, n := range r.nodes[:3] {
		n.cut = true
	}
	r.run(40, 1500, busy)
	r.served(40)
	r.run(20, 1500, busy, r.other(1))
	r.served(20)
	for _, n := range r.nodes[:3] {
		n.cut = false
	}
	r.run(40, 1500, r.other(1))
	r.served(5)
}

// An organisation without calls costs no message, and neither does one whose
// calls have ended, once all have told that they hold nothing.
func TestQuietWithoutCalls(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	sent := func() (sum uint64) {
		for _, n := range r.nodes {
			sum += n.part.Messages()
		}
		return sum
	}
	r.run(5, 0)
	before := sent()
	r.run(30, 0)
	if got := sent() - before; got != 0 {
		t.Errorf("%d messages without a call", got)
	}
	r.run(10, 100, r.nodes...)
	r.run(120, 0)
	before = sent()
	r.run(30, 0)
	if got := sent() - before; got != 0 {
		t.Errorf("%d messages after the last call", got)
	}
	if _, err := r.store.Get(context.Background(), seatKey); err == nil {
		t.Error("the seat is kept though nobody needs it")
	}
}

func TestHeartbeatsOfAnotherTermOrTooOldAreDropped(t *testing.T) {
	t.Parallel()
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newDesk(began, 7, nil)
	now := began.Add(time.Minute)
	for _, c := range []struct {
		name  string
		term  uint64
		stamp uint64
		want  bool
	}{
		{"just stamped", 7, d.stamp(now), true},
		{"nine seconds old", 7, d.stamp(now.Add(-9 * time.Second)), true},
		{"as old as a lease", 7, d.stamp(now.Add(-limit.NodeLease)), false},
		{"of another term", 6, d.stamp(now), false},
		{"without a stamp", 7, 0, false},
		{"from the future", 7, d.stamp(now.Add(time.Second)), false},
	} {
		if got := d.current(now, &quotapb.Heartbeat{Term: c.term, Stamp: c.stamp}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// All nodes run by the clock itself, and demand at one brings its domain's root
// to the seat. When they stop as planned, the seat is given up at once and the
// store does not keep it for a lease.
func TestPlannedStopGivesUpTheSeat(t *testing.T) {
	t.Parallel()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ticking := make(chan error, 1)
	go clock.Run(ctx, ticking)
	r := newRigOn(t, clock)
	running, stop := context.WithCancel(ctx)
	done := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go n.part.Run(running, done)
	}
	busy := r.other(0)
	granted := func() bool {
		_, ok := busy.holder.Allow(clock.Now(), acme).(limit.Allowed)
		if ok {
			busy.holder.Release(clock.Now(), "acme")
		}
		for _, report := range busy.holder.Reports(clock.Now(), true) {
			if report.HeldSeq() > 0 {
				return true
			}
		}
		return false
	}
	waiting, giveUp := clock.WithTimeout(ctx, time.Minute)
	for !granted() {
		if clock.Sleep(waiting, 5*time.Millisecond) != nil {
			t.Error("no share within a minute")
			break
		}
	}
	giveUp()
	if _, err := r.store.Get(ctx, seatKey); err != nil {
		t.Errorf("nobody has the seat: %v", err)
	}
	stop()
	for range r.nodes {
		<-done
	}
	if v, err := r.store.Get(ctx, seatKey); err == nil {
		t.Errorf("the seat is still %q", v.Data())
	}
	cancel()
	<-ticking
}
