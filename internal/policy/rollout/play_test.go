package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	playLimit   = 0.1 // of the calls, that a faulty version may get
	playSlack   = 50
	rollbackIn  = 5 * time.Second // after the 50th bad answer
	playLongest = 2500 * time.Millisecond
	playTick    = 20 * time.Millisecond
	// Reports reach the judge and its word the senders by pulls of a quarter of a
	// second each, over some levels.
	playDelay = 750 * time.Millisecond
)

// defect makes the answers of a version bad.
type defect struct {
	fails, slows float64       // parts of the answers
	after        time.Duration // from the order on
	route        string        // of this one only, "" for all
	load         float64       // only where a target has that many calls a second
}

func (d defect) hits(at time.Duration, route string, rate float64) bool {
	return at >= d.after && (d.route == "" || d.route == route) && rate >= d.load
}

// plan is one play.
type plan struct {
	rate        float64
	old, new    int
	duration    time.Duration
	defect      defect
	illTarget   float64 // part of its answers that one canary fails by itself
	illPool     float64 // part of the answers that fail for both versions
	cold        time.Duration
	slowTargets bool // the canaries are of the slow kind
	senders     int
	// cutOff senders, the first ones, hear nothing from cutFrom to cutUntil.
	cutOff            int
	cutFrom, cutUntil time.Duration
}

func (p plan) isCut(sender int) bool { return sender < p.cutOff }

// hears returns when a sender hears of what was decided.
func (p plan) hears(sender int, decided time.Duration) time.Duration {
	at := decided + playDelay
	if p.isCut(sender) && at >= p.cutFrom && at < p.cutUntil {
		return p.cutUntil + playDelay
	}
	return at
}

// outcome is what came of it.
type outcome struct {
	stage          Stage
	at             time.Duration
	total, exposed int
	last, fiftieth time.Duration // of calls by senders in touch; of bad answers
	cut            int           // calls under way at the old targets when they stop
	reason         string
}

type running struct {
	target int
	ends   time.Duration
}

// play runs a rollout: senders spend their part, targets count, a judge hears late.
func play(p plan, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	order := NewOrder("pool", "v2", p.duration, 10)
	start := time.Unix(0, 0)
	r := Rollout{}.WithOrder(order).WithProgress(NewProgress(10, start, time.Time{}, nil, 11)).WithStatus(NewStatus(Running, "v2", 12))
	var records []membership.Record
	for i := range p.old + p.new {
		version := "v1"
		if i >= p.old {
			version = "v2"
		}
		records = append(records, membership.NewRecord(fmt.Sprint("t", i), membership.Version(version), membership.Slots(i)))
	}
	g := r.Groups(records, playLimit)
	speeds := make([]float64, len(records))
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.6}[rng.IntN(3)]
	}
	if p.slowTargets {
		for _, c := range g.Canaries() {
			speeds[c.Slots()] = 1.6
		}
	}
	exposures := make([]*Exposure, p.senders)
	for i := range exposures {
		exposures[i] = NewExposure(rng.Float64())
	}
	recorders := make([]*Recorder, len(records))
	for i := range recorders {
		recorders[i] = NewRecorder()
	}
	judge := NewJudge(order)
	type late struct {
		at      time.Duration
		reports []Report
	}
	var reports []late
	var under []running
	out := outcome{}
	shiftAt, halted, bad := time.Duration(0), time.Duration(0), 0
	rates := make([]float64, len(records))
	due := 0.0
	for at := time.Duration(0); at < p.duration+5*time.Second; at += playTick {
		for i := range rates {
			rates[i] *= math.Exp(-playTick.Seconds())
		}
		due += p.rate * playTick.Seconds()
		for ; due >= 1; due-- {
			s := rng.IntN(p.senders)
			stage, since := StageCanary, time.Duration(0)
			if heard := p.hears(s, shiftAt); shiftAt > 0 && at >= heard {
				stage, since = StageShift, at-heard
			}
			if halted > 0 && at >= p.hears(s, halted) {
				stage = StageRolledBack
			}
			share := Share(playLimit, stage, since)
			chosen := stage == StageShift && rng.Float64() < share || stage == StageCanary && exposures[s].Take()
			target := rng.IntN(p.old)
			if chosen {
				group := g.Canaries()
				if stage == StageShift || !Focused(at) {
					group = g.Candidates()
				}
				target = group[rng.IntN(len(group))].Slots()
			}
			exposures[s].Reached(share)
			if at < p.duration {
				out.total++
			}
			rates[target]++
			route := []string{"read", "bind", "rare"}[min(rng.IntN(8), 2)]
			took := time.Duration(80 * math.Exp(0.8*rng.NormFloat64()) * speeds[target] * float64(time.Millisecond))
			failed := rng.Float64() < 0.004+p.illPool
			took = min(took, playLongest)
			isNew := target >= p.old
			warm := !isNew || at > p.cold
			if !warm {
				took = min(2*took, playLongest)
			}
			if isNew {
				wrong := false
				if p.defect.hits(at, route, rates[target]) {
					x := rng.Float64()
					if x < p.defect.fails {
						failed, wrong = true, true
					} else if x < p.defect.fails+p.defect.slows {
						took, wrong = took*5, true
					}
				}
				if p.illTarget > 0 && target == g.Canaries()[0].Slots() {
					failed = failed || rng.Float64() < p.illTarget
				}
				if at < p.duration {
					out.exposed++
				}
				if !p.isCut(s) {
					out.last = at
				}
				if wrong {
					if bad++; bad == 50 {
						out.fiftieth = at
					}
				}
			} else {
				under = append(under, running{target, at + took})
			}
			recorders[target].Record(route, took, failed, warm)
		}
		if at%(250*time.Millisecond) < playTick {
			under = slices.DeleteFunc(under, func(u running) bool { return u.ends <= at })
			runs := make([]int, len(records))
			for _, u := range under {
				runs[u.target]++
			}
			var now []Report
			for i, rec := range recorders {
				now = append(now, NewReport(records[i].Instance(), records[i].Version(), 1, 10, uint64(at), runs[i], rec.Routes()))
			}
			reports = append(reports, late{at + playDelay, now})
		}
		for len(reports) > 0 && reports[0].at <= at {
			for _, rep := range reports[0].reports {
				judge.Hear(rep)
			}
			reports = reports[1:]
		}
		if at%(250*time.Millisecond) >= playTick || out.stage != StageNone {
			continue
		}
		step := r.Next(Situation{
			Elapsed: at, SinceShift: at - shiftAt, Limit: playLimit, Candidates: p.new, Current: p.old,
			Idle: judge.Idle(), Longest: playLongest, Verdict: judge.Verdict(start.Add(at)),
		})
		switch step := step.(type) {
		case Shift:
			shiftAt = at
			r = r.WithProgress(NewProgress(10, start, start.Add(at), nil, 20))
		case Complete:
			out.stage, out.at = StageCompleted, at
			for _, u := range under {
				if u.ends > at {
					out.cut++
				}
			}
		case RollBack:
			halted = at
			out.stage, out.at, out.reason = StageRolledBack, at, step.Reason
		}
	}
	return out
}

