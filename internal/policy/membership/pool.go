package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// tier says what part a member has in its pool.
type tier uint8

const (
	tierNone tier = iota
	// tierFallback members get work only where no other will do.
	tierFallback
	tierPreferred
)

// poolIndex holds the members of each pool ready for calls to read. A call
// takes no lock: it loads the map, then the slice, and neither changes once
// published.
type poolIndex struct {
	mu         sync.Mutex
	byName     atomic.Pointer[map[string]*pool]
	generation atomic.Uint64
}

type pool struct {
	name      string
	mu        sync.Mutex
	entries   []entry
	published atomic.Pointer[published]
}

type entry struct {
	record Record
	tier   tier
}

type published struct{ members, fallback []Record }

// Pool returns the members of a pool that get new work, or its fallback if
// there are none; the slice is shared and must not be changed.
func (v *View) Pool(name string) []Record {
	if p := (*v.pools.byName.Load())[name]; p != nil {
		return p.published.Load().members
	}
	return nil
}

// Fallback returns the members of a pool to be tried only when those of Pool
// turned the call away: of a failure domain that is cut off, suspected, or seen
// to fail by calls. The slice is shared and must not be changed.
func (v *View) Fallback(name string) []Record {
	if p := (*v.pools.byName.Load())[name]; p != nil {
		return p.published.Load().fallback
	}
	return nil
}

func (x *poolIndex) init() { x.byName.Store(&map[string]*pool{}) }

// pool returns a pool, made on first use; a fleet has few hundred, so copying
// the map for a new one is cheaper than a lock at each call.
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
	p.published.Store(&published{})
	next[name] = p
	x.byName.Store(&next)
	return p
}

// name returns the one copy of a pool's name that all records share.
func (x *poolIndex) name(s string) string {
	if s == "" {
		return s
	}
	return x.pool(s).name
}

// publisher gathers the pools that a batch touches, so that each is published
// once however many of its members the batch changes.
type publisher struct {
	index   *poolIndex
	touched map[*pool]struct{}
}

func (x *poolIndex) publisher() *publisher {
	return &publisher{index: x, touched: map[*pool]struct{}{}}
}

// put notes a member's tier. It runs under the member's shard's mutex, which
// keeps two changes of one member in order.
func (b *publisher) put(r Record, now, before tier) {
	if r.pool == "" || now == tierNone && before == tierNone {
		return
	}
	p := b.index.pool(r.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.put(entry{r, now}) {
		b.touched[p] = struct{}{}
	}
}

func (b *publisher) remove(r Record) { b.put(r, tierNone, tierPreferred) }

// put reports whether the entry changed anything.
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

// publish makes the changes visible to calls.
func (b *publisher) publish() {
	for p := range b.touched {
		p.publish()
	}
	if len(b.touched) > 0 {
		b.index.generation.Add(1)
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
	out := &published{
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
	p.published.Store(out)
}
