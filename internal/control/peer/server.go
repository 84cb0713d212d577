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
	// maxWait bounds a long poll, so that a child that has gone without a
	// trace is not held for longer.
	maxWait = 30 * time.Second
	// memberBatch is how long a relay gathers member changes before it answers
	// its children: a rack that goes is then one message and not forty, and a
	// leaving target is known a tree's depth times this later.
	memberBatch = 50 * time.Millisecond
	// orphanAfter is how long a relay may be without a parent before it tells
	// its children to look for another relay: longer than it needs itself to
	// find one, shorter than the 4 s in which a change is to be in force.
	orphanAfter = 2 * time.Second
	// staleAge is the age that an orphan tells; it is beyond what the children
	// accept of a parent while there is another.
	staleAge = 30 * time.Second
)

// pathOption sets a short path, since it is sent with each connection's first
// call.
var pathOption = twirp.WithServerPathPrefix(pathPrefix)

const pathPrefix = "/p"

// server answers the control calls of peers.
type server struct{ n *Node }

var _ peerpb.Peer = server{}

// Pull implements peerpb.Peer.
func (s server) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	n := s.n
	mergeStanding(ctx, req)
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	if busy, ok := s.rationed(req); ok {
		return busy, nil
	}
	known := s.heard(req)
	if req.GetDomain() == n.view.Domain() && req.GetWaitMs() > 0 {
		n.children.begin(req.GetInstance())
		defer func() { n.children.end(req.GetInstance(), n.clock.Now()) }()
	}
	wait := n.clock.After(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait))
	defer wait.Stop()
	orphan := n.clock.Subscribe(orphanAfter / 2)
	defer orphan.Stop()
	for {
		applied, members := n.holder.Changed(), n.memberChange()
		resp, news := s.answer(req)
		if !known {
			s.unknown(req, resp)
			return resp, nil
		}
		if news {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the peer has gone")
		case <-n.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "stopping")
		case <-wait.C():
			resp, _ := s.answer(req)
			return resp, nil
		case <-applied:
		case <-orphan.C():
		case <-members:
			s.gather(ctx, applied)
		}
	}
}

// rationed turns away a peer that resumes here while a storm of others does.
func (s server) rationed(req *peerpb.PullRequest) (*peerpb.PullResponse, bool) {
	if req.GetEpoch() == s.n.view.Cursor().Epoch() {
		return nil, false
	}
	switch d := s.n.fulls.Admit(s.n.clock.Now(), tree.Resume).(type) {
	case tree.ComeBack:
		return &peerpb.PullResponse{RetryAfterMs: uint32(d.After.Milliseconds()) + 1}, true
	default:
		return nil, false
	}
}

// heard counts the pull as a heartbeat of a child in the own failure domain
// and reports whether the child's announcement is known.
func (s server) heard(req *peerpb.PullRequest) bool {
	n := s.n
	if req.GetDomain() != n.view.Domain() {
		return true
	}
	now := n.clock.Now()
	pulses := make([]membership.Pulse, len(req.GetPulses()))
	for i, p := range req.GetPulses() {
		pulses[i] = membership.Pulse{ID: p.GetId(), Age: time.Duration(p.GetAgeMs()) * time.Millisecond}
	}
	n.view.HeardBelow(now, pulses)
	return n.view.Heard(now, req.GetInstance(), req.GetBoot())
}

// unknown asks the peer to announce itself and shows what is held of it, so
// that it can refute a claim that it has gone or fallen silent.
func (s server) unknown(req *peerpb.PullRequest, resp *peerpb.PullResponse) {
	resp.Unknown = true
	if r, ok := s.n.view.Record(req.GetDomain(), req.GetInstance()); ok {
		resp.Records = append(resp.Records, toMessage(r))
	}
}

// gather waits for more member changes unless a version comes first: nobody
// holds back a confirmed configuration.
func (s server) gather(ctx context.Context, applied <-chan struct{}) {
	batch := s.n.clock.After(memberBatch)
	defer batch.Stop()
	select {
	case <-batch.C():
	case <-applied:
	case <-ctx.Done():
	}
}

