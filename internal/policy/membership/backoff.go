package membership

import (
	"math"
	"time"
)

const (
	// backoffBase is the backoff after the first refused connection. It
	// outlasts a burst of calls, so that a dead target costs one failed attempt
	// instead of hundreds, and is shorter than readyTimeout, after which the
	// root claims the member suspect.
	backoffBase = 2 * time.Second
	// backoffMax bounds the backoff, which doubles with each refusal. One attempt in half a
	// minute is a load that no target notices.
	backoffMax = 30 * time.Second

	// Flap damping as in RFC 2439: each flap adds 1 to a penalty that decays
	// with dampingHalfLife. A member is suppressed from dampingSuppress on, which
	// takes three flaps in quick succession, and reused at dampingReuse.
	dampingHalfLife = 30 * time.Second
	dampingSuppress = 2.5
	dampingReuse    = 1.2
	// dampingMax bounds the penalty, so that no member is suppressed for more
	// than about 80 s after its last flap.
	dampingMax = 8.0
)

// never is later than any time of a timeline.
const never = time.Duration(math.MaxInt64)

// connBackoff is an exponential backoff from a member that refused connections of
// this node's own calls.
type connBackoff struct {
	until    time.Duration
	refusals int
}

func (s *connBackoff) refused(at time.Duration) {
	if at < s.until {
		// Concurrent calls report the same failure; it counts once.
		return
	}
	s.until = at + min(backoffBase<<min(s.refusals, 8), backoffMax)
	s.refusals++
}

// damping suppresses a flapping member, since the calls that it gets while it is
// up fail when it goes down again.
type damping struct {
	penalty    float64
	decayedAt  time.Duration
	suppressed bool
}

func (d *damping) flap(at time.Duration) {
	d.decay(at)
	d.penalty = min(d.penalty+1, dampingMax)
	d.suppressed = d.suppressed || d.penalty >= dampingSuppress
}

func (d *damping) decay(at time.Duration) {
	d.penalty *= math.Exp2(-float64(at-d.decayedAt) / float64(dampingHalfLife))
	d.decayedAt = at
	if d.penalty <= dampingReuse {
		d.suppressed = false
	}
}

// reuseAt returns the time until which the member is suppressed, or at if it is
// not suppressed.
func (d *damping) reuseAt(at time.Duration) time.Duration {
	d.decay(at)
	if !d.suppressed {
		return at
	}
	remaining := math.Log2(d.penalty/dampingReuse) * float64(dampingHalfLife)
	return at + max(time.Duration(remaining), time.Millisecond)
}

// ConnectionRefused moves an instance that refused a connection to the fallback
// tier, on this node only, until a backoff has passed or the instance announces
// itself. It has no effect if the instance has another boot number by now.
func (v *View) ConnectionRefused(now time.Time, instance string, boot uint64) {
	at := v.timeline.advance(now)
	p := v.pools.publisher()
	v.each(func(d *domain) {
		if m, ok := d.members[instance]; ok && m.record.boot == boot && m.record.state == Ready {
			m.backoff.refused(at)
			d.updateTier(m, at, p)
		}
	})
	p.publish()
}

// tierOf returns a member's tier and the time at which the tier expires unless an
// update arrives before; for a tombstone, the time at which it can be removed.
func (d *domain) tierOf(m *member, at time.Duration) (tier, time.Duration) {
	switch {
	case m.record.state == Gone:
		return tierNone, m.acceptedAt + tombstoneTTL
	case d.reach == lost || m.record.state != Ready && m.record.state != Suspect:
		return tierNone, never
	case m.record.state == Suspect:
		return tierFallback, never
	}
	until := max(m.backoff.until, m.damping.reuseAt(at))
	switch {
	case until > at:
		return tierFallback, until
	case d.reach == cutOff:
		return tierFallback, never
	default:
		return tierPreferred, never
	}
}
