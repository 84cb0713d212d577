package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// NodeLease is how long a node keeps a share without a heartbeat: longer than a
	// few lost heartbeats, and short enough that a crashed node's share is soon in
	// use again.
	NodeLease = 10 * time.Second
	// DomainLease is how long a partitioned failure domain keeps its share:
	// partitions between regions last minutes.
	DomainLease = 15 * time.Minute
	// floorShare is the part of a limit that is split evenly and doesn't expire with
	// leases, so that a child partitioned beyond its lease still admits some calls.
	floorShare = 0.25
	// refreshInterval is the least time between two computations of all shares. If
	// each heartbeat computed them, the cost would grow with the square of the number
	// of children.
	refreshInterval = 500 * time.Millisecond
	// shareTolerance is the relative difference below which a share isn't granted
	// anew; shares change a little with each report of each child.
	shareTolerance = 0.1
	// unresponsiveAfter is the time without a heartbeat after which a child's last
	// demand is ignored: longer than the interval between two reports of an unchanged
	// demand.
	unresponsiveAfter = NodeLease * 3 / 5
	// maxUnacked bounds the recorded grants of a child that acknowledges none; older
	// grants are merged.
	maxUnacked = 4
)

// Allocator splits the limit of one organisation among children.
type Allocator struct {
	mu    sync.Mutex
	limit Amounts
	// floorLimit is the part of the limit that doesn't expire with leases, and
	// plannedChildren the number of children that share it.
	floorLimit      Amounts
	plannedChildren int
	lease           time.Duration
	// Until recoveryUntil, or until all expected children have reported, grants
	// only confirm what children report to hold.
	recoveryUntil time.Time
	expected      map[string]bool
	children      map[string]*child
	// lastSeq is the sequence number of the last grant to any child. A counter per
	// child would restart when a removed child reports again, and a delayed earlier
	// grant would be taken for a newer one.
	lastSeq uint64
	// total is the sum of what the children may be using, floorTotal of what they
	// may be using after their leases have expired.
	total      Amounts
	floorTotal Amounts
	// oversubscribed is whether the children's demand exceeds the limit.
	oversubscribed bool
	refreshedAt    time.Time
}

// child is a node or failure domain that gets its share from an allocator.
type child struct {
	demand        Amounts
	allocated     Amounts
	grantSeq      uint64
	ackedSeq      uint64
	grants        []granted
	reserved      Amounts
	floor         Amounts
	lastHeartbeat time.Time
	removeAt      time.Time
	// idleSince is when the child became idle without a share, or zero. An idle child
	// is kept while a delayed report of it may still arrive, since that would
	// otherwise be taken for the report of a child that holds a share.
	idleSince time.Time
}

// granted is a grant that the child may hold.
type granted struct {
	seq    uint64
	amount Amounts
	// inUse and floorInUse are what the child last reported to be using under this
	// grant. They may exceed the grant, as a domain reduces its nodes' shares one
	// after the other.
	inUse      Amounts
	floor      Amounts
	floorInUse Amounts
	expires    time.Time
}

// AllocatorOption configures an Allocator.
type AllocatorOption func(*Allocator)

// WithLimit sets the limit; without it nothing is granted.
func WithLimit(a Amounts) AllocatorOption {
	return func(l *Allocator) { l.limit, l.floorLimit = a, a.times(floorShare) }
}

// WithLease sets how long a share is valid without a heartbeat; the default is
// NodeLease.
func WithLease(d time.Duration) AllocatorOption { return func(l *Allocator) { l.lease = d } }

// WithPlannedChildren sets how many children share the part of the limit that doesn't
// expire with leases; without it there is no such part.
func WithPlannedChildren(n int) AllocatorOption { return func(l *Allocator) { l.plannedChildren = n } }

// WithExpectedChildren names the children that may hold grants of a previous
// allocator; until all of them have reported, new grants only confirm those.
func WithExpectedChildren(children ...string) AllocatorOption {
	return func(l *Allocator) {
		l.expected = make(map[string]bool, len(children))
		for _, name := range children {
			l.expected[name] = true
		}
	}
}

