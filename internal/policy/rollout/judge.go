package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// falseAlarm is the chance with which one comparison may take a good version for
	// a faulty one. Some hundred are made in a rollout.
	falseAlarm = 1e-6
	// leastBad is how many bad answers a verdict of a fault needs.
	leastBad = 5
	// failureFactor and failureFloor are what a new version may fail more often than
	// the one in force.
	failureFactor = 1.5
	failureFloor  = 0.01
	// priorCalls and priorFailed stand for calls of the version in force where it
	// has none to compare with.
	priorCalls, priorFailed = 10, 0.5
	// leastTimes is how many calls in force the last moments need to be compared with,
	// or all since the order are.
	leastTimes = 100
	// slowQuantile is from which time in force an answer counts as slow; the share of
	// slow ones lies by so many standard errors above that in force, and at least so much
	// of the answers, where a new version is slow.
	slowQuantile = 0.9
	slowDistance = 4.5
	slowLeast    = 0.15
	// leastSpread and priorSpread are the standard deviation of that share between the
	// targets of one version: the least that is assumed, and where few are known.
	leastSpread, priorSpread = 0.05, 0.15
	// fewTargets are too few to tell how much they differ.
	fewTargets = 3
	// leastAnswers is how many answers a comparison of times needs.
	leastAnswers = 10
	// soundMargin is what a healthy version fails less than beyond the one in force, and
	// soundDoubt the chance with which one that fails so much is called healthy.
	soundMargin = 0.2
	soundDoubt  = 0.05
	// keepEvery and keepFor are how often the counts are kept to compare with, and for
	// how long.
	keepEvery = 500 * time.Millisecond
	keepFor   = 5 * time.Second
)

// windows are the times over which the versions are compared: a version that turns bad
// shows in a short one first, a small fault in a long one.
var windows = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 0}

// Verdict is Undecided, Healthy or Faulty.
type Verdict interface{ isVerdict() }

// Undecided says that too little is known.
type Undecided struct{}

// Healthy says that the new version is as good as the one in force.
type Healthy struct{}

// Faulty says on which route the new version is worse, and by what.
type Faulty struct{ Route, By string }

func (Undecided) isVerdict() {}
func (Healthy) isVerdict()   {}
func (Faulty) isVerdict()    {}

// ByFailures and BySlowness are by what a version may be worse.
const (
	ByFailures = "failures"
	BySlowness = "slowness"
)

// Judge compares the version of an order with the one in force. It is not safe for
// concurrent use.
type Judge struct {
	order   Order
	reports map[string]Report
	kept    []keptReports
}

// keptReports are the reports as they were.
type keptReports struct {
	at      time.Time
	reports map[string]Report
}

// NewJudge returns a judge of an order that has heard nothing.
func NewJudge(o Order) *Judge { return &Judge{order: o, reports: map[string]Report{}} }

// Hear takes in a report and reports whether it is news.
func (j *Judge) Hear(r Report) bool {
	if r.order != j.order.revision {
		return false
	}
	if held, ok := j.reports[r.instance]; ok && !r.Newer(held) {
		return false
	}
	j.reports[r.instance] = r
	return true
}

// Idle reports whether no target in force runs a call, as far as reports tell.
func (j *Judge) Idle() bool {
	for _, r := range j.reports {
		if r.version != j.order.version && r.running > 0 {
			return false
		}
	}
	return true
}

// Reports returns the last report of each instance.
func (j *Judge) Reports() map[string]Report { return maps.Clone(j.reports) }

// Verdict compares what has been reported up to now.
func (j *Judge) Verdict(now time.Time) Verdict {
	j.keep(now)
	for _, w := range windows {
		if f, ok := j.compare(now, w); ok {
			return f
		}
	}
	if j.sound() {
		return Healthy{}
	}
	return Undecided{}
}

// sound reports whether there are answers enough to show that the new version does not
// fail much more than the one in force.
func (j *Judge) sound() bool {
	candidates, current := byRoute{}, byRoute{}
	for _, r := range j.reports {
		if r.version == j.order.version {
			candidates.add(r.routes)
		} else {
			current.add(r.routes)
		}
	}
	old, all := sum(current[allRoutes]), candidates[allRoutes]
	p := min(0.99, float64(old.failed)/max(1, float64(old.calls))+soundMargin)
	return fewer(sum(all), p) || fewer(sum(withoutWorst(all, func(a Answers) float64 { return float64(a.failed) })), p)
}

// fewer reports whether so few failures are unlikely for a chance p each.
func fewer(a Answers, p float64) bool {
	return a.calls > 0 && distuv.Binomial{N: float64(a.calls), P: p}.CDF(float64(a.failed)) < soundDoubt
}

func (j *Judge) keep(now time.Time) {
	if n := len(j.kept); n > 0 && now.Sub(j.kept[n-1].at) < keepEvery {
		return
	}
	j.kept = slices.DeleteFunc(j.kept, func(k keptReports) bool { return now.Sub(k.at) > keepFor })
	j.kept = append(j.kept, keptReports{now, maps.Clone(j.reports)})
}

