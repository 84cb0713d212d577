package http1

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// OutcomeHeader tells a caller what is known of a call that got no answer of
// its target.
const OutcomeHeader = "Banyanlug-Outcome"

// Outcome is what is known of a call that got no answer of its target.
type Outcome string

// The outcomes of a call without its target's answer.
const (
	// NotRun is said only where nothing was sent to the target's process.
	NotRun Outcome = "not-run"
	// Unknown is said from the first byte sent towards the target on.
	Unknown Outcome = "unknown"
)

// The types of refusal that a server itself makes.
const (
	// KindDraining is a call to a server that stops.
	KindDraining = "draining"
	// KindConnectionClosed is what comes on a connection that was being closed.
	KindConnectionClosed = "connection-closed"
)

// Refusal is the answer to a call that its target did not answer.
type Refusal struct {
	Status     int
	Type       string
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration
	// Fractions lets Retry-After hold fractions of a second, for callers that
	// read them.
	Fractions bool
}

func (r *Refusal) Error() string { return r.Type + ": " + r.Message + " (" + string(r.Outcome) + ")" }

type refusalBody struct {
	Error        refusalError `json:"error"`
	Outcome      Outcome      `json:"outcome"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

type refusalError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// Body returns the refusal as the JSON that the caller reads.
func (r *Refusal) Body() []byte {
	// Marshalling strings and a number cannot fail.
	b, _ := json.Marshal(refusalBody{
		Error:   refusalError{Type: r.Type, Message: r.Message},
		Outcome: r.Outcome, RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
	return append(b, '\n')
}

// Refuse answers a call with a refusal.
func Refuse(w http.ResponseWriter, r *Refusal) {
	body := r.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", r.retryAfter())
	}
	w.WriteHeader(r.Told())
	_, _ = w.Write(body)
}

// Told returns the status that the caller gets. Some promise that the call has not run,
// and a caller sends a binding again on their word; of one that may have run they would
// not be true, as where a connection ends while it is being sent.
func (r *Refusal) Told() int {
	if r.Outcome == NotRun {
		return r.Status
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	default:
		return r.Status
	}
}

// retryAfter returns the time as the header holds it.
func (r *Refusal) retryAfter() string {
	if r.Fractions {
		return strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return retryAfterSeconds(r.RetryAfter)
}

// retryAfterSeconds rounds up, since the header counts whole seconds and an
// early return would be refused again; the body has the milliseconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
