package membership

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Heartbeat is the longest that an instance's node leaves between two
	// pulls. At 4 s a pull of a few hundred bytes costs under 100 B/s, a
	// thirtieth of what a node may spend.
	Heartbeat = 4 * time.Second

	// readyLimit is three heartbeats late by half: one lost pull and one
	// change of relay pass unnoticed. Calls keep away from a dead target long
	// before, by what they see.
	readyLimit = 10 * time.Second
	// startingLimit is longer, since a machine that boots is slow and an
	// instance that is not ready costs no call while it is silent.
	startingLimit = 30 * time.Second
	// suspectLimit is what a suspect has for its refutation: two heartbeats,
	// and time for a claim to travel down the tree and back up.
	suspectLimit = 10 * time.Second

	// sweepEvery gathers losses: instances that die together fall silent
	// spread over one heartbeat, and become a few batches, not one each.
	sweepEvery = time.Second

	// If most of a failure domain falls silent at once, the likelier cause is
	// that this node was cut off; claims would put every member out of work
	// for the time of a refutation when the cut heals. So they wait, and calls
	// find out meanwhile what is truly gone.
	majorityLimit        = time.Minute
	majoritySuspectLimit = 15 * time.Minute

	// tombstoneFor is how long Gone is remembered: longer than any other view
	// may go on holding a record that its failure domain no longer confirms.
	tombstoneFor = time.Hour
)

// silence is what the root of a failure domain's tree keeps to judge silence.
// It is under the mutex of the own failure domain's shard.
type silence struct {
	root  bool
	swept time.Duration
}

// Pulse tells how long ago a heartbeat of an instance was heard; ID stands for
// the instance and its boot in 8 bytes.
type Pulse struct {
	ID  uint64
	Age time.Duration
}

func pulseID(r Record) uint64 { return xxh3.HashStringSeed(r.instance, r.boot) }

// Heard notes a heartbeat of an instance of the own failure domain, a node's
// own included, and reports whether its record is known and stands; if not, the
// instance has to announce itself.
func (v *View) Heard(now time.Time, instance string, boot uint64) bool {
	at := v.line.advance(now)
	s := v.shard(v.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := v.at(s, v.domain, at).members[instance]
	if m == nil || m.record.boot != boot || m.record.state == Gone || m.record.state == Suspect {
		return false
	}
	m.heard, m.below = at, true
	return true
}

// HeardBelow notes the heartbeats that a relay below heard.
func (v *View) HeardBelow(now time.Time, pulses []Pulse) {
	if len(pulses) == 0 {
		return
	}
	at := v.line.advance(now)
	ages := make(map[uint64]time.Duration, len(pulses))
	for _, p := range pulses {
		ages[p.ID] = max(p.Age, 0)
	}
	s := v.shard(v.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range v.at(s, v.domain, at).members {
		if age, ok := ages[pulseID(m.record)]; ok && at-age >= m.heard {
			m.heard, m.below = at-age, true
		}
	}
}

// Pulses returns the heartbeats heard from below, for the relay above.
func (v *View) Pulses(now time.Time) []Pulse {
	at := v.line.advance(now)
	s := v.shard(v.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Pulse
	for _, m := range v.at(s, v.domain, at).members {
		// Older ones say nothing: the member pulls from another relay by now.
		if age := at - m.heard; m.below && m.record.state != Gone && age <= readyLimit {
			out = append(out, Pulse{ID: pulseID(m.record), Age: age})
		}
	}
	return out
}

// Expire lets time act: suspicions end, members of failure domains out of reach
// lose their part, tombstones are forgotten and, at the root of the own
// failure domain's tree, silence becomes a claim. It returns the claims as one
// batch; it is to be called every few hundred milliseconds.
func (v *View) Expire(now time.Time, root bool) []Record {
	at := v.line.advance(now)
	p := v.pools.publisher()
	v.each(func(d *domain) {
		moved := d.updateReach(at, d.name == v.domain)
		if moved || d.due <= at {
			v.sweep(d, at, p)
		}
	})
	claims := v.judge(at, root, p)
	p.publish()
	return claims
}

// sweep settles all members of a domain again and forgets old tombstones.
func (v *View) sweep(d *domain, at time.Duration, p *publisher) {
	d.due = never
	for instance, m := range d.members {
		if m.record.state == Gone && at-m.since >= tombstoneFor {
			d.purged = max(d.purged, m.changed)
			delete(d.members, instance)
			continue
		}
		d.settle(m, at, p)
	}
}

// judge claims what is silent, if this node is the root.
func (v *View) judge(at time.Duration, root bool, p *publisher) []Record {
	s := v.shard(v.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := v.at(s, v.domain, at)
	if root {
		d.fresh = at
	}
	if !v.silence.turn(at, root, d) {
		return nil
	}
	suspectAfter, goneAfter := time.Duration(0), suspectLimit
	if d.mostSilent(at) {
		suspectAfter, goneAfter = majorityLimit, majoritySuspectLimit
	}
	var claims []Record
	for _, m := range d.members {
		r := m.record
		silent := at - m.heard
		switch {
		case r.state == Suspect && at-m.since >= goneAfter:
			r.state = Gone
		case r.state.alive() && silent >= max(limitOf(r.state), suspectAfter):
			r.state = Suspect
		default:
			continue
		}
		v.accept(d, m, r, at, "", p)
		claims = append(claims, r)
	}
	return claims
}

// turn reports whether it is time to judge. A node that has just become the
// root has not heard most members yet: their time starts now.
func (s *silence) turn(at time.Duration, root bool, d *domain) bool {
	became := root && !s.root
	s.root = root
	if became {
		s.swept = at
		for _, m := range d.members {
			m.heard = at
			if m.record.state == Suspect {
				m.since = at
			}
		}
	}
	if !root || at-s.swept < sweepEvery {
		return false
	}
	s.swept = at
	return true
}

// mostSilent reports whether more than half of the members that should be heard
// are not.
func (d *domain) mostSilent(at time.Duration) bool {
	total, silent := 0, 0
	for _, m := range d.members {
		if m.record.state == Gone {
			continue
		}
		total++
		if m.record.state == Suspect || at-m.heard >= limitOf(m.record.state) {
			silent++
		}
	}
	return total > 2 && silent*2 > total
}

func (s State) alive() bool { return s == Starting || s == Ready || s == Draining }

func limitOf(s State) time.Duration {
	if s == Starting {
		return startingLimit
	}
	return readyLimit
}
