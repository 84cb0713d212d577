package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// auditCycle is the time in which a reader probes each member of its failure domain once.
	auditCycle = 4 * time.Second
	// recheckInterval is the time between probes of a member that did not answer.
	recheckInterval = time.Second
	// removeAfter is how long a member must have been silent before its entry is removed. A
	// process that is restarted answers again before that.
	removeAfter = 4 * time.Second
	// maxAuditInterval bounds the time between two probes in a small domain.
	maxAuditInterval = time.Second
)

// auditor probes the members of the node's failure domain while the node reads the store for
// it, and removes the entries of those that have stopped: entries have no leases of their own.
type auditor struct {
	f *Fleet

	mu     sync.Mutex
	last   string                 // instance that was probed last
	silent map[string]silentSince // members that did not answer
	change uint64                 // number of the domain's last change that was looked at
}

type silentSince struct {
	record membership.Record
	first  time.Time // when it did not answer first
	probed time.Time
}

// audit runs the auditor until ctx ends.
func (f *Fleet) audit(ctx context.Context) {
	a := &auditor{f: f, silent: map[string]silentSince{}}
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxProbes)
	for ctx.Err() == nil {
		self, _ := f.ownRecord()
		members, change := f.view.domainRecords(self.Domain(), 0)
		// A node that reads the store in place of the root finds out whether the root has
		// stopped.
		audits := f.readsStore() && f.synced.Load()
		if audits {
			f.view.probeKeyless(self.Domain(), f.clk.Now())
			f.removeRefuted(ctx)
		}
		if len(members) < 2 || !audits {
			a.reset()
			_ = f.clk.Sleep(ctx, f.jitter(maxAuditInterval))
			continue
		}
		for _, r := range a.due(f.clk.Now(), members, change, self.Instance()) {
			slots <- struct{}{}
			probes.Go(func() {
				a.check(ctx, r, len(members))
				<-slots
			})
		}
		_ = f.clk.Sleep(ctx, min(maxAuditInterval, auditCycle/time.Duration(len(members))))
	}
}

// reset forgets the silent members: another node audits the domain now.
func (a *auditor) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.silent)
	a.change = 0
}

// due returns the members to probe now: the next one by name, those that share an address if the
// domain has changed, and silent ones whose recheck is due.
func (a *auditor) due(now time.Time, members []membership.Record, change uint64, self string) []membership.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []membership.Record
	next := members[0]
	for _, r := range members {
		if r.Instance() > a.last {
			next = r
			break
		}
	}
	a.last = next.Instance()
	if _, silent := a.silent[next.Instance()]; !silent && next.Instance() != self {
		out = append(out, next)
	}
	if change != a.change {
		a.change = change
		for _, r := range sharingAddress(members) {
			if _, silent := a.silent[r.Instance()]; !silent && r.Instance() != self && r.Instance() != next.Instance() {
				out = append(out, r)
			}
		}
	}
	present := map[string]bool{}
	for _, r := range members {
		present[r.Instance()] = true
	}
	for name, s := range a.silent {
		switch {
		case !present[name]:
			delete(a.silent, name)
		case now.Sub(s.probed) >= recheckInterval:
			s.probed = now
			a.silent[name] = s
			out = append(out, s.record)
		}
	}
	return out
}

// check probes one of the domain's members and removes it if it has been silent for too long.
func (a *auditor) check(ctx context.Context, r membership.Record, members int) {
	f := a.f
	alive, err := f.probe(ctx, r)
	if ctx.Err() != nil {
		return
	}
	f.refute(r, err)
	now := f.clk.Now()
	a.mu.Lock()
	s, silent := a.silent[r.Instance()]
	switch {
	case alive:
		delete(a.silent, r.Instance())
	case !silent:
		s = silentSince{record: r, first: now, probed: now}
		a.silent[r.Instance()] = s
	}
	// A root that few members answer is more likely to be cut off itself.
	mayRemove := !alive && now.Sub(s.first) >= removeAfter && 2*len(a.silent) <= members
	a.mu.Unlock()
	if mayRemove {
		a.remove(ctx, r, err)
	}
}

// remove removes a silent member's entry from the store, unless it has been written again.
func (a *auditor) remove(ctx context.Context, r membership.Record, cause error) {
	f := a.f
	known, revision := f.view.member(r.Instance())
	var conflict *platform.ConflictError
	if revision > 0 {
		err := f.retireEntry(ctx, known, revision)
		if err != nil && !errors.As(err, &conflict) {
			f.storeFailed(ctx, err)
			return
		}
	}
	a.mu.Lock()
	delete(a.silent, r.Instance())
	a.mu.Unlock()
	if conflict != nil {
		return
	}
	f.log.Emit(event.InstanceLost, event.F("instance", r.Instance()), event.F("target", r.TargetID()), event.F("error", cause))
	f.removeLeft([]string{r.Instance()})
}

// departuresKept is how long the departures of a removed member's targets are kept, for a
// process that replaces it.
const departuresKept = 10 * time.Minute

// retireEntry removes an entry from the store at a revision. One with departures stays as that
// of a member that is gone, under a lease.
func (f *Fleet) retireEntry(ctx context.Context, r membership.Record, revision uint64) error {
	key := entryKey(r.Domain(), r.Instance())
	if r.Departed() == "" {
		_, err := f.store.CompareAndSwap(ctx, key, revision, nil)
		return err
	}
	lease, err := f.store.Grant(ctx, departuresKept)
	if err != nil {
		return err
	}
	_, err = f.store.CompareAndSwap(ctx, key, revision, encodeEntry(r.AsGone()), platform.WithLease(lease))
	return err
}
