package caller

import (
	"context"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// CallID names a call that must not run twice, across its re-sends.
type CallID struct{ organisation, route, key string }

// Organisation returns the organisation that made the call.
func (id CallID) Organisation() string { return id.organisation }

// Route returns the name of the route.
func (id CallID) Route() string { return id.route }

// Key returns the caller's own name for the call.
func (id CallID) Key() string { return id.key }

// Claims keeps calls that must not run twice from doing so.
type Claims interface {
	// Claim takes the only right to run a call, or returns the answer that the
	// call got before, or an error if neither can be proven.
	Claim(ctx context.Context, id CallID, until time.Time) (Claim, *Recorded, error)
}

// Claim is the right to run a call once.
type Claim interface {
	// End says what became of the call: its answer, or, without one, whether
	// it has not run; it must not block.
	End(answer *Recorded, outcome http1.Outcome)
}

// Recorded is a whole answer that is kept for re-sends of its call.
type Recorded struct {
	status int
	header http.Header
	body   []byte
}

// NewRecorded returns a recorded answer.
func NewRecorded(status int, header http.Header, body []byte) *Recorded {
	return &Recorded{status: status, header: header, body: body}
}

// Status returns the status code.
func (r *Recorded) Status() int { return r.status }

// Header returns the headers.
func (r *Recorded) Header() http.Header { return r.header }

// Body returns the body.
func (r *Recorded) Body() []byte { return r.body }

// claimRun takes the right to run a call that must not run twice.
func (c *call) claimRun() (*Recorded, error) {
	key := c.r.Header.Get(hop.KeyHeader)
	if c.rt.Idempotent() || key == "" {
		return nil, nil
	}
	claim, recorded, err := c.h.claims.Claim(c.r.Context(), CallID{c.org.Name(), c.rt.Name(), key}, c.until)
	c.claim = claim
	return recorded, err
}

// endClaim says what became of a claimed call.
func (c *call) endClaim(res result, err error) {
	if c.claim == nil {
		return
	}
	outcome := http1.Outcome("")
	if err != nil {
		outcome = refusalOf(err).Outcome
	}
	c.claim.End(res.recorded, outcome)
}

// replay gives a re-send the answer that its call got before.
func (c *call) replay(rec *Recorded) (result, error) {
	h := c.w.Header()
	for k, v := range rec.header {
		h[k] = v
	}
	c.w.WriteHeader(rec.status)
	_, err := c.w.Write(rec.body)
	return result{status: rec.status, began: true}, err
}

// unclaimed lets each call run once by the rule that a call that may have run
// is never sent again; it knows nothing of re-sends.
type unclaimed struct{}

func (unclaimed) Claim(context.Context, CallID, time.Time) (Claim, *Recorded, error) {
	return nil, nil, nil
}
