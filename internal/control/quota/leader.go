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
	// leaderLease is the lease of the leader's key: longer than a few failed renewals,
	// and short compared with a domain's lease, during which domains keep their shares
	// without a leader.
	leaderLease = 15 * time.Second
	// leaseMargin is how much earlier the leader stops than the store's lease ends.
	// It allows for clocks whose rates differ by 10 %.
	leaseMargin = leaderLease / 10
	// renewInterval is the time between renewals of the lease.
	renewInterval = leaderLease / 3
	// idleTimeout is how long a leader without reports stays leader, so that
	// occasional calls don't cause repeated elections.
	idleTimeout = time.Minute
)

// leader is the state of the node as quota leader. It may grant until validUntil.
type leader struct {
	mu         sync.Mutex
	term       *allocatorTerm
	lease      platform.LeaseID
	renewedAt  time.Time
	validUntil time.Time
	lastUsed   time.Time
	allocators map[string]*limit.Allocator
	relays     map[string]relayInstance
}

// relayInstance is the relay that the leader accepts for a domain.
type relayInstance struct {
	name          string
	boot          uint64
	lastHeartbeat time.Time
	resigned      bool
}

// Domain implements quotapb.Quota.
func (s server) Domain(_ context.Context, h *quotapb.Heartbeat) (*quotapb.Shares, error) {
	a, now := s.agent, s.agent.clock.Now()
	ld := &a.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.leading(now) {
		return &quotapb.Shares{Elsewhere: true}, nil
	}
	resp := ld.term.newResponse(now)
	if !ld.term.current(now, h) || !a.acceptsRelay(now, h) {
		resp.Again = true
		return resp, nil
	}
	if h.GetResigns() {
		return resp, nil
	}
	domain := h.GetChild()
	if h.GetAll() {
		delete(ld.term.unreported, domain)
	}
	for _, r := range reportsFromProto(h.GetReports()) {
		declared, ok := a.declared(r.Organisation())
		if !ok {
			continue
		}
		ld.lastUsed = now
		alloc := ld.allocators[r.Organisation()]
		if alloc == nil {
			alloc = limit.NewAllocator(now, limit.WithLimit(limit.AmountsOf(declared)), limit.WithLease(limit.DomainLease),
				limit.WithPlannedChildren(len(a.domains())), limit.WithExpectedChildren(ld.term.unreportedAnd(domain)...))
			ld.allocators[r.Organisation()] = alloc
		}
		alloc.SetDeclaredLimit(now, limit.AmountsOf(declared))
		if g, ok := alloc.Report(now, domain, r); ok {
			resp.Grants = append(resp.Grants, grantToProto(g))
		}
	}
	if !ld.term.unreported[domain] {
		for _, alloc := range ld.allocators {
			alloc.Heartbeat(now, domain)
		}
	}
	return resp, nil
}

// leading reports whether the node is the leader and its lease has not expired. The
// caller holds the lock.
func (ld *leader) leading(now time.Time) bool { return ld.term != nil && now.Before(ld.validUntil) }

// acceptsRelay reports whether the leader accepts the heartbeat's relay for its
// domain, and records it if so. Another relay is accepted only when the current one has
// resigned, left, restarted, or been unresponsive for a node's lease: otherwise both
// would grant the domain's share. The caller holds the lock.
func (a *Agent) acceptsRelay(now time.Time, h *quotapb.Heartbeat) bool {
	domain := h.GetChild()
	current, ok := a.leader.relays[domain]
	if ok && (current.name != h.GetRelay() || current.boot != h.GetRelayBoot()) {
		if h.GetResigns() || !current.resigned && now.Sub(current.lastHeartbeat) < limit.NodeLease && !a.relayGone(domain, current) {
			return false
		}
	}
	a.leader.relays[domain] = relayInstance{h.GetRelay(), h.GetRelayBoot(), now, h.GetResigns()}
	return true
}

// relayGone reports whether the relay has left or restarted.
func (a *Agent) relayGone(domain string, relay relayInstance) bool {
	r, ok := a.mesh.View().Record(domain, relay.name)
	return ok && (r.Boot() > relay.boot || r.State() == membership.Gone)
}

// domains returns the failure domains that may hold shares.
func (a *Agent) domains() []string {
	seen := map[string]bool{}
	var out []string
	for _, r := range a.mesh.View().Records() {
		if r.State() != membership.Gone && !seen[r.Domain()] {
			seen[r.Domain()] = true
			out = append(out, r.Domain())
		}
	}
	return out
}

