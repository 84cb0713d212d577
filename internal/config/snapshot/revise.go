package snapshot

import (
	"maps"
	"slices"
	"strings"
)

// Revise returns the checked version that results from a change to s, an assembled or
// adopted version. It equals the version that Assemble or Adopt returns for the resulting
// objects, but shares with s what the change does not affect, and checks only the changed objects
// where that is enough.
func (s *Snapshot) Revise(version uint64, c Change) (*Snapshot, error) {
	if c.Empty() {
		return &Snapshot{version: version, adopted: s.adopted, faults: s.faults, objects: s.objects, lookup: s.lookup}, nil
	}
	objects := make(map[Key]entry, len(s.objects)+len(c.upserts))
	maps.Copy(objects, s.objects)
	for _, k := range c.removes {
		delete(objects, k)
	}
	added := make(map[Key]bool, len(c.upserts))
	for _, o := range c.upserts {
		k := o.Key()
		if added[k] {
			return nil, &OverlapError{First: k, Second: k, Claim: "one name"}
		}
		added[k] = true
		objects[k] = entry{object: o}
	}
	// For a change of most objects it is cheaper to build everything anew.
	if 2*(len(c.upserts)+len(c.removes)) <= len(s.objects) {
		if l, ok := s.reviseLookup(c, objects); ok {
			return &Snapshot{version: version, adopted: s.adopted, objects: objects, lookup: l}, nil
		}
	}
	if s.adopted {
		return adopt(version, objects, nil), nil
	}
	return build(version, Digest{}, "", objects)
}

// reviseLookup returns the lookup of the objects that result from a change to s. It returns
// false if they may be invalid, so that all of them need checking.
func (s *Snapshot) reviseLookup(c Change, objects map[Key]entry) (lookup, bool) {
	if s.breaksReferences(c) {
		return lookup{}, false
	}
	check := newChecker(objects, s.adopted)
	kinds := map[Kind]bool{}
	for _, k := range c.removes {
		kinds[k.Kind] = true
	}
	for _, o := range c.upserts {
		kinds[o.Key().Kind] = true
		check.checkObject(o.Key(), o)
	}
	if len(check.faults) > 0 {
		return lookup{}, false
	}
	l := s.lookup
	if kinds[KindRoute] {
		l.reviseRoutes(s.objects, c)
		for _, o := range c.upserts {
			if r, ok := o.(Route); ok && l.overlaps(r) {
				return lookup{}, false
			}
		}
		l.priorities = countPriorities(objects)
		delete(kinds, KindRoute)
	}
	l.rebuild(objects, kinds)
	// Two organisations with one key have one entry in the lookup.
	return l, !kinds[KindOrganisation] || len(l.byKey) == countKeyHashes(objects)
}

// breaksReferences reports whether a change may leave a reference of an unchanged object
// invalid.
func (s *Snapshot) breaksReferences(c Change) bool {
	for _, k := range c.removes {
		switch k.Kind {
		case KindService, KindPool, KindOrganisation:
			return true
		case KindRoute, KindLimit, KindObjective:
		}
	}
	for _, o := range c.upserts {
		if p, ok := o.(Pool); ok {
			old, known := s.lookup.pools[p.name]
			if known && old.service != p.service {
				return true
			}
		}
	}
	return false
}

func countKeyHashes(objects map[Key]entry) int {
	n := 0
	for _, e := range objects {
		if o, ok := e.object.(Organisation); ok {
			n += len(o.keyHashes)
		}
	}
	return n
}

// rebuild replaces the indexes of some kinds of objects other than routes.
func (l *lookup) rebuild(objects map[Key]entry, kinds map[Kind]bool) {
	fresh := emptyLookup()
	for k, e := range objects {
		if kinds[k.Kind] {
			fresh.add(e.object)
		}
	}
	if kinds[KindOrganisation] {
		l.byKey, l.organisations = fresh.byKey, fresh.organisations
	}
	if kinds[KindPool] {
		l.pools = fresh.pools
	}
	if kinds[KindLimit] {
		l.limits = fresh.limits
	}
}

// reviseRoutes applies the changes of routes to copies of the tries' changed nodes; old
// holds the objects before the change.
func (l *lookup) reviseRoutes(old map[Key]entry, c Change) {
	l.byHost = maps.Clone(l.byHost)
	edit := trieEdit{}
	remove := func(k Key) {
		if r, ok := old[k].object.(Route); ok {
			l.editRoute(edit, r, func(list []Route) []Route {
				return slices.DeleteFunc(list, func(other Route) bool { return other.name == r.name })
			})
		}
	}
	for _, k := range c.removes {
		remove(k)
	}
	for _, o := range c.upserts {
		remove(o.Key())
	}
	for _, o := range c.upserts {
		if r, ok := o.(Route); ok {
			l.editRoute(edit, r, func(list []Route) []Route { return insertRoute(list, r) })
		}
	}
}

// editRoute changes the list of the routes with the host and path of r.
func (l *lookup) editRoute(edit trieEdit, r Route, change func([]Route) []Route) {
	path, slash := strings.CutSuffix(r.path, "/")
	if r.host == "" {
		l.anyHost = edit.apply(l.anyHost, path, slash, change)
		return
	}
	if root := edit.apply(l.byHost[r.host], path, slash, change); root.empty() {
		delete(l.byHost, r.host)
	} else {
		l.byHost[r.host] = root
	}
}

// overlaps reports whether another route claims calls that r claims.
func (l *lookup) overlaps(r Route) bool {
	n := l.anyHost
	if r.host != "" {
		n = l.byHost[r.host]
	}
	path, slash := strings.CutSuffix(r.path, "/")
	for path != "" {
		var segment string
		segment, path = cutSegment(path)
		n = n.children[segment]
	}
	list := n.routes
	if slash {
		list = n.slashRoutes
	}
	return slices.ContainsFunc(list, func(other Route) bool {
		if other.name == r.name {
			return false
		}
		return len(other.methods) == 0 && len(r.methods) == 0 ||
			slices.ContainsFunc(other.methods, func(m string) bool { return slices.Contains(r.methods, m) })
	})
}

// trieEdit holds the nodes that were copied or created for one version. Only these may be
// changed, as the others are shared with the version before.
type trieEdit map[*pathNode]bool

// apply returns n, or a copy of it, after a change of the list of routes at a path below it.
func (e trieEdit) apply(n *pathNode, path string, slash bool, change func([]Route) []Route) *pathNode {
	n = e.own(n)
	switch {
	case path != "":
		segment, rest := cutSegment(path)
		if child := e.apply(n.children[segment], rest, slash, change); !child.empty() {
			n.setChild(segment, child)
		} else if delete(n.children, segment); len(n.children) == 0 {
			n.children = nil
		}
	case slash:
		n.slashRoutes = nilIfEmpty(change(n.slashRoutes))
	default:
		n.routes = nilIfEmpty(change(n.routes))
	}
	return n
}

func (e trieEdit) own(n *pathNode) *pathNode {
	if e[n] {
		return n
	}
	owned := &pathNode{}
	if n != nil {
		owned.children, owned.routes, owned.slashRoutes = maps.Clone(n.children), slices.Clone(n.routes), slices.Clone(n.slashRoutes)
	}
	e[owned] = true
	return owned
}

func nilIfEmpty(list []Route) []Route {
	if len(list) == 0 {
		return nil
	}
	return list
}
