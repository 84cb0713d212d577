package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// shardCount is the number of shards among which the failure domains are spread to
// reduce lock contention. It must be a power of two: the shard index is a mask.
const shardCount = 16

// View is one node's view of all instances. It is safe for concurrent use.
type View struct {
	homeDomain string
	epoch      uint64
	timeline   timeline
	// seq numbers the changes of this view, across all failure domains.
	seq      atomic.Uint64
	shards   [shardCount]shard
	pools    poolIndex
	detector failureDetector
}

type shard struct {
	mu      sync.Mutex
	domains map[string]*domain
}

// domain is the state of one failure domain, guarded by its shard's mutex.
type domain struct {
	name    string
	members map[string]*member
	// changedSeq is the sequence number of the last change, purgedSeq the highest one
	// among the removed members.
	changedSeq, purgedSeq uint64
	// digest is the exclusive or of the digests of all records except
	// tombstones, which allows incremental updates.
	digest uint64
	// lastContact is the time of the last known contact with the domain's root.
	lastContact time.Duration
	reach       reach
	// nextSweep is when a member's tier next expires or a tombstone is removed.
	nextSweep time.Duration
}

// member is the state of one instance.
type member struct {
	record     Record
	changedSeq uint64
	fromPeer   string
	// acceptedAt is when the record was accepted, lastHeartbeat when the instance
	// last sent a heartbeat or an announcement. Timeouts run from these times, which
	// a node that becomes the root resets.
	acceptedAt, lastHeartbeat time.Duration
	// inSubtree is set if heartbeats arrive from this node's subtree or itself.
	inSubtree bool
	backoff   connBackoff
	damping   damping
	tier      tier
}

// New returns an empty view of a node in the failure domain home. The epoch, such
// as a random number, must differ from those of the node's earlier views.
func New(home string, epoch uint64) *View {
	v := &View{homeDomain: home, epoch: epoch}
	for i := range v.shards {
		v.shards[i].domains = map[string]*domain{}
	}
	v.pools.init()
	return v
}

// Domain returns the home domain of the view's node.
func (v *View) Domain() string { return v.homeDomain }

// Generation returns a number that grows with each change of the pools.
func (v *View) Generation() uint64 { return v.pools.generation.Load() }

func (v *View) shard(name string) *shard {
	return &v.shards[xxh3.HashString(name)&(shardCount-1)]
}

// domainIn returns a failure domain of a shard whose mutex is held. A new one
// counts as cut off until a peer reports contact with it.
func (v *View) domainIn(s *shard, name string, at time.Duration) *domain {
	d, ok := s.domains[name]
	if !ok {
		d = &domain{name: name, members: map[string]*member{}, lastContact: at - cutOffAfter, nextSweep: never}
		d.updateReach(at, name == v.homeDomain)
		s.domains[name] = d
	}
	return d
}

// mergeOptions describe the source of records.
type mergeOptions struct {
	fromPeer, fromDomain string
	fullDomains          []string
	ages                 []DomainAge
}

// MergeOption describes the source of the records passed to Merge.
type MergeOption func(*mergeOptions)

// FromPeer names the peer that sent the records and its failure domain, so that
// they are not sent back to it.
func FromPeer(instance, domain string) MergeOption {
	return func(o *mergeOptions) { o.fromPeer, o.fromDomain = instance, domain }
}

// FullDomains marks the records as the peer's complete list of these failure domains, so
// that members missing from it are removed.
func FullDomains(domains ...string) MergeOption {
	return func(o *mergeOptions) { o.fullDomains = domains }
}

// Ages sets the age of each failure domain's last contact as reported by the peer.
// A domain with which no peer reports contact counts as cut off.
func Ages(ages []DomainAge) MergeOption {
	return func(o *mergeOptions) { o.ages = ages }
}

// Merge merges records into the view and returns those that changed it.
func (v *View) Merge(now time.Time, records []Record, opts ...MergeOption) []Record {
	o := mergeOptions{fromDomain: v.homeDomain}
	for _, opt := range opts {
		opt(&o)
	}
	at := v.timeline.advance(now)
	byDomain := map[string][]Record{}
	for _, r := range records {
		if valid(r) {
			byDomain[r.domain] = append(byDomain[r.domain], v.downgradeForeign(r, o))
		}
	}
	var changed []Record
	p := v.pools.publisher()
	for name, batch := range byDomain {
		s := v.shard(name)
		s.mu.Lock()
		changed = append(changed, v.mergeBatch(v.domainIn(s, name, at), at, batch, o.fromPeer, p)...)
		s.mu.Unlock()
	}
	v.dropMissing(at, o.fullDomains, byDomain, p)
	v.mergeAges(at, o.ages, p)
	p.publish()
	return changed
}

