package admission

import (
	"fmt"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

// Guards against levels that have no effect on waiting calls, or that go before priority: a
// node that sends a wrong level must change the order among calls of one rank only.
func TestLevelsOrderCallsOfOneRank(t *testing.T) {
	t.Parallel()
	g := NewGate(sim.Start, Slots(1))
	names := map[Ticket]string{}
	var first Ticket
	var outranked []string
	enter := func(name string, rank, level int) Decision {
		d, wakes := g.Enter(sim.Start, NewRequest(name, snapshot.Paying, "r", sim.Start.Add(time.Hour), Rank(rank), Level(level)), nil)
		switch d := d.(type) {
		case Admitted:
			first = d.Ticket()
		case Queued:
			names[d.Ticket()] = name
		}
		for _, w := range wakes {
			outranked = append(outranked, fmt.Sprint(names[w.Ticket()], " ", w.Decision().(Refused).Reason()))
		}
		return d
	}
	enter("a", 0, 3) // runs
	enter("high", 1, 3)
	enter("highest", 0, 3)
	// The queue holds two calls. The next one has the lower rank and may take no place.
	if d, ok := enter("low", 2, 0).(Refused); !ok || d.Reason() != QueueFull {
		t.Errorf("a call of the lowest rank and level 0: %v", d)
	}
	if _, ok := enter("zero", 1, 0).(Queued); !ok || len(outranked) != 1 || outranked[0] != "high outranked" {
		t.Errorf("a call of level 0 does not take the place of one of its rank and level 3: %v", outranked)
	}
	var order []string
	for range 2 {
		w := g.Leave(sim.Start, first, Done, nil)
		if len(w) != 1 {
			t.Fatalf("%d calls start on one slot", len(w))
		}
		first, order = w[0].Ticket(), append(order, names[w[0].Ticket()])
	}
	if order[0] != "highest" || order[1] != "zero" {
		t.Errorf("order %v", order)
	}
}

// Guards against an organisation of a higher level that goes first as it has no call running
// here, and against one of a lower level that is displaced since it has more calls waiting.
func TestALowerLevelGoesBeforeFewerRunningCalls(t *testing.T) {
	t.Parallel()
	g := NewGate(sim.Start, Slots(2))
	enter := func(org string, level int) Decision {
		d, _ := g.Enter(sim.Start, NewRequest(org, snapshot.Paying, "r", sim.Start.Add(time.Hour), Level(level)), nil)
		return d
	}
	running := enter("a", 0).(Admitted).Ticket()
	enter("a", 0)
	own := enter("a", 0).(Queued).Ticket()
	enter("b", 3)
	enter("a", 0)
	enter("a", 0)
	if d, ok := enter("b", 3).(Refused); !ok || d.Reason() != QueueFull {
		t.Errorf("a call of level 3 and a full queue: %v", d)
	}
	if w := g.Leave(sim.Start, running, Done, nil); len(w) != 1 || w[0].Ticket() != own {
		t.Errorf("%v starts, want the first call of level 0", w)
	}
}
