package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// burst is how much of a second's calls may come in one moment: callers
	// are not evenly spaced, and a tenth of a second evens out most of it.
	burst = 0.1
	// headroom is asked for beyond the demand, so that demand which grows by a
	// quarter from one heartbeat to the next is never refused.
	headroom = 1.25
	// smoothing is the weight of the newest period in the demand: a heartbeat's
	// second tells most, and a demand that has gone frees its share in three.
	smoothing = 0.7
	// defaultShare is the part of a limit that a node takes before its first
	// grant, a heartbeat after an organisation's first call there: enough for
	// the first calls of most, and ten nodes at once add a tenth.
	defaultShare = 0.01
	// shareWait is when a call comes back that met a node without a share: a few
	// round trips, after which the share has come unless a ledger is missing.
	shareWait = 200 * time.Millisecond
	// surelyGone is how many calls must have been expected where none came, so
	// that this is no chance and the share can go elsewhere at once.
	surelyGone = 10
	// idleRate is a demand so small that the default share serves it.
	idleRate = 0.01
	// halved is how far a demand must have sunk to be told with the next
	// heartbeat, and telling the least that it must have been. One that grows
	// within its share need not be told, and other changes wait until half of
	// the lease is over: a node that serves hundreds of organisations would
	// otherwise send and get tens of bytes for each of them every second.
	halved  = 0.5
	telling = 5
	// farewells is how often an idle organisation tells that it holds nothing,
	// so that a lost heartbeat or two leave nothing counted for it.
	farewells = 3
	// maxRetryAfter bounds what a refused call is told: by then the share may
	// be another one.
	maxRetryAfter = 5 * time.Second
	// slotWait is what a call refused for its concurrency is told, as nothing
	// is known here of when another call ends: about one usual call.
	slotWait = 50 * time.Millisecond
	// golden spreads the times that successive refused calls are told evenly.
	golden = 0.6180339887498949

	shards = 64
)

// Decision is Allowed or Refused.
type Decision interface{ isDecision() }

// Allowed lets the call go on; Release must follow its end.
type Allowed struct{}

// Refused turns the call away; it has not run.
type Refused struct {
	quantity   Quantity
	retryAfter time.Duration
}

// Quantity returns which limit the call is over.
func (r Refused) Quantity() Quantity { return r.quantity }

// RetryAfter returns when the call may come back.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

func (Allowed) isDecision() {}
func (Refused) isDecision() {}

// Quantity is what a limit is about.
type Quantity uint8

// The quantities.
const (
	Rate Quantity = iota + 1
	Concurrency
)

// String returns the quantity as answers and metrics show it.
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

// Holder decides at one node by the shares that it holds.
type Holder struct {
	untold float64
	need   func()
	shards [shards]struct {
		mu   sync.Mutex
		orgs map[string]*account
	}
}

// Option sets one property of a holder.
type Option func(*Holder)

// DefaultShare sets the part of each limit that the node takes before its
// first grant.
func DefaultShare(part float64) Option { return func(h *Holder) { h.untold = part } }

// OnNeed has f called, without a lock held, for each call that is refused, or
// that comes for an organisation that the node has no share of yet. Without it a node that is new to an
// organisation refuses most of its calls until the next heartbeat, though the
// limit may be unused everywhere else. f must not block.
func OnNeed(f func()) Option { return func(h *Holder) { h.need = f } }

// NewHolder returns a holder without shares.
func NewHolder(opts ...Option) *Holder {
	h := &Holder{untold: defaultShare, need: func() {}}
	for _, opt := range opts {
		opt(h)
	}
	for i := range h.shards {
		h.shards[i].orgs = map[string]*account{}
	}
	return h
}

