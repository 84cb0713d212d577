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
	// pullTimeout is what a poll may take beyond its wait.
	pullTimeout = 3 * time.Second
	// agesEvery is how often a node asks for the ages of all domains: several
	// times within the age at which a domain counts as cut off, and seldom
	// enough that 22 ages cost a few bytes a second.
	agesEvery = 8 * time.Second
	// pulsesEvery is how often a relay sends on the heartbeats from below; a
	// poll that was answered early by a change does not carry them again. It is
	// under relayWait, so that each poll of a relay at rest carries them.
	pulsesEvery = relayWait / 2
	// pulseSlack is the error of a heartbeat's age, in whole milliseconds: one
	// that was sent on is not new because of it.
	pulseSlack = 50 * time.Millisecond
	// refusedPause keeps a node that can't apply a version from asking for it
	// again in a tight loop.
	refusedPause = 2 * time.Second
)

// parent is a node to pull from; one from a list of seeds has no name yet.
type parent struct {
	name    string
	domain  string
	address netip.AddrPort
}

func parentOf(r membership.Record) parent {
	return parent{name: r.Instance(), domain: r.Domain(), address: r.Peer()}
}

func (n *Node) dial(a netip.AddrPort) peerpb.Peer {
	return peerpb.NewPeerProtobufClient(n.BaseURL(a), n.client, twirp.WithClientPathPrefix(pathPrefix))
}

// session is a row of pulls from one parent, which resumes where it stopped.
type session struct {
	n      *Node
	at     parent
	epoch  uint64
	cursor uint64
	ages   time.Time
	pulses time.Time
	// told holds when the heartbeats that were sent on had been heard.
	told map[uint64]time.Time
	// unknown is set when the parent lacks this node's announcement.
	unknown bool
}

// pull does one long poll, takes what it brings and returns how long ago the
// parent's domain root was known to have spoken.
func (s *session) pull(ctx context.Context, wait time.Duration, acceptStale bool) (time.Duration, error) {
	n := s.n
	pctx, cancel := n.clock.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	resp, err := n.dial(s.at.address).Pull(pctx, s.request(wait, acceptStale))
	if err != nil {
		return 0, &UnreachableError{Peer: s.at.address.String(), Err: err}
	}
	if ms := resp.GetRetryAfterMs(); ms > 0 {
		return 0, &BusyError{Peer: s.at.address.String(), After: time.Duration(ms) * time.Millisecond}
	}
	if e := resp.GetEpoch(); e != 0 {
		s.epoch, s.at.name, s.at.domain = e, resp.GetInstance(), resp.GetDomain()
	}
	if c := resp.GetCursor(); c != 0 {
		s.cursor = c
	}
	s.unknown = resp.GetUnknown()
	n.merge(resp.GetRecords(), resp.GetAges(), s.at.name, s.at.domain, resp.GetWhole())
	if err := s.apply(ctx, resp); err != nil {
		return 0, err
	}
	return time.Duration(resp.GetRootAgeMs()) * time.Millisecond, nil
}

func (s *session) request(wait time.Duration, acceptStale bool) *peerpb.PullRequest {
	n := s.n
	now := n.clock.Now()
	held, self := n.holder.Current(), n.Self()
	req := &peerpb.PullRequest{
		Instance: self.Instance(), Boot: self.Boot(), Domain: self.Domain(),
		Version: held.Version(), Digest: shortDigest(held.Digest()),
		WaitMs: uint32(wait.Milliseconds()), Epoch: s.epoch, Cursor: s.cursor, AcceptStale: acceptStale,
	}
	if s.epoch == 0 {
		for _, d := range n.view.Digests() {
			req.Domains = append(req.Domains, &peerpb.DomainDigest{Domain: d.Domain, Digest: d.Digest})
		}
	}
	if now.Sub(s.ages) >= agesEvery {
		s.ages, req.Ages = now, true
	}
	if s.at.domain == self.Domain() && now.Sub(s.pulses) >= pulsesEvery {
		s.pulses = now
		req.Pulses = s.newPulses(now)
	}
	return req
}

// newPulses returns the heartbeats from below that the parent was not told of.
func (s *session) newPulses(now time.Time) []*peerpb.Pulse {
	var out []*peerpb.Pulse
	told := map[uint64]time.Time{}
	for _, p := range s.n.view.Pulses(now) {
		heard := now.Add(-p.Age)
		if last, ok := s.told[p.ID]; ok && heard.Sub(last) <= pulseSlack {
			told[p.ID] = last
			continue
		}
		told[p.ID] = heard
		out = append(out, &peerpb.Pulse{Id: p.ID, AgeMs: uint32(p.Age.Milliseconds())})
	}
	s.told = told
	return out
}

// apply puts the versions of an answer in force. One that can't be applied
// leaves the version held in force and is no reason to leave the parent.
func (s *session) apply(ctx context.Context, resp *peerpb.PullResponse) error {
	full := resp.GetFull()
	for _, b := range resp.GetDeltas() {
		if full {
			break
		}
		d, err := snapshot.DecodeDelta(b)
		if err != nil {
			return s.n.refused(ctx, err, s.at.name)
		}
		if full, err = s.n.offer(ctx, version.Peer, version.Delta{Delta: d}, s.at.name); err != nil {
			return err
		}
	}
	if full {
		return s.whole(ctx)
	}
	return nil
}

func (s *session) whole(ctx context.Context) error {
	fctx, cancel := s.n.clock.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := s.n.dial(s.at.address).Full(fctx, &peerpb.FullRequest{})
	if err != nil {
		return &UnreachableError{Peer: s.at.address.String(), Err: err}
	}
	if ms := resp.GetRetryAfterMs(); ms > 0 {
		return &BusyError{Peer: s.at.address.String(), After: time.Duration(ms) * time.Millisecond}
	}
	v, err := decodeFull(resp.GetFull())
	if err != nil {
		return s.n.refused(ctx, err, s.at.name)
	}
	_, err = s.n.offer(ctx, version.Peer, version.Full{Snapshot: v}, s.at.name)
	return err
}

// offer lets the decision on a version act, and reports whether the whole
// version is needed.
func (n *Node) offer(ctx context.Context, source version.Source, o version.Offer, from string) (full bool, err error) {
	switch a := n.holder.Offer(source, o).(type) {
	case version.Apply:
		if n.versions != nil {
			n.versions.Saw(a.Next)
		}
		n.log.Emit(event.VersionApplied, event.F("version", a.Next.Version()), event.F("plan", a.Next.PlanID()))
		return false, nil
	case version.Ask:
		return true, nil
	case version.Refuse:
		return false, n.refused(ctx, a.Err, from)
	case version.Alarm:
		n.log.Emit(event.VersionForked, event.F("error", a.Err), event.F("peer", from))
		return false, n.clock.Sleep(ctx, n.jitter(refusedPause))
	default:
		return false, nil
	}
}

// refused notes a version that can't be applied. The refusal stands until a
// newer version comes; the pause keeps the node from asking in a tight loop.
func (n *Node) refused(ctx context.Context, err error, from string) error {
	n.log.Emit(event.VersionRefused, event.F("error", err), event.F("from", from))
	return n.clock.Sleep(ctx, n.jitter(refusedPause))
}
