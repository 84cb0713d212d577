package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// maxPollWait bounds a long poll, so that resources of a vanished child are
	// released.
	maxPollWait = 30 * time.Second
	// memberBatchDelay is how long a relay collects member changes before it
	// answers its children, so that many simultaneous changes make one message.
	// It adds to the propagation delay at each level of the tree.
	memberBatchDelay = 50 * time.Millisecond
	// orphanReportDelay is how long a relay may be without a parent before it
	// directs its children to another relay. It is longer than a relay needs to
	// find a new parent, and shorter than the 4 s in which a change has to be
	// active.
	orphanReportDelay = 2 * time.Second
	// orphanRootAge is the root age that a relay without a parent reports. It
	// exceeds what children accept of a parent while they have another.
	orphanRootAge = 30 * time.Second
)

// pathOption sets a short path, since the path is sent with the first call of
// each connection.
var pathOption = twirp.WithServerPathPrefix(pathPrefix)

const pathPrefix = "/p"

// server implements the control calls of peers.
type server struct{ n *Node }

var _ peerpb.Peer = server{}

// Pull implements peerpb.Peer.
func (s server) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	n := s.n
	mergeSessionFields(ctx, req)
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	if busy, ok := s.limitSessionStarts(req); ok {
		return busy, nil
	}
	known := s.recordHeartbeats(req)
	if req.GetDomain() == n.view.Domain() && req.GetWaitMs() > 0 {
		n.children.begin(req.GetInstance())
		defer func() { n.children.end(req.GetInstance(), n.clock.Now()) }()
	}
	wait := n.clock.After(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPollWait))
	defer wait.Stop()
	orphanCheck := n.clock.Subscribe(orphanReportDelay / 2)
	defer orphanCheck.Stop()
	for {
		versionChanged, membersChanged := n.holder.Changed(), n.memberChange()
		resp, updated := s.buildResponse(req)
		if !known {
			s.requestAnnouncement(req, resp)
			return resp, nil
		}
		if updated {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the peer has gone")
		case <-n.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "stopping")
		case <-wait.C():
			resp, _ := s.buildResponse(req)
			return resp, nil
		case <-versionChanged:
		case <-orphanCheck.C():
		case <-membersChanged:
			s.batchChanges(ctx, versionChanged)
		}
	}
}

// limitSessionStarts limits the rate at which peers start sessions with this node. It
// returns a retry response for a peer beyond the limit.
func (s server) limitSessionStarts(req *peerpb.PullRequest) (*peerpb.PullResponse, bool) {
	if req.GetEpoch() == s.n.view.Cursor().Epoch() {
		return nil, false
	}
	switch d := s.n.resyncAdmission.Admit(s.n.clock.Now(), tree.Resume).(type) {
	case tree.Busy:
		return &peerpb.PullResponse{RetryAfterMs: uint32(d.After.Milliseconds()) + 1}, true
	default:
		return nil, false
	}
}

// recordHeartbeats records the pull and the heartbeats that it carries, if the
// peer is of the own failure domain. It reports whether the peer's record is
// known; a peer of another domain always counts as known.
func (s server) recordHeartbeats(req *peerpb.PullRequest) bool {
	n := s.n
	if req.GetDomain() != n.view.Domain() {
		return true
	}
	now := n.clock.Now()
	heartbeats := make([]membership.HeartbeatAge, len(req.GetPulses()))
	for i, p := range req.GetPulses() {
		heartbeats[i] = membership.HeartbeatAge{ID: p.GetId(), Age: time.Duration(p.GetAgeMs()) * time.Millisecond}
	}
	n.view.RecordHeartbeats(now, heartbeats)
	return n.view.RecordHeartbeat(now, req.GetInstance(), req.GetBoot())
}

// requestAnnouncement asks the peer to announce itself and adds the record
// known of it, so that the peer can refute a claim that it is gone or suspect.
func (s server) requestAnnouncement(req *peerpb.PullRequest, resp *peerpb.PullResponse) {
	resp.Unknown = true
	if r, ok := s.n.view.Record(req.GetDomain(), req.GetInstance()); ok {
		resp.Records = append(resp.Records, toMessage(r))
	}
}

// batchChanges waits memberBatchDelay for more member changes. A new version
// ends the wait, since a confirmed configuration must not be delayed.
func (s server) batchChanges(ctx context.Context, versionChanged <-chan struct{}) {
	batch := s.n.clock.After(memberBatchDelay)
	defer batch.Stop()
	select {
	case <-batch.C():
	case <-versionChanged:
	case <-ctx.Done():
	}
}