// NewAllocator returns an allocator. Children may hold grants of a previous
// allocator, so until all expected children have reported, or for one lease, it
// only confirms what they hold.
func NewAllocator(now time.Time, opts ...AllocatorOption) *Allocator {
	a := &Allocator{lease: NodeLease, children: map[string]*child{}}
	for _, opt := range opts {
		opt(a)
	}
	a.recoveryUntil = now.Add(a.lease)
	return a
}

// SetLimit changes the limit and the part of it that doesn't expire with leases.
// Shares follow as the children report.
func (a *Allocator) SetLimit(now time.Time, limit, floors Amounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit != limit || a.floorLimit != floors {
		a.limit, a.floorLimit = limit, floors
		a.refresh(now)
	}
}

// SetDeclaredLimit changes the limit to another declared one.
func (a *Allocator) SetDeclaredLimit(now time.Time, limit Amounts) {
	a.SetLimit(now, limit, limit.times(floorShare))
}

// Idle reports whether no child has demand or may be using anything, and none is
// still expected to report.
func (a *Allocator) Idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return len(a.children) == 0 && (len(a.expected) == 0 || !now.Before(a.recoveryUntil))
}

// Report records a child's report and returns its share, if that differs from the
// one that the child holds or the child's lease is half over. While it is unknown
// what other children hold, a child that holds nothing gets no grant.
func (a *Allocator) Report(now time.Time, name string, r Report) (Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.recordReport(now, name, r)
	if !ok {
		return Grant{}, false
	}
	recovering := now.Before(a.recoveryUntil)
	if now.Sub(a.refreshedAt) >= refreshInterval {
		a.refresh(now)
	}
	if !c.idleSince.IsZero() {
		// The child is idle, and its report acknowledges that it holds nothing.
		return Grant{}, false
	}
	a.updateReservation(now, c)
	if recovering && r.heldSeq == 0 {
		return Grant{}, false
	}
	unreported := a.unreportedFloors()
	amount := c.allocated.min(a.limit.minus(a.total.minus(c.reserved).plus(unreported)))
	if recovering {
		amount = amount.min(r.held)
	}
	amount = amount.wholeCalls()
	floor := a.floorGrant(c, r.heldSeq, amount, unreported)
	amount = amount.max(floor)
	// The child's last grant may not have reached it: the response was lost, or went
	// to a previous relay.
	if r.heldSeq == c.grantSeq && c.sufficient(now, amount, a.lease, a.oversubscribed) {
		return Grant{}, false
	}
	a.lastSeq = max(a.lastSeq, c.grantSeq) + 1
	c.grantSeq = a.lastSeq
	c.grants = append(c.grants, granted{seq: c.grantSeq, amount: amount, floor: floor, expires: now.Add(a.lease)})
	c.mergeOldest()
	a.updateReservation(now, c)
	return Grant{r.organisation, c.grantSeq, amount, floor, a.lease}, true
}

// recordOnly records a child's report without a grant.
func (a *Allocator) recordOnly(now time.Time, name string, r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordReport(now, name, r)
}

// floorGrant returns the part of a share that the child keeps after its lease. It
// never shrinks while the child has a demand or hasn't acknowledged its last grant,
// so that a domain whose relay is replaced never has less than its nodes may still
// be using.
func (a *Allocator) floorGrant(c *child, heldSeq uint64, amount, unreported Amounts) Amounts {
	if a.plannedChildren == 0 || (c.demand == Amounts{} && heldSeq == c.grantSeq) {
		return Amounts{}
	}
	if c.demand == (Amounts{}) {
		return c.floor
	}
	available := a.floorLimit.minus(a.floorTotal.minus(c.floor).plus(unreported))
	return a.floorLimit.times(1 / float64(a.plannedChildren)).min(available).min(amount).wholeCalls().max(c.floor)
}

// unreportedFloors returns the most that expected children that haven't reported
// may be using. Their leases have expired by the time anything new is granted, but
// floors don't expire.
func (a *Allocator) unreportedFloors() Amounts {
	if len(a.expected) == 0 {
		return Amounts{}
	}
	return a.floorLimit.minus(a.floorTotal)
}

