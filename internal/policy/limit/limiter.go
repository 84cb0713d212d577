package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/bucket"
)

const (
	// burstSeconds is the capacity of a token bucket in seconds of its rate: calls
	// don't arrive evenly spaced. A tenth of a second evens out most of their bursts.
	burstSeconds = 0.1
	// demandHeadroom multiplies the measured demand, so that demand may grow by a
	// quarter from one heartbeat to the next without a refused call.
	demandHeadroom = 1.25
	// smoothing is the weight of the newest period in the moving averages of
	// demand: demand that ends frees its share within about three heartbeats.
	smoothing = 0.7
	// defaultInitialShare is the part of a limit that a node uses before its first
	// grant, which follows an organisation's first call by a heartbeat. Ten nodes
	// that start together may exceed the limit by a tenth.
	defaultInitialShare = 0.01
	// firstShareRetryAfter is the retry delay for a call refused at a node without
	// a share: a few round trips, within which the first grant usually arrives.
	firstShareRetryAfter = 200 * time.Millisecond
	// A period without calls ends the demand at once, without smoothing, if more than
	// minExpectedCalls calls were expected in it.
	minExpectedCalls = 10
	// idleRate is the demand, in calls per second, below which an account without
	// running calls is idle.
	idleRate = 0.01
	// A demand that has dropped below demandDropFactor times the reported one is
	// reported with the next heartbeat if the reported one was at least
	// demandDropMinimum. Smaller drops, and growth within the share, wait until half
	// of the lease is over, which keeps the heartbeats of nodes with many
	// organisations small.
	demandDropFactor  = 0.5
	demandDropMinimum = 5
	// idleReports is how many reports say that an idle organisation holds nothing,
	// so that the loss of one or two leaves no reservation behind.
	idleReports = 3
	// maxRetryAfter bounds the retry delay; the share may have changed by then.
	maxRetryAfter = 5 * time.Second
	// concurrencyRetryAfter is the retry delay for a call that exceeds the
	// concurrency: about the duration of a typical call.
	concurrencyRetryAfter = 50 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio; its multiples modulo 1
	// spread the delays of successive refused calls evenly.
	goldenRatio = 0.6180339887498949

	shards = 64
)

// Decision is the result of Limiter.Allow: Allowed or Refused.
type Decision interface{ isDecision() }

// Allowed admits the call; Limiter.Release must be called when the call ends.
type Allowed struct{}

// Refused refuses the call before it has run.
type Refused struct {
	quantity   Quantity
	retryAfter time.Duration
}

// NewRefused returns the refusal of a call that exceeds a limit.
func NewRefused(q Quantity, retryAfter time.Duration) Refused { return Refused{q, retryAfter} }

// Quantity returns which limit the call exceeds.
func (r Refused) Quantity() Quantity { return r.quantity }

// RetryAfter returns the delay after which the caller may retry.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

func (Allowed) isDecision() {}
func (Refused) isDecision() {}

// Quantity is one of the two quantities that a limit bounds.
type Quantity uint8

// The quantities.
const (
	Rate Quantity = iota + 1
	Concurrency
)

// String returns the quantity's name in responses and metrics.
func (q Quantity) String() string {
	switch q {
	case Rate:
		return "rate"
	case Concurrency:
		return "concurrency"
	default:
		return fmt.Sprintf("quantity_%d", uint8(q))
	}
}

// Limiter enforces limits at one node by the shares granted to it.
type Limiter struct {
	initialShare  float64
	onShareNeeded func()
	shards        [shards]struct {
		mu   sync.Mutex
		orgs map[string]*account
	}
}

// Option configures a Limiter.
type Option func(*Limiter)

// InitialShare sets the part, from 0 to 1, of each limit that the node uses before
// its first grant.
func InitialShare(part float64) Option { return func(l *Limiter) { l.initialShare = part } }

// OnShareNeeded sets a function that is called, without a lock held, for each
// refused call and for each call of an organisation without a share at the node, so
// that the node can request a share before the next heartbeat. f must not block.
func OnShareNeeded(f func()) Option { return func(l *Limiter) { l.onShareNeeded = f } }

// NewLimiter returns a Limiter without shares.
func NewLimiter(opts ...Option) *Limiter {
	l := &Limiter{initialShare: defaultInitialShare, onShareNeeded: func() {}}
	for _, opt := range opts {
		opt(l)
	}
	for i := range l.shards {
		l.shards[i].orgs = map[string]*account{}
	}
	return l
}

