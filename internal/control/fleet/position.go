package fleet

import (
	"context"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// cachedPosition caches the node's position in the tree of its failure domain.
type cachedPosition struct {
	mu       sync.Mutex
	atChange uint64 // change number of the members that it was computed from
	valid    bool
	position tree.Position
}

// position returns the node's position among the members in its view.
func (f *Fleet) position() tree.Position {
	self, _ := f.ownRecord()
	f.cachedPosition.mu.Lock()
	defer f.cachedPosition.mu.Unlock()
	records, change := f.view.recordsIfChanged(f.cachedPosition.atChange)
	if change == f.cachedPosition.atChange && f.cachedPosition.valid {
		return f.cachedPosition.position
	}
	old := f.cachedPosition.position
	p := tree.PositionOf(self.Instance(), self.Domain(), records)
	f.cachedPosition.atChange, f.cachedPosition.valid, f.cachedPosition.position = change, true, p
	if old.Rank() != p.Rank() || old.Depth() != p.Depth() {
		f.log.Emit(event.PositionChanged, event.F("rank", p.Rank()), event.F("depth", p.Depth()), event.F("reader", p.IsRoot()))
	}
	return p
}

// rankedNodes caches the first nodes of failure domains by rank.
type rankedNodes struct {
	mu       sync.Mutex
	atChange uint64
	byDomain map[string][]membership.Record
}

// maxRankedNodes is the number of nodes of a domain that are cached.
const maxRankedNodes = 8

// HighestRanked returns the first nodes of a failure domain by rank, at most n and
// maxRankedNodes.
func (f *Fleet) HighestRanked(domain string, n int) []membership.Record {
	f.rankedNodes.mu.Lock()
	defer f.rankedNodes.mu.Unlock()
	c := &f.rankedNodes
	records, change := f.view.recordsIfChanged(c.atChange)
	if change != c.atChange {
		c.atChange, c.byDomain = change, map[string][]membership.Record{}
	}
	nodes, ok := c.byDomain[domain]
	if !ok {
		if records == nil {
			records = f.view.records()
		}
		nodes = tree.HighestRanked(domain, records, maxRankedNodes)
		c.byDomain[domain] = nodes
	}
	return nodes[:min(n, len(nodes))]
}

// readsStore reports whether the node reads the store for its failure domain: as the
// root, or while it is orphaned. An orphaned node that can't reach the store leaves reading
// to the root, as otherwise all nodes would send requests during an outage.
func (f *Fleet) readsStore() bool {
	return f.position().IsRoot() || f.orphaned.Load() && f.storeOK.Load()
}

// setOrphaned records whether the node is orphaned, and signals a change.
func (f *Fleet) setOrphaned(orphaned bool) {
	if f.orphaned.Swap(orphaned) != orphaned {
		f.signal(f.orphanedChanged)
	}
}

// firstReadDelay is the delay before a node that found no other member reads the members
// again. Without the second read, nodes that start together would each become the root.
const firstReadDelay = time.Second

// bootstrap reads what nodes have written to the store to find the node's position, and
// whether its pool ever had a rollout.
func (f *Fleet) bootstrap(ctx context.Context, done chan<- error) {
	for retried := false; ctx.Err() == nil; {
		_, err := f.readPrefix(ctx, nodesPrefix)
		if err != nil {
			f.storeFailed(ctx, err)
			// Other nodes have reported these members, which can be pulled from during the
			// outage.
			if retried && f.hasOtherMembers() {
				close(f.bootstrapped)
				break
			}
			_ = f.clk.Sleep(ctx, f.jitter(minRetry))
			continue
		}
		f.storeAnswered()
		if retried || f.hasOtherMembers() {
			close(f.bootstrapped)
			break
		}
		retried = true
		_ = f.clk.Sleep(ctx, f.jitter(firstReadDelay))
	}
	<-ctx.Done()
	done <- ctx.Err()
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
