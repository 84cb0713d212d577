package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// readyView returns a view of n ready members m0, m1, … of the home domain, all of
// which have just sent a heartbeat.
func readyView(n int) (*View, []Record) {
	v := New(home, 1)
	records := make([]Record, n)
	for i := range records {
		records[i] = rec(fmt.Sprintf("m%d", i), 1, 1, Ready)
	}
	v.Merge(start, records)
	return v, records
}

// runRoot runs a root that receives heartbeats from the responsive members only,
// and returns its batches of claims.
func runRoot(v *View, from time.Time, seconds int, responsive ...Record) (batches [][]Record) {
	for i := range seconds {
		now := from.Add(time.Duration(i) * time.Second)
		for _, r := range responsive {
			v.RecordHeartbeat(now, r.instance, r.boot)
		}
		if claims := v.Expire(now, true); len(claims) > 0 {
			batches = append(batches, claims)
		}
	}
	return batches
}

// Guards against one message per instance when a rack of 24 of 190 instances dies.
func TestRackFailureIsClaimedInTwoBatches(t *testing.T) {
	t.Parallel()
	v, all := readyView(190)
	batches := runRoot(v, start, 40, all[24:]...)
	if len(batches) != 2 || len(batches[0]) != 24 || len(batches[1]) != 24 {
		t.Fatalf("%d batches of claims, want two of 24", len(batches))
	}
	if got := len(v.Pool("binding")); got != 166 {
		t.Errorf("%d members get calls, want 166", got)
	}
	if st := v.Status(start)[0]; st.Gone != 24 || st.Ready != 166 {
		t.Errorf("status %+v", st)
	}
}

// A partitioned root sees nearly all members as unresponsive. Wrong claims would
// keep calls from the whole domain until each member refuted its own.
func TestRootDelaysClaimsWhenMostMembersAreUnresponsive(t *testing.T) {
	t.Parallel()
	v, all := readyView(190)
	if batches := runRoot(v, start, 59, all[0]); len(batches) != 0 {
		t.Fatalf("%d members claimed within a minute", len(batches[0]))
	}
	if batches := runRoot(v, start.Add(59*time.Second), 10, all[0]); len(batches) != 1 {
		t.Errorf("%d batches of claims after a minute, want one", len(batches))
	}
	if got := len(v.Pool("binding")); got != 1 {
		t.Errorf("%d members in the pool, want the one with heartbeats", got)
	}
}

// A paused root receives no heartbeats, so a pause or a clock jump must not count
// towards its members' timeouts.
func TestPauseOrClockJumpCausesNoClaims(t *testing.T) {
	t.Parallel()
	for _, jump := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, 1000 * time.Hour} {
		v, all := readyView(5)
		runRoot(v, start, 4, all...)
		if batches := runRoot(v, start.Add(jump), 4, all...); len(batches) != 0 {
			t.Errorf("claims after a jump by %v: %v", jump, batches)
		}
	}
}

// Guards against a timeline that also advances with the timestamps of failed calls,
// which lie a second in the past: every member would look unresponsive.
func TestEarlierTimestampsDoNotAdvanceTheTimeline(t *testing.T) {
	t.Parallel()
	v, all := readyView(5)
	runRoot(v, start, 4, all...)
	now := start.Add(4 * time.Second)
	for range 100 {
		v.ConnectionRefused(now.Add(-time.Second), "none", 1)
		if claims := v.Expire(now, true); len(claims) != 0 {
			t.Fatalf("claims: %v", claims)
		}
	}
}

// A new root has no heartbeats of members that pulled from other relays. Their
// timeouts must run from its takeover on.
func TestNewRootRestartsEveryMembersTimeout(t *testing.T) {
	t.Parallel()
	v, all := readyView(5)
	for i := range 30 {
		v.Expire(start.Add(time.Duration(i)*time.Second), false)
	}
	if batches := runRoot(v, start.Add(30*time.Second), 9, all[0]); len(batches) != 0 {
		t.Errorf("claims within 9 s of the takeover: %v", batches)
	}
}

