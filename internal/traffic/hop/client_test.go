package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer is a server that runs one script per connection, one connection at a time.
type fakePeer struct {
	t      *testing.T
	client *Client
	clk    *timer.Service
	addr   netip.AddrPort
}

// newFakePeer returns a peer whose nth connection is handled by the nth script.
func newFakePeer(t *testing.T, scripts ...func(c net.Conn, br *bufio.Reader)) *fakePeer {
	t.Helper()
	f := &fakePeer{t: t, clk: timer.New()}
	ctx, cancel := context.WithCancel(context.Background())
	ticks, reaped, served := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go f.clk.Run(ctx, ticks)
	f.client = NewClient(f.clk)
	go f.client.Run(ctx, reaped)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = netip.MustParseAddrPort(ln.Addr().String())
	go func() {
		for _, script := range scripts {
			c, err := ln.Accept()
			if err != nil {
				served <- err
				return
			}
			script(c, bufio.NewReader(c))
			_ = c.Close()
		}
		served <- nil
	}()
	t.Cleanup(func() { cancel(); _ = ln.Close(); <-served; <-reaped; <-ticks })
	return f
}

// call makes one call and reads its response to the end.
func (f *fakePeer) call(ctx context.Context, method string, body Body, timeout time.Duration) (string, error) {
	a, err := f.client.Do(ctx, f.addr, NewRequest(method, "/", "a", http.Header{}, body), f.clk.Now().Add(timeout))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

const longTimeout = 10 * time.Second

// readRequest reads a request and returns its body.
func readRequest(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// respondWith returns a script that responds to each request with the next text.
func respondWith(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for _, text := range texts {
			readRequest(br)
			_, _ = io.WriteString(c, text)
		}
	}
}

// waitForClose keeps a connection open until the client closes it.
func waitForClose(c net.Conn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) }

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Each failure of a peer must have the error type that determines the caller's refusal,
// and must report a call as sent once a byte was sent, since it may have run.
func TestFailuresHaveTypesAndReportWhetherAnythingWasSent(t *testing.T) {
	t.Parallel()
	type bad = BadResponseError
	for _, tc := range []struct {
		name   string
		script func(net.Conn, *bufio.Reader)
		want   Failure
	}{
		{"closes before it responds", respondWith(""), &NoResponseError{}},
		{"closes inside the headers", respondWith("HTTP/1.1 200 OK\r\nContent-"), &bad{}},
		{"responds in another protocol", respondWith("220 mail.example ready\r\n\r\n"), &bad{}},
		{"body shorter than its length", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), &CutOffError{}},
		{"closes before the last chunk", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), &CutOffError{}},
		{"closes inside the last chunk", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"), &CutOffError{}},
		{"neither length nor chunks", respondWith("HTTP/1.1 200 OK\r\n\r\nabc"), &bad{}},
		{"two different lengths", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), &bad{}},
		{"unrequested protocol switch", respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n"), &bad{}},
		{"too many interim responses", respondWith(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)), &bad{}},
		{"headers too long", respondWith("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes)), &bad{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFakePeer(t, tc.script)
			_, err := f.call(context.Background(), "GET", None{}, longTimeout)
			var failure Failure
			if !errors.As(err, &failure) {
				t.Fatalf("failed with %v", err)
			}
			if diff := cmp.Diff(fmt.Sprintf("%T", tc.want), fmt.Sprintf("%T", failure)); diff != "" {
				t.Error(diff)
			}
			if !failure.Sent() || RefusalOf(failure).Outcome != http1.Unknown {
				t.Error("the failure reports that nothing was sent")
			}
		})
	}
}

func TestAFailedDialCertifiesThatTheCallHasNotRun(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	_, err = f.call(context.Background(), "POST", NewBuffered([]byte("abc")), longTimeout)
	var dial *DialError
	if !errors.As(err, &dial) || dial.Sent() || RefusalOf(dial).Outcome != http1.NotRun {
		t.Errorf("failed with %v", err)
	}
}

func TestDeadlineAndCancellationEndACallThatWaits(t *testing.T) {
	t.Parallel()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tc := range []struct {
		name    string
		ctx     func(begun <-chan struct{}) context.Context
		timeout time.Duration
		want    Failure
		sent    bool
	}{
		{"deadline", func(<-chan struct{}) context.Context { return context.Background() }, 2 * time.Second, &TimeoutError{}, true},
		{"deadline already passed", func(<-chan struct{}) context.Context { return context.Background() }, 0, &TimeoutError{}, false},
		{"already cancelled", func(<-chan struct{}) context.Context { return cancelled }, longTimeout, &CancelledError{}, false},
		{"cancelled while it waits", func(begun <-chan struct{}) context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-begun; cancel() }()
			return ctx
		}, longTimeout, &CancelledError{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				close(begun)
				waitForClose(c, br)
			})
			_, err := f.call(tc.ctx(begun), "GET", None{}, tc.timeout)
			var failure Failure
			if !errors.As(err, &failure) || fmt.Sprintf("%T", failure) != fmt.Sprintf("%T", tc.want) || failure.Sent() != tc.sent {
				t.Errorf("failed with %T %v, sent %v", err, err, failure != nil && failure.Sent())
			}
		})
	}
}