// buildResponse returns the updates that the peer lacks and whether there are
// any.
func (s server) buildResponse(req *peerpb.PullRequest) (*peerpb.PullResponse, bool) {
	resp := &peerpb.PullResponse{}
	updated := s.addVersion(req, resp)
	updated = s.addMembers(req, resp) || updated
	age := s.rootAge()
	resp.RootAgeMs = uint32(age.Milliseconds())
	s.addAges(req, resp)
	return resp, updated || age >= orphanRootAge && !req.GetAcceptStale()
}

func (s server) addVersion(req *peerpb.PullRequest, resp *peerpb.PullResponse) bool {
	n := s.n
	switch a := n.holder.UpdatesFrom(req.GetVersion(), req.GetDigest()).(type) {
	case version.Deltas:
		for _, d := range a.Deltas {
			resp.Deltas = append(resp.Deltas, d.Bytes())
		}
		return true
	case version.NeedsFull:
		resp.Full = true
		return true
	case version.Forked:
		// A full version would revert what the peer holds; an operator has to
		// resolve the fork.
		n.log.Emit(event.VersionForked, event.F("error", a.Err), event.F("peer", req.GetInstance()))
		return false
	default:
		return false
	}
}

func (s server) addMembers(req *peerpb.PullRequest, resp *peerpb.PullResponse) bool {
	n := s.n
	peerDigests := make([]membership.DomainDigest, len(req.GetDomains()))
	for i, d := range req.GetDomains() {
		peerDigests[i] = membership.DomainDigest{Domain: d.GetDomain(), Digest: d.GetDigest()}
	}
	cursor := membership.NewCursor(req.GetEpoch(), req.GetCursor())
	batch := n.view.Since(cursor, membership.ForPeer(req.GetInstance()), membership.WithDigests(peerDigests))
	resp.Records = toMessages(batch.Records())
	resp.Whole = batch.FullDomains()
	// Omit unchanged fields to keep the response small.
	if c := batch.Cursor(); c.Epoch() != req.GetEpoch() {
		resp.Epoch, resp.Cursor = c.Epoch(), c.Seq()
		resp.Domain, resp.Instance = n.view.Domain(), n.Self().Instance()
		return true
	} else if c.Seq() != req.GetCursor() {
		resp.Cursor = c.Seq()
	}
	return !batch.Empty()
}

// addAges adds the ages of all failure domains if the peer asked for them, and
// otherwise those of the domains in the response's records. A domain that is
// new to the peer gets no calls until its age is known.
func (s server) addAges(req *peerpb.PullRequest, resp *peerpb.PullResponse) {
	included := map[string]bool{}
	for _, r := range resp.GetRecords() {
		included[r.GetDomain()] = true
	}
	if !req.GetAges() && len(included) == 0 {
		return
	}
	for _, a := range s.n.view.Ages(s.n.clock.Now()) {
		if req.GetAges() || included[a.Domain] {
			resp.Ages = append(resp.Ages, &peerpb.DomainAge{Domain: a.Domain, AgeMs: uint32(a.Age.Milliseconds())})
		}
	}
}

// rootAge returns the time since the root of the own failure domain was last
// known to be active. After orphanReportDelay without a parent it is at least
// orphanRootAge, so that the children look for another relay.
func (s server) rootAge() time.Duration {
	n := s.n
	now := n.clock.Now()
	n.mu.Lock()
	lostAt := n.parentLostAt
	n.mu.Unlock()
	var age time.Duration
	for _, a := range n.view.Ages(now) {
		if a.Domain == n.view.Domain() {
			age = a.Age
		}
	}
	if !lostAt.IsZero() && now.Sub(lostAt) >= orphanReportDelay {
		return max(age, orphanRootAge)
	}
	return age
}

// Announce implements peerpb.Peer.
func (s server) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	s.n.merge(req.GetRecords(), nil, req.GetInstance(), req.GetDomain(), nil)
	return &peerpb.AnnounceResponse{}, nil
}

// Full implements peerpb.Peer.
func (s server) Full(context.Context, *peerpb.FullRequest) (*peerpb.FullResponse, error) {
	n := s.n
	if d, ok := n.resyncAdmission.Admit(n.clock.Now(), tree.Full).(tree.Busy); ok {
		return &peerpb.FullResponse{RetryAfterMs: uint32(d.After.Milliseconds()) + 1}, nil
	}
	b, err := n.holder.Full()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FullResponse{Full: b}, nil
}

// Status implements peerpb.Peer.
func (s server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	n := s.n
	current := n.holder.Current()
	self := n.Self()
	n.mu.Lock()
	defer n.mu.Unlock()
	role := "node"
	if n.position.IsReader() || n.orphaned {
		role = "reader"
	}
	return &peerpb.StatusResponse{
		Instance: self.Instance(), Version: current.Version(), Digest: shortDigest(current.Digest()),
		Format: snapshot.FormatLevel, Role: role, Boot: self.Boot(), Parent: n.parentName,
	}, nil
}
