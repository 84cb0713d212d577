package snapshot

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of an object.
type Kind string

// The kinds of object an operator declares.
const (
	KindOrganisation Kind = "organisation"
	KindService      Kind = "service"
	KindPool         Kind = "pool"
	KindRoute        Kind = "route"
	KindLimit        Kind = "limit"
	KindObjective    Kind = "objective"
)

// kindClientLimits is the kind of an object that only adopted versions have.
const kindClientLimits Kind = "client-limits"

// Key identifies an object of the configuration.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey parses a key in the form "kind/name", or returns a KeyError.
func ParseKey(s string) (Key, error) {
	kind, name, ok := strings.Cut(s, "/")
	k := Key{Kind(kind), name}
	switch k.Kind {
	case KindOrganisation, KindService, KindPool, KindRoute, KindLimit, KindObjective:
		if ok && name != "" {
			return k, nil
		}
	}
	return Key{}, &KeyError{Text: s}
}

// CompareKeys orders keys by kind and name.
func CompareKeys(a, b Key) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// Object is a part of the configuration: an Organisation, Service, Pool, Route,
// Limit or Objective.
type Object interface {
	Key() Key
	isObject()
}

// References returns the keys of the objects that o refers to.
func References(o Object) []Key {
	switch o := o.(type) {
	case Pool:
		return []Key{{KindService, o.service}}
	case Route:
		keys := []Key{{KindService, o.service}, {KindPool, o.pool}}
		for _, sh := range o.split {
			keys = append(keys, Key{KindService, sh.service}, Key{KindPool, sh.pool})
		}
		return keys
	case Limit:
		return []Key{{KindOrganisation, o.organisation}}
	case Objective:
		return []Key{{KindService, o.service}}
	default:
		return nil
	}
}

// Class decides whether an organisation's calls may use promised slots.
type Class uint8

// The classes of organisations. Calls of trial organisations can't use promised
// slots.
const (
	Trial Class = iota
	Paying
)

// String returns the class as declarations write it.
func (c Class) String() string {
	if c == Paying {
		return "paying"
	}
	return "trial"
}

// Organisation is a customer, identified by the hashes of its API keys.
type Organisation struct {
	name      string
	class     Class
	priority  int
	keyHashes []string
}

// NewOrganisation returns an organisation; each key hash is the lower-case
// hexadecimal SHA-256 of one API key.
func NewOrganisation(name string, class Class, keyHashes ...string) Organisation {
	return Organisation{name: name, class: class, keyHashes: keyHashes}
}

