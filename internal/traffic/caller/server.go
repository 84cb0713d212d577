package caller

import (
	"context"
	"errors"
	"net"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Server serves connections from callers and from the node's own target.
type Server struct {
	log  *event.Logger
	clk  *timer.Service
	http *http1.Server
}

// NewServer returns a server for h that writes events to log.
func NewServer(h *Handler, clk *timer.Service, log *event.Logger, opts ...http1.Option) *Server {
	fault := func(err error) { log.Emit(event.ResponseFault, event.F("error", err)) }
	opts = append([]http1.Option{http1.WithFaultHandler(fault)}, opts...)
	return &Server{log: log, clk: clk, http: http1.New(h, clk, opts...)}
}

// Serve accepts connections from ln until Drain has returned or ctx ends, and then
// sends its result on done.
func (s *Server) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	s.http.Serve(ctx, ln, done)
}

// ConnStats returns the counts of the connections.
func (s *Server) ConnStats() http1.ConnStats { return s.http.ConnStats() }

// DisableKeepAlive closes each connection after its next response. Calls are still
// served.
func (s *Server) DisableKeepAlive() { s.http.DisableKeepAlive() }

// closeTime is how long before the end of a drain all calls are refused, so that open
// connections end with a response instead of a reset.
const closeTime = 200 * time.Millisecond

// DrainAfter drains the server once drainTarget has returned, since the calls that run at
// the node's target may still make nested ones, and at the latest closeTime before end,
// when ctx ends too. It returns once both have ended.
func (s *Server) DrainAfter(ctx context.Context, end time.Time, drainTarget func(context.Context) error) error {
	drained := make(chan error, 1)
	go func() { drained <- drainTarget(ctx) }()
	last := s.clk.After(end.Add(-closeTime).Sub(s.clk.Now()))
	defer last.Stop()
	select {
	case err := <-drained:
		drained <- err
	case <-last.C():
	}
	return errors.Join(s.Drain(ctx), <-drained)
}

// Drain refuses new calls, waits for running ones until ctx ends, and closes all
// connections.
func (s *Server) Drain(ctx context.Context) error {
	err := s.http.Drain(ctx)
	var drainErr *http1.DrainError
	if errors.As(err, &drainErr) {
		s.log.Emit(event.StopTimedOut, event.F("server", "callers"), event.F("connections", drainErr.Connections))
	}
	return err
}
