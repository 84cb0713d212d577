package hop

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// The headers between nodes, and those that callers and targets may use.
const (
	// FleetHeader proves on the first call of a connection that a node of the
	// fleet opened it.
	FleetHeader = "Banyanlug-Fleet"
	// DeadlineHeader holds the milliseconds left; callers may send it too.
	DeadlineHeader = "Banyanlug-Deadline-Ms"
	// AttemptHeader counts the attempts of one call, from 1.
	AttemptHeader = "Banyanlug-Attempt"
	// DepthHeader counts the calls that led to this one, from 1.
	DepthHeader = "Banyanlug-Depth"
	// OrganisationHeader names the organisation that the call is made for.
	OrganisationHeader = "Banyanlug-Organisation"
	// ClassHeader holds the organisation's class.
	ClassHeader = "Banyanlug-Class"
	// PoolHeader names the pool that the call was routed to.
	PoolHeader = "Banyanlug-Pool"
	// RouteHeader names the route that the call was matched by.
	RouteHeader = "Banyanlug-Route"
	// RepeatHeader is "idempotent" where the route's calls may run twice.
	RepeatHeader = "Banyanlug-Repeat"
	// CallHeader holds the sealed context that a target puts on the calls it
	// makes in its turn.
	CallHeader = "Banyanlug-Call"
	// KeyHeader names a call that must not run twice; the caller sets it.
	KeyHeader = "Idempotency-Key"

	prefix = "Banyanlug-"
)

// MaxDepth is the deepest call any node accepts, whatever its settings: three
// times the deepest that the users have, so that only a loop reaches it.
const MaxDepth = 32

// Meta is what one node tells the next about a call.
type Meta struct {
	left         time.Duration
	attempt      int
	depth        int
	organisation string
	class        snapshot.Class
	pool         string
	route        string
	idempotent   bool
}

// MetaOption sets one property of a call's meta data.
type MetaOption func(*Meta)

// Left sets the time left for the call.
func Left(d time.Duration) MetaOption { return func(m *Meta) { m.left = d } }

// Attempt sets the number of the attempt, from 1.
func Attempt(n int) MetaOption { return func(m *Meta) { m.attempt = n } }

// Depth sets how many calls led to this one, itself included.
func Depth(n int) MetaOption { return func(m *Meta) { m.depth = n } }

// For sets the organisation the call is made for and its class.
func For(organisation string, class snapshot.Class) MetaOption {
	return func(m *Meta) { m.organisation, m.class = organisation, class }
}

// By sets the route that the call was matched by.
func By(r snapshot.Route) MetaOption {
	return func(m *Meta) { m.route, m.pool, m.idempotent = r.Name(), r.Pool(), r.Idempotent() }
}

// NewMeta returns the meta data of a call.
func NewMeta(opts ...MetaOption) Meta {
	m := Meta{attempt: 1, depth: 1}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// With returns a copy with some properties set.
func (m Meta) With(opts ...MetaOption) Meta {
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// Left returns the time left when the call was sent.
func (m Meta) Left() time.Duration { return m.left }

// Attempt returns the number of the attempt, from 1.
func (m Meta) Attempt() int { return m.attempt }

// Depth returns how many calls led to this one, itself included.
func (m Meta) Depth() int { return m.depth }

// Organisation returns the name of the organisation the call is made for.
func (m Meta) Organisation() string { return m.organisation }

// Class returns the organisation's class.
func (m Meta) Class() snapshot.Class { return m.class }

// Pool returns the pool that the call was routed to.
func (m Meta) Pool() string { return m.pool }

// Route returns the name of the route that the call was matched by.
func (m Meta) Route() string { return m.route }

// Idempotent reports whether the call may run more than once.
func (m Meta) Idempotent() bool { return m.idempotent }

// ReadMeta reads what the node before this one told about a call.
func ReadMeta(h http.Header) (Meta, error) {
	m := Meta{
		organisation: h.Get(OrganisationHeader), pool: h.Get(PoolHeader), route: h.Get(RouteHeader),
		idempotent: h.Get(RepeatHeader) == idempotentWord,
	}
	ms, err := number(h, DeadlineHeader, 1, maxLeft.Milliseconds())
	if err != nil {
		return Meta{}, err
	}
	attempt, err := number(h, AttemptHeader, 1, maxAttempts)
	if err != nil {
		return Meta{}, err
	}
	depth, err := number(h, DepthHeader, 1, MaxDepth)
	if err != nil {
		return Meta{}, err
	}
	m.left, m.attempt, m.depth = time.Duration(ms)*time.Millisecond, int(attempt), int(depth)
	switch class := h.Get(ClassHeader); class {
	case snapshot.Trial.String():
		m.class = snapshot.Trial
	case snapshot.Paying.String():
		m.class = snapshot.Paying
	default:
		return Meta{}, &HeaderError{Name: ClassHeader, Value: class}
	}
	if m.organisation == "" || m.pool == "" {
		return Meta{}, &HeaderError{Name: OrganisationHeader, Value: m.organisation}
	}
	return m, nil
}

const (
	idempotentWord = "idempotent"
	// maxLeft is above the longest deadline that can be declared.
	maxLeft = time.Hour
	// maxAttempts is above what any declared number of retries leads to.
	maxAttempts = 100
)

func number(h http.Header, name string, low, high int64) (int64, error) {
	text := h.Get(name)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, &HeaderError{Name: name, Value: text}
	}
	return n, nil
}

// CallerDeadline returns the deadline that a caller asked for, if it did.
func CallerDeadline(h http.Header) (time.Duration, bool, error) {
	if h.Get(DeadlineHeader) == "" {
		return 0, false, nil
	}
	ms, err := number(h, DeadlineHeader, 1, maxLeft.Milliseconds())
	return time.Duration(ms) * time.Millisecond, err == nil, err
}

// hopByHop lists the headers that concern one connection alone.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// Strip removes what must not pass a node: headers that concern one connection,
// those that Connection names, and all of this system's own, so that neither a
// caller can claim a class nor a target can certify an outcome.
func Strip(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			// A Connection header that names the API key or the key of a call
			// would make this node drop what the call is judged by.
			if name = textproto.TrimString(name); !kept[textproto.CanonicalMIMEHeaderKey(name)] {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, prefix) {
			delete(h, name)
		}
	}
}

var kept = map[string]bool{KeyHeader: true, "Host": true, "Content-Type": true, "Content-Encoding": true}