// The root must claim an instance suspect 10 s after the last heartbeat, also if a
// relay received it.
func TestRelayedHeartbeatsKeepTheirAge(t *testing.T) {
	t.Parallel()
	root, all := readyView(5)
	relay := New(home, 2)
	relay.Merge(start, all)
	var claimedAt time.Duration
	for i := range 40 {
		at := time.Duration(i) * time.Second
		now := start.Add(at)
		relay.Expire(now, false)
		if i < 10 {
			relay.RecordHeartbeat(now, "m0", 1)
		}
		root.RecordHeartbeats(now, relay.HeartbeatAges(now))
		for _, r := range all[1:] {
			root.RecordHeartbeat(now, r.instance, 1)
		}
		if claims := root.Expire(now, true); len(claims) > 0 && claimedAt == 0 {
			claimedAt = at
		}
	}
	if claimedAt < 19*time.Second || claimedAt > 21*time.Second {
		t.Errorf("claimed at %v, want 10 s after the last heartbeat at 9 s", claimedAt)
	}
}

// Members of a failure domain that is cut off get calls only as a fallback, and
// none after 15 minutes. They are preferred again at the next contact.
func TestMembersOfACutOffDomainAreOnlyAFallback(t *testing.T) {
	t.Parallel()
	v := New(home, 1)
	near, far := rec("near", 1, 1, Ready), rec("far", 1, 1, Ready)
	far.domain = otherDomain
	fresh := Ages([]DomainAge{{Domain: otherDomain}})
	v.Merge(start, []Record{near, far}, fresh)
	now := start
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			v.Expire(now, false)
		}
	}
	check := func(when string, pool, fallback []string) {
		t.Helper()
		if diff := cmp.Diff(pool, names(v.Pool("binding"))); diff != "" {
			t.Errorf("%s, pool (-want +got):\n%s", when, diff)
		}
		if diff := cmp.Diff(fallback, names(v.Fallback("binding"))); diff != "" {
			t.Errorf("%s, fallback (-want +got):\n%s", when, diff)
		}
	}
	advance(cutOffAfter - 2*time.Second)
	check("before the domain counts as cut off", []string{"far", "near"}, []string{})
	advance(4 * time.Second)
	check("while cut off", []string{"near"}, []string{"far"})
	v.Merge(now, []Record{rec("near", 1, 2, Draining)})
	check("without preferred members", []string{"far"}, []string{"far"})
	v.Merge(now, []Record{rec("near", 1, 3, Ready)})
	advance(lostAfter)
	check("after 15 minutes", []string{"near"}, []string{})
	v.Merge(now, nil, fresh)
	check("after the next contact", []string{"far", "near"}, []string{})
}

// The age of a domain must keep growing while two nodes without contact with it
// exchange its age.
func TestTwoNodesCannotKeepAnUnreachableDomainFresh(t *testing.T) {
	t.Parallel()
	a, b := New("a", 1), New("b", 2)
	fresh := Ages([]DomainAge{{Domain: "c"}})
	a.Merge(start, nil, fresh)
	b.Merge(start, nil, fresh)
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		a.Merge(now, nil, FromPeer("b", "b"), Ages(b.Ages(now)))
		b.Merge(now, nil, FromPeer("a", "a"), Ages(a.Ages(now)))
	}
	for _, age := range a.Ages(start.Add(60 * time.Second)) {
		if age.Domain == "c" && age.Age < 59*time.Second {
			t.Errorf("age of c is %v after a minute without contact", age.Age)
		}
	}
}

// A refused connection diverts only this node's calls, for 2 s at first or until
// the instance announces itself, and is not sent to peers.
func TestRefusedConnectionLowersTheTierOnThisNodeOnly(t *testing.T) {
	t.Parallel()
	v, _ := readyView(2)
	cursor := v.Cursor()
	v.ConnectionRefused(start, "m0", 1)
	if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
		t.Error(diff)
	}
	if b := v.Since(cursor); !b.Empty() {
		t.Errorf("sent to peers: %v", b.Records())
	}
	for i := range 3 {
		v.Expire(start.Add(time.Duration(i)*time.Second), false)
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after 2 s, want both", got)
	}
	v.ConnectionRefused(start.Add(2*time.Second), "m0", 1)
	v.Merge(start.Add(2*time.Second), []Record{rec("m0", 1, 2, Ready)})
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after an announcement, want both", got)
	}
	v.ConnectionRefused(start.Add(2*time.Second), "m0", 7)
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("a refused connection of another boot counts")
	}
}

