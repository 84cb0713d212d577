package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// view is one node's copy of the member list. Changes are applied in batches: each wakes
// the waiting goroutines once, and rebuilds only the pools that it affects.
type view struct {
	mu      sync.Mutex
	members map[string]*member
	names   []string // of the members, sorted
	domains map[string]*domainState
	pools   atomic.Pointer[map[string][]membership.Record]
	grouped atomic.Pointer[map[string]rollout.Groups]
	// group splits the ready targets of a pool by the versions that they run.
	group func(pool string, records []membership.Record) rollout.Groups
	size  atomic.Int64

	change   uint64 // number of the last change of members
	changed  chan struct{}
	rebuilds int                      // of pools
	refuted  map[string]refutedMember // by instance, until that has left or is written again
	// departures are the removed members, oldest first. Those up to change prunedChange
	// have been discarded.
	departures   []departure
	prunedChange uint64
}

// domainState summarises the members of one failure domain.
type domainState struct {
	members int
	change  uint64 // number of the last change of one of them
	digest  uint64 // exclusive or of the members' digests
	// unreachable is set while the store does not have the domain's key.
	unreachable bool
	// keyed is set once the store has had the domain's key, and keylessSince when a node that
	// reads the store has first missed it.
	keyed        bool
	keylessSince time.Time
}

// departure is a removed member and the number of the change that removed it.
type departure struct {
	record membership.Record
	change uint64
}

// minDepartures is the least number of departures that are kept; nodes with an older cursor
// get all members. As many as there are members are kept, so that a failure domain that
// leaves and returns does not cause that.
const minDepartures = 256

// member is a member's record and its state in the store.
type member struct {
	record   membership.Record
	revision uint64
	// missingSince is when the store dropped the entry of a ready member; zero while the
	// store has it.
	missingSince time.Time
	probeAt      time.Time // when it is to be probed next while missing
	change       uint64    // number of the last change of its record
}

func newView() *view {
	v := &view{members: map[string]*member{}, refuted: map[string]refutedMember{}, domains: map[string]*domainState{}, changed: make(chan struct{})}
	v.group = func(_ string, records []membership.Record) rollout.Groups { return rollout.AllCurrent(records) }
	v.grouped.Store(&map[string]rollout.Groups{})
	v.pools.Store(&map[string][]membership.Record{})
	return v
}

// targets returns the ready targets of a pool. The slice stays the same until the
// targets change.
func (v *view) targets(pool string) []membership.Record { return (*v.pools.Load())[pool] }

// batch is a set of changes that are applied together. Its methods need the view's lock.
type batch struct {
	v       *view
	pools   map[string]bool // to rebuild
	changed bool
}

