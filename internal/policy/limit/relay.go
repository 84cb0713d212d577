package limit

import (
	"sync"
	"time"
)

// Relay is the ledger of a failure domain, whose limit is a share of the
// fleet's. It is a child to the ledger above and a ledger to the nodes below.
type Relay struct {
	organisation string
	ledger       *Ledger

	mu    sync.Mutex
	share share
}

// share is a grant as its holder counts it.
type share struct {
	seq    uint64
	amount Amounts
	floor  Amounts
	until  time.Time
	lease  time.Duration
}

func shareOf(sentAt time.Time, g Grant) share {
	return share{g.seq, g.amount, g.floor, sentAt.Add(g.lease), g.lease}
}

// at returns what the share allows at a time.
func (s share) at(now time.Time) Amounts {
	if now.Before(s.until) {
		return s.amount
	}
	return s.floor
}

// NewRelay returns a relay that grants nothing before its first share.
func NewRelay(now time.Time, organisation string, opts ...LedgerOption) *Relay {
	return &Relay{organisation: organisation, ledger: NewLedger(now, opts...)}
}

// Up returns the relay's report to the ledger above. It tells what the nodes
// below may still be using, which after a smaller share is more than the share
// until they have acknowledged theirs: the ledger above would otherwise hand
// out again what they still hold. A relay that took over tells nothing for a
// lease, or until it has heard all nodes, and the ledger above must not be told
// that it was heard; after that it acknowledges nothing before it has.
func (r *Relay) Up(now time.Time) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Quiet(now) {
		return Report{}, false
	}
	held, floor, all := r.ledger.reserved(now)
	seq := r.share.seq
	if !all {
		seq = 0
	}
	return Report{r.organisation, r.ledger.Want(), seq, held, floor}, true
}

// Down puts a share from above in force that was asked for at a time.
func (r *Relay) Down(now, sentAt time.Time, g Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.seq <= r.share.seq {
		return
	}
	r.share = shareOf(sentAt, g)
	// What the nodes below get at the end of the lease they may use for a lease
	// of their own.
	r.share.until = r.share.until.Add(-NodeLease)
	r.ledger.SetLimit(now, r.share.at(now), r.share.floor)
}

// Report takes in a node's demand and returns its share of the domain's, as
// Ledger.Report does.
func (r *Relay) Report(now time.Time, node string, report Report) (Grant, bool) {
	r.mu.Lock()
	s := r.share
	r.mu.Unlock()
	if s.seq == 0 {
		// Without a share there is nothing to grant, and taking back what nodes
		// hold from a relay before this one would refuse calls for no reason.
		r.ledger.learn(now, node, report)
		return Grant{}, false
	}
	r.ledger.SetLimit(now, s.at(now), s.floor)
	return r.ledger.Report(now, node, report)
}

// Heard tells that a node's heartbeat came.
func (r *Relay) Heard(now time.Time, node string) { r.ledger.Heard(now, node) }

// Remove gives up a node that has gone for good.
func (r *Relay) Remove(now time.Time, node string) { r.ledger.Remove(now, node) }
