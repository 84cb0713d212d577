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

// reportInterval is how often a relay reports an organisation without changes to the
// leader: twice within the time after which the leader drops a child's demand.
const reportInterval = 3 * time.Second

// relay is the state of the node as relay of its failure domain, while it is the root.
type relay struct {
	mu   sync.Mutex
	term *allocatorTerm
	orgs map[string]*domainShare
	// Only the loop of sendDomainHeartbeat uses link.
	link link
}

// domainShare is the domain's share of one organisation's limit.
type domainShare struct {
	*limit.Relay
	reported   limit.Report
	reportedAt time.Time
}

// server implements the RPC service for other nodes.
type server struct{ agent *Agent }

// Service returns the handler for requests of other nodes.
func (a *Agent) Service() quotapb.TwirpServer { return quotapb.NewQuotaServer(server{a}) }

// Node implements quotapb.Quota.
func (s server) Node(_ context.Context, h *quotapb.Heartbeat) (*quotapb.Shares, error) {
	a, now := s.agent, s.agent.clock.Now()
	if !a.isRoot() {
		return &quotapb.Shares{Elsewhere: true}, nil
	}
	r := &a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	a.startRelayTerm(now)
	resp := r.term.newResponse(now)
	if !r.term.current(now, h) {
		resp.Again = true
		return resp, nil
	}
	child := h.GetChild()
	if h.GetAll() {
		delete(r.term.unreported, child)
	}
	for _, report := range reportsFromProto(h.GetReports()) {
		o := r.orgs[report.Organisation()]
		if o == nil {
			o = &domainShare{Relay: limit.NewRelay(now, report.Organisation(),
				limit.WithPlannedChildren(a.nodeCount()), limit.WithExpectedChildren(r.term.unreportedAnd(child)...))}
			r.orgs[report.Organisation()] = o
		}
		if g, ok := o.Report(now, child, report); ok {
			resp.Grants = append(resp.Grants, grantToProto(g))
		}
		if o.reportedAt.IsZero() || o.Oversubscribed(now) {
			signal(a.domainShareNeeded)
		}
	}
	if !r.term.unreported[child] {
		for _, o := range r.orgs {
			o.Heartbeat(now, child)
		}
	}
	if info := a.locator.known(); info.term != h.GetSeatTerm() && info.term != 0 {
		resp.Seat = seatToProto(info)
	}
	return resp, nil
}

func (a *Agent) isRoot() bool {
	root, ok := a.mesh.Root()
	return ok && root.Instance() == a.mesh.Self().Instance()
}

// nodeCount returns the number of the domain's nodes, at least 1.
func (a *Agent) nodeCount() int { return max(1, len(a.liveNodes())) }

// liveNodes returns the names of the domain's nodes that may hold shares.
func (a *Agent) liveNodes() []string {
	var out []string
	for _, m := range a.mesh.View().Members(a.mesh.View().Domain()) {
		if m.State() != membership.Gone {
			out = append(out, m.Instance())
		}
	}
	return out
}

// startRelayTerm begins the node's term as relay. The caller holds the lock.
func (a *Agent) startRelayTerm(now time.Time) {
	r := &a.relay
	if r.term != nil {
		return
	}
	term := newAllocatorTerm(now, uint64(now.UnixNano()), a.liveNodes())
	r.term, r.orgs = &term, map[string]*domainShare{}
	a.log.Emit(event.QuotaAllocating, event.F("nodes", len(term.unreported)))
}

