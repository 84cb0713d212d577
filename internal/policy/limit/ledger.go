package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// NodeLease is how long a node keeps a share without a heartbeat: several
	// lost ones, and short enough that the share of a crashed node is soon in
	// use again.
	NodeLease = 10 * time.Second
	// DomainLease is how long a failure domain that is cut off keeps its
	// share: regions lose each other for minutes.
	DomainLease = 15 * time.Minute
	// floorShare is the part of a limit that is split evenly and outlasts
	// leases, so that a child cut off for longer still lets some calls in; the
	// other three quarters move with demand.
	floorShare = 0.25
	// refresh is how often shares are worked out anew. Heartbeats come about
	// once a second; working it out with each would cost a relay of 190 nodes
	// 190 times as much for shares no fresher.
	refresh = 500 * time.Millisecond
	// sameShare is how little a share must have changed not to be granted anew:
	// shares move a little with each report of each child.
	sameShare = 0.1
	// silentAfter is when a child's demand is no longer believed: longer than a
	// holder takes between two reports of the same demand.
	silentAfter = NodeLease * 3 / 5
	// maxUnacked bounds the grants remembered for a child that acknowledges
	// none; older ones are merged into the largest.
	maxUnacked = 4
)

// Ledger hands out the shares of one organisation's limit.
type Ledger struct {
	mu    sync.Mutex
	limit Amounts
	// floors is the part of the limit that outlasts leases.
	floors Amounts
	// planned is how many children share the floors.
	planned int
	lease   time.Duration
	// Until quietUntil, or until none is expected any more, nothing is granted
	// beyond what children report that they hold.
	quietUntil time.Time
	expected   map[string]bool
	children   map[string]*child
	// seq is the number of the last grant to any child. One number for each
	// child would begin anew with one that was forgotten and returns, and a late
	// grant of before would pass for a newer one.
	seq uint64
	// total is the sum of what the children may be using, floorTotal that of
	// what they may be using once their leases have run out.
	total      Amounts
	floorTotal Amounts
	// short is whether the children want more than there is.
	short     bool
	refreshed time.Time
}

// child is one node or domain below a ledger.
type child struct {
	want     Amounts
	target   Amounts
	seq      uint64
	acked    uint64
	grants   []granted
	reserved Amounts
	floor    Amounts
	heard    time.Time
	removed  time.Time
	// forgotten is since when the child is idle and holds nothing. It is
	// remembered as long as a late report of its may still come, which would
	// otherwise pass for one of a child that holds something.
	forgotten time.Time
}

// granted is a grant that the child may hold.
type granted struct {
	seq    uint64
	amount Amounts
	// inUse is what the child last told to be still in use when this grant came
	// into force: a domain takes a smaller share from its nodes one by one.
	inUse      Amounts
	floor      Amounts
	floorInUse Amounts
	until      time.Time
}

// LedgerOption sets one property of a ledger.
type LedgerOption func(*Ledger)

// Limited sets the limit; without it nothing is granted.
func Limited(a Amounts) LedgerOption {
	return func(l *Ledger) { l.limit, l.floors = a, a.times(floorShare) }
}

// Lease sets how long a share is the child's without a word.
func Lease(d time.Duration) LedgerOption { return func(l *Ledger) { l.lease = d } }

// Planned sets among how many children the part is split that outlasts leases;
// without it there is none.
func Planned(n int) LedgerOption { return func(l *Ledger) { l.planned = n } }

// Expect names the children that may hold grants of a ledger before this one:
// once all have reported, nothing is unknown any more.
func Expect(children ...string) LedgerOption {
	return func(l *Ledger) {
		l.expected = make(map[string]bool, len(children))
		for _, name := range children {
			l.expected[name] = true
		}
	}
}

// NewLedger returns a ledger. It may take over from one that is gone, whose
// grants it does not know; so until all expected children have reported, or for
// one lease, it only confirms what they hold.
func NewLedger(now time.Time, opts ...LedgerOption) *Ledger {
	l := &Ledger{lease: NodeLease, children: map[string]*child{}}
	for _, opt := range opts {
		opt(l)
	}
	l.quietUntil = now.Add(l.lease)
	return l
}

// SetLimit changes the limit and the part of it that outlasts leases; shares
// follow as the children report.
func (l *Ledger) SetLimit(now time.Time, limit, floors Amounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit != limit || l.floors != floors {
		l.limit, l.floors = limit, floors
		l.refresh(now)
	}
}

// Declare changes the limit to another declared one.
func (l *Ledger) Declare(now time.Time, limit Amounts) {
	l.SetLimit(now, limit, limit.times(floorShare))
}

// Idle reports whether no child wants or may be using anything, and none is
// waited for.
func (l *Ledger) Idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return len(l.children) == 0 && (len(l.expected) == 0 || !now.Before(l.quietUntil))
}

