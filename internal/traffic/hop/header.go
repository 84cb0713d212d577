package hop

import (
	"bufio"
	"math"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/poison"
)

// The headers between nodes, and those for callers and targets.
const (
	// FleetHeader holds the fleet credential, in the first request of a connection.
	FleetHeader = "Banyanlug-Fleet"
	// MetaHeader holds the metadata of a call between nodes. It is a single header,
	// since each header adds to the cost of parsing a small request.
	MetaHeader = "Bl-Call"
	// LoadHeader holds, in responses between nodes, the number of calls that run or
	// wait at the target divided by its slots, and the usual run time of the route's
	// calls there in microseconds.
	LoadHeader = "Bl-Load"
	// VersionHeader holds, in responses between nodes, the version of the
	// configuration that is active at the responding node.
	VersionHeader = "Bl-Version"
	// CrashHeader holds, in the refusal of a call that was in flight when the target's
	// process ended, the report of that crash with this call alone.
	CrashHeader = "Bl-Crash"
	// DeadlineHeader holds the remaining time in milliseconds. Callers may send it,
	// and targets receive it.
	DeadlineHeader = "Banyanlug-Deadline-Ms"
	// OrganisationHeader holds, for the target, the organisation the call is made for.
	OrganisationHeader = "Banyanlug-Organisation"
	// ClassHeader holds, for the target, the organisation's class.
	ClassHeader = "Banyanlug-Class"
	// CallHeader holds the sealed context of a call. A target copies it to the calls
	// that it makes to serve this one.
	CallHeader = "Banyanlug-Call"
	// KeyHeader holds the caller's idempotency key, for a call that must not run
	// twice.
	KeyHeader = "Idempotency-Key"

	// RateLimitHeader holds, in responses of targets, the calls a second that the target
	// takes from all nodes together, as long as it is short of capacity.
	RateLimitHeader = "Banyanlug-Rate-Limit"

	headerPrefix = "Banyanlug-"
	// nodeHeaderPrefix is the prefix of headers that are only sent between nodes.
	nodeHeaderPrefix = "Bl-"
)

// AnonymousOrganisation is the organisation of calls that no API key identifies. No
// declared name can equal it.
const AnonymousOrganisation = "(anonymous)"

// MaxDepth is the largest depth of a call that a node accepts, whatever its settings.
// Only a loop should reach it.
const MaxDepth = 32

// Meta is the metadata of a call that one node sends to the next.
type Meta struct {
	remaining    time.Duration
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
	softDeadline time.Duration
	targetRate   targetRate
	// fromOverloaded is set if the sending node is overloaded itself.
	fromOverloaded bool
	level          int
	// bodyPrefix and bodyDigest are of a long body; the latter is zero if it is not known.
	bodyPrefix poison.Fingerprint
	bodyDigest bodyDigest
}

// targetRate is the limit that the target has named to the sender, if any.
type targetRate struct {
	perSecond float64
	named     bool
}

// MetaOption sets properties of a Meta.
type MetaOption func(*Meta)

// Remaining sets the remaining time.
func Remaining(d time.Duration) MetaOption { return func(m *Meta) { m.remaining = d } }

// Attempt sets the number of the attempt, from 1.
func Attempt(n int) MetaOption { return func(m *Meta) { m.attempt = n } }

// Depth sets the number of calls in the chain that led to this one, itself included.
func Depth(n int) MetaOption { return func(m *Meta) { m.depth = n } }

// ForOrganisation sets the organisation the call is made for and its class.
func ForOrganisation(organisation string, class snapshot.Class) MetaOption {
	return func(m *Meta) { m.organisation, m.class = organisation, class }
}

// ForRoute sets the route that the call matched, with its pool, priority and idempotency.
func ForRoute(r snapshot.Route) MetaOption {
	return func(m *Meta) {
		m.route, m.pool, m.idempotent, m.priority = r.Name(), r.Pool(), r.Idempotent(), r.Priority()
	}
}

