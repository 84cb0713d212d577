package membership

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// HeartbeatInterval is the maximum interval between two pulls of an instance's
	// node; each pull is a heartbeat. A pull takes a few hundred bytes, so at this interval it
	// costs under 100 B/s.
	HeartbeatInterval = 4 * time.Second

	// readyTimeout is two and a half heartbeat intervals, so that one lost pull
	// or one change of relay is tolerated. Refused connections divert calls from
	// a dead target sooner.
	readyTimeout = 10 * time.Second
	// startingTimeout is longer, since a booting machine is slow and an instance
	// that is not ready gets no calls.
	startingTimeout = 30 * time.Second
	// suspectTimeout is the time that a suspect has to refute the claim: two
	// heartbeat intervals, and time to propagate the claim down the tree and the
	// refutation back up.
	suspectTimeout = 10 * time.Second

	// detectInterval is the interval of failure detection. Instances that die
	// together time out within one heartbeat interval, so their claims are sent
	// in a few batches instead of one message each.
	detectInterval = time.Second

	// These longer timeouts apply if most of a failure domain is unresponsive at
	// once. Then this node is probably partitioned, and after the partition wrong
	// claims would keep calls from every member until it refuted them.
	majorityTimeout        = time.Minute
	majoritySuspectTimeout = 15 * time.Minute

	// tombstoneTTL is how long a member in state Gone is kept. It exceeds
	// lostAfter, after which other views use no records of a failure domain
	// without contact.
	tombstoneTTL = time.Hour
)

// failureDetector is the state of failure detection, which runs on the root of a
// failure domain's tree. It is guarded by the mutex of the home domain's shard.
type failureDetector struct {
	wasRoot bool
	lastRun time.Duration
}

// HeartbeatAge is the age of an instance's latest heartbeat. ID is a hash of the
// instance's name and boot number.
type HeartbeatAge struct {
	ID  uint64
	Age time.Duration
}

func heartbeatID(r Record) uint64 { return xxh3.HashStringSeed(r.instance, r.boot) }

// RecordHeartbeat records a heartbeat that this node received from an instance of
// the home domain, or its own. It reports whether the view holds the instance with
// this boot number and neither suspect nor gone; otherwise the instance has to
// announce itself.
func (v *View) RecordHeartbeat(now time.Time, instance string, boot uint64) bool {
	at := v.timeline.advance(now)
	s := v.shard(v.homeDomain)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := v.domainIn(s, v.homeDomain, at).members[instance]
	if m == nil || m.record.boot != boot || m.record.state == Gone || m.record.state == Suspect {
		return false
	}
	m.lastHeartbeat, m.inSubtree = at, true
	return true
}

// RecordHeartbeats records heartbeats that a child relay received.
func (v *View) RecordHeartbeats(now time.Time, heartbeats []HeartbeatAge) {
	if len(heartbeats) == 0 {
		return
	}
	at := v.timeline.advance(now)
	ages := make(map[uint64]time.Duration, len(heartbeats))
	for _, h := range heartbeats {
		ages[h.ID] = max(h.Age, 0)
	}
	s := v.shard(v.homeDomain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range v.domainIn(s, v.homeDomain, at).members {
		if age, ok := ages[heartbeatID(m.record)]; ok && at-age >= m.lastHeartbeat {
			m.lastHeartbeat, m.inSubtree = at-age, true
		}
	}
}

// HeartbeatAges returns the ages of the heartbeats received from this node's
// subtree, to be sent to its parent.
func (v *View) HeartbeatAges(now time.Time) []HeartbeatAge {
	at := v.timeline.advance(now)
	s := v.shard(v.homeDomain)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []HeartbeatAge
	for _, m := range v.domainIn(s, v.homeDomain, at).members {
		// A member with an older heartbeat is dead or pulls from another relay.
		if age := at - m.lastHeartbeat; m.inSubtree && m.record.state != Gone && age <= readyTimeout {
			out = append(out, HeartbeatAge{ID: heartbeatID(m.record), Age: age})
		}
	}
	return out
}

// Expire applies all timeouts: it ends backoffs and flap damping, lowers the tier
// of members of unreachable failure domains, removes old tombstones and, on the
// root of the home domain's tree, claims unresponsive members suspect or gone. It
// returns the claims as one batch. Call it every few hundred milliseconds.
func (v *View) Expire(now time.Time, root bool) []Record {
	at := v.timeline.advance(now)
	p := v.pools.publisher()
	v.each(func(d *domain) {
		reachChanged := d.updateReach(at, d.name == v.homeDomain)
		if reachChanged || d.nextSweep <= at {
			v.sweep(d, at, p)
		}
	})
	claims := v.detectFailures(at, root, p)
	p.publish()
	return claims
}

// sweep updates the tiers of a domain's members and removes old tombstones.
func (v *View) sweep(d *domain, at time.Duration, p *publisher) {
	d.nextSweep = never
	for instance, m := range d.members {
		if m.record.state == Gone && at-m.acceptedAt >= tombstoneTTL {
			d.purgedSeq = max(d.purgedSeq, m.changedSeq)
			delete(d.members, instance)
			continue
		}
		d.updateTier(m, at, p)
	}
}

// detectFailures claims unresponsive members suspect, and suspects gone, if this
// node is the root.
func (v *View) detectFailures(at time.Duration, root bool, p *publisher) []Record {
	s := v.shard(v.homeDomain)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := v.domainIn(s, v.homeDomain, at)
	if root {
		d.lastContact = at
	}
	if !v.detector.shouldRun(at, root, d) {
		return nil
	}
	minSuspectAfter, goneAfter := time.Duration(0), suspectTimeout
	if d.majorityUnresponsive(at) {
		minSuspectAfter, goneAfter = majorityTimeout, majoritySuspectTimeout
	}
	var claims []Record
	for _, m := range d.members {
		r := m.record
		elapsed := at - m.lastHeartbeat
		switch {
		case r.state == Suspect && at-m.acceptedAt >= goneAfter:
			r.state = Gone
		case r.state.alive() && elapsed >= max(timeoutOf(r.state), minSuspectAfter):
			r.state = Suspect
		default:
			continue
		}
		v.accept(d, m, r, at, "", p)
		claims = append(claims, r)
	}
	return claims
}

// shouldRun reports whether failure detection is to run now. A node that has just
// become the root has no heartbeats of most members yet, so it restarts every
// member's timeout.
func (f *failureDetector) shouldRun(at time.Duration, root bool, d *domain) bool {
	becameRoot := root && !f.wasRoot
	f.wasRoot = root
	if becameRoot {
		f.lastRun = at
		for _, m := range d.members {
			m.lastHeartbeat = at
			if m.record.state == Suspect {
				m.acceptedAt = at
			}
		}
	}
	if !root || at-f.lastRun < detectInterval {
		return false
	}
	f.lastRun = at
	return true
}

// majorityUnresponsive reports whether more than half of the members that should
// send heartbeats, at least three, are unresponsive.
func (d *domain) majorityUnresponsive(at time.Duration) bool {
	total, unresponsive := 0, 0
	for _, m := range d.members {
		if m.record.state == Gone {
			continue
		}
		total++
		if m.record.state == Suspect || at-m.lastHeartbeat >= timeoutOf(m.record.state) {
			unresponsive++
		}
	}
	return total > 2 && unresponsive*2 > total
}

func (s State) alive() bool { return s == Starting || s == Ready || s == Draining }

func timeoutOf(s State) time.Duration {
	if s == Starting {
		return startingTimeout
	}
	return readyTimeout
}
