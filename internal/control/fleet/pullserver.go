package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// maxPullWait bounds how long a pull is held, whatever its sender requests.
const maxPullWait = 10 * time.Second

// Pull implements fleetpb.Fleet.
func (f *Fleet) Pull(ctx context.Context, r *fleetpb.PullRequest) (*fleetpb.PullResponse, error) {
	if self, _ := f.ownRecord(); r.GetTo() != "" && r.GetTo() != self.Instance() {
		return nil, notThisInstance()
	}
	f.noteNewerPeer(r)
	wait := f.clk.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPullWait))
	defer wait.Stop()
	if resp := f.awaitSync(ctx); resp != nil {
		return resp, nil
	}
	if !f.hasStoreData() {
		return nil, twirp.NewError(twirp.Unavailable, "this node has no parent yet")
	}
	f.rollouts.addReports(r.GetReports())
	for {
		changed, rolloutsChanged := f.view.changes(), f.rollouts.changes()
		announced, storeChanged := f.nextAnnounced(), f.nextStoreChange()
		resp, updated := f.buildPullResponse(r)
		if updated {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the node has gone")
		case <-wait.C():
			resp, _ = f.buildPullResponse(r)
			return resp, nil
		case <-changed:
		case <-announced:
		case <-rolloutsChanged:
		case <-storeChanged:
		}
	}
}

// startingWait bounds how long a starting node holds a pull. It must be below pullSlack, after
// which the sender also pulls from another node.
const startingWait = 300 * time.Millisecond

// awaitSync waits until a starting node knows the members. If that takes too long, it returns
// a response that says so: without one, all nodes of a failure domain that start together
// would take each other for failed and read the store.
func (f *Fleet) awaitSync(ctx context.Context) *fleetpb.PullResponse {
	if f.synced.Load() {
		return nil
	}
	timeout := f.clk.After(startingWait)
	defer timeout.Stop()
	f.mu.Lock()
	synced := f.syncedChanged
	f.mu.Unlock()
	select {
	case <-synced:
		return nil
	case <-ctx.Done():
	case <-timeout.C():
	}
	return &fleetpb.PullResponse{StartingMs: uint32(max(1, f.rootStartingFor().Milliseconds()))}
}

// rootStarting is since when the root above this node is starting, as far as known.
type rootStarting struct {
	mu    sync.Mutex
	since time.Time // zero if it has started
}

// rootStartingFor returns for how long the root above this node has been starting; 0 if it
// has started.
func (f *Fleet) rootStartingFor() time.Duration {
	if f.position().IsRoot() {
		return f.clk.Since(f.startedAt)
	}
	f.rootStarting.mu.Lock()
	defer f.rootStarting.mu.Unlock()
	if f.rootStarting.since.IsZero() {
		return 0
	}
	return f.clk.Since(f.rootStarting.since)
}

// recordRootStarting records for how long the root is starting by a parent's response.
func (f *Fleet) recordRootStarting(now time.Time, d time.Duration) {
	f.rootStarting.mu.Lock()
	defer f.rootStarting.mu.Unlock()
	f.rootStarting.since = time.Time{}
	if d > 0 {
		f.rootStarting.since = now.Add(-d)
	}
}

// noteNewerPeer records a hint if the sender of a pull has a newer version. A new node may
// rank itself first before it is in any other node's member list. It then has no children,
// so other nodes learn of its version only from its pulls.
func (f *Fleet) noteNewerPeer(r *fleetpb.PullRequest) {
	if held, _ := f.newest(); r.GetVersion() <= held {
		return
	}
	if peer, err := netip.ParseAddrPort(r.GetPeer()); err == nil {
		f.Hint(peer, r.GetVersion())
	}
}

// hasStoreData reports whether the node reads the store or has data from a parent. A node
// without data must not serve pulls: its children would wait for it or get an empty member
// list, while other nodes could serve them.
func (f *Fleet) hasStoreData() bool { return f.readsStore() || f.freshness.known() }

// buildPullResponse returns the response to a pull and whether it contains any change.
func (f *Fleet) buildPullResponse(r *fleetpb.PullRequest) (*fleetpb.PullResponse, bool) {
	version, compressed := f.newest()
	resp := &fleetpb.PullResponse{Version: version, Epoch: f.epoch, AgeMs: uint32(f.DataAge().Milliseconds())}
	resp.Rollouts, resp.RolloutsUnknown = f.rollouts.answer(r.GetRollouts())
	if resp.Version > r.GetVersion() {
		resp.VersionBytes = uint32(len(compressed()))
	}
	if !r.GetMembers() {
		return resp, resp.Version > r.GetVersion() || len(resp.Rollouts) > 0
	}
	resp.StoreSilent = f.position().IsRoot() && (!f.storeOK.Load() || f.storeLate.Load())
	after := r.GetCursor()
	if r.GetEpoch() != f.epoch {
		after = 0
	}
	digests := map[string]uint64{}
	for _, d := range r.GetDomains() {
		digests[d.GetDomain()] = d.GetDigest()
	}
	changes := f.view.changesSince(after, digests)
	resp.Cursor = changes.until
	if changes.complete != nil {
		resp.Whole = &fleetpb.WholeDomains{Domains: changes.complete, Compressed: f.wholeDomains.encode(changes)}
	} else {
		resp.Members = encodeMembers(changes.members)
	}
	updated := changes.complete != nil || len(changes.members) > 0 || resp.Version > r.GetVersion() || len(resp.Rollouts) > 0
	return resp, updated || resp.StoreSilent != r.GetStoreSilent()
}

// nextStoreChange returns a channel that is closed when the store next answers this node
// again, or no longer does.
func (f *Fleet) nextStoreChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeChanged
}

// memberEntry is a member record and its store revision, as sent to other nodes.
type memberEntry struct {
	record   membership.Record
	revision uint64
}

func encodeMembers(members []memberEntry) []*fleetpb.Member {
	out := make([]*fleetpb.Member, len(members))
	for i, m := range members {
		out[i] = &fleetpb.Member{Entry: encodeEntry(m.record), Revision: m.revision}
	}
	return out
}

// wholeDomains caches the last encoded list of all members of some failure domains: the
// children of a relay that start together need the same one.
type wholeDomains struct {
	mu         sync.Mutex
	until      uint64
	domains    []string
	compressed []byte
	encoded    int
}

// encode returns the encoded and compressed members of a change set.
func (c *wholeDomains) encode(changes changeSet) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed != nil && c.until == changes.until && slices.Equal(c.domains, changes.complete) {
		return c.compressed
	}
	c.encoded++
	// Marshalling this message can't fail.
	b, _ := proto.Marshal(&fleetpb.MemberList{Members: encodeMembers(changes.members)})
	c.until, c.domains, c.compressed = changes.until, changes.complete, compress(b)
	return c.compressed
}

// decodeWholeDomains returns the members of an encoded list.
func decodeWholeDomains(b []byte) ([]*fleetpb.Member, error) {
	raw, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var list fleetpb.MemberList
	if err := proto.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	return list.GetMembers(), nil
}
