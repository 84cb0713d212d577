package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// view is what a node knows of the members.
type view struct {
	mu      sync.Mutex
	members map[string]*member
	pools   atomic.Pointer[map[string][]membership.Record]
	grouped atomic.Pointer[map[string]rollout.Groups]
	// group parts the ready targets of a pool by the versions that they run.
	group func(pool string, records []membership.Record) rollout.Groups
	size  atomic.Int64

	change  uint64 // counts the changes of members
	changed chan struct{}
	// buried are the members that have gone, oldest first; of those before
	// forgotten it is not known any more.
	buried    []burial
	forgotten uint64
}

// burial is a member that went with a change.
type burial struct {
	record membership.Record
	change uint64
}

// maxBuried bounds what is remembered of members that have gone: those who have
// followed less closely get the whole list.
const maxBuried = 256

// member is one node as this one knows it.
type member struct {
	record   membership.Record
	revision uint64
	// missing is when the store dropped the entry although the member had not
	// said that it leaves; zero while it stands there.
	missing time.Time
	asked   time.Time
	change  uint64 // the last one of its record
}

func newView() *view {
	v := &view{members: map[string]*member{}, changed: make(chan struct{})}
	v.group = func(_ string, records []membership.Record) rollout.Groups { return rollout.Ungrouped(records) }
	v.grouped.Store(&map[string]rollout.Groups{})
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
	v.touch(m)
	v.arrange()
	return true
}

// touch notes that a member has changed; the caller holds the lock.
func (v *view) touch(m *member) {
	v.change++
	m.change = v.change
	close(v.changed)
	v.changed = make(chan struct{})
}

// remove takes a member out; the caller holds the lock.
func (v *view) remove(m *member) {
	delete(v.members, m.record.Instance())
	v.touch(m)
	v.buried = append(v.buried, burial{m.record.Departed(), m.change})
	if len(v.buried) > maxBuried {
		v.forgotten = v.buried[0].change
		v.buried = slices.Delete(v.buried, 0, 1)
	}
	v.arrange()
}

// bury takes in another node's word that a member has gone.
func (v *view) bury(gone membership.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[gone.Instance()]; m != nil && gone.Newer(m.record) {
		v.remove(m)
	}
}

// changes returns a channel that is closed at the next change of members.
func (v *view) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// changeSet is what has changed among the members up to a change.
type changeSet struct {
	members []listed
	whole   bool // members are all there are
	until   uint64
}

// changesSince returns what has changed after a change, all members for 0.
func (v *view) changesSince(after uint64) changeSet {
	v.mu.Lock()
	defer v.mu.Unlock()
	set := changeSet{whole: after == 0 || after < v.forgotten || after > v.change, until: v.change}
	for _, m := range v.members {
		if set.whole || m.change > after {
			set.members = append(set.members, listed{m.record, m.revision})
		}
	}
	if set.whole {
		return set
	}
	for _, b := range v.buried {
		if b.change > after && v.members[b.record.Instance()] == nil {
			set.members = append(set.members, listed{record: b.record})
		}
	}
	return set
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
		v.remove(m)
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
	v.remove(m)
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
	return v.list()
}

// newRecords returns all members and the last change if there was one after a
// change, else none.
func (v *view) newRecords(after uint64) ([]membership.Record, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.change == after {
		return nil, after
	}
	return v.list(), v.change
}

// domain returns the index of a failure domain among those of the members, in the
// order of their names, and how many there are.
func (v *view) domain(name string) (index, domains int) {
	known := map[string]bool{name: true}
	v.mu.Lock()
	for _, m := range v.members {
		known[m.record.Domain()] = true
	}
	v.mu.Unlock()
	index, _ = slices.BinarySearch(slices.Sorted(maps.Keys(known)), name)
	return index, len(known)
}

func (v *view) list() []membership.Record {
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
	grouped := map[string]rollout.Groups{}
	for pool, records := range pools {
		g := v.group(pool, records)
		if len(g.Candidates()) > 0 {
			grouped[pool] = g
		}
		records = g.Current()
		pools[pool] = records
		// A pool that is the same keeps its slice, so that the balancer is not
		// told of it again.
		if slices.Equal(old[pool], records) {
			pools[pool] = old[pool]
		}
	}
	v.pools.Store(&pools)
	v.grouped.Store(&grouped)
	v.size.Store(int64(len(v.members)))
}

// regroup parts the targets anew, as what is known of rollouts has changed.
func (v *view) regroup() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.arrange()
}

// groups returns the groups of a pool under a rollout, none of any other.
func (v *view) groups(pool string) rollout.Groups { return (*v.grouped.Load())[pool] }

// revise takes in that the store holds an instance's entry at a revision, or
// not at all for 0.
func (v *view) revise(r membership.Record, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[r.Instance()]
	if m == nil {
		m = &member{record: r}
		v.members[r.Instance()] = m
		v.touch(m)
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
