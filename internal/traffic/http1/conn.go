package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// conn is one connection, served by one goroutine.
type conn struct {
	s         *Server
	shard     *shard
	rwc       net.Conn
	in        connReader
	out       deadlineWriter
	*buffers                        // nil while the connection is idle
	tryFill   func(fd uintptr) bool // c.fillOnce; a field, since a method value would be allocated for each call
	fillErr   error                 // result of fillOnce
	longHeads bool                  // a head did not fit into a small read buffer
	remote    string
	done      chan struct{}
	callStart time.Time // guarded by shard.mu

	// refused is set if the connection is one too many: its first call is refused.
	refused bool

	mu        sync.Mutex
	idle      bool
	idleFrom  time.Time
	ending    bool // an idle connection is closed for a new one
	noCallYet bool
	cancel    context.CancelCauseFunc
}

func newConn(s *Server, sh *shard, rwc net.Conn) *conn {
	c := &conn{s: s, shard: sh, rwc: rwc, remote: rwc.RemoteAddr().String(), done: make(chan struct{}), noCallYet: true}
	c.out.c, c.tryFill = c, c.fillOnce
	return c
}

func (c *conn) serve(ctx context.Context) {
	defer close(c.done)
	defer c.unregister()
	defer func() { _ = c.rwc.Close() }()
	if !c.handshake(ctx) {
		return
	}
	c.in.conn = c.rwc
	for first := true; c.awaitCall() && c.serveCall(ctx); first = false {
		if first {
			ctx = context.WithValue(ctx, reusedConnKey{}, true)
		}
	}
}

// reusedConnKey marks the context of all calls on a connection but the first.
type reusedConnKey struct{}

// OnReusedConn reports whether the call's connection has carried an earlier call.
func OnReusedConn(ctx context.Context) bool { return ctx.Value(reusedConnKey{}) != nil }

func (c *conn) handshake(ctx context.Context) bool {
	if c.s.tls == nil {
		return true
	}
	t := tls.Server(c.rwc, c.s.tls)
	_ = c.rwc.SetDeadline(c.s.headDeadline())
	if t.HandshakeContext(ctx) != nil {
		return false
	}
	_ = c.rwc.SetDeadline(time.Time{})
	c.mu.Lock()
	c.rwc = t
	c.mu.Unlock()
	return true
}

// awaitCall waits for the first byte of a call and reports whether one arrived.
func (c *conn) awaitCall() bool {
	c.mu.Lock()
	c.idle, c.idleFrom, c.ending = true, c.s.clk.Now(), false
	// Drain sets draining before setDrainDeadlineIfIdle takes c.mu, so either this load
	// sees draining or that method sees idle.
	until := c.s.idleDeadline()
	if c.refusal() != nil {
		until = c.drainDeadline()
	}
	_ = c.rwc.SetReadDeadline(until)
	c.mu.Unlock()

	err := c.awaitBytes()

	c.mu.Lock()
	c.idle, c.noCallYet = false, false
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.closeIdle()
	}
	return err == nil
}

// refusal returns what calls on the connection are refused with now, or nil.
func (c *conn) refusal() *Refusal {
	switch {
	case c.s.draining.Load():
		return c.s.drainRefusal
	case c.refused:
		return tooManyConns
	default:
		return nil
	}
}

var pastDeadline = time.Unix(1, 0)

// firstCallTimeout is how long a draining server waits for the first call on a
// connection.
const firstCallTimeout = 200 * time.Millisecond

// drainDeadline returns the read deadline of an idle connection of a draining
// server. A new connection stays open for firstCallTimeout, so that its first call
// is refused with a Retry-After: a client whose connection closes without a
// response reconnects at once.
func (c *conn) drainDeadline() time.Time {
	if c.noCallYet {
		return c.s.clk.Now().Add(firstCallTimeout)
	}
	return pastDeadline
}

// setDrainDeadlineIfIdle sets the drain deadline on an idle connection.
func (c *conn) setDrainDeadlineIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.rwc.SetReadDeadline(c.drainDeadline())
	}
}

// closeIdle closes an idle connection with a 408 response, the usual sign of an idle
// timeout.
//
// A client that sends a call at the same moment would otherwise see only a
// closed connection and couldn't tell whether its call has run. The response
// states NotRun, since nothing that arrives after it is read as a call.
func (c *conn) closeIdle() {
	c.takeBuffers()
	c.refuse(&Refusal{
		Status: http.StatusRequestTimeout, Type: KindConnectionClosed,
		Message: "this connection is closed, nothing sent on it from here on was run", Outcome: NotRun,
	})
}

