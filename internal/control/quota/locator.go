package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/quotapb"
)

const (
	// leaderKey is the leader's key in the platform's store.
	leaderKey = "quota-seat"
	// lookupInterval is the least time between two reads of the leader from the store.
	lookupInterval = 2 * time.Second
)

// leaderInfo is the leader's endpoint, without its boot, and its term: the store
// revision of the write that elected it, which grows with each election.
type leaderInfo struct {
	endpoint
	term uint64
}

// leaderLocator holds the last known leader.
type leaderLocator struct {
	mu         sync.Mutex
	leader     leaderInfo
	stale      bool
	lookedUpAt time.Time
}

func (loc *leaderLocator) known() leaderInfo {
	loc.mu.Lock()
	defer loc.mu.Unlock()
	return loc.leader
}

// update sets the leader, unless a later one is known.
func (loc *leaderLocator) update(info leaderInfo) {
	loc.mu.Lock()
	defer loc.mu.Unlock()
	if info.term > loc.leader.term {
		loc.leader, loc.stale = info, false
	}
}

// heartbeatFailed records that the leader didn't accept a heartbeat.
func (loc *leaderLocator) heartbeatFailed(info leaderInfo, l *link) {
	loc.mu.Lock()
	defer loc.mu.Unlock()
	if loc.leader == info && (l.notAllocator || l.failures >= maxFailures) {
		loc.stale = true
	}
}

// heartbeatAccepted records that the leader accepted a heartbeat.
func (loc *leaderLocator) heartbeatAccepted(info leaderInfo) {
	loc.mu.Lock()
	defer loc.mu.Unlock()
	if loc.leader == info {
		loc.stale = false
	}
}

// lookupDue reports whether it is time to read the leader from the store.
func (loc *leaderLocator) lookupDue(now time.Time) bool {
	loc.mu.Lock()
	defer loc.mu.Unlock()
	if loc.leader.term != 0 && !loc.stale || now.Sub(loc.lookedUpAt) < lookupInterval {
		return false
	}
	loc.lookedUpAt = now
	return true
}

// Seated implements quotapb.Quota.
func (s server) Seated(_ context.Context, m *quotapb.Seat) (*quotapb.Ack, error) {
	if info, ok := seatFromProto(m); ok {
		s.agent.locator.update(info)
		signal(s.agent.domainShareNeeded)
	}
	return &quotapb.Ack{}, nil
}

// findLeader returns the last known leader. If a leader is needed and the known one is
// missing or stale, it reads the leader from the store, and the node becomes the
// leader if there is none.
func (a *Agent) findLeader(ctx context.Context, needed bool) (leaderInfo, bool) {
	if needed && a.store != nil && a.locator.lookupDue(a.clock.Now()) {
		a.lookUpLeader(ctx)
	}
	info := a.locator.known()
	return info, info.term != 0
}

func (a *Agent) lookUpLeader(ctx context.Context) {
	v, err := a.store.Get(ctx, leaderKey)
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		m := &quotapb.Seat{}
		if proto.Unmarshal(v.Data(), m) == nil {
			m.Term = v.Revision()
			if info, ok := seatFromProto(m); ok {
				a.locator.update(info)
			}
		}
	case errors.As(err, &missing):
		a.claimLeadership(ctx)
	}
}

// claimLeadership claims the vacant leadership. If another node is faster or the
// response is lost, the next lookup finds the leader, and an unused lease expires.
func (a *Agent) claimLeadership(ctx context.Context) {
	requestedAt := a.clock.Now()
	lease, err := a.store.Grant(ctx, leaderLease)
	if err != nil {
		return
	}
	self := a.mesh.Self()
	info := leaderInfo{endpoint: endpoint{instance: self.Instance(), peer: self.ControlAddress()}}
	b, err := proto.Marshal(seatToProto(info))
	if err != nil {
		return
	}
	info.term, err = a.store.CompareAndSwap(ctx, leaderKey, 0, b, platform.WithLease(lease))
	if err != nil {
		return
	}
	a.becomeLeader(a.clock.Now(), lease, requestedAt, info.term)
	a.locator.update(info)
}