// Priority sets the priority in place of that of the route; 0 is the highest.
func Priority(n int) MetaOption { return func(m *Meta) { m.priority = n } }

// ToInstance sets the target process that the call is meant for.
func ToInstance(instance string) MetaOption { return func(m *Meta) { m.instance = instance } }

// SoftDeadline sets the time, counted from the sending of the call, after which a
// response is of little use to the caller. 0 means that there is none.
func SoftDeadline(d time.Duration) MetaOption { return func(m *Meta) { m.softDeadline = d } }

// TargetRate sets the limit of its rate, in calls per second, that the target has named to
// the sender; named is false if it has named none.
func TargetRate(perSecond float64, named bool) MetaOption {
	return func(m *Meta) { m.targetRate = targetRate{perSecond, named} }
}

// FromOverloaded sets that the sending node is overloaded itself.
func FromOverloaded() MetaOption { return func(m *Meta) { m.fromOverloaded = true } }

// Level sets the part of its limit that the organisation uses, as a level from 0 to 3.
func Level(n int) MetaOption { return func(m *Meta) { m.level = n } }

// ForBody sets what is known of a streamed body.
func ForBody(b Body) MetaOption {
	return func(m *Meta) {
		if s, ok := b.(*Stream); ok {
			m.bodyPrefix = s.prefix
			if d := s.digest.Load(); d != nil {
				m.bodyDigest = *d
			}
		}
	}
}

// FromOrigin sets the calling service.
func FromOrigin(origin string) MetaOption { return func(m *Meta) { m.origin = origin } }

