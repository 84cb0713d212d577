package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fleetOf returns a view of n ready members m0, m1, … of the home domain, all
// just heard.
func fleetOf(n int) (*View, []Record) {
	v := New(home, 1)
	records := make([]Record, n)
	for i := range records {
		records[i] = rec(fmt.Sprintf("m%d", i), 1, 1, Ready)
	}
	v.Merge(start, records)
	return v, records
}

// run lets seconds pass at a root that hears only some of the members, and
// returns the batches of claims.
func run(v *View, from time.Time, seconds int, heard ...Record) (batches [][]Record) {
	for i := range seconds {
		now := from.Add(time.Duration(i) * time.Second)
		for _, r := range heard {
			v.Heard(now, r.instance, r.boot)
		}
		if claims := v.Expire(now, true); len(claims) > 0 {
			batches = append(batches, claims)
		}
	}
	return batches
}

// A rack of 24 of 190 instances dies in one moment. Callers see a few refused
// connections, then the domain's root claims all 24 in one batch, and a second
// batch says that they are gone. Nothing is sent for each one.
func TestARackThatDiesIsTwoBatches(t *testing.T) {
	t.Parallel()
	v, all := fleetOf(190)
	batches := run(v, start, 40, all[24:]...)
	if len(batches) != 2 || len(batches[0]) != 24 || len(batches[1]) != 24 {
		t.Fatalf("%d batches, want two of 24", len(batches))
	}
	if got := len(v.Pool("binding")); got != 166 {
		t.Errorf("%d members get calls, want 166", got)
	}
	if st := v.Status(start)[0]; st.Gone != 24 || st.Ready != 166 {
		t.Errorf("status %+v", st)
	}
}

// The root itself is cut off, so that nearly all members look silent. It claims
// nothing for a minute: when the cut heals, its claims would put the whole
// domain out of work until each member had refuted its own.
func TestARootThatHearsNobodyWaits(t *testing.T) {
	t.Parallel()
	v, all := fleetOf(190)
	if batches := run(v, start, 59, all[0]); len(batches) != 0 {
		t.Fatalf("claimed %d at once", len(batches[0]))
	}
	if batches := run(v, start.Add(59*time.Second), 10, all[0]); len(batches) != 1 {
		t.Errorf("%d batches after a minute, want one", len(batches))
	}
	if got := len(v.Pool("binding")); got != 1 {
		t.Errorf("%d members get calls first, want the one that was heard", got)
	}
}

// The root's process is paused for an hour, or its clock jumps. It was deaf
// meanwhile, so what it did not hear proves nothing.
func TestAPauseOrAJumpIsNotSilence(t *testing.T) {
	t.Parallel()
	for _, jump := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, 1000 * time.Hour} {
		v, all := fleetOf(5)
		run(v, start, 4, all...)
		if batches := run(v, start.Add(jump), 4, all...); len(batches) != 0 {
			t.Errorf("a jump by %v makes claims: %v", jump, batches)
		}
	}
}

// Many calls fail and report it with the time at which they began, a second ago.
// That must not make time run faster: every member would look silent at once.
func TestCallersThatTellAnEarlierTime(t *testing.T) {
	t.Parallel()
	v, all := fleetOf(5)
	run(v, start, 4, all...)
	now := start.Add(4 * time.Second)
	for range 100 {
		v.Suspect(now.Add(-time.Second), "none", 1)
		if claims := v.Expire(now, true); len(claims) != 0 {
			t.Fatalf("claims: %v", claims)
		}
	}
}

// The root dies and another node takes over, which heard none of the members
// that pulled elsewhere. Their time starts at the take-over.
func TestANewRootGivesEachMemberItsTime(t *testing.T) {
	t.Parallel()
	v, all := fleetOf(5)
	for i := range 30 {
		v.Expire(start.Add(time.Duration(i)*time.Second), false)
	}
	if batches := run(v, start.Add(30*time.Second), 9, all[0]); len(batches) != 0 {
		t.Errorf("claims at once: %v", batches)
	}
}

