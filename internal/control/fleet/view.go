package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// view is what a node knows of the members.
type view struct {
	mu      sync.Mutex
	members map[string]*member
	pools   atomic.Pointer[map[string][]membership.Record]
	size    atomic.Int64
}

// member is one node as this one knows it.
type member struct {
	record   membership.Record
	revision uint64
	// missing is when the store dropped the entry although the member had not
	// said that it leaves; zero while it stands there.
	missing time.Time
	asked   time.Time
}

func newView() *view {
	v := &view{members: map[string]*member{}}
	v.pools.Store(&map[string][]membership.Record{})
	return v
}

// targets returns the ready targets of a pool, the same slice until they
// change.
func (v *view) targets(pool string) []membership.Record { return (*v.pools.Load())[pool] }

// put takes in an entry and reports whether it is news. revision is 0 for an
// entry that came from another node.
func (v *view) put(r membership.Record, revision uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[r.Instance()]
	known := m != nil
	if !known {
		m = &member{record: r}
		v.members[r.Instance()] = m
	}
	if revision > 0 {
		m.missing = time.Time{}
		m.revision = max(m.revision, revision)
	}
	if known && !r.Newer(m.record) {
		return false
	}
	m.record = r
	v.arrange()
	return true
}

// drop takes in that an entry has gone from the store.
func (v *view) drop(instance string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[instance]
	if m == nil {
		return
	}
	m.revision = 0
	if m.record.State() != membership.Ready {
		delete(v.members, instance)
		v.arrange()
		return
	}
	if m.missing.IsZero() {
		m.missing = now
	}
}

// keepOnly takes in the whole list of the store.
func (v *view) keepOnly(present map[string]bool, now time.Time) {
	v.mu.Lock()
	var absent []string
	for name := range v.members {
		if !present[name] {
			absent = append(absent, name)
		}
	}
	v.mu.Unlock()
	for _, name := range absent {
		v.drop(name, now)
	}
}

// forget removes a member that neither the store nor itself vouches for.
func (v *view) forget(r membership.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[r.Instance()]
	if m == nil || m.missing.IsZero() || m.record != r {
		return false
	}
	delete(v.members, r.Instance())
	v.arrange()
	return true
}

// unvouched returns the members that the store has dropped, that have been
// missing for some time and that were not asked lately.
func (v *view) unvouched(now time.Time, grace, again time.Duration) []membership.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []membership.Record
	for _, m := range v.members {
		if m.missing.IsZero() || now.Sub(m.missing) < grace || now.Sub(m.asked) < again {
			continue
		}
		m.asked = now
		out = append(out, m.record)
	}
	return out
}

// records returns all members, in the order of their names.
func (v *view) records() []membership.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []membership.Record
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		out = append(out, v.members[name].record)
	}
	return out
}

// revisionOf returns the revision of an instance's entry, 0 if the store is not
// known to hold it.
func (v *view) revisionOf(instance string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[instance]; m != nil {
		return m.revision
	}
	return 0
}

// arrange makes the pools anew; the caller holds the lock.
func (v *view) arrange() {
	pools := map[string][]membership.Record{}
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		if r := v.members[name].record; r.State() == membership.Ready {
			pools[r.Pool()] = append(pools[r.Pool()], r)
		}
	}
	old := *v.pools.Load()
	for pool, records := range pools {
		// A pool that is the same keeps its slice, so that the balancer is not
		// told of it again.
		if slices.Equal(old[pool], records) {
			pools[pool] = old[pool]
		}
	}
	v.pools.Store(&pools)
	v.size.Store(int64(len(v.members)))
}

// revise takes in that the store holds an instance's entry at a revision, or
// not at all for 0.
func (v *view) revise(r membership.Record, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[r.Instance()]
	if m == nil {
		m = &member{record: r}
		v.members[r.Instance()] = m
		v.arrange()
	}
	m.revision = revision
}

// missingSince returns when the store dropped an instance's entry, or zero.
func (v *view) missingSince(instance string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[instance]; m != nil {
		return m.missing
	}
	return time.Time{}
}
