package balance

import (
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// maxLeaving is how long a target process that has said that it is leaving may still run.
const maxLeaving = time.Minute

// leavingTargets remembers the target processes that said in a response that they are
// leaving. Their nodes remember it too, but not across a restart: a delayed heartbeat may
// then make a node announce such a process as ready.
type leavingTargets struct {
	mu   sync.Mutex
	byID map[string]leavingTarget
}

type leavingTarget struct {
	boot, seq uint64 // of its announcement
	at        int64
}

// add records that the target process of a record is leaving.
func (l *leavingTargets) add(at int64, r membership.Record) {
	if r.TargetID() == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = map[string]leavingTarget{}
	}
	for id, t := range l.byID {
		if at-t.at >= int64(maxLeaving) {
			delete(l.byID, id)
		}
	}
	l.byID[r.TargetID()] = leavingTarget{r.Boot(), r.Seq(), at}
}

// until returns until when the target process of a record counts as leaving although its
// node announces it as ready, or 0. A later announcement by the node that was there when it
// left is of another start.
func (l *leavingTargets) until(r membership.Record) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.byID[r.TargetID()]
	if !ok || t.boot == r.Boot() && r.Seq() > t.seq {
		return 0
	}
	return t.at + int64(maxLeaving)
}

// Leaving records that a response of a target says that its process is leaving.
func (b *Balancer) Leaving(now time.Time, p Picked) {
	at := b.nanos(now)
	b.leaving.add(at, p.Record())
	p.t.pool.mu.Lock()
	defer p.t.pool.mu.Unlock()
	p.t.drainingUntil = max(p.t.drainingUntil, at+int64(maxDraining))
}