// After the peer closed a pooled connection or sent unrequested bytes on it, the next
// call must use another connection and get its own response.
func TestNoCallUsesAPooledConnectionThatIsClosedOrHasUnreadData(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]string{
		"closed":                  "",
		"an unrequested response": okResponse("not yours"),
		"a request timeout":       "HTTP/1.1 408 Request Timeout\r\nBanyanlug-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
		"half a response":         "HTTP/1.1 200",
		"bytes beyond the length": "more",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			extraSent := make(chan struct{})
			f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				_, _ = io.WriteString(c, okResponse("first"))
				_, _ = io.WriteString(c, extra)
				if extra == "" {
					_ = c.Close()
				}
				close(extraSent)
				waitForClose(c, br)
			}, respondWith(okResponse("second")))
			if got, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || got != "first" {
				t.Fatalf("%q, %v", got, err)
			}
			<-extraSent
			if got, err := f.call(context.Background(), "POST", NewBuffered([]byte("x")), longTimeout); err != nil || got != "second" {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// If the peer closes a pooled connection after a call was written to it, the failure
// must report that the call may have run.
func TestACallMayHaveRunIfItsPooledConnectionCloses(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = io.WriteString(c, okResponse("first"))
		_, _ = br.Peek(1)
	})
	if _, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil {
		t.Fatal(err)
	}
	_, err := f.call(context.Background(), "POST", NewBuffered([]byte("x")), longTimeout)
	var failure Failure
	if !errors.As(err, &failure) || !failure.Sent() {
		t.Errorf("failed with %T %v", err, err)
	}
}

// A response that arrives after its call timed out must not reach the next call.
func TestALateResponseReachesNoOtherCall(t *testing.T) {
	t.Parallel()
	timedOut := make(chan struct{})
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		<-timedOut
		_, _ = io.WriteString(c, okResponse("late"))
	}, respondWith(okResponse("own")))
	if got, err := f.call(context.Background(), "GET", None{}, time.Second); err == nil {
		t.Fatalf("got %q", got)
	}
	close(timedOut)
	if got, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || got != "own" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestAnIdleConnectionIsReused(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t, respondWith(okResponse("1"), okResponse("2"), "HTTP/1.1 204 No Content\r\n\r\n", okResponse("4")))
	for _, want := range []string{"1", "2", "", "4"} {
		if got, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || got != want {
			t.Errorf("%q, %v, want %q", got, err, want)
		}
	}
}

// If a peer responds without reading the body, the call must get the response. The
// connection must not be reused: the peer would parse the rest as the next request.
func TestAnEarlyResponseEndsAStreamedBody(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, okResponse("early"))
		waitForClose(c, br)
	}, respondWith(okResponse("next")))
	r, w := io.Pipe()
	body := NewStream(r, -1, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
	if got, err := f.call(context.Background(), "POST", body, longTimeout); err != nil || got != "early" {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || got != "next" {
		t.Errorf("%q, %v", got, err)
	}
}

// If the caller disconnects inside a body, the peer must not take the partial body for a
// complete one, and the failure must be a BodyError.
func TestThePeerDetectsATruncatedRequestBody(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int64{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := make(chan error, 1)
			f := newFakePeer(t, func(_ net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err == nil {
					_, err = io.ReadAll(r.Body)
				}
				end <- err
			})
			r, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, "part")
				_ = w.CloseWithError(&http1.BodyCutOffError{Err: io.ErrUnexpectedEOF})
			}()
			_, err := f.call(context.Background(), "POST", NewStream(r, length, func() {}), longTimeout)
			var body *BodyError
			if !errors.As(err, &body) || !body.Sent() {
				t.Errorf("failed with %T %v", err, err)
			}
			if err := <-end; err == nil {
				t.Error("the peer read the partial body without an error")
			}
		})
	}
}

// If a node refuses a call before it requested the body, the body must still be
// complete, so that the call can be retried on another node.
func TestABodyThatWasNotRequestedCanBeSentToAnotherTarget(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nX-Expect: "+r.Header.Get("Expect")+"\r\n\r\n")
	}, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		b, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(c, okResponse(string(b)))
	})
	f.client.expectContinue = true
	body := NewStream(strings.NewReader("a long body"), -1, func() {})
	if got, err := f.call(context.Background(), "POST", body, longTimeout); err != nil || got != "" {
		t.Fatalf("%q, %v", got, err)
	}
	if !Replayable(body) {
		t.Fatal("the refused call consumed the body")
	}
	if got, err := f.call(context.Background(), "POST", body, longTimeout); err != nil || got != "a long body" {
		t.Errorf("%q, %v", got, err)
	}
	if Replayable(body) {
		t.Error("a body that was sent counts as replayable")
	}
}

// Guards against a call that waits until its deadline for the end of a line that is no head.
func TestBytesThatAreNoHeadEndTheCall(t *testing.T) {
	t.Parallel()
	const timeout = 2 * time.Second
	for _, tc := range []struct {
		sent  string
		early bool
	}{
		{"x", true},
		{"HTTP/2", true},
		{"\r", true},
		{"HTTP/1.1 200 OK\r\n", false},
	} {
		f := newFakePeer(t, func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, tc.sent)
			_, _ = io.Copy(io.Discard, c)
		})
		began := f.clk.Now()
		_, err := f.call(t.Context(), http.MethodGet, Buffered{}, timeout)
		var bad *BadResponseError
		early := errors.As(err, &bad) && f.clk.Since(began) < timeout
		if early != tc.early || err == nil {
			t.Errorf("%q: %v after %v", tc.sent, err, f.clk.Since(began))
		}
	}
}
