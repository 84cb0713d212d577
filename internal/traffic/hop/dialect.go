package hop

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers in which the callers and targets of a deployment
// speak of a call. Nodes speak to each other in their own words whatever the
// dialect.
type Dialect struct {
	deadline  string
	id        string
	instance  string
	origin    string
	notRun    string
	signature string
	fractions bool
}

// DialectOption sets one name of a dialect.
type DialectOption func(*Dialect)

// DeadlineIn names the header that holds the milliseconds left.
func DeadlineIn(name string) DialectOption { return func(d *Dialect) { d.deadline = name } }

// IDIn names the header that holds the call's id, which targets echo.
func IDIn(name string) DialectOption { return func(d *Dialect) { d.id = name } }

// InstanceIn names the header that tells a target which instance is meant.
func InstanceIn(name string) DialectOption { return func(d *Dialect) { d.instance = name } }

// OriginIn names the header that tells a target which service the caller's
// instance serves.
func OriginIn(name string) DialectOption { return func(d *Dialect) { d.origin = name } }

// NotRunIn names the header by which a target certifies that it has not run a
// call.
func NotRunIn(name string) DialectOption { return func(d *Dialect) { d.notRun = name } }

// SignatureIn names the header that every success of a target bears.
func SignatureIn(name string) DialectOption { return func(d *Dialect) { d.signature = name } }

// FractionalSeconds lets Retry-After hold fractions of a second.
func FractionalSeconds() DialectOption { return func(d *Dialect) { d.fractions = true } }

// NewDialect returns the product's own dialect with some names replaced.
func NewDialect(opts ...DialectOption) Dialect {
	d := Dialect{deadline: DeadlineHeader}
	for _, opt := range opts {
		opt(&d)
	}
	return d
}

// ID returns the id that the caller gave a call, or "".
func (d Dialect) ID(h http.Header) string {
	if d.id == "" {
		return ""
	}
	return h.Get(d.id)
}

// Echo puts a call's id on an answer that this node makes itself, as targets do,
// so that its caller can tell which call it answers.
func (d Dialect) Echo(h http.Header, id string) {
	if d.id != "" && id != "" {
		h.Set(d.id, id)
	}
}

// Deadline returns the time that a caller allows, if it names one.
func (d Dialect) Deadline(h http.Header) (time.Duration, bool, error) {
	text := h.Get(d.deadline)
	if text == "" {
		return 0, false, nil
	}
	ms := number(text, maxLeft.Milliseconds())
	if ms == 0 {
		return 0, false, &HeaderError{Name: d.deadline, Value: text}
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}

// Strip removes what must not pass a node, see Strip, and what only this system
// may say in the dialect.
func (d Dialect) Strip(h http.Header) {
	Strip(h)
	for _, name := range [...]string{d.deadline, d.instance, d.origin, d.notRun} {
		if name != "" {
			h.Del(name)
		}
	}
}

// NotRun reports whether an answer certifies that its call has not run.
func (d Dialect) NotRun(a *Answer) bool {
	return d.notRun != "" && a.Header().Get(d.notRun) != "" || d.instance != "" && a.Status() == http.StatusMisdirectedRequest
}

// Signed reports whether an answer bears what a target puts on its successes;
// one that lacks it was not made by the target's own work.
func (d Dialect) Signed(a *Answer) bool {
	return d.signature == "" || a.Status() >= http.StatusMultipleChoices || a.Header().Get(d.signature) != ""
}

// Fractions reports whether Retry-After may hold fractions of a second.
func (d Dialect) Fractions() bool { return d.fractions }

// ToTarget returns the options that tell a target about a call.
func (d Dialect) ToTarget(h http.Header, m Meta, left time.Duration) []RequestOption {
	opts := []RequestOption{WithHeader(d.deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))}
	if d.instance != "" && m.instance != "" {
		opts = append(opts, WithHeader(d.instance, m.instance))
	}
	if d.origin != "" && m.origin != "" {
		opts = append(opts, WithHeader(d.origin, m.origin))
	}
	if id := d.ID(h); id != "" {
		opts = append(opts, WithEcho(d.id, id))
	}
	return opts
}
