package fleet

import (
	"fmt"
	"net/netip"
	"testing"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// The tests of this file count what a node does in fleets of two sizes.

func sizedMember(i, domains int) membership.Record {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	return membership.NewRecord(fmt.Sprintf("n%04d", i), membership.Domain(fmt.Sprint("d", i%domains)), membership.Pool("quotes"),
		membership.Address(address), membership.ControlAddress(address), membership.Boot(1), membership.Seq(1),
		membership.InState(membership.Ready), membership.TargetID(fmt.Sprint("t", i)), membership.Slots(12), membership.LinkMbps(10))
}

func sizedValues(n, domains int) []platform.Value {
	out := make([]platform.Value, n)
	for i := range out {
		r := sizedMember(i, domains)
		out[i] = platform.NewValue(entryKey(r.Domain(), r.Instance()), encodeEntry(r), uint64(i+1))
	}
	return out
}

// newSizedFleet returns the fleet of a node that does not run.
func newSizedFleet(instance, domain string) *Fleet {
	clk := timer.NewManual(startTime)
	self := membership.NewRecord(instance, membership.Domain(domain), membership.Boot(1))
	return New(newFakeStore(clk), clk, self, configKey, decodeNumber)
}

// Guards against a read of all members that rebuilds the pools, or wakes the waiting
// goroutines, once for each member.
func TestAReadOfAllMembersIsOneChange(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 1000} {
		f := newSizedFleet("self", "d0")
		f.applyValues(sizedValues(n, 6))
		if got := f.view.rebuilds; got != 1 {
			t.Errorf("%d members: pools were rebuilt %d times", n, got)
		}
		if got := len(f.Targets("quotes")); got != n {
			t.Errorf("%d of %d targets are known", got, n)
		}
		wakes := 0
		for _, v := range sizedValues(n, 6)[:10] {
			changed := f.view.changes()
			f.applyValues([]platform.Value{v})
			select {
			case <-changed:
				wakes++
			default:
			}
		}
		if wakes != 0 {
			t.Errorf("%d wakes for known entries", wakes)
		}
	}
}

// Guards against a position that is computed anew for changes in other failure domains.
func TestPositionsDependOnTheOwnDomainOnly(t *testing.T) {
	t.Parallel()
	for _, n := range []int{120, 1200} {
		f := newSizedFleet("zz-last", "d0")
		f.applyValues(sizedValues(n, 6))
		f.position()
		before := f.cachedPosition.computed
		for i := range n {
			if r := sizedMember(i, 6); r.Domain() != "d0" {
				f.view.put(r.WithSeq(2), 0)
				f.position()
			}
		}
		if f.position().IsReader() {
			t.Fatal("the node is a reader")
		}
		if got := f.cachedPosition.computed - before; got != 0 {
			t.Errorf("%d members: the position was computed %d times", n, got)
		}
	}
}

// Guards against a relay that sends all members to each child that comes to it although the
// child knows them, and encodes them anew for each.
func TestANewChildGetsOnlyTheDomainsThatDiffer(t *testing.T) {
	t.Parallel()
	bytesFor := map[int]int{}
	for _, n := range []int{120, 1200} {
		relay, child := newSizedFleet("relay", "d0"), newSizedFleet("child", "d0")
		relay.applyValues(sizedValues(n, 6))
		child.applyValues(sizedValues(n, 6))
		pull := func(c *Fleet) *fleetpb.PullResponse {
			resp, _ := relay.buildPullResponse(&fleetpb.PullRequest{Members: true, Domains: c.domainDigests(cursor{}, true)})
			return resp
		}
		if whole := pull(child).GetWhole(); len(whole.GetDomains()) != 0 {
			t.Errorf("%d members: domains %v are sent to a child that knows them", n, whole.GetDomains())
		}
		changed := sizedMember(1, 6).WithSeq(2)
		relay.view.put(changed, 0)
		resp := pull(child)
		if got := resp.GetWhole().GetDomains(); len(got) != 1 || got[0] != changed.Domain() {
			t.Errorf("%d members: domains %v are sent after a change in %s", n, got, changed.Domain())
		}
		if err := child.applyPulledMembers(resp, membership.NewRecord("relay"), 0); err != nil {
			t.Fatal(err)
		}
		if whole := pull(child).GetWhole(); len(whole.GetDomains()) != 0 {
			t.Errorf("%d members: domains %v still differ", n, whole.GetDomains())
		}
		before := relay.wholeDomains.encoded
		for range 8 {
			bytesFor[n] = len(pull(newSizedFleet("new", "d0")).GetWhole().GetCompressed())
		}
		if got := relay.wholeDomains.encoded - before; got != 1 {
			t.Errorf("%d members: encoded %d times for eight children", n, got)
		}
	}
	if perMember := bytesFor[1200] / 1200; perMember > 60 {
		t.Errorf("all members take %d bytes each", perMember)
	}
}

// Guards against a pull that failed once and is answered with all members the next time.
func TestACursorOutlastsFailedPulls(t *testing.T) {
	t.Parallel()
	p := &puller{}
	for i := range 3 * maxCursors {
		p.setCursor(cursor{instance: fmt.Sprint("p", i), epoch: 7, change: uint64(i)})
	}
	p.setCursor(cursor{instance: "p10", epoch: 7, change: 99})
	if got := p.cursor("p10"); got != (cursor{instance: "p10", epoch: 7, change: 99}) || len(p.cursors) != maxCursors {
		t.Errorf("cursor %+v of %d", got, len(p.cursors))
	}
	if got := p.cursor("p1"); got.epoch != 0 {
		t.Errorf("cursor %+v of a parent of long ago", got)
	}
}

// Guards against departures that are forgotten because a whole failure domain left: its
// return would have all members sent to every node.
func TestDeparturesOfAWholeDomainAreKept(t *testing.T) {
	t.Parallel()
	f := newSizedFleet("self", "d0")
	f.applyValues(sizedValues(1000, 2))
	at := f.view.lastChange()
	var left []string
	for i := 1; i < 1000; i += 2 {
		left = append(left, sizedMember(i, 2).Instance())
	}
	f.removeLeft(left)
	if set := f.view.changesSince(at, nil); set.complete != nil || len(set.members) != len(left) {
		t.Errorf("%d changes of %d, complete %v", len(set.members), len(left), set.complete)
	}
}