// sendDomainHeartbeat reports the domain's demand to the leader and applies the
// grants of the response.
func (a *Agent) sendDomainHeartbeat(ctx context.Context) {
	if !a.isRoot() {
		a.resignAsRelay(ctx)
		return
	}
	l := &a.relay.link
	if info := a.locator.known(); l.parent != info.endpoint || l.term != 0 && l.term != info.term {
		*l = newLink(info.endpoint)
	}
	a.relay.mu.Lock()
	a.startRelayTerm(a.clock.Now())
	a.removeDeparted(a.clock.Now())
	idle, recovering := len(a.relay.orgs) == 0, a.relay.recovering(a.clock.Now(), a.relay.link.reportAll)
	a.relay.mu.Unlock()
	info, ok := a.findLeader(ctx, !idle || a.anyLimited())
	if !ok || recovering || l.parent != info.endpoint {
		// A relay that is still recovering must not report: the leader would count
		// what nodes hold but have not yet reported as unused.
		return
	}
	send := a.client(l.parent).Domain
	reports := a.relay.dueReports(a.clock.Now(), l.reportAll)
	if len(reports) == 0 && !l.reportAll {
		return
	}
	if !a.ensureStamp(ctx, l, send, a.newDomainHeartbeat(nil)) {
		a.locator.heartbeatFailed(info, l)
		return
	}
	resp, sentAt, ok := a.sendHeartbeat(ctx, l, send, a.newDomainHeartbeat(reports))
	if !ok {
		l.reportAll = true
		a.locator.heartbeatFailed(info, l)
		return
	}
	a.locator.heartbeatAccepted(info)
	a.relay.applyGrants(a.clock.Now(), sentAt, grantsFromProto(resp.GetGrants()))
}

func (a *Agent) newDomainHeartbeat(reports []limit.Report) *quotapb.Heartbeat {
	self := a.mesh.Self()
	return &quotapb.Heartbeat{Child: self.Domain(), Relay: self.Instance(), RelayBoot: self.Boot(), Reports: reportsToProto(reports)}
}

// resignAsRelay ends the node's term as relay and notifies the leader, which then
// accepts the next relay at once. Nodes keep their shares and report them to that relay.
func (a *Agent) resignAsRelay(ctx context.Context) {
	a.relay.mu.Lock()
	wasRelay := a.relay.term != nil
	a.relay.term, a.relay.orgs = nil, nil
	a.relay.mu.Unlock()
	l := &a.relay.link
	if wasRelay && l.term != 0 {
		h := a.newDomainHeartbeat(nil)
		h.Resigns = true
		// If this is lost, the next relay has to wait for a node's lease.
		send := a.client(l.parent).Domain
		if a.ensureStamp(ctx, l, send, a.newDomainHeartbeat(nil)) {
			a.sendHeartbeat(ctx, l, send, h)
		}
	}
	*l = link{}
}

// removeDeparted removes nodes that have left, and organisations without demand and
// shares. The caller holds the lock.
func (a *Agent) removeDeparted(now time.Time) {
	for _, m := range a.mesh.View().Members(a.mesh.View().Domain()) {
		if m.State() == membership.Gone {
			delete(a.relay.term.unreported, m.Instance())
			for _, o := range a.relay.orgs {
				o.Remove(now, m.Instance())
			}
		}
	}
	for name, o := range a.relay.orgs {
		if o.reported.Organisation() != "" && o.reported.Demand() == (limit.Amounts{}) && o.reported.Held() == (limit.Amounts{}) && o.Idle(now) {
			delete(a.relay.orgs, name)
		}
	}
}

// recovering reports whether nodes may hold grants that this relay has no report of.
// With all set, it also checks the shares of each organisation. The caller holds the
// lock.
func (r *relay) recovering(now time.Time, all bool) bool {
	if len(r.term.unreported) > 0 && now.Sub(r.term.startedAt) < limit.NodeLease {
		return true
	}
	for _, o := range r.orgs {
		if all && o.Recovering(now) {
			return true
		}
	}
	return false
}

// dueReports returns the reports of organisations whose active grant has changed,
// whose demand exceeds their share, or that haven't been reported for reportInterval;
// with all set, those of all organisations.
func (r *relay) dueReports(now time.Time, all bool) []limit.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []limit.Report
	for _, o := range r.orgs {
		report, ok := o.ParentReport(now)
		if !ok {
			continue
		}
		if all || o.Oversubscribed(now) || report.HeldSeq() != o.reported.HeldSeq() || now.Sub(o.reportedAt) >= reportInterval {
			o.reported, o.reportedAt = report, now
			out = append(out, report)
		}
	}
	return out
}

func (r *relay) applyGrants(now, sentAt time.Time, grants []limit.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range grants {
		if o := r.orgs[g.Organisation()]; o != nil {
			o.ApplyGrant(now, sentAt, g)
		}
	}
}