// recordReport records a child's report. It returns false if the child has
// acknowledged a later grant before. The caller holds the lock.
func (a *Allocator) recordReport(now time.Time, name string, r Report) (*child, bool) {
	a.markReported(now, name)
	c := a.children[name]
	if c == nil {
		c = &child{}
		if r.heldSeq > 0 {
			// Granted by a previous allocator.
			c.grantSeq = r.heldSeq
			c.grants = []granted{{seq: r.heldSeq, amount: r.held, floor: r.floor, expires: now.Add(a.lease)}}
		}
		a.children[name] = c
		a.refreshedAt = time.Time{}
	}
	if r.heldSeq > 0 && r.heldSeq < c.ackedSeq {
		return nil, false
	}
	c.demand, c.lastHeartbeat, c.removeAt, c.idleSince = r.demand, now, time.Time{}, time.Time{}
	c.acknowledge(r)
	return c, true
}

// Heartbeat records a child's heartbeat, with reports or without. A child's first
// heartbeat to a new allocator has to report all that the child holds: what it
// leaves out counts as unused.
func (a *Allocator) Heartbeat(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markReported(now, name)
	if c := a.children[name]; c != nil {
		c.lastHeartbeat = now
	}
}

// markReported ends the recovery once all expected children have reported. The
// caller holds the lock.
func (a *Allocator) markReported(now time.Time, name string) {
	if len(a.expected) == 0 {
		return
	}
	delete(a.expected, name)
	if len(a.expected) == 0 {
		a.recoveryUntil = now
	}
}

// Recovering reports whether children may hold unreported grants of a previous
// allocator.
func (a *Allocator) Recovering(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.recoveryUntil)
}

// Remove removes a child that has left for good. Its share stays reserved for a
// node's lease, as the nodes of a domain may still be using theirs.
func (a *Allocator) Remove(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markReported(now, name)
	if c := a.children[name]; c != nil {
		c.removeAt = now.Add(min(a.lease, NodeLease))
	}
}

// Reserved returns the sums of what the children may be using now and after
// their leases.
func (a *Allocator) Reserved(now time.Time) (amount, floor Amounts) {
	amount, floor, _ = a.reservations(now)
	return amount, floor
}

// reservations returns what Reserved does, and whether all expected children have
// reported.
func (a *Allocator) reservations(now time.Time) (amount, floor Amounts, allReported bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	unreported := a.unreportedFloors()
	return a.total.plus(unreported), a.floorTotal.plus(unreported), len(a.expected) == 0
}

// Demand returns the sum of the children's demands.
func (a *Allocator) Demand() Amounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum Amounts
	for _, c := range a.children {
		if c.removeAt.IsZero() {
			sum = sum.plus(c.demand)
		}
	}
	return sum
}

// refresh computes all shares and the totals; summing these anew removes the
// rounding errors of updateReservation. The caller holds the lock.
func (a *Allocator) refresh(now time.Time) {
	a.refreshedAt = now
	a.total, a.floorTotal = Amounts{}, Amounts{}
	available := a.limit
	var requesting []*child
	var demands []Amounts
	for _, name := range slices.Sorted(maps.Keys(a.children)) {
		c := a.children[name]
		c.reserved, c.floor = c.maxInUse(now), c.maxAfterLease()
		if c.removable(now) {
			delete(a.children, name)
			continue
		}
		a.total, a.floorTotal = a.total.plus(c.reserved), a.floorTotal.plus(c.floor)
		c.allocated = Amounts{}
		switch {
		case c.unresponsive(now):
			// What an unresponsive child holds stays reserved. Its demand is unknown, so
			// the other children share the rest.
			available = available.minus(c.reserved)
			c.allocated = c.reserved
		case c.demand != Amounts{}:
			requesting = append(requesting, c)
			demands = append(demands, c.demand)
		}
	}
	var demandSum Amounts
	for _, d := range demands {
		demandSum = demandSum.plus(d)
	}
	a.oversubscribed = !demandSum.within(available)
	// Part of the limit is kept for children that haven't reported yet. Otherwise the
	// first child would get all of it, and calls at others would be refused for
	// seconds, until its share has been reduced.
	for len(demands) < a.plannedChildren {
		demands = append(demands, Amounts{})
	}
	for i, share := range Allocate(available, demands)[:len(requesting)] {
		requesting[i].allocated = share
	}
}

