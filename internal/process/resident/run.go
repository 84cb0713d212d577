package resident

import (
	"context"
	"net"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	// leaveNotice is how long a stopping node goes on taking its callers' calls
	// after it has said that it is not ready: two questions a second apart go
	// unanswered before callers stay away, and one more may be on its way.
	leaveNotice = 2500 * time.Millisecond
	// leaveWord is how long before the end of that time the other nodes are told
	// to send this one's target nothing more; those that have not heard by then are
	// refused and go elsewhere. The target is well while its node stops: if it took
	// no calls for all of the notice, a small pool would be without much of its
	// slots at each planned stop.
	leaveWord = 100 * time.Millisecond
	// lastWord is kept of the time that a stop may take for what follows the
	// last call: the entry's removal and the process's end.
	lastWord = 400 * time.Millisecond
	// headTimeout bounds the head of a request to the control addresses.
	headTimeout = 2 * time.Second
)

// Run serves until ctx ends, then lets the calls in flight end and returns.
func (n *Node) Run(ctx context.Context) error {
	logging, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan error, 1)
	go n.out.Run(logging, logged)
	defer func() {
		endLog()
		<-logged
	}()
	n.log.Emit(event.NodeStarted, event.F("callers", n.cfg.Callers), event.F("mesh", n.cfg.Mesh),
		event.F("peers", n.cfg.Peers), event.F("failure_domain", n.cfg.Domain), event.F("pool", n.cfg.Pool))
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	parts := []func(context.Context, chan<- error){
		n.fleet.Run, n.hop.Run, n.local.Run,
		func(ctx context.Context, done chan<- error) { n.callers.Serve(ctx, n.listen.callers, done) },
		func(ctx context.Context, done chan<- error) { n.targets.Serve(ctx, n.listen.mesh, done) },
		func(ctx context.Context, done chan<- error) { serve(ctx, n.listen.peers, n.fleet.Handler(), done) },
	}
	if n.listen.admin != nil {
		parts = append(parts, func(ctx context.Context, done chan<- error) {
			serve(ctx, n.listen.admin, n.adminHandler(), done)
		})
	}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go part(serving, ended)
	}
	left, err := len(parts), error(nil)
	select {
	case <-ctx.Done():
	case err = <-ended:
		left--
		n.log.Emit(event.NodeFailed, event.F("error", err))
	}
	n.drain(serving)
	end()
	for range left {
		<-ended
	}
	n.log.Emit(event.NodeStopped)
	return err
}

// drain lets the calls in flight end within the grace.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := n.clk.WithTimeout(ctx, n.bounds.Load().Grace-lastWord)
	defer cancel()
	n.stopping.Store(true)
	n.log.Emit(event.NodeLeaves)
	n.callers.Close()
	_ = n.clk.Sleep(ctx, leaveNotice-leaveWord)
	n.leave()
	_ = n.clk.Sleep(ctx, leaveWord)
	n.close()
	// What a drain cut off is in the log; the stop goes on all the same.
	_ = n.targets.Drain(ctx)
	_ = n.callers.Drain(ctx)
}

// serve runs a control server until ctx ends and reports on done.
func serve(ctx context.Context, ln net.Listener, h http.Handler, done chan<- error) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	done <- err
}

// Serve runs a handler on an address until ctx ends and reports on done.
func Serve(ctx context.Context, address string, h http.Handler, done chan<- error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		done <- err
		return
	}
	serve(ctx, ln, h, done)
}
