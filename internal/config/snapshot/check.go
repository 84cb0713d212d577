package snapshot

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Bounds of declared values. They keep one encoded object well below the store's
// limit for a value, and catch a mistyped digit.
const (
	maxNameBytes   = 63
	maxPathBytes   = 512
	maxHostBytes   = 253 // limit of the DNS
	maxSlots       = 10_000
	maxConnections = 100_000
	maxUpstreams   = 100_000
	maxRetries     = 5
	maxPriority    = 15
	maxShares      = 16
	maxWeight      = 1_000_000
	minDeadline    = time.Millisecond
	maxDeadline    = 5 * time.Minute
	maxKeyHashes   = 1000
	keyHashLen     = 64
	maxRate        = 10_000_000
	maxConcurrency = 1_000_000
	minWindow      = time.Hour
	maxWindow      = 90 * 24 * time.Hour
)

// Resolutions of encoded durations. A finer value is rejected: encoding would
// truncate it, and the plan would show a value that no node applies.
const (
	deadlineStep = time.Millisecond
	windowStep   = time.Hour
)

// check returns all faults of a set of objects as a CheckError, or nil. It
// depends on the objects alone, so that operator commands and nodes get the same
// result.
func check(objects map[Key]entry) error {
	if faults := newChecker(objects, false).all(); len(faults) > 0 {
		return &CheckError{Faults: faults}
	}
	return nil
}

func newChecker(objects map[Key]entry, adopted bool) *checker {
	return &checker{objects: objects, adopted: adopted, hashes: map[string]Key{}, matches: map[string]Key{}}
}

// all checks all objects in the order of their keys and returns the faults.
func (c *checker) all() []error {
	keys := make([]Key, 0, len(c.objects))
	for k := range c.objects {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, CompareKeys)
	for _, k := range keys {
		c.checkObject(k, c.objects[k].object)
	}
	return c.faults
}

// checker collects the faults of a set of objects. hashes and matches hold the
// object that first claimed a key hash or a combination of host, path and method.
// Values of adopted objects have no bounds; only contradictions are faults.
type checker struct {
	objects map[Key]entry
	adopted bool
	hashes  map[string]Key
	matches map[string]Key
	faults  []error
}

func (c *checker) checkObject(k Key, o Object) {
	c.checkName(k)
	switch o := o.(type) {
	case Organisation:
		c.checkOrganisation(k, o)
	case Service:
	case Pool:
		c.checkReference(k, Key{KindService, o.service})
		c.checkInt(k, "slots", o.slots, 1, maxSlots)
		c.checkInt(k, "promised", o.promised, 0, o.slots)
		c.checkInt(k, "connections", o.connections, 1, maxConnections)
		c.checkInt(k, "upstreams", o.upstreams, 1, maxUpstreams)
	case Route:
		c.checkRoute(k, o)
	case Limit:
		c.checkReference(k, Key{KindOrganisation, o.organisation})
		if !(o.rate >= 0 && o.rate <= maxRate) {
			c.addValueError(k, "rate", "must be between 0 and %d calls a second", maxRate)
		}
		if !(o.burst >= 0 && o.burst <= maxRate) {
			c.addValueError(k, "burst", "must be between 0 and %d calls", maxRate)
		}
		c.checkInt(k, "concurrency", o.concurrency, 0, maxConcurrency)
	case Objective:
		c.checkReference(k, Key{KindService, o.service})
		if math.IsNaN(o.availability) || o.availability <= 0 || o.availability >= 1 {
			c.addValueError(k, "availability", "must lie between 0 and 1, both excluded")
		}
		c.checkDuration(k, "latency", o.latency, minDeadline, maxDeadline, deadlineStep)
		c.checkDuration(k, "window", o.window, minWindow, maxWindow, windowStep)
	case ClientLimits:
		if !c.adopted {
			c.faults = append(c.faults, &DecodeError{What: "object"})
		}
	default:
		c.faults = append(c.faults, &DecodeError{What: "object"})
	}
}

func (c *checker) checkOrganisation(k Key, o Organisation) {
	if len(o.keyHashes) > maxKeyHashes {
		c.addValueError(k, "keys", "has %d, at most %d", len(o.keyHashes), maxKeyHashes)
	}
	c.checkInt(k, "priority", o.priority, 0, maxPriority)
	for _, h := range o.keyHashes {
		if len(h) != keyHashLen || strings.Trim(h, "0123456789abcdef") != "" {
			c.addValueError(k, "keys", "%q is no lower-case hexadecimal SHA-256", h)
			continue
		}
		c.claimUnique(c.hashes, k, h, "key hash "+h[:8]+"…")
	}
}

