package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

const (
	// pullWait is how long a parent may hold a pull without changes, and pullSlack the
	// additional time for its response. Their sum is the timeout of a pull, which
	// must be well below the bound for applying a version.
	pullWait  = 800 * time.Millisecond
	pullSlack = 400 * time.Millisecond
	// maxParallelPulls bounds the parents that are pulled from concurrently.
	maxParallelPulls = 3
	// pullPause follows a response with members, to batch a series of changes. It also
	// delays versions, at each level of the tree.
	pullPause = 50 * time.Millisecond
	// staleAfter is the age from which a parent's data is stale. It must exceed
	// renewInterval, as the data of an idle fleet ages between renewals.
	staleAfter = 2500 * time.Millisecond
	// holdDown is how long a failed parent is avoided.
	holdDown = 3 * time.Second
	// orphanedAfter is the time without an answer from any parent after which the node is
	// orphaned. It allows for parents that have just started.
	orphanedAfter = 800 * time.Millisecond
	// fetchHedgeDelay is the delay before a version is also requested from the next node.
	fetchHedgeDelay = 150 * time.Millisecond
	// fetchPause is the pause after no node could serve an announced version.
	fetchPause = 100 * time.Millisecond
)

// puller pulls changes from the node's parents.
type puller struct {
	f        *Fleet
	selector *tree.Selector
	at       cursor
	reports  sentReports
}

// cursor is a position in the sequence of member changes of another node.
type cursor struct {
	instance      string
	epoch, change uint64
}

// pull continuously pulls from a parent, and from another one if it fails.
func (f *Fleet) pull(ctx context.Context) {
	f.mu.Lock()
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
	f.mu.Unlock()
	p := &puller{f: f, selector: tree.NewSelector(rng,
		tree.StaleAfter(staleAfter), tree.HoldDown(holdDown), tree.OrphanedAfter(orphanedAfter))}
	for ctx.Err() == nil {
		p.step(ctx)
	}
}

func (p *puller) step(ctx context.Context) {
	f := p.f
	changed := f.view.changes()
	position := f.position()
	p.selector.Update(position)
	from, wait := p.selector.Next(f.clk.Now())
	f.setOrphaned(p.selector.Orphaned(f.clk.Now()))
	if from.Instance() == "" {
		f.waitForChange(ctx, changed, wait)
		return
	}
	result := p.pullFirst(ctx, from)
	if result.err != nil {
		p.at = cursor{}
		return
	}
	from, resp, now := result.from, result.resp, f.clk.Now()
	if p.at.instance != from.Instance() {
		p.at = cursor{instance: from.Instance()}
	}
	age := time.Duration(resp.GetAgeMs()) * time.Millisecond
	f.freshness.update(now, age)
	p.selector.Answered(now, from.Instance(), age)
	p.at.epoch, p.at.change = resp.GetEpoch(), resp.GetCursor()
	f.mergeRollouts(resp.GetRollouts(), !resp.GetRolloutsUnknown())
	f.applyMembers(resp, from)
	announced := resp.GetVersion()
	if announced > f.Current().Version() && !f.fetchVersion(ctx, append([]netip.AddrPort{from.ControlAddress()}, peerAddresses(position.Parents())...), announced) {
		// Without the pause, pulls from a parent that announces a version but can't serve
		// it would be a busy loop.
		_ = f.clk.Sleep(ctx, fetchPause)
	}
	if len(resp.GetMembers()) > 0 {
		_ = f.clk.Sleep(ctx, pullPause)
	}
}

// pullResult is the result of one pull.
type pullResult struct {
	from membership.Record
	resp *fleetpb.PullResponse
	err  error
}

// pullFirst pulls from a parent, and concurrently from further ones while none answers,
// as stalled parents would otherwise each cost a full timeout in turn. It returns the
// first response, or an error if all pulls failed.
func (p *puller) pullFirst(ctx context.Context, first membership.Record) pullResult {
	f := p.f
	results := make(chan pullResult, maxParallelPulls)
	var pulls sync.WaitGroup
	defer pulls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := map[string]bool{}
	start := func(from membership.Record) *timer.Subscription {
		at := cursor{}
		if p.at.instance == from.Instance() {
			at = p.at
		}
		pending[from.Instance()] = true
		pulls.Go(func() {
			resp, err := f.pullFrom(ctx, from, at, true, &p.reports)
			results <- pullResult{from, resp, err}
		})
		return f.clk.After(hedgeDelay(at))
	}
	hedge, last := start(first), first
	defer func() { hedge.Stop() }()
	for {
		select {
		case result := <-results:
			if result.err == nil || ctx.Err() != nil {
				return result
			}
			f.log.Emit(event.PeerLost, event.F("peer", result.from.Instance()), event.F("error", result.err))
			p.selector.Failed(f.clk.Now(), result.from.Instance())
			delete(pending, result.from.Instance())
			if len(pending) == 0 {
				return result
			}
		case <-hedge.C():
			p.selector.Failed(f.clk.Now(), last.Instance())
			next, _ := p.selector.Next(f.clk.Now())
			if next.Instance() == "" || pending[next.Instance()] || len(pending) == maxParallelPulls {
				continue
			}
			hedge, last = start(next), next
		}
	}
}

