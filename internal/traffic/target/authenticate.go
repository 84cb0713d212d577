package target

import (
	"sync/atomic"

	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// proof remembers that a connection has proved to be of the fleet.
type proof struct{ given atomic.Bool }

type proofKey struct{}

// authenticate asks each connection once for the fleet's proof.
func (c *call) authenticate() error {
	p, ok := c.r.Context().Value(proofKey{}).(*proof)
	if ok && p.given.Load() {
		return nil
	}
	if !c.h.credential.Verify(c.r.Header.Get(hop.FleetHeader)) {
		return &StrangerError{From: c.r.RemoteAddr}
	}
	if ok {
		p.given.Store(true)
	}
	return nil
}
