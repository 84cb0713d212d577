package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	// Range and precision of the latency histogram; latencies outside the range
	// are clamped.
	minLatencyMicros, maxLatencyMicros = 1, 120_000_000
	significantDigits                  = 3
	// maxOutstanding bounds the calls in flight, so that a hanging target does not
	// exhaust memory and file descriptors. Calls beyond it count as "not-sent".
	maxOutstanding = 3_000
	// maxBodyBytes bounds how much of a response body is read.
	maxBodyBytes = 64 << 20
)

// Call describes one call to make.
type Call struct {
	URL, Method, APIKey string
	// IdempotencyKey is optional.
	IdempotencyKey string
	// Class is the optional value of the class header, for targets that are called
	// without a node.
	Class string
	Body  string
}

// Result counts the calls of one run and records their latency.
type Result struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	calls     int
	ok        int
	failed    map[string]int
}

func newResult() *Result {
	return &Result{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), failed: map[string]int{}}
}

// Calls returns the number of calls, including those not sent.
func (r *Result) Calls() int { return r.calls }

// OK returns the number of calls with a complete response and a status below 400.
func (r *Result) OK() int { return r.ok }

// Failed returns the number of failed calls by the error type of the response,
// or else by the generator's own type of failure.
func (r *Result) Failed() map[string]int { return r.failed }

// FailedTotal returns the number of failed calls, including those not sent.
func (r *Result) FailedTotal() int { return r.calls - r.ok }

// QuantileMS returns the latency of the successful calls in milliseconds at the
// quantile q, given in percent.
func (r *Result) QuantileMS(q float64) float64 {
	return float64(r.histogram.ValueAtQuantile(q)) / 1000
}

// Merge adds the calls of other to r.
func (r *Result) Merge(other *Result) {
	r.histogram.Merge(other.histogram)
	r.calls += other.calls
	r.ok += other.ok
	for k, n := range other.failed {
		r.failed[k] += n
	}
}

// CallResult is the result of one call.
type CallResult struct {
	Call   Call
	Status int
	// FailureType is empty if the call succeeded.
	FailureType string
	// BodyBytes is the number of bytes read of the response body.
	BodyBytes int
	// Outcome is the response's Banyanlug-Outcome header, which reports whether
	// the call ran.
	Outcome string
}

// Generator makes calls at a fixed rate.
type Generator struct {
	clock      *timer.Service
	client     *http.Client
	onCallDone func(CallResult)
}

// Option configures a Generator.
type Option func(*Generator)

// OnCallDone sets a function that is called after each completed call, concurrently
// from several goroutines. Calls that were not sent are left out.
func OnCallDone(f func(CallResult)) Option { return func(g *Generator) { g.onCallDone = f } }

// New returns a Generator; call Close when done with it.
func New(clock *timer.Service, opts ...Option) *Generator {
	d := &net.Dialer{Timeout: 5 * time.Second}
	g := &Generator{
		clock: clock, onCallDone: func(CallResult) {},
		client: &http.Client{Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true,
		}},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Close closes idle connections.
func (g *Generator) Close() { g.client.CloseIdleConnections() }

// Run starts rate calls a second for the duration and then waits for the
// responses. It stops starting calls when ctx ends. next returns the nth call.
// Latency counts from a call's scheduled time, so that a generator that falls
// behind does not hide waiting time (coordinated omission).
func (g *Generator) Run(ctx context.Context, rate float64, duration time.Duration, next func(n int) Call) *Result {
	res := newResult()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
	start := g.clock.Now()
	total := int(rate * duration.Seconds())
	for n := range total {
		scheduled := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := scheduled.Sub(g.clock.Now()); wait > 0 && g.clock.Sleep(ctx, wait) != nil {
			break
		}
		c := next(n)
		select {
		case slots <- struct{}{}:
		default:
			res.add(g.clock.Since(scheduled), CallResult{Call: c, FailureType: "not-sent"})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			result := g.do(ctx, c)
			res.add(g.clock.Since(scheduled), result)
			g.onCallDone(result)
		})
	}
	wg.Wait()
	return res
}

func (r *Result) add(latency time.Duration, result CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if result.FailureType != "" {
		r.failed[result.FailureType]++
		return
	}
	r.ok++
	// RecordValue fails only on values out of range; this one is clamped.
	_ = r.histogram.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (g *Generator) do(ctx context.Context, c Call) CallResult {
	result := CallResult{Call: c}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		result.FailureType = "bad-call"
		return result
	}
	if c.APIKey != "" {
		req.Header.Set("Authorization", "Bearer "+c.APIKey)
	}
	if c.Class != "" {
		req.Header.Set("Banyanlug-Class", c.Class)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		result.FailureType = transportErrorType(err)
		return result
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	result.Status, result.Outcome, result.BodyBytes = resp.StatusCode, resp.Header.Get("Banyanlug-Outcome"), len(b)
	switch {
	case err != nil:
		result.FailureType = "truncated"
	case resp.StatusCode >= http.StatusBadRequest:
		result.FailureType = responseErrorType(b)
	}
	return result
}

func transportErrorType(err error) string {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return "no-connection"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection-lost"
	default:
		return "transport"
	}
}

// responseErrorType returns the error type in the body of a node's response, or
// "target-error" for any other body.
func responseErrorType(b []byte) string {
	var m struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &m) == nil && m.Error.Type != "" {
		return m.Error.Type
	}
	return "target-error"
}
