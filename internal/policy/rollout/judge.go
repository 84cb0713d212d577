package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// falsePositiveRate is the significance level of one comparison; a rollout makes
	// some hundred of them.
	falsePositiveRate = 1e-6
	// minFailures is the minimum number of failures for the verdict Faulty.
	minFailures = 5
	// A new version may fail at the failure rate of the current one, multiplied by
	// failureFactor, plus failureMargin.
	failureFactor = 1.5
	failureMargin = 0.01
	// priorCalls and priorFailed are pseudo-counts of the current version, for routes on
	// which it has no calls.
	priorCalls, priorFailed = 10, 0.5
	// minCurrentCalls is the minimum number of the current version's calls in a window;
	// with fewer, all its calls since the order are used. It is also the minimum number
	// of its latencies for a comparison of latencies.
	minCurrentCalls = 100
	// Calls above the current version's latency quantile slowQuantile count as slow. A
	// new version is slow if its share of slow calls exceeds that of the current one by
	// slowStandardErrors standard errors and by minSlowExcess.
	slowQuantile       = 0.9
	slowStandardErrors = 4.5
	minSlowExcess      = 0.15
	// minSpread is the lower bound of the standard deviation of the share of slow calls
	// between targets of one version; priorSpread is assumed if fewer than
	// minSpreadTargets have enough latencies.
	minSpread, priorSpread = 0.05, 0.15
	minSpreadTargets       = 3
	// minLatencies is the minimum number of the new version's latencies for a
	// comparison, and of a target's latencies for the standard deviation.
	minLatencies = 10
	// A new version is healthy if its failure rate is below that of the current version
	// plus healthyMargin, at the significance level healthySignificance.
	healthyMargin       = 0.2
	healthySignificance = 0.05
	// historyInterval is how often the reports are saved for comparison windows,
	// historyLength how long they are kept.
	historyInterval = 500 * time.Millisecond
	historyLength   = 5 * time.Second
)

// comparisonWindows are the periods over which the versions are compared; 0 is the whole
// time since the order. A short window shows sooner that a version begins to fail; a long
// one shows smaller faults.
var comparisonWindows = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 0}

// Verdict is Undecided, Healthy or Faulty.
type Verdict interface{ isVerdict() }

// Undecided means that the evidence is insufficient.
type Undecided struct{}

// Healthy means that the new version is as good as the current one.
type Healthy struct{}

// Faulty means that the new version is worse on Route by the measure By.
type Faulty struct{ Route, By string }

func (Undecided) isVerdict() {}
func (Healthy) isVerdict()   {}
func (Faulty) isVerdict()    {}

// ByFailures and BySlowness are the measures by which a version may be worse.
const (
	ByFailures = "failures"
	BySlowness = "slowness"
)

// Judge compares the version of an order with the current one. It is not safe for
// concurrent use.
type Judge struct {
	order   Order
	reports map[string]Report
	history []pastReports
}

// pastReports are the latest reports of all instances at a time.
type pastReports struct {
	at      time.Time
	reports map[string]Report
}

// NewJudge returns a judge of an order without reports.
func NewJudge(o Order) *Judge { return &Judge{order: o, reports: map[string]Report{}} }

// Add adds a report and reports whether it is newer than the last one of its instance.
// Reports under other orders are ignored.
func (j *Judge) Add(r Report) bool {
	if r.orderRevision != j.order.revision {
		return false
	}
	if last, ok := j.reports[r.instance]; ok && !r.Newer(last) {
		return false
	}
	j.reports[r.instance] = r
	return true
}

// Closed reports whether each of some targets refuses further calls and runs none, according
// to their last reports.
func (j *Judge) Closed(targets []membership.Record) bool {
	for _, t := range targets {
		if r, ok := j.reports[t.Instance()]; !ok || r.version != t.Version() || !r.closed || r.running > 0 {
			return false
		}
	}
	return true
}

// Reports returns the last report of each instance.
func (j *Judge) Reports() map[string]Report { return maps.Clone(j.reports) }

// Verdict compares the versions by the reports received so far.
func (j *Judge) Verdict(now time.Time) Verdict {
	j.recordHistory(now)
	for _, w := range comparisonWindows {
		if f, ok := j.compare(now, w); ok {
			return f
		}
	}
	if j.healthy() {
		return Healthy{}
	}
	return Undecided{}
}

// healthy reports whether there is enough evidence that the new version does not fail
// much more often than the current one, with or without its worst target.
func (j *Judge) healthy() bool {
	candidates, current := byRoute{}, byRoute{}
	for _, r := range j.reports {
		if r.version == j.order.version {
			candidates.add(r.routes)
		} else {
			current.add(r.routes)
		}
	}
	currentTotal, all := sum(current[allRoutes]), candidates[allRoutes]
	p := min(0.99, float64(currentTotal.failed)/max(1, float64(currentTotal.calls))+healthyMargin)
	return significantlyFewer(sum(all), p) || significantlyFewer(sum(withoutWorst(all, func(s RouteStats) float64 { return float64(s.failed) })), p)
}

// significantlyFewer reports whether the failures are significantly fewer than at a
// failure rate p, by a one-sided binomial test.
func significantlyFewer(s RouteStats, p float64) bool {
	return s.calls > 0 && distuv.Binomial{N: float64(s.calls), P: p}.CDF(float64(s.failed)) < healthySignificance
}

func (j *Judge) recordHistory(now time.Time) {
	if n := len(j.history); n > 0 && now.Sub(j.history[n-1].at) < historyInterval {
		return
	}
	j.history = slices.DeleteFunc(j.history, func(past pastReports) bool { return now.Sub(past.at) > historyLength })
	j.history = append(j.history, pastReports{now, maps.Clone(j.reports)})
}

