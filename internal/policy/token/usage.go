package token

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// HighestLevel is the level of an organisation that uses at least three quarters of its
// limit, and four times the typical part. Level 2 stands for half of the limit and three
// times the typical part, level 1 for a quarter and twice that.
const HighestLevel = 3

const (
	// usageTime is the time constant of the count behind a level.
	usageTime = 3 * time.Second
	// fallRatio is the part of the threshold at which a level rises below which it falls, so
	// that a steady use close to a threshold does not change the order of calls repeatedly.
	fallRatio = 0.9
	// reliefCalls is how many calls above level 0 a node makes for each one that it sends at
	// level 0. Targets run calls strictly in order of level, so that without it an
	// organisation of a higher level would get nothing while the others fill all slots.
	reliefCalls = 3
	// levelTime is how long a node keeps a level without an answer of an issuer.
	levelTime = 5 * time.Second
	// minTypicalOf is of how many organisations an issuer has to know the use of their limits
	// for its median to count as typical.
	minTypicalOf = 8
)

// usage counts the use of a limit, weighted towards the last usageTime.
type usage struct {
	calls   float64 // expected to be rate x usageTime
	at      time.Time
	level   int
	refused uint64

	limit    float64 // per second, in the whole fleet
	issuers  int
	others   float64 // demand per second at the other issuers
	othersAt time.Time
}

// add counts n calls against a limit per second and adjusts the level, given the typical part
// of a limit in use. A level rises only if
// the count less its square root is above the threshold: few calls say little about a rate,
// and organisations with a call or two per second would otherwise change their level by
// chance.
func (u *usage) add(now time.Time, n int, limit, typical float64) {
	u.decay(now)
	u.limit = limit
	u.calls += float64(n)
	total := u.total(now)
	for u.level < HighestLevel && total-math.Sqrt(total) >= u.threshold(u.level+1, typical) {
		u.level++
	}
	for u.level > 0 && total < u.threshold(u.level, typical)*fallRatio {
		u.level--
	}
}

// total returns the count at all issuers as far as it is known. The count must be up to date.
func (u *usage) total(now time.Time) float64 {
	if now.Sub(u.othersAt) < levelTime {
		return u.calls + u.others*usageTime.Seconds()
	}
	return u.calls
}

// threshold returns the count from which a level applies. It grows with the typical part of a
// limit in use: where all organisations use much of their limits, small differences between
// them say nothing about who takes more than its share.
func (u *usage) threshold(level int, typical float64) float64 {
	part := max(float64(level)/(HighestLevel+1), typical*float64(level+1))
	return u.limit * usageTime.Seconds() * part
}

func (u *usage) decay(now time.Time) {
	if d := now.Sub(u.at); d > 0 && !u.at.IsZero() {
		u.calls *= math.Exp(-d.Seconds() / usageTime.Seconds())
	}
	u.at = now
}

// Level records a request for n tokens, of which some were refused, and returns the level of
// the organisation before and after it: the part of its limit that the organisation uses at
// this issuer and, as far as SetOthers has said, at the others.
func (s *Issuer) Level(now time.Time, l snapshot.Limit, p Plan, n, refused int) (before, after int) {
	s.withUsage(now, l.Organisation(), func(u *usage) {
		before = u.level
		u.issuers = p.issuers
		u.add(now, n, l.Rate(), s.typicalPart())
		u.refused += uint64(refused)
		after = u.level
	})
	return before, after
}

// SetOthers records what part of the limit is demanded at the other issuers, as the sum of
// their answers. Of an issuer that has not answered the demand is taken as equal to that of
// this one, so that an issuer alone compares its demand with its own part of the limit.
func (s *Issuer) SetOthers(now time.Time, l snapshot.Limit, part float64, silent int) {
	s.withUsage(now, l.Organisation(), func(u *usage) {
		u.decay(now)
		own := u.calls / usageTime.Seconds()
		u.others, u.othersAt = part*l.Rate()+float64(silent)*own, now
	})
}

