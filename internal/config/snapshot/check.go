package snapshot

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Bounds of declared values. They keep one object small and one version well
// under the store's value limit, and refuse a slipped digit before it is
// carried out.
const (
	maxNameBytes   = 63
	maxPathBytes   = 512
	maxHostBytes   = 253 // as the domain name system allows
	maxSlots       = 10_000
	maxConnections = 100_000
	maxUpstreams   = 100_000
	maxRetries     = 5
	maxPriority    = 15
	maxShares      = 16
	maxWeight      = 1_000_000
	minDeadline    = time.Millisecond
	maxDeadline    = 5 * time.Minute
	maxKeyHashes   = 16
	keyHashLen     = 64
	maxRate        = 10_000_000
	maxConcurrency = 1_000_000
	minWindow      = time.Hour
	maxWindow      = 90 * 24 * time.Hour
)

// What an encoded object keeps of a time. A finer one is refused, since it
// would be cut off without a word and the plan would show what no proxy has.
const (
	deadlineStep = time.Millisecond
	windowStep   = time.Hour
)

// check returns every fault of a set of objects. It depends on nothing else,
// so that the check command, the plan, the confirm and each proxy agree.
func check(objects map[Key]entry) error {
	c := checker{objects: objects, hashes: map[string]Key{}, matches: map[string]Key{}}
	keys := make([]Key, 0, len(objects))
	for k := range objects {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, CompareKeys)
	for _, k := range keys {
		c.object(k, objects[k].object)
	}
	if len(c.faults) > 0 {
		return &CheckError{Faults: c.faults}
	}
	return nil
}

type checker struct {
	objects map[Key]entry
	hashes  map[string]Key
	matches map[string]Key
	faults  []error
}

func (c *checker) object(k Key, o Object) {
	c.name(k)
	switch o := o.(type) {
	case Organisation:
		c.organisation(k, o)
	case Service:
	case Pool:
		c.refers(k, Key{KindService, o.service})
		c.within(k, "slots", o.slots, 1, maxSlots)
		c.within(k, "promised", o.promised, 0, o.slots)
		c.within(k, "connections", o.connections, 1, maxConnections)
		c.within(k, "upstreams", o.upstreams, 1, maxUpstreams)
	case Route:
		c.route(k, o)
	case Limit:
		c.refers(k, Key{KindOrganisation, o.organisation})
		if !(o.rate >= 0 && o.rate <= maxRate) {
			c.value(k, "rate", "must be between 0 and %d calls a second", maxRate)
		}
		c.within(k, "concurrency", o.concurrency, 0, maxConcurrency)
	case Objective:
		c.refers(k, Key{KindService, o.service})
		if math.IsNaN(o.availability) || o.availability <= 0 || o.availability >= 1 {
			c.value(k, "availability", "must lie between 0 and 1, both excluded")
		}
		c.between(k, "latency", o.latency, minDeadline, maxDeadline, deadlineStep)
		c.between(k, "window", o.window, minWindow, maxWindow, windowStep)
	default:
		c.faults = append(c.faults, &DecodeError{What: "object"})
	}
}

func (c *checker) organisation(k Key, o Organisation) {
	if len(o.keyHashes) > maxKeyHashes {
		c.value(k, "keys", "has %d, at most %d", len(o.keyHashes), maxKeyHashes)
	}
	for _, h := range o.keyHashes {
		if len(h) != keyHashLen || strings.Trim(h, "0123456789abcdef") != "" {
			c.value(k, "keys", "%q is no lower-case hexadecimal SHA-256", h)
			continue
		}
		c.claim(c.hashes, k, h, "key hash "+h[:8]+"…")
	}
}

