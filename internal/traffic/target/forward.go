package target

import (
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// forward sends the call to the target and passes its answer on.
func (c *call) forward() (began bool, status int, err error) {
	c.h.flights.begin(c)
	defer func() {
		broke := brokeOff(err)
		c.h.flights.end(c, c.h.clk.Now(), broke)
		if broke {
			c.h.look(c.meta.Instance())
		}
	}()
	sent := c.h.clk.Now()
	answer, err := c.h.client.Do(c.r.Context(), c.h.local, c.toTarget(), c.until)
	took := c.h.clk.Since(sent)
	c.h.meters.of(c.meta).work.Update(took.Seconds())
	if err != nil {
		if ran(err) {
			c.h.observe(c.meta.Route(), took, true)
		}
		c.h.tellRefused(c.meta.Instance(), err)
		return false, 0, err
	}
	defer answer.Close()
	if c.h.dialect.NotRun(answer) {
		return false, 0, &TargetRefusedError{Status: answer.Status()}
	}
	if !c.h.dialect.Signed(answer) {
		c.h.observe(c.meta.Route(), took, true)
		return false, 0, &hop.BadAnswerError{To: c.h.local, Reason: "a success without the target's signature"}
	}
	c.w.Header()[hop.LoadHeader] = []string{c.h.slots.load(c.meta.Route())}
	c.tellVersion()
	relayed, err := hop.Relay(c.w, answer, false)
	if err == nil || ran(err) {
		c.h.observe(c.meta.Route(), took, err != nil || answer.Status() >= http.StatusInternalServerError)
	}
	if err == nil {
		c.tellAnswer(answer.Status())
	}
	return relayed.Began(), answer.Status(), err
}

// toTarget returns the call as the target gets it.
func (c *call) toTarget() *hop.Request {
	left := c.until.Sub(c.h.clk.Now())
	opts := c.h.dialect.ToTarget(c.r.Header, c.meta, left)
	if c.h.sealer != nil {
		opts = append(opts,
			hop.WithHeader(hop.CallHeader, c.h.sealer.Seal(hop.NewParent(c.meta, c.until))),
			hop.WithHeader(hop.OrganisationHeader, c.meta.Organisation()),
			hop.WithHeader(hop.ClassHeader, c.meta.Class().String()))
	}
	return hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body, opts...)
}

// tellVersion lets the sender know of a configuration that it may have missed.
func (c *call) tellVersion() {
	if c.h.version != nil {
		c.w.Header()[hop.VersionHeader] = []string{strconv.FormatUint(c.h.version(), 10)}
	}
}

// tellRefused tells of a target that has ended: nothing but a closed port
// refuses a connection on one machine, so one refusal is enough.
func (h *Handler) tellRefused(instance string, err error) {
	var dial *hop.DialError
	if errors.As(err, &dial) && errors.Is(dial, syscall.ECONNREFUSED) {
		h.onRefused(instance)
	}
}

// brokeOff reports whether the target's process ended a call that it ran.
func brokeOff(err error) bool {
	var (
		none *hop.NoAnswerError
		cut  *hop.CutOffError
	)
	return errors.As(err, &none) || errors.As(err, &cut)
}

// ran reports whether a failure is the target's own: it ended the call, answered what
// can't be read, or had no answer in time.
func ran(err error) bool {
	var (
		bad  *hop.BadAnswerError
		late *hop.TimeoutError
	)
	return brokeOff(err) || errors.As(err, &bad) || errors.As(err, &late)
}

// lookTimeout bounds a look at the target's port; on one machine it takes about a
// millisecond.
const lookTimeout = 100 * time.Millisecond

// look opens a connection to a target that has just ended one, for the next call
// to use. If the port is closed the process has crashed, and what ran there is
// known now, while the calls that broke off are still remembered.
func (h *Handler) look(instance string) {
	if !h.looking.CompareAndSwap(false, true) {
		return
	}
	defer h.looking.Store(false)
	h.tellRefused(instance, h.client.Warm(h.local, h.clk.Now().Add(lookTimeout)))
}
