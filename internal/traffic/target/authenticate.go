package target

import (
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// proof remembers that a connection has proved to be of the fleet.
type proof struct{ given atomic.Bool }

type proofKey struct{}

// authenticate asks each connection once for the fleet's proof.
func (c *call) authenticate() error {
	if c.h.credential == nil {
		return nil
	}
	p, ok := c.r.Context().Value(proofKey{}).(*proof)
	if ok && p.given.Load() {
		return nil
	}
	if !c.h.credential.Verify(c.r.Header.Get(hop.FleetHeader)) {
		c.h.tellOfStranger(c.r.RemoteAddr)
		return &StrangerError{From: c.r.RemoteAddr}
	}
	if ok {
		p.given.Store(true)
	}
	return nil
}

// strangerPeriod keeps someone who tries again and again from filling the log.
const strangerPeriod = time.Second

func (h *Handler) tellOfStranger(from string) {
	now, last := h.clk.Now().UnixNano(), h.strangerAt.Load()
	if now-last >= int64(strangerPeriod) && h.strangerAt.CompareAndSwap(last, now) {
		h.log.Emit(event.StrangerRefused, event.F("from", from))
	}
}