// Part returns which part of the limit is demanded at this issuer.
func (s *Issuer) Part(now time.Time, l snapshot.Limit) (part float64) {
	s.withUsage(now, l.Organisation(), func(u *usage) {
		current := *u
		current.decay(now)
		part = current.calls / usageTime.Seconds() / l.Rate()
	})
	return part
}

// Usage is the use of an organisation's limit at one issuer.
type Usage struct {
	organisation string
	perSecond    float64
	level        int
	refused      uint64
	askOthers    bool
}

// Organisation returns the organisation's name.
func (u Usage) Organisation() string { return u.organisation }

// PerSecond returns the recent demand for tokens per second.
func (u Usage) PerSecond() float64 { return u.perSecond }

// Level returns the organisation's level.
func (u Usage) Level() int { return u.level }

// Refused returns how many of the tokens requested were not issued.
func (u Usage) Refused() uint64 { return u.refused }

// AskOthers reports whether the demand at the other issuers matters: if no issuer has reached
// its own part of the threshold of level 1, all together have not reached it.
func (u Usage) AskOthers() bool { return u.askOthers }

// Usages returns the use of the limits of at most n organisations: those of the highest
// levels, and among them those with the most demand.
func (s *Issuer) Usages(now time.Time, n int) []Usage {
	var out []Usage
	typical := s.typicalPart()
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name, b := range shard.buckets {
			if b.usage.at.IsZero() {
				continue // has only lent tokens
			}
			u := b.usage
			u.decay(now)
			ask := u.issuers > 1 && u.calls*float64(u.issuers) >= u.threshold(1, typical)*fallRatio
			out = append(out, Usage{name, u.calls / usageTime.Seconds(), u.level, u.refused, ask})
		}
		shard.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.organisation, b.organisation))
	})
	return out[:min(n, len(out))]
}

// UpdateTypical computes the typical part of a limit in use: the median of the organisations
// that have taken tokens here lately, 0 if they are few.
func (s *Issuer) UpdateTypical(now time.Time) {
	var parts []float64
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for _, b := range shard.buckets {
			if b.usage.limit == 0 {
				continue
			}
			u := b.usage
			u.decay(now)
			total := u.total(now)
			if total == u.calls {
				// The others have not been asked: they have less than their parts of level 1.
				total *= float64(u.issuers)
			}
			if u.calls >= 1 {
				parts = append(parts, total/(u.limit*usageTime.Seconds()))
			}
		}
		shard.mu.Unlock()
	}
	typical := 0.0
	if len(parts) >= minTypicalOf {
		slices.Sort(parts)
		typical = parts[len(parts)/2]
	}
	s.typical.Store(math.Float64bits(typical))
}

func (s *Issuer) typicalPart() float64 { return math.Float64frombits(s.typical.Load()) }

// nodeLevel is what a node knows of an organisation's level.
type nodeLevel struct {
	level  int
	until  time.Time // when the level of the issuer is too old to be used
	own    usage     // the node's calls since then
	raised int       // calls above level 0
}

// SetLevel records the level that an issuer has answered.
func (c *Cache) SetLevel(now time.Time, l snapshot.Limit, level int) {
	c.with(now, l, func(o *cached) {
		o.level.level, o.level.until, o.level.own = min(max(0, level), HighestLevel), now.Add(levelTime), usage{}
	})
}

// Level returns the level of an organisation's next call. Without a recent answer of an
// issuer the node compares its own calls with its part of the limit, as one of some nodes in
// the same position.
func (c *Cache) Level(now time.Time, l snapshot.Limit, nodes int) (level int) {
	c.with(now, l, func(o *cached) {
		n := &o.level
		if level = n.level; !now.Before(n.until) {
			n.own.add(now, 1, l.Rate()/float64(max(1, nodes)), 0)
			level = n.own.level
		}
		if level == 0 {
			return
		}
		if n.raised++; n.raised%reliefCalls == 0 {
			level = 0
		}
	})
	return level
}
