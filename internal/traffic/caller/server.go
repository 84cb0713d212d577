package caller

import (
	"context"
	"errors"
	"net"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Server serves the connections of callers and of the node's own target.
type Server struct {
	log  *event.Logger
	http *http1.Server
}

// NewServer returns a server for h that writes events to log.
func NewServer(h *Handler, clk *timer.Service, log *event.Logger, opts ...http1.Option) *Server {
	fault := func(err error) { log.Emit(event.AnswerFault, event.F("error", err)) }
	opts = append([]http1.Option{http1.WithFault(fault)}, opts...)
	return &Server{log: log, http: http1.New(h, clk, opts...)}
}

// Serve takes connections from ln until Drain has ended or ctx ends, and then
// reports on done.
func (s *Server) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	s.http.Serve(ctx, ln, done)
}

// Close makes each connection end with the answer that is next on it, while
// calls are served as before.
func (s *Server) Close() { s.http.Close() }

// Drain refuses the calls that come, lets those that run end, and closes. It
// comes after that of the target's server: what runs there may still call.
func (s *Server) Drain(ctx context.Context) error {
	err := s.http.Drain(ctx)
	var cut *http1.DrainError
	if errors.As(err, &cut) {
		s.log.Emit(event.StopCutOff, event.F("connections", cut.Cut))
	}
	return err
}