// Report takes in a child's demand and returns its share, if that is another
// than the one it holds or the lease is half over. There is none yet for a child
// that holds nothing while the ledger does not know what others hold.
func (l *Ledger) Report(now time.Time, name string, r Report) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.note(now, name, r)
	if !ok {
		return Grant{}, false
	}
	quiet := now.Before(l.quietUntil)
	if now.Sub(l.refreshed) >= refresh {
		l.refresh(now)
	}
	if !c.forgotten.IsZero() {
		// Idle, and this report showed that nothing is left to take back.
		return Grant{}, false
	}
	l.reserve(now, c)
	if quiet && r.heldSeq == 0 {
		return Grant{}, false
	}
	unknown := l.unknown()
	amount := c.target.least(l.limit.minus(l.total.minus(c.reserved).plus(unknown)))
	if quiet {
		amount = amount.least(r.held)
	}
	amount = amount.whole()
	floor := l.floorFor(c, r.heldSeq, amount, unknown)
	amount = amount.most(floor)
	// A grant that was lost, or that went to a relay before this one, is not held.
	if r.heldSeq == c.seq && c.holds(now, amount, l.lease, l.short) {
		return Grant{}, false
	}
	l.seq = max(l.seq, c.seq) + 1
	c.seq = l.seq
	c.grants = append(c.grants, granted{seq: c.seq, amount: amount, floor: floor, until: now.Add(l.lease)})
	c.merge()
	l.reserve(now, c)
	return Grant{r.organisation, c.seq, amount, floor, l.lease}, true
}

// learn takes in a child's report without an answer.
func (l *Ledger) learn(now time.Time, name string, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(now, name, r)
}

// floorFor returns what stays the child's after its lease. It never shrinks
// while the child has a demand or does not know its last grant, so that a domain
// whose relay is replaced never has less than its nodes may still be keeping.
func (l *Ledger) floorFor(c *child, heldSeq uint64, amount, unknown Amounts) Amounts {
	if l.planned == 0 || (c.want == Amounts{} && heldSeq == c.seq) {
		return Amounts{}
	}
	if c.want == (Amounts{}) {
		return c.floor
	}
	left := l.floors.minus(l.floorTotal.minus(c.floor).plus(unknown))
	return l.floors.times(1 / float64(l.planned)).least(left).least(amount).whole().most(c.floor)
}

// unknown returns what expected children that have not reported may be keeping:
// their leases are over, but what outlasts a lease is not.
func (l *Ledger) unknown() Amounts {
	if len(l.expected) == 0 {
		return Amounts{}
	}
	return l.floors.minus(l.floorTotal)
}

// note takes in what a child reports, unless it has reported something later.
func (l *Ledger) note(now time.Time, name string, r Report) (*child, bool) {
	l.hear(now, name)
	c := l.children[name]
	if c == nil {
		c = &child{}
		if r.heldSeq > 0 {
			// Granted by a ledger before this one.
			c.seq = r.heldSeq
			c.grants = []granted{{seq: r.heldSeq, amount: r.held, floor: r.floor, until: now.Add(l.lease)}}
		}
		l.children[name] = c
		l.refreshed = time.Time{}
	}
	if r.heldSeq > 0 && r.heldSeq < c.acked {
		return nil, false
	}
	c.want, c.heard, c.removed, c.forgotten = r.want, now, time.Time{}, time.Time{}
	c.acknowledge(r)
	return c, true
}

// Heard tells that a child's heartbeat came, with a report or because it had
// nothing to report. To a new ledger a child reports all that it holds until it
// has been answered, or it would count as holding nothing.
func (l *Ledger) Heard(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hear(now, name)
	if c := l.children[name]; c != nil {
		c.heard = now
	}
}

// hear ends the quiet time when no child is left that may hold a grant which
// this ledger does not know.
func (l *Ledger) hear(now time.Time, name string) {
	if len(l.expected) == 0 {
		return
	}
	delete(l.expected, name)
	if len(l.expected) == 0 {
		l.quietUntil = now
	}
}

// Quiet reports whether children may hold grants that this ledger does not know.
func (l *Ledger) Quiet(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.quietUntil)
}

// Remove gives up a child that has gone for good. Its share stays counted for
// a node's lease, as nodes below it may still be using theirs.
func (l *Ledger) Remove(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hear(now, name)
	if c := l.children[name]; c != nil {
		c.removed = now.Add(min(l.lease, NodeLease))
	}
}

// Reserved returns the sums of what the children may be using now and after
// their leases.
func (l *Ledger) Reserved(now time.Time) (amount, floor Amounts) {
	amount, floor, _ = l.reserved(now)
	return amount, floor
}

// reserved also tells whether all expected children have been heard.
func (l *Ledger) reserved(now time.Time) (amount, floor Amounts, all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	unknown := l.unknown()
	return l.total.plus(unknown), l.floorTotal.plus(unknown), len(l.expected) == 0
}

// Want returns the sum of the children's demands.
func (l *Ledger) Want() Amounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum Amounts
	for _, c := range l.children {
		if c.removed.IsZero() {
			sum = sum.plus(c.want)
		}
	}
	return sum
}

