package snapshot

import "crypto/sha256"

// lookup is what a call asks of a version, prepared when it is built so that
// no call sorts or scans all objects.
type lookup struct {
	byKey   map[[sha256.Size]byte]Organisation
	byHost  map[string]*branch
	anyHost *branch
	pools   map[string]Pool
	limits  map[string]Limit
}

func newLookup(objects map[Key]entry) lookup {
	l := lookup{
		byKey:  map[[sha256.Size]byte]Organisation{},
		byHost: map[string]*branch{}, anyHost: &branch{},
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
			l.host(o.host).add(o)
		case Service, Objective:
		}
	}
	return l
}

func (l *lookup) host(name string) *branch {
	if name == "" {
		return l.anyHost
	}
	b := l.byHost[name]
	if b == nil {
		b = &branch{}
		l.byHost[name] = b
	}
	return b
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

// maxKeyBytes is more than any API key has; up to it a key is hashed without an
// allocation.
const maxKeyBytes = 256

// Identify returns the organisation that an API key belongs to. The key is
// hashed before it is compared, so timing tells nothing about it.
func (s *Snapshot) Identify(apiKey string) (Organisation, bool) {
	var buf [maxKeyBytes]byte
	if len(apiKey) > len(buf) {
		return Organisation{}, false
	}
	o, ok := s.lookup.byKey[sha256.Sum256(buf[:copy(buf[:], apiKey)])]
	return o, ok
}

// Match returns the route for a call: routes of its host go before those for
// any host, longer paths before shorter ones.
func (s *Snapshot) Match(host, path, method string) (Route, bool) {
	r := s.lookup.byHost[host].match(path, method)
	if r == nil {
		r = s.lookup.anyHost.match(path, method)
	}
	if r == nil {
		return Route{}, false
	}
	return *r, true
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
