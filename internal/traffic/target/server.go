package target

import (
	"context"
	"net"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Server serves the connections of other nodes.
type Server struct {
	slots *Slots
	http  *http1.Server
}

// NewServer returns a server for h.
func NewServer(h *Handler, clk *timer.Service, opts ...http1.Option) *Server {
	withProof := func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, proofKey{}, &proof{})
	}
	opts = append([]http1.Option{http1.WithConnContext(withProof)}, opts...)
	return &Server{slots: h.slots, http: http1.New(h, clk, opts...)}
}

// Serve takes connections from ln until Drain has ended or ctx ends, and then
// reports on done.
func (s *Server) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	s.http.Serve(ctx, ln, done)
}

// Drain refuses the calls that wait or come, lets those that run end, and
// closes; the node goes on serving its own target's calls until it returns,
// since calls that run may need them.
func (s *Server) Drain(ctx context.Context) error {
	s.slots.Drain()
	return s.http.Drain(ctx)
}
