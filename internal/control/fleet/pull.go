package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
	// parallelPullSlack is the same for a further parent, which is asked for an answer at once
	// while others are late.
	parallelPullSlack = 150 * time.Millisecond
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
	// fetchPause is the pause after no node could serve an announced version.
	fetchPause = 100 * time.Millisecond
	// maxRootStarting is how long a node waits for a root that is starting before it looks
	// for other parents, or reads the store itself.
	maxRootStarting = 2500 * time.Millisecond
	// startingPause is the pause before a starting parent is pulled from again.
	startingPause = 50 * time.Millisecond
	// maxCursors bounds the parents whose cursors are kept.
	maxCursors = 4
)

// puller pulls changes from the node's parents.
type puller struct {
	f        *Fleet
	selector *tree.Selector
	cursors  []cursor // of the last parents, the latest first
	reports  sentReports
}

// cursor is a position in the sequence of member changes of another node, and whether that
// node has said that the store does not answer it.
type cursor struct {
	instance      string
	epoch, change uint64
	storeSilent   bool
}

// cursor returns the position up to which the node has a parent's changes. It outlasts
// failed pulls, so that a parent that was late need not send all members again.
func (p *puller) cursor(instance string) cursor {
	for _, c := range p.cursors {
		if c.instance == instance {
			return c
		}
	}
	return cursor{instance: instance}
}

func (p *puller) setCursor(c cursor) {
	p.cursors = slices.DeleteFunc(p.cursors, func(old cursor) bool { return old.instance == c.instance })
	p.cursors = slices.Insert(p.cursors, 0, c)
	p.cursors = p.cursors[:min(len(p.cursors), maxCursors)]
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
	if f.recompareNeeded.Swap(false) {
		p.cursors = nil
	}
	from, wait := p.selector.Next(f.clk.Now())
	f.setOrphaned(p.selector.Orphaned(f.clk.Now()))
	if from.Instance() == "" {
		if left, ok := p.selector.UntilOrphaned(f.clk.Now()); ok && wait > 0 {
			wait = min(wait, left)
		}
		f.waitForChange(ctx, changed, wait)
		return
	}
	result := p.pullFirst(ctx, from)
	if result.err != nil {
		return
	}
	from, resp, now := result.from, result.resp, f.clk.Now()
	if resp.GetStartingMs() > 0 {
		p.parentIsStarting(now, from, time.Duration(resp.GetStartingMs())*time.Millisecond)
		return
	}
	f.recordRootStarting(now, 0)
	age := time.Duration(resp.GetAgeMs()) * time.Millisecond
	f.freshness.update(now, age)
	p.selector.Answered(now, from.Instance(), age)
	if err := f.applyPulledMembers(resp, from, age); err != nil {
		f.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from.Instance()))
		return
	}
	p.setCursor(cursor{from.Instance(), resp.GetEpoch(), resp.GetCursor(), resp.GetStoreSilent()})
	f.setRootSilent(resp.GetStoreSilent())
	f.acceptPeersCopy()
	f.mergeRollouts(resp.GetRollouts(), !resp.GetRolloutsUnknown())
	f.setSynced(f.Size(), 0)
	announced := resp.GetVersion()
	f.noteVersion(announced)
	if announced > f.Current().Version() && !f.fetchVersion(ctx, f.versionSources(position, from, resp.GetVersionBytes()), announced) {
		// Without the pause, pulls from a parent that announces a version but can't serve
		// it would be a busy loop.
		_ = f.clk.Sleep(ctx, fetchPause)
	}
	if len(resp.GetMembers()) > 0 || resp.GetWhole() != nil {
		_ = f.clk.Sleep(ctx, pullPause)
	}
}

// parentIsStarting handles the response of a parent that has nothing to serve yet. Others
// would not have more while the root itself starts.
func (p *puller) parentIsStarting(now time.Time, from membership.Record, rootStarting time.Duration) {
	p.f.recordRootStarting(now, rootStarting)
	if rootStarting > maxRootStarting {
		p.selector.Failed(now, from.Instance())
		return
	}
	p.selector.Busy(now, from.Instance(), startingPause)
}

// pullResult is the result of one pull.
type pullResult struct {
	from membership.Record
	resp *fleetpb.PullResponse
	err  error
}

// pullFirst pulls from a parent, and at the same time from the one that answered last, so that
// trying another costs no time, and from further ones while none answers, as stalled parents
// would otherwise each cost a full timeout in turn. It returns the first response, or an error
// if all pulls failed.
func (p *puller) pullFirst(ctx context.Context, first membership.Record) pullResult {
	f := p.f
	results := make(chan pullResult, maxParallelPulls+1)
	var pulls sync.WaitGroup
	defer pulls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	round := tree.NewRound(p.selector, maxParallelPulls)
	send := func(from membership.Record, hold time.Duration) {
		at := p.cursor(from.Instance())
		pulls.Go(func() {
			resp, err := f.pullFrom(ctx, from, at, hold, true, &p.reports)
			results <- pullResult{from, resp, err}
		})
	}
	ask := func(from membership.Record, hold, due, slack time.Duration) {
		round.Ask(f.clk.Now(), from.Instance(), due, slack)
		send(from, hold)
	}
	timing := timingOf(f.requestedWait(), p.selector.MayHold(first.Instance()), p.selector.Failing(), p.cursor(first.Instance()).epoch != 0)
	ask(first, timing.hold, timing.due, pullSlack)
	switch beside, fresh := p.selector.Beside(first.Instance()); {
	case beside.Instance() == "":
	case fresh:
		ask(beside, f.requestedWait(), pullWait, pullSlack)
	default:
		round.AskStale(beside.Instance())
		send(beside, f.requestedWait())
	}
	for {
		wake := f.clk.After(round.Wake(f.clk.Now()))
		select {
		case result := <-results:
			wake.Stop()
			now, from := f.clk.Now(), result.from.Instance()
			if ctx.Err() != nil || result.err == nil && (result.resp.GetStartingMs() == 0 || !round.Starting(now, from)) {
				return result
			}
			if result.err != nil {
				f.log.Emit(event.PeerLost, event.F("peer", from), event.F("error", result.err))
				round.Failed(now, from)
			}
			if round.Over() {
				return result
			}
		case <-wake.C():
		}
		if next, ok := round.Next(f.clk.Now()); ok {
			ask(next, 0, 0, timing.nextSlack)
		}
		if round.AskOthers(f.clk.Now()) {
			f.signal(f.parentsLate)
		}
		f.setOrphaned(p.selector.Orphaned(f.clk.Now()))
	}
}

