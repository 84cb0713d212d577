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
	exposureLimit = 0.1             // share of calls that a faulty version may get
	exposureSlack = 50              // calls beyond that share
	rollbackBound = 5 * time.Second // after the 50th faulty answer
	maxCallTime   = 2500 * time.Millisecond
	tick          = 20 * time.Millisecond
	// propagationDelay is how long reports take to reach the judge, and decisions to
	// reach the senders.
	propagationDelay = 750 * time.Millisecond
)

// defect makes a share of a version's answers fail or take five times as long.
type defect struct {
	failShare, slowShare float64       // shares of the answers
	after                time.Duration // since the order
	route                string        // only this one, "" for all
	minRate              float64       // only at targets with at least so many calls a second
}

func (d defect) applies(at time.Duration, route string, rate float64) bool {
	return at >= d.after && (d.route == "" || d.route == route) && rate >= d.minRate
}

// scenario is the set-up of one simulation.
type scenario struct {
	rate                   float64
	oldTargets, newTargets int
	duration               time.Duration
	defect                 defect
	canaryFailures         float64 // share of its answers that one canary alone fails
	sharedFailures         float64 // share of the answers that fail for both versions
	warmUp                 time.Duration
	slowCanaries           bool // the canaries are slow targets
	senders                int
	// The first cutOff senders receive no updates from cutFrom to cutUntil.
	cutOff            int
	cutFrom, cutUntil time.Duration
}

func (sc scenario) isCutOff(sender int) bool { return sender < sc.cutOff }

// receivesAt returns when a sender receives a decision.
func (sc scenario) receivesAt(sender int, decided time.Duration) time.Duration {
	at := decided + propagationDelay
	if sc.isCutOff(sender) && at >= sc.cutFrom && at < sc.cutUntil {
		return sc.cutUntil + propagationDelay
	}
	return at
}

// outcome is the result of one simulation.
type outcome struct {
	stage                       Stage
	endedAt                     time.Duration
	total, exposed              int
	lastExposed, fiftiethFaulty time.Duration // last call to the new version by senders not cut off; 50th faulty answer
	interrupted                 int           // calls in flight, at the end, at targets of the version that gets no more
	late                        int           // calls that such a target took after the end
	reason                      string
}

type runningCall struct {
	target int
	endsAt time.Duration
}