// removable reports whether the child's state can be deleted: Remove was called and
// the leases of the child's nodes are over, or it has been idle without a share for
// two leases.
func (c *child) removable(now time.Time) bool {
	if !c.removeAt.IsZero() {
		return !now.Before(c.removeAt)
	}
	if c.demand != (Amounts{}) || c.reserved != (Amounts{}) || c.grantSeq == 0 {
		return false
	}
	if c.idleSince.IsZero() {
		c.idleSince = now
	}
	return now.Sub(c.idleSince) >= 2*NodeLease
}

// updateReservation updates the child's reservation and the totals.
func (a *Allocator) updateReservation(now time.Time, c *child) {
	oldReserved, oldFloor := c.reserved, c.floor
	c.reserved, c.floor = c.maxInUse(now), c.maxAfterLease()
	a.total = a.total.minus(oldReserved).plus(c.reserved)
	a.floorTotal = a.floorTotal.minus(oldFloor).plus(c.floor)
}

// maxInUse returns the most that the child may be using: the maximum, over the
// grants that it hasn't acknowledged as replaced, of the amount or, after the lease,
// the floor.
func (c *child) maxInUse(now time.Time) Amounts {
	var maxAmount Amounts
	for _, g := range c.grants {
		if now.Before(g.expires) {
			maxAmount = maxAmount.max(g.amount).max(g.inUse)
		}
	}
	return maxAmount.max(c.maxAfterLease())
}

// maxAfterLease returns the most that the child may be using after its lease.
func (c *child) maxAfterLease() Amounts {
	var maxFloor Amounts
	for _, g := range c.grants {
		maxFloor = maxFloor.max(g.floor).max(g.floorInUse)
	}
	return maxFloor
}

// acknowledge drops the grants older than the child's active one, as a child never
// returns to an older grant. Until the next grant the child uses no more than the
// active one or, if that is more, what it reports to be using.
func (c *child) acknowledge(r Report) {
	if r.heldSeq == 0 {
		return
	}
	c.ackedSeq = r.heldSeq
	c.grants = slices.DeleteFunc(c.grants, func(g granted) bool { return g.seq < r.heldSeq })
	if len(c.grants) > 0 && c.grants[0].seq == r.heldSeq {
		c.grants[0].inUse, c.grants[0].floorInUse = r.held, r.floor
	}
}

// mergeOldest bounds the number of unacknowledged grants. The merged grant has the
// larger amounts and the later expiry of the two, so nothing that the child may hold
// is left out, and the later sequence number, so that no acknowledgement drops it
// too early.
func (c *child) mergeOldest() {
	for len(c.grants) > maxUnacked {
		a, b := c.grants[0], c.grants[1]
		expires := a.expires
		if b.expires.After(expires) {
			expires = b.expires
		}
		c.grants[1] = granted{
			seq: b.seq, expires: expires, amount: a.amount.max(b.amount), inUse: a.inUse.max(b.inUse),
			floor: a.floor.max(b.floor), floorInUse: a.floorInUse.max(b.floorInUse),
		}
		c.grants = c.grants[1:]
	}
}

// sufficient reports whether the child holds a grant close enough to amount, with
// more than half of its lease left.
func (c *child) sufficient(now time.Time, amount Amounts, lease time.Duration, oversubscribed bool) bool {
	if len(c.grants) != 1 || c.grants[0].seq != c.grantSeq {
		return false
	}
	g := c.grants[0]
	return g.expires.Sub(now) > lease/2 && closeEnough(g.amount.rate, amount.rate, oversubscribed) && closeEnough(g.amount.concurrency, amount.concurrency, oversubscribed)
}

// closeEnough reports whether a held share can stay in place of amount. A held
// share that is slightly too large harms other children only if the limit is
// oversubscribed.
func closeEnough(held, amount float64, oversubscribed bool) bool {
	excess := shareTolerance
	if oversubscribed {
		excess = shareTolerance / 10
	}
	return held == amount || (held <= amount*(1+excess) && held >= amount*(1-shareTolerance))
}

// unresponsive reports whether the child's last heartbeat is too old for its demand
// to count.
func (c *child) unresponsive(now time.Time) bool {
	return now.Sub(c.lastHeartbeat) >= unresponsiveAfter
}
