package idempotency

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

// threeReplicasAndSuccessor returns the replicas a, b and c of epoch 1, and the
// assignment of epoch 2, in which d replaces c.
func threeReplicasAndSuccessor() (a, b, c, d *Ledger, next Assignment) {
	ms := []Member{member("a", 1), member("b", 1), member("c", 1), member("d", 1)}
	ls := make([]*Ledger, 4)
	first := NewAssignment(1, ms[:3], nil)
	for i, m := range ms {
		ls[i] = NewLedger(m)
		ls[i].Adopt(start, 0, first)
	}
	return ls[0], ls[1], ls[2], ls[3], NewAssignment(2, []Member{ms[0], ms[1], ms[3]}, ms[:3])
}

func claim(l *Ledger, key string, boot, epoch uint64) Verdict {
	v, _ := l.Claim(start, 0, Claim{Key: key, Token: Token{Boot: boot}, Epoch: epoch, Remaining: time.Second})
	return v
}

func transfer(t *testing.T, to *Ledger, from ...*Ledger) {
	t.Helper()
	for _, f := range from {
		for _, p := range to.partitions[0].assignment.previous {
			if s, ok := f.Seal(0, to.partitions[0].assignment.epoch, p); ok {
				to.Merge(start, 0, to.partitions[0].assignment.epoch, p, s)
			}
		}
	}
}

// A replica that granted claims after it was sealed would let an attempt with the
// old table and one with the new table both get a majority.
func TestASealedReplicaGrantsNothing(t *testing.T) {
	t.Parallel()
	a, _, _, d, next := threeReplicasAndSuccessor()
	d.Adopt(start, 0, next)
	transfer(t, d, a)
	if got := claim(a, "k", 1, 1); got != NotServing {
		t.Errorf("verdict %d, want %d", got, NotServing)
	}
}

// Attempt 2 ran with the grants of a and b, but only attempt 1's claim, granted by c,
// is transferred: b has restarted. Granting attempt 1 now would run the call again.
func TestAClaimIsNotGrantedAgainInALaterEpoch(t *testing.T) {
	t.Parallel()
	a, b, c, d, next := threeReplicasAndSuccessor()
	claim(c, "k", 1, 1)
	claim(a, "k", 2, 1)
	claim(b, "k", 2, 1)
	b2 := NewLedger(member("b", 2))
	d.Adopt(start, 0, next)
	transfer(t, d, c, b2)
	if got := claim(d, "k", 1, 2); got != NotServing {
		t.Errorf("while a may respond: verdict %d, want %d", got, NotServing)
	}
	d.ServeOverdue(start.Add(blankTimeout))
	if got := claim(d, "k", 1, 2); got != Taken {
		t.Errorf("verdict %d, want %d", got, Taken)
	}
	// Other claims that b granted with a or c are lost.
	if got := claim(d, "l", 1, 2); got != NotProvenNew {
		t.Errorf("verdict %d, want %d", got, NotProvenNew)
	}
}

// A previous replica that was silent for longer than blankTimeout still has its records. Once it has
// transferred them, nothing is lost, so keys without a time must be granted again.
func TestRecordsOfALateReplicaEndTheRefusalOfKeys(t *testing.T) {
	t.Parallel()
	a, b, c, d, next := threeReplicasAndSuccessor()
	claim(a, "k", 1, 1)
	claim(b, "k", 1, 1)
	a.Complete(start, 0, "k", Token{Boot: 1}, []byte("answer"))
	b2 := NewLedger(member("b", 2))
	for _, l := range []*Ledger{a, d} {
		l.Adopt(start, 0, next)
		transfer(t, l, b2)
	}
	transfer(t, d, c)
	for _, l := range []*Ledger{a, d} {
		if l.ServeOverdue(start.Add(blankTimeout)); claim(l, "l", 2, 2) == Granted {
			t.Errorf("%s: granted while records are missing", l.self().instance)
		}
	}
	transfer(t, d, a)
	transfer(t, a, c)
	for _, l := range []*Ledger{a, d} {
		if got := []Verdict{claim(l, "k", 2, 2), claim(l, "l", 2, 2)}; got[0] != Done || got[1] != Granted {
			t.Errorf("%s: verdicts %d, want %d for the key in the late records and %d for a new one", l.self().instance, got, Done, Granted)
		}
	}
}

