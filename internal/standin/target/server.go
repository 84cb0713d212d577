package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// Server is a stand-in target. Its methods may be called concurrently.
type Server struct {
	clock   *timer.Service
	started time.Time
	http    *http.Server

	slots      int
	cold       time.Duration
	coldFactor float64
	lag        time.Duration
	health     Health
	crash      func()
	client     *http.Client

	running         atomic.Int64
	maxRunning      atomic.Int64
	trialRunning    atomic.Int64
	maxTrialRunning atomic.Int64
	queueSlots      chan struct{}
	bodiesRead      atomic.Int64
	draining        atomic.Bool
	delay           atomic.Int64

	mu        sync.Mutex
	next      string
	runsByKey map[string]int
	totalRuns int
	history   []healthState
}

// Health selects the state that the health and load endpoints report.
type Health uint8

// The kinds of health endpoint.
const (
	// Honest reports the current state.
	Honest Health = iota
	// Lagging reports the state of some time ago.
	Lagging
	// Lying always reports ready and idle.
	Lying
)

type healthState struct {
	at    time.Time
	ready bool
	busy  int64
}

// Option configures a Server.
type Option func(*Server)

// Slots sets how many calls run at once; calls beyond that are shed with status
// 503. 0 means no limit.
func Slots(n int) Option { return func(s *Server) { s.slots = n } }

// ColdStart sets a cold start: for d after New the target is not ready and calls
// sleep factor times as long.
func ColdStart(d time.Duration, factor float64) Option {
	return func(s *Server) { s.cold, s.coldFactor = d, factor }
}

// WithHealth sets what the health endpoint reports; lag is how old the state of
// a Lagging endpoint is.
func WithHealth(h Health, lag time.Duration) Option {
	return func(s *Server) { s.health, s.lag = h, lag }
}

// QueueBeyondSlots queues calls beyond the slots in order of arrival, as a target
// without a node does, instead of shedding them. It must come after Slots.
func QueueBeyondSlots() Option {
	return func(s *Server) { s.queueSlots = make(chan struct{}, max(s.slots, 1)) }
}

// OnCrash sets the function that the crash fault calls. The default closes the
// server; for a target in its own process it must exit the process.
func OnCrash(f func()) Option { return func(s *Server) { s.crash = f } }

// NextNode sets the URL of the node that chained calls are sent to.
func NextNode(url string) Option { return func(s *Server) { s.next = url } }

// crashCode is the exit code of the process after the crash fault.
const crashCode = 70

func exit() { os.Exit(crashCode) }

// New returns a Server; Serve makes it accept connections.
func New(clock *timer.Service, opts ...Option) *Server {
	s := &Server{clock: clock, started: clock.Now(), runsByKey: map[string]int{}, coldFactor: 1}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s.crash = func() { _ = s.http.Close() }
	for _, opt := range opts {
		opt(s)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Serve accepts connections until Close or Shutdown, and then sends the error of
// http.Server.Serve to done.
func (s *Server) Serve(ln net.Listener, done chan<- error) { done <- s.http.Serve(ln) }

// Close closes all connections at once, as a crash does.
func (s *Server) Close() error {
	s.client.CloseIdleConnections()
	return s.http.Close()
}

// Shutdown refuses new connections and waits for running calls.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Drain makes the target report not ready and shed all new calls.
func (s *Server) Drain() { s.draining.Store(true) }

// SetDelay sets a delay that is added to each new call.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetNextNode changes the URL of the node that chained calls are sent to.
func (s *Server) SetNextNode(url string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = url
}

// Runs returns the number of calls that ran, by idempotency key; calls without a
// key are left out.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runsByKey))
	for k, n := range s.runsByKey {
		out[k] = n
	}
	return out
}

// Total returns the number of calls that ran, with or without a key; shed calls
// don't count.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// Running returns the number of running calls.
func (s *Server) Running() int64 { return s.running.Load() }

// BodiesRead returns the number of request bodies that were read to the end.
func (s *Server) BodiesRead() int64 { return s.bodiesRead.Load() }

// MaxRunning returns the highest number of calls that ran at once.
func (s *Server) MaxRunning() int64 { return s.maxRunning.Load() }

// MaxTrialRunning returns the highest number of concurrent calls of trial
// organisations, including calls that were shed.
func (s *Server) MaxTrialRunning() int64 { return s.maxTrialRunning.Load() }

// ServeHTTP serves the health endpoints, the control endpoints under /standin/,
// and calls on all other paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/runs":
		writeJSON(w, http.StatusOK, s.Runs())
	case "/standin/drain":
		s.Drain()
		writeJSON(w, http.StatusOK, struct{}{})
	case "/standin/slow":
		d, _ := time.ParseDuration(r.URL.Query().Get("by"))
		s.SetDelay(d)
		writeJSON(w, http.StatusOK, struct{}{})
	case "/standin/next":
		s.SetNextNode(r.URL.Query().Get("url"))
		writeJSON(w, http.StatusOK, struct{}{})
	case "/healthz", "/readyz", "/load":
		s.serveHealth(w)
	default:
		s.call(w, r)
	}
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	reported := s.reportedHealth()
	status := http.StatusOK
	if !reported.ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready bool  `json:"ready"`
		Busy  int64 `json:"busy"`
		Slots int   `json:"slots"`
	}{reported.ready, reported.busy, s.slots})
}

func (s *Server) reportedHealth() healthState {
	now := s.clock.Now()
	actual := healthState{at: now, ready: !s.draining.Load() && now.Sub(s.started) >= s.cold, busy: s.running.Load()}
	switch s.health {
	case Lying:
		return healthState{at: now, ready: true}
	case Lagging:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.history = append(s.history, actual)
		for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.lag {
			s.history = s.history[1:]
		}
		return s.history[0]
	default:
		return actual
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
