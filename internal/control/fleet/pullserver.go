package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// maxPullWait bounds how long a pull is held, whatever its sender requests.
const maxPullWait = 10 * time.Second

// Pull implements fleetpb.Fleet.
func (f *Fleet) Pull(ctx context.Context, r *fleetpb.PullRequest) (*fleetpb.PullResponse, error) {
	if !f.synced.Load() || !f.hasStoreData() {
		return nil, twirp.NewError(twirp.Unavailable, "this node has just started")
	}
	f.noteNewerPeer(r)
	f.rollouts.addReports(r.GetReports())
	wait := f.clk.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPullWait))
	defer wait.Stop()
	for {
		changed, applied, rolloutsChanged := f.view.changes(), f.nextApplied(), f.rollouts.changes()
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
		case <-applied:
		case <-rolloutsChanged:
		}
	}
}

// noteNewerPeer records a hint if the sender of a pull has a newer version. A new node may
// rank itself first before it is in any other node's member list. It then has no children,
// so other nodes learn of its version only from its pulls.
func (f *Fleet) noteNewerPeer(r *fleetpb.PullRequest) {
	if r.GetVersion() <= f.Current().Version() {
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
	resp := &fleetpb.PullResponse{
		Version: f.Current().Version(), AgeMs: uint32(f.storeDataAge().Milliseconds()),
		Rollouts: f.rollouts.newerThan(r.GetRollouts()), RolloutsUnknown: !f.rollouts.synced.Load(),
	}
	if !r.GetMembers() {
		return resp, resp.Version > r.GetVersion() || len(resp.Rollouts) > 0
	}
	after := r.GetCursor()
	if r.GetEpoch() != f.epoch {
		after = 0
	}
	changes := f.view.changesSince(after)
	resp.Epoch, resp.Cursor, resp.Whole = f.epoch, changes.until, changes.complete
	for _, m := range changes.members {
		resp.Members = append(resp.Members, &fleetpb.Member{Entry: encodeEntry(m.record), Revision: m.revision})
	}
	return resp, changes.complete || len(changes.members) > 0 || resp.Version > r.GetVersion() || len(resp.Rollouts) > 0
}

// nextApplied returns a channel that is closed when the next version becomes active.
func (f *Fleet) nextApplied() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// memberEntry is a member record and its store revision, as sent to other nodes.
type memberEntry struct {
	record   membership.Record
	revision uint64
}
