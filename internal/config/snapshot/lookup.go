package snapshot

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// lookup is what a call asks of a version, prepared when it is built so that
// no call sorts or scans all objects.
type lookup struct {
	byKey   map[[sha256.Size]byte]Organisation
	byHost  map[string][]Route
	anyHost []Route
	pools   map[string]Pool
	limits  map[string]Limit
}

func newLookup(objects map[Key]entry) lookup {
	l := lookup{
		byKey:  map[[sha256.Size]byte]Organisation{},
		byHost: map[string][]Route{},
		pools:  map[string]Pool{},
		limits: map[string]Limit{},
	}
	for _, e := range objects {
		switch o := e.object.(type) {
		case Organisation:
			for _, h := range o.keyHashes {
				l.byKey[hashFromHex(h)] = o
			}
		case Pool:
			l.pools[o.name] = o
		case Limit:
			l.limits[o.organisation] = o
		case Route:
			if o.host == "" {
				l.anyHost = append(l.anyHost, o)
			} else {
				l.byHost[o.host] = append(l.byHost[o.host], o)
			}
		case Service, Objective:
		}
	}
	sortRoutes(l.anyHost)
	for _, routes := range l.byHost {
		sortRoutes(routes)
	}
	return l
}

// sortRoutes puts the longest path first, and within a path routes limited to
// methods before those for any, so that the first match is the narrowest.
func sortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int {
		if len(a.path) != len(b.path) {
			return len(b.path) - len(a.path)
		}
		if c := strings.Compare(a.path, b.path); c != 0 {
			return c
		}
		return len(b.methods) - len(a.methods)
	})
}

func hashFromHex(h string) [sha256.Size]byte {
	var out [sha256.Size]byte
	for i := range out {
		out[i] = nibble(h[2*i])<<4 | nibble(h[2*i+1])
	}
	return out
}

func nibble(c byte) byte {
	if c >= 'a' {
		return c - 'a' + 10
	}
	return c - '0'
}

// Identify returns the organisation that an API key belongs to. The key is
// hashed before it is compared, so timing tells nothing about it.
func (s *Snapshot) Identify(apiKey string) (Organisation, bool) {
	o, ok := s.lookup.byKey[sha256.Sum256([]byte(apiKey))]
	return o, ok
}

// Match returns the route for a call: routes of its host go before those for
// any host, longer paths before shorter ones.
func (s *Snapshot) Match(host, path, method string) (Route, bool) {
	if r, ok := first(s.lookup.byHost[host], path, method); ok {
		return r, true
	}
	return first(s.lookup.anyHost, path, method)
}

func first(routes []Route, path, method string) (Route, bool) {
	for i := range routes {
		r := &routes[i]
		if covers(r.path, path) && (len(r.methods) == 0 || slices.Contains(r.methods, method)) {
			return *r, true
		}
	}
	return Route{}, false
}

// covers reports whether a prefix of whole segments starts path.
func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Pool returns a pool by name.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	p, ok := s.lookup.pools[name]
	return p, ok
}

// Limit returns the limit of an organisation.
func (s *Snapshot) Limit(organisation string) (Limit, bool) {
	l, ok := s.lookup.limits[organisation]
	return l, ok
}
