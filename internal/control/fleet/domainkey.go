package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// domainsPrefix is the store key prefix of the failure domains' keys. The root of a
	// domain keeps its key under a lease; the nodes' entries have none. So the members of a
	// domain that is lost or cut off are found at the cost of one lease.
	domainsPrefix = nodesPrefix + "domains/"
	// domainLease is how long a domain may be silent before others probe its members.
	domainLease = 10 * time.Second
	// renewInterval is the interval between renewals of the lease. Renewals also show
	// whether the store is available: if one times out, the store's client cancels pending
	// watches. The bound on applying versions depends on this interval.
	renewInterval = 1500 * time.Millisecond
	// minRenewGap is the shortest time between two renewals.
	minRenewGap = renewInterval / 10
	// renewalLate is how long a renewal may be without a response until the standby reads the
	// store as well. It is well below the timeout of a call, which is for a store that is slow.
	renewalLate = 400 * time.Millisecond
)

// domainKey is the key of the node's own failure domain.
type domainKey struct {
	mu       sync.Mutex
	revision uint64 // 0 if the store is not known to have the key
	lease    platform.LeaseID
	removed  uint64 // revision of the key's last known removal
	// unseen is the revision of a key that the store has and this node has not received. It is
	// overwritten if it stays so until the next renewal.
	unseen uint64
}

func (k *domainKey) knownRevision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// removeIf records at a revision of the store that the key is absent, unless it has been
// written since it was known at the revision known.
func (k *domainKey) removeIf(known, at uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known > 0 && k.revision == known {
		k.revision, k.lease, k.removed = 0, 0, at
	}
}

// domainKeyValue is the JSON form of a domain's key. The lease is in it so that each root
// of the domain can renew it.
type domainKeyValue struct {
	Lease uint64 `json:"lease"`
}

// applyDomainKey handles a domain's key that was read or written.
func (f *Fleet) applyDomainKey(v platform.Value) {
	domain := strings.TrimPrefix(v.Key(), domainsPrefix)
	if self, _ := f.ownRecord(); domain != self.Domain() {
		if f.view.domainReachable(domain) {
			// Members that were removed meanwhile are read again.
			f.rereadNeeded.Store(true)
		}
		return
	}
	var value domainKeyValue
	if err := json.Unmarshal(v.Data(), &value); err != nil {
		f.log.Emit(event.RecordRefused, event.F("error", &EntryError{Key: v.Key(), Reason: "cannot be decoded"}))
	}
	f.domainKey.mu.Lock()
	defer f.domainKey.mu.Unlock()
	f.domainKey.revision, f.domainKey.lease, f.domainKey.unseen = v.Revision(), platform.LeaseID(value.Lease), 0
}

// domainKeyDeleted handles the deletion of a key, which may be that of a domain.
func (f *Fleet) domainKeyDeleted(key string, revision uint64) {
	domain, ok := strings.CutPrefix(key, domainsPrefix)
	if !ok {
		return
	}
	if self, _ := f.ownRecord(); domain != self.Domain() {
		f.view.update(func(b *batch) { b.domainUnreachable(domain, f.clk.Now()) })
		return
	}
	f.domainKey.mu.Lock()
	defer f.domainKey.mu.Unlock()
	f.domainKey.revision, f.domainKey.lease, f.domainKey.removed = 0, 0, revision
}

// maintainDomainKey keeps the domain's key alive while this node reads the store.
func (f *Fleet) maintainDomainKey(ctx context.Context) {
	for f.clk.Sleep(ctx, f.untilRenewal()) == nil {
		switch {
		case f.readsStore() && f.synced.Load() && !f.untried():
			late := f.clk.AfterFunc(renewalLate, func() { f.setStoreLate(true) })
			f.renewDomainKey(ctx)
			late.Stop()
			f.setStoreLate(false)
		case f.orphaned.Load() && !f.storeOK.Load():
			f.checkStore(ctx)
		}
	}
}

// untilRenewal returns the time until the next renewal. The failure domains renew by turns, by
// the time of day, so that one of them soon notices that the store does not answer the roots.
func (f *Fleet) untilRenewal() time.Duration {
	self, _ := f.ownRecord()
	index, domains := f.view.domainIndex(self.Domain())
	return untilTurn(f.clk.Now(), renewInterval, minRenewGap, index, domains)
}