// The records of a previous replica that has ended stay lost, whatever arrives later.
func TestAnEndedReplicaDoesNotEndTheRefusalOfKeys(t *testing.T) {
	t.Parallel()
	a, _, c, d, next := threeReplicasAndSuccessor()
	claim(a, "k", 1, 1)
	d.Adopt(start, 0, next)
	transfer(t, d, NewLedger(member("b", 2)), c)
	d.ServeOverdue(start.Add(blankTimeout))
	transfer(t, d, NewLedger(member("a", 2)))
	if got := claim(d, "k", 2, 2); got != NotProvenNew {
		t.Errorf("verdict %d, want %d", got, NotProvenNew)
	}
	if late := d.LateSeals(start.Add(blankTimeout)); len(late) > 0 {
		t.Errorf("still waits for %v", late)
	}
}

// A pause of the new replica d must not count as time in which the previous replica a
// failed to respond.
func TestAStalledReplicaStillWaitsForRecords(t *testing.T) {
	t.Parallel()
	_, _, c, d, next := threeReplicasAndSuccessor()
	b2 := NewLedger(member("b", 2))
	d.Adopt(start, 0, next)
	transfer(t, d, c, b2)
	const stall = blankTimeout + time.Second
	d.ExcludeStall(stall)
	d.ServeOverdue(start.Add(stall))
	if got := claim(d, "k", 1, 2); got != NotServing {
		t.Errorf("right after the pause: verdict %d, want %d", got, NotServing)
	}
	d.ServeOverdue(start.Add(stall + blankTimeout))
	if got := claim(d, "k", 1, 2); got == NotServing {
		t.Error("d still waits for an unresponsive replica after the timeout")
	}
}

// One of two transferred claims on a key may have run. If abandoning the other one
// freed the key, a third attempt would run the call again.
func TestAbandoningOneOfTwoTransferredClaimsDoesNotFreeTheKey(t *testing.T) {
	t.Parallel()
	for _, abandoning := range []uint64{1, 2} {
		a, b, _, d, next := threeReplicasAndSuccessor()
		claim(a, "k", 1, 1)
		claim(b, "k", 2, 1)
		d.Adopt(start, 0, next)
		transfer(t, d, a, b)
		d.Abandon(0, "k", Token{Boot: abandoning})
		d.Abandon(0, "k", Token{Boot: abandoning})
		d.Abandon(0, "k", Token{Boot: 9})
		for _, boot := range []uint64{1, 2, 3} {
			if got := claim(d, "k", boot, 2); got != Taken {
				t.Errorf("attempt %d abandoned; attempt %d: verdict %d, want %d", abandoning, boot, got, Taken)
			}
		}
	}
}

// If a transferred claim stayed after both attempts abandoned theirs, callers would
// get an unknown outcome though nothing ran.
func TestAbandoningBothTransferredClaimsFreesTheKey(t *testing.T) {
	t.Parallel()
	a, b, c, d, next := threeReplicasAndSuccessor()
	claim(a, "k", 1, 1)
	claim(b, "k", 2, 1)
	claim(c, "k", 2, 1)
	d.Adopt(start, 0, next)
	transfer(t, d, a, b, c)
	d.Abandon(0, "k", Token{Boot: 2})
	d.Abandon(0, "k", Token{Boot: 1})
	if got := claim(d, "k", 3, 2); got != Granted {
		t.Errorf("verdict %d, want %d", got, Granted)
	}
	if got, want := d.Bytes(), recordOverheadBytes+len("k"); got != want {
		t.Errorf("%d bytes, want those of one claim, %d", got, want)
	}
}

