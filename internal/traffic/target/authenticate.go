package target

import (
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// connAuth records that a connection has presented the fleet's credential.
type connAuth struct{ verified atomic.Bool }

type connAuthKey struct{}

// authenticate requires the fleet's credential once per connection.
func (c *call) authenticate() error {
	if c.h.credential == nil {
		return nil
	}
	auth, ok := c.r.Context().Value(connAuthKey{}).(*connAuth)
	if ok && auth.verified.Load() {
		return nil
	}
	if !c.h.credential.Verify(c.r.Header.Get(hop.FleetHeader)) {
		c.h.logUnauthenticated(c.r.RemoteAddr)
		return &UnauthenticatedError{From: c.r.RemoteAddr}
	}
	if ok {
		auth.verified.Store(true)
	}
	return nil
}

// unauthenticatedLogInterval is the minimum time between log lines about refused peers.
const unauthenticatedLogInterval = time.Second

func (h *Handler) logUnauthenticated(from string) {
	now, last := h.clk.Now().UnixNano(), h.unauthenticatedLoggedAt.Load()
	if now-last >= int64(unauthenticatedLogInterval) && h.unauthenticatedLoggedAt.CompareAndSwap(last, now) {
		h.log.Emit(event.UnauthenticatedRefused, event.F("from", from))
	}
}