// update applies the changes that f makes.
func (v *view) update(f func(b *batch)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := &batch{v: v, pools: map[string]bool{}}
	f(b)
	if len(b.pools) > 0 {
		v.rebuildPools(b.pools)
	}
	v.size.Store(int64(len(v.members)))
	if b.changed {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// put stores a record and reports whether it is newer than the known one. revision is 0
// if the store is not known to hold it.
func (b *batch) put(r membership.Record, revision uint64) bool {
	if b.v.isRefuted(r, revision) {
		return false
	}
	m := b.v.members[r.Instance()]
	known := m != nil
	if !known {
		m = b.insert(r)
	}
	// A boot number that is out of range is followed by a lower one, which the store has later.
	rewritten := m.revision > 0 && revision > m.revision && r.Boot() < m.record.Boot()
	if revision > 0 {
		m.missingSince = time.Time{}
		m.revision = max(m.revision, revision)
	}
	if known && !r.Newer(m.record) && !rewritten {
		return false
	}
	b.replace(m, r)
	return true
}

// insert adds a member without marking it as changed.
func (b *batch) insert(r membership.Record) *member {
	v := b.v
	m := &member{record: r}
	v.members[r.Instance()] = m
	i, _ := slices.BinarySearch(v.names, r.Instance())
	v.names = slices.Insert(v.names, i, r.Instance())
	d := v.domain(r.Domain())
	d.members++
	d.digest ^= recordDigest(r)
	return m
}

// replace sets a member's record and marks it as changed.
func (b *batch) replace(m *member, r membership.Record) {
	b.affects(m.record)
	b.v.domain(m.record.Domain()).digest ^= recordDigest(m.record)
	m.record = r
	b.v.domain(r.Domain()).digest ^= recordDigest(r)
	b.affects(r)
	b.markChanged(m)
}

// remove removes a member.
func (b *batch) remove(m *member) {
	v, r := b.v, m.record
	delete(v.members, r.Instance())
	if i, found := slices.BinarySearch(v.names, r.Instance()); found {
		v.names = slices.Delete(v.names, i, i+1)
	}
	d := v.domain(r.Domain())
	d.members--
	d.digest ^= recordDigest(r)
	b.affects(r)
	b.markChanged(m)
	v.departures = append(v.departures, departure{r.AsGone(), m.change})
	if excess := len(v.departures) - max(minDepartures, len(v.members)); excess > 0 {
		v.prunedChange = v.departures[excess-1].change
		v.departures = slices.Delete(v.departures, 0, excess)
	}
}

// affects marks the pool of a ready record for rebuilding.
func (b *batch) affects(r membership.Record) {
	if r.State() == membership.Ready {
		b.pools[r.Pool()] = true
	}
}

// markChanged assigns a member the next change number.
func (b *batch) markChanged(m *member) {
	b.changed = true
	b.v.change++
	m.change = b.v.change
	b.v.domain(m.record.Domain()).change = b.v.change
}

// domain returns the state of a failure domain; the caller holds the lock.
func (v *view) domain(name string) *domainState {
	d := v.domains[name]
	if d == nil {
		d = &domainState{}
		v.domains[name] = d
	}
	return d
}

// recordDigest hashes what makes one record of an instance differ from another.
func recordDigest(r membership.Record) uint64 {
	b := make([]byte, 0, 64)
	b = append(append(b, r.Instance()...), byte(r.State()))
	b = binary.LittleEndian.AppendUint64(b, r.Boot())
	return xxh3.Hash(binary.LittleEndian.AppendUint64(b, r.Seq()))
}

// put stores one record and reports whether it is newer than the known one.
func (v *view) put(r membership.Record, revision uint64) (newer bool) {
	v.update(func(b *batch) { newer = b.put(r, revision) })
	return newer
}

// applyDeparture removes a member that another node reports as gone.
func (b *batch) applyDeparture(gone membership.Record) {
	delete(b.v.refuted, gone.Instance())
	if m := b.v.members[gone.Instance()]; m != nil && gone.Newer(m.record) {
		b.remove(m)
	}
}

// changes returns a channel that is closed at the next change of members.
func (v *view) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// changeSet is a set of member changes up to a change number.
type changeSet struct {
	members []memberEntry
	// complete lists the failure domains of which members has all members, and those that
	// have left as far as known; nil if it has only changes.
	complete []string
	until    uint64
}

// changesSince returns the changes after a change number. For one that is unknown, or 0, it
// returns all members of the failure domains whose digests differ from the given ones.
func (v *view) changesSince(after uint64, digests map[string]uint64) changeSet {
	v.mu.Lock()
	defer v.mu.Unlock()
	set := changeSet{until: v.change}
	if after == 0 || after < v.prunedChange || after > v.change {
		set.complete = v.differingDomains(digests)
		for _, name := range v.names {
			if m := v.members[name]; slices.Contains(set.complete, m.record.Domain()) {
				set.members = append(set.members, memberEntry{m.record, m.revision})
			}
		}
		set.members = append(set.members, v.departuresAfter(0, set.complete)...)
		return set
	}
	if after == v.change {
		return set
	}
	for _, name := range v.names {
		if m := v.members[name]; m.change > after {
			set.members = append(set.members, memberEntry{m.record, m.revision})
		}
	}
	set.members = append(set.members, v.departuresAfter(after, nil)...)
	return set
}

// departuresAfter returns the members that were removed after a change and have not returned,
// of all failure domains or of some; the caller holds the lock.
func (v *view) departuresAfter(after uint64, domains []string) []memberEntry {
	var out []memberEntry
	for _, d := range v.departures {
		if d.change > after && v.members[d.record.Instance()] == nil && (domains == nil || slices.Contains(domains, d.record.Domain())) {
			out = append(out, memberEntry{record: d.record})
		}
	}
	return out
}

// differingDomains returns the failure domains whose digests differ from the given ones.
// It is never nil; the caller holds the lock.
func (v *view) differingDomains(digests map[string]uint64) []string {
	out := []string{}
	for _, name := range slices.Sorted(maps.Keys(v.domains)) {
		if digest, known := digests[name]; !known || digest != v.domains[name].digest {
			out = append(out, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		if v.domains[name] == nil {
			out = append(out, name)
		}
	}
	return out
}

// digests returns the digests of all failure domains.
func (v *view) digests() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]uint64, len(v.domains))
	for name, d := range v.domains {
		out[name] = d.digest
	}
	return out
}

// entryDropped handles the absence of an entry from the store.
func (b *batch) entryDropped(instance string, now time.Time) {
	m := b.v.members[instance]
	if m == nil {
		return
	}
	m.revision = 0
	if m.record.State() != membership.Ready {
		b.remove(m)
		return
	}
	m.markMissing(now, absentGrace)
}

// markMissing marks a member as missing, to be probed after a time.
func (m *member) markMissing(now time.Time, grace time.Duration) {
	if m.missingSince.IsZero() {
		m.missingSince, m.probeAt = now, now.Add(grace)
	}
}

// dropAbsent handles the absence of members from the complete list of some failure domains.
func (b *batch) dropAbsent(domains func(name string) bool, present map[string]bool, now time.Time) {
	for _, name := range slices.Clone(b.v.names) {
		if !present[name] && domains(b.v.members[name].record.Domain()) {
			b.entryDropped(name, now)
		}
	}
	maps.DeleteFunc(b.v.refuted, func(name string, m refutedMember) bool { return !present[name] && domains(m.record.Domain()) })
}

// allDomains selects every failure domain.
func allDomains(string) bool { return true }

// removeMissing removes a member that is still missing from the store and has not changed.
func (v *view) removeMissing(r membership.Record) (removed bool) {
	v.update(func(b *batch) {
		m := v.members[r.Instance()]
		if removed = m != nil && !m.missingSince.IsZero() && m.record == r; removed {
			b.remove(m)
		}
	})
	return removed
}

// dueForProbe returns the missing members that are to be probed now; the next probe follows
// after retry.
func (v *view) dueForProbe(now time.Time, retry time.Duration) []membership.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []membership.Record
	for _, m := range v.members {
		if m.missingSince.IsZero() || now.Before(m.probeAt) {
			continue
		}
		m.probeAt = now.Add(retry)
		out = append(out, m.record)
	}
	return out
}

