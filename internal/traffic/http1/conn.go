package http1

import (
	"bufio"
	"bytes"
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

// conn is one connection and the goroutine that serves it.
type conn struct {
	s      *Server
	shard  *shard
	rwc    net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	remote string
	done   chan struct{}
	since  time.Time // guarded by shard.mu

	mu     sync.Mutex
	idle   bool
	fresh  bool // has carried no call yet
	cancel context.CancelCauseFunc
}

func newConn(s *Server, sh *shard, rwc net.Conn) *conn {
	return &conn{s: s, shard: sh, rwc: rwc, remote: rwc.RemoteAddr().String(), done: make(chan struct{}), fresh: true}
}

func (c *conn) run(ctx context.Context) {
	defer close(c.done)
	defer c.forget()
	defer func() { _ = c.rwc.Close() }()
	if !c.handshake(ctx) {
		return
	}
	c.br = bufio.NewReaderSize(c.rwc, usualHead)
	c.bw = bufio.NewWriter(&patientWriter{c})
	for first := true; c.await() && c.call(ctx); first = false {
		if first {
			ctx = context.WithValue(ctx, keptKey{}, true)
		}
	}
}

// keptKey marks the context of the calls on a connection that has carried one.
type keptKey struct{}

// Kept reports whether a call's connection has carried another call before it.
func Kept(ctx context.Context) bool { return ctx.Value(keptKey{}) != nil }

func (c *conn) handshake(ctx context.Context) bool {
	if c.s.tls == nil {
		return true
	}
	t := tls.Server(c.rwc, c.s.tls)
	_ = c.rwc.SetDeadline(c.s.clk.Now().Add(c.s.head))
	if t.HandshakeContext(ctx) != nil {
		return false
	}
	_ = c.rwc.SetDeadline(time.Time{})
	c.mu.Lock()
	c.rwc = t
	c.mu.Unlock()
	return true
}

// await waits for the first byte of a call and reports whether one came.
func (c *conn) await() bool {
	c.mu.Lock()
	c.idle = true
	// Drain sets its mark before it wakes idle connections, so one of the two
	// sees the other.
	until := c.s.clk.Now().Add(c.s.idle)
	if c.s.draining.Load() {
		until = c.lastCall()
	}
	_ = c.rwc.SetReadDeadline(until)
	c.mu.Unlock()

	_, err := c.br.Peek(1)

	c.mu.Lock()
	c.idle, c.fresh = false, false
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.bye()
	}
	return err == nil
}

var longAgo = time.Unix(1, 0)

// firstCall is how long a server that stops waits for the first call of a
// connection.
const firstCall = 200 * time.Millisecond

// lastCall returns until when a call may come on an idle connection of a server that
// stops. Who has just opened one is about to send a call: told only that the
// connection is closed it would try again at once, and be told the same; read and
// refused, it is told when to come back.
func (c *conn) lastCall() time.Time {
	if c.fresh {
		return c.s.clk.Now().Add(firstCall)
	}
	return longAgo
}

// wake makes an idle connection end.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.rwc.SetReadDeadline(c.lastCall())
	}
}

// bye closes an idle connection with an answer that certifies that nothing
// further runs on it.
//
// A peer that sends a call at the same moment would otherwise see only a
// closed connection, and could not tell whether its call had run. Nothing that
// comes after this answer is read as a call, so the certificate is true for it.
// 408 is the status by which clients know a connection closed for idleness.
func (c *conn) bye() {
	c.refuse(&Refusal{
		Status: http.StatusRequestTimeout, Type: KindConnectionClosed,
		Message: "this connection is closed, nothing sent on it from here on was run", Outcome: NotRun,
	})
}

// call serves one call and reports whether the connection can carry another.
func (c *conn) call(ctx context.Context) bool {
	_ = c.rwc.SetReadDeadline(c.s.clk.Now().Add(c.s.head))
	r, err := readHead(c.br)
	var short *shortBufferError
	for errors.As(err, &short) {
		c.grow()
		r, err = readHead(c.br)
	}
	if err != nil {
		c.refuseHead(err)
		return false
	}
	if c.s.draining.Load() {
		c.refuse(c.s.drainRefuse)
		return false
	}
	if r.ContentLength > c.s.maxBody {
		c.refuse(tooLarge(c.s.maxBody))
		return false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	c.enter(cancel)
	defer c.leave()

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
	a := newAnswer(c, r, body)
	if !c.handle(a, r) {
		c.abort()
		return false
	}
	if !a.keep {
		c.linger()
	}
	return a.keep
}

// handle runs the handler and reports whether its answer is whole.
func (c *conn) handle(a *answer, r *http.Request) (whole bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		whole = false
		if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			c.s.onFault(&PanicError{Value: v})
		}
	}()
	c.s.handler.ServeHTTP(a, r)
	if err := a.finish(); err != nil {
		var length *LengthError
		if errors.As(err, &length) {
			c.s.onFault(err)
		}
		return false
	}
	return true
}

// grow goes on with a buffer that holds the longest head.
func (c *conn) grow() {
	// What is buffered can be peeked at.
	begun, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(begun)), c.rwc), maxHeadBytes)
	_, _ = c.br.Peek(len(begun))
}

func (c *conn) enter(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.shard.mu.Lock()
	c.since = c.s.clk.Now()
	c.shard.busy[c] = struct{}{}
	c.shard.mu.Unlock()
}

func (c *conn) leave() {
	c.shard.mu.Lock()
	delete(c.shard.busy, c)
	c.shard.mu.Unlock()
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
}

// checkPeer cancels the call in hand if its peer has gone.
func (c *conn) checkPeer() {
	c.mu.Lock()
	rwc, cancel := c.rwc, c.cancel
	c.mu.Unlock()
	if cancel != nil && Left(rwc) {
		cancel(&PeerLeftError{Peer: c.remote})
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

// refuse answers outside a handler and closes.
func (c *conn) refuse(r *Refusal) {
	a := &answer{c: c, header: http.Header{}, proto11: true}
	Refuse(a, r)
	if a.finish() == nil {
		c.linger()
	}
}

// linger closes so that the peer can read the last answer.
func (c *conn) linger() {
	type closeWriter interface{ CloseWrite() error }
	if cw, ok := c.rwc.(closeWriter); !ok || cw.CloseWrite() != nil {
		return
	}
	_ = c.rwc.SetReadDeadline(c.s.clk.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.rwc, lingerBytes)
}

// abort closes with a reset, so that an answer cut short never looks whole,
// also not to a client that takes the end of the connection for its end.
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

func (c *conn) forget() {
	c.shard.mu.Lock()
	delete(c.shard.conns, c)
	c.shard.mu.Unlock()
}

// patientWriter gives the peer writeTimeout for each write.
type patientWriter struct{ c *conn }

func (w *patientWriter) Write(b []byte) (int, error) {
	_ = w.c.rwc.SetWriteDeadline(w.c.s.clk.Now().Add(writeTimeout))
	return w.c.rwc.Write(b)
}

func tooLarge(limit int64) *Refusal {
	return &Refusal{
		Status: http.StatusRequestEntityTooLarge, Type: "body-too-large",
		Message: (&BodyTooLargeError{Limit: limit}).Error(), Outcome: NotRun,
	}
}
