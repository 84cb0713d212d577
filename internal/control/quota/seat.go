package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

const (
	// seatLease is how long a seat stands without the store: several lost
	// renewals, and short against a domain's lease, for which all keep their
	// shares without a seat.
	seatLease = 15 * time.Second
	// seatMargin is what the holder stops earlier: clocks that run a hundredth
	// apart would be worn out otherwise, and this is ten times as much.
	seatMargin = seatLease / 10
	// renewEvery leaves three tries within the lease and costs the store one
	// write in five seconds for the whole fleet.
	renewEvery = seatLease / 3
	// seatIdle is how long a seat is kept that nobody reports to, so that calls
	// now and then do not move it about.
	seatIdle = time.Minute
)

// seat is the node's work for the whole fleet while it keeps the ledger.
type seat struct {
	mu      sync.Mutex
	desk    *desk
	lease   platform.LeaseID
	renewed time.Time
	until   time.Time
	used    time.Time
	ledgers map[string]*limit.Ledger
	relays  map[string]speaker
}

// speaker is the relay that the seat listens to for a domain.
type speaker struct {
	name     string
	boot     uint64
	heard    time.Time
	resigned bool
}

// Domain implements quotapb.Quota.
func (s server) Domain(_ context.Context, h *quotapb.Heartbeat) (*quotapb.Shares, error) {
	p, now := s.p, s.p.clock.Now()
	t := &p.seat
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held(now) {
		return &quotapb.Shares{Elsewhere: true}, nil
	}
	resp := t.desk.answer(now)
	if !t.desk.current(now, h) || !p.listens(now, h) {
		resp.Again = true
		return resp, nil
	}
	if h.GetResigns() {
		return resp, nil
	}
	domain := h.GetChild()
	if h.GetAll() {
		delete(t.desk.waiting, domain)
	}
	for _, r := range fromReports(h.GetReports()) {
		declared, ok := p.declared(r.Organisation())
		if !ok {
			continue
		}
		t.used = now
		l := t.ledgers[r.Organisation()]
		if l == nil {
			l = limit.NewLedger(now, limit.Limited(limit.Of(declared)), limit.Lease(limit.DomainLease),
				limit.Planned(len(p.domains())), limit.Expect(t.desk.expected(domain)...))
			t.ledgers[r.Organisation()] = l
		}
		l.Declare(now, limit.Of(declared))
		if g, ok := l.Report(now, domain, r); ok {
			resp.Grants = append(resp.Grants, toGrant(g))
		}
	}
	if !t.desk.waiting[domain] {
		for _, l := range t.ledgers {
			l.Heard(now, domain)
		}
	}
	return resp, nil
}

// held reports whether the seat is surely this node's. The caller holds the lock.
func (t *seat) held(now time.Time) bool { return t.desk != nil && now.Before(t.until) }

// listens reports whether a relay is the one that speaks for its domain. Another
// one is heard when that one has resigned or been silent for a node's lease:
// both would use the domain's share, each for its own nodes. One that has been
// announced as gone is not waited for. The caller holds the lock.
func (p *Part) listens(now time.Time, h *quotapb.Heartbeat) bool {
	domain := h.GetChild()
	was, ok := p.seat.relays[domain]
	if ok && (was.name != h.GetRelay() || was.boot != h.GetRelayBoot()) {
		if h.GetResigns() || !was.resigned && now.Sub(was.heard) < limit.NodeLease && !p.gone(domain, was) {
			return false
		}
	}
	p.seat.relays[domain] = speaker{h.GetRelay(), h.GetRelayBoot(), now, h.GetResigns()}
	return true
}

func (p *Part) gone(domain string, s speaker) bool {
	r, ok := p.mesh.View().Record(domain, s.name)
	return ok && (r.Boot() > s.boot || r.State() == membership.Gone)
}

// domains returns the failure domains that may hold shares.
func (p *Part) domains() []string {
	seen := map[string]bool{}
	var out []string
	for _, r := range p.mesh.View().Records() {
		if r.State() != membership.Gone && !seen[r.Domain()] {
			seen[r.Domain()] = true
			out = append(out, r.Domain())
		}
	}
	return out
}

