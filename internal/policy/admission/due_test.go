package admission

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/play"
)

// dueGate is a target of two slots whose calls take 50 ms.
type dueGate struct {
	t    *testing.T
	gate *Gate
	now  time.Time
}

func newDueGate(t *testing.T) *dueGate {
	g := &dueGate{t: t, gate: NewGate(play.Start, Slots(2)), now: play.Start}
	for range 64 {
		d, _ := g.enter(time.Second, 0, 0)
		g.now = g.now.Add(50 * time.Millisecond)
		g.gate.Leave(g.now, d.(Admitted).Ticket(), Done, nil)
	}
	return g
}

func (g *dueGate) enter(deadline, due time.Duration, rank int) (Decision, []Wake) {
	var opt RequestOption
	if due > 0 {
		opt = Due(g.now.Add(due))
	}
	return g.gate.Enter(g.now, NewRequest("all", snapshot.Paying, "read", g.now.Add(deadline), opt, Rank(rank)), nil)
}

func (g *dueGate) fill() []Ticket {
	var out []Ticket
	for range 2 {
		d, _ := g.enter(time.Second, 200*time.Millisecond, 1)
		out = append(out, d.(Admitted).Ticket())
	}
	return out
}

// Both slots are in use and three calls wait: one of a lower rank that came
// first, one that is late already, one of a higher rank. The slot that comes free
// goes to the higher rank, then to the one that can be in time, then to the late
// one. By age alone the most urgent call would have waited longest.
func TestASlotGoesByRankThenToWhoCanBeInTime(t *testing.T) {
	t.Parallel()
	g := newDueGate(t)
	running := g.fill()
	order := map[Ticket]string{}
	for _, c := range []struct {
		name string
		due  time.Duration
		rank int
	}{{"late", time.Millisecond, 1}, {"in time", 180 * time.Millisecond, 1}, {"urgent", 400 * time.Millisecond, 0}} {
		d, _ := g.enter(time.Second, c.due, c.rank)
		q, ok := d.(Queued)
		if !ok {
			t.Fatalf("%s: %T", c.name, d)
		}
		order[q.Ticket()] = c.name
	}
	for _, want := range []string{"urgent", "in time", "late"} {
		wakes := g.gate.Leave(g.now, running[0], Done, nil)
		if len(wakes) != 1 || order[wakes[0].Ticket()] != want {
			t.Fatalf("woken: %v, want %s", wakes, want)
		}
		running = append(running[1:], wakes[0].Ticket())
	}
}

// A target of two slots gets half as many calls again as it can serve, each due
// 200 ms after it came. If calls waited to their deadline, each would be served
// after nearly a second, late; a queue bounded by the due time turns a third away
// at once and serves the rest in time.
func TestUnderSaturationMostOfWhatIsServedIsInTime(t *testing.T) {
	t.Parallel()
	g := newDueGate(t)
	type job struct{ came, ends time.Time }
	running := map[Ticket]job{}
	waiting := map[Ticket]time.Time{}
	served, inTime, refused := 0, 0, 0
	take := func(wakes []Wake) {
		for _, w := range wakes {
			came := waiting[w.Ticket()]
			delete(waiting, w.Ticket())
			if _, ok := w.Decision().(Admitted); ok {
				running[w.Ticket()] = job{came, g.now.Add(50 * time.Millisecond)}
			} else {
				refused++
			}
		}
	}
	const step, calls = time.Millisecond, 600
	for tick := 0; tick < calls*17; tick++ {
		g.now = g.now.Add(step)
		for ticket, j := range running {
			if !j.ends.After(g.now) {
				served++
				if g.now.Sub(j.came) <= 200*time.Millisecond {
					inTime++
				}
				delete(running, ticket)
				take(g.gate.Leave(g.now, ticket, Done, nil))
			}
		}
		take(g.gate.Expire(g.now, nil))
		if tick%17 != 0 {
			continue
		}
		d, wakes := g.enter(time.Second, 200*time.Millisecond, 0)
		take(wakes)
		switch d := d.(type) {
		case Admitted:
			running[d.Ticket()] = job{g.now, g.now.Add(50 * time.Millisecond)}
		case Queued:
			waiting[d.Ticket()] = g.now
		case Refused:
			refused++
		}
	}
	if served < calls/2 || inTime < served*95/100 || refused > calls*45/100 {
		t.Errorf("of %d calls %d served, %d in time, %d refused", calls, served, inTime, refused)
	}
}

