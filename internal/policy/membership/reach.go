package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// cutAfter is when a failure domain counts as cut off. Its word passes two
	// hops between domains and up to four levels of a tree, each up to one
	// heartbeat late; calls see a cut long before.
	cutAfter = 30 * time.Second
	// lostAfter is when its members get no work at all any more: long enough
	// for the cuts of minutes between regions, and short enough that few of
	// its addresses have passed to other instances (a fifth of a percent at
	// the rate of 810 replaced of 4,200 a day).
	lostAfter = 15 * time.Minute
	// copyGrace keeps a record that a peer does not know when that record is
	// too new to have reached the peer.
	copyGrace = time.Minute
)

// reach says whether a failure domain is heard of.
type reach uint8

const (
	near reach = iota
	cut
	lost
)

// DomainAge tells how long ago a failure domain's root is known to have spoken.
type DomainAge struct {
	Domain string
	Age    time.Duration
}

// Ages returns the age of each failure domain, for those that pull from here.
func (v *View) Ages(now time.Time) []DomainAge {
	at := v.line.advance(now)
	var out []DomainAge
	v.each(func(d *domain) {
		out = append(out, DomainAge{Domain: d.name, Age: at - d.fresh})
	})
	slices.SortFunc(out, func(a, b DomainAge) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// refresh takes over the ages that a peer knows, where they are lower. Only a
// domain's own root starts at 0, and ages add up along the way, so that two
// nodes that pull from each other can't keep a domain fresh between them.
func (v *View) refresh(at time.Duration, ages []DomainAge, p *publisher) {
	for _, a := range ages {
		s := v.shard(a.Domain)
		s.mu.Lock()
		d := v.at(s, a.Domain, at)
		d.fresh = max(d.fresh, at-max(a.Age, 0))
		if d.updateReach(at, a.Domain == v.domain) {
			v.sweep(d, at, p)
		}
		s.mu.Unlock()
	}
}

// updateReach reports whether the domain's reach has changed.
func (d *domain) updateReach(at time.Duration, home bool) bool {
	old := d.reach
	switch age := at - d.fresh; {
	case home || age < cutAfter:
		// A domain never cuts itself off: with no one else to hear, its
		// members still serve it.
		d.reach = near
	case age < lostAfter:
		d.reach = cut
	default:
		d.reach = lost
	}
	return d.reach != old
}

// forgetUnnamed drops copies that a peer with the whole of a failure domain
// does not have any more. The own domain is never forgotten on another's word.
func (v *View) forgetUnnamed(at time.Duration, whole []string, named map[string][]Record, p *publisher) {
	for _, name := range whole {
		if name == v.domain {
			continue
		}
		keep := make(map[string]bool, len(named[name]))
		for _, r := range named[name] {
			keep[r.instance] = true
		}
		s := v.shard(name)
		s.mu.Lock()
		d := v.at(s, name, at)
		for instance, m := range d.members {
			if !keep[instance] && m.record.state != Gone && at-m.since >= copyGrace {
				d.digest ^= m.record.digest()
				p.put(m.record, tierNone, m.tier)
				delete(d.members, instance)
				d.changed = v.seq.Add(1)
				d.purged = d.changed
			}
		}
		s.mu.Unlock()
	}
}

// Status is what an operator sees of a failure domain.
type Status struct {
	Domain                                   string
	Age                                      time.Duration
	Reach                                    string
	Starting, Ready, Draining, Gone, Suspect int
}

// Status returns the state of each failure domain in the order of their names.
func (v *View) Status(now time.Time) []Status {
	at := v.line.advance(now)
	var out []Status
	v.each(func(d *domain) {
		st := Status{Domain: d.name, Age: at - d.fresh, Reach: d.reach.String()}
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

// String returns the reach as status shows it.
func (r reach) String() string {
	switch r {
	case near:
		return "near"
	case cut:
		return "cut off"
	case lost:
		return "lost"
	default:
		return "unknown"
	}
}
