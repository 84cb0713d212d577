package operator

import (
	"maps"
	"slices"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Capacity is how many calls run at once: promised slots are for paying
// organisations alone, the others for either class.
type Capacity struct{ promised, unpromised int }

// Promised returns the slots that trial calls never take.
func (c Capacity) Promised() int { return c.promised }

// Unpromised returns the slots that either class takes.
func (c Capacity) Unpromised() int { return c.unpromised }

// Paying returns the most calls of paying organisations that run at once.
func (c Capacity) Paying() int { return c.promised + c.unpromised }

// Trial returns the most calls of trial organisations that run at once.
func (c Capacity) Trial() int { return c.unpromised }

func (c Capacity) plus(o Capacity) Capacity {
	return Capacity{c.promised + o.promised, c.unpromised + o.unpromised}
}

// CapacityChange is the capacity of a pool or service before and after.
type CapacityChange struct {
	key           snapshot.Key
	before, after Capacity
}

// Key names the pool or service.
func (c CapacityChange) Key() snapshot.Key { return c.key }

// Before returns the capacity as it is.
func (c CapacityChange) Before() Capacity { return c.before }

// After returns the capacity as it will be.
func (c CapacityChange) After() Capacity { return c.after }

// Move is a route whose calls go elsewhere after the plan.
type Move struct {
	route    string
	from, to string
}

// Route returns the route's name.
func (m Move) Route() string { return m.route }

// From returns the pool its calls go to, or "" for a route that is added.
func (m Move) From() string { return m.from }

// To returns the pool its calls will go to, or "" for one that is removed.
func (m Move) To() string { return m.to }

// Effect is what a plan does to routes and capacity.
type Effect struct {
	moves    []Move
	capacity []CapacityChange
	warnings []Warning
}

// Moves returns the routes whose calls go elsewhere.
func (e Effect) Moves() []Move { return slices.Clone(e.moves) }

// Capacity returns the pools and services whose capacity changes.
func (e Effect) Capacity() []CapacityChange { return slices.Clone(e.capacity) }

// Warnings returns what an operator should look at twice.
func (e Effect) Warnings() []Warning { return slices.Clone(e.warnings) }

func effect(before, after *snapshot.Snapshot, c snapshot.Change) Effect {
	e := Effect{moves: moves(before, after, c), capacity: capacityChanges(before, after)}
	e.warnings = warnings(before, after, c, e.capacity)
	return e
}

func moves(before, after *snapshot.Snapshot, c snapshot.Change) []Move {
	var out []Move
	for _, k := range touched(c) {
		if k.Kind != snapshot.KindRoute {
			continue
		}
		m := Move{route: k.Name, from: poolOf(before, k), to: poolOf(after, k)}
		if m.from != m.to {
			out = append(out, m)
		}
	}
	return out
}

func touched(c snapshot.Change) []snapshot.Key {
	out := c.Removes()
	for _, o := range c.Upserts() {
		out = append(out, o.Key())
	}
	slices.SortFunc(out, snapshot.CompareKeys)
	return out
}

func poolOf(s *snapshot.Snapshot, route snapshot.Key) string {
	o, _ := s.Object(route)
	r, _ := o.(snapshot.Route)
	return r.Pool()
}

func capacityChanges(before, after *snapshot.Snapshot) []CapacityChange {
	was, is := capacities(before), capacities(after)
	keys := map[snapshot.Key]bool{}
	for _, m := range []map[snapshot.Key]Capacity{was, is} {
		for k := range m {
			keys[k] = true
		}
	}
	var out []CapacityChange
	for _, k := range slices.SortedFunc(maps.Keys(keys), snapshot.CompareKeys) {
		if was[k] != is[k] {
			out = append(out, CapacityChange{key: k, before: was[k], after: is[k]})
		}
	}
	return out
}

// capacities returns the planned capacity of each pool, and of each service
// over all its pools.
func capacities(s *snapshot.Snapshot) map[snapshot.Key]Capacity {
	out := map[snapshot.Key]Capacity{}
	for _, o := range s.Objects() {
		p, ok := o.(snapshot.Pool)
		if !ok {
			continue
		}
		c := Capacity{promised: p.Promised() * p.Upstreams(), unpromised: (p.Slots() - p.Promised()) * p.Upstreams()}
		out[p.Key()] = c
		service := snapshot.Key{Kind: snapshot.KindService, Name: p.Service()}
		out[service] = out[service].plus(c)
	}
	return out
}