// account is the state of one organisation at one node.
type account struct {
	createdAt time.Time
	share     share
	limit     Amounts
	rate      bucket.Bucket
	running   int

	// Counted since the last report:
	periodStart time.Time
	arrivals    int
	allowed     int
	peakRunning int
	// runningTime is the sum of the calls' running times until runningTimeUntil.
	runningTime      time.Duration
	runningTimeUntil time.Time

	// rateDemand is the smoothed rate of arrivals, in calls per second, and
	// meanDuration the smoothed running time of a call, in seconds.
	rateDemand   float64
	meanDuration float64
	// The demand and sequence number of the last report, and whether more calls
	// were running than the share allows.
	reported        Amounts
	reportedSeq     uint64
	reportedOveruse bool
	idleReportsSent int

	// The last retry time given to a refused call, and the state of spread.
	lastRetryAt    time.Time
	spreadFraction float64
}

// Allow decides about a call of an organisation with a limit.
func (l *Limiter) Allow(now time.Time, limit snapshot.Limit) Decision {
	d, hasShare := l.decide(now, limit)
	if _, refused := d.(Refused); refused || !hasShare {
		l.onShareNeeded()
	}
	return d
}

// decide returns the decision and whether the node has a share.
func (l *Limiter) decide(now time.Time, limit snapshot.Limit) (d Decision, hasShare bool) {
	s := l.shard(limit.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.orgs[limit.Organisation()]
	if a == nil {
		a = &account{createdAt: now, periodStart: now, runningTimeUntil: now, rate: bucket.New(1, now)}
		s.orgs[limit.Organisation()] = a
	}
	a.limit = AmountsOf(limit)
	a.arrivals++
	hasShare = a.share.seq != 0
	allowed := l.activeAmounts(now, a)
	if float64(a.running) >= allowed.concurrency {
		return Refused{Concurrency, a.spread(concurrencyRetryAfter)}, hasShare
	}
	a.rate.Refill(now, allowed.rate, max(1, allowed.rate*burstSeconds))
	switch {
	case a.rate.Take():
	case !hasShare:
		// The first grant will replace the initial share, so the present rate doesn't
		// determine when a retry succeeds.
		return Refused{Rate, a.spread(firstShareRetryAfter)}, hasShare
	default:
		return Refused{Rate, a.rateRetryAfter(now, allowed.rate)}, hasShare
	}
	a.addRunning(now, 1)
	a.allowed++
	return Allowed{}, hasShare
}

// Release records the end of an allowed call.
func (l *Limiter) Release(now time.Time, organisation string) {
	s := l.shard(organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.orgs[organisation]; a != nil {
		a.addRunning(now, -1)
	}
}

// Done records the end of an allowed call, whether it was run or not.
func (l *Limiter) Done(_, now time.Time, limit snapshot.Limit, _ bool) {
	l.Release(now, limit.Organisation())
}

// addRunning changes the number of running calls and updates their running time.
func (a *account) addRunning(now time.Time, delta int) {
	a.runningTime += time.Duration(a.running) * max(0, now.Sub(a.runningTimeUntil))
	a.runningTimeUntil = now
	a.running = max(0, a.running+delta)
	a.peakRunning = max(a.peakRunning, a.running)
}

// Reports returns the reports for the next heartbeat: those of organisations whose
// demand or share has changed or whose lease is half over, or of all organisations,
// which a new allocator needs until it has responded once. An idle account is deleted
// after idleReports reports that it holds nothing, or at once without a share.
func (l *Limiter) Reports(now time.Time, all bool) []Report {
	var out []Report
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, a := range s.orgs {
			demand := a.endPeriod(now)
			if a.idle(demand) {
				demand = Amounts{}
				if a.share.seq == 0 || a.idleReportsSent >= idleReports {
					delete(s.orgs, name)
					continue
				}
			}
			if all || a.reportDue(now, demand) {
				out = append(out, a.report(name, demand))
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (a *account) idle(demand Amounts) bool { return a.running == 0 && demand.rate < idleRate }

// reportDue reports whether the next heartbeat has to include the account.
func (a *account) reportDue(now time.Time, demand Amounts) bool {
	if a.reportedSeq != a.share.seq || a.share.seq == 0 || demand == (Amounts{}) || a.reportedOveruse {
		return true
	}
	if demand.rate > a.share.amount.rate || demand.concurrency > a.share.amount.concurrency {
		// The allocator can raise this share only after the node whose share it
		// reduces has reported as well, so the demand is reported at once.
		return true
	}
	half := a.share.expires.Add(-a.share.lease / 2)
	return !now.Before(half) || dropped(a.reported.rate, demand.rate) || dropped(a.reported.concurrency, demand.concurrency)
}

func dropped(from, to float64) bool { return from >= demandDropMinimum && to < demandDropFactor*from }

// report returns the account's report. If more calls are running than a reduced share
// allows, all of them count as held, so that the allocator doesn't grant their
// concurrency to other nodes before they have ended.
func (a *account) report(name string, demand Amounts) Report {
	held := a.share.amount
	a.reportedOveruse = float64(a.running) > held.concurrency
	held.concurrency = max(held.concurrency, float64(a.running))
	a.reported, a.reportedSeq = demand, a.share.seq
	if demand == (Amounts{}) && held == (Amounts{}) {
		a.idleReportsSent++
	} else {
		a.idleReportsSent = 0
	}
	return Report{name, demand, a.share.seq, held, a.share.floor}
}

// ApplyGrants applies grants from the node's current allocator, in response to
// reports sent at sentAt. A grant older than the active one is ignored, and so is one
// requested before the organisation's account was last deleted: since then the node
// has reported that it holds nothing.
func (l *Limiter) ApplyGrants(sentAt time.Time, grants []Grant) {
	for _, g := range grants {
		s := l.shard(g.organisation)
		s.mu.Lock()
		if a := s.orgs[g.organisation]; a != nil && g.seq > a.share.seq && !sentAt.Before(a.createdAt) {
			a.share = newShare(sentAt, g)
		}
		s.mu.Unlock()
	}
}

// DropShares drops all shares. A node that moves to another relay while the previous
// one may still be alive has to call it: the previous relay may grant the same
// capacity to others.
func (l *Limiter) DropShares() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, a := range s.orgs {
			a.share, a.reportedSeq = share{}, 0
		}
		s.mu.Unlock()
	}
}

// activeAmounts returns what the node may use now.
func (l *Limiter) activeAmounts(now time.Time, a *account) Amounts {
	if a.share.seq == 0 {
		initial := a.limit.times(l.initialShare)
		initial.concurrency = max(1, math.Floor(initial.concurrency))
		return initial
	}
	return a.share.amountAt(now).min(a.limit)
}

// rateRetryAfter gives successive refused calls retry times that are as far apart
// as the rate allows calls, so that they don't all retry at the same time.
func (a *account) rateRetryAfter(now time.Time, rate float64) time.Duration {
	step := maxRetryAfter
	if rate > 0 {
		step = min(maxRetryAfter, time.Duration(float64(time.Second)/rate))
	}
	retryAt := now.Add(time.Duration(a.rate.Missing() * float64(step)))
	a.lastRetryAt = a.lastRetryAt.Add(step)
	if a.lastRetryAt.Before(retryAt) {
		a.lastRetryAt = retryAt
	}
	if after := a.lastRetryAt.Sub(now); after < maxRetryAfter {
		return max(after, time.Millisecond)
	}
	a.lastRetryAt = now.Add(maxRetryAfter)
	return a.spread(maxRetryAfter / 2)
}

// spread returns a delay between d and 2d.
func (a *account) spread(d time.Duration) time.Duration {
	_, a.spreadFraction = math.Modf(a.spreadFraction + goldenRatio)
	return d + time.Duration(a.spreadFraction*float64(d))
}

// endPeriod returns the node's demand, with headroom, and begins a new period. The
// demand for concurrent calls is the larger of the observed peak and the arrival
// rate times the mean running time (Little's law): the peak alone is bounded by the
// present share.
func (a *account) endPeriod(now time.Time) Amounts {
	a.addRunning(now, 0)
	d := now.Sub(a.periodStart).Seconds()
	switch {
	case d <= 0:
	case a.arrivals == 0 && a.rateDemand*d > minExpectedCalls:
		a.rateDemand = 0
	default:
		a.rateDemand += smoothing * (float64(a.arrivals)/d - a.rateDemand)
	}
	if a.allowed > 0 {
		a.meanDuration += smoothing * (a.runningTime.Seconds()/float64(a.allowed) - a.meanDuration)
	}
	demand := Amounts{a.rateDemand * demandHeadroom, math.Ceil(max(float64(a.peakRunning), a.rateDemand*a.meanDuration*demandHeadroom))}
	a.periodStart, a.arrivals, a.allowed, a.peakRunning, a.runningTime = now, 0, 0, a.running, 0
	return demand
}

func (l *Limiter) shard(name string) *struct {
	mu   sync.Mutex
	orgs map[string]*account
} {
	return &l.shards[xxh3.HashString(name)%shards]
}
