package resident

import (
	"context"
	"net"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	// notReadyPeriod is how long a stopping node still accepts all calls of its callers
	// after it has become not ready: callers stop after two failed readiness probes
	// one second apart, and a third may be under way. It is at most half of the time
	// that the node has, so that accepted calls have the other half to end.
	notReadyPeriod = 2500 * time.Millisecond
	// drainAnnounceLead is how long before the end of notReadyPeriod the node
	// announces to its peers that its target is draining. It is short since the
	// target can still serve until then; calls from peers that receive the
	// announcement too late are refused and retried on another target.
	drainAnnounceLead = 100 * time.Millisecond
	// shutdownReserve is the part of the shutdown grace kept for the time after the
	// last call: removal of the membership record and process exit. Of a short grace it
	// is an eighth.
	shutdownReserve = 400 * time.Millisecond
	// nestedSkew is how much later than the deadline of a call a nested one may seem to
	// end, since the time for both messages is added to what its sender has left.
	nestedSkew = 500 * time.Millisecond
	// headTimeout bounds the reading of a request's header on the control addresses, and
	// requestTimeout that of a whole request on those that only answer at once.
	headTimeout    = 2 * time.Second
	requestTimeout = 2 * time.Second
	// controlIdleTimeout is how long a connection to such an address may be unused.
	controlIdleTimeout = 2 * time.Minute
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
		n.fleet.Run, n.tokens.Run, n.meshClient.Run, n.targetClient.Run, n.measureDelay, n.identifyTarget,
		func(ctx context.Context, done chan<- error) { n.callerServer.Serve(ctx, n.listeners.callers, done) },
		func(ctx context.Context, done chan<- error) { n.targetServer.Serve(ctx, n.listeners.mesh, done) },
		func(ctx context.Context, done chan<- error) {
			serveHTTP(ctx, n.listeners.peers, &http.Server{Handler: n.peersHandler()}, done)
		},
	}
	if n.listeners.admin != nil {
		components = append(components, func(ctx context.Context, done chan<- error) {
			serveHTTP(ctx, n.listeners.admin, &http.Server{Handler: n.adminHandler()}, done)
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
// shutdownReserve, until those in flight have ended. A call that is accepted meanwhile
// ends within that time too.
func (n *Node) drain(ctx context.Context) {
	closing, end := stopTimes(n.clk.Now(), n.reloadable.Load().Grace)
	ctx, cancel := n.clk.WithTimeout(ctx, end.Sub(n.clk.Now()))
	defer cancel()
	n.stopping.Store(true)
	n.drainGate.Begin(closing, end)
	n.log.Emit(event.NodeStopping)
	n.callerServer.DisableKeepAlive()
	_ = n.clk.Sleep(ctx, closing.Add(-drainAnnounceLead).Sub(n.clk.Now()))
	n.announceDraining()
	_ = n.clk.Sleep(ctx, closing.Sub(n.clk.Now()))
	n.refuseCalls()
	// The servers log the calls that they cut off; shutdown continues.
	_ = n.callerServer.DrainAfter(ctx, end, n.drainTarget)
}

// stopTimes returns when a node that has a grace time to stop refuses further calls, and
// when it cuts off the running ones.
func stopTimes(now time.Time, grace time.Duration) (closing, end time.Time) {
	left := grace - min(shutdownReserve, grace/8)
	return now.Add(min(notReadyPeriod, left/2)), now.Add(left)
}

// drainTarget waits for the calls that run at the node's target.
func (n *Node) drainTarget(ctx context.Context) error {
	err := n.targetServer.Drain(ctx)
	if err == nil {
		n.log.Emit(event.TargetDrained)
	}
	return err
}

// madeByTarget reports whether a call that runs at the node's target may have made one
// with the given deadline: a nested call's deadline is that of the call that made it.
func (n *Node) madeByTarget(deadline time.Time) bool {
	return !deadline.After(n.targetHandler.LatestDeadline().Add(nestedSkew))
}

// serveHTTP runs an HTTP server until ctx is cancelled and sends its error on done.
func serveHTTP(ctx context.Context, ln net.Listener, s *http.Server, done chan<- error) {
	s.ReadHeaderTimeout = headTimeout
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	done <- err
}

// Serve listens on a TCP address, serves h until ctx is cancelled and sends the
// error on done. A request that has not been read after 2 s is given up.
func Serve(ctx context.Context, address string, h http.Handler, done chan<- error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		done <- err
		return
	}
	serveHTTP(ctx, ln, &http.Server{Handler: h, ReadTimeout: requestTimeout, IdleTimeout: controlIdleTimeout}, done)
}
