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

// Client sends calls to peers over pooled connections.
type Client struct {
	clk            *timer.Service
	tls            *tls.Config
	credential     *Credential
	expectContinue bool
	closeDelimited bool
	idleTimeout    time.Duration
	dialTimeout    time.Duration
	watchIdle      bool
	closed         atomic.Bool
	shards         [shardCount]poolShard
}

// Option configures a Client.
type Option func(*Client)

// WithTLS opens connections with the given TLS configuration, unless it is nil.
func WithTLS(cfg *tls.Config) Option { return func(c *Client) { c.tls = cfg } }

// WithCredential authenticates each connection as opened by a node of the fleet.
func WithCredential(cr *Credential) Option { return func(c *Client) { c.credential = cr } }

// ExpectContinue sends a streamed body only after a 100 (Continue) response, which a
// node sends once it has admitted the call. The body of a call that is refused before
// is still unread, so the call can be sent to another target.
func ExpectContinue() Option { return func(c *Client) { c.expectContinue = true } }

// AllowCloseDelimited accepts responses without a length, which end when the peer
// closes the connection; a reset is an error. Use it only for a peer on the same
// machine, where no network device can close the connection.
func AllowCloseDelimited() Option { return func(c *Client) { c.closeDelimited = true } }

// WithIdleTimeout sets how long an unused connection is pooled. The peer's own idle
// timeout must be longer.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WatchIdle closes pooled connections on which the peer sends unasked within half a second. A
// peer that goes on until it is closed is at work on that all the while.
func WatchIdle() Option { return func(c *Client) { c.watchIdle = true } }

// NewClient returns a client. Its Run method must be running for idle connections to
// be closed.
func NewClient(clk *timer.Service, opts ...Option) *Client {
	c := &Client{clk: clk, idleTimeout: defaultIdleTimeout, dialTimeout: defaultDialTimeout}
	for i := range c.shards {
		c.shards[i].idle = map[netip.AddrPort][]*peerConn{}
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run closes connections that exceed the idle timeout. When ctx ends, it closes all
// idle connections and sends the error of ctx to done.
func (c *Client) Run(ctx context.Context, done chan<- error) {
	period := reapPeriod
	if c.watchIdle {
		period = watchPeriod
	}
	tick := c.clk.Subscribe(period)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C():
			c.reap(now)
		case <-ctx.Done():
			c.closed.Store(true)
			c.reap(c.clk.Now().Add(2 * c.idleTimeout))
			done <- ctx.Err()
			return
		}
	}
}

// Do sends a call and returns once the headers of the response were read. The
// deadline applies to the whole call, including reading the response body. The error is
// a Failure.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, r *Request, deadline time.Time) (*Response, error) {
	if ctx.Err() != nil {
		return nil, &CancelledError{Err: context.Cause(ctx)}
	}
	if !c.clk.Now().Before(deadline) {
		return nil, &TimeoutError{To: to}
	}
	pc, err := c.acquire(ctx, to, deadline)
	if err != nil {
		return nil, c.classify(ctx, err, to, false)
	}
	_ = pc.conn.SetDeadline(deadline)
	resp := &Response{client: c, pc: pc, ctx: ctx}
	// The callback is registered after SetDeadline(deadline), which could otherwise
	// undo the callback's deadline if the call is already cancelled.
	resp.stop = context.AfterFunc(ctx, func() { _ = pc.conn.SetDeadline(pastDeadline) })
	if err := resp.exchange(r); err != nil {
		resp.abandon()
		return nil, c.classify(ctx, err, to, pc.counted.written > 0)
	}
	return resp, nil
}

// pastDeadline makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// classify turns an error of a read, a write or a dial into a Failure; sent reports
// whether any byte of the call was written.
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

// exchange sends the request and reads the headers of the response.
func (res *Response) exchange(r *Request) error {
	pc := res.pc
	pc.counted.written, pc.counted.readLimit = 0, math.MaxInt64
	pc.onPooledClose = r.onPooledClose
	pc.checked.Expect(r.method)
	token := ""
	if res.client.credential != nil && !pc.authenticated {
		token = res.client.credential.token
	}
	stream, isStream := r.body.(*Stream)
	expectContinue := isStream && res.client.expectContinue
	if err := r.writeHead(pc.bw, token, expectContinue); err != nil {
		return err
	}
	if buffered, ok := r.body.(Buffered); ok {
		_, _ = pc.bw.Write(buffered.bytes)
	}
	if err := pc.bw.Flush(); err != nil {
		return &SendError{To: pc.to, Bytes: pc.counted.written, Err: err}
	}
	pc.authenticated = true
	if isStream && !expectContinue {
		res.startBody(stream)
	}
	return res.receive(r, stream, expectContinue)
}