// WithPriority returns the organisation with a priority; 0, the default, is the highest.
func (o Organisation) WithPriority(n int) Organisation {
	o.priority = n
	return o
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Class returns the organisation's class.
func (o Organisation) Class() Class { return o.class }

// Priority returns the priority of the organisation's calls, which takes precedence over
// that of their routes.
func (o Organisation) Priority() int { return o.priority }

// withoutKeys returns the organisation without the API keys of another one.
func (o Organisation) withoutKeys(other Organisation) Organisation {
	o.keyHashes = slices.DeleteFunc(slices.Clone(o.keyHashes), func(h string) bool { return slices.Contains(other.keyHashes, h) })
	return o
}

// KeyHashes returns the hashes of its API keys.
func (o Organisation) KeyHashes() []string { return slices.Clone(o.keyHashes) }

// Key implements Object.
func (o Organisation) Key() Key  { return Key{KindOrganisation, o.name} }
func (o Organisation) isObject() {}

// Service is a named destination of routes, served by one or more pools.
type Service struct{ name string }

// NewService returns a service.
func NewService(name string) Service { return Service{name: name} }

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Key implements Object.
func (s Service) Key() Key  { return Key{KindService, s.name} }
func (s Service) isObject() {}

// Pool is a set of targets of one service, with the capacity of each target.
type Pool struct {
	name        string
	service     string
	slots       int
	promised    int
	connections int
	upstreams   int
	healthPath  string
}

// PoolOption sets one property of a pool.
type PoolOption func(*Pool)

// Slots sets how many calls one target runs concurrently.
func Slots(n int) PoolOption { return func(p *Pool) { p.slots = n } }

// Promised sets how many of a target's slots are reserved for paying calls.
func Promised(n int) PoolOption { return func(p *Pool) { p.promised = n } }

// Connections sets how many connections one target accepts.
func Connections(n int) PoolOption { return func(p *Pool) { p.connections = n } }

// Upstreams sets the planned number of targets of the pool.
func Upstreams(n int) PoolOption { return func(p *Pool) { p.upstreams = n } }

// HealthPath sets the path at which a target's process answers who it is and whether it accepts
// calls. Only pools of adopted versions have one.
func HealthPath(path string) PoolOption { return func(p *Pool) { p.healthPath = path } }

// NewPool returns a pool of targets for service.
func NewPool(name, service string, opts ...PoolOption) Pool {
	p := Pool{name: name, service: service, slots: 1, connections: 1, upstreams: 1}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Service returns the name of the service the pool serves.
func (p Pool) Service() string { return p.service }

// Slots returns how many calls one target runs concurrently.
func (p Pool) Slots() int { return p.slots }

// Promised returns how many of a target's slots are reserved for paying calls.
func (p Pool) Promised() int { return p.promised }

// Connections returns how many connections one target accepts.
func (p Pool) Connections() int { return p.connections }

// Upstreams returns the planned number of targets of the pool.
func (p Pool) Upstreams() int { return p.upstreams }

// HealthPath returns the path at which a target's process answers who it is, or "".
func (p Pool) HealthPath() string { return p.healthPath }

// Key implements Object.
func (p Pool) Key() Key  { return Key{KindPool, p.name} }
func (p Pool) isObject() {}

// Route directs calls for a host, path prefix and set of methods to a pool.
type Route struct {
	name          string
	host          string
	path          string
	methods       []string
	service       string
	pool          string
	idempotent    bool
	deadline      time.Duration
	retries       int
	priority      int
	targetLatency time.Duration
	split         []Share
	totalWeight   int
	anonymous     bool
}

// RouteOption sets one property of a route.
type RouteOption func(*Route)

// Host limits a route to one host; without it any host matches.
func Host(h string) RouteOption { return func(r *Route) { r.host = h } }

// Methods limits a route to some methods; without it any method matches.
func Methods(m ...string) RouteOption { return func(r *Route) { r.methods = m } }

// Idempotent marks the route's calls as idempotent, so that they may run more
// than once.
func Idempotent() RouteOption { return func(r *Route) { r.idempotent = true } }

// Deadline sets the longest duration of a call, all attempts included.
func Deadline(d time.Duration) RouteOption { return func(r *Route) { r.deadline = d } }

// Retries sets how many attempts a call may have after the first.
func Retries(n int) RouteOption { return func(r *Route) { r.retries = n } }

// Priority sets the priority of the route's calls at a busy target; 0 is the
// highest.
func Priority(n int) RouteOption { return func(r *Route) { r.priority = n } }

// TargetLatency sets the soft deadline of a call: the time after which a
// response is of little use to the caller.
func TargetLatency(d time.Duration) RouteOption { return func(r *Route) { r.targetLatency = d } }

// Split distributes the route's calls over several pools by weight instead of
// sending them to its own pool; without shares it has no effect.
func Split(shares ...Share) RouteOption {
	return func(r *Route) {
		r.split, r.totalWeight = shares, 0
		for _, sh := range shares {
			r.totalWeight += max(0, sh.weight)
		}
	}
}

// Anonymous allows calls without an API key on the route, where the node accepts any.
func Anonymous() RouteOption { return func(r *Route) { r.anonymous = true } }

// Share is the weight of one pool in a route's split.
type Share struct {
	service string
	pool    string
	weight  int
}

// NewShare returns the share of a pool that serves service.
func NewShare(service, pool string, weight int) Share {
	return Share{service: service, pool: pool, weight: weight}
}

// Service returns the name of the service.
func (s Share) Service() string { return s.service }

// Pool returns the name of the pool.
func (s Share) Pool() string { return s.pool }

// Weight returns the weight relative to those of the other shares.
func (s Share) Weight() int { return s.weight }

// NewRoute returns a route from a path prefix to a pool that serves service.
func NewRoute(name, path, service, pool string, opts ...RouteOption) Route {
	r := Route{name: name, path: path, service: service, pool: pool, deadline: DefaultDeadline}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// DefaultDeadline is the deadline of a route that sets none. It bounds how long
// a hung call occupies a slot.
const DefaultDeadline = 10 * time.Second

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host the route is limited to, or "".
func (r Route) Host() string { return r.host }

// Path returns the path prefix.
func (r Route) Path() string { return r.path }

// Methods returns the methods the route is limited to; none means any.
func (r Route) Methods() []string { return slices.Clone(r.methods) }

// Service returns the name of the service that the route's pool serves.
func (r Route) Service() string { return r.service }

// Pool returns the name of the pool that gets the route's calls.
func (r Route) Pool() string { return r.pool }

// Idempotent reports whether the route's calls are idempotent.
func (r Route) Idempotent() bool { return r.idempotent }

// Deadline returns the longest duration of a call, all attempts included.
func (r Route) Deadline() time.Duration { return r.deadline }

// Retries returns how many attempts a call may have after the first.
func (r Route) Retries() int { return r.retries }

// Priority returns the priority of the route's calls; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// TargetLatency returns the soft deadline of a call, or 0 if none is declared.
func (r Route) TargetLatency() time.Duration { return r.targetLatency }

// Split returns the shares of the route's pools, or none if it has one pool.
func (r Route) Split() []Share { return slices.Clone(r.split) }

// HasSplit reports whether the route has a split.
func (r Route) HasSplit() bool { return len(r.split) > 0 }

// Anonymous reports whether the route's calls need no API key.
func (r Route) Anonymous() bool { return r.anonymous }

// WithShare returns the route with the service and pool of one share, picked by
// weight; draw is a random number in [0, 1). A route without a split is returned
// unchanged.
func (r Route) WithShare(draw float64) Route {
	remaining := draw * float64(r.totalWeight)
	for _, sh := range r.split {
		if sh.weight <= 0 {
			continue
		}
		r.service, r.pool = sh.service, sh.pool
		if remaining -= float64(sh.weight); remaining < 0 {
			break
		}
	}
	return r
}

// Key implements Object.
func (r Route) Key() Key  { return Key{KindRoute, r.name} }
func (r Route) isObject() {}

// Limit bounds the calls of one organisation across the fleet.
type Limit struct {
	organisation string
	rate         float64
	burst        float64
	concurrency  int
}

// NewLimit returns a limit in calls per second and concurrent calls; zero means
// no limit.
func NewLimit(organisation string, rate float64, concurrency int) Limit {
	return Limit{organisation: organisation, rate: rate, concurrency: concurrency}
}

// WithBurst returns the limit with a number of calls that may come at once beyond the
// rate.
func (l Limit) WithBurst(calls float64) Limit {
	l.burst = calls
	return l
}

// Organisation returns the name of the organisation that is limited.
func (l Limit) Organisation() string { return l.organisation }

// Rate returns the allowed calls per second, or 0 for no limit.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns how many calls may come at once beyond the rate.
func (l Limit) Burst() float64 { return l.burst }

// Concurrency returns the allowed number of concurrent calls, or 0 for no limit.
func (l Limit) Concurrency() int { return l.concurrency }

// Key implements Object.
func (l Limit) Key() Key  { return Key{KindLimit, l.organisation} }
func (l Limit) isObject() {}

// Objective is the service-level objective (SLO) of a service.
type Objective struct {
	service      string
	availability float64
	latency      time.Duration
	window       time.Duration
}

// NewObjective returns an objective: the fraction of calls, between 0 and 1,
// that must succeed within latency, measured over window.
func NewObjective(service string, availability float64, latency, window time.Duration) Objective {
	return Objective{service: service, availability: availability, latency: latency, window: window}
}

// Service returns the name of the service the objective is for.
func (o Objective) Service() string { return o.service }

// Availability returns the fraction of calls, between 0 and 1, that must succeed
// within the latency.
func (o Objective) Availability() float64 { return o.availability }

// Latency returns the longest duration of a call that meets the objective.
func (o Objective) Latency() time.Duration { return o.latency }

// Window returns the period over which the objective is measured.
func (o Objective) Window() time.Duration { return o.window }

// Key implements Object.
func (o Objective) Key() Key  { return Key{KindObjective, o.service} }
func (o Objective) isObject() {}

// ClientLimits is what clients of an adopted version may send; 0 is no statement.
type ClientLimits struct {
	headBytes                int
	bodyBytes                int64
	headTimeout, idleTimeout time.Duration
}

// NewClientLimits returns the limits of a request's head and body in bytes, the time in which
// a head must arrive, and the time for which a connection may be idle.
func NewClientLimits(headBytes int, bodyBytes int64, headTimeout, idleTimeout time.Duration) ClientLimits {
	return ClientLimits{headBytes, bodyBytes, headTimeout, idleTimeout}
}

// HeadBytes returns the limit of a request's line and headers in bytes.
func (l ClientLimits) HeadBytes() int { return l.headBytes }

// BodyBytes returns the limit of a request's body in bytes.
func (l ClientLimits) BodyBytes() int64 { return l.bodyBytes }

// HeadTimeout returns the time in which a request's head must arrive.
func (l ClientLimits) HeadTimeout() time.Duration { return l.headTimeout }

// IdleTimeout returns the time for which a connection may be idle.
func (l ClientLimits) IdleTimeout() time.Duration { return l.idleTimeout }

// Key implements Object.
func (l ClientLimits) Key() Key  { return Key{kindClientLimits, "all"} }
func (l ClientLimits) isObject() {}