// becomeLeader begins the node's term as leader.
func (a *Agent) becomeLeader(now time.Time, lease platform.LeaseID, requestedAt time.Time, term uint64) {
	newTerm := newAllocatorTerm(now, term, a.domains())
	ld := &a.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.term, ld.lease, ld.renewedAt, ld.lastUsed = &newTerm, lease, requestedAt, now
	ld.validUntil = requestedAt.Add(leaderLease - leaseMargin)
	ld.allocators, ld.relays = map[string]*limit.Allocator{}, map[string]relayInstance{}
	signal(a.leaderStarted)
	a.log.Emit(event.QuotaLeaderElected, event.F("term", term), event.F("failure_domains", len(newTerm.unreported)))
}

// maintainLeadership renews the leader's lease, announces the leader to domains that
// haven't reported, and resigns when the leader is no longer needed.
func (a *Agent) maintainLeadership(ctx context.Context) {
	now := a.clock.Now()
	ld := &a.leader
	ld.mu.Lock()
	if ld.term == nil {
		ld.mu.Unlock()
		return
	}
	ld.prune(now, a.domains())
	unused := len(ld.allocators) == 0 && now.Sub(ld.lastUsed) >= idleTimeout && !a.anyLimited()
	lease, due, term := ld.lease, now.Sub(ld.renewedAt) >= renewInterval, ld.term.id
	var unreported []string
	if ld.leading(now) {
		unreported = ld.term.unreportedAnd("")[1:]
	}
	ld.mu.Unlock()
	switch {
	case unused:
		a.endLeadership()
		// If this fails the lease expires by itself.
		_ = a.store.Revoke(ctx, lease)
		return
	case due:
		a.renewLease(ctx, lease)
	}
	a.announceLeader(ctx, term, unreported)
}

// prune removes domains that have left, and organisations without demand and shares.
func (ld *leader) prune(now time.Time, domains []string) {
	for name := range ld.term.unreported {
		if !slices.Contains(domains, name) {
			delete(ld.term.unreported, name)
			ld.remove(now, name)
		}
	}
	for name := range ld.relays {
		if !slices.Contains(domains, name) {
			delete(ld.relays, name)
			ld.remove(now, name)
		}
	}
	for name, alloc := range ld.allocators {
		if alloc.Idle(now) {
			delete(ld.allocators, name)
		}
	}
}

func (ld *leader) remove(now time.Time, domain string) {
	for _, alloc := range ld.allocators {
		alloc.Remove(now, domain)
	}
}

// endLeadership ends the node's term as leader, and returns its lease and whether it
// was the leader.
func (a *Agent) endLeadership() (platform.LeaseID, bool) {
	a.leader.mu.Lock()
	defer a.leader.mu.Unlock()
	wasLeader := a.leader.term != nil
	a.leader.term = nil
	return a.leader.lease, wasLeader
}

// renewLease renews the leader's lease. Only the store's response that the lease has
// expired ends the term: while the store is unavailable no other node can become
// leader, and if the lease still exists when it is back, the allocations are still
// valid.
func (a *Agent) renewLease(ctx context.Context, lease platform.LeaseID) {
	requestedAt := a.clock.Now()
	err := a.store.KeepAlive(ctx, lease)
	var expired *platform.LeaseExpiredError
	switch {
	case err == nil:
		a.leader.mu.Lock()
		a.leader.renewedAt, a.leader.validUntil = requestedAt, requestedAt.Add(leaderLease-leaseMargin)
		a.leader.mu.Unlock()
	case errors.As(err, &expired):
		a.log.Emit(event.QuotaLeadershipLost, event.F("error", err))
		a.endLeadership()
	}
}

// announceLeader announces the leader to the relays of domains. The relay of a domain
// without calls would not look for the leader, and nothing new is granted until all
// domains have reported.
func (a *Agent) announceLeader(ctx context.Context, term uint64, domains []string) {
	self := a.mesh.Self()
	seat := seatToProto(leaderInfo{endpointOf(self), term})
	records := a.mesh.View().Records()
	var wg sync.WaitGroup
	for _, d := range domains {
		root, ok := tree.Root(d, records)
		if !ok {
			continue
		}
		wg.Go(func() {
			cctx, cancel := a.clock.WithTimeout(ctx, rpcTimeout)
			defer cancel()
			// A domain that doesn't respond gets another announcement at the next tick.
			_, _ = a.client(endpointOf(root)).Seated(cctx, seat)
			a.counters.addSent(seat, 0)
		})
	}
	wg.Wait()
}
