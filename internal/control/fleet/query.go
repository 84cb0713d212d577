package fleet

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// queryInterval is how often a node without the store queries another node, and how
	// often members whose entries the store dropped are checked.
	queryInterval = 500 * time.Millisecond
	// queryTimeout bounds the probe of a member. fetchTimeout bounds a query that may
	// return a configuration, which can be delayed by the store's data on a narrow link.
	queryTimeout = 500 * time.Millisecond
	fetchTimeout = 1200 * time.Millisecond
	// storeOutageAfter is how long the store must be unresponsive before other nodes are
	// queried instead.
	storeOutageAfter = time.Second
	// hintDelay lets the store's watch or a parent deliver a hinted version first. Without
	// it, each node would fetch each version of a burst twice.
	hintDelay = 400 * time.Millisecond
	// absentGrace and domainGrace are how long an entry and a failure domain's key may be
	// missing before nodes are probed, and missingRetry is the interval between probes
	// while they stay missing. A domain's root rewrites its key within two seconds of the
	// store's recovery.
	absentGrace  = 300 * time.Millisecond
	domainGrace  = 2500 * time.Millisecond
	missingRetry = 2 * time.Second
	// maxProbes bounds the probes that run in parallel.
	maxProbes = 32
	// remoteEvery makes each remoteEvery-th query consider nodes of all failure domains;
	// the others stay in the node's own domain.
	remoteEvery = 3
)

// queryPeers gets data from other nodes when a hint arrives or the store is unavailable.
func (f *Fleet) queryPeers(ctx context.Context, done chan<- error) {
	tick := f.clk.Subscribe(queryInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case hinted := <-f.hints:
			f.fetchHinted(ctx, hinted)
		case <-tick.C():
			if f.StoreAge() > storeOutageAfter && !f.storeOK.Load() && (f.position().IsRoot() || f.orphaned.Load()) {
				f.queryRandomPeer(ctx)
			}
		}
	}
	done <- ctx.Err()
}

// fetchHinted fetches a hinted version, preferably from the first parent, as that causes
// no traffic between failure domains.
func (f *Fleet) fetchHinted(ctx context.Context, hinted hint) {
	if f.clk.Sleep(ctx, hintDelay) != nil {
		return
	}
	if held, _ := f.newest(); held >= hinted.version {
		return
	}
	from := sourcesOf(f.position().Parents(), 0)
	// Only one parent comes before the hinted node, as each stalled one costs a delay.
	index := min(len(from), 1)
	f.fetchVersion(ctx, slices.Insert(from, index, versionSource{peer: hinted.peer}), hinted.version)
}

// othersAsked is how many nodes are asked at the same time while the parents are late.
const othersAsked = 2

// askOthers asks nodes that are no parents for a newer version while the parents are late.
func (f *Fleet) askOthers(ctx context.Context, done chan<- error) {
	var queries sync.WaitGroup
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.parentsLate:
			for _, r := range f.randomOthers(othersAsked) {
				queries.Go(func() { f.queryPeer(ctx, r.ControlAddress(), false) })
			}
		}
	}
	queries.Wait()
	done <- ctx.Err()
}

// randomOthers returns some nodes of other failure domains, which don't depend on the same readers,
// or of this one if there are none.
func (f *Fleet) randomOthers(n int) []membership.Record {
	self, _ := f.ownRecord()
	local, remote := byDomain(f.view.records(), self)
	if len(remote) == 0 {
		remote = local
	}
	return f.pickRandom(remote, n)
}

// pickRandom returns some records, chosen at random, and reorders the given ones.
func (f *Fleet) pickRandom(records []membership.Record, n int) []membership.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = min(n, len(records))
	for i := range n {
		j := i + f.rng.IntN(len(records)-i)
		records[i], records[j] = records[j], records[i]
	}
	return records[:n]
}

// queryRandomPeer queries one other node, chosen at random.
func (f *Fleet) queryRandomPeer(ctx context.Context) {
	self, _ := f.ownRecord()
	local, remote := byDomain(f.view.records(), self)
	peers := local
	// Queries within the failure domain are cheaper, but the whole domain may be cut off
	// from the store.
	if len(local) == 0 || f.queries%remoteEvery == remoteEvery-1 {
		peers = append(peers, remote...)
	}
	f.queries++
	for _, peer := range f.pickRandom(peers, 1) {
		f.queryPeer(ctx, peer.ControlAddress(), true)
	}
}