// receive skips interim (1xx) responses and responses to earlier calls, and accepts
// the final response to r.
func (res *Response) receive(r *Request, stream *Stream, expectContinue bool) error {
	var req *http.Request
	if r.method == http.MethodHead {
		req = headRequest
	}
	for range maxInterimHeads {
		resp, err := res.readHead(req)
		if err != nil {
			return err
		}
		switch {
		case resp.StatusCode >= 200 && !r.matches(resp):
			if err := res.discardStale(r, resp); err != nil {
				return err
			}
		case resp.StatusCode >= 200:
			return res.accept(resp, r.method)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return &BadResponseError{To: res.pc.to, Reason: "it changes the protocol unasked"}
		case resp.StatusCode == http.StatusContinue && expectContinue:
			expectContinue = false
			res.startBody(stream)
		}
	}
	return &BadResponseError{To: res.pc.to, Reason: "too many interim answers"}
}

// matches reports whether a response belongs to the request. A success must repeat the
// request's id. An error response may lack the id, since a server may refuse a call
// before its handler runs.
func (r *Request) matches(resp *http.Response) bool {
	if r.echo[0] == "" {
		return true
	}
	id := resp.Header.Get(r.echo[0])
	return id == r.echo[1] || id == "" && resp.StatusCode >= http.StatusBadRequest
}

// discardStale reads a response to an earlier call to its end. The connection is not
// reused, since a peer that sent two responses to one call may do so again.
func (res *Response) discardStale(r *Request, resp *http.Response) error {
	res.sawStale = true
	if resp.ContentLength < 0 || resp.ContentLength > maxStaleBytes || resp.Header.Get(r.echo[0]) == "" {
		return &BadResponseError{To: res.pc.to, Reason: "it belongs to another call"}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return &CutOffError{To: res.pc.to, Err: err}
	}
	return nil
}

// maxStaleBytes is the longest body of a response to an earlier call that is read and
// discarded.
const maxStaleBytes = 256 << 10

// maxInterimHeads bounds the response heads read for one call, the final one included.
const maxInterimHeads = 8

var headRequest = &http.Request{Method: http.MethodHead}

func (res *Response) readHead(req *http.Request) (*http.Response, error) {
	pc := res.pc
	pc.counted.readLimit = maxHeadBytes
	if _, err := pc.br.Peek(1); err != nil {
		if invalid := res.invalid(); invalid != nil {
			return nil, invalid
		}
		if berr := res.bodyError(); berr != nil {
			return nil, berr
		}
		return nil, &NoResponseError{To: pc.to, Err: err}
	}
	resp, err := http.ReadResponse(pc.br, req)
	if err != nil {
		if invalid := res.invalid(); invalid != nil {
			return nil, invalid
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		return nil, &BadResponseError{To: pc.to, Reason: err.Error()}
	}
	pc.counted.readLimit = math.MaxInt64
	return resp, nil
}

// invalid returns the failure of a response that isn't one of the protocol, or nil.
func (res *Response) invalid() error {
	if invalid := res.pc.checked.Invalid(); invalid != nil {
		return &BadResponseError{To: res.pc.to, Reason: invalid.Reason}
	}
	return nil
}

// accept takes the final response. A response that ends with the connection is
// rejected unless the client allows it.
func (res *Response) accept(resp *http.Response, method string) error {
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	if !bodyless && resp.ContentLength < 0 && !chunked {
		if res.client.closeDelimited {
			res.closeDelimited = true
			res.resp = resp
			return nil
		}
		return &BadResponseError{To: res.pc.to, Reason: "its body has neither a length nor chunks, so its end can't be told from a crash"}
	}
	res.resp = resp
	res.pc.idleTimeout = statedIdleTimeout(resp.Header, res.client.idleTimeout)
	res.load = resp.Header.Get(LoadHeader)
	res.version, _ = strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if bodyless || resp.ContentLength == 0 {
		res.finish()
	}
	return nil
}
