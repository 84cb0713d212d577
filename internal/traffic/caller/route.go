package caller

import (
	"strings"

	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// route finds the call's route, depth and deadline.
func (c *call) route() error {
	path := c.r.URL.Path
	if ambiguous(path) {
		return &PathError{Path: path}
	}
	rt, ok := c.snap.Match(hostOf(c.r.Host), path, c.r.Method)
	if !ok {
		return &NoRouteError{Host: c.r.Host, Method: c.r.Method, Path: path}
	}
	c.rt = c.h.chooseShare(rt)
	depth := 1
	if c.parent != nil {
		depth = c.parent.Depth() + 1
	}
	if depth > c.h.maxDepth {
		return &DepthError{Depth: depth, Max: c.h.maxDepth}
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	c.h.headerNames.Strip(c.r.Header)
	c.callInfo = balance.NewCallInfo(c.org.Name(), c.org.Class()).WithRoute(c.rt.Name())
	c.meta = hop.NewMeta(hop.Depth(depth), hop.ForOrganisation(c.org.Name(), c.org.Class()), hop.ForRoute(c.rt),
		hop.Priority(c.snap.CallPriority(c.org, c.rt)), hop.FromOrigin(c.h.origin))
	return nil
}

// setDeadline sets the earliest of the deadlines of the route, the caller and the
// parent call: work that ends after any of them is wasted.
func (c *call) setDeadline() error {
	c.deadline = c.start.Add(c.rt.Deadline())
	callerTimeout, ok, err := c.h.headerNames.Deadline(c.r.Header)
	if err != nil {
		return err
	}
	if ok && c.rt.TargetLatency() > 0 {
		c.waitedBefore = c.h.waitTracker.EstimateWait(c.rt.Name(), callerTimeout, http1.OnReusedConn(c.r.Context()))
	}
	if at := c.start.Add(callerTimeout); ok && at.Before(c.deadline) {
		c.deadline, c.deadlineShortened = at, true
	}
	if c.parent != nil && c.parent.Deadline().Before(c.deadline) {
		c.deadline, c.deadlineShortened = c.parent.Deadline(), true
	}
	return nil
}

// ambiguous reports whether a target could normalise the path to another one, and
// so run a call under a route that was not checked.
func ambiguous(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return true
	}
	if !strings.Contains(path, "/.") && !strings.Contains(path, "//") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(path, "//")
}

func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
