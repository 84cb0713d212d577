package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// MaxHeadBytes limits the request line and headers, unless WithLimits allows more.
const MaxHeadBytes = 16 << 10

const (
	// initialBufferBytes is the read buffer of a connection until a head doesn't fit;
	// it is small because callers may open a connection for each attempt.
	initialBufferBytes = 2 << 10
	// defaultHeadTimeout is for a TLS handshake and for the rest of a head after its
	// first byte; it allows for lost packets.
	defaultHeadTimeout = 5 * time.Second
	// defaultBodyTimeout is the longest pause inside a request body.
	defaultBodyTimeout = 10 * time.Second
	// writeTimeout limits each write of a response to a client that does not read.
	writeTimeout = 30 * time.Second
	// defaultIdleTimeout is longer than the usual idle timeout of clients, so that in
	// most cases the client closes.
	defaultIdleTimeout = 120 * time.Second
	// defaultMaxBody limits a request body in bytes. Bodies are streamed, so this
	// bounds the time that a call holds a slot rather than memory.
	defaultMaxBody = 64 << 20
	// clientCheckInterval is the time between checks for disconnected clients; a call
	// holds its slot for at most two intervals after its client disconnected.
	clientCheckInterval = 50 * time.Millisecond
	// lingerTimeout is how long a closing connection waits for further bytes. Closing
	// with unread bytes makes the kernel send a reset, which can overtake the last
	// response, so it must exceed the longest network latency.
	lingerTimeout = 300 * time.Millisecond
	// maxLinger bounds the time for which a closing connection reads and drops what a
	// client goes on sending.
	maxLinger = 2 * time.Second
	// maxDiscardBytes is the longest unread body that is dropped so that its connection
	// can be reused.
	maxDiscardBytes = 256 << 10
	// pendingHandshakeWait is the time for TCP handshakes in progress before the
	// listener closes: several round trips inside a region.
	pendingHandshakeWait = 50 * time.Millisecond
	// pendingCheckInterval is the time between checks for connections that wait to be
	// accepted.
	pendingCheckInterval = 5 * time.Millisecond
	// shardCount spreads connections over several locks; a power of two.
	shardCount = 16
)

// Server serves connections to one handler.
type Server struct {
	handler      http.Handler
	clk          *timer.Service
	tls          *tls.Config
	connContext  func(context.Context, net.Conn) context.Context
	onFault      func(error)
	drainRefusal *Refusal
	idleTimeout  time.Duration
	headTimeout  time.Duration
	bodyTimeout  time.Duration
	maxBody      int64
	limits       func() Limits
	maxConns     int // 0 for any number
	stats        connStats

	keepAliveOff atomic.Bool
	draining     atomic.Bool
	nextShard    atomic.Uint32
	shards       [shardCount]shard

	mu       sync.Mutex
	listener net.Listener
	accepted chan struct{} // closed once no further connection is accepted
	cancel   context.CancelFunc
}

type shard struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	busy  map[*conn]struct{}
}

// Limits bound what clients send. Those of the server itself count where they are higher.
type Limits struct {
	// HeadBytes and BodyBytes are the sizes of the request line with the headers, and of
	// the body.
	HeadBytes int
	BodyBytes int64
	// HeadTimeout is the time for the rest of a head after its first byte, and IdleTimeout
	// that between two calls.
	HeadTimeout, IdleTimeout time.Duration
}

// Option sets one property of a server.
type Option func(*Server)

// WithLimits sets a function that returns limits, which may change while the server runs.
func WithLimits(f func() Limits) Option { return func(s *Server) { s.limits = f } }

// WithTLS serves TLS with a copy of cfg; nil means plain TCP.
func WithTLS(cfg *tls.Config) Option {
	return func(s *Server) {
		if cfg == nil {
			return
		}
		cfg = cfg.Clone()
		// A ticket arrives after the handshake; on a pooled connection it would look
		// like an unsolicited response.
		cfg.SessionTicketsDisabled = true
		s.tls = cfg
	}
}

// WithConnContext derives the context of each connection's calls.
func WithConnContext(f func(context.Context, net.Conn) context.Context) Option {
	return func(s *Server) { s.connContext = f }
}

// WithIdleTimeout sets the idle timeout of connections.
func WithIdleTimeout(d time.Duration) Option { return func(s *Server) { s.idleTimeout = d } }

// WithMaxBody sets the size limit of a request body in bytes.
func WithMaxBody(n int64) Option { return func(s *Server) { s.maxBody = n } }

