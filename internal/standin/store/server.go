package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/alexedwards/flow"

	"banyanlug.example/banyanlug/internal/control/platform"
)

const (
	headerTimeout   = 5 * time.Second // for a client to send its request headers
	shutdownTimeout = time.Second     // for responses in flight
)

// Server serves a store over HTTP.
type Server struct {
	store *Store
	mu    sync.Mutex
	image *Image
}

// NewServer returns a server for s.
func NewServer(s *Store) *Server { return &Server{store: s} }

// Run serves on l until ctx ends and then sends ctx's error, or the error that
// ended the server early, on done.
func (sv *Server) Run(ctx context.Context, l net.Listener, done chan<- error) {
	hs := &http.Server{
		Handler:           sv.Handler(),
		ReadHeaderTimeout: headerTimeout,
		// Pending watches end with ctx; otherwise Shutdown would wait for them.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(l) }()
	select {
	case err := <-served:
		done <- err
		return
	case <-ctx.Done():
	}
	grace, cancel := sv.store.clock.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := hs.Shutdown(grace); err != nil {
		hs.Close()
	}
	<-served
	done <- ctx.Err()
}

// Handler returns the store's HTTP API, with its fault injection, call counts
// and metrics.
func (sv *Server) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(platform.KeysPath+"...", sv.get, http.MethodGet)
	mux.HandleFunc(platform.KeysPath+"...", sv.swap, http.MethodPut, http.MethodDelete)
	mux.HandleFunc(platform.LeasesPath, sv.grant, http.MethodPost)
	mux.HandleFunc(platform.LeasesPath+"/:id", sv.lease, http.MethodPut, http.MethodDelete)
	mux.HandleFunc("/fault", sv.fault, http.MethodPost)
	mux.HandleFunc("/calls", sv.calls, http.MethodGet)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		sv.store.metrics.WritePrometheus(w)
	}, http.MethodGet)
	return mux
}

func (sv *Server) get(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	var v platform.Value
	var err error
	if q.Has("wait_ms") {
		revision, rerr := strconv.ParseUint(q.Get("revision"), 10, 64)
		ms, merr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		if rerr != nil || merr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		v, err = sv.store.Watch(r.Context(), key, revision, time.Duration(ms)*time.Millisecond)
	} else {
		v, err = sv.store.Get(r.Context(), key)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.Revision(), 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(v.Data())
}

func (sv *Server) swap(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	revision, err := strconv.ParseUint(q.Get("revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var opts []platform.WriteOption
	if id, err := strconv.ParseUint(q.Get("lease"), 10, 64); err == nil {
		opts = append(opts, platform.WithLease(platform.LeaseID(id)))
	}
	var value []byte
	if r.Method == http.MethodPut {
		value, err = io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	next, err := sv.store.CompareAndSwap(r.Context(), key, revision, value, opts...)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(next, 10))
	w.WriteHeader(http.StatusOK)
}

func (sv *Server) grant(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || ms <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := sv.store.Grant(r.Context(), time.Duration(ms)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.LeaseHeader, strconv.FormatUint(uint64(id), 10))
	w.WriteHeader(http.StatusOK)
}

func (sv *Server) lease(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		err = sv.store.KeepAlive(r.Context(), platform.LeaseID(n))
	} else {
		err = sv.store.Revoke(r.Context(), platform.LeaseID(n))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func keyOf(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(r.PathValue("..."))
	if err != nil || key == "" {
		w.WriteHeader(http.StatusBadRequest)
		return "", false
	}
	return key, true
}

// writeError maps an error of the store to the status that platform.Client
// expects.
func writeError(w http.ResponseWriter, err error) {
	var (
		notFound  *platform.NotFoundError
		conflict  *platform.ConflictError
		unchanged *platform.UnchangedError
		limited   *platform.RateLimitedError
		unknown   *platform.UnknownOutcomeError
		large     *platform.TooLargeError
		expired   *platform.LeaseExpiredError
	)
	switch {
	case errors.As(err, &notFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &conflict):
		w.Header().Set(platform.RevisionHeader, strconv.FormatUint(conflict.Current, 10))
		w.WriteHeader(http.StatusConflict)
	case errors.As(err, &unchanged):
		w.WriteHeader(http.StatusNotModified)
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
	case errors.As(err, &limited):
		w.Header().Set("Retry-After", strconv.Itoa(int(limited.RetryAfter/time.Second)))
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.As(err, &unknown):
		// Closes the connection without a response, as when one is lost.
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// FaultRequest is the body of POST /fault; absent fields change nothing.
type FaultRequest struct {
	Down            *bool    `json:"down,omitempty"`
	SlowMs          *int64   `json:"slow_ms,omitempty"`
	LoseNext        *int     `json:"lose_next,omitempty"`
	LoseShare       *float64 `json:"lose_share,omitempty"`
	Seed            uint64   `json:"seed,omitempty"`
	WritesPerSecond *float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  *float64 `json:"reads_per_second,omitempty"`
	// LoseKey limits LoseNext to writes of this key.
	LoseKey string `json:"lose_key,omitempty"`
	// DownAfter refuses every call after the lost writes of LoseKey, until Down
	// is set.
	DownAfter  bool   `json:"down_after,omitempty"`
	LapseLease uint64 `json:"lapse_lease,omitempty"`
	LapseAll   bool   `json:"lapse_all,omitempty"`
	// Image takes a backup; Rollback restores the last one. With both, the backup
	// is restored before the new one is taken.
	Image    bool `json:"image,omitempty"`
	Rollback bool `json:"rollback,omitempty"`
}

func (sv *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f FaultRequest
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if (f.WritesPerSecond == nil) != (f.ReadsPerSecond == nil) {
		http.Error(w, "writes_per_second and reads_per_second go together", http.StatusBadRequest)
		return
	}
	if !sv.applyImage(f) {
		http.Error(w, "no image to roll back to", http.StatusConflict)
		return
	}
	s := sv.store
	if f.Down != nil {
		s.SetDown(*f.Down)
		s.SetFaultPlan(nil)
	}
	if f.SlowMs != nil {
		s.SetSlow(time.Duration(*f.SlowMs) * time.Millisecond)
	}
	switch {
	case f.LoseNext != nil && f.LoseKey != "":
		s.LoseResponsesOf(f.LoseKey, *f.LoseNext, f.DownAfter)
	case f.LoseNext != nil:
		s.LoseResponses(*f.LoseNext)
	}
	if f.LoseShare != nil {
		s.LoseFraction(*f.LoseShare, f.Seed)
	}
	if f.WritesPerSecond != nil {
		s.SetRates(*f.WritesPerSecond, *f.ReadsPerSecond)
	}
	if f.LapseLease != 0 {
		s.ExpireLease(platform.LeaseID(f.LapseLease))
	}
	if f.LapseAll {
		s.ExpireAllLeases()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (sv *Server) applyImage(f FaultRequest) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if f.Rollback {
		if sv.image == nil {
			return false
		}
		sv.store.Rollback(sv.image)
	}
	if f.Image {
		sv.image = sv.store.Image()
	}
	return true
}

func (sv *Server) calls(w http.ResponseWriter, _ *http.Request) {
	n := sv.store.Calls()
	body := map[string]uint64{"total": n.Total(), "reads": n.Reads(), "writes": n.Writes()}
	for k := platform.KindGet; k <= platform.KindWatch; k++ {
		body[k.String()] = n.Of(k)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
