package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// cutOffAfter is the age of the last contact after which a failure domain
	// counts as cut off. The age is relayed over two hops between domains and up
	// to four levels of a tree, each adding up to one heartbeat interval.
	cutOffAfter = 30 * time.Second
	// lostAfter is the age after which the domain's members get no calls at all.
	// It is longer than common partitions between regions, but short enough that
	// few addresses are reassigned to other instances meanwhile. At 810 replacements a day
	// among 4,200 instances, about a fifth of a percent are reassigned by then.
	lostAfter = 15 * time.Minute
	// propagationGrace is the age below which a record is kept although a peer's
	// complete list lacks it: it may not have reached the peer yet.
	propagationGrace = time.Minute
)

// reach is the reachability of a failure domain.
type reach uint8

const (
	reachable reach = iota
	cutOff
	lost
)

// DomainAge is the time since the last known contact with a failure domain's
// root.
type DomainAge struct {
	Domain string
	Age    time.Duration
}

// Ages returns the age of each failure domain's last contact, sorted by name, for
// the peers that pull from this node.
func (v *View) Ages(now time.Time) []DomainAge {
	at := v.timeline.advance(now)
	var out []DomainAge
	v.each(func(d *domain) {
		out = append(out, DomainAge{Domain: d.name, Age: at - d.lastContact})
	})
	slices.SortFunc(out, func(a, b DomainAge) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// mergeAges adopts a peer's ages where they are lower than this view's. Only a
// domain's own root reports an age of 0, and ages grow while they are relayed, so
// two nodes that pull from each other can't keep an unreachable domain reachable.
func (v *View) mergeAges(at time.Duration, ages []DomainAge, p *publisher) {
	for _, a := range ages {
		s := v.shard(a.Domain)
		s.mu.Lock()
		d := v.domainIn(s, a.Domain, at)
		d.lastContact = max(d.lastContact, at-max(a.Age, 0))
		if d.updateReach(at, a.Domain == v.homeDomain) {
			v.sweep(d, at, p)
		}
		s.mu.Unlock()
	}
}

// updateReach recomputes the domain's reach and reports whether it changed.
func (d *domain) updateReach(at time.Duration, home bool) bool {
	old := d.reach
	switch age := at - d.lastContact; {
	case home || age < cutOffAfter:
		// The home domain's nodes call its members even when it is
		// partitioned from all others.
		d.reach = reachable
	case age < lostAfter:
		d.reach = cutOff
	default:
		d.reach = lost
	}
	return d.reach != old
}

// dropMissing removes members that are missing from a peer's complete list of a
// failure domain. Members of the home domain are never removed this way.
func (v *View) dropMissing(at time.Duration, fullDomains []string, received map[string][]Record, p *publisher) {
	for _, name := range fullDomains {
		if name == v.homeDomain {
			continue
		}
		keep := make(map[string]bool, len(received[name]))
		for _, r := range received[name] {
			keep[r.instance] = true
		}
		s := v.shard(name)
		s.mu.Lock()
		d := v.domainIn(s, name, at)
		for instance, m := range d.members {
			if !keep[instance] && m.record.state != Gone && at-m.acceptedAt >= propagationGrace {
				d.digest ^= m.record.digest()
				p.put(m.record, tierNone, m.tier)
				delete(d.members, instance)
				d.changedSeq = v.seq.Add(1)
				d.purgedSeq = d.changedSeq
			}
		}
		s.mu.Unlock()
	}
}

// Status is a summary of a failure domain for operators. Age is the time since the
// last contact; the counts are of members by state.
type Status struct {
	Domain                                   string
	Age                                      time.Duration
	Reach                                    string
	Starting, Ready, Draining, Gone, Suspect int
}

// Status returns a summary of each failure domain, sorted by name.
func (v *View) Status(now time.Time) []Status {
	at := v.timeline.advance(now)
	var out []Status
	v.each(func(d *domain) {
		st := Status{Domain: d.name, Age: at - d.lastContact, Reach: d.reach.String()}
		for _, m := range d.members {
			st.count(m.record.state)
		}
		out = append(out, st)
	})
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

func (st *Status) count(s State) {
	switch s {
	case Starting:
		st.Starting++
	case Ready:
		st.Ready++
	case Draining:
		st.Draining++
	case Gone:
		st.Gone++
	case Suspect:
		st.Suspect++
	}
}

// String returns the reach as the status shows it.
func (r reach) String() string {
	switch r {
	case reachable:
		return "near"
	case cutOff:
		return "cut off"
	case lost:
		return "lost"
	default:
		return "unknown"
	}
}