// d receives an abandonment before the records of a, which was sealed before a
// received it. If d merged the claim, nothing would release it.
func TestAClaimAbandonedBeforeItsTransferIsNotHeld(t *testing.T) {
	t.Parallel()
	a, b, _, d, next := threeReplicasAndSuccessor()
	claim(a, "k", 1, 1)
	d.Adopt(start, 0, next)
	p := next.previous[0]
	sealed, ok := a.Seal(0, 2, p)
	if !ok {
		t.Fatal("not sealed")
	}
	a.Abandon(0, "k", Token{Boot: 1})
	d.Abandon(0, "k", Token{Boot: 1})
	d.Merge(start, 0, 2, p, sealed)
	transfer(t, d, b)
	if got := claim(d, "k", 2, 2); got != Granted {
		t.Errorf("verdict %d, want %d", got, Granted)
	}
}

func TestRecordsOfOneReplicaDoNotSufficeToServeTheNextEpoch(t *testing.T) {
	t.Parallel()
	a, b, _, d, next := threeReplicasAndSuccessor()
	d.Adopt(start, 0, next)
	transfer(t, d, a)
	if got := claim(d, "k", 1, 2); got != NotServing {
		t.Errorf("with the records of one: verdict %d, want %d", got, NotServing)
	}
	transfer(t, d, b)
	if got := claim(d, "k", 1, 2); got != Granted {
		t.Errorf("with the records of two: verdict %d, want %d", got, Granted)
	}
}

// A restarted replica often responds first. The partition must not become blank then,
// since a majority still has its records.
func TestARestartedReplicaLosesNothingWhileTwoOthersLive(t *testing.T) {
	t.Parallel()
	a, b, _, _, _ := threeReplicasAndSuccessor()
	old := []Member{member("a", 1), member("b", 1), member("c", 1)}
	c2 := NewLedger(member("c", 2))
	next := NewAssignment(2, []Member{old[0], old[1], member("c", 2)}, old)
	ls := []*Ledger{a, b, c2}
	for _, l := range ls {
		l.Adopt(start, 0, next)
	}
	for _, l := range ls {
		transfer(t, l, c2, a, b)
		if got := claim(l, "new", 1, 2); got != Granted {
			t.Errorf("%s: verdict %d, want %d", l.self().instance, got, Granted)
		}
	}
}

