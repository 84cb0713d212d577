package caller

import (
	"fmt"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Register tells which calls are held back because targets crashed as they ran.
type Register interface {
	Held(f poison.Fingerprint) (until time.Time, held bool)
}

// HeldError tells of a call that is held back because targets crashed as it ran.
type HeldError struct{ Until time.Time }

func (e *HeldError) Error() string {
	return fmt.Sprintf("targets crashed as this call ran; it is held back until %s", e.Until.UTC().Format(time.RFC3339))
}

// holdBack refuses a call that has taken down targets: run once more it would take
// down the next, and everyone else's calls with it.
func (c *call) holdBack() error {
	if c.h.register == nil {
		return nil
	}
	var body []byte
	if whole, ok := c.body.(hop.Whole); ok {
		body = whole.Bytes()
	}
	f := poison.FingerprintOf(c.org.Name()+"/"+c.h.origin, c.rt.Name(), "", c.r.Method, c.r.URL.RequestURI(), body)
	until, held := c.h.register.Held(f)
	if !held {
		return nil
	}
	return &http1.Refusal{
		Status: http.StatusServiceUnavailable, Type: "held-back", Message: (&HeldError{Until: until}).Error(),
		Outcome: http1.NotRun, RetryAfter: until.Sub(c.h.clk.Now()),
	}
}
