package operator

import (
	"maps"
	"slices"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Capacity is a number of concurrent calls: promised slots are reserved for
// paying organisations, unpromised slots are open to both classes.
type Capacity struct{ promised, unpromised int }

// Promised returns the slots reserved for paying organisations.
func (c Capacity) Promised() int { return c.promised }

// Unpromised returns the slots open to both classes.
func (c Capacity) Unpromised() int { return c.unpromised }

// Paying returns the maximum of concurrent calls of paying organisations.
func (c Capacity) Paying() int { return c.promised + c.unpromised }

// Trial returns the maximum of concurrent calls of trial organisations.
func (c Capacity) Trial() int { return c.unpromised }

func (c Capacity) plus(o Capacity) Capacity {
	return Capacity{c.promised + o.promised, c.unpromised + o.unpromised}
}

// CapacityChange is the capacity of a pool or service before and after a plan.
type CapacityChange struct {
	key           snapshot.Key
	before, after Capacity
}

// Key returns the key of the pool or service.
func (c CapacityChange) Key() snapshot.Key { return c.key }

// Before returns the current capacity.
func (c CapacityChange) Before() Capacity { return c.before }

// After returns the capacity with the plan applied.
func (c CapacityChange) After() Capacity { return c.after }

// Move is a route whose pool changes with a plan.
type Move struct {
	route    string
	from, to string
}

// Route returns the route's name.
func (m Move) Route() string { return m.route }

// From returns the current pool, or "" for a route that is added.
func (m Move) From() string { return m.from }

// To returns the pool with the plan applied, or "" for a route that is removed.
func (m Move) To() string { return m.to }

// Effect is what a plan changes in routing and capacity.
type Effect struct {
	moves    []Move
	capacity []CapacityChange
	warnings []Warning
}

// Moves returns the routes whose pool changes.
func (e Effect) Moves() []Move { return slices.Clone(e.moves) }

// Capacity returns the pools and services whose capacity changes.
func (e Effect) Capacity() []CapacityChange { return slices.Clone(e.capacity) }

// Warnings returns what an operator should review before confirming.
func (e Effect) Warnings() []Warning { return slices.Clone(e.warnings) }

func effect(before, after *snapshot.Snapshot, c snapshot.Change) Effect {
	e := Effect{moves: moves(before, after, c), capacity: capacityChanges(before, after)}
	e.warnings = warnings(before, after, c, e.capacity)
	return e
}

func moves(before, after *snapshot.Snapshot, c snapshot.Change) []Move {
	var out []Move
	for _, k := range changedKeys(c) {
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

func changedKeys(c snapshot.Change) []snapshot.Key {
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
	oldCapacities, newCapacities := capacities(before), capacities(after)
	keys := map[snapshot.Key]bool{}
	for _, m := range []map[snapshot.Key]Capacity{oldCapacities, newCapacities} {
		for k := range m {
			keys[k] = true
		}
	}
	var out []CapacityChange
	for _, k := range slices.SortedFunc(maps.Keys(keys), snapshot.CompareKeys) {
		if oldCapacities[k] != newCapacities[k] {
			out = append(out, CapacityChange{key: k, before: oldCapacities[k], after: newCapacities[k]})
		}
	}
	return out
}

// capacities returns the configured capacity of each pool, and of each service
// summed over its pools.
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
