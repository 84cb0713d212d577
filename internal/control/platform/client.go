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
)

// The names of the HTTP form, shared with servers of it.
const (
	KeysPath       = "/v1/keys/"
	LeasesPath     = "/v1/leases"
	RevisionHeader = "Store-Revision"
	LeaseHeader    = "Store-Lease"
)

const (
	// defaultTimeout is a thousand times a usual answer; a longer wait only
	// keeps an operator from the typed error.
	defaultTimeout = 3 * time.Second
	// maxIdleConns lets a reader hold its watch and load chunks side by side.
	maxIdleConns = 16
)

// Client is the HTTP adapter to the platform's store.
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

// WithTLS makes the client speak TLS.
func WithTLS(cfg *tls.Config) Option { return func(c *Client) { c.tls = cfg } }

// WithToken makes the client send a bearer token.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout bounds each call; a watch may take its wait besides.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMetrics puts the call counters into set.
func WithMetrics(set *metrics.Set) Option { return func(c *Client) { c.metrics = set } }

// WithClock makes the client measure how long calls take.
func WithClock(clock *timer.Service) Option { return func(c *Client) { c.clock = clock } }

// Dial returns a client of the store at addr, host:port, without a call.
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
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.timeout}).DialContext,
			TLSClientConfig:     c.tls,
			TLSHandshakeTimeout: c.timeout,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Calls returns how many calls were made of each kind.
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
		return 0, &TooLargeError{Key: key, Bytes: len(value), Most: MaxValueBytes}
	}
	w := NewWrite(opts...)
	query := url.Values{"revision": {format(revision)}}
	if w.lease != 0 {
		query.Set("lease", format(uint64(w.lease)))
	}
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	res, err := c.call(ctx, KindSwap, method, keyPath(key), query, value, c.timeout)
	if err != nil {
		return 0, err
	}
	switch res.status {
	case http.StatusOK:
		if res.revision == 0 {
			return 0, res.failure(KindSwap)
		}
		return res.revision, nil
	case http.StatusConflict:
		return 0, &ConflictError{Key: key, Want: revision, Current: res.revision}
	case http.StatusRequestEntityTooLarge:
		return 0, &TooLargeError{Key: key, Bytes: len(value), Most: MaxValueBytes}
	case http.StatusGone:
		return 0, &LeaseExpiredError{Lease: w.lease}
	default:
		return 0, res.failure(KindSwap)
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
		return 0, res.failure(KindGrant)
	}
	return res.lease, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.onLease(ctx, KindKeepAlive, http.MethodPut, lease)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.onLease(ctx, KindRevoke, http.MethodDelete, lease)
}

func (c *Client) onLease(ctx context.Context, kind Kind, method string, lease LeaseID) error {
	res, err := c.call(ctx, kind, method, LeasesPath+"/"+format(uint64(lease)), nil, nil, c.timeout)
	if err != nil {
		return err
	}
	switch res.status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return &LeaseExpiredError{Lease: lease}
	default:
		return res.failure(kind)
	}
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Value, error) {
	query := url.Values{"revision": {format(revision)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	res, err := c.call(ctx, KindWatch, http.MethodGet, keyPath(key), query, nil, wait+c.timeout)
	if err != nil {
		return Value{}, err
	}
	if res.status == http.StatusNotModified {
		return Value{}, &UnchangedError{Key: key, Revision: revision}
	}
	return res.value(KindWatch, key)
}

// call makes one call, counts it and reads its whole answer.
func (c *Client) call(ctx context.Context, kind Kind, method, path string, query url.Values, body []byte, timeout time.Duration) (*answer, error) {
	c.counter.Add(kind)
	var began time.Time
	if c.clock != nil {
		began = c.clock.Now()
	}
	a, err := c.send(ctx, kind, method, path, query, body, timeout)
	// A watch takes as long as it was asked to wait.
	if c.clock != nil && kind != KindWatch {
		name := fmt.Sprintf("banyanlug_store_call_seconds{kind=%q}", kind)
		c.metrics.GetOrCreateHistogram(name).Update(c.clock.Since(began).Seconds())
	}
	if err != nil || a.failed() {
		c.metrics.GetOrCreateCounter(fmt.Sprintf("banyanlug_store_failures_total{kind=%q}", kind)).Inc()
	}
	return a, err
}

func (c *Client) send(ctx context.Context, kind Kind, method, path string, query url.Values, body []byte, timeout time.Duration) (*answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &UnavailableError{Op: kind, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(string(body)))
	if err != nil {
		return nil, &UnavailableError{Op: kind, Err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, lost(kind, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxValueBytes+1))
	if err != nil {
		return nil, lost(kind, err)
	}
	return newAnswer(res, data), nil
}

// lost tells a write that was never sent from one whose answer is missing. A
// failed dial is the only error after which no byte can have left: net/http
// repeats no PUT, POST or DELETE of which it has sent a byte.
func lost(kind Kind, err error) error {
	var op *net.OpError
	if !kind.Write() || errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Op: kind, Err: err}
	}
	return &UnknownOutcomeError{Op: kind, Err: err}
}

// answer is an answer of the service, read whole.
type answer struct {
	status     int
	data       []byte
	revision   uint64
	lease      LeaseID
	retryAfter time.Duration
}

func newAnswer(res *http.Response, data []byte) *answer {
	lease, _ := strconv.ParseUint(res.Header.Get(LeaseHeader), 10, 64)
	revision, _ := strconv.ParseUint(res.Header.Get(RevisionHeader), 10, 64)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return &answer{
		status: res.StatusCode, data: data, revision: revision, lease: LeaseID(lease),
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// failed reports whether the service, and not the call, is to blame.
func (a *answer) failed() bool {
	switch a.status {
	case http.StatusOK, http.StatusNotModified, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusRequestEntityTooLarge:
		return false
	default:
		return true
	}
}

func (a *answer) value(kind Kind, key string) (Value, error) {
	switch {
	case a.status == http.StatusOK && a.revision != 0:
		return NewValue(key, a.data, a.revision), nil
	case a.status == http.StatusNotFound:
		return Value{}, &NotFoundError{Key: key}
	default:
		return Value{}, a.failure(kind)
	}
}

// failure returns the error for an answer that is none of the call's own. A
// status that nobody promised says nothing of a write's effect.
func (a *answer) failure(kind Kind) error {
	switch a.status {
	case http.StatusServiceUnavailable:
		return &UnavailableError{Op: kind, Err: &ProtocolError{Status: a.status, Reason: "out of service"}}
	case http.StatusTooManyRequests:
		return &UnavailableError{Op: kind, Err: &RateLimitedError{RetryAfter: a.retryAfter}}
	case http.StatusUnauthorized, http.StatusForbidden:
		return &UnauthorizedError{Op: kind}
	}
	err := &ProtocolError{Status: a.status, Reason: "unexpected"}
	if kind.Write() {
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

func format(n uint64) string { return strconv.FormatUint(n, 10) }