// hedgeDelay returns the delay before another parent is also pulled from. It is short for
// a pull without a cursor, which is answered at once. With a cursor it is the full timeout,
// as another parent would send all members.
func hedgeDelay(at cursor) time.Duration {
	if at.epoch == 0 {
		return pullSlack
	}
	return pullWait + pullSlack
}

// waitForChange waits for a change of the members, or for a limited time if wait is positive.
func (f *Fleet) waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	if wait <= 0 {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return
	}
	t := f.clk.After(min(wait, orphanedAfter))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C():
	}
}

// pullFrom sends one pull request, with the reports that its receiver has not been sent.
func (f *Fleet) pullFrom(ctx context.Context, from membership.Record, at cursor, members bool, sent *sentReports) (*fleetpb.PullResponse, error) {
	ctx, cancel := f.clk.WithTimeout(ctx, pullWait+pullSlack)
	defer cancel()
	self, _ := f.ownRecord()
	client := fleetpb.NewFleetProtobufClient("http://"+from.ControlAddress().String(), f.pooledHTTP)
	reports, seqs := f.unsentReports(sent, from.Instance())
	resp, err := client.Pull(ctx, &fleetpb.PullRequest{
		Version: f.Current().Version(), Epoch: at.epoch, Cursor: at.change,
		WaitMs: uint32(f.requestedWait().Milliseconds()), Members: members, Peer: self.ControlAddress().String(),
		Rollouts: f.rollouts.revisions(), Reports: reports,
	})
	if err == nil {
		sent.markSent(from.Instance(), seqs)
	}
	return resp, err
}

// requestedWait returns how long a parent may hold a pull. It is shorter during a rollout,
// as pulls also carry reports to the root.
func (f *Fleet) requestedWait() time.Duration {
	if len(f.rollouts.undecided()) > 0 {
		return rolloutInterval
	}
	return pullWait
}

// applyMembers applies the members in a pull response.
func (f *Fleet) applyMembers(resp *fleetpb.PullResponse, from membership.Record) {
	present := map[string]bool{}
	for _, m := range resp.GetMembers() {
		r, err := decodePeerEntry(m.GetEntry())
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from.Instance()))
			continue
		}
		present[r.Instance()] = true
		f.applyMember(r, m.GetRevision())
	}
	if resp.GetWhole() {
		self, _ := f.ownRecord()
		present[self.Instance()] = true // other nodes' lists may lack this node
		f.view.dropAbsent(present, f.clk.Now())
	}
}

// applyMember applies one member as another node reports it.
func (f *Fleet) applyMember(r membership.Record, revision uint64) {
	switch {
	case f.isOwn(r):
		f.supersedeEarlier(r)
	case r.State() == membership.Gone:
		f.view.applyDeparture(r)
	default:
		f.putMember(r, revision)
	}
}

// peerAddresses returns the addresses at which nodes serve the fleet service.
func peerAddresses(records []membership.Record) []netip.AddrPort {
	out := make([]netip.AddrPort, len(records))
	for i, r := range records {
		out[i] = r.ControlAddress()
	}
	return out
}

// fetchVersion requests a version from nodes in turn and reports whether it is active. The
// next node is queried once one has responded without the version or is late.
func (f *Fleet) fetchVersion(ctx context.Context, from []netip.AddrPort, wanted uint64) bool {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, peer := range from {
		answered := make(chan struct{})
		fetches.Go(func() {
			f.queryPeer(ctx, peer, false)
			close(answered)
		})
		hedge := f.clk.After(fetchHedgeDelay)
		select {
		case <-answered:
		case <-hedge.C():
		}
		hedge.Stop()
		if f.Current().Version() >= wanted || ctx.Err() != nil {
			return true
		}
	}
	fetches.Wait()
	return f.Current().Version() >= wanted
}

// sharedFreshness is the freshness of this node's data, for concurrent use.
type sharedFreshness struct {
	mu        sync.Mutex
	freshness tree.Freshness
}

func (s *sharedFreshness) update(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Update(now, age)
}

func (s *sharedFreshness) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Age(now)
}

// known reports whether any parent has reported an age.
func (s *sharedFreshness) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Known()
}

const maxReportedAge = time.Hour

// storeDataAge returns the age of this node's data: the time since the store last answered
// the node that read it, as far as known and at most maxReportedAge.
func (f *Fleet) storeDataAge() time.Duration {
	if f.readsStore() {
		return min(f.StoreAge(), maxReportedAge)
	}
	return min(f.freshness.age(f.clk.Now()), maxReportedAge)
}