// pullTiming is the timing of a round of pulls: how long the first parent may hold its response,
// when that is due, and by how much those of further parents may be late.
type pullTiming struct{ hold, due, nextSlack time.Duration }

// timingOf returns the timing of a round that requests a hold. mayHold is set if the first parent
// answered last; failing while no parent answers, known if the node has the first parent's changes
// so far.
func timingOf(hold time.Duration, mayHold, failing, known bool) pullTiming {
	switch {
	case mayHold && known:
		// A shorter hold does not make a slow parent a silent one.
		return pullTiming{hold: hold, due: pullWait, nextSlack: parallelPullSlack}
	case !failing && !known:
		return pullTiming{nextSlack: pullSlack} // nodes that start together are slow
	default:
		return pullTiming{nextSlack: parallelPullSlack}
	}
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

// pullFrom sends one pull request, which its receiver may hold for some time, with the reports
// that the receiver has not been sent.
func (f *Fleet) pullFrom(ctx context.Context, from membership.Record, at cursor, hold time.Duration, members bool, sent *sentReports) (*fleetpb.PullResponse, error) {
	ctx, cancel := f.clk.WithTimeout(ctx, pullWait+pullSlack)
	defer cancel()
	self, _ := f.ownRecord()
	client := fleetpb.NewFleetProtobufClient("http://"+from.ControlAddress().String(), f.pooledHTTP)
	reports, seqs := f.unsentReports(sent, from.Instance())
	resp, err := client.Pull(ctx, &fleetpb.PullRequest{
		Version: f.Current().Version(), Epoch: at.epoch, Cursor: at.change,
		WaitMs: uint32(hold.Milliseconds()), Members: members, Peer: self.ControlAddress().String(),
		Rollouts: f.rollouts.revisions(), Reports: reports, Domains: f.domainDigests(at, members), StoreSilent: at.storeSilent, To: from.Instance(),
	})
	if err == nil && isEmptyPull(resp, members) {
		err = &EmptyAnswerError{Address: from.ControlAddress()}
	}
	if err == nil {
		sent.markSent(from.Instance(), seqs)
	}
	err = asOtherInstance(from, err)
	f.refute(from, err)
	return resp, err
}

// isEmptyPull reports whether a response to a pull is not that of a node: a 200 without content would
// say that there is nothing. Nodes of an earlier version send no epoch without members.
func isEmptyPull(resp *fleetpb.PullResponse, members bool) bool {
	return resp.GetEpoch() == 0 && resp.GetStartingMs() == 0 && (members || resp.GetVersion() == 0)
}

// requestedWait returns how long a parent may hold a pull. It is shorter during a rollout,
// as pulls also carry reports to the root.
func (f *Fleet) requestedWait() time.Duration {
	if len(f.rollouts.undecided()) > 0 {
		return rolloutInterval
	}
	return pullWait
}

// domainDigests returns the digests that a pull without a cursor sends, so that only the
// members of failure domains that differ come back.
func (f *Fleet) domainDigests(at cursor, members bool) []*fleetpb.DomainDigest {
	if at.epoch != 0 || !members {
		return nil
	}
	digests := f.view.digests()
	out := make([]*fleetpb.DomainDigest, 0, len(digests))
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		out = append(out, &fleetpb.DomainDigest{Domain: name, Digest: digests[name]})
	}
	return out
}

// applyPulledMembers applies the members in a pull response from a parent whose data has
// some age.
func (f *Fleet) applyPulledMembers(resp *fleetpb.PullResponse, from membership.Record, age time.Duration) error {
	received := resp.GetMembers()
	if whole := resp.GetWhole(); whole != nil {
		var err error
		if received, err = decodeWholeDomains(whole.GetCompressed()); err != nil {
			return err
		}
	}
	members, present := make([]memberEntry, 0, len(received)), map[string]bool{}
	for _, m := range received {
		r, err := decodePeerEntry(m.GetEntry())
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from.Instance()))
			continue
		}
		present[r.Instance()] = true
		members = append(members, memberEntry{r, m.GetRevision()})
	}
	f.applyMembers(members)
	// Whose entry was refused isn't known, so that it can't be told who is absent.
	if whole := resp.GetWhole(); whole != nil && age < staleAfter && len(members) == len(received) {
		self, _ := f.ownRecord()
		present[self.Instance()] = true // other nodes' lists may lack this node
		f.view.update(func(b *batch) {
			b.dropAbsent(func(name string) bool { return slices.Contains(whole.GetDomains(), name) }, present, f.clk.Now())
		})
	}
	return nil
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

// DataAge returns the age of this node's data: the time since the store last answered the
// node that read it, as far as known and at most an hour.
func (f *Fleet) DataAge() time.Duration {
	age := min(f.freshness.age(f.clk.Now()), maxReportedAge)
	if f.readsStore() {
		// A node that has just begun to read the store has its parents' data.
		return min(f.StoreAge(), age)
	}
	return age
}