// records returns all members, sorted by name.
func (v *view) records() []membership.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]membership.Record, len(v.names))
	for i, name := range v.names {
		out[i] = v.members[name].record
	}
	return out
}

// domainRecords returns the members of a failure domain and the number of their last change,
// or none if that is the given one.
func (v *view) domainRecords(domain string, known uint64) ([]membership.Record, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.domains[domain]
	if d == nil || d.change == known {
		return nil, known
	}
	out := make([]membership.Record, 0, d.members)
	for _, name := range v.names {
		if r := v.members[name].record; r.Domain() == domain {
			out = append(out, r)
		}
	}
	return out, d.change
}

// lastChange returns the number of the last change of any member.
func (v *view) lastChange() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.change
}

// domainIndex returns the index of a failure domain among the sorted names of the
// members' domains, and the number of domains.
func (v *view) domainIndex(name string) (index, domains int) {
	known := map[string]bool{name: true}
	v.mu.Lock()
	for domain, d := range v.domains {
		if d.members > 0 {
			known[domain] = true
		}
	}
	v.mu.Unlock()
	index, _ = slices.BinarySearch(slices.Sorted(maps.Keys(known)), name)
	return index, len(known)
}

// revisionOf returns the revision of an instance's entry, 0 if the store is not known to
// hold it.
func (v *view) revisionOf(instance string) uint64 {
	_, revision := v.member(instance)
	return revision
}