// A relay far down hears an instance; the root judges by what the relays pass
// up, with its age, and drops the instance once the relay stops hearing it.
func TestHeartbeatsTravelUpWithTheirAge(t *testing.T) {
	t.Parallel()
	root, all := fleetOf(5)
	relay := New(home, 2)
	relay.Merge(start, all)
	var last time.Duration
	for i := range 40 {
		at := time.Duration(i) * time.Second
		now := start.Add(at)
		relay.Expire(now, false)
		if i < 10 {
			relay.Heard(now, "m0", 1)
		}
		root.HeardBelow(now, relay.Pulses(now))
		for _, r := range all[1:] {
			root.Heard(now, r.instance, 1)
		}
		if claims := root.Expire(now, true); len(claims) > 0 && last == 0 {
			last = at
		}
	}
	if last < 19*time.Second || last > 21*time.Second {
		t.Errorf("claimed at %v, want 10 s after the last heartbeat at 9 s", last)
	}
}

// A failure domain is cut off. Its members keep their records but get calls
// only where no other member will do; after a quarter of an hour they get none.
// When word of it comes again, they are back at once, without a transfer.
func TestMembersOfACutOffDomain(t *testing.T) {
	t.Parallel()
	v := New(home, 1)
	near, far := rec("near", 1, 1, Ready), rec("far", 1, 1, Ready)
	far.domain = otherDomain
	fresh := Ages([]DomainAge{{Domain: otherDomain}})
	v.Merge(start, []Record{near, far}, fresh)
	now := start
	pass := func(d time.Duration) {
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
	pass(cutAfter - 2*time.Second)
	check("before the cut shows", []string{"far", "near"}, []string{})
	pass(4 * time.Second)
	check("while cut", []string{"near"}, []string{"far"})
	v.Merge(now, []Record{rec("near", 1, 2, Draining)})
	check("with no other left", []string{"far"}, []string{"far"})
	v.Merge(now, []Record{rec("near", 1, 3, Ready)})
	pass(lostAfter)
	check("when lost", []string{"near"}, []string{})
	v.Merge(now, nil, fresh)
	check("when back", []string{"far", "near"}, []string{})
}

// Two nodes of different domains tell each other that a third domain is fresh.
// Neither has heard of it, so its age must go on growing.
func TestTwoNodesCannotKeepADomainFreshBetweenThem(t *testing.T) {
	t.Parallel()
	a, b := New("a", 1), New("b", 2)
	fresh := Ages([]DomainAge{{Domain: "c"}})
	a.Merge(start, nil, fresh)
	b.Merge(start, nil, fresh)
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		a.Merge(now, nil, From("b", "b"), Ages(b.Ages(now)))
		b.Merge(now, nil, From("a", "a"), Ages(a.Ages(now)))
	}
	for _, age := range a.Ages(start.Add(60 * time.Second)) {
		if age.Domain == "c" && age.Age < 59*time.Second {
			t.Errorf("c looks %v old after a minute without a word", age.Age)
		}
	}
}

// A call is refused a connection. This node's calls keep away at once, others
// are told nothing; it is tried again after 2 s, then after longer, and an
// announcement by the instance itself ends the suspicion.
func TestARefusedConnectionActsAtOnceAndHere(t *testing.T) {
	t.Parallel()
	v, _ := fleetOf(2)
	cursor := v.Cursor()
	v.Suspect(start, "m0", 1)
	if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
		t.Error(diff)
	}
	if b := v.Since(cursor); !b.Empty() {
		t.Errorf("others are told: %v", b.Records())
	}
	for i := range 3 {
		v.Expire(start.Add(time.Duration(i)*time.Second), false)
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after 2 s, want both", got)
	}
	v.Suspect(start.Add(2*time.Second), "m0", 1)
	v.Merge(start.Add(2*time.Second), []Record{rec("m0", 1, 2, Ready)})
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after an announcement, want both", got)
	}
	v.Suspect(start.Add(2*time.Second), "m0", 7)
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("evidence on another boot counts")
	}
}

// A member crashes and returns again and again. After the third fall within a
// minute it gets calls only as a last resort, until it has stayed up.
func TestAMemberThatFlapsIsHeldBack(t *testing.T) {
	t.Parallel()
	v, _ := fleetOf(2)
	now := start
	for boot := uint64(2); boot <= 4; boot++ {
		now = now.Add(time.Second)
		v.Merge(now, []Record{rec("m0", boot, 1, Starting), rec("m0", boot, 2, Ready)})
	}
	if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
		t.Errorf("while it flaps: %s", diff)
	}
	for range 60 {
		now = now.Add(time.Second)
		v.Expire(now, false)
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after a minute's calm, want both", got)
	}
}

