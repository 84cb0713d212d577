package balance

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/play"
)

// farRig is a caller's node with one target of four slots in its own failure
// domain and one in another.
func farRig() *Balancer {
	b := New(play.Start, rand.New(rand.NewPCG(1, 2)), Domain("here"))
	var records []membership.Record
	for _, name := range []string{"here", "there"} {
		records = append(records, membership.NewRecord(name, membership.Domain(name), membership.Pool("p"),
			membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.InState(membership.Ready), membership.Slots(4)))
	}
	b.Update(play.Start, "p", 1, records)
	return b
}

// sendAll picks targets for some calls that all stay out, and counts those there.
func sendAll(b *Balancer, at time.Time, calls int) (there int) {
	for range calls {
		if p, ok := b.Pick(at, "p", NewAsk("all", snapshot.Paying), nil).(Picked); ok && p.Record().Instance() == "there" {
			there++
		}
	}
	return there
}

// loaded tells the balancer the load of the target there.
func loaded(b *Balancer, at time.Time, load float64) {
	ask := NewAsk("all", snapshot.Paying)
	for {
		p := b.Pick(at, "p", ask, nil).(Picked)
		b.Done(at, p, ask, time.Millisecond, Answered(Load(load)))
		if p.Record().Instance() == "there" {
			return
		}
		// Keep the near one busy, so that the far one is looked at.
		sendAll(b, at, 1)
	}
}

// Every call between failure domains is paid for, and late by the way there. The
// near target's own slots serve as many calls as it has; only those beyond that
// go far.
func TestCallsGoFarOnlyWhenTheNearTargetIsFull(t *testing.T) {
	t.Parallel()
	at := play.Start.Add(time.Minute)
	if there := sendAll(farRig(), at, 4); there != 0 {
		t.Errorf("%d of 4 calls went far beside four free slots", there)
	}
	if there := sendAll(farRig(), at, 8); there == 0 {
		t.Error("none of 8 calls went far beside four slots")
	}
}

// Both targets are full. A call that went far would displace one there and be
// refused all the same; it stays, where it is refused at less cost.
func TestNoCallGoesToAFarTargetThatIsFull(t *testing.T) {
	t.Parallel()
	b := farRig()
	at := play.Start.Add(time.Minute)
	loaded(b, at, 2)
	if there := sendAll(b, at.Add(time.Millisecond), 6); there != 0 {
		t.Errorf("%d of 6 calls went to a full target", there)
	}
}
