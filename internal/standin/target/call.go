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

// What a call can ask of the stand-in, in its query.
const (
	// askSize is the length of the answer's body; without it the body is the
	// request's.
	askSize = "size"
	// askSleep is how long the call runs.
	askSleep = "sleep"
	// askStatus is the answer's status.
	askStatus = "status"
	// askDeep is how many further calls, each made by the one before, the call
	// leads to.
	askDeep = "deep"
	// askFault is one of the faults below.
	askFault = "fault"
)

// The faults a call can ask for.
const (
	faultCrash    = "crash"    // the process ends before it answers
	faultTruncate = "truncate" // half of the declared answer, then the end
	faultDrop     = "drop"     // the connection ends without an answer
	faultUnframed = "unframed" // an answer that only the connection's end ends
)

// seen marks what the target that answers saw in its call's headers.
const seen = "Seen-"

// maxAskedSize bounds what one call can make the stand-in send.
const maxAskedSize = 64 << 20

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	if s.waiting != nil {
		select {
		case s.waiting <- struct{}{}:
			defer func() { <-s.waiting }()
		case <-r.Context().Done():
			return
		}
	}
	if r.Header.Get(hop.ClassHeader) == snapshot.Trial.String() {
		raise(&s.mostTrial, s.trial.Add(1))
		defer s.trial.Add(-1)
	}
	busy := s.busy.Add(1)
	defer s.busy.Add(-1)
	if s.draining.Load() || s.slots > 0 && busy > int64(s.slots) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	s.count(r.Header.Get(hop.KeyHeader), busy)
	q := r.URL.Query()
	if q.Get(askFault) == faultCrash {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if d := s.duration(q.Get(askSleep)); d > 0 {
		if s.clk.Sleep(r.Context(), d) != nil {
			return
		}
	}
	if deep, _ := strconv.Atoi(q.Get(askDeep)); deep > 0 {
		s.callOn(w, r, deep-1)
		return
	}
	body := s.bodyOf(w, r, q.Get(askSize))
	status, err := strconv.Atoi(q.Get(askStatus))
	if err != nil {
		status = http.StatusOK
	}
	switch q.Get(askFault) {
	case faultDrop:
		panic(http.ErrAbortHandler)
	case faultTruncate:
		truncate(w, status, body)
	case faultUnframed:
		unframed(w)
	default:
		answer(w, r, status, body)
	}
}

// raise makes a high mark at least n.
func raise(mark *atomic.Int64, n int64) {
	for {
		most := mark.Load()
		if n <= most || mark.CompareAndSwap(most, n) {
			return
		}
	}
}

func (s *Server) count(key string, busy int64) {
	raise(&s.most, busy)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all++
	if key != "" {
		s.runs[key]++
	}
}

func (s *Server) duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	if s.clk.Since(s.started) < s.cold {
		d = time.Duration(float64(d) * s.coldRate)
	}
	return d + time.Duration(s.slow.Load())
}

// bodyOf returns the body of the answer: the request's own, or one of the size
// asked for.
func (s *Server) bodyOf(w http.ResponseWriter, r *http.Request, size string) io.Reader {
	n, err := strconv.ParseInt(size, 10, 64)
	if err != nil {
		// An echo answers while it reads; without this the server would throw
		// away up to 256 KiB of the request once the answer begins.
		_ = http.NewResponseController(w).EnableFullDuplex()
		return &counted{r: r.Body, whole: &s.whole}
	}
	_, _ = io.Copy(io.Discard, &counted{r: r.Body, whole: &s.whole})
	return io.LimitReader(pattern{}, min(max(n, 0), maxAskedSize))
}

// counted counts a request body once it is read to its end.
type counted struct {
	r     io.Reader
	whole *atomic.Int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF {
		c.whole.Add(1)
	}
	return n, err
}

// pattern is an endless body.
type pattern struct{}

func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func answer(w http.ResponseWriter, r *http.Request, status int, body io.Reader) {
	h := w.Header()
	for _, name := range []string{hop.OrganisationHeader, hop.ClassHeader, hop.DeadlineHeader, hop.CallHeader} {
		// Told back under another name: nodes take theirs out of answers.
		if v := r.Header.Get(name); v != "" {
			h.Set(seen+name, v)
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

func truncate(w http.ResponseWriter, status int, body io.Reader) {
	whole, err := io.ReadAll(io.LimitReader(body, maxAskedSize))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
	w.WriteHeader(status)
	_, _ = io.Copy(w, bytes.NewReader(whole[:len(whole)/2]))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func unframed(w http.ResponseWriter) {
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

// callOn makes the same call once more, one deeper: through the node if the
// call came by one, which its sealed context tells, else to the target itself.
func (s *Server) callOn(w http.ResponseWriter, r *http.Request, deep int) {
	base, sealed := "http://"+r.Host, r.Header.Get(hop.CallHeader)
	if sealed != "" {
		s.mu.Lock()
		base = s.next
		s.mu.Unlock()
	}
	q := r.URL.Query()
	q.Set(askDeep, strconv.Itoa(deep))
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
		req.Header.Set(hop.KeyHeader, key+"/"+strconv.Itoa(deep))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		if strings.HasPrefix(name, seen) {
			w.Header()[name] = values
		}
	}
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
