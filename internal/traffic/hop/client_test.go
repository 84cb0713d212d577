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

// fake is a peer that plays a script on each connection, one after the other.
type fake struct {
	t      *testing.T
	client *Client
	clk    *timer.Service
	addr   netip.AddrPort
}

// newFake returns a peer whose nth connection is handled by the nth script.
func newFake(t *testing.T, scripts ...func(c net.Conn, br *bufio.Reader)) *fake {
	t.Helper()
	f := &fake{t: t, clk: timer.New()}
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

// call makes one call and reads its answer to the end.
func (f *fake) call(ctx context.Context, method string, body Body, timeout time.Duration) (string, error) {
	a, err := f.client.Do(ctx, f.addr, NewRequest(method, "/", "a", http.Header{}, body), f.clk.Now().Add(timeout))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

const ample = 10 * time.Second

// take reads one whole request and returns its body.
func take(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// answering returns a script that answers each request with the next text.
func answering(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for _, text := range texts {
			take(br)
			_, _ = io.WriteString(c, text)
		}
	}
}

// hold keeps a connection open until the peer closes it.
func hold(c net.Conn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) }

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// The far side fails in some way. The failure must have the type that callers
// are answered by, and must say "sent" from the first byte that went out on,
// since from there on the call may have run.
func TestFailuresAreTypedAndTellWhetherAnythingWasSent(t *testing.T) {
	t.Parallel()
	type bad = BadAnswerError
	for _, tc := range []struct {
		name   string
		script func(net.Conn, *bufio.Reader)
		want   Failure
	}{
		{"closes before it answers", answering(""), &NoAnswerError{}},
		{"closes inside the head", answering("HTTP/1.1 200 OK\r\nContent-"), &bad{}},
		{"answers nonsense", answering("220 mail.example ready\r\n\r\n"), &bad{}},
		{"ends too soon", answering("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), &CutOffError{}},
		{"ends before the last chunk", answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), &CutOffError{}},
		{"ends inside the last chunk", answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"), &CutOffError{}},
		{"has no end but the connection's", answering("HTTP/1.1 200 OK\r\n\r\nabc"), &bad{}},
		{"states two lengths", answering("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), &bad{}},
		{"changes the protocol", answering("HTTP/1.1 101 Switching Protocols\r\n\r\n"), &bad{}},
		{"has no end of interim answers", answering(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)), &bad{}},
		{"has a head without end", answering("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswerHead)), &bad{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFake(t, tc.script)
			_, err := f.call(context.Background(), "GET", None{}, ample)
			var failure Failure
			if !errors.As(err, &failure) {
				t.Fatalf("failed with %v", err)
			}
			if diff := cmp.Diff(fmt.Sprintf("%T", tc.want), fmt.Sprintf("%T", failure)); diff != "" {
				t.Error(diff)
			}
			if !failure.Sent() || RefusalOf(failure).Outcome != http1.Unknown {
				t.Error("it says that nothing was sent")
			}
		})
	}
}

func TestNothingIsSentToAPeerThatIsNotThere(t *testing.T) {
	t.Parallel()
	f := newFake(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	_, err = f.call(context.Background(), "POST", NewWhole([]byte("abc")), ample)
	var dial *DialError
	if !errors.As(err, &dial) || dial.Sent() || RefusalOf(dial).Outcome != http1.NotRun {
		t.Errorf("failed with %v", err)
	}
}

func TestDeadlineAndCancellationEndACallThatWaits(t *testing.T) {
	t.Parallel()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tc := range []struct {
		name    string
		ctx     func(begun <-chan struct{}) context.Context
		timeout time.Duration
		want    Failure
		sent    bool
	}{
		{"deadline", func(<-chan struct{}) context.Context { return context.Background() }, 2 * time.Second, &TimeoutError{}, true},
		{"deadline already past", func(<-chan struct{}) context.Context { return context.Background() }, 0, &TimeoutError{}, false},
		{"already cancelled", func(<-chan struct{}) context.Context { return gone }, ample, &CancelledError{}, false},
		{"cancelled while it waits", func(begun <-chan struct{}) context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-begun; cancel() }()
			return ctx
		}, ample, &CancelledError{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			f := newFake(t, func(c net.Conn, br *bufio.Reader) {
				take(br)
				close(begun)
				hold(c, br)
			})
			_, err := f.call(tc.ctx(begun), "GET", None{}, tc.timeout)
			var failure Failure
			if !errors.As(err, &failure) || fmt.Sprintf("%T", failure) != fmt.Sprintf("%T", tc.want) || failure.Sent() != tc.sent {
				t.Errorf("failed with %T %v, sent %v", err, err, failure != nil && failure.Sent())
			}
		})
	}
}

// The far side does something on a pooled connection between two calls: it
// closes it, or sends an answer that nobody asked for, as a late or crossed one
// is. The next call must not use the connection, and gets its own answer.
func TestAConnectionThatIsNotQuietCarriesNoCall(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]string{
		"closed":               "",
		"an unasked answer":    ok("not yours"),
		"a goodbye":            "HTTP/1.1 408 Request Timeout\r\nBanyanlug-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
		"half an answer":       "HTTP/1.1 200",
		"more than its length": "more",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			extraSent := make(chan struct{})
			f := newFake(t, func(c net.Conn, br *bufio.Reader) {
				take(br)
				_, _ = io.WriteString(c, ok("first"))
				_, _ = io.WriteString(c, extra)
				if extra == "" {
					_ = c.Close()
				}
				close(extraSent)
				hold(c, br)
			}, answering(ok("second")))
			if got, err := f.call(context.Background(), "GET", None{}, ample); err != nil || got != "first" {
				t.Fatalf("%q, %v", got, err)
			}
			<-extraSent
			if got, err := f.call(context.Background(), "POST", NewWhole([]byte("x")), ample); err != nil || got != "second" {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// The far side closes a pooled connection at the moment a call goes out on it.
// The write has succeeded, so nobody here can know whether the call has run,
// and the failure must say so.
func TestAPooledConnectionThatClosesUnderACallProvesNothing(t *testing.T) {
	t.Parallel()
	f := newFake(t, func(c net.Conn, br *bufio.Reader) {
		take(br)
		_, _ = io.WriteString(c, ok("first"))
		_, _ = br.Peek(1)
	})
	if _, err := f.call(context.Background(), "GET", None{}, ample); err != nil {
		t.Fatal(err)
	}
	_, err := f.call(context.Background(), "POST", NewWhole([]byte("x")), ample)
	var failure Failure
	if !errors.As(err, &failure) || !failure.Sent() {
		t.Errorf("failed with %T %v", err, err)
	}
}

// An answer comes after its call has timed out. The next call must not get it.
func TestALateAnswerReachesNoOtherCall(t *testing.T) {
	t.Parallel()
	timedOut := make(chan struct{})
	f := newFake(t, func(c net.Conn, br *bufio.Reader) {
		take(br)
		<-timedOut
		_, _ = io.WriteString(c, ok("late"))
	}, answering(ok("own")))
	if got, err := f.call(context.Background(), "GET", None{}, time.Second); err == nil {
		t.Fatalf("got %q", got)
	}
	close(timedOut)
	if got, err := f.call(context.Background(), "GET", None{}, ample); err != nil || got != "own" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestAWarmConnectionIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := newFake(t, answering(ok("1"), ok("2"), "HTTP/1.1 204 No Content\r\n\r\n", ok("4")))
	for _, want := range []string{"1", "2", "", "4"} {
		if got, err := f.call(context.Background(), "GET", None{}, ample); err != nil || got != want {
			t.Errorf("%q, %v, want %q", got, err, want)
		}
	}
}

// The far side answers before it has read a long body, and reads no more. The
// call must get that answer and end, and the connection, on which the rest of
// the body would be the next call, must not be used again.
func TestAnEarlyAnswerEndsAStreamedBody(t *testing.T) {
	t.Parallel()
	f := newFake(t, func(c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, ok("early"))
		hold(c, br)
	}, answering(ok("next")))
	r, w := io.Pipe()
	body := NewStream(r, -1, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
	if got, err := f.call(context.Background(), "POST", body, ample); err != nil || got != "early" {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := f.call(context.Background(), "GET", None{}, ample); err != nil || got != "next" {
		t.Errorf("%q, %v", got, err)
	}
}

// The caller breaks off in the middle of a long body. The far side must not
// take what it has for the whole body, and the failure must name the body.
func TestABodyCutOffByItsSenderNeverLooksWhole(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int64{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := make(chan error, 1)
			f := newFake(t, func(_ net.Conn, br *bufio.Reader) {
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
			_, err := f.call(context.Background(), "POST", NewStream(r, length, func() {}), ample)
			var body *BodyError
			if !errors.As(err, &body) || !body.Sent() {
				t.Errorf("failed with %T %v", err, err)
			}
			if err := <-end; err == nil {
				t.Error("the far side took the part for the whole")
			}
		})
	}
}

// A node refuses a call with a long body before it has asked for the body. The
// body must still be whole, so that the call can go to another node.
func TestABodyThatWasNotAskedForCanBeSentElsewhere(t *testing.T) {
	t.Parallel()
	f := newFake(t, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nX-Expect: "+r.Header.Get("Expect")+"\r\n\r\n")
	}, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		b, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(c, ok(string(b)))
	})
	f.client.ask = true
	body := NewStream(strings.NewReader("a long body"), -1, func() {})
	if got, err := f.call(context.Background(), "POST", body, ample); err != nil || got != "" {
		t.Fatalf("%q, %v", got, err)
	}
	if !Replayable(body) {
		t.Fatal("the body was begun")
	}
	if got, err := f.call(context.Background(), "POST", body, ample); err != nil || got != "a long body" {
		t.Errorf("%q, %v", got, err)
	}
	if Replayable(body) {
		t.Error("a body that was sent counts as whole")
	}
}