// refresh works out all shares anew, and sums up the reservations again, which
// also takes the rounding of many sums and differences out.
func (l *Ledger) refresh(now time.Time) {
	l.refreshed = now
	l.total, l.floorTotal = Amounts{}, Amounts{}
	left := l.limit
	var sharing []*child
	var demands []Amounts
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		c := l.children[name]
		c.reserved, c.floor = c.mayUse(now), c.mayKeep()
		if c.gone(now) {
			delete(l.children, name)
			continue
		}
		l.total, l.floorTotal = l.total.plus(c.reserved), l.floorTotal.plus(c.floor)
		c.target = Amounts{}
		switch {
		case c.silent(now):
			// What it holds stays counted, and its demand, if there still is
			// any, can't be met: the others share what is left.
			left = left.minus(c.reserved)
			c.target = c.reserved
		case c.want != Amounts{}:
			sharing = append(sharing, c)
			demands = append(demands, c.want)
		}
	}
	var wanted Amounts
	for _, d := range demands {
		wanted = wanted.plus(d)
	}
	l.short = !wanted.within(left)
	// Children that are yet to come have a part of the rest kept for them. The
	// first to ask would else get all of it, and each further one nothing until
	// that has been taken back, child by child: seconds in which calls are
	// refused while the limit lies unused.
	for len(demands) < l.planned {
		demands = append(demands, Amounts{})
	}
	for i, share := range Allocate(left, demands)[:len(sharing)] {
		sharing[i].target = share
	}
}

// gone reports whether nothing is left to know of the child: it was removed a
// while ago, or it is idle and has shown long ago that it holds nothing.
func (c *child) gone(now time.Time) bool {
	if !c.removed.IsZero() {
		return !now.Before(c.removed)
	}
	if c.want != (Amounts{}) || c.reserved != (Amounts{}) || c.seq == 0 {
		return false
	}
	if c.forgotten.IsZero() {
		c.forgotten = now
	}
	return now.Sub(c.forgotten) >= 2*NodeLease
}

func (l *Ledger) reserve(now time.Time, c *child) {
	was, wasFloor := c.reserved, c.floor
	c.reserved, c.floor = c.mayUse(now), c.mayKeep()
	l.total = l.total.minus(was).plus(c.reserved)
	l.floorTotal = l.floorTotal.minus(wasFloor).plus(c.floor)
}

// mayUse returns the most that the child may be using: of each grant it has
// not shown to have left behind, the amount or, after the lease, the floor.
func (c *child) mayUse(now time.Time) Amounts {
	var most Amounts
	for _, g := range c.grants {
		if now.Before(g.until) {
			most = most.most(g.amount).most(g.inUse)
		}
	}
	return most.most(c.mayKeep())
}

// mayKeep returns the most that the child may be using after its lease.
func (c *child) mayKeep() Amounts {
	var most Amounts
	for _, g := range c.grants {
		most = most.most(g.floor).most(g.floorInUse)
	}
	return most
}

// acknowledge drops the grants before the one that the child has in force: it
// never returns to an older one. Until its next grant it uses no more than this
// one or, if that is more, what it tells to be still in use.
func (c *child) acknowledge(r Report) {
	if r.heldSeq == 0 {
		return
	}
	c.acked = r.heldSeq
	c.grants = slices.DeleteFunc(c.grants, func(g granted) bool { return g.seq < r.heldSeq })
	if len(c.grants) > 0 && c.grants[0].seq == r.heldSeq {
		c.grants[0].inUse, c.grants[0].floorInUse = r.held, r.floor
	}
}

// merge keeps the list of unacknowledged grants short and loses nothing: the
// merged one is as large as the largest and lasts as long as the longest. It
// keeps the later number, so that no acknowledgement drops it too early.
func (c *child) merge() {
	for len(c.grants) > maxUnacked {
		a, b := c.grants[0], c.grants[1]
		until := a.until
		if b.until.After(until) {
			until = b.until
		}
		c.grants[1] = granted{
			seq: b.seq, until: until, amount: a.amount.most(b.amount), inUse: a.inUse.most(b.inUse),
			floor: a.floor.most(b.floor), floorInUse: a.floorInUse.most(b.floorInUse),
		}
		c.grants = c.grants[1:]
	}
}

// holds reports whether the child has a grant in force that will do for amount.
func (c *child) holds(now time.Time, amount Amounts, lease time.Duration, short bool) bool {
	if len(c.grants) != 1 || c.grants[0].seq != c.seq {
		return false
	}
	g := c.grants[0]
	return g.until.Sub(now) > lease/2 && near(g.amount.rate, amount.rate, short) && near(g.amount.concurrency, amount.concurrency, short)
}

// near reports whether a held share is as good as amount. A little less does
// the child no harm; a little more does others none unless the limit is short.
func near(held, amount float64, short bool) bool {
	over := sameShare
	if short {
		over = sameShare / 10
	}
	return held == amount || (held <= amount*(1+over) && held >= amount*(1-sameShare))
}

// silent reports whether the child's demand is no longer known.
func (c *child) silent(now time.Time) bool { return now.Sub(c.heard) >= silentAfter }
