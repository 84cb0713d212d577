package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// cachedPosition caches the node's position in the tree of its failure domain.
type cachedPosition struct {
	mu sync.Mutex
	// domainChange and change are the numbers of the last change, in the domain and
	// anywhere, that it was computed from. Only a reader's position depends on other domains.
	domainChange, change uint64
	valid                bool
	position             tree.Position
	computed             int
}

// position returns the node's position among the members in its view.
func (f *Fleet) position() tree.Position {
	self, _ := f.ownRecord()
	c := &f.cachedPosition
	c.mu.Lock()
	defer c.mu.Unlock()
	change := f.view.lastChange()
	own, domainChange := f.view.domainRecords(self.Domain(), c.domainChange)
	if c.valid && domainChange == c.domainChange && (change == c.change || !c.position.IsReader()) {
		return c.position
	}
	c.computed++
	old := c.position
	p := old
	if !c.valid || domainChange != c.domainChange {
		p = tree.PositionOf(self.Instance(), self.Domain(), own)
	}
	if p.IsReader() {
		p = tree.PositionOf(self.Instance(), self.Domain(), f.view.records())
	}
	c.domainChange, c.change, c.valid, c.position = domainChange, change, true, p
	if old.Rank() != p.Rank() || old.Depth() != p.Depth() {
		f.log.Emit(event.PositionChanged, event.F("rank", p.Rank()), event.F("depth", p.Depth()), event.F("reader", p.IsRoot()))
	}
	return p
}

// rankedNodes caches the first nodes of failure domains by rank.
type rankedNodes struct {
	mu       sync.Mutex
	byDomain map[string]rankedDomain
}

type rankedDomain struct {
	change uint64 // of the domain, that the nodes were ranked from
	nodes  []membership.Record
}

// maxRankedNodes is the number of nodes of a domain that are cached.
const maxRankedNodes = 8

// HighestRanked returns the first nodes of a failure domain by rank, at most n and
// maxRankedNodes.
func (f *Fleet) HighestRanked(domain string, n int) []membership.Record {
	c := &f.rankedNodes
	c.mu.Lock()
	defer c.mu.Unlock()
	ranked := c.byDomain[domain]
	if records, change := f.view.domainRecords(domain, ranked.change); change != ranked.change {
		ranked = rankedDomain{change, tree.HighestRanked(domain, records, maxRankedNodes)}
		c.byDomain[domain] = ranked
	}
	return ranked.nodes[:min(n, len(ranked.nodes))]
}

// readsStore reports whether the node reads the store for its failure domain: as the root,
// while it is orphaned, or as a standby. A node that can't reach the store leaves reading to
// the root, as otherwise all nodes would send requests during an outage.
func (f *Fleet) readsStore() bool {
	return f.position().IsRoot() || (f.orphaned.Load() || f.isStandby()) && f.storeOK.Load()
}

// isStandby reports whether the node is the next by rank after a root that the store does not
// answer, or late. The store may turn some nodes away and serve the others, which only a call
// can tell.
func (f *Fleet) isStandby() bool { return f.rootSilent.Load() && f.position().Rank() == 1 }

// untried reports whether the node is a standby that has not had an answer of the store yet.
// It makes one call until then: in an outage all standbys would otherwise go on calling.
func (f *Fleet) untried() bool {
	return f.isStandby() && !f.orphaned.Load() && !f.standbyAnswered.Load()
}

// setRootSilent records whether the store answers the root, and signals a change.
func (f *Fleet) setRootSilent(silent bool) {
	if f.rootSilent.Load() == silent {
		return
	}
	f.standbyAnswered.Store(false)
	f.rootSilent.Store(silent)
	f.signal(f.readerChanged)
}

// setOrphaned records whether the node is orphaned, and signals a change.
func (f *Fleet) setOrphaned(orphaned bool) {
	if f.orphaned.Swap(orphaned) != orphaned {
		f.log.Emit(event.Orphaned, event.F("on", orphaned), event.F("rank", f.position().Rank()),
			event.F("data_age", f.DataAge()), event.F("version", f.Current().Version()))
		f.signal(f.readerChanged)
	}
}

const (
	// rereadDelay is the delay before a node that found no other member reads them again.
	// Without that, nodes that start together would each become the root.
	rereadDelay = 700 * time.Millisecond
	// aloneAfter is how long a node without an entry of its own looks for other members.
	aloneAfter = 3 * time.Second
	// maxStartRetry bounds the backoff of a starting node that the store refuses.
	maxStartRetry = time.Second
)

// bootstrap reads the members of the node's failure domain from the store to find the
// node's position. They may be stale: the node then pulls the others from its parents, or
// reads the store as the root.
func (f *Fleet) bootstrap(ctx context.Context, done chan<- error) {
	began, backoff := f.clk.Now(), minRetry
	for ctx.Err() == nil {
		ownEntry, err := f.readDomain(ctx)
		f.storeReturned(ctx, err)
		if err != nil {
			// Other nodes have reported these members, which can be pulled from during the
			// outage.
			if f.hasOtherMembers() {
				break
			}
			_ = f.clk.Sleep(ctx, f.jitter(backoff))
			backoff = min(2*backoff, maxStartRetry)
			continue
		}
		// A copy that has the node's own entry has those that were written before it.
		if f.hasOtherMembers() || ownEntry || f.clk.Since(began) >= aloneAfter {
			break
		}
		_ = f.clk.Sleep(ctx, f.jitter(rereadDelay))
	}
	close(f.bootstrapped)
	<-ctx.Done()
	done <- ctx.Err()
}

// readDomain reads the entries of the node's failure domain, which may be stale, and
// reports whether its own is among them.
func (f *Fleet) readDomain(ctx context.Context) (ownEntry bool, err error) {
	self, _ := f.ownRecord()
	values, _, err := f.store.Range(ctx, domainPrefix(self.Domain()), platform.AllowStale())
	if err != nil {
		return false, err
	}
	f.applyValues(values)
	own := entryKey(self.Domain(), self.Instance())
	return slices.ContainsFunc(values, func(v platform.Value) bool { return v.Key() == own }), nil
}

func (f *Fleet) hasOtherMembers() bool {
	for _, r := range f.view.records() {
		if !f.isOwn(r) {
			return true
		}
	}
	return false
}

// afterBootstrap delays a background task until the node's position is known.
func (f *Fleet) afterBootstrap(task func(context.Context)) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		select {
		case <-ctx.Done():
		case <-f.bootstrapped:
			task(ctx)
		}
		done <- ctx.Err()
	}
}

// byDomain splits the members other than self into those of its failure domain and
// the others.
func byDomain(members []membership.Record, self membership.Record) (local, remote []membership.Record) {
	for _, m := range members {
		switch {
		case m.Instance() == self.Instance():
		case m.Domain() == self.Domain():
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return local, remote
}