// serveCall serves one call and reports whether the connection can be reused.
func (c *conn) serveCall(ctx context.Context) bool {
	_ = c.rwc.SetReadDeadline(c.s.headDeadline())
	limit := c.s.headBytes()
	r, err := readHead(c.br, limit)
	var short *shortBufferError
	for errors.As(err, &short) {
		c.growBuffer(limit)
		r, err = readHead(c.br, limit)
	}
	if err != nil {
		c.refuseHead(err)
		return false
	}
	if refusal := c.refusal(); refusal != nil {
		c.refuse(refusal)
		return false
	}
	if limit := c.s.bodyBytes(); r.ContentLength > limit {
		c.refuse(bodyTooLarge(limit))
		return false
	}
	if PeerClosed(c.rwc) {
		// The call waited here until its client left; watchClients would notice only after
		// it was passed on.
		return false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	c.beginCall(cancel)
	defer c.endCall()

	r = r.WithContext(ctx)
	r.RemoteAddr = c.remote
	if t, ok := c.rwc.(*tls.Conn); ok {
		state := t.ConnectionState()
		r.TLS = &state
	}
	body := newBody(c, r)
	if body != nil {
		r.Body = body
	}
	w := newResponse(c, r, body)
	if !c.handle(w, r) {
		c.abort()
		return false
	}
	if !w.keepAlive {
		c.linger()
	}
	return w.keepAlive
}

// handle runs the handler and reports whether the response is complete.
func (c *conn) handle(w *response, r *http.Request) (complete bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		complete = false
		if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			c.s.onFault(&PanicError{Value: v})
		}
	}()
	c.s.handler.ServeHTTP(w, r)
	if err := w.finish(); err != nil {
		var length *LengthError
		if errors.As(err, &length) {
			c.s.onFault(err)
		}
		return false
	}
	return true
}

func (c *conn) beginCall(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.shard.mu.Lock()
	c.callStart = c.s.clk.Now()
	c.shard.busy[c] = struct{}{}
	c.shard.mu.Unlock()
}

func (c *conn) endCall() {
	c.shard.mu.Lock()
	delete(c.shard.busy, c)
	c.shard.mu.Unlock()
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
}

// checkClient cancels the running call if its client has disconnected.
func (c *conn) checkClient() {
	c.mu.Lock()
	rwc, cancel := c.rwc, c.cancel
	c.mu.Unlock()
	if cancel != nil && PeerClosed(rwc) {
		cancel(&ClientDisconnectedError{Peer: c.remote})
	}
}

func (c *conn) refuseHead(err error) {
	var r *Refusal
	switch {
	case errors.As(err, &r):
		c.refuse(r)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(&Refusal{
			Status: http.StatusRequestTimeout, Type: "slow-sender",
			Message: "the head of the request did not come in time", Outcome: NotRun,
		})
	}
}

// refuse responds without a handler and closes the connection.
func (c *conn) refuse(r *Refusal) {
	w := &response{c: c, header: http.Header{}, proto11: true}
	Refuse(w, r)
	if w.finish() == nil {
		c.linger()
	}
}

// linger closes the write side and drops what the client still sends, so that the client
// can read the last response: many send the whole of a body before they read.
func (c *conn) linger() {
	type closeWriter interface{ CloseWrite() error }
	if cw, ok := c.rwc.(closeWriter); !ok || cw.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, &lingeringReader{c: c, until: c.s.clk.Now().Add(maxLinger)})
}

// lingeringReader reads from a closing connection until no byte has come for lingerTimeout.
type lingeringReader struct {
	c     *conn
	until time.Time
}

func (r *lingeringReader) Read(p []byte) (int, error) {
	now := r.c.s.clk.Now()
	if !now.Before(r.until) {
		return 0, os.ErrDeadlineExceeded
	}
	until := now.Add(lingerTimeout)
	if r.until.Before(until) {
		until = r.until
	}
	_ = r.c.rwc.SetReadDeadline(until)
	return r.c.rwc.Read(p)
}

// abort closes the connection with a reset, so that a truncated response never
// looks complete, even if its end is marked by the end of the connection.
func (c *conn) abort() {
	c.mu.Lock()
	rwc := c.rwc
	c.mu.Unlock()
	raw := rwc
	if t, ok := rwc.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if tcp, ok := raw.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

func (c *conn) unregister() {
	c.shard.mu.Lock()
	delete(c.shard.conns, c)
	c.shard.mu.Unlock()
	c.s.stats.open.Add(-1)
}

// deadlineWriter sets a deadline of writeTimeout for each write.
type deadlineWriter struct{ c *conn }

func (w *deadlineWriter) Write(b []byte) (int, error) {
	_ = w.c.rwc.SetWriteDeadline(w.c.s.clk.Now().Add(writeTimeout))
	return w.c.rwc.Write(b)
}

func bodyTooLarge(limit int64) *Refusal {
	return &Refusal{
		Status: http.StatusRequestEntityTooLarge, Type: "body-too-large",
		Message: (&BodyTooLargeError{Limit: limit}).Error(), Outcome: NotRun,
	}
}