func (c *checker) checkRoute(k Key, o Route) {
	c.checkReference(k, Key{KindService, o.service})
	pool := Key{KindPool, o.pool}
	if c.checkReference(k, pool) {
		if p, ok := c.objects[pool].object.(Pool); ok && p.service != o.service {
			c.addValueError(k, "pool", "%s serves %s, not %s", o.pool, p.service, o.service)
		}
	}
	if !strings.HasPrefix(o.path, "/") || len(o.path) > maxPathBytes || containsAnyOrControl(o.path, "?#% ") {
		c.addValueError(k, "path", "must start with / and have at most %d bytes and none of ? # %% space or control characters", maxPathBytes)
	}
	if o.host != strings.ToLower(o.host) || containsAnyOrControl(o.host, "/ :@") || len(o.host) > maxHostBytes {
		c.addValueError(k, "host", "must be a lower-case host name without a port, of at most %d bytes", maxHostBytes)
	}
	c.checkDuration(k, "deadline", o.deadline, minDeadline, maxDeadline, deadlineStep)
	c.checkInt(k, "retries", o.retries, 0, maxRetries)
	c.checkInt(k, "priority", o.priority, 0, maxPriority)
	if o.targetLatency != 0 {
		c.checkDuration(k, "target latency", o.targetLatency, minDeadline, maxDeadline, deadlineStep)
	}
	c.checkSplit(k, o)
	for _, m := range o.methods {
		// "*" is rejected too: methods are compared for equality, so the route
		// would match no call.
		if !knownMethods[m] {
			c.addValueError(k, "methods", "%q is no method; leave methods out for any", m)
		}
		c.claimMatch(k, o, m)
	}
	if len(o.methods) == 0 {
		c.claimMatch(k, o, "*")
	}
}

func (c *checker) checkSplit(k Key, o Route) {
	if len(o.split) == 0 {
		return
	}
	c.checkInt(k, "split", len(o.split), 1, maxShares)
	for _, sh := range o.split {
		c.checkReference(k, Key{KindService, sh.service})
		pool := Key{KindPool, sh.pool}
		if c.checkReference(k, pool) {
			if p, ok := c.objects[pool].object.(Pool); ok && p.service != sh.service {
				c.addValueError(k, "split", "%s serves %s, not %s", sh.pool, p.service, sh.service)
			}
		}
		c.checkInt(k, "weight", sh.weight, 0, maxWeight)
	}
	if o.totalWeight == 0 {
		c.addValueError(k, "split", "no share has a weight")
	}
}

// claimMatch records that a route matches a method, to find routes that match
// the same calls.
func (c *checker) claimMatch(k Key, o Route, method string) {
	c.claimUnique(c.matches, k, o.host+" "+o.path+" "+method, strings.TrimSpace(o.host+" "+method+" "+o.path))
}

// containsAnyOrControl reports whether s has one of chars or a control
// character, which a request can't contain and a log line shouldn't.
func containsAnyOrControl(s, chars string) bool {
	return strings.ContainsAny(s, chars) || strings.ContainsFunc(s, unicode.IsControl)
}

var knownMethods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

func (c *checker) checkName(k Key) {
	if k.Name == "" || len(k.Name) > maxNameBytes || strings.Trim(k.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		c.addValueError(k, "name", "must be 1 to %d of a-z, 0-9 and -", maxNameBytes)
	}
}

// checkReference adds a fault if the object to is missing, and reports whether
// it exists.
func (c *checker) checkReference(from, to Key) bool {
	_, ok := c.objects[to]
	if !ok {
		c.faults = append(c.faults, &DanglingError{From: from, To: to})
	}
	return ok
}

// claimUnique adds a fault if another object made the same claim before; text
// describes the claim to an operator.
func (c *checker) claimUnique(claims map[string]Key, k Key, claim, text string) {
	if first, ok := claims[claim]; ok {
		c.faults = append(c.faults, &OverlapError{First: first, Second: k, Claim: text})
		return
	}
	claims[claim] = k
}

func (c *checker) checkInt(k Key, field string, n, low, high int) {
	if n < low || n > high {
		c.addValueError(k, field, "is %d, must be between %d and %d", n, low, high)
	}
}

func (c *checker) checkDuration(k Key, field string, d, low, high, step time.Duration) {
	if d < low || d > high {
		c.addValueError(k, field, "is %v, must be between %v and %v", d, low, high)
	} else if d%step != 0 {
		c.addValueError(k, field, "is %v, must be a multiple of %v", d, step)
	}
}

func (c *checker) addValueError(k Key, field, format string, args ...any) {
	if c.adopted {
		return
	}
	c.faults = append(c.faults, &ValueError{Object: k, Field: field, Reason: fmt.Sprintf(format, args...)})
}
