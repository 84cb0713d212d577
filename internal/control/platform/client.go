package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/wire/message"
)

// Paths and headers of the HTTP interface, shared with servers of it.
const (
	KeysPath       = "/v1/keys/"
	LeasesPath     = "/v1/leases"
	RevisionHeader = "Store-Revision"
	LeaseHeader    = "Store-Lease"
)

const (
	// defaultTimeout is the timeout of a call without WithTimeout.
	defaultTimeout = 3 * time.Second
	// maxIdleConns bounds the idle connections kept to the store.
	maxIdleConns = 16
)

// Client is a Store that uses the platform's store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	tls     *tls.Config
	token   string
	timeout time.Duration
	metrics *metrics.Set
	counter *Counter
	clock   *timer.Service
}

// Option sets one property of a client.
type Option func(*Client)

// WithTLS makes the client use TLS.
func WithTLS(cfg *tls.Config) Option { return func(c *Client) { c.tls = cfg } }

// WithToken makes the client authenticate with a bearer token.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout sets the timeout of a call; a watch may take its wait in addition.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMetrics registers the client's metrics in set.
func WithMetrics(set *metrics.Set) Option { return func(c *Client) { c.metrics = set } }

// WithClock makes the client measure the latency of calls.
func WithClock(clock *timer.Service) Option { return func(c *Client) { c.clock = clock } }

// Dial returns a client of the store at addr, which is host:port. It connects
// with the first call.
func Dial(addr string, opts ...Option) (*Client, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" {
		return nil, &AddressError{Address: addr, Reason: "is not host:port"}
	}
	c := &Client{timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	if c.metrics == nil {
		c.metrics = metrics.NewSet()
	}
	c.counter = NewCounter(c.metrics, "banyanlug_store_calls_total")
	scheme := "http"
	if c.tls != nil {
		scheme = "https"
	}
	c.base = scheme + "://" + addr
	c.http = &http.Client{
		Transport: message.Transport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.timeout}).DialContext,
			TLSClientConfig:     c.tls,
			TLSHandshakeTimeout: c.timeout,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Calls returns the number of calls made, by kind.
func (c *Client) Calls() Calls { return c.counter.Calls() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	res, err := c.call(ctx, KindGet, http.MethodGet, keyPath(key), nil, nil, c.timeout)
	if err != nil {
		return Value{}, err
	}
	return res.value(KindGet, key)
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, opts ...WriteOption) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, &TooLargeError{Key: key, Bytes: len(value), Limit: MaxValueBytes}
	}
	w := NewWrite(opts...)
	query := url.Values{"revision": {formatUint(revision)}}
	if w.lease != 0 {
		query.Set("lease", formatUint(uint64(w.lease)))
	}
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	res, err := c.call(ctx, KindCompareAndSwap, method, keyPath(key), query, value, c.timeout)
	if err != nil {
		return 0, err
	}
	switch res.status {
	case http.StatusOK:
		if res.revision == 0 {
			return 0, res.statusError(KindCompareAndSwap)
		}
		return res.revision, nil
	case http.StatusConflict:
		return 0, &ConflictError{Key: key, Want: revision, Current: res.revision}
	case http.StatusRequestEntityTooLarge:
		return 0, &TooLargeError{Key: key, Bytes: len(value), Limit: MaxValueBytes}
	case http.StatusGone:
		return 0, &LeaseExpiredError{Lease: w.lease}
	default:
		return 0, res.statusError(KindCompareAndSwap)
	}
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	res, err := c.call(ctx, KindGrant, http.MethodPost, LeasesPath, query, nil, c.timeout)
	if err != nil {
		return 0, err
	}
	if res.status != http.StatusOK || res.lease == 0 {
		return 0, res.statusError(KindGrant)
	}
	return res.lease, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.callLease(ctx, KindKeepAlive, http.MethodPut, lease)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.callLease(ctx, KindRevoke, http.MethodDelete, lease)
}

