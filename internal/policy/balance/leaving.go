package balance

import (
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// maxLeaving is how long a target process that has said that it is leaving may still run.
// Its node remembers that too, but not across a restart: a delayed heartbeat may then make
// the node announce such a process as ready.
const maxLeaving = time.Minute

// Leaving records that a response of a target says that its process is leaving.
func (b *Balancer) Leaving(now time.Time, p Picked) {
	at, r := b.nanos(now), p.Record()
	b.leaving.put(at, r.TargetID(), r)
	p.t.pool.mu.Lock()
	defer p.t.pool.mu.Unlock()
	p.t.drainingUntil = max(p.t.drainingUntil, at+int64(maxDraining))
}

// leavingUntil returns until when the target process of a record counts as leaving although
// its node announces it as ready, or 0. A later announcement by the node that was there when
// it left is of another start.
func (b *Balancer) leavingUntil(at int64, r membership.Record) int64 {
	announced, leftAt, ok := b.leaving.get(at, r.TargetID())
	if !ok || announced.Boot() == r.Boot() && r.Seq() > announced.Seq() {
		return 0
	}
	return leftAt + int64(maxLeaving)
}
