package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// tier is a member's priority in its pool.
type tier uint8

const (
	tierNone tier = iota
	// tierFallback members get calls only if no preferred member takes them.
	tierFallback
	tierPreferred
)

// poolIndex indexes members by pool. Lookups by calls take no lock: they load the
// map, then the pool's snapshot, both of which are immutable once published.
type poolIndex struct {
	mu         sync.Mutex
	byName     atomic.Pointer[map[string]*pool]
	generation atomic.Uint64
}

type pool struct {
	name     string
	mu       sync.Mutex
	entries  []entry
	snapshot atomic.Pointer[poolSnapshot]
}

type entry struct {
	record Record
	tier   tier
}

type poolSnapshot struct{ members, fallback []Record }

// Pool returns the preferred members of a pool, or the fallback members if there
// are none. The slice is shared and must not be modified.
func (v *View) Pool(name string) []Record {
	if p := (*v.pools.byName.Load())[name]; p != nil {
		return p.snapshot.Load().members
	}
	return nil
}

// Fallback returns the members of a pool to try only after those of Pool refused
// the call: members of a failure domain that is cut off, suspects, flapping
// members and those that refused a connection of this node. The slice is shared
// and must not be modified.
func (v *View) Fallback(name string) []Record {
	if p := (*v.pools.byName.Load())[name]; p != nil {
		return p.snapshot.Load().fallback
	}
	return nil
}

func (x *poolIndex) init() { x.byName.Store(&map[string]*pool{}) }

// pool returns a pool and creates it on first use. It copies the map, so that
// lookups need no lock; a fleet has only a few hundred pools.
func (x *poolIndex) pool(name string) *pool {
	if p := (*x.byName.Load())[name]; p != nil {
		return p
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	old := *x.byName.Load()
	if p := old[name]; p != nil {
		return p
	}
	next := maps.Clone(old)
	p := &pool{name: name}
	p.snapshot.Store(&poolSnapshot{})
	next[name] = p
	x.byName.Store(&next)
	return p
}

// intern returns the copy of a pool's name that all records share.
func (x *poolIndex) intern(s string) string {
	if s == "" {
		return s
	}
	return x.pool(s).name
}

// publisher collects the pools that a batch changes, so that each is published
// once per batch.
type publisher struct {
	index *poolIndex
	dirty map[*pool]struct{}
}

func (x *poolIndex) publisher() *publisher {
	return &publisher{index: x, dirty: map[*pool]struct{}{}}
}

// put updates a member's tier. It runs under the mutex of the member's shard,
// which keeps changes of one member in order.
func (pub *publisher) put(r Record, newTier, oldTier tier) {
	if r.pool == "" || newTier == tierNone && oldTier == tierNone {
		return
	}
	p := pub.index.pool(r.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.put(entry{r, newTier}) {
		pub.dirty[p] = struct{}{}
	}
}

func (pub *publisher) remove(r Record) { pub.put(r, tierNone, tierPreferred) }

// put stores an entry, or removes it if its tier is tierNone, and reports whether
// the pool changed.
func (p *pool) put(e entry) bool {
	i, found := slices.BinarySearchFunc(p.entries, e, compareEntries)
	switch {
	case e.tier == tierNone && found:
		p.entries = slices.Delete(p.entries, i, i+1)
	case e.tier == tierNone || found && p.entries[i] == e:
		return false
	case found:
		p.entries[i] = e
	default:
		p.entries = slices.Insert(p.entries, i, e)
	}
	return true
}

func compareEntries(a, b entry) int {
	return cmp.Or(cmp.Compare(a.record.domain, b.record.domain), cmp.Compare(a.record.instance, b.record.instance))
}

// publish makes the collected changes visible to lookups.
func (pub *publisher) publish() {
	for p := range pub.dirty {
		p.publish()
	}
	if len(pub.dirty) > 0 {
		pub.index.generation.Add(1)
	}
}

func (p *pool) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	preferred := 0
	for i := range p.entries {
		if p.entries[i].tier == tierPreferred {
			preferred++
		}
	}
	out := &poolSnapshot{
		members:  make([]Record, 0, preferred),
		fallback: make([]Record, 0, len(p.entries)-preferred),
	}
	for _, e := range p.entries {
		if e.tier == tierPreferred {
			out.members = append(out.members, e.record)
		} else {
			out.fallback = append(out.fallback, e.record)
		}
	}
	if preferred == 0 {
		out.members = out.fallback
	}
	p.snapshot.Store(out)
}
