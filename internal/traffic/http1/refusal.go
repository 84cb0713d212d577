package http1

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// OutcomeHeader is the header that carries the Outcome to the caller.
const OutcomeHeader = "Banyanlug-Outcome"

// Outcome states whether a call without a response from its target has run.
type Outcome string

// The outcomes of a call without a response from its target.
const (
	// NotRun guarantees that the call has not run: nothing was sent to the
	// target's process, or the target stated that it has not run the call.
	NotRun Outcome = "not-run"
	// Unknown applies once a byte of the call was sent to the target.
	Unknown Outcome = "unknown"
)

// The refusal types of the server itself.
const (
	// KindDraining refuses calls to a draining server.
	KindDraining = "draining"
	// KindConnectionClosed ends an idle connection that the server closes.
	KindConnectionClosed = "connection-closed"
)

// Refusal is the response to a call that got none from its target.
type Refusal struct {
	Status     int
	Type       string
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration
	// FractionalRetryAfter allows fractions of a second in Retry-After, for callers that
	// can parse them.
	FractionalRetryAfter bool
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

// Body returns the JSON body of the response.
func (r *Refusal) Body() []byte {
	// Marshalling strings and a number cannot fail.
	b, _ := json.Marshal(refusalBody{
		Error:   refusalError{Type: r.Type, Message: r.Message},
		Outcome: r.Outcome, RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
	return append(b, '\n')
}

// Refuse writes r as the response to a call.
func Refuse(w http.ResponseWriter, r *Refusal) {
	body := r.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", r.retryAfter())
	}
	w.WriteHeader(r.StatusSent())
	_, _ = w.Write(body)
}

// StatusSent returns the status of the response. Callers take some statuses as proof
// that the call has not run and retry even calls that are not idempotent, so a call
// that may have run gets 502 instead.
func (r *Refusal) StatusSent() int {
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

// retryAfter returns the value of the Retry-After header.
func (r *Refusal) retryAfter() string {
	if r.FractionalRetryAfter {
		return strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return retryAfterSeconds(r.RetryAfter)
}

// retryAfterSeconds rounds up to whole seconds, since an earlier retry would be
// refused again. The body has the milliseconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