// renewDomainKey renews the lease of the domain's key, or writes the key with a new one.
func (f *Fleet) renewDomainKey(ctx context.Context) {
	f.domainKey.mu.Lock()
	revision, lease := max(f.domainKey.revision, f.domainKey.unseen), f.domainKey.lease
	f.domainKey.unseen = 0
	f.domainKey.mu.Unlock()
	var err error
	if lease != 0 {
		err = f.store.KeepAlive(ctx, lease)
	} else {
		err = f.writeDomainKey(ctx, revision)
	}
	var (
		expired  *platform.LeaseExpiredError
		conflict *platform.ConflictError
	)
	f.storeReturned(ctx, err)
	switch {
	case errors.As(err, &expired):
		// The store has removed the key with the lease.
		f.log.Emit(event.LeaseLost)
		f.domainKey.mu.Lock()
		f.domainKey.revision, f.domainKey.lease = 0, 0
		f.domainKey.mu.Unlock()
		if err := f.writeDomainKey(ctx, 0); err != nil && !errors.As(err, &conflict) {
			f.storeFailed(ctx, err)
		}
		f.noteUnseenKey(conflict)
	case errors.As(err, &conflict):
		f.noteUnseenKey(conflict)
	}
}

// noteUnseenKey handles a conflict at the domain's key, nil for none: another root was faster, and
// its key arrives with the next changes. One that has arrived before has ended with its lease, or
// has none.
func (f *Fleet) noteUnseenKey(conflict *platform.ConflictError) {
	if conflict == nil {
		return
	}
	f.domainKey.mu.Lock()
	defer f.domainKey.mu.Unlock()
	if f.domainKey.revision < conflict.Current {
		f.domainKey.unseen = conflict.Current
	}
}

// writeDomainKey writes the domain's key with a new lease.
func (f *Fleet) writeDomainKey(ctx context.Context, revision uint64) error {
	lease, err := f.store.Grant(ctx, domainLease)
	if err != nil {
		return err
	}
	self, _ := f.ownRecord()
	// Marshalling a number can't fail.
	value, _ := json.Marshal(domainKeyValue{Lease: uint64(lease)})
	written, err := f.store.CompareAndSwap(ctx, domainsPrefix+self.Domain(), revision, value, platform.WithLease(lease))
	if err != nil {
		return err
	}
	f.domainKey.mu.Lock()
	defer f.domainKey.mu.Unlock()
	// The removal may have been read before the response to the write.
	if written > f.domainKey.removed {
		f.domainKey.revision, f.domainKey.lease = written, lease
	}
	return nil
}

// checkStore makes a cheap call to find out whether the store is available again to a node
// that needs it, as its parents don't answer.
func (f *Fleet) checkStore(ctx context.Context) {
	self, _ := f.ownRecord()
	_, _, err := f.store.Range(ctx, domainsPrefix+self.Domain(), platform.AllowStale())
	f.storeReturned(ctx, err)
	if err == nil {
		f.signal(f.readerChanged)
	}
}

// domainUnreachable marks the ready members of a failure domain as missing, so that they are
// probed.
func (b *batch) domainUnreachable(domain string, now time.Time) {
	b.v.domain(domain).unreachable = true
	for _, m := range b.v.members {
		if m.record.Domain() == domain && m.record.State() == membership.Ready {
			m.markMissing(now, domainGrace)
		}
	}
}

// domainReachable ends what domainUnreachable did to a failure domain, and reports whether it
// was unreachable.
func (v *view) domainReachable(domain string) (was bool) {
	v.update(func(b *batch) { was = b.domainReachable(domain) })
	return was
}

func (b *batch) domainReachable(domain string) bool {
	d := b.v.domain(domain)
	d.keyed = true
	if !d.unreachable {
		return false
	}
	d.unreachable = false
	for _, m := range b.v.members {
		if m.record.Domain() == domain && m.revision > 0 {
			m.missingSince = time.Time{}
		}
	}
	return true
}
