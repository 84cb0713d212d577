package hop

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// A connection to an unreachable target must time out early enough for a retry on
// another target.
func TestDialDeadlineIsAtMostHalfTheTimeLeft(t *testing.T) {
	t.Parallel()
	now := time.UnixMilli(1_700_000_000_000)
	for _, c := range []struct {
		name            string
		opts            []Option
		remaining       time.Duration
		want            time.Duration
		deadlineLimited bool
	}{
		{"a call with a long deadline", nil, time.Minute, defaultDialTimeout, false},
		{"a call with one second left", nil, time.Second, 500 * time.Millisecond, true},
		{"a configured dial timeout", []Option{WithDialTimeout(250 * time.Millisecond)}, time.Second, 250 * time.Millisecond, false},
		{"a short deadline and a configured dial timeout", []Option{WithDialTimeout(250 * time.Millisecond)}, 100 * time.Millisecond, 50 * time.Millisecond, true},
		{"no time left", nil, 0, 0, true},
	} {
		end, deadlineLimited := NewClient(nil, c.opts...).dialDeadline(now, now.Add(c.remaining))
		if got := end.Sub(now); got != c.want || deadlineLimited != c.deadlineLimited {
			t.Errorf("%s: %v, deadline-limited %v; want %v, %v", c.name, got, deadlineLimited, c.want, c.deadlineLimited)
		}
	}
}

// A refused connection shows that the peer is unavailable, however little time the call
// had left.
func TestOnlyATimeoutIsDeadlineLimited(t *testing.T) {
	t.Parallel()
	to := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []struct {
		err             error
		deadlineLimited bool
		want            bool
	}{
		{os.ErrDeadlineExceeded, true, true},
		{os.ErrDeadlineExceeded, false, false},
		{context.Canceled, true, false},
		{os.ErrPermission, true, false},
	} {
		if got := dialError(to, c.err, c.deadlineLimited).(*DialError).DeadlineLimited; got != c.want {
			t.Errorf("%v, deadline-limited %v: %v", c.err, c.deadlineLimited, got)
		}
	}
	clk, stop := timer.Start()
	defer stop()
	c := NewClient(clk)
	if _, err := c.dial(context.Background(), to, clk.Now().Add(time.Millisecond)); err != nil {
		if d, ok := err.(*DialError); !ok || d.Sent() {
			t.Errorf("%v", err)
		}
	}
}

func TestPeersStatedIdleTimeoutIsParsed(t *testing.T) {
	t.Parallel()
	const own = 4 * time.Second
	for _, tc := range []struct {
		value string
		want  time.Duration
	}{
		{"", own},
		{"timeout=10", own},
		{"timeout=3", 1500 * time.Millisecond},
		{"max=5, Timeout=1", 500 * time.Millisecond},
		{"timeout=0", 0},
		{"timeout=-1", own},
		{"timeout=soon", own},
		{"max=1", own},
	} {
		if got := statedIdleTimeout(http.Header{"Keep-Alive": {tc.value}}, own); got != tc.want {
			t.Errorf("%q: %v, want %v", tc.value, got, tc.want)
		}
	}
}

// Guards against calls that are lost because the peer closes an idle connection sooner than
// this side expects.
func TestConnectionsAreNotReusedBeyondThePeersStatedIdleTimeout(t *testing.T) {
	t.Parallel()
	stated := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nfirst"
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		respondWith(stated)(c, br)
		waitForClose(c, br)
	}, respondWith(okResponse("second")))
	for _, want := range []string{"first", "second"} {
		if got, err := f.call(context.Background(), "POST", NewBuffered([]byte("x")), longTimeout); err != nil || got != want {
			t.Errorf("%q, %v, want %q", got, err, want)
		}
	}
}
