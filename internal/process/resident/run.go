package resident

import (
	"context"
	"net"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	// notReadyPeriod is how long a stopping node still accepts its callers' calls
	// after it has become not ready: callers stop after two failed readiness probes
	// one second apart, and a third may be under way.
	notReadyPeriod = 2500 * time.Millisecond
	// drainAnnounceLead is how long before the end of notReadyPeriod the node
	// announces to its peers that its target is draining. It is short since the
	// target can still serve until then; calls from peers that receive the
	// announcement too late are refused and retried on another target.
	drainAnnounceLead = 100 * time.Millisecond
	// shutdownReserve is the part of the shutdown grace kept for the time after the
	// last call: removal of the membership record and process exit.
	shutdownReserve = 400 * time.Millisecond
	// headTimeout bounds the reading of a request's header on the control addresses.
	headTimeout = 2 * time.Second
)

// Run serves until ctx is cancelled or a server fails, then drains and returns the
// error of the failed server, if any.
func (n *Node) Run(ctx context.Context) error {
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan error, 1)
	go n.out.Run(logging, logged)
	defer func() {
		stopLogging()
		<-logged
	}()
	n.log.Emit(event.NodeStarted, event.F("callers", n.cfg.Callers), event.F("mesh", n.cfg.Mesh),
		event.F("peers", n.cfg.Peers), event.F("failure_domain", n.cfg.Domain), event.F("pool", n.cfg.Pool))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	components := []func(context.Context, chan<- error){
		n.fleet.Run, n.tokens.Run, n.meshClient.Run, n.targetClient.Run, n.measureDelay,
		func(ctx context.Context, done chan<- error) { n.callerServer.Serve(ctx, n.listeners.callers, done) },
		func(ctx context.Context, done chan<- error) { n.targetServer.Serve(ctx, n.listeners.mesh, done) },
		func(ctx context.Context, done chan<- error) {
			serveHTTP(ctx, n.listeners.peers, n.peersHandler(), done)
		},
	}
	if n.listeners.admin != nil {
		components = append(components, func(ctx context.Context, done chan<- error) {
			serveHTTP(ctx, n.listeners.admin, n.adminHandler(), done)
		})
	}
	ended := make(chan error, len(components))
	for _, component := range components {
		go component(serving, ended)
	}
	running, err := len(components), error(nil)
	select {
	case <-ctx.Done():
	case err = <-ended:
		running--
		n.log.Emit(event.NodeFailed, event.F("error", err))
	}
	n.drain(serving)
	stopServing()
	for range running {
		<-ended
	}
	n.log.Emit(event.NodeStopped)
	return err
}

// drain stops accepting calls and waits, at most for the shutdown grace less
// shutdownReserve, until those in flight have ended.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := n.clk.WithTimeout(ctx, n.reloadable.Load().Grace-shutdownReserve)
	defer cancel()
	n.stopping.Store(true)
	n.log.Emit(event.NodeStopping)
	n.callerServer.DisableKeepAlive()
	_ = n.clk.Sleep(ctx, notReadyPeriod-drainAnnounceLead)
	n.announceDraining()
	_ = n.clk.Sleep(ctx, drainAnnounceLead)
	n.refuseCalls()
	// The servers log the calls that they cut off; shutdown continues.
	_ = n.targetServer.Drain(ctx)
	_ = n.callerServer.Drain(ctx)
}

// serveHTTP runs an HTTP server until ctx is cancelled and sends its error on done.
func serveHTTP(ctx context.Context, ln net.Listener, h http.Handler, done chan<- error) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	done <- err
}

// Serve listens on a TCP address, serves h until ctx is cancelled and sends the
// error on done.
func Serve(ctx context.Context, address string, h http.Handler, done chan<- error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		done <- err
		return
	}
	serveHTTP(ctx, ln, h, done)
}
