package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

// oracle tracks which tickets run and which wait, from the gate's decisions
// alone.
type oracle struct {
	t        *rapid.T
	gate     *Gate
	now      time.Time
	slots    int
	promised int
	draining bool
	running  map[Ticket]snapshot.Class
	waiting  map[Ticket]snapshot.Class
	ended    []Ticket
	// issued keeps all tickets in order, so that a replay picks the same ones; the
	// iteration order of maps is random.
	issued []Ticket

	// limit is the target's rate, in calls per second, 0 for none; it was last named at
	// namedAt, and sinceChange calls have started since it was set to this value.
	limit       int
	namedAt     time.Time
	changedAt   time.Time
	sinceChange int
}

// nameLimit passes a response to the gate that names a limit, or none if it is 0.
func (o *oracle) nameLimit(limit int) {
	switch {
	case limit > 0:
		if limit != o.limit {
			o.limit, o.changedAt, o.sinceChange = limit, o.now, 0
		}
		o.namedAt = o.now
	case o.now.Sub(o.namedAt) >= rateHoldTime:
		o.limit = 0
	}
	o.wake(o.gate.ObserveRate(o.now, float64(limit), limit > 0, nil))
}

func (o *oracle) admit(t Ticket, class snapshot.Class) {
	if len(o.running) >= o.slots {
		o.t.Fatalf("%d calls run on %d slots and one more is admitted", len(o.running), o.slots)
	}
	trials := 0
	for _, c := range o.running {
		if c == snapshot.Trial {
			trials++
		}
	}
	if class == snapshot.Trial && trials >= o.slots-o.promised {
		o.t.Fatalf("trial call %d is admitted on %d slots, %d promised", trials+1, o.slots, o.promised)
	}
	o.running[t] = class
	o.sinceChange++
	burst := max(1, float64(o.limit)*rateBurstTime.Seconds())
	if allowed := burst + float64(o.limit)*o.now.Sub(o.changedAt).Seconds(); o.limit > 0 && float64(o.sinceChange) > allowed+tokenTolerance {
		o.t.Fatalf("%d calls have started since the target took %d a second, allowed %v", o.sinceChange, o.limit, allowed)
	}
}

func (o *oracle) wake(wakes []Wake) {
	for _, w := range wakes {
		class, ok := o.waiting[w.Ticket()]
		if !ok {
			o.t.Fatal("woke a ticket that does not wait")
		}
		delete(o.waiting, w.Ticket())
		switch w.Decision().(type) {
		case Admitted:
			o.admit(w.Ticket(), class)
		case Refused:
			o.ended = append(o.ended, w.Ticket())
		default:
			o.t.Fatalf("woken with %T", w.Decision())
		}
	}
}

func (o *oracle) leave(from map[Ticket]snapshot.Class) {
	if len(from) == 0 {
		return
	}
	pick := rapid.IntRange(0, len(from)-1).Draw(o.t, "which")
	for _, t := range o.issued {
		if _, ok := from[t]; !ok {
			continue
		}
		if pick > 0 {
			pick--
			continue
		}
		delete(from, t)
		o.ended = append(o.ended, t)
		outcome := rapid.SampledFrom([]Outcome{Done, Failed, Cancelled, Rejected}).Draw(o.t, "how")
		o.wake(o.gate.Leave(o.now, t, outcome, nil))
		return
	}
}

