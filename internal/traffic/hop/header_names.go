package hop

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// HeaderNames holds the header names that the callers and targets of a deployment use.
// Headers between nodes do not depend on it.
type HeaderNames struct {
	deadline             string
	id                   string
	instance             string
	origin               string
	organisation         string
	notRun               string
	signature            string
	rateLimit            string
	leaving              string
	process              string
	fractionalRetryAfter bool
}

// HeaderNameOption configures HeaderNames.
type HeaderNameOption func(*HeaderNames)

// DeadlineIn names the header that holds the remaining time in milliseconds.
func DeadlineIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.deadline = name } }

// IDIn names the header that holds the call's id; targets must repeat it in their
// responses.
func IDIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.id = name } }

// InstanceIn names the header that tells a target which instance the call is meant
// for.
func InstanceIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.instance = name } }

// OriginIn names the header that tells a target the calling service.
func OriginIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.origin = name } }

// OrganisationIn names the header that tells a target the organisation that a call is made
// for. Anonymous calls have none.
func OrganisationIn(name string) HeaderNameOption {
	return func(n *HeaderNames) { n.organisation = name }
}

// NotRunIn names the header with which a target states that it has not run a call.
func NotRunIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.notRun = name } }

// SignatureIn names a header that every successful response of a target has.
func SignatureIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.signature = name } }

// RateLimitIn names the header with which a target states how many calls a second it takes
// from all nodes together.
func RateLimitIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.rateLimit = name } }

// LeavingIn names the header with which a target states, by the value 1, that it is leaving.
func LeavingIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.leaving = name } }

// ProcessIn names the header with which a target's process states its own id.
func ProcessIn(name string) HeaderNameOption { return func(n *HeaderNames) { n.process = name } }

// FractionalRetryAfter allows fractions of a second in Retry-After.
func FractionalRetryAfter() HeaderNameOption {
	return func(n *HeaderNames) { n.fractionalRetryAfter = true }
}

// NewHeaderNames returns the default header names, changed by opts.
func NewHeaderNames(opts ...HeaderNameOption) HeaderNames {
	n := HeaderNames{deadline: DeadlineHeader, rateLimit: RateLimitHeader}
	for _, opt := range opts {
		opt(&n)
	}
	return n
}

// ID returns the id that the caller gave the call, or "".
func (n HeaderNames) ID(h http.Header) string {
	if n.id == "" {
		return ""
	}
	return h.Get(n.id)
}

// Echo sets the call's id on a response that the node itself writes, as targets do, so
// that the caller can match it to the call.
func (n HeaderNames) Echo(h http.Header, id string) {
	if n.id != "" && id != "" {
		h.Set(n.id, id)
	}
}

// Deadline returns the timeout that the caller set, maxRemaining at most, and false if it set
// none. It returns a HeaderError if the value is not valid.
func (n HeaderNames) Deadline(h http.Header) (time.Duration, bool, error) {
	text := h.Get(n.deadline)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64) // on overflow the largest number with the sign
	if err != nil && !errors.Is(err, strconv.ErrRange) || ms < 1 {
		return 0, false, &HeaderError{Name: n.deadline, Value: text}
	}
	return time.Duration(min(ms, maxRemaining.Milliseconds())) * time.Millisecond, true, nil
}

// Strip removes the headers that the function Strip removes, and those named for the
// deadline, the instance, the origin, the organisation and the not-run statement.
func (n HeaderNames) Strip(h http.Header) {
	Strip(h)
	for _, name := range [...]string{n.deadline, n.instance, n.origin, n.organisation, n.notRun} {
		if name != "" {
			h.Del(name)
		}
	}
}

// NotRun reports whether a response states that its call has not run.
func (n HeaderNames) NotRun(resp *Response) bool {
	return n.notRun != "" && resp.Header().Get(n.notRun) != "" || n.instance != "" && resp.Status() == http.StatusMisdirectedRequest
}

// Signed reports whether a response has the signature header or needs none. A success
// without it does not come from the target's application.
func (n HeaderNames) Signed(resp *Response) bool {
	return n.signature == "" || resp.Status() >= http.StatusMultipleChoices || resp.Header().Get(n.signature) != ""
}

// RateLimit returns the calls per second that a response's target takes, and false if the
// response names no valid number.
func (n HeaderNames) RateLimit(resp *Response) (perSecond float64, ok bool) {
	if value := resp.Header().Get(n.rateLimit); value != "" {
		return parseRate(value)
	}
	return 0, false
}

// Leaving reports whether a response states that its target is leaving.
func (n HeaderNames) Leaving(resp *Response) bool {
	return n.leaving != "" && resp.Header().Get(n.leaving) == "1"
}

// Process returns the id that the process of a response states, or "".
func (n HeaderNames) Process(resp *Response) string { return resp.Header().Get(n.process) }

// FractionalRetryAfter reports whether Retry-After may hold fractions of a second.
func (n HeaderNames) FractionalRetryAfter() bool { return n.fractionalRetryAfter }

// ToProcess returns the request options for a request of the node itself that only the process
// with the given id is to answer.
func (n HeaderNames) ToProcess(id string, remaining time.Duration) []RequestOption {
	opts := []RequestOption{WithHeader(n.deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))}
	if n.instance != "" {
		opts = append(opts, WithHeader(n.instance, id))
	}
	return opts
}

// ToTarget returns the request options that set the call's headers for its target; h
// holds the headers that the caller sent.
func (n HeaderNames) ToTarget(h http.Header, m Meta, remaining time.Duration) []RequestOption {
	opts := []RequestOption{WithHeader(n.deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))}
	if n.instance != "" && m.instance != "" {
		opts = append(opts, WithHeader(n.instance, m.instance))
	}
	if n.origin != "" && m.origin != "" {
		opts = append(opts, WithHeader(n.origin, headerValue(m.origin)))
	}
	if n.organisation != "" && m.organisation != AnonymousOrganisation {
		opts = append(opts, WithHeader(n.organisation, headerValue(m.organisation)))
	}
	if id := n.ID(h); id != "" {
		opts = append(opts, WithEcho(n.id, id))
	}
	return opts
}

// headerValue replaces the control characters of a name, which a header can't contain.
func headerValue(name string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, name)
}