func (c *Client) callLease(ctx context.Context, kind Kind, method string, lease LeaseID) error {
	res, err := c.call(ctx, kind, method, LeasesPath+"/"+formatUint(uint64(lease)), nil, nil, c.timeout)
	if err != nil {
		return err
	}
	switch res.status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return &LeaseExpiredError{Lease: lease}
	default:
		return res.statusError(kind)
	}
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Value, error) {
	query := url.Values{"revision": {formatUint(revision)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	res, err := c.call(ctx, KindWatch, http.MethodGet, keyPath(key), query, nil, wait+c.timeout)
	if err != nil {
		return Value{}, err
	}
	if res.status == http.StatusNotModified {
		return Value{}, &UnchangedError{Key: key, Revision: revision}
	}
	return res.value(KindWatch, key)
}

// call makes one call, updates its metrics and reads the whole response.
func (c *Client) call(ctx context.Context, kind Kind, method, path string, query url.Values, body []byte, timeout time.Duration) (*response, error) {
	c.counter.Add(kind)
	var start time.Time
	if c.clock != nil {
		start = c.clock.Now()
	}
	resp, err := c.send(ctx, kind, method, path, query, body, timeout)
	// Watches are not measured, as they mostly wait.
	if c.clock != nil && kind != KindWatch {
		name := fmt.Sprintf("banyanlug_store_call_seconds{kind=%q}", kind)
		c.metrics.GetOrCreateHistogram(name).Update(c.clock.Since(start).Seconds())
	}
	if err != nil || resp.serverFailed() {
		c.metrics.GetOrCreateCounter(fmt.Sprintf("banyanlug_store_failures_total{kind=%q}", kind)).Inc()
	}
	return resp, err
}

func (c *Client) send(ctx context.Context, kind Kind, method, path string, query url.Values, body []byte, timeout time.Duration) (*response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &UnavailableError{Op: kind, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := c.base + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, requestURL, strings.NewReader(string(body)))
	if err != nil {
		return nil, &UnavailableError{Op: kind, Err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(kind, err)
	}
	defer res.Body.Close()
	if err := message.CheckEnd(res); err != nil {
		return nil, transportError(kind, err)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxValueBytes+1))
	if err != nil {
		return nil, transportError(kind, err)
	}
	return newResponse(res, data), nil
}

// transportError distinguishes a write that was never sent from one whose
// response is missing. Only after a failed dial is it certain that nothing was
// sent: net/http does not retry a PUT, POST or DELETE of which it has sent a byte.
func transportError(kind Kind, err error) error {
	var op *net.OpError
	if !kind.IsWrite() || errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Op: kind, Err: err}
	}
	return &UnknownOutcomeError{Op: kind, Err: err}
}

// response is a response of the store with its whole body.
type response struct {
	status     int
	data       []byte
	revision   uint64
	lease      LeaseID
	retryAfter time.Duration
}

func newResponse(res *http.Response, data []byte) *response {
	lease, _ := strconv.ParseUint(res.Header.Get(LeaseHeader), 10, 64)
	revision, _ := strconv.ParseUint(res.Header.Get(RevisionHeader), 10, 64)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return &response{
		status: res.StatusCode, data: data, revision: revision, lease: LeaseID(lease),
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// serverFailed reports whether the call failed on the side of the store.
func (r *response) serverFailed() bool {
	switch r.status {
	case http.StatusOK, http.StatusNotModified, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusRequestEntityTooLarge:
		return false
	default:
		return true
	}
}

func (r *response) value(kind Kind, key string) (Value, error) {
	switch {
	case r.status == http.StatusOK && r.revision != 0:
		return NewValue(key, r.data, r.revision), nil
	case r.status == http.StatusNotFound:
		return Value{}, &NotFoundError{Key: key}
	default:
		return Value{}, r.statusError(kind)
	}
}

// statusError returns the error for a status that the call does not handle
// itself. After an unexpected status, the outcome of a write is unknown.
func (r *response) statusError(kind Kind) error {
	switch r.status {
	case http.StatusServiceUnavailable:
		return &UnavailableError{Op: kind, Err: &ProtocolError{Status: r.status, Reason: "service unavailable"}}
	case http.StatusTooManyRequests:
		return &UnavailableError{Op: kind, Err: &RateLimitedError{RetryAfter: r.retryAfter}}
	case http.StatusUnauthorized, http.StatusForbidden:
		return &UnauthorizedError{Op: kind}
	}
	err := &ProtocolError{Status: r.status, Reason: "unexpected status"}
	if kind.IsWrite() {
		return &UnknownOutcomeError{Op: kind, Err: err}
	}
	return &UnavailableError{Op: kind, Err: err}
}

func keyPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return KeysPath + strings.Join(parts, "/")
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
