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
	// The histogram's range in microseconds, and its digits.
	lowestMicros, highestMicros = 1, 120_000_000
	digits                      = 3
	// maxOutstanding bounds the calls that wait at once, so that a target which
	// hangs does not take the machine's memory and descriptors; what comes
	// beyond it is counted as not sent.
	maxOutstanding = 3_000
	// maxRead bounds the answer that is read of one call.
	maxRead = 64 << 20
)

// Call is what one call asks.
type Call struct {
	URL, Method, Key string
	// Once is the idempotency key, or "".
	Once string
	// Class tells a target without a node before it whose call this is.
	Class string
	Body  string
}

// Result is what the calls of a run got.
type Result struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	calls     int
	ok        int
	failed    map[string]int
}

func newResult() *Result {
	return &Result{histogram: hdrhistogram.New(lowestMicros, highestMicros, digits), failed: map[string]int{}}
}

// Calls returns how many calls were made.
func (r *Result) Calls() int { return r.calls }

// OK returns how many were answered with a status below 400.
func (r *Result) OK() int { return r.ok }

// Failed returns how many failed, by the type of the answer or of the failure.
func (r *Result) Failed() map[string]int { return r.failed }

// FailedTotal returns how many failed.
func (r *Result) FailedTotal() int { return r.calls - r.ok }

// QuantileMS returns a quantile, in percent, of the latency of the calls that
// succeeded, in milliseconds.
func (r *Result) QuantileMS(q float64) float64 {
	return float64(r.histogram.ValueAtQuantile(q)) / 1000
}

// Merge adds the calls of another run.
func (r *Result) Merge(other *Result) {
	r.histogram.Merge(other.histogram)
	r.calls += other.calls
	r.ok += other.ok
	for k, n := range other.failed {
		r.failed[k] += n
	}
}

// Ended is one call with what it got, for those who keep an oracle.
type Ended struct {
	Call   Call
	Status int
	// Type is why the call failed, or "".
	Type string
	// Length is how many bytes of the answer's body came.
	Length int
	// Outcome is what the answer says of whether the call ran, or "".
	Outcome string
}

// Generator makes calls.
type Generator struct {
	clock  *timer.Service
	client *http.Client
	ended  func(Ended)
}

// Option sets one property of a generator.
type Option func(*Generator)

// OnEnd tells f of each call that has ended; it is called from many goroutines.
func OnEnd(f func(Ended)) Option { return func(g *Generator) { g.ended = f } }

// New returns a generator; Close frees its connections.
func New(clock *timer.Service, opts ...Option) *Generator {
	d := &net.Dialer{Timeout: 5 * time.Second}
	g := &Generator{
		clock: clock, ended: func(Ended) {},
		client: &http.Client{Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true,
		}},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Close frees the generator's connections.
func (g *Generator) Close() { g.client.CloseIdleConnections() }

// Run makes rate calls a second for a time and waits for their answers; next
// says what the nth call asks. The latency counts from when a call was due, so
// that a generator which falls behind does not hide what callers would wait.
func (g *Generator) Run(ctx context.Context, rate float64, length time.Duration, next func(n int) Call) *Result {
	res := newResult()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
	start := g.clock.Now()
	total := int(rate * length.Seconds())
	for n := range total {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := due.Sub(g.clock.Now()); wait > 0 && g.clock.Sleep(ctx, wait) != nil {
			break
		}
		c := next(n)
		select {
		case slots <- struct{}{}:
		default:
			res.add(g.clock.Since(due), Ended{Call: c, Type: "not-sent"})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			e := g.do(ctx, c)
			res.add(g.clock.Since(due), e)
			g.ended(e)
		})
	}
	wg.Wait()
	return res
}

func (r *Result) add(took time.Duration, e Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if e.Type != "" {
		r.failed[e.Type]++
		return
	}
	r.ok++
	// The value is clamped, so the histogram takes it.
	_ = r.histogram.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
}

func (g *Generator) do(ctx context.Context, c Call) Ended {
	e := Ended{Call: c}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		e.Type = "bad-call"
		return e
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Class != "" {
		req.Header.Set("Banyanlug-Class", c.Class)
	}
	if c.Once != "" {
		req.Header.Set("Idempotency-Key", c.Once)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		e.Type = transportType(err)
		return e
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxRead))
	e.Status, e.Outcome, e.Length = resp.StatusCode, resp.Header.Get("Banyanlug-Outcome"), len(b)
	switch {
	case err != nil:
		e.Type = "truncated"
	case resp.StatusCode >= http.StatusBadRequest:
		e.Type = refusalType(b)
	}
	return e
}

func transportType(err error) string {
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

// refusalType reads the type of a refusal by a node; any other failure is the
// target's own.
func refusalType(b []byte) string {
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