// member returns a member's record and the revision of its entry.
func (v *view) member(instance string) (membership.Record, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[instance]; m != nil {
		return m.record, m.revision
	}
	return membership.Record{}, 0
}

// rebuildPools recomputes some pools and their groups; the caller holds the lock.
func (v *view) rebuildPools(affected map[string]bool) {
	v.rebuilds++
	ready := map[string][]membership.Record{}
	for _, name := range v.names {
		if r := v.members[name].record; r.State() == membership.Ready && affected[r.Pool()] {
			ready[r.Pool()] = append(ready[r.Pool()], r)
		}
	}
	pools, grouped := maps.Clone(*v.pools.Load()), maps.Clone(*v.grouped.Load())
	for pool := range affected {
		records := ready[pool]
		delete(grouped, pool)
		g := v.group(pool, records)
		if len(g.Candidates()) > 0 {
			grouped[pool] = g
		}
		// An unchanged pool keeps its slice, so that the balancer isn't updated needlessly.
		switch current := g.Current(); {
		case len(records) == 0:
			delete(pools, pool)
		case !slices.Equal(pools[pool], current):
			pools[pool] = current
		}
	}
	v.pools.Store(&pools)
	v.grouped.Store(&grouped)
}

// rebuildGroups regroups the targets after a change of rollouts.
func (v *view) rebuildGroups() {
	v.mu.Lock()
	defer v.mu.Unlock()
	affected := map[string]bool{}
	for _, m := range v.members {
		if m.record.State() == membership.Ready {
			affected[m.record.Pool()] = true
		}
	}
	v.rebuildPools(affected)
}

// rolloutGroups returns a pool's groups, empty if it has no candidates.
func (v *view) rolloutGroups(pool string) rollout.Groups { return (*v.grouped.Load())[pool] }

// hasTarget reports whether calls of a pool may go to a target of the version that the
// pool's last order names.
func (v *view) hasTarget(pool, version string) bool {
	// Either all targets of a group have that version or none has.
	for _, group := range [][]membership.Record{v.targets(pool), v.rolloutGroups(pool).Candidates()} {
		if len(group) > 0 && group[0].Version() == version {
			return true
		}
	}
	return false
}

// ready returns all ready targets of a pool, whether or not they may get calls.
func (v *view) ready(pool string) []membership.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []membership.Record
	for _, name := range v.names {
		if r := v.members[name].record; r.State() == membership.Ready && r.Pool() == pool {
			out = append(out, r)
		}
	}
	return out
}

// setRevision records the store revision of an instance's entry, 0 if the store has none.
func (v *view) setRevision(r membership.Record, revision uint64) {
	v.update(func(b *batch) {
		m := v.members[r.Instance()]
		if m == nil {
			m = b.insert(r)
			b.affects(r)
			b.markChanged(m)
		}
		m.revision = revision
	})
}

// setOwn sets the node's own record, also to one that is not newer: the node itself decides.
func (v *view) setOwn(r membership.Record, revision uint64) {
	v.update(func(b *batch) {
		m := v.members[r.Instance()]
		if m == nil {
			m = b.insert(r)
		}
		m.revision = max(m.revision, revision)
		m.missingSince = time.Time{}
		if m.record != r || m.change == 0 {
			b.replace(m, r)
		}
	})
}

// missingSince returns when the store dropped an instance's entry, or the zero time.
func (v *view) missingSince(instance string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[instance]; m != nil {
		return m.missingSince
	}
	return time.Time{}
}
