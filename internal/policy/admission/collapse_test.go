package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/play"
)

const (
	ms = time.Millisecond
	// illFrom and illTo are the seconds in which targets turn calls away, settled
	// the one by which their gates have their slots back.
	illFrom, illTo = 5, 13
	settled        = illTo + 1
	ends           = 22
)

// insurer returns reads and bookings and the short check that half of the reads
// make at the pool of the bookings.
func insurer(load float64) (reads, bookings, checks *kind) {
	checks = &kind{name: "check", pool: "bookings", work: 110 * ms, aim: 500 * ms, patience: 1500 * ms, idempotent: true}
	reads = &kind{
		name: "read", pool: "reads", rate: 110 * load, work: 450 * ms, aim: 1200 * ms, patience: 8 * time.Second,
		idempotent: true, returns: 2, inner: checks, innerShare: 0.5,
	}
	bookings = &kind{
		name: "booking", pool: "bookings", rate: 60 * load, work: 590 * ms, aim: 1500 * ms, patience: 10 * time.Second, returns: 2,
	}
	return reads, bookings, checks
}

// rejection decides whether a target at which so many calls run turns one away.
type rejection func(rng *rand.Rand, running int) bool

func partOf(share float64) rejection {
	return func(rng *rand.Rand, _ int) bool { return rng.Float64() < share }
}

func beyond(slots int) rejection {
	return func(_ *rand.Rand, running int) bool { return running > slots }
}

func either(a, b rejection) rejection {
	return func(rng *rand.Rand, running int) bool { return a(rng, running) || b(rng, running) }
}

// For eight seconds the targets of one pool turn part of their calls away though
// they have slots free. Reads of another pool need a short check there, and a read
// whose check fails is lost with its work and comes back.
//
// If each rejection lowered a gate's slots, checks would be refused for want of room
// before idle slots, the reads would fail and come again, and their load would hold
// the gates down when the targets have long been well.
func TestRejectionsBesideFreeSlotsCostNoMoreThanThemselves(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		targets, senders int
		speeds           []float64
		load             float64
		turnsAway        rejection
		// reads and bookings are the least parts of these that get an answer while
		// calls are turned away.
		reads, bookings float64
	}{
		{"one call in five, few senders", 6, 2, []float64{1}, 0.6, partOf(0.2), 0.98, 0.95},
		{"half of the calls, few senders", 6, 2, []float64{1}, 0.6, partOf(0.5), 0.95, 0.85},
		{"half of the calls, speeds differ", 6, 20, []float64{0.7, 0.7, 1.6}, 0.6, partOf(0.5), 0.95, 0.85},
		{"half of the calls, many senders", 8, 200, []float64{0.7, 0.7, 1.6}, 0.6, partOf(0.5), 0.95, 0.85},
		{"four calls in five", 6, 20, []float64{0.7, 0.7, 1.6}, 0.6, partOf(0.8), 0.9, 0.6},
		{"half of the calls, nearly full", 6, 20, []float64{0.7, 0.7, 1.6}, 0.85, partOf(0.5), 0.95, 0.85},
		{"all beyond six, where eleven are stated", 6, 20, []float64{0.7, 0.7, 1.6}, 0.6, beyond(6), 0.95, 0.85},
		{"all beyond six and one in five of the others", 6, 20, []float64{0.7, 0.7, 1.6}, 0.6, either(beyond(6), partOf(0.2)), 0.95, 0.85},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const slots = 11
			scale := tc.load * float64(tc.targets) / 6
			reads, bookings, checks := insurer(scale)
			m := newMesh(tc.senders, reads, bookings, checks)
			m.pool("reads", tc.targets, slots, tc.speeds...)
			rng := play.Rand(5)
			for _, p := range m.pool("bookings", tc.targets, slots, tc.speeds...) {
				p.turnsAway = func() bool {
					s := m.Since()
					return s >= illFrom*time.Second && s < illTo*time.Second && tc.turnsAway(rng, p.running)
				}
			}
			least := slots
			m.At(play.Start.Add((illTo-1)*time.Second), func() {
				for _, p := range m.pools["bookings"] {
					least = min(least, p.gate.Load(m.Now()).Slots())
				}
			})
			m.run(ends * time.Second)
			got, _ := reads.share(illFrom, illTo)
			if got < tc.reads {
				t.Errorf("%.3f of the reads got an answer while calls were turned away, want %.2f", got, tc.reads)
			}
			after, inTime := reads.share(settled, ends)
			if after < 0.99 {
				t.Errorf("%.3f of the reads got an answer once the targets were well", after)
			}
			booked, _ := bookings.share(illFrom, illTo)
			if booked < tc.bookings {
				t.Errorf("%.3f of the bookings got an answer while calls were turned away, want %.2f", booked, tc.bookings)
			}
			bookedAfter, _ := bookings.share(settled, ends)
			if bookedAfter < 0.99 {
				t.Errorf("%.3f of the bookings got an answer once the targets were well", bookedAfter)
			}
			checked, _ := checks.share(illFrom, illTo)
			t.Logf("least slots %d; during: reads %.3f, checks %.3f, bookings %.3f; after: reads %.3f (%.3f in time), bookings %.3f",
				least, got, checked, booked, after, inTime, bookedAfter)
		})
	}
}
