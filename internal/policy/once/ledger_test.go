package once

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.UnixMilli(1_700_000_000_000)

func member(name string, boot uint64) Member {
	return NewMember(name, boot, netip.AddrPortFrom(netip.IPv4Unspecified(), 1000+uint16(name[0])))
}

// trio returns the holders a, b and c of epoch 1, and epoch 2, in which d takes
// the place of c.
func trio() (a, b, c, d *Ledger, next Row) {
	ms := []Member{member("a", 1), member("b", 1), member("c", 1), member("d", 1)}
	ls := make([]*Ledger, 4)
	first := NewRow(1, ms[:3], nil)
	for i, m := range ms {
		ls[i] = NewLedger(m)
		ls[i].Adopt(start, 0, first)
	}
	return ls[0], ls[1], ls[2], ls[3], NewRow(2, []Member{ms[0], ms[1], ms[3]}, ms[:3])
}

func ask(l *Ledger, key string, boot, epoch uint64) Verdict {
	v, _ := l.Claim(start, 0, Claim{Key: key, Token: Token{Boot: boot}, Epoch: epoch, Left: time.Second})
	return v
}

func handOver(t *testing.T, to *Ledger, from ...*Ledger) {
	t.Helper()
	for _, f := range from {
		for _, p := range to.rows[0].row.previous {
			if s, ok := f.Seal(0, to.rows[0].row.epoch, p); ok {
				to.Merge(start, 0, to.rows[0].row.epoch, p, s)
			}
		}
	}
}

// A holder hands its records to the next epoch while a sender still has the old
// table. Were it to go on granting, that sender and one with the new table
// would both get a majority.
func TestASealedHolderGrantsNothing(t *testing.T) {
	t.Parallel()
	a, _, _, d, next := trio()
	d.Adopt(start, 0, next)
	handOver(t, d, a)
	if got := ask(a, "k", 1, 1); got != Unready {
		t.Errorf("verdict %d, want %d", got, Unready)
	}
}

// Send 2 ran with a and b, of which b restarted; c, which had granted send 1,
// and b bring their records to d. Send 1's claim has come through where send
// 2's was lost, so it must not be granted anew.
func TestAClaimIsNotGrantedAgainInALaterEpoch(t *testing.T) {
	t.Parallel()
	a, b, c, d, next := trio()
	ask(c, "k", 1, 1)
	ask(a, "k", 2, 1)
	ask(b, "k", 2, 1)
	b2 := NewLedger(member("b", 2))
	d.Adopt(start, 0, next)
	handOver(t, d, c, b2)
	if got := ask(d, "k", 1, 2); got != Unready {
		t.Errorf("while a may answer: verdict %d, want %d", got, Unready)
	}
	d.Settle(start.Add(blankAfter))
	if got := ask(d, "k", 1, 2); got != Taken {
		t.Errorf("verdict %d, want %d", got, Taken)
	}
	// What else b had granted with a or c is lost.
	if got := ask(d, "l", 1, 2); got != Old {
		t.Errorf("verdict %d, want %d", got, Old)
	}
}

// d takes over a row and stands still for four seconds before it has asked anyone.
// When it wakes, a has not answered, as it was never asked: its records are not
// given up, and a new key waits for them. Three seconds later they are.
func TestAHolderThatStoodStillGivesNobodyUp(t *testing.T) {
	t.Parallel()
	_, _, c, d, next := trio()
	b2 := NewLedger(member("b", 2))
	d.Adopt(start, 0, next)
	handOver(t, d, c, b2)
	const still = blankAfter + time.Second
	d.Stood(still)
	d.Settle(start.Add(still))
	if got := ask(d, "k", 1, 2); got != Unready {
		t.Errorf("as it woke: verdict %d, want %d", got, Unready)
	}
	d.Settle(start.Add(still + blankAfter))
	if got := ask(d, "k", 1, 2); got == Unready {
		t.Error("it still waits for a holder that has been silent for long")
	}
}

