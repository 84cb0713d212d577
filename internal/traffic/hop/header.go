package hop

import (
	"bufio"
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
	// MetaHeader holds all that one node tells the next about a call. It is one
	// header, since each costs its reader as much as the rest of a small head.
	MetaHeader = "Bl-Call"
	// LoadHeader holds, on answers, the calls that run and wait at the target's
	// node over its slots, and how many microseconds calls of the route usually run
	// there.
	LoadHeader = "Bl-Load"
	// VersionHeader holds, on answers, the version of the configuration that the
	// answering node holds.
	VersionHeader = "Bl-Version"
	// DeadlineHeader holds the milliseconds left; callers may send it, and
	// targets are told it.
	DeadlineHeader = "Banyanlug-Deadline-Ms"
	// OrganisationHeader tells the target the organisation the call is made for.
	OrganisationHeader = "Banyanlug-Organisation"
	// ClassHeader tells the target the organisation's class.
	ClassHeader = "Banyanlug-Class"
	// CallHeader holds the sealed context that a target puts on the calls it
	// makes in its turn.
	CallHeader = "Banyanlug-Call"
	// KeyHeader names a call that must not run twice; the caller sets it.
	KeyHeader = "Idempotency-Key"

	prefix = "Banyanlug-"
	// shortPrefix is of the headers that only nodes see.
	shortPrefix = "Bl-"
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
	priority     int
	instance     string
	origin       string
	due          time.Duration
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
	return func(m *Meta) {
		m.route, m.pool, m.idempotent, m.priority = r.Name(), r.Pool(), r.Idempotent(), r.Priority()
	}
}

// Toward sets the target process that the call is meant for.
func Toward(instance string) MetaOption { return func(m *Meta) { m.instance = instance } }

// Due sets how soon an answer loses most of its worth to the caller; 0 if it does
// not before the deadline.
func Due(d time.Duration) MetaOption { return func(m *Meta) { m.due = d } }

// From sets the service of the instance that the call began at.
func From(origin string) MetaOption { return func(m *Meta) { m.origin = origin } }

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

// Priority returns the rank of the route's calls; 0 is the highest.
func (m Meta) Priority() int { return m.priority }

// Instance returns the target process that the call is meant for, or "".
func (m Meta) Instance() string { return m.instance }

// Due returns how soon after it was sent an answer loses most of its worth, or 0.
func (m Meta) Due() time.Duration { return m.due }

// Origin returns the service of the instance that the call began at, or "".
func (m Meta) Origin() string { return m.origin }

// Idempotent reports whether the call may run more than once.
func (m Meta) Idempotent() bool { return m.idempotent }

// The fields of MetaHeader, each "name=value", in any order and with a space
// between; names of objects hold neither. The names are short: each call between
// failure domains pays for its bytes, and long names were a tenth of a short
// call's.
const (
	fieldLeft         = "ms"
	fieldAttempt      = "n"
	fieldDepth        = "d"
	fieldClass        = "c"
	fieldOrganisation = "o"
	fieldPool         = "p"
	fieldRoute        = "r"
	fieldRepeat       = "x"
	fieldPriority     = "k"
	fieldInstance     = "t"
	fieldOrigin       = "f"
	fieldDue          = "u"
	idempotentWord    = "any"
	neverWord         = "once"
)

const (
	// maxLeft is above the longest deadline that can be declared.
	maxLeft = time.Hour
	// maxAttempts is above what any declared number of retries leads to.
	maxAttempts = 100
	// maxPriority is above any rank that can be declared.
	maxPriority = 100
)

func (m *Meta) write(w *bufio.Writer) {
	repeat := neverWord
	if m.idempotent {
		repeat = idempotentWord
	}
	_, _ = w.WriteString(MetaHeader + ": " + fieldLeft + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(1, m.left.Milliseconds()), 10))
	_, _ = w.WriteString(" " + fieldAttempt + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.attempt), 10))
	_, _ = w.WriteString(" " + fieldDepth + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.depth), 10))
	for _, f := range [...][2]string{
		{fieldClass, m.class.String()},
		{fieldOrganisation, m.organisation},
		{fieldPool, m.pool},
		{fieldRoute, m.route},
		{fieldRepeat, repeat},
		{fieldInstance, m.instance},
		{fieldOrigin, m.origin},
	} {
		if f[1] == "" {
			continue
		}
		_ = w.WriteByte(' ')
		_, _ = w.WriteString(f[0])
		_ = w.WriteByte('=')
		_, _ = w.WriteString(f[1])
	}
	if m.priority > 0 {
		_, _ = w.WriteString(" " + fieldPriority + "=")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.priority), 10))
	}
	if m.due > 0 {
		_, _ = w.WriteString(" " + fieldDue + "=")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(1, m.due.Milliseconds()), 10))
	}
	_, _ = w.WriteString("\r\n")
}

// ReadMeta reads what the node before this one told about a call.
func ReadMeta(h http.Header) (Meta, error) {
	text := h.Get(MetaHeader)
	var m Meta
	class, repeat := "", ""
	for rest := text; rest != ""; {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case fieldLeft:
			m.left = time.Duration(number(value, maxLeft.Milliseconds())) * time.Millisecond
		case fieldAttempt:
			m.attempt = int(number(value, maxAttempts))
		case fieldDepth:
			m.depth = int(number(value, MaxDepth))
		case fieldClass:
			class = value
		case fieldOrganisation:
			m.organisation = value
		case fieldPool:
			m.pool = value
		case fieldRoute:
			m.route = value
		case fieldRepeat:
			repeat = value
		case fieldPriority:
			m.priority = int(number(value, maxPriority))
		case fieldInstance:
			m.instance = value
		case fieldOrigin:
			m.origin = value
		case fieldDue:
			m.due = time.Duration(number(value, maxLeft.Milliseconds())) * time.Millisecond
		}
	}
	m.idempotent = repeat == idempotentWord
	if class == snapshot.Paying.String() {
		m.class = snapshot.Paying
	}
	whole := m.left > 0 && m.attempt > 0 && m.depth > 0 && m.organisation != "" && m.pool != "" &&
		class == m.class.String() && (m.idempotent || repeat == neverWord)
	if !whole {
		return Meta{}, &HeaderError{Name: MetaHeader, Value: text}
	}
	return m, nil
}

// number reads a number from 1 to high; it returns 0 for any other text.
func number(text string, high int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > high {
		return 0
	}
	return n
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
		if strings.HasPrefix(name, prefix) || strings.HasPrefix(name, shortPrefix) {
			delete(h, name)
		}
	}
}

var kept = map[string]bool{KeyHeader: true, "Host": true, "Content-Type": true, "Content-Encoding": true}
