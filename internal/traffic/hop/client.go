package hop

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// Client sends calls to peers.
type Client struct {
	clk        *timer.Service
	tls        *tls.Config
	credential *Credential
	ask        bool
	// untilClosed takes answers that end with their connection.
	untilClosed bool
	idle        time.Duration
	dialWithin  time.Duration
	closed      atomic.Bool
	shards      [shardCount]peers
}

// Option sets one property of a client.
type Option func(*Client)

// WithTLS opens connections with the given configuration, if it is not nil.
func WithTLS(cfg *tls.Config) Option { return func(c *Client) { c.tls = cfg } }

// WithCredential proves the fleet on each connection.
func WithCredential(cr *Credential) Option { return func(c *Client) { c.credential = cr } }

// AskFirst makes the client send a streamed body only once the far node has
// asked for it, which it does after it has admitted the call. A call that is
// refused before can then be sent elsewhere, since its body is still whole.
func AskFirst() Option { return func(c *Client) { c.ask = true } }

// UntilClosed makes the client take answers without a length, which end with
// their connection: a reset is no end, a close is. Only for a peer on the same
// machine, where no network between can close a connection.
func UntilClosed() Option { return func(c *Client) { c.untilClosed = true } }

// WithIdle sets how long a connection that carries nothing is kept; the peer
// must keep it longer.
func WithIdle(d time.Duration) Option { return func(c *Client) { c.idle = d } }

// DialWithin sets how long a connection may take to open.
func DialWithin(d time.Duration) Option { return func(c *Client) { c.dialWithin = d } }

// NewClient returns a client.
func NewClient(clk *timer.Service, opts ...Option) *Client {
	c := &Client{clk: clk, idle: idleTimeout, dialWithin: dialTimeout}
	for i := range c.shards {
		c.shards[i].idle = map[netip.AddrPort][]*link{}
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run closes connections that are no longer used until ctx ends, then all
// idle ones, and reports on done.
func (c *Client) Run(ctx context.Context, done chan<- error) {
	tick := c.clk.Subscribe(reapPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C():
			c.reap(now)
		case <-ctx.Done():
			c.closed.Store(true)
			c.reap(c.clk.Now().Add(2 * c.idle))
			done <- ctx.Err()
			return
		}
	}
}

// Do sends a call and returns the answer once its head is there; until is the
// call's deadline, also for the answer's body. The error is a Failure.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, r *Request, until time.Time) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, &CancelledError{Err: context.Cause(ctx)}
	}
	if !c.clk.Now().Before(until) {
		return nil, &TimeoutError{To: to}
	}
	l, err := c.take(ctx, to, until)
	if err != nil {
		return nil, c.classify(ctx, err, to, false)
	}
	_ = l.conn.SetDeadline(until)
	a := &Answer{client: c, link: l, ctx: ctx}
	// Set after the deadline, so that a call that is cancelled already finds
	// the connection's deadline past and not pushed out again.
	a.stop = context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(longAgo) })
	if err := a.exchange(r); err != nil {
		a.abandon()
		return nil, c.classify(ctx, err, to, l.counter.wrote > 0)
	}
	return a, nil
}

var longAgo = time.Unix(1, 0)

// classify names the reason behind a failed read or write.
func (c *Client) classify(ctx context.Context, err error, to netip.AddrPort, sent bool) error {
	var body *BodyError
	switch {
	case errors.As(err, &body):
		return body
	case ctx.Err() != nil:
		return &CancelledError{Begun: sent, Err: context.Cause(ctx)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		var dial *DialError
		if errors.As(err, &dial) {
			return dial
		}
		return &TimeoutError{To: to, Begun: sent}
	default:
		return err
	}
}

// exchange sends the request and reads the answer's head.
func (a *Answer) exchange(r *Request) error {
	l := a.link
	l.counter.wrote, l.counter.left = 0, math.MaxInt64
	l.onDrop = r.onDrop
	proof := ""
	if a.client.credential != nil && !l.proved {
		proof = a.client.credential.token
	}
	stream, streams := r.body.(*Stream)
	ask := streams && a.client.ask
	if err := r.writeHead(l.bw, proof, ask); err != nil {
		return err
	}
	if whole, ok := r.body.(Whole); ok {
		_, _ = l.bw.Write(whole.bytes)
	}
	if err := l.bw.Flush(); err != nil {
		return &SendError{To: l.to, Bytes: l.counter.wrote, Err: err}
	}
	l.proved = true
	if streams && !ask {
		a.startBody(stream)
	}
	return a.receive(r, stream, ask)
}

// receive reads heads until the one of the final answer.
func (a *Answer) receive(r *Request, stream *Stream, ask bool) error {
	var of *http.Request
	if r.method == http.MethodHead {
		of = headRequest
	}
	for range maxInterim {
		resp, err := a.readHead(of)
		if err != nil {
			return err
		}
		switch {
		case resp.StatusCode >= 200 && !r.echoed(resp):
			if err := a.passOver(r, resp); err != nil {
				return err
			}
		case resp.StatusCode >= 200:
			return a.accept(resp, r.method)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return &BadAnswerError{To: a.link.to, Reason: "it changes the protocol unasked"}
		case resp.StatusCode == http.StatusContinue && ask:
			ask = false
			a.startBody(stream)
		}
	}
	return &BadAnswerError{To: a.link.to, Reason: "too many interim answers"}
}

// echoed reports whether an answer belongs to the request. A failure may come
// without an id, as from a process that has read no more than the head; a success
// without one belongs to nobody.
func (r *Request) echoed(resp *http.Response) bool {
	if r.echo[0] == "" {
		return true
	}
	id := resp.Header.Get(r.echo[0])
	return id == r.echo[1] || id == "" && resp.StatusCode >= http.StatusBadRequest
}

// passOver reads an answer to an earlier call to its end. The connection is not
// used again: who answers one call twice may do so once more.
func (a *Answer) passOver(r *Request, resp *http.Response) error {
	a.foreign = true
	if resp.ContentLength < 0 || resp.ContentLength > maxForeign || resp.Header.Get(r.echo[0]) == "" {
		return &BadAnswerError{To: a.link.to, Reason: "it belongs to another call"}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return &CutOffError{To: a.link.to, Err: err}
	}
	return nil
}

// maxForeign bounds the answers to earlier calls that are read past.
const maxForeign = 256 << 10

// maxInterim bounds the heads before the final one.
const maxInterim = 8

var headRequest = &http.Request{Method: http.MethodHead}

func (a *Answer) readHead(of *http.Request) (*http.Response, error) {
	l := a.link
	l.counter.left = maxAnswerHead
	if _, err := l.br.Peek(1); err != nil {
		if berr := a.bodyFailure(); berr != nil {
			return nil, berr
		}
		return nil, &NoAnswerError{To: l.to, Err: err}
	}
	resp, err := http.ReadResponse(l.br, of)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		return nil, &BadAnswerError{To: l.to, Reason: err.Error()}
	}
	l.counter.left = math.MaxInt64
	return resp, nil
}

// accept takes an answer whose end can be told from a cut connection.
func (a *Answer) accept(resp *http.Response, method string) error {
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	if !bodyless && resp.ContentLength < 0 && !chunked {
		if a.client.untilClosed {
			a.untilClosed = true
			a.resp = resp
			return nil
		}
		return &BadAnswerError{To: a.link.to, Reason: "its body has neither a length nor chunks, so its end can't be told from a crash"}
	}
	a.resp = resp
	a.load = resp.Header.Get(LoadHeader)
	a.version, _ = strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if bodyless || resp.ContentLength == 0 {
		a.end()
	}
	return nil
}