// A member that restarts three times in quick succession is only a fallback until
// it has stayed up for a while.
func TestFlappingMemberIsSuppressedUntilStable(t *testing.T) {
	t.Parallel()
	v, _ := readyView(2)
	now := start
	for boot := uint64(2); boot <= 4; boot++ {
		now = now.Add(time.Second)
		v.Merge(now, []Record{rec("m0", boot, 1, Starting), rec("m0", boot, 2, Ready)})
	}
	if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
		t.Errorf("pool while m0 flaps (-want +got):\n%s", diff)
	}
	for range 60 {
		now = now.Add(time.Second)
		v.Expire(now, false)
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after a minute without flaps, want both", got)
	}
}

// A member on an overloaded machine refutes repeated claims. It must be preferred
// right after each refutation.
func TestRefutedClaimsAreNoFlaps(t *testing.T) {
	t.Parallel()
	v, _ := readyView(2)
	now := start
	for seq := uint64(1); seq <= 6; seq++ {
		now = now.Add(time.Second)
		v.Merge(now, []Record{rec("m0", 1, seq, Suspect)})
		if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
			t.Errorf("pool while m0 is a suspect (-want +got):\n%s", diff)
		}
		v.Merge(now, []Record{rec("m0", 1, seq+1, Ready)})
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after the last refutation, want both", got)
	}
}

func TestSinceSendsEachChangeOnce(t *testing.T) {
	t.Parallel()
	v, _ := readyView(3)
	c := v.Cursor()
	v.Merge(start, []Record{rec("m0", 1, 2, Draining)}, FromPeer("child", home))
	v.Merge(start, []Record{rec("m0", 1, 3, Gone), rec("m1", 1, 2, Draining)})
	for _, tt := range []struct {
		name        string
		cursor      Cursor
		opts        []SinceOption
		records     []string
		fullDomains []string
	}{
		{"one record for several changes of an instance", c, nil, []string{"m0", "m1"}, nil},
		{"nothing after the last change", v.Cursor(), nil, []string{}, nil},
		{"all records for a cursor of another epoch", NewCursor(9, 9), nil, []string{"m0", "m1", "m2"}, []string{home}},
		{"nothing for a cursor of another epoch if the digests match", NewCursor(9, 9), []SinceOption{WithDigests(v.Digests())}, []string{}, nil},
		{"nothing of another domain", NewCursor(9, 9), []SinceOption{OnlyDomain(otherDomain)}, []string{}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := v.Since(tt.cursor, tt.opts...)
			if diff := cmp.Diff(tt.records, names(b.Records())); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tt.fullDomains, b.FullDomains()); diff != "" {
				t.Error(diff)
			}
		})
	}
	cursor := v.Cursor()
	v.Merge(start, []Record{rec("m2", 1, 2, Draining)}, FromPeer("child", home))
	if b := v.Since(cursor, ForPeer("child")); !b.Empty() {
		t.Errorf("change sent back to the peer it came from: %v", b.Records())
	}
}

// A peer without contact until an instance's tombstone expired must be sent the
// full domain, so that it removes the member.
func TestAPeerThatMissedATombstoneDropsTheMember(t *testing.T) {
	t.Parallel()
	origin, all := readyView(2)
	peer := New(otherDomain, 2)
	peer.Merge(start, all)
	c := origin.Cursor()
	origin.Merge(start, []Record{rec("m0", 1, 2, Gone)})
	now := start
	for range int(tombstoneTTL/maxStep) + 2 {
		now = now.Add(maxStep)
		origin.Expire(now, false)
		peer.Expire(now, false)
	}
	b := origin.Since(c)
	peer.Merge(now, b.Records(), FromPeer("m1", home), FullDomains(b.FullDomains()...), Ages(origin.Ages(now)))
	if diff := cmp.Diff([]string{"m1"}, names(peer.Members(home))); diff != "" {
		t.Error(diff)
	}
}