// d takes over the claims of two sends on one key, one of which may have run. The
// other gives its claim back; were that to clear the key, a re-send would run.
func TestOfTwoClaimsTakenOverOneGivenBackDoesNotFreeTheKey(t *testing.T) {
	t.Parallel()
	for _, gives := range []uint64{1, 2} {
		a, b, _, d, next := trio()
		ask(a, "k", 1, 1)
		ask(b, "k", 2, 1)
		d.Adopt(start, 0, next)
		handOver(t, d, a, b)
		d.Abandon(0, "k", Token{Boot: gives})
		d.Abandon(0, "k", Token{Boot: gives})
		d.Abandon(0, "k", Token{Boot: 9})
		for _, boot := range []uint64{1, 2, 3} {
			if got := ask(d, "k", boot, 2); got != Taken {
				t.Errorf("send %d gave up; send %d: verdict %d, want %d", gives, boot, got, Taken)
			}
		}
	}
}

// Two sends of one key each hold a part of a row that changes hands, and both
// give up. Were one claim kept, the caller would be told "unknown" for minutes,
// though nothing ran.
func TestOfTwoClaimsTakenOverBothGivenBackFreeTheKey(t *testing.T) {
	t.Parallel()
	a, b, c, d, next := trio()
	ask(a, "k", 1, 1)
	ask(b, "k", 2, 1)
	ask(c, "k", 2, 1)
	d.Adopt(start, 0, next)
	handOver(t, d, a, b, c)
	d.Abandon(0, "k", Token{Boot: 2})
	d.Abandon(0, "k", Token{Boot: 1})
	if got := ask(d, "k", 3, 2); got != Granted {
		t.Errorf("verdict %d, want %d", got, Granted)
	}
	if got, want := d.Bytes(), recordBytes+len("k"); got != want {
		t.Errorf("%d bytes, want those of one claim, %d", got, want)
	}
}

// A send gives up while its row changes hands: d hears so before a's records
// come, which were taken before a heard. Held from then on, the claim would keep
// the key from every re-send, as its send never speaks again.
func TestAClaimGivenBackBeforeItIsTakenOverIsNotHeld(t *testing.T) {
	t.Parallel()
	a, b, _, d, next := trio()
	ask(a, "k", 1, 1)
	d.Adopt(start, 0, next)
	p := next.previous[0]
	sealed, ok := a.Seal(0, 2, p)
	if !ok {
		t.Fatal("not sealed")
	}
	a.Abandon(0, "k", Token{Boot: 1})
	d.Abandon(0, "k", Token{Boot: 1})
	d.Merge(start, 0, 2, p, sealed)
	handOver(t, d, b)
	if got := ask(d, "k", 2, 2); got != Granted {
		t.Errorf("verdict %d, want %d", got, Granted)
	}
}

func TestOneHolderIsNotEnoughToServeTheNextEpoch(t *testing.T) {
	t.Parallel()
	a, b, _, d, next := trio()
	d.Adopt(start, 0, next)
	handOver(t, d, a)
	if got := ask(d, "k", 1, 2); got != Unready {
		t.Errorf("with one: verdict %d, want %d", got, Unready)
	}
	handOver(t, d, b)
	if got := ask(d, "k", 1, 2); got != Granted {
		t.Errorf("with two: verdict %d, want %d", got, Granted)
	}
}

// One holder restarts, the two others are there. The first word is often that
// of the restarted one; were it counted at once, the row would be blank and
// refuse new keys for minutes.
func TestARestartedHolderLosesNothingWhileTwoOthersLive(t *testing.T) {
	t.Parallel()
	a, b, _, _, _ := trio()
	old := []Member{member("a", 1), member("b", 1), member("c", 1)}
	c2 := NewLedger(member("c", 2))
	next := NewRow(2, []Member{old[0], old[1], member("c", 2)}, old)
	ls := []*Ledger{a, b, c2}
	for _, l := range ls {
		l.Adopt(start, 0, next)
	}
	for _, l := range ls {
		handOver(t, l, c2, a, b)
		if got := ask(l, "new", 1, 2); got != Granted {
			t.Errorf("%s: verdict %d, want %d", l.self().instance, got, Granted)
		}
	}
}