// downgradeForeign turns a record from another failure domain into a claim that the
// member is suspect, if it shows a member of the home domain as live. Accepting it
// unchanged could revive a dead member whose tombstone was already removed here.
// Ignoring it could leave other domains sending calls to a dead member, as the home
// domain's root may have restarted without state. The member refutes the claim, or
// the claim ends in a tombstone that reaches every view.
//
// A later announcement of a process that the view already holds is not turned into a claim:
// only the process itself makes one, and it may be the refutation of the claim that is held.
func (v *View) downgradeForeign(r Record, o mergeOptions) Record {
	if r.domain == v.homeDomain && o.fromDomain != v.homeDomain && r.state.alive() {
		if held, ok := v.Record(r.domain, r.instance); !ok || r.boot > held.boot {
			r.state = Suspect
		}
	}
	return r
}

func valid(r Record) bool {
	return r.instance != "" && r.domain != "" && r.state >= Starting && r.state <= Suspect
}

func (v *View) mergeBatch(d *domain, at time.Duration, batch []Record, fromPeer string, p *publisher) []Record {
	var changed []Record
	for _, r := range batch {
		m, ok := d.members[r.instance]
		if ok && !r.Newer(m.record) {
			v.resendTombstone(d, m, r)
			continue
		}
		if !ok {
			m = &member{lastHeartbeat: at}
			d.members[r.instance] = m
		} else {
			r.instance = m.record.instance
		}
		r.domain, r.pool = d.name, v.pools.intern(r.pool)
		v.accept(d, m, r, at, fromPeer, p)
		changed = append(changed, r)
	}
	return changed
}

// resendTombstone sends a tombstone again if a peer still holds the instance as
// live, since digests leave tombstones out and the peer may have missed it.
func (v *View) resendTombstone(d *domain, m *member, held Record) {
	if m.record.state == Gone && held.state != Gone {
		m.changedSeq, m.fromPeer = v.seq.Add(1), ""
		d.changedSeq = m.changedSeq
	}
}

// accept replaces a member's record by a newer one.
func (v *View) accept(d *domain, m *member, r Record, at time.Duration, fromPeer string, p *publisher) {
	old := m.record
	if old.state != 0 && old.state != Gone {
		d.digest ^= old.digest()
	}
	if r.state != Gone {
		d.digest ^= r.digest()
	}
	// A refuted claim is not a flap. Otherwise an overloaded machine that delays
	// heartbeats would cause most of a pool to be suppressed.
	if (old.state == Ready || old.state == Suspect) && (r.boot > old.boot || r.state == Gone) {
		m.damping.flap(at)
	}
	if r.state != Suspect {
		// Refused connections before the instance's own announcement or its
		// end no longer count.
		m.lastHeartbeat, m.backoff = at, connBackoff{}
	}
	m.record, m.acceptedAt, m.fromPeer = r, at, fromPeer
	m.changedSeq = v.seq.Add(1)
	d.changedSeq = m.changedSeq
	if old.pool != r.pool {
		p.remove(old)
		m.tier = tierNone
	}
	d.updateTier(m, at, p)
}

// updateTier moves a member to the tier that it belongs to now.
func (d *domain) updateTier(m *member, at time.Duration, p *publisher) {
	t, until := d.tierOf(m, at)
	d.nextSweep = min(d.nextSweep, until)
	p.put(m.record, t, m.tier)
	m.tier = t
}

// Record returns the record of an instance and whether it is known.
func (v *View) Record(domain, instance string) (Record, bool) {
	s := v.shard(domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.domains[domain]; ok {
		if m, ok := d.members[instance]; ok {
			return m.record, true
		}
	}
	return Record{}, false
}

// Members returns the records of one failure domain, including tombstones, in no
// particular order.
func (v *View) Members(domain string) []Record {
	s := v.shard(domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	if d, ok := s.domains[domain]; ok {
		for _, m := range d.members {
			out = append(out, m.record)
		}
	}
	return out
}

// Records returns all records, including tombstones, in no particular order.
func (v *View) Records() []Record {
	var out []Record
	v.each(func(d *domain) {
		for _, m := range d.members {
			out = append(out, m.record)
		}
	})
	return out
}

// each calls visit for each failure domain under its shard's mutex.
func (v *View) each(visit func(*domain)) {
	for i := range v.shards {
		s := &v.shards[i]
		s.mu.Lock()
		for _, d := range s.domains {
			visit(d)
		}
		s.mu.Unlock()
	}
}