func TestWrongRecordsAreRefutedAndSuccessorsDetected(t *testing.T) {
	t.Parallel()
	self := func() *Self {
		s := NewSelf(start, rand.New(rand.NewPCG(1, 1)), "a", Domain(home))
		s.Announce(Ready)
		return s
	}
	announced := self().Record()
	with := func(boot, seq uint64, s State) Record {
		return NewRecord("a", Domain(home), Boot(boot), Seq(seq), InState(s))
	}
	for _, tt := range []struct {
		name      string
		confirmed bool
		held      Record
		want      Verdict
	}{
		{"as announced", false, announced, Unchanged},
		{"an earlier boot", true, with(announced.boot-1, 9, Ready), Unchanged},
		{"an earlier announcement of this boot", true, with(announced.boot, 1, Starting), Unchanged},
		{"a record of another instance", true, NewRecord("b", Domain(home), Boot(announced.boot+1)), Unchanged},
		{"claimed suspect", true, with(announced.boot, announced.seq, Suspect), Reannounce},
		{"declared gone while paused", true, with(announced.boot, announced.seq, Gone), Reannounce},
		{"the clock went back since an earlier boot", false, with(announced.boot+1<<40, 3, Ready), Reannounce},
		{"the clock went back since an earlier boot that has left", false, with(announced.boot+1<<40, 3, Gone), Reannounce},
		{"a later process", true, with(announced.boot+1<<40, 1, Starting), Superseded},
		{"a later process that has left", true, with(announced.boot+1<<40, 1, Gone), Reannounce},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := self()
			if tt.confirmed {
				s.Reconcile(announced)
			}
			if got := s.Reconcile(tt.held); got != tt.want {
				t.Fatalf("verdict %v, want %v", got, tt.want)
			}
			if r := s.Record(); tt.want == Reannounce && (!r.Newer(tt.held) || r.State() != Ready) {
				t.Errorf("%v does not refute %v", r, tt.held)
			}
		})
	}
}

// Guards against processes of one instance that raise their boot numbers above each
// other's forever, or coexist with equal boot numbers.
func TestOnlyOneOfConcurrentlyStartedProcessesRemains(t *testing.T) {
	t.Parallel()
	// Bit i of relays selects the relay of process i; bit i of behind sets its
	// clock back by an hour.
	for n := 2; n <= 4; n++ {
		for relays := range 1 << n {
			for behind := range 1 << n {
				c := newCluster()
				for i := range n {
					c.startProcess("a", 1+relays>>i&1, -time.Duration(behind>>i&1)*time.Hour)
				}
				for range 12 {
					c.round()
				}
				if len(c.processes) != 1 {
					t.Fatalf("%d of %d processes remain, relays %b, clocks behind %b", len(c.processes), n, relays, behind)
				}
			}
		}
	}
}

// Guards against a claim that stays in another domain forever because the root and
// the relay lost their state before the instance received and refuted it.
func TestAClaimThatOnlyAnotherDomainHoldsIsRefuted(t *testing.T) {
	t.Parallel()
	c := newCluster()
	c.startProcess("a", 2, 0)
	c.processes[0].self.Announce(Ready)
	c.round()
	c.cut[2] = true
	for range 11 {
		c.round()
	}
	if held, _ := c.views[3].Record(home, "a"); held.State() != Suspect {
		t.Fatalf("the other domain holds %v, want a suspect", held)
	}
	c.resetView(0)
	c.resetView(2)
	c.cut[2] = false
	for range 10 {
		c.round()
	}
	if held, _ := c.views[3].Record(home, "a"); held != c.processes[0].self.Record() {
		t.Errorf("the other domain holds %v", held)
	}
}