// queryPeer requests a node's newer configuration and its rollouts, and all of its
// members if members is set, and applies them. It returns the version of the configuration that
// the node has sent, 0 if none.
func (f *Fleet) queryPeer(ctx context.Context, peer netip.AddrPort, members bool) uint64 {
	resp, err := f.requestView(ctx, f.pooledHTTP, peer, f.Current().Version(), members, fetchTimeout)
	if ctx.Err() != nil {
		return 0 // another query returned first, or the node is stopping
	}
	if err != nil {
		f.log.Emit(event.PeerLost, event.F("peer", peer), event.F("error", err))
		return 0
	}
	sent := uint64(0)
	if compressed := resp.GetConfiguration(); len(compressed) > 0 {
		sent = resp.GetVersion()
		f.applyCompressed(sent, compressed, peer.String())
	}
	f.mergeRollouts(resp.GetRollouts(), !resp.GetRolloutsUnknown())
	var received []memberEntry
	for _, b := range append(resp.GetMembers(), resp.GetEntry()) {
		if len(b) == 0 {
			continue
		}
		r, err := decodePeerEntry(b)
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", peer))
			continue
		}
		switch {
		case f.isOwn(r) && r.Departed() != "":
			f.onDeparted(r.Departed())
		case !f.isOwn(r) && r.State() != membership.Gone:
			received = append(received, memberEntry{record: r})
		}
	}
	f.applyMembers(received)
	if len(received) > 0 {
		f.acceptPeersCopy()
	}
	return sent
}

// checkMissing regularly probes the members whose entries, or whose failure domain's key, the
// store has dropped.
//
// Removing all of these members would leave too few targets if the store has lost them;
// keeping them all would send calls to nodes that have stopped. Readers find most of them;
// the other nodes learn the outcome from their parents.
func (f *Fleet) checkMissing(ctx context.Context, done chan<- error) {
	f.periodically(ctx, nil, f.probeMissing)
	done <- ctx.Err()
}

// periodically calls run each queryInterval, and on each signal on wake, until ctx ends.
func (f *Fleet) periodically(ctx context.Context, wake <-chan struct{}, run func(context.Context)) {
	tick := f.clk.Subscribe(queryInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-wake:
			run(ctx)
		case <-tick.C():
			run(ctx)
		}
	}
}

// probeMissing probes all members that are due, many in parallel: an isolated failure domain
// leaves many unresponsive, each of which takes a full timeout.
func (f *Fleet) probeMissing(ctx context.Context) {
	self, _ := f.ownRecord()
	now := f.clk.Now()
	f.recheckRefuted()
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for _, r := range f.view.dueForProbe(now, missingRetry) {
		if r.Instance() == self.Instance() {
			continue
		}
		slots <- struct{}{}
		probes.Go(func() {
			f.probeMissingMember(ctx, now, r)
			<-slots
		})
	}
	probes.Wait()
}

// probe reports whether an instance's node answers, and puts what it announces.
func (f *Fleet) probe(ctx context.Context, r membership.Record) (bool, error) {
	resp, err := f.requestView(ctx, f.oneShotHTTP, r.ControlAddress(), noVersion, false, queryTimeout)
	if err != nil || len(resp.GetEntry()) == 0 {
		return err == nil, err
	}
	answer, err := decodePeerEntry(resp.GetEntry())
	if err != nil {
		return false, err
	}
	if answer.Instance() != r.Instance() {
		return false, &OtherInstanceError{Instance: r.Instance(), Address: r.ControlAddress()}
	}
	f.view.put(answer, 0)
	return true, nil
}

// probeMissingMember keeps a missing member that answers and removes one that doesn't. The
// reader of its failure domain writes the entry of one that answers again: the member itself
// does not read the store.
func (f *Fleet) probeMissingMember(ctx context.Context, now time.Time, r membership.Record) {
	alive, err := f.probe(ctx, r)
	if alive {
		if since := f.view.missingSince(r.Instance()); !since.IsZero() { // zero if the store has the entry again
			f.log.Emit(event.MemberKept, event.F("instance", r.Instance()), event.F("missing_for", now.Sub(since)))
			f.restoreEntry(ctx, r.Instance())
		}
		return
	}
	f.refute(r, err)
	if ctx.Err() == nil && f.view.removeMissing(r) {
		f.log.Emit(event.InstanceLost, event.F("instance", r.Instance()), event.F("target", r.TargetID()), event.F("error", err))
	}
}

// restoreEntry writes the entry of a member of this node's failure domain to the store, if
// the store is not known to have it and this node reads the store for the domain.
func (f *Fleet) restoreEntry(ctx context.Context, instance string) {
	self, _ := f.ownRecord()
	r, revision := f.view.member(instance)
	if r.Domain() != self.Domain() || revision > 0 || !f.readsStore() {
		return
	}
	revision, err := f.store.CompareAndSwap(ctx, entryKey(r.Domain(), instance), 0, encodeEntry(r))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		f.view.put(r, revision)
	case !errors.As(err, &conflict):
		f.storeFailed(ctx, err)
	}
}

// noVersion requests no configuration, as no version is greater.
const noVersion = math.MaxUint64

func (f *Fleet) requestView(ctx context.Context, httpClient *http.Client, peer netip.AddrPort, version uint64, members bool, timeout time.Duration) (*fleetpb.ViewResponse, error) {
	ctx, cancel := f.clk.WithTimeout(ctx, timeout)
	defer cancel()
	client := fleetpb.NewFleetProtobufClient("http://"+peer.String(), httpClient)
	resp, err := client.View(ctx, &fleetpb.ViewRequest{Version: version, Members: members})
	if err == nil && resp.GetEpoch() == 0 && len(resp.GetEntry()) == 0 {
		// Nodes of an earlier version send no epoch, and no entry while they start.
		err = &EmptyAnswerError{Address: peer}
	}
	return resp, err
}
