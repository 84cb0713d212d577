package target

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Query parameters that control how the stand-in handles a call.
const (
	// paramSize is the length of the response body in bytes; without it the
	// request body is echoed.
	paramSize = "size"
	// paramSleep is how long the call runs, as a Go duration.
	paramSleep = "sleep"
	// paramStatus is the response status; the default is 200.
	paramStatus = "status"
	// paramDepth is the number of further calls; the target of each makes the next.
	paramDepth = "deep"
	// paramFault is the fault to inject, one of the fault constants.
	paramFault = "fault"
)

// Values of paramFault.
const (
	faultCrash    = "crash"    // the process exits before it responds
	faultTruncate = "truncate" // the connection closes after half of the declared body
	faultDrop     = "drop"     // the connection closes without a response
	faultUnframed = "unframed" // a response without length, delimited only by the end of the connection
)

// seenPrefix precedes the names of request headers that the response echoes.
// They are renamed since nodes strip their own headers from responses.
const seenPrefix = "Seen-"

// maxBodyBytes bounds the response body for paramSize and faultTruncate.
const maxBodyBytes = 64 << 20

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	if s.queueSlots != nil {
		select {
		case s.queueSlots <- struct{}{}:
			defer func() { <-s.queueSlots }()
		case <-r.Context().Done():
			return
		}
	}
	if r.Header.Get(hop.ClassHeader) == snapshot.Trial.String() {
		storeMax(&s.maxTrialRunning, s.trialRunning.Add(1))
		defer s.trialRunning.Add(-1)
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	if s.draining.Load() || s.slots > 0 && running > int64(s.slots) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	s.recordCall(r.Header.Get(hop.KeyHeader), running)
	q := r.URL.Query()
	if q.Get(paramFault) == faultCrash {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if d := s.callDuration(q.Get(paramSleep)); d > 0 {
		if s.clock.Sleep(r.Context(), d) != nil {
			return
		}
	}
	if depth, _ := strconv.Atoi(q.Get(paramDepth)); depth > 0 {
		s.chainCall(w, r, depth-1)
		return
	}
	body := s.responseBody(w, r, q.Get(paramSize))
	status, err := strconv.Atoi(q.Get(paramStatus))
	if err != nil {
		status = http.StatusOK
	}
	switch q.Get(paramFault) {
	case faultDrop:
		panic(http.ErrAbortHandler)
	case faultTruncate:
		respondTruncated(w, status, body)
	case faultUnframed:
		respondUnframed(w)
	default:
		respond(w, r, status, body)
	}
}

// storeMax sets highest to n if n is larger.
func storeMax(highest *atomic.Int64, n int64) {
	for {
		current := highest.Load()
		if n <= current || highest.CompareAndSwap(current, n) {
			return
		}
	}
}

func (s *Server) recordCall(key string, running int64) {
	storeMax(&s.maxRunning, running)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	if key != "" {
		s.runsByKey[key]++
	}
}

func (s *Server) callDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	if s.clock.Since(s.started) < s.cold {
		d = time.Duration(float64(d) * s.coldFactor)
	}
	return d + time.Duration(s.delay.Load())
}

// responseBody returns size bytes, or echoes the request body if size is not
// a number. It counts request bodies that were read to the end.
func (s *Server) responseBody(w http.ResponseWriter, r *http.Request, size string) io.Reader {
	n, err := strconv.ParseInt(size, 10, 64)
	if err != nil {
		// The echo writes the response while it reads the request. Without full
		// duplex the server would discard up to 256 KiB of the request body when
		// the response begins.
		_ = http.NewResponseController(w).EnableFullDuplex()
		return &completionCounter{r: r.Body, completed: &s.bodiesRead}
	}
	_, _ = io.Copy(io.Discard, &completionCounter{r: r.Body, completed: &s.bodiesRead})
	return io.LimitReader(endlessBody{}, min(max(n, 0), maxBodyBytes))
}

// completionCounter is a reader that increments completed when it reaches EOF.
type completionCounter struct {
	r         io.Reader
	completed *atomic.Int64
}

func (c *completionCounter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF {
		c.completed.Add(1)
	}
	return n, err
}

// endlessBody is a reader that never reaches EOF.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func respond(w http.ResponseWriter, r *http.Request, status int, body io.Reader) {
	h := w.Header()
	for _, name := range []string{hop.OrganisationHeader, hop.ClassHeader, hop.DeadlineHeader, hop.CallHeader} {
		if v := r.Header.Get(name); v != "" {
			h.Set(seenPrefix+name, v)
		}
	}
	if l, ok := body.(*io.LimitedReader); ok {
		h.Set("Content-Length", strconv.FormatInt(l.N, 10))
	} else if r.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	w.WriteHeader(status)
	_, _ = io.Copy(w, body)
}

func respondTruncated(w http.ResponseWriter, status int, body io.Reader) {
	full, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(full)))
	w.WriteHeader(status)
	_, _ = io.Copy(w, bytes.NewReader(full[:len(full)/2]))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func respondUnframed(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it")
	_ = conn.Close()
}

// chainCall repeats the call with the remaining depth and returns its response.
// If the call came through a node, which shows in its sealed call context, the next
// one goes to the next node, otherwise directly to this target.
func (s *Server) chainCall(w http.ResponseWriter, r *http.Request, depth int) {
	base, sealed := "http://"+r.Host, r.Header.Get(hop.CallHeader)
	if sealed != "" {
		s.mu.Lock()
		base = s.next
		s.mu.Unlock()
	}
	q := r.URL.Query()
	q.Set(paramDepth, strconv.Itoa(depth))
	req, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.Path+"?"+q.Encode(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.ContentLength = r.ContentLength
	if sealed != "" {
		req.Header.Set(hop.CallHeader, sealed)
	}
	if key := r.Header.Get(hop.KeyHeader); key != "" {
		req.Header.Set(hop.KeyHeader, key+"/"+strconv.Itoa(depth))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		if strings.HasPrefix(name, seenPrefix) {
			w.Header()[name] = values
		}
	}
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