// answer returns what the peer lacks and whether there is any of it.
func (s server) answer(req *peerpb.PullRequest) (*peerpb.PullResponse, bool) {
	resp := &peerpb.PullResponse{}
	news := s.answerVersion(req, resp)
	news = s.answerMembers(req, resp) || news
	age := s.rootAge()
	resp.RootAgeMs = uint32(age.Milliseconds())
	s.answerAges(req, resp)
	return resp, news || age >= staleAge && !req.GetAcceptStale()
}

func (s server) answerVersion(req *peerpb.PullRequest, resp *peerpb.PullResponse) bool {
	n := s.n
	switch a := n.holder.Answer(req.GetVersion(), req.GetDigest()).(type) {
	case version.Deltas:
		for _, d := range a.Deltas {
			resp.Deltas = append(resp.Deltas, d.Bytes())
		}
		return true
	case version.Whole:
		resp.Full = true
		return true
	case version.Forked:
		// A whole version would revert what the peer holds; an operator has to
		// look at it.
		n.log.Emit(event.VersionForked, event.F("error", a.Err), event.F("peer", req.GetInstance()))
		return false
	default:
		return false
	}
}

func (s server) answerMembers(req *peerpb.PullRequest, resp *peerpb.PullResponse) bool {
	n := s.n
	held := make([]membership.DomainDigest, len(req.GetDomains()))
	for i, d := range req.GetDomains() {
		held[i] = membership.DomainDigest{Domain: d.GetDomain(), Digest: d.GetDigest()}
	}
	cursor := membership.NewCursor(req.GetEpoch(), req.GetCursor())
	batch := n.view.Since(cursor, membership.To(req.GetInstance()), membership.Holding(held))
	resp.Records = toMessages(batch.Records())
	resp.Whole = batch.Whole()
	// What has not changed is left out; it is the common case and costs bytes
	// on every node for every version.
	if c := batch.Cursor(); c.Epoch() != req.GetEpoch() {
		resp.Epoch, resp.Cursor = c.Epoch(), c.Seq()
		resp.Domain, resp.Instance = n.view.Domain(), n.Self().Instance()
		return true
	} else if c.Seq() != req.GetCursor() {
		resp.Cursor = c.Seq()
	}
	return !batch.Empty()
}

// answerAges tells the ages of all failure domains if they are due, else of
// those that the answer has records of: a domain of which the peer has heard
// nothing before gets no work until its age is known.
func (s server) answerAges(req *peerpb.PullRequest, resp *peerpb.PullResponse) {
	named := map[string]bool{}
	for _, r := range resp.GetRecords() {
		named[r.GetDomain()] = true
	}
	if !req.GetAges() && len(named) == 0 {
		return
	}
	for _, a := range s.n.view.Ages(s.n.clock.Now()) {
		if req.GetAges() || named[a.Domain] {
			resp.Ages = append(resp.Ages, &peerpb.DomainAge{Domain: a.Domain, AgeMs: uint32(a.Age.Milliseconds())})
		}
	}
}

// rootAge returns how long ago the root of the own failure domain is known to
// have spoken. A relay that lost its parent and finds no other says that it is
// stale, so that its children do not wait with it.
func (s server) rootAge() time.Duration {
	n := s.n
	now := n.clock.Now()
	n.mu.Lock()
	orphan := n.orphan
	n.mu.Unlock()
	var age time.Duration
	for _, a := range n.view.Ages(now) {
		if a.Domain == n.view.Domain() {
			age = a.Age
		}
	}
	if !orphan.IsZero() && now.Sub(orphan) >= orphanAfter {
		return max(age, staleAge)
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
	if d, ok := n.fulls.Admit(n.clock.Now(), tree.Full).(tree.ComeBack); ok {
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
	held := n.holder.Current()
	self := n.Self()
	n.mu.Lock()
	defer n.mu.Unlock()
	role := "node"
	if n.position.Reader() || n.alone {
		role = "reader"
	}
	return &peerpb.StatusResponse{
		Instance: self.Instance(), Version: held.Version(), Digest: shortDigest(held.Digest()),
		Format: snapshot.FormatLevel, Role: role, Boot: self.Boot(), Parent: n.parent,
	}, nil
}