// Long calls fill both slots and more wait. A short call that other work depends
// on comes, due sooner than a slot can come free; turned away, it would take the
// call that made it down with it. It waits, and gets the next slot.
func TestAShortCallAmongLongOnesWaits(t *testing.T) {
	t.Parallel()
	g := newDueGate(t)
	enter := func(route string, due time.Duration) Decision {
		d, _ := g.gate.Enter(g.now, NewRequest("all", snapshot.Paying, route, g.now.Add(200*time.Millisecond), Due(g.now.Add(due))), nil)
		return d
	}
	for range 32 {
		d := enter("check", 60*time.Millisecond)
		g.now = g.now.Add(5 * time.Millisecond)
		g.gate.Leave(g.now, d.(Admitted).Ticket(), Done, nil)
		d, _ = g.enter(time.Second, 0, 0)
		g.now = g.now.Add(50 * time.Millisecond)
		g.gate.Leave(g.now, d.(Admitted).Ticket(), Done, nil)
	}
	running := g.fill()
	d := enter("check", 8*time.Millisecond)
	q, ok := d.(Queued)
	if !ok {
		t.Fatalf("a short call: %T", d)
	}
	g.now = g.now.Add(40 * time.Millisecond)
	if wakes := g.gate.Leave(g.now, running[0], Done, nil); len(wakes) != 1 || wakes[0].Ticket() != q.Ticket() {
		t.Errorf("woken: %v", wakes)
	}
}

// Reads of 50 ms hold both slots, one more waits and can still be in time. A lookup
// of 5 ms comes, of the same rank, made by a call that runs elsewhere; its own aim
// has passed on the way. Placed behind the read as late it would wait a service time
// and more, and the call that waits for it would be lost.
func TestAShortCallIsNotPlacedBehindLongOnesAsLate(t *testing.T) {
	t.Parallel()
	g := newDueGate(t)
	lookup := func() Decision {
		d, _ := g.gate.Enter(g.now, NewRequest("all", snapshot.Paying, "lookup", g.now.Add(time.Second), Due(g.now.Add(time.Millisecond)), Rank(1)), nil)
		return d
	}
	for range 8 {
		d := lookup()
		g.now = g.now.Add(5 * time.Millisecond)
		g.gate.Leave(g.now, d.(Admitted).Ticket(), Done, nil)
	}
	running := g.fill()
	read, _ := g.enter(time.Second, 180*time.Millisecond, 1)
	waiting := lookup().(Queued).Ticket()
	wakes := g.gate.Leave(g.now, running[0], Done, nil)
	if len(wakes) != 1 || wakes[0].Ticket() != waiting {
		t.Errorf("woken: %v, want the lookup; the read is %v", wakes, read)
	}
}

// Calls of rank 2 hold both slots and fill the queue. One of rank 1 comes, which a
// call that runs elsewhere waits for. It takes the place of the last one that
// waits; refused, as the queue is full, it would take its whole caller with it.
// Another call of rank 2 finds no room.
func TestAnUrgentCallFindsRoomInAFullQueue(t *testing.T) {
	t.Parallel()
	g := newDueGate(t)
	for range 2 {
		g.enter(10*time.Second, 5*time.Second, 2)
	}
	var last Ticket
	for full := false; !full; {
		switch d, _ := g.enter(10*time.Second, 5*time.Second, 2); d := d.(type) {
		case Queued:
			last = d.Ticket()
		case Refused:
			full = true
			if d.Reason() != QueueFull {
				t.Fatalf("refused: %v", d.Reason())
			}
		}
	}
	d, wakes := g.enter(10*time.Second, 5*time.Second, 1)
	if _, ok := d.(Queued); !ok {
		t.Fatalf("the urgent call: %#v", d)
	}
	if len(wakes) != 1 || wakes[0].Ticket() != last || wakes[0].Decision().(Refused).Reason() != Outranked {
		t.Errorf("woken: %v", wakes)
	}
}