// NewMeta returns the metadata of a call; attempt and depth default to 1.
func NewMeta(opts ...MetaOption) Meta {
	m := Meta{attempt: 1, depth: 1}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// With returns a copy changed by opts.
func (m Meta) With(opts ...MetaOption) Meta {
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// Remaining returns the time that remained when the call was sent.
func (m Meta) Remaining() time.Duration { return m.remaining }

// Attempt returns the number of the attempt, from 1.
func (m Meta) Attempt() int { return m.attempt }

// Depth returns the number of calls in the chain that led to this one, itself
// included.
func (m Meta) Depth() int { return m.depth }

// Organisation returns the name of the organisation the call is made for.
func (m Meta) Organisation() string { return m.organisation }

// Class returns the organisation's class.
func (m Meta) Class() snapshot.Class { return m.class }

// Pool returns the pool that the call was routed to.
func (m Meta) Pool() string { return m.pool }

// Route returns the name of the route that the call matched.
func (m Meta) Route() string { return m.route }

// Priority returns the priority of the call; 0 is the highest.
func (m Meta) Priority() int { return m.priority }

// Instance returns the target process that the call is meant for, or "".
func (m Meta) Instance() string { return m.instance }

// SoftDeadline returns the soft deadline, counted from the sending of the call, or 0.
func (m Meta) SoftDeadline() time.Duration { return m.softDeadline }

// Origin returns the calling service, or "".
func (m Meta) Origin() string { return m.origin }

// TargetRate returns the limit of its rate, in calls per second, that the target has named
// to the sender, and false if it has named none.
func (m Meta) TargetRate() (perSecond float64, named bool) {
	return m.targetRate.perSecond, m.targetRate.named
}

// FromOverloaded reports whether the sending node is overloaded itself.
func (m Meta) FromOverloaded() bool { return m.fromOverloaded }

// Level returns the part of its limit that the organisation uses, as a level from 0 to 3.
func (m Meta) Level() int { return m.level }

// Idempotent reports whether the call may run more than once.
func (m Meta) Idempotent() bool { return m.idempotent }

// The fields of MetaHeader, each as "name=value", in any order and separated by
// spaces; neither names nor values contain a space or "=". The names are short to save
// traffic between failure domains.
const (
	fieldRemaining     = "ms"
	fieldAttempt       = "n"
	fieldDepth         = "d"
	fieldClass         = "c"
	fieldOrganisation  = "o"
	fieldPool          = "p"
	fieldRoute         = "r"
	fieldIdempotency   = "x"
	fieldPriority      = "k"
	fieldInstance      = "t"
	fieldOrigin        = "f"
	fieldSoftDeadline  = "u"
	fieldTargetRate    = "l"
	fieldOverloaded    = "b"
	valueOverloaded    = "1"
	fieldLevel         = "s"
	fieldBodyPrefix    = "h"
	fieldWholeBody     = "hw"
	fieldLongestPart   = "hl"
	valueIdempotent    = "any"
	valueNonIdempotent = "once"
)

const (
	// maxRemaining is the longest time that is passed on; no call lasts as long.
	maxRemaining = 100 * 365 * 24 * time.Hour
	// maxAttempts is above the attempts that any retry policy allows.
	maxAttempts = 100
	// maxPriority is above the priority of any organisation's call on any route.
	maxPriority = 1 << 53
	// maxLevel is the highest level of an organisation.
	maxLevel = 3
)

func (m *Meta) write(w *bufio.Writer) {
	idempotency := valueNonIdempotent
	if m.idempotent {
		idempotency = valueIdempotent
	}
	_, _ = w.WriteString(MetaHeader + ": " + fieldRemaining + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(1, m.remaining.Milliseconds()), 10))
	_, _ = w.WriteString(" " + fieldAttempt + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.attempt), 10))
	_, _ = w.WriteString(" " + fieldDepth + "=")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.depth), 10))
	for _, f := range [...][2]string{
		{fieldClass, m.class.String()},
		{fieldOrganisation, m.organisation},
		{fieldPool, m.pool},
		{fieldRoute, m.route},
		{fieldIdempotency, idempotency},
		{fieldInstance, m.instance},
		{fieldOrigin, m.origin},
	} {
		if f[1] == "" {
			continue
		}
		_ = w.WriteByte(' ')
		_, _ = w.WriteString(f[0])
		_ = w.WriteByte('=')
		writeValue(w, f[1])
	}
	if m.priority > 0 {
		_, _ = w.WriteString(" " + fieldPriority + "=")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.priority), 10))
	}
	if m.level > 0 {
		_, _ = w.WriteString(" " + fieldLevel + "=")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(m.level), 10))
	}
	if m.softDeadline > 0 {
		_, _ = w.WriteString(" " + fieldSoftDeadline + "=")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(1, m.softDeadline.Milliseconds()), 10))
	}
	if m.targetRate.named {
		_, _ = w.WriteString(" " + fieldTargetRate + "=")
		_, _ = w.Write(strconv.AppendFloat(w.AvailableBuffer(), m.targetRate.perSecond, 'g', -1, 64))
	}
	if m.fromOverloaded {
		_, _ = w.WriteString(" " + fieldOverloaded + "=" + valueOverloaded)
	}
	if m.bodyPrefix != (poison.Fingerprint{}) {
		_, _ = w.WriteString(" " + fieldBodyPrefix + "=" + m.bodyPrefix.Text())
	}
	if m.bodyDigest != (bodyDigest{}) {
		field := fieldWholeBody
		if m.bodyDigest.extent == poison.LongestPart {
			field = fieldLongestPart
		}
		_, _ = w.WriteString(" " + field + "=" + m.bodyDigest.sum.Text())
	}
	_, _ = w.WriteString("\r\n")
}

// writeValue writes the value of a field, with the characters that a field can't contain as
// "%" and two hexadecimal digits. Names that a platform assigns may have any.
func writeValue(w *bufio.Writer, value string) {
	const digits = "0123456789ABCDEF"
	start := 0
	for i := range len(value) {
		b := value[i]
		if b > ' ' && b < 0x7f && b != '%' && b != '=' {
			continue
		}
		_, _ = w.WriteString(value[start:i])
		_, _ = w.Write([]byte{'%', digits[b>>4], digits[b&15]})
		start = i + 1
	}
	_, _ = w.WriteString(value[start:])
}