func sheet(rate float64, old, news int, duration time.Duration) plan {
	return plan{rate: rate, old: old, new: news, duration: duration, cold: 3 * time.Second, senders: 70}
}

// seeds is how many plays there are of each kind.
const seeds = 40

// cutOffCase is the play in which some senders hear nothing of the rollback.
const cutOffCase = "a third fail, and a quarter of the senders is cut off"

// Guards against a version that is bad in one of many ways, played beside an even split
// of the calls, which lets half of them to it.
func TestAFaultyVersionIsRolledBackWithinItsBounds(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		d    defect
	}{
		{"a third of its answers fail", defect{fails: 0.33}},
		{"one in eight fails", defect{fails: 0.125}},
		{"half are five times slower", defect{slows: 0.5}},
		{"all are five times slower", defect{slows: 1}},
		{"all fail from the fourth second on", defect{fails: 1, after: 4 * time.Second}},
		{"a third fail from the fifth second on", defect{fails: 0.33, after: 5 * time.Second}},
		{"half fail on one route", defect{fails: 0.5, route: "bind"}},
		{"all fail on a rare route", defect{fails: 1, route: "rare"}},
		{"half fail under load", defect{fails: 0.5, load: 15}},
		{cutOffCase, defect{fails: 0.33}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := sheet(885, 22, 22, 12*time.Second)
				p.defect = tc.d
				if tc.name == cutOffCase {
					p.cutOff, p.cutFrom, p.cutUntil = p.senders/4, time.Second, 9*time.Second
				}
				out := play(p, seed)
				if out.stage != StageRolledBack {
					t.Errorf("seed %d: stage %d at %v", seed, out.stage, out.at)
				}
				if bound := playLimit*float64(out.total) + playSlack; float64(out.exposed) > bound {
					t.Errorf("seed %d: %d calls of %d to it", seed, out.exposed, out.total)
				}
				if out.fiftieth > 0 && out.last-out.fiftieth > rollbackIn {
					t.Errorf("seed %d: the last call came %v after the 50th bad answer", seed, out.last-out.fiftieth)
				}
			}
		})
	}
}

// Guards against a sound version that is taken for a bad one, or is late, as something
// else is wrong; and against calls that are cut off when it has taken over.
func TestASoundVersionTakesOverInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(p *plan)
	}{
		{"nothing is wrong", func(*plan) {}},
		{"its canaries are of the slow kind", func(p *plan) { p.slowTargets = true }},
		{"one of its canaries is ill", func(p *plan) { p.illTarget = 0.5 }},
		{"a pool that both call is ill", func(p *plan) { p.illPool = 0.3 }},
		{"the pool is small", func(p *plan) { p.old, p.new, p.rate = 4, 4, 60 }},
		{"the pool is large", func(p *plan) { p.old, p.new, p.rate = 41, 41, 2800 }},
		{"there is more time", func(p *plan) { p.duration = 30 * time.Second }},
		{"fewer new targets than old ones", func(p *plan) { p.new = 8 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := sheet(885, 22, 22, 12*time.Second)
				tc.change(&p)
				out := play(p, seed)
				if out.stage != StageCompleted || out.at > p.duration || out.cut > 0 {
					t.Errorf("seed %d: stage %d at %v (%s), %d cut off", seed, out.stage, out.at, out.reason, out.cut)
				}
			}
		})
	}
}
