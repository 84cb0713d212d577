package admission_test

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// lookups are reads whose work varies as much as its mean, at targets of different
// speeds; load is the part of all slots that they take if each target gets its share.
func lookups(targets int, load float64) *kind {
	const slots, speed, work = 11, (1/0.5 + 1 + 1 + 1/1.5) / 4, 450 * ms
	return &kind{
		name: "lookup", pool: "lookups", work: work, spread: 0.8, aim: 1200 * ms, patience: 8 * time.Second, returns: 2,
		idempotent: true, rate: load * float64(targets*slots) * speed / work.Seconds(),
	}
}

// Nothing is full, and one read in twenty is late: long work that went to a slow
// target while faster ones had free slots. Each of hundreds of senders sees a target
// once in many seconds, and learns less of it from its own calls than one call varies
// by. What the target's node tells has to bring most of what full knowledge would.
func TestMostLongWorkGoesToFasterTargetsWhileTheyHaveRoom(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		domains, senders int
		load             float64
		// most is the part of the late ones at random that may still be late.
		most float64
	}{
		{"few senders, a third in use", 3, 24, 0.35, 0.6},
		{"few senders, most in use", 3, 24, 0.7, 0.75},
		{"some senders, half in use", 3, 60, 0.5, 0.6},
		{"many senders, a third in use", 6, 195, 0.35, 0.6},
		{"many senders, half in use", 6, 195, 0.5, 0.6},
		{"many senders, most in use", 6, 195, 0.7, 0.7},
		{"many senders, nearly all in use", 6, 195, 0.85, 0.85},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			targets := tc.senders / 2
			late := func(set func(*mesh)) float64 {
				k := lookups(targets, tc.load)
				m := newMeshOver(tc.domains, tc.senders, k)
				m.pool(k.pool, targets, 11, 0.5, 1, 1, 1.5)
				set(m)
				m.run(40 * time.Second)
				_, inTime := k.share(15, 35)
				return 1 - inTime
			}
			told := late(func(*mesh) {})
			mute := late(func(m *mesh) { m.mute = true })
			random := late(func(m *mesh) {
				m.choose = func(k *kind, _ []*place) *place { return m.pools[k.pool][m.rng.IntN(targets)] }
			})
			best := late(func(m *mesh) {
				m.choose = func(k *kind, _ []*place) *place { return m.fastestFree(k.pool) }
			})
			if told > tc.most*random {
				t.Errorf("%.4f are late, want %.2f of the %.4f at random", told, tc.most, random)
			}
			t.Logf("late: told %.4f, by own calls %.4f, at random %.4f, by full knowledge %.4f", told, mute, random, best)
		})
	}
}

// fastestFree returns the target at which a call would end first, as nobody can know
// it in time.
func (m *mesh) fastestFree(pool string) *place {
	cost := func(p *place) float64 { return p.slow * (1 + max(0, p.load(m.Now())+1.0/11-1)) }
	return slices.MinFunc(m.pools[pool], func(a, b *place) int { return cmp.Compare(cost(a), cost(b)) })
}