// reportsBefore returns the reports at the start of a window, or none if the window is 0
// or begins before the history.
func (j *Judge) reportsBefore(now time.Time, window time.Duration) map[string]Report {
	var out map[string]Report
	if window == 0 {
		return nil
	}
	for _, past := range j.history {
		if now.Sub(past.at) >= window {
			out = past.reports
		}
	}
	return out
}

// compare looks for a route on which the new version is worse over a window.
func (j *Judge) compare(now time.Time, window time.Duration) (Faulty, bool) {
	before := j.reportsBefore(now, window)
	candidates, current, currentSinceOrder := byRoute{}, byRoute{}, byRoute{}
	for name, r := range j.reports {
		since := map[string]RouteStats{}
		for route, s := range r.routes {
			if old, ok := before[name]; ok && old.boot == r.boot {
				s = s.minus(old.routes[route])
			}
			since[route] = s
		}
		if r.version == j.order.version {
			candidates.add(since)
			continue
		}
		current.add(since)
		currentSinceOrder.add(r.routes)
	}
	for _, route := range slices.Sorted(maps.Keys(candidates)) {
		currentStats := current[route]
		if sum(currentStats).calls < minCurrentCalls {
			// Late in the shift the current version gets few calls.
			currentStats = currentSinceOrder[route]
		}
		if by, ok := worse(candidates[route], currentStats); ok {
			return Faulty{Route: route, By: by}, true
		}
	}
	return Faulty{}, false
}

// byRoute holds the statistics of each target of a version by route, and those over all
// routes under allRoutes.
type byRoute map[string][]RouteStats

// allRoutes is the key of all routes together; no route's name begins with a space.
const allRoutes = " all"

// add adds the statistics of one target.
func (b byRoute) add(routes map[string]RouteStats) {
	all := RouteStats{}
	for route, s := range routes {
		b[route] = append(b[route], s)
		all = all.plus(s)
	}
	b[allRoutes] = append(b[allRoutes], all)
}

func sum(targets []RouteStats) RouteStats {
	out := RouteStats{}
	for _, s := range targets {
		out = out.plus(s)
	}
	return out
}

// worse reports whether and by which measure the new version is worse than the current
// one, leaving out the new version's worst target: it alone may be faulty.
func worse(candidates, current []RouteStats) (by string, ok bool) {
	if failsMore(candidates, current) {
		return ByFailures, true
	}
	if isSlower(candidates, current) {
		return BySlowness, true
	}
	return "", false
}

func failsMore(candidates, current []RouteStats) bool {
	currentTotal := sum(current)
	rest := sum(withoutWorst(candidates, func(s RouteStats) float64 { return float64(s.failed) }))
	p := min(0.9, failureFactor*(float64(currentTotal.failed)+priorFailed)/(float64(currentTotal.calls)+priorCalls)+failureMargin)
	return significantlyMore(rest.failed, rest.calls, p)
}

// isSlower compares the share of calls above the current version's slowQuantile. As
// targets of one version differ in speed, each is weighted by the inverse of its
// variance, including the variance between targets, as in a random-effects meta-analysis
// (DerSimonian and Laird 1986).
func isSlower(candidates, current []RouteStats) bool {
	currentTotal := sum(current)
	if currentTotal.latencyCount() < minCurrentCalls {
		return false
	}
	limit := currentTotal.quantile(slowQuantile)
	share, spread := currentTotal.shareAbove(limit), slowShareSpread(current, limit)
	variance := max(share, 1-slowQuantile) * slowQuantile
	weight := func(s RouteStats) float64 {
		n := float64(s.latencyCount())
		return n / (n*spread*spread + variance)
	}
	weightedExcess := func(s RouteStats) float64 { return weight(s) * (s.shareAbove(limit) - share) }
	rest := withoutWorst(candidates, weightedExcess)
	if sum(rest).latencyCount() < minLatencies {
		return false
	}
	weights, excess := 0.0, 0.0
	for _, s := range rest {
		weights += weight(s)
		excess += weightedExcess(s)
	}
	excess /= weights
	stdErr := math.Sqrt(1/weights + spread*spread/float64(len(current)) + variance/float64(currentTotal.latencyCount()))
	return excess > minSlowExcess && excess > slowStandardErrors*stdErr
}

// slowShareSpread returns the standard deviation of the share of slow calls between
// targets.
func slowShareSpread(targets []RouteStats, limit int) float64 {
	var shares []float64
	for _, s := range targets {
		if s.latencyCount() >= minLatencies {
			shares = append(shares, s.shareAbove(limit))
		}
	}
	if len(shares) < minSpreadTargets {
		return priorSpread
	}
	return max(minSpread, stat.StdDev(shares, nil))
}

// withoutWorst returns the statistics of the targets with calls except the worst one; a
// single target with calls is kept.
func withoutWorst(candidates []RouteStats, badness func(RouteStats) float64) []RouteStats {
	var active []RouteStats
	worst := 0
	for _, s := range candidates {
		if s.calls == 0 {
			continue
		}
		active = append(active, s)
		if badness(s) > badness(active[worst]) {
			worst = len(active) - 1
		}
	}
	if len(active) > 1 {
		return slices.Delete(active, worst, worst+1)
	}
	return active
}

// significantlyMore reports whether the failures among n calls are significantly more
// than at a failure rate p, by a one-sided binomial test.
func significantlyMore(failures, n uint64, p float64) bool {
	if failures < minFailures || float64(failures) <= p*float64(n) {
		return false
	}
	return distuv.Binomial{N: float64(n), P: p}.Survival(float64(failures)-1) < falsePositiveRate
}