// readValue returns the value that writeValue has written, or the text itself if it has a
// malformed escape.
func readValue(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	value, err := url.PathUnescape(text)
	if err != nil {
		return text
	}
	return value
}

// ReadMeta parses MetaHeader. It returns a HeaderError if a required field is missing
// or invalid.
func ReadMeta(h http.Header) (Meta, error) {
	text := h.Get(MetaHeader)
	var m Meta
	class, idempotency := "", ""
	for rest := text; rest != ""; {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case fieldRemaining:
			m.remaining = time.Duration(parseBounded(value, maxRemaining.Milliseconds())) * time.Millisecond
		case fieldAttempt:
			m.attempt = int(parseBounded(value, maxAttempts))
		case fieldDepth:
			m.depth = int(parseBounded(value, MaxDepth))
		case fieldClass:
			class = value
		case fieldOrganisation:
			m.organisation = readValue(value)
		case fieldPool:
			m.pool = readValue(value)
		case fieldRoute:
			m.route = readValue(value)
		case fieldIdempotency:
			idempotency = value
		case fieldPriority:
			m.priority = int(parseBounded(value, maxPriority))
		case fieldInstance:
			m.instance = readValue(value)
		case fieldOrigin:
			m.origin = readValue(value)
		case fieldSoftDeadline:
			m.softDeadline = time.Duration(parseBounded(value, maxRemaining.Milliseconds())) * time.Millisecond
		case fieldOverloaded:
			m.fromOverloaded = value == valueOverloaded
		case fieldLevel:
			m.level = int(parseBounded(value, maxLevel))
		case fieldBodyPrefix:
			m.bodyPrefix, _ = poison.ParseFingerprint(value)
		case fieldWholeBody:
			m.bodyDigest = parseBodyDigest(value, poison.WholeBody)
		case fieldLongestPart:
			m.bodyDigest = parseBodyDigest(value, poison.LongestPart)
		case fieldTargetRate:
			m.targetRate.perSecond, m.targetRate.named = parseRate(value)
		}
	}
	m.idempotent = idempotency == valueIdempotent
	if class == snapshot.Paying.String() {
		m.class = snapshot.Paying
	}
	complete := m.remaining > 0 && m.attempt > 0 && m.depth > 0 && m.organisation != "" && m.pool != "" &&
		class == m.class.String() && (m.idempotent || idempotency == valueNonIdempotent)
	if !complete {
		return Meta{}, &HeaderError{Name: MetaHeader, Value: text}
	}
	return m, nil
}

// parseRate parses a number of calls per second.
func parseRate(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 1)
}

// parseBounded parses an integer from 1 to high; it returns 0 for any other text.
func parseBounded(text string, high int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > high {
		return 0
	}
	return n
}

// parseBodyDigest parses a digest of a body; it returns the zero value for any other text.
func parseBodyDigest(text string, extent poison.Extent) bodyDigest {
	sum, ok := poison.ParseFingerprint(text)
	if !ok {
		return bodyDigest{}
	}
	return bodyDigest{sum, extent}
}

// hopByHop lists the headers that apply to a single connection or that
// Request.writeHead sets.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// Strip removes the headers that a node must not forward: hop-by-hop headers, those
// that Connection names, and all headers of this system, since callers could set a
// class with them, and targets an outcome.
func Strip(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); !protectedHeaders[textproto.CanonicalMIMEHeaderKey(name)] {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) || strings.HasPrefix(name, nodeHeaderPrefix) {
			delete(h, name)
		}
	}
}

// protectedHeaders are kept even if Connection names them, because they decide how the
// call is handled.
var protectedHeaders = map[string]bool{KeyHeader: true, "Host": true, "Content-Type": true, "Content-Encoding": true}
