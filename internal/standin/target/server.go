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

// Server is a stand-in target.
type Server struct {
	clk     *timer.Service
	started time.Time
	http    *http.Server

	slots    int
	cold     time.Duration
	coldRate float64
	lag      time.Duration
	health   Health
	crash    func()
	client   *http.Client

	busy      atomic.Int64
	most      atomic.Int64
	trial     atomic.Int64
	mostTrial atomic.Int64
	waiting   chan struct{}
	whole     atomic.Int64
	draining  atomic.Bool
	slow      atomic.Int64

	mu   sync.Mutex
	next string
	runs map[string]int
	all  int
	seen []state
}

// Health says how the health and load endpoints relate to the truth.
type Health uint8

// The kinds of health endpoint.
const (
	// Honest tells the truth of now.
	Honest Health = iota
	// Lagging tells the truth of some time ago.
	Lagging
	// Lying always says ready and idle.
	Lying
)

type state struct {
	at    time.Time
	ready bool
	busy  int64
}

// Option sets one property of a target.
type Option func(*Server)

// Slots sets how many calls run at once before more are shed; 0 is no bound.
func Slots(n int) Option { return func(s *Server) { s.slots = n } }

// Cold makes calls take factor times as long during the first d.
func Cold(d time.Duration, factor float64) Option {
	return func(s *Server) { s.cold, s.coldRate = d, factor }
}

// WithHealth sets how health is told, and by how much it lags.
func WithHealth(h Health, lag time.Duration) Option {
	return func(s *Server) { s.health, s.lag = h, lag }
}

// Waits makes calls beyond the slots wait for one, in the order they came, in
// place of being shed, as a target does without a node before it.
func Waits() Option { return func(s *Server) { s.waiting = make(chan struct{}, max(s.slots, 1)) } }

// OnCrash sets what a call marked to crash the target does; it must not
// return normally in a process of its own.
func OnCrash(f func()) Option { return func(s *Server) { s.crash = f } }

// Next sets the node that calls further down go to.
func Next(url string) Option { return func(s *Server) { s.next = url } }

// crashCode is the exit code of a target that a call has crashed.
const crashCode = 70

func exit() { os.Exit(crashCode) }

// New returns a stand-in target.
func New(clk *timer.Service, opts ...Option) *Server {
	s := &Server{clk: clk, started: clk.Now(), runs: map[string]int{}, coldRate: 1}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s.crash = func() { _ = s.http.Close() }
	for _, opt := range opts {
		opt(s)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Serve serves until Close or Shutdown.
func (s *Server) Serve(ln net.Listener, done chan<- error) { done <- s.http.Serve(ln) }

// Close ends the target at once, as a crash does.
func (s *Server) Close() error {
	s.client.CloseIdleConnections()
	return s.http.Close()
}

// Shutdown refuses new connections and lets calls end.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Drain makes the target shed each new call from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// SetSlow adds d to each call from now on.
func (s *Server) SetSlow(d time.Duration) { s.slow.Store(int64(d)) }

// SetNext sets the node that calls further down go to from now on.
func (s *Server) SetNext(url string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = url
}

// Runs returns how many calls ran, by idempotency key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Total returns how many calls ran.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}

// Busy returns how many calls run now.
func (s *Server) Busy() int64 { return s.busy.Load() }

// Whole returns how many request bodies were read to their end.
func (s *Server) Whole() int64 { return s.whole.Load() }

// Most returns the most calls that ran at once.
func (s *Server) Most() int64 { return s.most.Load() }

// MostTrial returns the most calls of trial organisations that ran at once.
func (s *Server) MostTrial() int64 { return s.mostTrial.Load() }

// ServeHTTP implements http.Handler; paths under /standin/ are for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/runs":
		writeJSON(w, http.StatusOK, s.Runs())
	case "/standin/drain":
		s.Drain()
		writeJSON(w, http.StatusOK, struct{}{})
	case "/standin/slow":
		d, _ := time.ParseDuration(r.URL.Query().Get("by"))
		s.SetSlow(d)
		writeJSON(w, http.StatusOK, struct{}{})
	case "/standin/next":
		s.SetNext(r.URL.Query().Get("url"))
		writeJSON(w, http.StatusOK, struct{}{})
	case "/healthz", "/readyz", "/load":
		s.tellHealth(w)
	default:
		s.call(w, r)
	}
}

func (s *Server) tellHealth(w http.ResponseWriter) {
	told := s.told()
	status := http.StatusOK
	if !told.ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready bool  `json:"ready"`
		Busy  int64 `json:"busy"`
		Slots int   `json:"slots"`
	}{told.ready, told.busy, s.slots})
}

func (s *Server) told() state {
	now := s.clk.Now()
	truth := state{at: now, ready: !s.draining.Load() && now.Sub(s.started) >= s.cold, busy: s.busy.Load()}
	switch s.health {
	case Lying:
		return state{at: now, ready: true}
	case Lagging:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen = append(s.seen, truth)
		for len(s.seen) > 1 && now.Sub(s.seen[1].at) >= s.lag {
			s.seen = s.seen[1:]
		}
		return s.seen[0]
	default:
		return truth
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