func (c *checker) route(k Key, o Route) {
	c.refers(k, Key{KindService, o.service})
	pool := Key{KindPool, o.pool}
	if c.refers(k, pool) {
		if p, ok := c.objects[pool].object.(Pool); ok && p.service != o.service {
			c.value(k, "pool", "%s serves %s, not %s", o.pool, p.service, o.service)
		}
	}
	if !strings.HasPrefix(o.path, "/") || len(o.path) > maxPathBytes || hasAny(o.path, "?#% ") {
		c.value(k, "path", "must start with / and have at most %d bytes and none of ? # %% space or control characters", maxPathBytes)
	}
	if o.host != strings.ToLower(o.host) || hasAny(o.host, "/ :@") || len(o.host) > maxHostBytes {
		c.value(k, "host", "must be a lower-case host name without a port, of at most %d bytes", maxHostBytes)
	}
	c.between(k, "deadline", o.deadline, minDeadline, maxDeadline, deadlineStep)
	c.within(k, "retries", o.retries, 0, maxRetries)
	c.within(k, "priority", o.priority, 0, maxPriority)
	if o.aim != 0 {
		c.between(k, "target latency", o.aim, minDeadline, maxDeadline, deadlineStep)
	}
	c.split(k, o)
	for _, m := range o.methods {
		// "*" is refused too: calls are matched by equal methods, so a route
		// for it would look right and take no call at all.
		if !knownMethods[m] {
			c.value(k, "methods", "%q is no method; leave methods out for any", m)
		}
		c.match(k, o, m)
	}
	if len(o.methods) == 0 {
		c.match(k, o, "*")
	}
}

func (c *checker) split(k Key, o Route) {
	if len(o.split) == 0 {
		return
	}
	c.within(k, "split", len(o.split), 1, maxShares)
	for _, sh := range o.split {
		c.refers(k, Key{KindService, sh.service})
		pool := Key{KindPool, sh.pool}
		if c.refers(k, pool) {
			if p, ok := c.objects[pool].object.(Pool); ok && p.service != sh.service {
				c.value(k, "split", "%s serves %s, not %s", sh.pool, p.service, sh.service)
			}
		}
		c.within(k, "weight", sh.weight, 0, maxWeight)
	}
	if o.weights == 0 {
		c.value(k, "split", "no share has a weight")
	}
}

func (c *checker) match(k Key, o Route, method string) {
	c.claim(c.matches, k, o.host+" "+o.path+" "+method, strings.TrimSpace(o.host+" "+method+" "+o.path))
}

// hasAny reports whether s has one of some characters or a control character,
// which no request has and no log line should.
func hasAny(s, chars string) bool {
	return strings.ContainsAny(s, chars) || strings.ContainsFunc(s, unicode.IsControl)
}

var knownMethods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

func (c *checker) name(k Key) {
	if k.Name == "" || len(k.Name) > maxNameBytes || strings.Trim(k.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		c.value(k, "name", "must be 1 to %d of a-z, 0-9 and -", maxNameBytes)
	}
}

func (c *checker) refers(from, to Key) bool {
	_, ok := c.objects[to]
	if !ok {
		c.faults = append(c.faults, &DanglingError{From: from, To: to})
	}
	return ok
}

func (c *checker) claim(claims map[string]Key, k Key, claim, text string) {
	if first, ok := claims[claim]; ok {
		c.faults = append(c.faults, &OverlapError{First: first, Second: k, Claim: text})
		return
	}
	claims[claim] = k
}

func (c *checker) within(k Key, field string, n, low, high int) {
	if n < low || n > high {
		c.value(k, field, "is %d, must be between %d and %d", n, low, high)
	}
}

func (c *checker) between(k Key, field string, d, low, high, step time.Duration) {
	if d < low || d > high {
		c.value(k, field, "is %v, must be between %v and %v", d, low, high)
	} else if d%step != 0 {
		c.value(k, field, "is %v, must be a multiple of %v", d, step)
	}
}

func (c *checker) value(k Key, field, format string, args ...any) {
	c.faults = append(c.faults, &ValueError{Object: k, Field: field, Reason: fmt.Sprintf(format, args...)})
}