func TestStatefulGateKeepsSlotsAndPromises(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		promised := rapid.IntRange(0, slots).Draw(t, "promised")
		o := &oracle{
			t: t, gate: NewGate(sim.Start, Slots(slots), Promised(promised)), now: sim.Start, slots: slots, promised: promised,
			running: map[Ticket]snapshot.Class{}, waiting: map[Ticket]snapshot.Class{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				class := snapshot.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				org := class.String() + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
				route := rapid.SampledFrom([]string{"short", "long"}).Draw(t, "route")
				within := time.Duration(rapid.IntRange(-1, 200).Draw(t, "within")) * ms
				d, wakes := o.gate.Enter(o.now, NewRequest(org, class, route, o.now.Add(within)), nil)
				switch d := d.(type) {
				case Admitted:
					o.issued = append(o.issued, d.Ticket())
					o.admit(d.Ticket(), class)
				case Queued:
					o.issued = append(o.issued, d.Ticket())
					o.waiting[d.Ticket()] = class
				case Refused:
					if d.RetryAfter() <= 0 || d.RetryAfter() > maxRetryAfter {
						t.Fatalf("retry after %v", d.RetryAfter())
					}
				}
				if _, refused := d.(Refused); !refused && (o.draining || within <= 0) {
					t.Fatalf("%T while draining or past the deadline", d)
				}
				o.wake(wakes)
			},
			"leave":         func(*rapid.T) { o.leave(o.running) },
			"leave waiting": func(*rapid.T) { o.leave(o.waiting) },
			"leave twice": func(t *rapid.T) {
				if len(o.ended) > 0 {
					before := o.gate.Load(o.now)
					o.wake(o.gate.Leave(o.now, rapid.SampledFrom(o.ended).Draw(t, "gone"), Done, nil))
					if before != o.gate.Load(o.now) {
						t.Fatal("a second Leave of a ticket changed the gate's load")
					}
				}
			},
			"pass": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms)
			},
			"expire": func(t *rapid.T) {
				o.wake(o.gate.Expire(o.now, nil))
				if next, ok := o.gate.NextExpiry(); ok && next.Before(o.now) {
					t.Fatal("the next expiry is in the past after Expire")
				}
			},
			"configure": func(t *rapid.T) {
				o.slots = rapid.IntRange(1, 8).Draw(t, "slots")
				o.promised = rapid.IntRange(0, o.slots).Draw(t, "promised")
				o.wake(o.gate.Configure(o.now, nil, Slots(o.slots), Promised(o.promised)))
			},
			"name a limit": func(t *rapid.T) {
				o.nameLimit(rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "limit"))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					o.draining = true
					o.wake(o.gate.Drain(o.now, nil))
				}
			},
			"": func(t *rapid.T) {
				l := o.gate.Load(o.now)
				got := [2]int{l.Running(snapshot.Paying) + l.Running(snapshot.Trial), l.Waiting(snapshot.Paying) + l.Waiting(snapshot.Trial)}
				if want := [2]int{len(o.running), len(o.waiting)}; got != want {
					t.Fatalf("running and waiting are %v, the gate reports %v", want, got)
				}
				if o.draining && len(o.waiting) > 0 {
					t.Fatal("a call waits at a draining gate")
				}
				if len(o.running) == 0 && l.Waiting(snapshot.Paying) > 0 && o.limit == 0 {
					t.Fatal("a paying call waits at an idle target")
				}
			},
		})
	})
}

// Guards against bursts beyond a target's rate at the moments when calls end, expire or
// arrive together.
func TestStatefulStartsKeepToTheTargetsRate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		o := &oracle{
			t: t, gate: NewGate(sim.Start, Slots(slots)), now: sim.Start, slots: slots,
			running: map[Ticket]snapshot.Class{}, waiting: map[Ticket]snapshot.Class{},
		}
		limit := rapid.IntRange(1, 100).Draw(t, "limit")
		o.nameLimit(limit)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				class := snapshot.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				d, wakes := o.gate.Enter(o.now, NewRequest("o", class, "r", o.now.Add(time.Second)), nil)
				switch d := d.(type) {
				case Admitted:
					o.issued = append(o.issued, d.Ticket())
					o.wake(wakes)
					o.admit(d.Ticket(), class)
					continue
				case Queued:
					o.issued = append(o.issued, d.Ticket())
					o.waiting[d.Ticket()] = class
				}
				o.wake(wakes)
			case 1:
				o.leave(o.running)
				o.nameLimit(limit)
			case 2:
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms)
			case 3:
				o.wake(o.gate.Expire(o.now, nil))
			}
		}
	})
}
