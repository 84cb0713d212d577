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

const (
	// maxHeadBytes holds the request line and headers; twice the 8 KiB that
	// common servers take.
	maxHeadBytes = 16 << 10
	// usualHead is the buffer that a connection begins with, and goes on with
	// until a head does not fit in. Callers open a connection for each try, and
	// the longest head for each would be much of a small node's memory.
	usualHead = 2 << 10
	// headTimeout is for a head to come whole once it has begun; ample for a
	// client 150 ms away that loses a packet twice.
	headTimeout = 5 * time.Second
	// bodyTimeout is the longest pause inside a request body.
	bodyTimeout = 10 * time.Second
	// writeTimeout is how long a reader may take none of its answer.
	writeTimeout = 30 * time.Second
	// defaultIdle closes connections that carry nothing. It is longer than
	// clients commonly keep theirs, so that mostly the client closes.
	defaultIdle = 120 * time.Second
	// defaultMaxBody bounds one request body. Bodies are streamed, so it is no
	// matter of memory but of how long one call may hold a slot.
	defaultMaxBody = 64 << 20
	// watchPeriod is how soon a peer's leaving is noticed, at little processor time;
	// a call that its caller has left holds its slot for two periods at most.
	watchPeriod = 50 * time.Millisecond
	// lingerTimeout is how long a closed connection takes what its peer had
	// already sent. Closing with bytes unread makes the kernel send a reset,
	// which can overtake the last answer; 300 ms is twice the longest way.
	lingerTimeout = 300 * time.Millisecond
	// lingerBytes bounds what is read and dropped meanwhile.
	lingerBytes = 256 << 10
	// deafFor is how long connections that are being opened may take to open,
	// before the listener closes: several round trips inside a region.
	deafFor = 50 * time.Millisecond
	// shardCount spreads connections over locks; a power of two.
	shardCount = 16
)

// Server serves connections to one handler.
type Server struct {
	handler     http.Handler
	clk         *timer.Service
	tls         *tls.Config
	connContext func(context.Context, net.Conn) context.Context
	onFault     func(error)
	drainRefuse *Refusal
	idle        time.Duration
	head        time.Duration
	body        time.Duration
	maxBody     int64

	closing  atomic.Bool
	draining atomic.Bool
	next     atomic.Uint32
	shards   [shardCount]shard

	mu       sync.Mutex
	listener net.Listener
	cancel   context.CancelFunc
}

type shard struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	busy  map[*conn]struct{}
}

// Option sets one property of a server.
type Option func(*Server)

// WithTLS serves TLS with the given configuration.
func WithTLS(cfg *tls.Config) Option {
	return func(s *Server) {
		if cfg == nil {
			return
		}
		cfg = cfg.Clone()
		// A ticket is sent on its own after the handshake; on a pooled
		// connection it would look like an answer that nobody asked for.
		cfg.SessionTicketsDisabled = true
		s.tls = cfg
	}
}

// WithConnContext derives the context of each connection's calls.
func WithConnContext(f func(context.Context, net.Conn) context.Context) Option {
	return func(s *Server) { s.connContext = f }
}

// WithIdle sets how long a connection may carry nothing.
func WithIdle(d time.Duration) Option { return func(s *Server) { s.idle = d } }

// WithMaxBody sets the limit of one request body in bytes.
func WithMaxBody(n int64) Option { return func(s *Server) { s.maxBody = n } }

// WithFault sets what is told of handlers that panic and answers that break
// their declared length; both end the connection.
func WithFault(f func(error)) Option { return func(s *Server) { s.onFault = f } }

// WithDrainRefusal sets the answer to calls that come during a stop.
func WithDrainRefusal(r *Refusal) Option { return func(s *Server) { s.drainRefuse = r } }

// New returns a server for handler.
func New(handler http.Handler, clk *timer.Service, opts ...Option) *Server {
	s := &Server{
		handler: handler, clk: clk, idle: defaultIdle, head: headTimeout, body: bodyTimeout, maxBody: defaultMaxBody,
		connContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx },
		onFault:     func(error) {},
		drainRefuse: &Refusal{
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

// Serve takes connections from ln until Drain has ended or ctx ends, which
// cuts off what still runs, and then reports on done.
func (s *Server) Serve(ctx context.Context, ln net.Listener, done chan<- error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.listener, s.cancel = ln, cancel
	s.mu.Unlock()
	watched := make(chan error, 1)
	go s.watch(ctx, watched)
	stop := context.AfterFunc(ctx, func() { s.closeAll(ln) })
	err := s.accept(ctx, ln)
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
			// Out of descriptors: taking none for a moment lets calls end and
			// give theirs back, where a tight loop would only burn the core.
			if s.clk.Sleep(ctx, watchPeriod) != nil {
				return ctx.Err()
			}
		default:
			return &AcceptError{Err: err}
		}
	}
}

func (s *Server) start(ctx context.Context, rwc net.Conn) {
	c := newConn(s, &s.shards[s.next.Add(1)%shardCount], Quick(rwc))
	c.shard.mu.Lock()
	c.shard.conns[c] = struct{}{}
	c.shard.mu.Unlock()
	go c.run(s.connContext(ctx, rwc))
}

// Close makes each connection end with the answer that is next on it, while
// calls are served as before: a client that is told so sends its next call
// elsewhere, and none is refused or cut.
func (s *Server) Close() { s.closing.Store(true) }

// Drain refuses calls that come from now on, lets those that run end and then
// closes all connections; where ctx ends first it cuts off the rest.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	cut := s.finish(ctx)
	s.mu.Lock()
	ln, cancel := s.listener, s.cancel
	s.mu.Unlock()
	if ln != nil {
		deafen(ln)
		_ = s.clk.Sleep(ctx, deafFor)
		_ = ln.Close()
	}
	if cut == 0 {
		// Connections taken while the others ended are refused, not served.
		cut = s.finish(ctx)
	}
	if cut == 0 {
		return nil
	}
	if cancel != nil {
		cancel()
	}
	return &DrainError{Cut: cut, Err: context.Cause(ctx)}
}

// finish wakes idle connections and waits until all end, and returns how many
// had not when ctx ended.
func (s *Server) finish(ctx context.Context) int {
	left := s.connections()
	for _, c := range left {
		c.wake()
	}
	for i, c := range left {
		select {
		case <-c.done:
		case <-ctx.Done():
			return len(left) - i
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