// before returns the reports as they were at a window's begin, none for the window
// that begins with the order.
func (j *Judge) before(now time.Time, window time.Duration) map[string]Report {
	var out map[string]Report
	if window == 0 {
		return nil
	}
	for _, k := range j.kept {
		if now.Sub(k.at) >= window {
			out = k.reports
		}
	}
	return out
}

// compare looks for a route on which the new version is worse over a window.
func (j *Judge) compare(now time.Time, window time.Duration) (Faulty, bool) {
	before := j.before(now, window)
	candidates, current, whole := byRoute{}, byRoute{}, byRoute{}
	for name, r := range j.reports {
		since := map[string]Answers{}
		for route, a := range r.routes {
			if old, ok := before[name]; ok && old.boot == r.boot {
				a = a.minus(old.routes[route])
			}
			since[route] = a
		}
		if r.version == j.order.version {
			candidates.add(since)
			continue
		}
		current.add(since)
		whole.add(r.routes)
	}
	for _, route := range slices.Sorted(maps.Keys(candidates)) {
		old := current[route]
		if sum(old).calls < leastTimes {
			// After the shift little runs on the version in force.
			old = whole[route]
		}
		if by, ok := worse(candidates[route], old); ok {
			return Faulty{Route: route, By: by}, true
		}
	}
	return Faulty{}, false
}

// byRoute is the answers of each target of a version by route, those of all routes
// under allRoutes.
type byRoute map[string][]Answers

// allRoutes stands for all routes together; no route's name begins with a space.
const allRoutes = " all"

// add takes in the answers of one target.
func (b byRoute) add(routes map[string]Answers) {
	all := Answers{}
	for route, a := range routes {
		b[route] = append(b[route], a)
		all = all.plus(a)
	}
	b[allRoutes] = append(b[allRoutes], all)
}

func sum(answers []Answers) Answers {
	out := Answers{}
	for _, a := range answers {
		out = out.plus(a)
	}
	return out
}

// worse reports whether the targets of the new version do worse than those in force,
// also without the worst of them: the fault may be that target's own.
func worse(candidates, old []Answers) (by string, ok bool) {
	if failing(candidates, old) {
		return ByFailures, true
	}
	if slow(candidates, old) {
		return BySlowness, true
	}
	return "", false
}

func failing(candidates, current []Answers) bool {
	old := sum(current)
	rest := sum(withoutWorst(candidates, func(a Answers) float64 { return float64(a.failed) }))
	p := min(0.9, failureFactor*(float64(old.failed)+priorFailed)/(float64(old.calls)+priorCalls)+failureFloor)
	return unlikely(rest.failed, rest.calls, p)
}

// slow compares the share of answers that are slower than most in force. Targets of
// one version differ in speed, so each counts by the inverse of its variance, that
// between targets included, as in a random-effects meta-analysis (DerSimonian and
// Laird 1986).
func slow(candidates, current []Answers) bool {
	old := sum(current)
	if old.timed() < leastTimes {
		return false
	}
	limit := old.quantile(slowQuantile)
	share, spread := old.above(limit), spreadOf(current, limit)
	variance := max(share, 1-slowQuantile) * slowQuantile
	weight := func(a Answers) float64 {
		n := float64(a.timed())
		return n / (n*spread*spread + variance)
	}
	over := func(a Answers) float64 { return weight(a) * (a.above(limit) - share) }
	rest := withoutWorst(candidates, over)
	if sum(rest).timed() < leastAnswers {
		return false
	}
	weights, excess := 0.0, 0.0
	for _, a := range rest {
		weights += weight(a)
		excess += over(a)
	}
	excess /= weights
	err := math.Sqrt(1/weights + spread*spread/float64(len(current)) + variance/float64(old.timed()))
	return excess > slowLeast && excess > slowDistance*err
}

// spreadOf returns the standard deviation between the targets' shares of slow answers.
func spreadOf(targets []Answers, limit int) float64 {
	var shares []float64
	for _, a := range targets {
		if a.timed() >= leastAnswers {
			shares = append(shares, a.above(limit))
		}
	}
	if len(shares) < fewTargets {
		return priorSpread
	}
	return max(leastSpread, stat.StdDev(shares, nil))
}

// withoutWorst returns the answers of all targets but the worst, of all if there is
// just one with calls.
func withoutWorst(candidates []Answers, bad func(Answers) float64) []Answers {
	var with []Answers
	worst := 0
	for _, a := range candidates {
		if a.calls == 0 {
			continue
		}
		with = append(with, a)
		if bad(a) > bad(with[worst]) {
			worst = len(with) - 1
		}
	}
	if len(with) > 1 {
		return slices.Delete(with, worst, worst+1)
	}
	return with
}

// unlikely reports whether so many bad ones of n are too many for a chance p each, by
// a one-sided binomial test.
func unlikely(bad, n uint64, p float64) bool {
	if bad < leastBad || float64(bad) <= p*float64(n) {
		return false
	}
	return distuv.Binomial{N: float64(n), P: p}.Survival(float64(bad)-1) < falseAlarm
}