// account is one organisation at one node.
type account struct {
	born    time.Time
	share   share
	limit   Amounts
	tokens  float64
	filled  time.Time
	running int

	// Since the last report:
	since    time.Time
	arrivals int
	allowed  int
	peak     int
	// held is the time that all calls together have been running.
	held   time.Duration
	heldTo time.Time

	rateDemand float64
	hold       float64
	told       Amounts
	toldSeq    uint64
	toldOver   bool
	farewells  int

	backAt time.Time
	turn   float64
}

// Allow decides about a call of an organisation with a limit.
func (h *Holder) Allow(now time.Time, l snapshot.Limit) Decision {
	d, shared := h.decide(now, l)
	if _, refused := d.(Refused); refused || !shared {
		h.need()
	}
	return d
}

// decide returns the decision and whether the node has a share.
func (h *Holder) decide(now time.Time, l snapshot.Limit) (d Decision, shared bool) {
	s := h.shard(l.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.orgs[l.Organisation()]
	if a == nil {
		a = &account{born: now, since: now, heldTo: now, filled: now, tokens: 1}
		s.orgs[l.Organisation()] = a
	}
	a.limit = Of(l)
	a.arrivals++
	shared = a.share.seq != 0
	allowed := h.inForce(now, a)
	if float64(a.running) >= allowed.concurrency {
		return Refused{Concurrency, a.spread(slotWait)}, shared
	}
	a.fill(now, allowed.rate)
	if a.tokens < 1 && !shared {
		// The share that is asked for now tells more than the little that the
		// node has without one.
		return Refused{Rate, a.spread(shareWait)}, shared
	}
	if a.tokens < 1 {
		return Refused{Rate, a.rateBack(now, allowed.rate)}, shared
	}
	a.tokens--
	a.run(now, 1)
	a.allowed++
	return Allowed{}, shared
}

// Release tells that an allowed call has ended.
func (h *Holder) Release(now time.Time, organisation string) {
	s := h.shard(organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.orgs[organisation]; a != nil {
		a.run(now, -1)
	}
}

// run changes how many calls run and sums up their time.
func (a *account) run(now time.Time, by int) {
	a.held += time.Duration(a.running) * max(0, now.Sub(a.heldTo))
	a.heldTo = now
	a.running = max(0, a.running+by)
	a.peak = max(a.peak, a.running)
}

// Reports returns what the next heartbeat carries up: the organisations whose
// demand or share has changed or whose lease is half over, or all, until a ledger
// that took over has answered once. One without calls is forgotten when it has
// told so.
func (h *Holder) Reports(now time.Time, all bool) []Report {
	var out []Report
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for name, a := range s.orgs {
			want := a.demand(now)
			if a.idle(want) {
				want = Amounts{}
				if a.share.seq == 0 || a.farewells >= farewells {
					delete(s.orgs, name)
					continue
				}
			}
			if all || a.due(now, want) {
				out = append(out, a.report(name, want))
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (a *account) idle(want Amounts) bool { return a.running == 0 && want.rate < idleRate }

// due reports whether the ledger above has to hear.
func (a *account) due(now time.Time, want Amounts) bool {
	if a.toldSeq != a.share.seq || a.share.seq == 0 || want == (Amounts{}) || a.toldOver {
		return true
	}
	if want.rate > a.share.amount.rate || want.concurrency > a.share.amount.concurrency {
		// Shares below the demand move between nodes, and each step takes a
		// report of the node that has too much and of the one that has not.
		return true
	}
	half := a.share.until.Add(-a.share.lease / 2)
	return !now.Before(half) || sunk(a.told.rate, want.rate) || sunk(a.told.concurrency, want.concurrency)
}

func sunk(from, to float64) bool { return from >= telling && to < halved*from }

// report tells the calls at once that still run beyond a smaller share too: the
// ledger would otherwise let others begin before these have ended.
func (a *account) report(name string, want Amounts) Report {
	held := a.share.amount
	a.toldOver = float64(a.running) > held.concurrency
	held.concurrency = max(held.concurrency, float64(a.running))
	a.told, a.toldSeq = want, a.share.seq
	if want == (Amounts{}) && held == (Amounts{}) {
		a.farewells++
	} else {
		a.farewells = 0
	}
	return Report{name, want, a.share.seq, held, a.share.floor}
}

// Apply puts shares in force that answer reports sent at a time to the ledger
// that the node reports to now. A grant older than the one in force changes
// nothing, and neither does one asked for before the organisation was last
// forgotten: the ledger has been told since that nothing is held.
func (h *Holder) Apply(sentAt time.Time, grants []Grant) {
	for _, g := range grants {
		s := h.shard(g.organisation)
		s.mu.Lock()
		if a := s.orgs[g.organisation]; a != nil && g.seq > a.share.seq && !sentAt.Before(a.born) {
			a.share = shareOf(sentAt, g)
		}
		s.mu.Unlock()
	}
}

// Drop gives up all shares, for a node that moves to another relay while the
// one before may go on counting on them: both would hand out the same part.
func (h *Holder) Drop() {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, a := range s.orgs {
			a.share, a.toldSeq = share{}, 0
		}
		s.mu.Unlock()
	}
}

// inForce returns what the node may let in now.
func (h *Holder) inForce(now time.Time, a *account) Amounts {
	if a.share.seq == 0 {
		few := a.limit.times(h.untold)
		few.concurrency = max(1, math.Floor(few.concurrency))
		return few
	}
	return a.share.at(now).least(a.limit)
}

func (a *account) fill(now time.Time, rate float64) {
	most := max(1, rate*burst)
	if math.IsInf(rate, 1) {
		a.tokens, a.filled = most, now
		return
	}
	if d := now.Sub(a.filled); d > 0 {
		a.tokens += rate * d.Seconds()
		a.filled = now
	}
	a.tokens = min(a.tokens, most)
}

// rateBack gives each refused call a time of its own, as far apart as the
// share allows calls: told one time, they would all come in it again.
func (a *account) rateBack(now time.Time, rate float64) time.Duration {
	step := maxRetryAfter
	if rate > 0 {
		step = min(maxRetryAfter, time.Duration(float64(time.Second)/rate))
	}
	first := now.Add(time.Duration((1 - a.tokens) * float64(step)))
	a.backAt = a.backAt.Add(step)
	if a.backAt.Before(first) {
		a.backAt = first
	}
	if after := a.backAt.Sub(now); after < maxRetryAfter {
		return max(after, time.Millisecond)
	}
	a.backAt = now.Add(maxRetryAfter)
	return a.spread(maxRetryAfter / 2)
}

// spread returns a time between d and twice d.
func (a *account) spread(d time.Duration) time.Duration {
	_, a.turn = math.Modf(a.turn + golden)
	return d + time.Duration(a.turn*float64(d))
}

// demand returns what the node could use, and begins a new period. The calls at
// once follow from the arrivals and the time that a call takes: the number that
// run tells of the share that there is, not of the one that is needed.
func (a *account) demand(now time.Time) Amounts {
	a.run(now, 0)
	d := now.Sub(a.since).Seconds()
	switch {
	case d <= 0:
	case a.arrivals == 0 && a.rateDemand*d > surelyGone:
		a.rateDemand = 0
	default:
		a.rateDemand += smoothing * (float64(a.arrivals)/d - a.rateDemand)
	}
	if a.allowed > 0 {
		a.hold += smoothing * (a.held.Seconds()/float64(a.allowed) - a.hold)
	}
	want := Amounts{a.rateDemand * headroom, math.Ceil(max(float64(a.peak), a.rateDemand*a.hold*headroom))}
	a.since, a.arrivals, a.allowed, a.peak, a.held = now, 0, 0, a.running, 0
	return want
}

func (h *Holder) shard(name string) *struct {
	mu   sync.Mutex
	orgs map[string]*account
} {
	return &h.shards[xxh3.HashString(name)%shards]
}