// A machine is so busy that a living member is claimed silent again and again
// and refutes it each time. It has never fallen, so calls go to it as soon as
// it has answered.
func TestAMemberThatRefutesIsNotHeldBack(t *testing.T) {
	t.Parallel()
	v, _ := fleetOf(2)
	now := start
	for seq := uint64(1); seq <= 6; seq++ {
		now = now.Add(time.Second)
		v.Merge(now, []Record{rec("m0", 1, seq, Suspect)})
		if diff := cmp.Diff([]string{"m1"}, names(v.Pool("binding"))); diff != "" {
			t.Errorf("while it is suspected: %s", diff)
		}
		v.Merge(now, []Record{rec("m0", 1, seq+1, Ready)})
	}
	if got := len(v.Pool("binding")); got != 2 {
		t.Errorf("%d members after the last refutation, want both", got)
	}
}

func TestSinceSendsEachChangeOnce(t *testing.T) {
	t.Parallel()
	v, _ := fleetOf(3)
	c := v.Cursor()
	v.Merge(start, []Record{rec("m0", 1, 2, Draining)}, From("child", home))
	v.Merge(start, []Record{rec("m0", 1, 3, Gone), rec("m1", 1, 2, Draining)})
	for _, tt := range []struct {
		name    string
		cursor  Cursor
		opts    []SinceOption
		records []string
		whole   []string
	}{
		{"changes of an instance are one record", c, nil, []string{"m0", "m1"}, nil},
		{"nothing after the last", v.Cursor(), nil, []string{}, nil},
		{"all from another epoch", NewCursor(9, 9), nil, []string{"m0", "m1", "m2"}, []string{home}},
		{"nothing from another epoch if nothing differs", NewCursor(9, 9), []SinceOption{Holding(v.Digests())}, []string{}, nil},
		{"nothing of another domain", NewCursor(9, 9), []SinceOption{Only(otherDomain)}, []string{}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := v.Since(tt.cursor, tt.opts...)
			if diff := cmp.Diff(tt.records, names(b.Records())); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tt.whole, b.Whole()); diff != "" {
				t.Error(diff)
			}
		})
	}
	back := v.Cursor()
	v.Merge(start, []Record{rec("m2", 1, 2, Draining)}, From("child", home))
	if b := v.Since(back, To("child")); !b.Empty() {
		t.Errorf("news goes back to where it came from: %v", b.Records())
	}
}

// An instance leaves, and its tombstone is forgotten an hour later. A peer that
// was away for longer asks from before: it is given all, so that it drops the
// member that it still holds.
func TestAPeerThatMissedATombstoneDropsTheMember(t *testing.T) {
	t.Parallel()
	origin, all := fleetOf(2)
	away := New(otherDomain, 2)
	away.Merge(start, all)
	c := origin.Cursor()
	origin.Merge(start, []Record{rec("m0", 1, 2, Gone)})
	now := start
	for range int(tombstoneFor/maxStep) + 2 {
		now = now.Add(maxStep)
		origin.Expire(now, false)
		away.Expire(now, false)
	}
	b := origin.Since(c)
	away.Merge(now, b.Records(), From("m1", home), Whole(b.Whole()...), Ages(origin.Ages(now)))
	if diff := cmp.Diff([]string{"m1"}, names(away.Members(home))); diff != "" {
		t.Error(diff)
	}
}

func TestLearn(t *testing.T) {
	t.Parallel()
	self := func() *Self {
		s := NewSelf(start, rand.New(rand.NewPCG(1, 1)), "a", Domain(home))
		s.Announce(Ready)
		return s
	}
	mine := self().Record()
	with := func(boot, seq uint64, s State) Record {
		return NewRecord("a", Domain(home), Boot(boot), Seq(seq), InState(s))
	}
	for _, tt := range []struct {
		name  string
		known bool
		held  Record
		want  Verdict
	}{
		{"as announced", false, mine, Stands},
		{"an earlier boot", true, with(mine.boot-1, 9, Ready), Stands},
		{"the announcement before", true, with(mine.boot, 1, Starting), Stands},
		{"another instance", true, NewRecord("b", Domain(home), Boot(mine.boot+1)), Stands},
		{"claimed to be silent", true, with(mine.boot, mine.seq, Suspect), Again},
		{"given up while paused", true, with(mine.boot, mine.seq, Gone), Again},
		{"the clock went back since an earlier boot", false, with(mine.boot+1<<40, 3, Ready), Again},
		{"and that boot has left", false, with(mine.boot+1<<40, 3, Gone), Again},
		{"a process started since", true, with(mine.boot+1<<40, 1, Starting), Superseded},
		{"a process started since and left", true, with(mine.boot+1<<40, 1, Gone), Again},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := self()
			if tt.known {
				s.Learn(mine)
			}
			if got := s.Learn(tt.held); got != tt.want {
				t.Fatalf("verdict %v, want %v", got, tt.want)
			}
			if r := s.Record(); tt.want == Again && (!r.Newer(tt.held) || r.State() != Ready) {
				t.Errorf("%v does not refute %v", r, tt.held)
			}
		})
	}
}