// simulate runs a rollout: senders spend their exposure, targets count calls, and a
// judge receives delayed reports.
func simulate(sc scenario, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	order := NewOrder("pool", "v2", sc.duration, 10)
	start := time.Unix(0, 0)
	r := Rollout{}.WithOrder(order).WithProgress(NewProgress(10, start, time.Time{}, nil, 11)).WithStatus(NewStatus(Running, "v2", 12))
	var records []membership.Record
	for i := range sc.oldTargets + sc.newTargets {
		version := "v1"
		if i >= sc.oldTargets {
			version = "v2"
		}
		records = append(records, membership.NewRecord(fmt.Sprint("t", i), membership.Version(version), membership.Slots(i)))
	}
	g := r.Groups(records, exposureLimit)
	slowdowns := make([]float64, len(records))
	for i := range slowdowns {
		slowdowns[i] = []float64{0.7, 0.7, 1.6}[rng.IntN(3)]
	}
	if sc.slowCanaries {
		for _, c := range g.Canaries() {
			slowdowns[c.Slots()] = 1.6
		}
	}
	exposures := make([]*Exposure, sc.senders)
	for i := range exposures {
		exposures[i] = NewExposure(rng.Float64())
	}
	recorders := make([]*Recorder, len(records))
	for i := range recorders {
		recorders[i] = NewRecorder()
	}
	judge := NewJudge(order)
	type delayedReports struct {
		at      time.Duration
		reports []Report
	}
	var reports []delayedReports
	var inFlight []runningCall
	out := outcome{}
	shiftAt, halted, faultyAnswers := time.Duration(0), time.Duration(0), 0
	afterEnd := r.WithStatus(NewStatus(Completed, "v2", 30))
	rates := make([]float64, len(records))
	// closed reports whether a target's node has heard that it takes no more calls.
	closed := func(target int, at time.Duration) bool {
		if target >= sc.oldTargets {
			return halted > 0 && at >= halted+propagationDelay
		}
		known := r
		if out.stage == StageCompleted && at >= out.endedAt+propagationDelay {
			known = afterEnd
		}
		return shiftAt > 0 && at >= shiftAt+propagationDelay && !known.Admits("v1", exposureLimit, at-shiftAt, sc.newTargets > 0)
	}
	running := func(at time.Duration, among func(target int) bool) (n int) {
		for _, call := range inFlight {
			if call.endsAt > at && among(call.target) {
				n++
			}
		}
		return n
	}
	callsToSend := 0.0
	for at := time.Duration(0); at < sc.duration+5*time.Second; at += tick {
		for i := range rates {
			rates[i] *= math.Exp(-tick.Seconds())
		}
		callsToSend += sc.rate * tick.Seconds()
		for ; callsToSend >= 1; callsToSend-- {
			sender := rng.IntN(sc.senders)
			stage, since := StageCanary, time.Duration(0)
			if received := sc.receivesAt(sender, shiftAt); shiftAt > 0 && at >= received {
				stage, since = StageShift, at-received
			}
			if halted > 0 && at >= sc.receivesAt(sender, halted) {
				stage = StageRolledBack
			}
			share := Share(exposureLimit, stage, since)
			toNew := stage == StageShift && rng.Float64() < share || stage == StageCanary && exposures[sender].Take()
			target := rng.IntN(sc.oldTargets)
			if toNew {
				group := g.Canaries()
				if stage == StageShift || !CanariesOnly(at) {
					group = g.Candidates()
				}
				target = group[rng.IntN(len(group))].Slots()
			}
			exposures[sender].Credit(share)
			if at < sc.duration {
				out.total++
			}
			rates[target]++
			route := []string{"read", "bind", "rare"}[min(rng.IntN(8), 2)]
			took := time.Duration(80 * math.Exp(0.8*rng.NormFloat64()) * slowdowns[target] * float64(time.Millisecond))
			failed := rng.Float64() < 0.004+sc.sharedFailures
			took = min(took, maxCallTime)
			isNew := target >= sc.oldTargets
			warm := !isNew || at > sc.warmUp
			if !warm {
				took = min(2*took, maxCallTime)
			}
			faulty := false
			if isNew {
				if sc.defect.applies(at, route, rates[target]) {
					x := rng.Float64()
					if x < sc.defect.failShare {
						failed, faulty = true, true
					} else if x < sc.defect.failShare+sc.defect.slowShare {
						took, faulty = took*5, true
					}
				}
				if sc.canaryFailures > 0 && target == g.Canaries()[0].Slots() {
					failed = failed || rng.Float64() < sc.canaryFailures
				}
			}
			if closed(target, at) {
				continue
			}
			if out.stage == StageCompleted && !isNew || out.stage == StageRolledBack && isNew {
				out.late++
			}
			if isNew {
				if at < sc.duration {
					out.exposed++
				}
				if !sc.isCutOff(sender) {
					out.lastExposed = at
				}
				if faulty {
					if faultyAnswers++; faultyAnswers == 50 {
						out.fiftiethFaulty = at
					}
				}
			}
			inFlight = append(inFlight, runningCall{target, at + min(took, maxCallTime)})
			recorders[target].Record(route, took, failed, warm)
		}
		if at%(250*time.Millisecond) < tick {
			inFlight = slices.DeleteFunc(inFlight, func(call runningCall) bool { return call.endsAt <= at })
			counts := make([]int, len(records))
			for _, call := range inFlight {
				counts[call.target]++
			}
			var batch []Report
			for i, rec := range recorders {
				batch = append(batch, NewReport(records[i].Instance(), records[i].Version(), 1, 10, uint64(at), counts[i], rec.Routes()).WithClosed(closed(i, at)))
			}
			reports = append(reports, delayedReports{at + propagationDelay, batch})
		}
		for len(reports) > 0 && reports[0].at <= at {
			for _, rep := range reports[0].reports {
				judge.Add(rep)
			}
			reports = reports[1:]
		}
		if at%(250*time.Millisecond) >= tick || out.stage != StageNone {
			continue
		}
		step := r.Next(Situation{
			Elapsed: at, SinceShift: at - shiftAt, SinceStop: at - halted, Limit: exposureLimit, Candidates: sc.newTargets, Current: sc.oldTargets,
			CurrentClosed: judge.Closed(records[:sc.oldTargets]), CandidatesClosed: judge.Closed(records[sc.oldTargets:]),
			MaxCallTime: maxCallTime, Verdict: judge.Verdict(start.Add(at)),
		})
		switch step := step.(type) {
		case Shift:
			shiftAt = at
			r = r.WithProgress(NewProgress(10, start, start.Add(at), nil, 20))
		case Complete:
			out.stage, out.endedAt = StageCompleted, at
			out.interrupted = running(at, func(target int) bool { return target < sc.oldTargets })
		case Stop:
			if halted == 0 {
				halted, out.reason = at, step.Reason
				r = r.WithHalt(10)
			}
		case RollBack:
			out.stage, out.endedAt = StageRolledBack, at
			out.interrupted = running(at, func(target int) bool { return target >= sc.oldTargets })
		}
	}
	return out
}

