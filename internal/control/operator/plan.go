package operator

import (
	"maps"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Action is what a plan does to one object.
type Action string

// The actions of a plan.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Item is one object that a plan adds, changes or removes.
type Item struct {
	action        Action
	key           snapshot.Key
	before, after snapshot.Object
}

// Action returns what the plan does to the object.
func (i Item) Action() Action { return i.action }

// Key names the object.
func (i Item) Key() snapshot.Key { return i.key }

// Before returns the object as it is, or nil if it is added.
func (i Item) Before() snapshot.Object { return i.before }

// After returns the object as it will be, or nil if it is removed.
func (i Item) After() snapshot.Object { return i.after }

// Plan is what an intent does to one version, and all that it depends on.
type Plan struct {
	id       string
	operator string
	base     uint64
	created  time.Time
	expires  time.Time
	change   snapshot.Change
	items    []Item
	reads    map[snapshot.Key]snapshot.Digest
	effect   Effect
}

// ID returns the plan's id, or "" for a plan that changes nothing.
func (p *Plan) ID() string { return p.id }

// Operator returns who made the plan.
func (p *Plan) Operator() string { return p.operator }

// Base returns the version that the plan was made on.
func (p *Plan) Base() uint64 { return p.base }

// Created returns when the plan was made.
func (p *Plan) Created() time.Time { return p.created }

// Expires returns when the plan can no longer be confirmed.
func (p *Plan) Expires() time.Time { return p.expires }

// Items returns the objects that the plan adds, changes or removes.
func (p *Plan) Items() []Item { return slices.Clone(p.items) }

// Reads returns the digests of the objects that the plan depends on; zero
// stands for one that did not exist.
func (p *Plan) Reads() map[snapshot.Key]snapshot.Digest { return maps.Clone(p.reads) }

// Effect returns what the plan does to routes and capacity.
func (p *Plan) Effect() Effect { return p.effect }

// newPlan works out what an intent does to a version.
func newPlan(s *snapshot.Snapshot, intent Intent) (*Plan, error) {
	c, err := change(s, intent)
	if err != nil {
		return nil, err
	}
	return planOf(s, c)
}

// planOf works out what a change does to a version, which it leaves valid.
func planOf(s *snapshot.Snapshot, c snapshot.Change) (*Plan, error) {
	_, next, err := s.Next(c, snapshot.Stamp{})
	if err != nil {
		return nil, err
	}
	return &Plan{
		base: s.Version(), change: c, items: items(s, c), reads: reads(s, c), effect: effect(s, next, c),
	}, nil
}

func items(s *snapshot.Snapshot, c snapshot.Change) []Item {
	var out []Item
	for _, o := range c.Upserts() {
		item := Item{action: Added, key: o.Key(), after: o}
		if before, ok := s.Object(o.Key()); ok {
			item.action, item.before = Changed, before
		}
		out = append(out, item)
	}
	for _, k := range c.Removes() {
		before, _ := s.Object(k)
		out = append(out, Item{action: Removed, key: k, before: before})
	}
	slices.SortFunc(out, func(a, b Item) int { return snapshot.CompareKeys(a.key, b.key) })
	return out
}

// reads returns the digests of what a change depends on: the objects it
// writes, those they refer to before and after, and those that refer to them.
// With the last, a route that another operator leads to a pool is a conflict
// for the plan that resizes the pool, whose effect would be another.
func reads(s *snapshot.Snapshot, c snapshot.Change) map[snapshot.Key]snapshot.Digest {
	written := map[snapshot.Key]bool{}
	out := map[snapshot.Key]snapshot.Digest{}
	read := func(keys ...snapshot.Key) {
		for _, k := range keys {
			out[k] = s.ObjectDigest(k)
		}
	}
	write := func(k snapshot.Key) {
		written[k] = true
		read(k)
		if before, ok := s.Object(k); ok {
			read(snapshot.Refers(before)...)
		}
	}
	for _, o := range c.Upserts() {
		write(o.Key())
		read(snapshot.Refers(o)...)
	}
	for _, k := range c.Removes() {
		write(k)
	}
	for _, o := range s.Objects() {
		if slices.ContainsFunc(snapshot.Refers(o), func(to snapshot.Key) bool { return written[to] }) {
			read(o.Key())
		}
	}
	return out
}

// stale returns the keys whose objects are not as the plan read them.
func (p *Plan) stale(s *snapshot.Snapshot) []snapshot.Key {
	now := reads(s, p.change)
	var out []snapshot.Key
	for k, d := range p.reads {
		if s.ObjectDigest(k) != d {
			out = append(out, k)
		}
	}
	for k := range now {
		if _, ok := p.reads[k]; !ok {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, snapshot.CompareKeys)
	return out
}