// A relay that lost its state is not sent tombstones, since digests leave them out.
// The root must send one again after a delayed announcement reached the relay.
func TestLateAnnouncementIsOverriddenAtARelayWithoutTheTombstone(t *testing.T) {
	t.Parallel()
	c := newCluster()
	c.startProcess("a", 1, 0)
	late := c.processes[0].self.Announce(Ready)
	c.round()
	c.views[1].Merge(c.now, []Record{c.processes[0].self.Announce(Gone)}, FromPeer("a", home))
	c.processes = nil
	c.round()
	c.resetView(1)
	c.round()
	c.views[1].Merge(c.now, []Record{late}, FromPeer("a", home))
	c.round()
	c.round()
	if held, _ := c.views[1].Record(home, "a"); held.State() != Gone {
		t.Errorf("the relay holds %v", held)
	}
}

// An instance dies and all views of its domain lose their state. The record that
// another domain still holds must become a suspect, then gone everywhere.
func TestDeadMemberKnownOnlyToAnotherDomainBecomesGone(t *testing.T) {
	t.Parallel()
	c := newCluster()
	c.startProcess("a", 1, 0)
	c.processes[0].self.Announce(Ready)
	c.round()
	c.processes = nil
	c.resetView(0)
	c.resetView(1)
	c.resetView(2)
	c.round()
	if held, _ := c.views[0].Record(home, "a"); held.State() != Suspect {
		t.Errorf("the root holds %v, want a suspect", held)
	}
	for range 15 {
		c.round()
	}
	if held, _ := c.views[3].Record(home, "a"); held.State() != Gone {
		t.Errorf("the other domain holds %v", held)
	}
}

// Guards against a failure domain that stays split: a node that first heard of the others
// through another domain holds them suspect, and takes each refutation that comes the same
// way for another claim.
func TestARefutationThroughAnotherDomainEndsTheClaim(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		held     []Record
		received Record
		want     Record
	}{
		{"the first record of a member", nil, rec("a", 1, 1, Ready), rec("a", 1, 1, Suspect)},
		{"the record that the claim is about", []Record{rec("a", 1, 1, Suspect)}, rec("a", 1, 1, Ready), rec("a", 1, 1, Suspect)},
		{"a refutation", []Record{rec("a", 1, 1, Suspect)}, rec("a", 1, 2, Ready), rec("a", 1, 2, Ready)},
		{"a later announcement of a live member", []Record{rec("a", 1, 1, Ready)}, rec("a", 1, 2, Draining), rec("a", 1, 2, Draining)},
		{"a later announcement of a member that is gone", []Record{rec("a", 1, 1, Gone)}, rec("a", 1, 2, Ready), rec("a", 1, 1, Gone)},
		{"the first record of a later boot", []Record{rec("a", 1, 1, Suspect)}, rec("a", 2, 1, Ready), rec("a", 2, 1, Suspect)},
	} {
		v := New(home, 1)
		v.Merge(start, tc.held, FromPeer("b", home))
		v.Merge(start, []Record{tc.received}, FromPeer("c", otherDomain))
		if got, _ := v.Record(home, "a"); got != tc.want {
			t.Errorf("%s: the view holds %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against races between updates that leave a pool different from the records.
func TestPoolsMatchRecordsAfterConcurrentUse(t *testing.T) {
	t.Parallel()
	v, _ := readyView(50)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 300 {
				m := rec(fmt.Sprintf("m%d", r.IntN(50)), 1, r.Uint64N(40), State(1+r.IntN(5)))
				m.pool = []string{"binding", "inquiry"}[r.IntN(2)]
				v.Merge(start, []Record{m})
				v.ConnectionRefused(start, m.instance, 1)
				v.Since(NewCursor(1, uint64(i)))
				v.Expire(start.Add(time.Duration(i)*time.Millisecond), g == 0)
				for _, held := range v.Pool("binding") {
					if held.Pool() != "binding" {
						t.Errorf("binding holds %v", held)
					}
				}
			}
		})
	}
	wg.Wait()
	for _, pool := range []string{"binding", "inquiry"} {
		want := 0
		for _, r := range v.Records() {
			if r.pool == pool && (r.state == Ready || r.state == Suspect) {
				want++
			}
		}
		got := len(v.Fallback(pool))
		if p := v.Pool(pool); len(p) > 0 && (got == 0 || p[0] != v.Fallback(pool)[0]) {
			got += len(p)
		}
		if got != want {
			t.Errorf("%s has %d members, want %d", pool, got, want)
		}
	}
}