// WithMaxConns bounds the connections, so that clients leave file descriptors to the rest of the
// process.
func WithMaxConns(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithFaultHandler sets a function that receives a PanicError for a handler that panics
// and a LengthError for a response whose body does not match its Content-Length.
// The connection is closed in both cases.
func WithFaultHandler(f func(error)) Option { return func(s *Server) { s.onFault = f } }

// WithDrainRefusal sets the response to calls that arrive during a drain.
func WithDrainRefusal(r *Refusal) Option { return func(s *Server) { s.drainRefusal = r } }

// New returns a server for handler.
func New(handler http.Handler, clk *timer.Service, opts ...Option) *Server {
	s := &Server{
		handler: handler, clk: clk, idleTimeout: defaultIdleTimeout, headTimeout: defaultHeadTimeout, bodyTimeout: defaultBodyTimeout, maxBody: defaultMaxBody,
		connContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx },
		onFault:     func(error) {},
		limits:      func() Limits { return Limits{} },
		drainRefusal: &Refusal{
			Status: http.StatusServiceUnavailable, Type: KindDraining,
			Message: "this node is stopping", Outcome: NotRun, RetryAfter: time.Second,
		},
	}
	for i := range s.shards {
		s.shards[i].conns = map[*conn]struct{}{}
		s.shards[i].busy = map[*conn]struct{}{}
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// headBytesBound bounds the memory that the head of one request may take.
const headBytesBound = 1 << 20

// headBytes returns the limit of a head in bytes.
func (s *Server) headBytes() int { return min(max(MaxHeadBytes, s.limits().HeadBytes), headBytesBound) }

// bodyBytes returns the limit of a body in bytes.
func (s *Server) bodyBytes() int64 { return max(s.maxBody, s.limits().BodyBytes) }

// headDeadline returns when a head must have arrived that begins now.
func (s *Server) headDeadline() time.Time {
	return s.clk.Now().Add(max(s.headTimeout, s.limits().HeadTimeout))
}

// idleDeadline returns when a connection ends that is idle from now on.
func (s *Server) idleDeadline() time.Time {
	return s.clk.Now().Add(max(s.idleTimeout, s.limits().IdleTimeout))
}

// Serve accepts connections from ln until Drain has returned or ctx ends, which
// cuts off the running calls, and then sends the result on done.
func (s *Server) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	accepted := make(chan struct{})
	s.listener, s.accepted, s.cancel = ln, accepted, cancel
	s.mu.Unlock()
	watched := make(chan error, 1)
	go s.watchClients(ctx, watched)
	stop := context.AfterFunc(ctx, func() { s.closeAll(ln) })
	err := s.accept(ctx, ln)
	close(accepted)
	if !s.draining.Load() {
		cancel()
	}
	for _, c := range s.connections() {
		<-c.done
	}
	cancel()
	stop()
	<-watched
	done <- err
}

func (s *Server) accept(ctx context.Context, ln net.Listener) error {
	for {
		rwc, err := ln.Accept()
		switch {
		case err == nil:
			s.start(ctx, rwc)
		case s.draining.Load() && errors.Is(err, net.ErrClosed):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case isTemporary(err):
			// Out of file descriptors: running calls free theirs when they end.
			if s.clk.Sleep(ctx, clientCheckInterval) != nil {
				return ctx.Err()
			}
		default:
			return &AcceptError{Err: err}
		}
	}
}

func (s *Server) start(ctx context.Context, rwc net.Conn) {
	c := newConn(s, &s.shards[s.nextShard.Add(1)%shardCount], WithRawSyscalls(rwc))
	if !s.admitConn(c) {
		c.abort()
		return
	}
	c.shard.mu.Lock()
	c.shard.conns[c] = struct{}{}
	c.shard.mu.Unlock()
	go c.serve(s.connContext(ctx, rwc))
}

// DisableKeepAlive closes each connection after its next response, so that clients
// send their next call to another server. No call is refused or cut off.
func (s *Server) DisableKeepAlive() { s.keepAliveOff.Store(true) }

// Drain refuses new calls, waits for the running ones and then closes all
// connections. If ctx ends first it cuts off the rest and returns a DrainError.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	cut := s.waitForConns(ctx)
	s.mu.Lock()
	ln, accepted, cancel := s.listener, s.accepted, s.cancel
	s.mu.Unlock()
	if ln != nil {
		dropNewConnections(ln)
		_ = s.clk.Sleep(ctx, pendingHandshakeWait)
		// The close would reset them, and their clients may have sent a call.
		for hasPending(ln) && s.clk.Sleep(ctx, pendingCheckInterval) == nil {
		}
		_ = ln.Close()
		<-accepted
	}
	if cut == 0 {
		// Also ends the connections accepted since the first wait; their calls are
		// refused, not served.
		cut = s.waitForConns(ctx)
	}
	if cut == 0 {
		return nil
	}
	if cancel != nil {
		cancel()
	}
	return &DrainError{Connections: cut, Err: context.Cause(ctx)}
}

// waitForConns ends idle connections, waits for all to end, and returns how many
// were left when ctx ended.
func (s *Server) waitForConns(ctx context.Context) int {
	conns := s.connections()
	for _, c := range conns {
		c.setDrainDeadlineIfIdle()
	}
	for i, c := range conns {
		select {
		case <-c.done:
		case <-ctx.Done():
			return len(conns) - i
		}
	}
	return 0
}

func (s *Server) closeAll(ln net.Listener) {
	_ = ln.Close()
	for _, c := range s.connections() {
		c.abort()
	}
}

func (s *Server) connections() []*conn {
	var out []*conn
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for c := range sh.conns {
			out = append(out, c)
		}
		sh.mu.Unlock()
	}
	return out
}

func isTemporary(err error) bool {
	var ne net.Error
	//lint:ignore SA1019 the only way to tell a full descriptor table from a closed listener
	return errors.As(err, &ne) && ne.Temporary()
}