func TestOnlyALaterProcessAtTheSameAddressProvesThatAnEarlierOneEnded(t *testing.T) {
	t.Parallel()
	recipient := member("a", 5)
	sameProcess := NewLedger(recipient)
	sameProcess.AddIdentity(member("a", 6))
	tests := map[string]struct {
		ledger *Ledger
		want   bool
	}{
		"later":              {NewLedger(member("a", 6)), true},
		"earlier":            {NewLedger(member("a", 4)), false},
		"another instance":   {NewLedger(member("b", 6)), false},
		"at another address": {NewLedger(NewMember("a", 6, netip.MustParseAddrPort("127.0.0.1:1"))), false},
		"the same process, with a later boot number": {sameProcess, false},
	}
	for name, tc := range tests {
		if _, got := tc.ledger.Seal(0, 2, recipient); got != tc.want {
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
		key        string
		blankSince time.Duration // since the start; 0 if no records were lost
		now        time.Duration
		want       Verdict
	}{
		"no time":                              {"k", 0, time.Hour, Granted},
		"no time, records lost":                {"k", time.Minute, 2 * time.Minute, NotProvenNew},
		"no time, records lost long ago":       {"k", time.Minute, 10 * time.Minute, Granted},
		"with a time":                          {uuid(start), 0, time.Second, Granted},
		"with a time, before the retention":    {uuid(start), 0, time.Hour, NotProvenNew},
		"with a future time":                   {uuid(start.Add(time.Hour)), 0, time.Second, NotProvenNew},
		"with a time, before the loss":         {uuid(start.Add(50 * time.Second)), time.Minute, 2 * time.Minute, NotProvenNew},
		"with a time, too soon after the loss": {uuid(start.Add(70 * time.Second)), time.Minute, 2 * time.Minute, NotProvenNew},
		"with a time, after the loss":          {uuid(start.Add(90 * time.Second)), time.Minute, 2 * time.Minute, Granted},
	}
	for name, tc := range tests {
		a, _, _, _, _ := threeReplicasAndSuccessor()
		if tc.blankSince > 0 {
			a.partitions[0].inheritedBlank = start.Add(tc.blankSince)
		}
		v, _ := a.Claim(start.Add(tc.now), 0, Claim{Key: tc.key, Epoch: 1})
		if v != tc.want {
			t.Errorf("%s: verdict %d, want %d", name, v, tc.want)
		}
	}
}

func TestMemoryIsBoundedAndFreedOnExpiry(t *testing.T) {
	t.Parallel()
	a, _, _, _, _ := threeReplicasAndSuccessor()
	a.limit = 2 * (recordOverheadBytes + 2)
	got := []Verdict{claim(a, "k1", 1, 1), claim(a, "k2", 1, 1), claim(a, "k3", 1, 1)}
	if diff := cmp.Diff([]Verdict{Granted, Granted, Full}, got); diff != "" {
		t.Error(diff)
	}
	a.RemoveExpired(start.Add(2 * Retention))
	if a.Bytes() != 0 || claim(a, "k3", 1, 1) != Granted {
		t.Errorf("%d bytes remain after expiry, or a new claim is refused", a.Bytes())
	}
}

func TestDecideFollowsTheMajority(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		verdicts []Verdict
		want     Decision
	}{
		"all granted":          {[]Verdict{Granted, Granted, Granted}, Run},
		"two granted":          {[]Verdict{Granted, NoResponse, Granted}, Run},
		"one granted":          {[]Verdict{Granted, NoResponse, NoResponse}, Unknown},
		"one has an answer":    {[]Verdict{Granted, Granted, Done}, Replay},
		"another attempt runs": {[]Verdict{Taken, Taken, Granted}, Retry},
		"the table changed":    {[]Verdict{Stale, NoResponse, Granted}, Retry},
		"none responds":        {[]Verdict{NoResponse, NoResponse, NoResponse}, Unknown},
		"two are full":         {[]Verdict{Full, NoResponse, Full}, NotRun},
		"one is full":          {[]Verdict{Full, NoResponse, Granted}, Unknown},
		"two may be old":       {[]Verdict{NotProvenNew, NotProvenNew, Granted}, Unknown},
	}
	for name, tc := range tests {
		if got := Decide(3, tc.verdicts); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

func BenchmarkClaim(b *testing.B) {
	l, _, _, _, _ := threeReplicasAndSuccessor()
	b.ReportAllocs()
	keys := make([]string, 1<<14)
	for i := range keys {
		keys[i] = fmt.Sprintf("organisation\x00route\x00%036d", i)
	}
	for i := range b.N {
		k := keys[i%len(keys)]
		claim(l, k, 1, 1)
		l.Abandon(0, k, Token{Boot: 1})
	}
}

// BenchmarkRecord measures the heap of a record besides its key and answer.
func BenchmarkRecord(b *testing.B) {
	const keyBytes, answerBytes = 48, 64
	l, _, _, _, _ := threeReplicasAndSuccessor()
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range b.N {
		key := fmt.Sprintf("%0*d", keyBytes, i)
		claim(l, key, 1, 1)
		l.Complete(start, 0, key, Token{Boot: 1}, make([]byte, answerBytes))
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N)-keyBytes-answerBytes, "heap-bytes/record")
	runtime.KeepAlive(l)
}
