package snapshot

import (
	"slices"
	"strings"
)

// pathNode is a node of a trie of path segments, so that the cost of a match
// grows with the segments of the call's path and not with the number of routes.
type pathNode struct {
	children map[string]*pathNode
	// routes have a path that ends with this segment, slashRoutes one that ends
	// with a slash after it.
	routes, slashRoutes []Route
}

func (n *pathNode) add(r Route) {
	path, slash := strings.CutSuffix(r.path, "/")
	for path != "" {
		var segment string
		segment, path = cutSegment(path)
		child := n.children[segment]
		if child == nil {
			child = &pathNode{}
			n.setChild(segment, child)
		}
		n = child
	}
	list := &n.routes
	if slash {
		list = &n.slashRoutes
	}
	*list = insertRoute(*list, r)
}

// insertRoute adds a route to those with the same path. Routes limited to some methods
// precede those for any method.
func insertRoute(list []Route, r Route) []Route {
	list = append(list, r)
	slices.SortFunc(list, func(x, y Route) int { return len(y.methods) - len(x.methods) })
	return list
}

func (n *pathNode) setChild(segment string, child *pathNode) {
	if n.children == nil {
		n.children = map[string]*pathNode{}
	}
	n.children[segment] = child
}

// empty reports whether no path of a route leads to n or beyond it.
func (n *pathNode) empty() bool {
	return len(n.children) == 0 && len(n.routes) == 0 && len(n.slashRoutes) == 0
}

// match returns the route with the longest matching path prefix that accepts
// the method, or nil.
func (n *pathNode) match(path, method string) *Route {
	var best *Route
	for n != nil {
		// slashRoutes come second: their path is the longer one.
		if r := firstForMethod(n.routes, method); r != nil {
			best = r
		}
		if path == "" || path[0] != '/' {
			break
		}
		if r := firstForMethod(n.slashRoutes, method); r != nil {
			best = r
		}
		var segment string
		segment, path = cutSegment(path)
		n = n.children[segment]
	}
	return best
}

// cutSegment splits a path that starts with a slash after its first segment.
func cutSegment(path string) (segment, rest string) {
	path = path[1:]
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, ""
}

// firstForMethod returns the first of the routes that accepts the method, or nil.
func firstForMethod(routes []Route, method string) *Route {
	for i := range routes {
		if r := &routes[i]; len(r.methods) == 0 || slices.Contains(r.methods, method) {
			return r
		}
	}
	return nil
}
