package caller

import (
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

const (
	keyHeader    = "X-Api-Key"
	bearerPrefix = "Bearer "
)

// identify finds the organisation that the call is made for.
//
// A nested call belongs to the organisation of its parent call, whatever API key it
// carries: otherwise a trial call could use promised capacity through a nested one.
func (c *call) identify() error {
	if c.snap.Version() == 0 {
		// Without a configuration every key is unknown. A 401 would be final for
		// the caller, although another node would serve the call.
		return &NoConfigurationError{RetryAfter: c.h.startRetryAfter(c.start)}
	}
	if sealed := c.r.Header.Get(hop.CallHeader); sealed != "" && c.h.sealer != nil {
		return c.inherit(sealed)
	}
	if c.anonymous() {
		c.r.Header.Del(keyHeader)
		c.org = *c.h.anonymous
		return nil
	}
	key := c.r.Header.Get(keyHeader)
	header := keyHeader
	if key == "" {
		auth := c.r.Header.Get("Authorization")
		if len(auth) < len(bearerPrefix) || !strings.EqualFold(auth[:len(bearerPrefix)], bearerPrefix) {
			return &UnauthenticatedError{}
		}
		key, header = auth[len(bearerPrefix):], "Authorization"
	}
	if key == "" {
		return &UnauthenticatedError{}
	}
	org, ok := c.snap.Identify(key)
	if !ok {
		return &UnauthenticatedError{KeyPresent: true}
	}
	// A target that saw the key could make calls as the caller.
	c.r.Header.Del(header)
	c.org = org
	return nil
}

// anonymous reports whether the call needs no API key.
func (c *call) anonymous() bool {
	if c.h.anonymous == nil || !c.snap.HasOrganisations() {
		return c.h.anonymous != nil
	}
	rt, ok := c.snap.Match(hostOf(c.r.Host), c.r.URL.Path, c.r.Method)
	return ok && rt.Anonymous()
}

func (c *call) inherit(sealed string) error {
	parent, err := c.h.sealer.Open(sealed)
	if err != nil {
		return err
	}
	c.parent = &parent
	c.r.Header.Del(keyHeader)
	// Keep the parent's class: the organisation's may have changed in a newer
	// configuration version, and nested calls should all have the same class.
	c.org = snapshot.NewOrganisation(parent.Organisation(), parent.Class())
	return nil
}

// minStartRetryAfter and maxStartRetryAfter bound the Retry-After while the node has no
// configuration. Most starts end sooner than the lower bound; the upper one is for a node
// that can't reach the store or others.
const (
	minStartRetryAfter = 150 * time.Millisecond
	maxStartRetryAfter = time.Second
)

// startRetryAfter expects the start of the node to take as long again as it has taken so far,
// and spreads the callers over half of that. Callers have few retries: without a time, all
// those of a start of all nodes would come back at once and be refused for good.
func (h *Handler) startRetryAfter(now time.Time) time.Duration {
	d := min(max(minStartRetryAfter, now.Sub(h.startedAt)), maxStartRetryAfter)
	h.mu.Lock()
	defer h.mu.Unlock()
	return d + time.Duration(h.rng.Float64()*float64(d)/2)
}