func TestOnlyALaterProcessAtTheSameAddressProvesAnEnd(t *testing.T) {
	t.Parallel()
	asked := member("a", 5)
	renumbered := NewLedger(asked)
	renumbered.Renumber(member("a", 6))
	tests := map[string]struct {
		ledger *Ledger
		want   bool
	}{
		"later":                       {NewLedger(member("a", 6)), true},
		"earlier":                     {NewLedger(member("a", 4)), false},
		"another instance":            {NewLedger(member("b", 6)), false},
		"at another address":          {NewLedger(NewMember("a", 6, netip.MustParseAddrPort("127.0.0.1:1"))), false},
		"the same, by a later number": {renumbered, false},
	}
	for name, tc := range tests {
		if _, got := tc.ledger.Seal(0, 2, asked); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

func uuid(at time.Time) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
}

func TestKeysThatMayBeOldAreRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		key   string
		blank time.Duration // after the start; 0 is none
		now   time.Duration
		want  Verdict
	}{
		"opaque":                              {"k", 0, time.Hour, Granted},
		"opaque, records lost":                {"k", time.Minute, 2 * time.Minute, Old},
		"opaque, records lost long ago":       {"k", time.Minute, 10 * time.Minute, Granted},
		"with its time":                       {uuid(start), 0, time.Second, Granted},
		"with its time, beyond the retention": {uuid(start), 0, time.Hour, Old},
		"with a time to come":                 {uuid(start.Add(time.Hour)), 0, time.Second, Old},
		"with its time, before the loss":      {uuid(start.Add(50 * time.Second)), time.Minute, 2 * time.Minute, Old},
		"with its time, just after the loss":  {uuid(start.Add(70 * time.Second)), time.Minute, 2 * time.Minute, Old},
		"with its time, after the loss":       {uuid(start.Add(90 * time.Second)), time.Minute, 2 * time.Minute, Granted},
	}
	for name, tc := range tests {
		a, _, _, _, _ := trio()
		if tc.blank > 0 {
			a.rows[0].blank = start.Add(tc.blank)
		}
		v, _ := a.Claim(start.Add(tc.now), 0, Claim{Key: tc.key, Epoch: 1})
		if v != tc.want {
			t.Errorf("%s: verdict %d, want %d", name, v, tc.want)
		}
	}
}

func TestMemoryIsBoundedAndGivenBack(t *testing.T) {
	t.Parallel()
	a, _, _, _, _ := trio()
	a.limit = 2 * (recordBytes + 2)
	got := []Verdict{ask(a, "k1", 1, 1), ask(a, "k2", 1, 1), ask(a, "k3", 1, 1)}
	if diff := cmp.Diff([]Verdict{Granted, Granted, Full}, got); diff != "" {
		t.Error(diff)
	}
	a.Sweep(start.Add(2 * Retention))
	if a.Bytes() != 0 || ask(a, "k3", 1, 1) != Granted {
		t.Errorf("%d bytes are left", a.Bytes())
	}
}

func TestDecisions(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		verdicts []Verdict
		want     Decision
	}{
		"all granted":       {[]Verdict{Granted, Granted, Granted}, Run},
		"two granted":       {[]Verdict{Granted, Silent, Granted}, Run},
		"one granted":       {[]Verdict{Granted, Silent, Silent}, Unknown},
		"one has an answer": {[]Verdict{Granted, Granted, Done}, Replay},
		"another send runs": {[]Verdict{Taken, Taken, Granted}, Again},
		"the table changed": {[]Verdict{Stale, Silent, Granted}, Again},
		"none answers":      {[]Verdict{Silent, Silent, Silent}, Unknown},
		"two are full":      {[]Verdict{Full, Silent, Full}, NotRun},
		"one is full":       {[]Verdict{Full, Silent, Granted}, Unknown},
		"two can't tell":    {[]Verdict{Old, Old, Granted}, Unknown},
	}
	for name, tc := range tests {
		if got := Decide(3, tc.verdicts); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

func BenchmarkClaim(b *testing.B) {
	l, _, _, _, _ := trio()
	b.ReportAllocs()
	keys := make([]string, 1<<14)
	for i := range keys {
		keys[i] = fmt.Sprintf("organisation\x00route\x00%036d", i)
	}
	for i := range b.N {
		k := keys[i%len(keys)]
		ask(l, k, 1, 1)
		l.Abandon(0, k, Token{Boot: 1})
	}
}

// BenchmarkRecord tells what a record takes on the heap besides its key and
// answer.
func BenchmarkRecord(b *testing.B) {
	const keyBytes, answerBytes = 48, 64
	l, _, _, _, _ := trio()
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range b.N {
		key := fmt.Sprintf("%0*d", keyBytes, i)
		ask(l, key, 1, 1)
		l.Complete(start, 0, key, Token{Boot: 1}, make([]byte, answerBytes))
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N)-keyBytes-answerBytes, "heap-bytes/record")
	runtime.KeepAlive(l)
}
