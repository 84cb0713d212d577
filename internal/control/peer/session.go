package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// pullTimeout is how long a pull may take beyond its wait.
	pullTimeout = 3 * time.Second
	// agesInterval is how often a node requests the ages of all domains. It is
	// a fraction of the age at which a domain counts as unreachable.
	agesInterval = 8 * time.Second
	// heartbeatsInterval is the minimum interval at which a relay forwards the
	// heartbeats of its descendants, since updates may end polls early. It is
	// under relayPollWait, so that each poll of an idle relay carries them.
	heartbeatsInterval = relayPollWait / 2
	// heartbeatAgeTolerance is the error allowed for a heartbeat's age, which
	// is sent in whole milliseconds. A heartbeat received at most this much
	// later than the one already forwarded is the same.
	heartbeatAgeTolerance = 50 * time.Millisecond
	// refusedDelay is the upper bound of the delay after a version that can't
	// be applied, so that the node does not request it in a tight loop.
	refusedDelay = 2 * time.Second
)

// endpoint is a node to pull from. One from the list of seeds has no name or
// domain until it answers.
type endpoint struct {
	name    string
	domain  string
	address netip.AddrPort
}

func endpointOf(r membership.Record) endpoint {
	return endpoint{name: r.Instance(), domain: r.Domain(), address: r.ControlAddress()}
}

func (n *Node) peerClient(a netip.AddrPort) peerpb.Peer {
	return peerpb.NewPeerProtobufClient(n.BaseURL(a), n.client, twirp.WithClientPathPrefix(pathPrefix))
}

// session is a series of pulls from one node, each of which resumes where the
// last ended. It is not safe for concurrent use.
type session struct {
	n                *Node
	remote           endpoint
	epoch            uint64
	cursor           uint64
	agesRequestedAt  time.Time
	heartbeatsSentAt time.Time
	// reported holds, by heartbeat id, when each forwarded heartbeat was
	// received.
	reported map[uint64]time.Time
	// announceNeeded is set when the remote node lacks this node's record.
	announceNeeded bool
}

// pull does one long poll and applies the response. It returns the time since
// the root of the remote node's failure domain was last known to be active. The
// error is an *UnreachableError or a *BusyError if there was no regular
// response.
func (s *session) pull(ctx context.Context, wait time.Duration, acceptStale bool) (time.Duration, error) {
	n := s.n
	pctx, cancel := n.clock.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	req := s.request(wait, acceptStale)
	hctx, err := withSessionHeader(pctx, req)
	if err != nil {
		return 0, err
	}
	resp, err := n.peerClient(s.remote.address).Pull(hctx, req)
	if err != nil {
		return 0, &UnreachableError{Peer: s.remote.address.String(), Err: err}
	}
	if ms := resp.GetRetryAfterMs(); ms > 0 {
		return 0, &BusyError{Peer: s.remote.address.String(), After: time.Duration(ms) * time.Millisecond}
	}
	if e := resp.GetEpoch(); e != 0 {
		s.epoch, s.remote.name, s.remote.domain = e, resp.GetInstance(), resp.GetDomain()
	}
	if c := resp.GetCursor(); c != 0 {
		s.cursor = c
	}
	s.announceNeeded = resp.GetUnknown()
	n.merge(resp.GetRecords(), resp.GetAges(), s.remote.name, s.remote.domain, resp.GetWhole())
	if err := s.apply(ctx, resp); err != nil {
		return 0, err
	}
	return time.Duration(resp.GetRootAgeMs()) * time.Millisecond, nil
}