// Processes of one instance start in the same moment, as when a supervisor
// starts a replacement twice. Each sees the other's higher boot before its own
// record. One must remain, and within a few heartbeats: they used to overtake
// each other without end, and with equal numbers to go on side by side.
func TestProcessesThatStartTogetherLeaveOne(t *testing.T) {
	t.Parallel()
	// Bit i says at which relay process i starts, and whether its clock is an
	// hour behind.
	for n := 2; n <= 4; n++ {
		for relays := range 1 << n {
			for behind := range 1 << n {
				p := newParty()
				for i := range n {
					p.begin("a", 1+relays>>i&1, -time.Duration(behind>>i&1)*time.Hour)
				}
				for range 12 {
					p.round()
				}
				if len(p.processes) != 1 {
					t.Fatalf("%d of %d processes go on, relays %b, clocks %b", len(p.processes), n, relays, behind)
				}
			}
		}
	}
}

// The root claims an instance silent, the other domain hears of it, and then
// the root and the relay lose their memory. The instance was never told, so the
// claim stayed in the other domain for good. Now the root hears it from there.
func TestAClaimThatOnlyAnotherDomainHoldsIsRefuted(t *testing.T) {
	t.Parallel()
	p := newParty()
	p.begin("a", 2, 0)
	p.processes[0].self.Announce(Ready)
	p.round()
	p.cut[2] = true
	for range 11 {
		p.round()
	}
	if held, _ := p.views[3].Record(home, "a"); held.State() != Suspect {
		t.Fatalf("the other domain holds %v, want a claim", held)
	}
	p.reset(0)
	p.reset(2)
	p.cut[2] = false
	for range 10 {
		p.round()
	}
	if held, _ := p.views[3].Record(home, "a"); held != p.processes[0].self.Record() {
		t.Errorf("the other domain holds %v", held)
	}
}

// A relay loses its memory and, since digests leave tombstones out, is not sent
// that of an instance that has left. A delayed announcement of it arrives there.
// The root, which knows better, reminds the relay.
func TestALateAnnouncementAtARelayWithoutTheTombstone(t *testing.T) {
	t.Parallel()
	p := newParty()
	p.begin("a", 1, 0)
	late := p.processes[0].self.Announce(Ready)
	p.round()
	p.views[1].Merge(p.now, []Record{p.processes[0].self.Announce(Gone)}, From("a", home))
	p.processes = nil
	p.round()
	p.reset(1)
	p.round()
	p.views[1].Merge(p.now, []Record{late}, From("a", home))
	p.round()
	p.round()
	if held, _ := p.views[1].Record(home, "a"); held.State() != Gone {
		t.Errorf("the relay holds %v", held)
	}
}

// An instance dies while its whole domain restarts, so that only another domain
// still knows it, as ready. The domain hears of it from there and does not take
// it for living: it becomes a claim, and when nobody refutes it, is gone
// everywhere.
func TestADeadMemberThatOnlyAnotherDomainKnows(t *testing.T) {
	t.Parallel()
	p := newParty()
	p.begin("a", 1, 0)
	p.processes[0].self.Announce(Ready)
	p.round()
	p.processes = nil
	p.reset(0)
	p.reset(1)
	p.reset(2)
	p.round()
	if held, _ := p.views[0].Record(home, "a"); held.State() != Suspect {
		t.Errorf("the root takes over %v", held)
	}
	for range 15 {
		p.round()
	}
	if held, _ := p.views[3].Record(home, "a"); held.State() != Gone {
		t.Errorf("the other domain holds %v", held)
	}
}

// Relays merge, calls look up and suspect, and time passes, all at once; in the
// end each pool holds what its members' records say.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	v, _ := fleetOf(50)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 300 {
				m := rec(fmt.Sprintf("m%d", r.IntN(50)), 1, r.Uint64N(40), State(1+r.IntN(5)))
				m.pool = []string{"binding", "inquiry"}[r.IntN(2)]
				v.Merge(start, []Record{m})
				v.Suspect(start, m.instance, 1)
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
