package quota

import (
	"context"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// tellEvery is how often a relay tells the seat of an organisation of which
// nothing has changed: twice within the time after which a ledger holds a
// child's demand for unknown.
const tellEvery = 3 * time.Second

// relay is the node's work for its failure domain while it is the root.
type relay struct {
	mu   sync.Mutex
	desk *desk
	orgs map[string]*domainShare
	// link is used by lead alone.
	link link
}

// domainShare is one organisation in the domain.
type domainShare struct {
	*limit.Relay
	told   limit.Report
	toldAt time.Time
}

// server answers for this node; the type keeps the service off Part's face.
type server struct{ p *Part }

// Service returns the handler to mount at the node's address for peers.
func (p *Part) Service() quotapb.TwirpServer { return quotapb.NewQuotaServer(server{p}) }

// Node implements quotapb.Quota.
func (s server) Node(_ context.Context, h *quotapb.Heartbeat) (*quotapb.Shares, error) {
	p, now := s.p, s.p.clock.Now()
	if !p.isRoot() {
		return &quotapb.Shares{Elsewhere: true}, nil
	}
	r := &p.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	p.takeDomain(now)
	resp := r.desk.answer(now)
	if !r.desk.current(now, h) {
		resp.Again = true
		return resp, nil
	}
	child := h.GetChild()
	if h.GetAll() {
		delete(r.desk.waiting, child)
	}
	for _, report := range fromReports(h.GetReports()) {
		o := r.orgs[report.Organisation()]
		if o == nil {
			o = &domainShare{Relay: limit.NewRelay(now, report.Organisation(),
				limit.Planned(p.members()), limit.Expect(r.desk.expected(child)...))}
			r.orgs[report.Organisation()] = o
		}
		if g, ok := o.Report(now, child, report); ok {
			resp.Grants = append(resp.Grants, toGrant(g))
		}
		if o.toldAt.IsZero() || o.Short(now) {
			hurry(p.short)
		}
	}
	if !r.desk.waiting[child] {
		for _, o := range r.orgs {
			o.Heard(now, child)
		}
	}
	if at := p.seek.known(); at.term != h.GetSeatTerm() && at.term != 0 {
		resp.Seat = toSeat(at)
	}
	return resp, nil
}

func (p *Part) isRoot() bool {
	root, ok := p.mesh.Root()
	return ok && root.Instance() == p.mesh.Self().Instance()
}

// members returns how many nodes the domain has.
func (p *Part) members() int { return max(1, len(p.live())) }

// live returns the names of the domain's nodes that may hold shares.
func (p *Part) live() []string {
	var out []string
	for _, m := range p.mesh.View().Members(p.mesh.View().Domain()) {
		if m.State() != membership.Gone {
			out = append(out, m.Instance())
		}
	}
	return out
}

// takeDomain begins the node's time as relay. The caller holds the lock.
func (p *Part) takeDomain(now time.Time) {
	r := &p.relay
	if r.desk != nil {
		return
	}
	d := newDesk(now, uint64(now.UnixNano()), p.live())
	r.desk, r.orgs = &d, map[string]*domainShare{}
	p.log.Emit(event.QuotaRelay, event.F("nodes", len(d.waiting)))
}

// lead sends what the domain wants to the seat and puts its share in force.
func (p *Part) lead(ctx context.Context) {
	if !p.isRoot() {
		p.resign(ctx)
		return
	}
	l := &p.relay.link
	if at := p.seek.known(); l.to != at.place || l.term != 0 && l.term != at.term {
		*l = linkTo(at.place)
	}
	p.relay.mu.Lock()
	p.takeDomain(p.clock.Now())
	p.giveUpGone(p.clock.Now())
	idle, quiet := len(p.relay.orgs) == 0, p.relay.quiet(p.clock.Now(), p.relay.link.all)
	p.relay.mu.Unlock()
	at, ok := p.findSeat(ctx, !idle || p.limited())
	if !ok || quiet || l.to != at.place {
		// Before all nodes have told what they hold, the seat would count for
		// nothing what is only not known yet.
		return
	}
	send := p.dial(l.to).Domain
	reports := p.relay.due(p.clock.Now(), l.all)
	if len(reports) == 0 && !l.all {
		return
	}
	if !p.greet(ctx, l, send, p.domainBeat(nil)) {
		p.seek.failed(at, l)
		return
	}
	resp, sentAt, ok := p.call(ctx, l, send, p.domainBeat(reports))
	if !ok {
		l.all = true
		p.seek.failed(at, l)
		return
	}
	p.seek.answered(at)
	p.relay.down(p.clock.Now(), sentAt, fromGrants(resp.GetGrants()))
}

func (p *Part) domainBeat(reports []limit.Report) *quotapb.Heartbeat {
	self := p.mesh.Self()
	return &quotapb.Heartbeat{Child: self.Domain(), Relay: self.Instance(), RelayBoot: self.Boot(), Reports: toReports(reports)}
}

// resign ends the node's time as relay and tells the seat, which then listens
// to the next one at once. What the nodes hold stays theirs and is told to it.
func (p *Part) resign(ctx context.Context) {
	p.relay.mu.Lock()
	was := p.relay.desk != nil
	p.relay.desk, p.relay.orgs = nil, nil
	p.relay.mu.Unlock()
	l := &p.relay.link
	if was && l.term != 0 {
		h := p.domainBeat(nil)
		h.Resigns = true
		// Lost, it costs the next relay a node's lease.
		send := p.dial(l.to).Domain
		if p.greet(ctx, l, send, p.domainBeat(nil)) {
			p.call(ctx, l, send, h)
		}
	}
	*l = link{}
}

// giveUpGone forgets nodes that have gone. The caller holds the lock.
func (p *Part) giveUpGone(now time.Time) {
	for _, m := range p.mesh.View().Members(p.mesh.View().Domain()) {
		if m.State() == membership.Gone {
			delete(p.relay.desk.waiting, m.Instance())
			for _, o := range p.relay.orgs {
				o.Remove(now, m.Instance())
			}
		}
	}
	for name, o := range p.relay.orgs {
		if o.told.Organisation() != "" && o.told.Want() == (limit.Amounts{}) && o.told.Held() == (limit.Amounts{}) && o.Idle(now) {
			delete(p.relay.orgs, name)
		}
	}
}

// quiet reports whether nodes may hold what this relay does not know, or, if the
// next report has to tell all that the domain holds, does not know of some
// organisation.
func (r *relay) quiet(now time.Time, all bool) bool {
	if len(r.desk.waiting) > 0 && now.Sub(r.desk.began) < limit.NodeLease {
		return true
	}
	for _, o := range r.orgs {
		if all && o.Quiet(now) {
			return true
		}
	}
	return false
}

// due returns the reports of the organisations of which something has changed,
// or of all.
func (r *relay) due(now time.Time, all bool) []limit.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []limit.Report
	for _, o := range r.orgs {
		report, ok := o.Up(now)
		if !ok {
			continue
		}
		if all || o.Short(now) || report.HeldSeq() != o.told.HeldSeq() || now.Sub(o.toldAt) >= tellEvery {
			o.told, o.toldAt = report, now
			out = append(out, report)
		}
	}
	return out
}

func (r *relay) down(now, sentAt time.Time, grants []limit.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range grants {
		if o := r.orgs[g.Organisation()]; o != nil {
			o.Down(now, sentAt, g)
		}
	}
}
