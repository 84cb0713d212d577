package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// shardCount spreads the failure domains (22 at the size designed for) so that
// two batches seldom wait for each other; a power of two makes the index a mask.
const shardCount = 16

// View is what one node knows of all instances.
type View struct {
	domain string
	epoch  uint64
	line   timeline
	// seq numbers the changes of this view, across all failure domains.
	seq     atomic.Uint64
	shards  [shardCount]shard
	pools   poolIndex
	silence silence
}

type shard struct {
	mu      sync.Mutex
	domains map[string]*domain
}

// domain is what is known of one failure domain, under its shard's mutex.
type domain struct {
	name    string
	members map[string]*member
	// changed is the number of the last change, purged that of the latest
	// change among the forgotten tombstones.
	changed, purged uint64
	// digest is the exclusive or of the digests of all records but tombstones,
	// so that it can be kept up to date one record at a time.
	digest uint64
	// fresh is when the domain itself is known to have spoken.
	fresh time.Duration
	reach reach
	// due is when the next member changes its tier or is forgotten.
	due time.Duration
}

// member is one instance.
type member struct {
	record  Record
	changed uint64
	from    string
	// since is when the record was accepted, heard the last heartbeat.
	since, heard time.Duration
	// below says that heartbeats come from this node's part of the tree.
	below    bool
	evidence evidence
	damping  damping
	tier     tier
}

// New returns an empty view for a node of a failure domain; epoch is a number
// that no earlier view of this node had, random for one.
func New(home string, epoch uint64) *View {
	v := &View{domain: home, epoch: epoch}
	for i := range v.shards {
		v.shards[i].domains = map[string]*domain{}
	}
	v.pools.init()
	return v
}

// Domain returns the failure domain whose members this view has the say over.
func (v *View) Domain() string { return v.domain }

// Generation returns a number that grows with each change that Pool shows.
func (v *View) Generation() uint64 { return v.pools.generation.Load() }

func (v *View) shard(name string) *shard {
	return &v.shards[xxh3.HashString(name)&(shardCount-1)]
}

// at returns a failure domain of a shard whose mutex is held; a new one counts as
// cut off until someone vouches for it.
func (v *View) at(s *shard, name string, at time.Duration) *domain {
	d, ok := s.domains[name]
	if !ok {
		d = &domain{name: name, members: map[string]*member{}, fresh: at - cutAfter, due: never}
		d.updateReach(at, name == v.domain)
		s.domains[name] = d
	}
	return d
}

// mergeOptions says where records come from.
type mergeOptions struct {
	from, domain string
	whole        []string
	ages         []DomainAge
}

// MergeOption tells Merge about the source of the records.
type MergeOption func(*mergeOptions)

// From names the peer that sent the records and its failure domain, so that
// they are not sent back to it.
func From(instance, domain string) MergeOption {
	return func(o *mergeOptions) { o.from, o.domain = instance, domain }
}

// Whole says that the records are all that the peer knows of these failure
// domains, so that members it does not name have been forgotten.
func Whole(domains ...string) MergeOption {
	return func(o *mergeOptions) { o.whole = domains }
}

// Ages says how long ago the peer knew each failure domain to be fresh; a
// domain that no peer vouches for counts as cut off.
func Ages(ages []DomainAge) MergeOption {
	return func(o *mergeOptions) { o.ages = ages }
}

// Merge takes in records and returns those that were news, for the relay to
// pass on as one batch.
func (v *View) Merge(now time.Time, records []Record, opts ...MergeOption) []Record {
	o := mergeOptions{domain: v.domain}
	for _, opt := range opts {
		opt(&o)
	}
	at := v.line.advance(now)
	byDomain := map[string][]Record{}
	for _, r := range records {
		if valid(r) {
			byDomain[r.domain] = append(byDomain[r.domain], v.foreign(r, o))
		}
	}
	var news []Record
	p := v.pools.publisher()
	for name, batch := range byDomain {
		s := v.shard(name)
		s.mu.Lock()
		news = append(news, v.mergeDomain(v.at(s, name, at), at, batch, o.from, p)...)
		s.mu.Unlock()
	}
	v.forgetUnnamed(at, o.whole, byDomain, p)
	v.refresh(at, o.ages, p)
	p.publish()
	return news
}

// foreign returns what another failure domain's word on a member of this one is
// worth. That a member lives is not believed: the copy may be an hour old, and
// its tombstone forgotten here. But neither is it ignored, since this domain's
// root may have lost its memory while others go on sending calls to a member
// that has died: it becomes a claim of silence, which the member refutes or
// which ends in a tombstone that reaches every copy.
func (v *View) foreign(r Record, o mergeOptions) Record {
	if r.domain == v.domain && o.domain != v.domain && r.state.alive() {
		if held, ok := v.Record(r.domain, r.instance); !ok || r.Newer(held) {
			r.state = Suspect
		}
	}
	return r
}

func valid(r Record) bool {
	return r.instance != "" && r.domain != "" && r.state >= Starting && r.state <= Suspect
}

func (v *View) mergeDomain(d *domain, at time.Duration, batch []Record, from string, p *publisher) []Record {
	var news []Record
	for _, r := range batch {
		m, ok := d.members[r.instance]
		if ok && !r.Newer(m.record) {
			v.remind(d, m, r)
			continue
		}
		if !ok {
			m = &member{heard: at}
			d.members[r.instance] = m
		} else {
			r.instance = m.record.instance
		}
		r.domain, r.pool = d.name, v.pools.name(r.pool)
		v.accept(d, m, r, at, from, p)
		news = append(news, r)
	}
	return news
}

// remind passes a tombstone on once more if a peer still holds the instance as
// living: digests leave tombstones out, so that the peer may not have it.
func (v *View) remind(d *domain, m *member, held Record) {
	if m.record.state == Gone && held.state != Gone {
		m.changed, m.from = v.seq.Add(1), ""
		d.changed = m.changed
	}
}

// accept replaces a member's record by a newer one.
func (v *View) accept(d *domain, m *member, r Record, at time.Duration, from string, p *publisher) {
	old := m.record
	if old.state != 0 && old.state != Gone {
		d.digest ^= old.digest()
	}
	if r.state != Gone {
		d.digest ^= r.digest()
	}
	// A claim of silence that is refuted is no fall: on a machine so busy that
	// nodes answer late all would be held back, and most of a pool's targets
	// with them, long after they answer again.
	if (old.state == Ready || old.state == Suspect) && (r.boot > old.boot || r.state == Gone) {
		m.damping.fall(at)
	}
	if r.state != Suspect {
		// The instance itself has spoken, so what calls saw before is void.
		m.heard, m.evidence = at, evidence{}
	}
	m.record, m.since, m.from = r, at, from
	m.changed = v.seq.Add(1)
	d.changed = m.changed
	if old.pool != r.pool {
		p.remove(old)
		m.tier = tierNone
	}
	d.settle(m, at, p)
}

// settle puts a member into the tier it belongs to now.
func (d *domain) settle(m *member, at time.Duration, p *publisher) {
	t, until := d.tierOf(m, at)
	d.due = min(d.due, until)
	p.put(m.record, t, m.tier)
	m.tier = t
}

// Record returns what is known of an instance.
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

// Members returns the records of one failure domain, tombstones included, in no
// order.
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

// Records returns all that is known, tombstones included, in no order.
func (v *View) Records() []Record {
	var out []Record
	v.each(func(d *domain) {
		for _, m := range d.members {
			out = append(out, m.record)
		}
	})
	return out
}

// each visits the failure domains, each under its shard's mutex.
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
