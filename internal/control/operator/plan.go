package operator

import (
	"maps"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Action is the kind of change that a plan makes to one object.
type Action string

// The actions.
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

// Action returns how the plan changes the object.
func (i Item) Action() Action { return i.action }

// Key returns the object's key.
func (i Item) Key() snapshot.Key { return i.key }

// Before returns the current object, or nil if it is added.
func (i Item) Before() snapshot.Object { return i.before }

// After returns the object with the plan applied, or nil if it is removed.
func (i Item) After() snapshot.Object { return i.after }

// Plan is the change that an intent makes to one version, with the objects that
// the change depends on.
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

// ID returns the plan's ID, or "" for a plan that changes nothing.
func (p *Plan) ID() string { return p.id }

// Operator returns the operator who made the plan.
func (p *Plan) Operator() string { return p.operator }

// Base returns the version that the plan was made on.
func (p *Plan) Base() uint64 { return p.base }

// Created returns when the plan was made.
func (p *Plan) Created() time.Time { return p.created }

// Expires returns the time after which the plan can't be confirmed.
func (p *Plan) Expires() time.Time { return p.expires }

// Items returns the objects that the plan adds, changes or removes.
func (p *Plan) Items() []Item { return slices.Clone(p.items) }

// Reads returns the digests of the objects that the plan depends on. The digest
// is zero for an object that did not exist.
func (p *Plan) Reads() map[snapshot.Key]snapshot.Digest { return maps.Clone(p.reads) }

// Effect returns what the plan changes in routing and capacity.
func (p *Plan) Effect() Effect { return p.effect }

// newPlan computes the plan for an intent on version s.
func newPlan(s *snapshot.Snapshot, intent Intent) (*Plan, error) {
	c, err := change(s, intent)
	if err != nil {
		return nil, err
	}
	return planForChange(s, c)
}

// planForChange computes the plan for a change of version s, and returns a
// snapshot.CheckError if the change would leave an invalid version.
func planForChange(s *snapshot.Snapshot, c snapshot.Change) (*Plan, error) {
	_, next, err := s.Next(c, snapshot.Stamp{})
	if err != nil {
		return nil, err
	}
	return &Plan{
		base: s.Version(), change: c, items: items(s, c), reads: dependencies(s, c), effect: effect(s, next, c),
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

// dependencies returns the digests of the objects that a change depends on: those
// it writes, those they refer to before and after, and those that refer to them.
// Because of the last, a plan that resizes a pool conflicts with another
// operator's new route to that pool, which would alter the plan's effect.
func dependencies(s *snapshot.Snapshot, c snapshot.Change) map[snapshot.Key]snapshot.Digest {
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
			read(snapshot.References(before)...)
		}
	}
	for _, o := range c.Upserts() {
		write(o.Key())
		read(snapshot.References(o)...)
	}
	for _, k := range c.Removes() {
		write(k)
	}
	for _, o := range s.Objects() {
		if slices.ContainsFunc(snapshot.References(o), func(to snapshot.Key) bool { return written[to] }) {
			read(o.Key())
		}
	}
	return out
}

// changedDependencies returns the keys of the plan's dependencies that differ in
// s, and of further objects that the change depends on in s.
func (p *Plan) changedDependencies(s *snapshot.Snapshot) []snapshot.Key {
	current := dependencies(s, p.change)
	var out []snapshot.Key
	for k, d := range p.reads {
		if s.ObjectDigest(k) != d {
			out = append(out, k)
		}
	}
	for k := range current {
		if _, ok := p.reads[k]; !ok {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, snapshot.CompareKeys)
	return out
}
