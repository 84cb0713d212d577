package http1

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against clients whose connections take all file descriptors of the process, and against
// idle ones that keep others out.
func TestConnectionsBeyondTheBound(t *testing.T) {
	t.Parallel()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	release := make(chan struct{})
	defer close(release)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}, func(s *Server) { s.maxConns = 16 })
	serve := func(c *testClient) int {
		c.send(request)
		status, _, _ := c.readResponse(http.MethodGet)
		return status
	}
	open := func(n int) {
		t.Helper()
		for range 200 {
			if s.ConnStats().Open == n {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%+v, want %d open", s.ConnStats(), n)
	}
	idle := s.dial()
	if got := serve(idle); got != http.StatusNoContent {
		t.Errorf("the first connection: %d", got)
	}
	for range 15 {
		c := s.dial()
		c.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	open(16)
	time.Sleep(minIdle + 100*time.Millisecond)
	if got := serve(s.dial()); got != http.StatusNoContent {
		t.Errorf("a connection in place of an idle one: %d", got)
	}
	if status, _, outcome := idle.readResponse(http.MethodGet); status != http.StatusRequestTimeout || outcome != NotRun {
		t.Errorf("the idle connection: %d %v", status, outcome)
	}
	_ = idle.Close()
	open(16)
	refused := s.dial()
	refused.send(request)
	if status, _, outcome := refused.readResponse(http.MethodGet); status != http.StatusServiceUnavailable || outcome != NotRun {
		t.Errorf("a connection without an idle one: %d %v", status, outcome)
	}
	_ = refused.Close()
	open(16)
	for range 2 {
		s.dial() // refused, and waited for
	}
	open(18)
	far, err := net.Dial("tcp", s.addr)
	if err == nil {
		defer far.Close()
		_, err = far.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection far beyond the bound: %v, want a reset", err)
	}
	if got, want := s.ConnStats(), (ConnStats{Open: 18, Max: 16, Closed: 1, Refused: 4}); got.Closed != want.Closed || got.Refused != want.Refused || got.Max != want.Max {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// Guards against a bound that leaves nothing, or ignores that of the machine.
func TestMaxClientConns(t *testing.T) {
	t.Parallel()
	for sockets, want := range map[int]int{3900: 2925, 16: 12, 1: 1} {
		if got := MaxClientConns(sockets); got != want {
			t.Errorf("%d of %d sockets, want %d", got, sockets, want)
		}
	}
	limit := MaxClientConns(0)
	if got := MaxClientConns(1 << 40); limit <= 0 || got != limit {
		t.Errorf("%d by a number above the limit, %d by the limit", got, limit)
	}
}
