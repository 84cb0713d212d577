package target

import (
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"banyanlug.example/banyanlug/internal/policy/lifecycle"
	"banyanlug.example/banyanlug/internal/policy/poison"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// forward sends the call to the target and relays the response.
func (c *call) forward() (headSent bool, status int, err error) {
	c.h.inFlight.begin(c)
	defer func() { c.endRun(err) }()
	c.countPassed()
	sent := c.h.clk.Now()
	resp, err := c.h.client.Do(c.r.Context(), c.h.local, c.targetRequest(), c.deadline)
	took := c.h.clk.Since(sent)
	c.h.callMetrics.forCall(c.meta).work.Update(took.Seconds())
	if err != nil {
		if failedAtTarget(err) {
			c.h.observe(c.meta.Route(), took, true)
		}
		c.h.reportConnRefused(c.meta.Instance(), err)
		return false, 0, err
	}
	defer resp.Close()
	c.observeTarget(resp)
	if c.h.headerNames.NotRun(resp) {
		return false, 0, &TargetRejectedError{Status: resp.Status()}
	}
	if !c.h.headerNames.Signed(resp) {
		c.h.observe(c.meta.Route(), took, true)
		return false, 0, &hop.BadResponseError{To: c.h.local, Reason: "a success without the target's signature"}
	}
	c.w.Header()[hop.LoadHeader] = []string{c.h.slots.loadHeader(c.meta.Route())}
	c.setVersionHeader()
	relayed, err := hop.Relay(c.w, resp, false)
	if err == nil || failedAtTarget(err) {
		c.h.observe(c.meta.Route(), took, err != nil || resp.Status() >= http.StatusInternalServerError)
	}
	if err == nil {
		c.logResponse(resp.Status())
	}
	return relayed.Began(), resp.Status(), err
}

// endRun records how the call ended at the target. If the target's process broke it, that
// may have crashed.
func (c *call) endRun(err error) {
	switch {
	case brokenByTarget(err):
		suspect, ok := c.h.inFlight.end(c, c.h.clk.Now(), runBroken)
		c.h.probe(c.meta.Instance())
		if ok {
			c.reportCrash(suspect)
		}
	case err == nil:
		c.h.inFlight.end(c, c.h.clk.Now(), runCompleted)
	default:
		c.h.inFlight.end(c, c.h.clk.Now(), runUnknown)
	}
}

// observeTarget reads what a response states of the target's process. A process that is not
// the one that the call is meant for speaks for itself alone.
func (c *call) observeTarget(resp *hop.Response) {
	if resp.Status() == http.StatusMisdirectedRequest {
		c.h.onMisdirected(c.meta.Instance())
		return
	}
	c.readRateLimit(resp)
	if c.h.headerNames.Leaving(resp) {
		c.h.onLeaving(c.meta.Instance())
	}
}

func (c *call) targetRequest() *hop.Request {
	remaining := c.deadline.Sub(c.h.clk.Now())
	opts := c.h.headerNames.ToTarget(c.r.Header, c.meta, remaining)
	if c.h.sealer != nil {
		opts = append(opts,
			hop.WithHeader(hop.CallHeader, c.h.sealer.Seal(hop.NewParent(c.meta, c.deadline))),
			hop.WithHeader(hop.OrganisationHeader, c.meta.Organisation()),
			hop.WithHeader(hop.ClassHeader, c.meta.Class().String()))
	}
	return hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body, opts...)
}

// setVersionHeader adds this node's configuration version to the response, so
// that a sending node with an older one can fetch it.
func (c *call) setVersionHeader() {
	if c.h.version != nil {
		c.w.Header()[hop.VersionHeader] = []string{strconv.FormatUint(c.h.version(), 10)}
	}
}

// reportConnRefused reports a target process that has exited: on the same machine,
// one refused connection proves that its port is closed.
func (h *Handler) reportConnRefused(instance string, err error) {
	var dial *hop.DialError
	if errors.As(err, &dial) && errors.Is(dial, syscall.ECONNREFUSED) {
		h.onConnRefused(instance)
	}
}

// brokenByTarget reports whether the target's process closed the connection of
// a call that it ran.
func brokenByTarget(err error) bool {
	var (
		none *hop.NoResponseError
		cut  *hop.CutOffError
	)
	return errors.As(err, &none) || errors.As(err, &cut)
}

// failedAtTarget reports whether the target caused the failure: it closed the
// connection, sent an invalid response or did not respond in time.
func failedAtTarget(err error) bool {
	var (
		bad  *hop.BadResponseError
		late *hop.TimeoutError
	)
	return brokenByTarget(err) || errors.As(err, &bad) || errors.As(err, &late)
}

// probeTimeout bounds a connection attempt to the target on the same machine.
const probeTimeout = 100 * time.Millisecond

// probe opens a connection, for the next call, to a target that has just closed one.
// If the port is closed, the process has crashed, and the probe reports it while the
// broken calls still count as suspects. A probe that runs already is waited for.
func (h *Handler) probe(instance string) {
	h.probeMu.Lock()
	if running := h.probing; running != nil {
		h.probeMu.Unlock()
		<-running
		return
	}
	done := make(chan struct{})
	h.probing = done
	h.probeMu.Unlock()
	h.reportConnRefused(instance, h.client.Warm(h.local, h.clk.Now().Add(probeTimeout)))
	h.probeMu.Lock()
	h.probing = nil
	h.probeMu.Unlock()
	close(done)
}

// reportCrash tells the sender of a broken call that the target's process has ended, so
// that it can count the crash before it tries another target.
func (c *call) reportCrash(suspect Suspect) {
	t := c.h.slots.process.Load()
	if t == nil || t.ID() != c.meta.Instance() || t.Phase() != lifecycle.Down {
		return
	}
	crash := CrashReport(poison.Process{Instance: t.ID(), Boot: t.StartMs()}, c.h.clk.Now(), []Suspect{suspect})
	c.w.Header()[hop.CrashHeader] = []string{crash.String()}
}