// sit begins the node's time as the seat.
func (p *Part) sit(now time.Time, lease platform.LeaseID, asked time.Time, term uint64) {
	d := newDesk(now, term, p.domains())
	t := &p.seat
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk, t.lease, t.renewed, t.used = &d, lease, asked, now
	t.until = asked.Add(seatLease - seatMargin)
	t.ledgers, t.relays = map[string]*limit.Ledger{}, map[string]speaker{}
	hurry(p.seated)
	p.log.Emit(event.QuotaSeated, event.F("term", term), event.F("failure_domains", len(d.waiting)))
}

// keep renews the seat's lease, calls on domains that have not told what they
// hold, and gives the seat up when nobody needs it.
func (p *Part) keep(ctx context.Context) {
	now := p.clock.Now()
	t := &p.seat
	t.mu.Lock()
	if t.desk == nil {
		t.mu.Unlock()
		return
	}
	t.prune(now, p.domains())
	unused := len(t.ledgers) == 0 && now.Sub(t.used) >= seatIdle && !p.limited()
	lease, due, term := t.lease, now.Sub(t.renewed) >= renewEvery, t.desk.term
	var waiting []string
	if t.held(now) {
		waiting = t.desk.expected("")[1:]
	}
	t.mu.Unlock()
	switch {
	case unused:
		p.stand()
		// A lost answer only lets the lease run out.
		_ = p.store.Revoke(ctx, lease)
		return
	case due:
		p.renew(ctx, lease)
	}
	p.summon(ctx, term, waiting)
}

// prune drops the domains that have gone and the ledgers of organisations that
// nobody holds a share of.
func (t *seat) prune(now time.Time, domains []string) {
	for name := range t.desk.waiting {
		if !slices.Contains(domains, name) {
			delete(t.desk.waiting, name)
			t.remove(now, name)
		}
	}
	for name := range t.relays {
		if !slices.Contains(domains, name) {
			delete(t.relays, name)
			t.remove(now, name)
		}
	}
	for name, l := range t.ledgers {
		if l.Idle(now) {
			delete(t.ledgers, name)
		}
	}
}

func (t *seat) remove(now time.Time, domain string) {
	for _, l := range t.ledgers {
		l.Remove(now, domain)
	}
}

// stand ends the node's time as the seat, if it was, and returns its lease.
func (p *Part) stand() (platform.LeaseID, bool) {
	p.seat.mu.Lock()
	defer p.seat.mu.Unlock()
	was := p.seat.desk != nil
	p.seat.desk = nil
	return p.seat.lease, was
}

// renew starts the lease's time anew. Only the store's word that the lease has
// ended ends the seat: while the store is out nobody else can take it, and the
// ledger is of use again if the lease still stands when the store is back.
func (p *Part) renew(ctx context.Context, lease platform.LeaseID) {
	asked := p.clock.Now()
	err := p.store.KeepAlive(ctx, lease)
	var expired *platform.LeaseExpiredError
	switch {
	case err == nil:
		p.seat.mu.Lock()
		p.seat.renewed, p.seat.until = asked, asked.Add(seatLease-seatMargin)
		p.seat.mu.Unlock()
	case errors.As(err, &expired):
		p.log.Emit(event.QuotaSeatLost, event.F("error", err))
		p.stand()
	}
}

// summon tells the relays of domains where the seat is. Those whose domain has
// no calls would not look for it, and until all have told what they hold nothing
// new is granted.
func (p *Part) summon(ctx context.Context, term uint64, domains []string) {
	self := p.mesh.Self()
	at := toSeat(seatAt{placeOf(self), term})
	records := p.mesh.View().Records()
	var wg sync.WaitGroup
	for _, d := range domains {
		root, ok := tree.Root(d, records)
		if !ok {
			continue
		}
		wg.Go(func() {
			cctx, cancel := p.clock.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A domain that does not answer is called again at the next tick.
			_, _ = p.dial(placeOf(root)).Seated(cctx, at)
			p.count.sent(at, 0)
		})
	}
	wg.Wait()
}
