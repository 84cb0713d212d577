package fleet

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// OtherInstanceError reports that another instance answers at the address of a record.
type OtherInstanceError struct {
	Instance string // of the record
	Address  netip.AddrPort
}

func (e *OtherInstanceError) Error() string {
	return "another instance than " + e.Instance + " answers at " + e.Address.String()
}

// EmptyAnswerError reports a success without the content of a node's answer.
type EmptyAnswerError struct{ Address netip.AddrPort }

func (e *EmptyAnswerError) Error() string { return "empty answer from " + e.Address.String() }

// notThisInstance is the answer to a request that is for another instance.
func notThisInstance() error {
	return twirp.NewError(twirp.FailedPrecondition, "this is another instance")
}

// asOtherInstance converts the answer notThisInstance to an OtherInstanceError.
func asOtherInstance(r membership.Record, err error) error {
	var answer twirp.Error
	if errors.As(err, &answer) && answer.Code() == twirp.FailedPrecondition {
		return &OtherInstanceError{Instance: r.Instance(), Address: r.ControlAddress()}
	}
	return err
}

// refutedMember is a record at whose address another instance has answered. Its entry may be of
// another writer, or the address has been given to another instance.
type refutedMember struct {
	record   membership.Record
	revision uint64 // of the entry in the store, 0 if that is not known
	since    time.Time
	removed  bool // the entry has been removed from the store
}

const (
	// maxRefuted bounds the refuted records that are kept; one that is forgotten is refuted again.
	maxRefuted = 256
	// refutedFor is how long a record stays refuted: the instance may be back at its address.
	refutedFor = 10 * time.Second
)

// isRefuted reports whether a record is one that was refuted, and not written again since; the
// caller holds the lock.
func (v *view) isRefuted(r membership.Record, revision uint64) bool {
	known, ok := v.refuted[r.Instance()]
	if !ok || known.record.ControlAddress() != r.ControlAddress() || r.Newer(known.record) {
		return false
	}
	if known.revision == 0 {
		known.revision = revision
		v.refuted[r.Instance()] = known
	}
	return revision <= known.revision
}

// refute removes a member at whose address another instance answers, until it announces itself
// again.
func (v *view) refute(r membership.Record, now time.Time) (removed bool) {
	v.update(func(b *batch) {
		m := v.members[r.Instance()]
		if m == nil || m.record.ControlAddress() != r.ControlAddress() {
			return
		}
		if len(v.refuted) >= maxRefuted {
			clear(v.refuted)
		}
		v.refuted[r.Instance()] = refutedMember{record: m.record, revision: m.revision, since: now}
		b.remove(m)
		removed = true
	})
	return removed
}

// lapseRefuted ends refutations after some time, and reports whether any of them was of a record
// that may still be in the store.
func (v *view) lapseRefuted(now time.Time) (stored bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, m := range v.refuted {
		if now.Sub(m.since) >= refutedFor {
			delete(v.refuted, name)
			stored = stored || !m.removed
		}
	}
	return stored
}

// refutedEntries returns the refuted records of a failure domain, and of those without a key,
// whose entries the store has.
func (v *view) refutedEntries(domain string) []refutedMember {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []refutedMember
	for _, m := range v.refuted {
		if m.revision > 0 && !m.removed && (m.record.Domain() == domain || !v.domain(m.record.Domain()).keyed) {
			out = append(out, m)
		}
	}
	return out
}

// refute handles the answer of another instance at the address of a record.
func (f *Fleet) refute(r membership.Record, err error) {
	var other *OtherInstanceError
	if !errors.As(err, &other) || f.isOwn(r) {
		return
	}
	if f.view.refute(r, f.clk.Now()) {
		f.log.Emit(event.AddressRefuted, event.F("instance", r.Instance()), event.F("address", r.ControlAddress()), event.F("target", r.TargetID()))
	}
}

// recheckRefuted reads the members anew once a refutation has ended: the instance may be back at
// its address. Others have its record then, from the store or from a reader.
func (f *Fleet) recheckRefuted() {
	if f.view.lapseRefuted(f.clk.Now()) {
		f.rereadNeeded.Store(true)
		f.recompareNeeded.Store(true)
	}
}

// removeRefuted removes the entries of refuted records of this node's failure domain, and of
// those without a root, from the store.
func (f *Fleet) removeRefuted(ctx context.Context) {
	self, _ := f.ownRecord()
	for _, m := range f.view.refutedEntries(self.Domain()) {
		var conflict *platform.ConflictError
		if err := f.retireEntry(ctx, m.record, m.revision); err != nil && !errors.As(err, &conflict) {
			f.storeFailed(ctx, err)
			return
		}
		f.view.noteRemoved(m)
	}
}

// noteRemoved records that the entry of a refuted record is no longer in the store.
func (v *view) noteRemoved(m refutedMember) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refuted[m.record.Instance()] == m {
		m.removed = true
		v.refuted[m.record.Instance()] = m
	}
}

// sharingAddress returns the members of a list that have their address in common with another
// one of it: one of them is not there.
func sharingAddress(members []membership.Record) []membership.Record {
	count := make(map[netip.AddrPort]int, len(members))
	for _, r := range members {
		count[r.ControlAddress()]++
	}
	return slices.DeleteFunc(slices.Clone(members), func(r membership.Record) bool { return count[r.ControlAddress()] < 2 })
}

// probeKeyless marks the ready members of failure domains that have had no key for some time as
// missing, so that they are probed: no root does that there.
func (v *view) probeKeyless(self string, now time.Time) {
	v.update(func(b *batch) {
		for name, d := range v.domains {
			switch {
			case name == self || d.keyed || d.members == 0:
			case d.keylessSince.IsZero():
				d.keylessSince = now
			case now.Sub(d.keylessSince) >= domainGrace:
				b.domainUnreachable(name, now)
			}
		}
	})
}