func newScenario(rate float64, oldTargets, newTargets int, duration time.Duration) scenario {
	return scenario{rate: rate, oldTargets: oldTargets, newTargets: newTargets, duration: duration, warmUp: 3 * time.Second, senders: 70}
}

// seeds is how many simulations each scenario gets.
const seeds = 40

// cutOffCase is the scenario in which some senders receive the rollback late.
const cutOffCase = "a third fail, and a quarter of the senders is cut off"

// Guards against a faulty version that gets more than its bounded share of calls, or is
// rolled back late.
func TestAFaultyVersionIsRolledBackWithinItsBounds(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		d    defect
	}{
		{"a third of its answers fail", defect{failShare: 0.33}},
		{"one in eight answers fails", defect{failShare: 0.125}},
		{"half are five times slower", defect{slowShare: 0.5}},
		{"all are five times slower", defect{slowShare: 1}},
		{"all fail from the fourth second on", defect{failShare: 1, after: 4 * time.Second}},
		{"a third fail from the fifth second on", defect{failShare: 0.33, after: 5 * time.Second}},
		{"half fail on one route", defect{failShare: 0.5, route: "bind"}},
		{"all fail on a rare route", defect{failShare: 1, route: "rare"}},
		{"half fail under load", defect{failShare: 0.5, minRate: 15}},
		{cutOffCase, defect{failShare: 0.33}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				sc := newScenario(885, 22, 22, 12*time.Second)
				sc.defect = tc.d
				if tc.name == cutOffCase {
					sc.cutOff, sc.cutFrom, sc.cutUntil = sc.senders/4, time.Second, 9*time.Second
				}
				out := simulate(sc, seed)
				if out.stage != StageRolledBack {
					t.Errorf("seed %d: stage %d at %v, want a rollback", seed, out.stage, out.endedAt)
				}
				if bound := exposureLimit*float64(out.total) + exposureSlack; float64(out.exposed) > bound {
					t.Errorf("seed %d: %d calls of %d to the faulty version", seed, out.exposed, out.total)
				}
				if out.interrupted > 0 || out.late > 0 {
					t.Errorf("seed %d: the faulty version ran %d calls when it was reported as rolled back, and took %d afterwards", seed, out.interrupted, out.late)
				}
				if out.fiftiethFaulty > 0 && out.lastExposed-out.fiftiethFaulty > rollbackBound {
					t.Errorf("seed %d: the last call came %v after the 50th faulty answer", seed, out.lastExposed-out.fiftiethFaulty)
				}
			}
		})
	}
}

// Guards against a healthy version that is rolled back or takes over late because of
// other faults, and against calls that the takeover interrupts.
func TestAHealthyVersionTakesOverInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(sc *scenario)
	}{
		{"nothing is wrong", func(*scenario) {}},
		{"its canaries are slow targets", func(sc *scenario) { sc.slowCanaries = true }},
		{"one of its canaries fails", func(sc *scenario) { sc.canaryFailures = 0.5 }},
		{"a pool that both versions call fails", func(sc *scenario) { sc.sharedFailures = 0.3 }},
		{"the pool is small", func(sc *scenario) { sc.oldTargets, sc.newTargets, sc.rate = 4, 4, 60 }},
		{"the pool is large", func(sc *scenario) { sc.oldTargets, sc.newTargets, sc.rate = 41, 41, 2800 }},
		{"there is more time", func(sc *scenario) { sc.duration = 30 * time.Second }},
		{"fewer new targets than old ones", func(sc *scenario) { sc.newTargets = 8 }},
		{"a quarter of the senders is cut off until after the end", func(sc *scenario) {
			sc.cutOff, sc.cutFrom, sc.cutUntil = sc.senders/4, time.Second, sc.duration+5*time.Second
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				sc := newScenario(885, 22, 22, 12*time.Second)
				tc.change(&sc)
				out := simulate(sc, seed)
				if out.stage != StageCompleted || out.endedAt > sc.duration || out.interrupted > 0 || out.late > 0 {
					t.Errorf("seed %d: stage %d at %v (%s), %d calls interrupted, %d after the end", seed, out.stage, out.endedAt, out.reason, out.interrupted, out.late)
				}
			}
		})
	}
}