func (s *session) request(wait time.Duration, acceptStale bool) *peerpb.PullRequest {
	n := s.n
	now := n.clock.Now()
	current, self := n.holder.Current(), n.Self()
	req := &peerpb.PullRequest{
		Instance: self.Instance(), Boot: self.Boot(), Domain: self.Domain(),
		Version: current.Version(), Digest: shortDigest(current.Digest()),
		WaitMs: uint32(wait.Milliseconds()), Epoch: s.epoch, Cursor: s.cursor, AcceptStale: acceptStale,
	}
	if s.epoch == 0 {
		for _, d := range n.view.Digests() {
			req.Domains = append(req.Domains, &peerpb.DomainDigest{Domain: d.Domain, Digest: d.Digest})
		}
	}
	if now.Sub(s.agesRequestedAt) >= agesInterval {
		s.agesRequestedAt, req.Ages = now, true
	}
	if s.remote.domain == self.Domain() && now.Sub(s.heartbeatsSentAt) >= heartbeatsInterval {
		s.heartbeatsSentAt = now
		req.Pulses = s.newHeartbeats(now)
	}
	return req
}

// newHeartbeats returns the heartbeats of descendants that the parent has not
// received.
func (s *session) newHeartbeats(now time.Time) []*peerpb.Pulse {
	var out []*peerpb.Pulse
	reported := map[uint64]time.Time{}
	for _, p := range s.n.view.HeartbeatAges(now) {
		receivedAt := now.Add(-p.Age)
		if last, ok := s.reported[p.ID]; ok && receivedAt.Sub(last) <= heartbeatAgeTolerance {
			reported[p.ID] = last
			continue
		}
		reported[p.ID] = receivedAt
		out = append(out, &peerpb.Pulse{Id: p.ID, AgeMs: uint32(p.Age.Milliseconds())})
	}
	s.reported = reported
	return out
}

// apply activates the versions of a response. A version that can't be applied
// leaves the active one in place and is not an error of the parent.
func (s *session) apply(ctx context.Context, resp *peerpb.PullResponse) error {
	full := resp.GetFull()
	for _, b := range resp.GetDeltas() {
		if full {
			break
		}
		d, err := snapshot.DecodeDelta(b)
		if err != nil {
			return s.n.refuseVersion(ctx, err, s.remote.name)
		}
		if full, err = s.n.offerVersion(ctx, version.Peer, version.Delta{Delta: d}, s.remote.name); err != nil {
			return err
		}
	}
	if full {
		return s.fetchFull(ctx)
	}
	return nil
}

func (s *session) fetchFull(ctx context.Context) error {
	fctx, cancel := s.n.clock.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := s.n.peerClient(s.remote.address).Full(fctx, &peerpb.FullRequest{})
	if err != nil {
		return &UnreachableError{Peer: s.remote.address.String(), Err: err}
	}
	if ms := resp.GetRetryAfterMs(); ms > 0 {
		return &BusyError{Peer: s.remote.address.String(), After: time.Duration(ms) * time.Millisecond}
	}
	v, err := decodeFull(resp.GetFull())
	if err != nil {
		return s.n.refuseVersion(ctx, err, s.remote.name)
	}
	_, err = s.n.offerVersion(ctx, version.Peer, version.Full{Snapshot: v}, s.remote.name)
	return err
}

// offerVersion offers a version to the holder and acts on the decision. It
// reports whether the full version is needed.
func (n *Node) offerVersion(ctx context.Context, source version.Source, o version.Offer, from string) (full bool, err error) {
	switch a := n.holder.Offer(source, o).(type) {
	case version.Apply:
		if n.versions != nil {
			n.versions.RecordVersion(a.Next)
		}
		n.log.Emit(event.VersionApplied, event.F("version", a.Next.Version()), event.F("plan", a.Next.PlanID()))
		return false, nil
	case version.Request:
		return true, nil
	case version.Refuse:
		return false, n.refuseVersion(ctx, a.Err, from)
	case version.Alarm:
		n.log.Emit(event.VersionForked, event.F("error", a.Err), event.F("peer", from))
		return false, n.clock.Sleep(ctx, n.jitter(refusedDelay))
	default:
		return false, nil
	}
}

// refuseVersion logs a version that can't be applied and waits up to
// refusedDelay. Its error is that of the context.
func (n *Node) refuseVersion(ctx context.Context, err error, from string) error {
	n.log.Emit(event.VersionRefused, event.F("error", err), event.F("from", from))
	return n.clock.Sleep(ctx, n.jitter(refusedDelay))
}
